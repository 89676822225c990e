from pathlib import Path

import pytest

from gooseberryport_standins.checks import LOST, SafetyViolationError, raise_if_unsafe
from gooseberryport_standins.pauses import CHECK_INTERVAL_S, MAX_PAUSE_S, PauseDetector

pytest_plugins = ["pytester"]

CONFTEST = Path(__file__).parents[2] / "conftest.py"

PAUSE = "ctypes.PyDLL(None).usleep(900_000)"
"""Blocks every thread of the process for 0.9 s, because `PyDLL` holds the interpreter lock."""

FIRST_RUN = """
import ctypes
from gooseberryport_standins.checks import SafetyViolationError

runs = []

def test_it():
    runs.append(1)
    if len(runs) == 1:
        {pause}
        {fault}
"""


class FakeTime:
    def __init__(self) -> None:
        self.now = 0.0
        self.pause_s = 0.0

    def clock(self) -> float:
        return self.now

    def sleep(self, seconds: float) -> None:
        self.now += seconds + self.pause_s


@pytest.mark.parametrize(
    ("pause_s", "paused"), [(0.0, False), (MAX_PAUSE_S - 0.01, False), (1.0, True), (5.0, True)]
)
def test_pause_is_detected_once(pause_s: float, paused: bool) -> None:
    time = FakeTime()
    detector = PauseDetector(clock=time.clock, sleep=time.sleep)
    detector.measure()
    assert not detector.paused
    time.pause_s = pause_s
    detector.measure()
    time.pause_s = 0.0
    detector.measure()
    assert detector.paused == paused
    detector.reset()
    detector.measure()
    assert not detector.paused
    assert detector.longest_pause_s == pytest.approx(pause_s)
    assert time.now == pytest.approx(4 * CHECK_INTERVAL_S + pause_s)


def test_only_lost_requests_are_excused_by_a_pause() -> None:
    raise_if_unsafe([])
    raise_if_unsafe([f"2 × {LOST}: a-1, a-2"])
    with pytest.raises(SafetyViolationError, match="reported as not-run"):
        raise_if_unsafe([f"2 × {LOST}: a-1, a-2", "1 × reported as not-run, but it ran: a-3"])


@pytest.mark.parametrize(
    ("pause", "fault", "ends"),
    [
        ("pass", "pass", {"passed": 1}),
        (PAUSE, "pass", {"passed": 1}),
        ("pass", "assert False", {"failed": 1}),
        (PAUSE, "assert False", {"passed": 1, "rerun": 1}),
        (PAUSE, "raise SafetyViolationError('ran twice')", {"failed": 1}),
    ],
)
def test_only_a_test_that_fails_during_a_pause_is_rerun(
    pytester: pytest.Pytester, pause: str, fault: str, ends: dict[str, int]
) -> None:
    pytester.makeconftest(CONFTEST.read_text())
    pytester.makefile(".txt", **{"KNOWN-RED": ""})
    pytester.makepyfile(FIRST_RUN.format(pause=pause, fault=fault))
    result = pytester.runpytest_subprocess()
    assert result.parseoutcomes() == ends
    assert ("rerun after a pause" in result.stdout.str()) == ("rerun" in ends)


def test_failure_counts_if_every_rerun_fails_during_a_pause(pytester: pytest.Pytester) -> None:
    pytester.makeconftest(CONFTEST.read_text())
    pytester.makefile(".txt", **{"KNOWN-RED": ""})
    pytester.makepyfile(f"import ctypes\n\ndef test_it():\n    {PAUSE}\n    assert False")
    assert pytester.runpytest_subprocess().parseoutcomes() == {"failed": 1, "rerun": 3}


def test_only_listed_tests_are_expected_to_fail(pytester: pytest.Pytester) -> None:
    pytester.makeconftest(CONFTEST.read_text())
    pytester.makefile(".txt", **{"KNOWN-RED": "Why.\n\ntest: test_some.py::test_a\nseen: once"})
    pytester.makepyfile(
        test_some="def test_a():\n    assert False\n\ndef test_b():\n    assert False"
    )
    assert pytester.runpytest_subprocess().parseoutcomes() == {"xfailed": 1, "failed": 1}
