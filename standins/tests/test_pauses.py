from pathlib import Path

import pytest

from gooseberryport_standins.checks import LOST, SafetyViolationError, raise_if_unsafe
from gooseberryport_standins.pauses import CHECK_INTERVAL_S, MAX_PAUSE_S, PauseDetector

pytest_plugins = ["pytester"]

CONFTEST = Path(__file__).parents[2] / "conftest.py"

PAUSE = "ctypes.PyDLL(None).usleep(900_000)"
"""Stops every thread of the process for 0.9 s, as its interpreter lock is kept."""

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
def test_pause_is_noticed_once(pause_s: float, paused: bool) -> None:
    time = FakeTime()
    watch = PauseDetector(clock=time.clock, sleep=time.sleep)
    watch.measure()
    assert not watch.paused
    time.pause_s = pause_s
    watch.measure()
    time.pause_s = 0.0
    watch.measure()
    assert watch.paused == paused
    watch.reset()
    watch.measure()
    assert not watch.paused
    assert watch.longest_pause_s == pytest.approx(pause_s)
    assert time.now == pytest.approx(4 * CHECK_INTERVAL_S + pause_s)


def test_only_lost_answers_are_forgiven_to_a_pause() -> None:
    raise_if_unsafe([])
    raise_if_unsafe([f"2 × {LOST}: a-1, a-2"])
    with pytest.raises(SafetyViolationError, match="told not-run"):
        raise_if_unsafe([f"2 × {LOST}: a-1, a-2", "1 × told not-run, but it ran: a-3"])


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
def test_only_a_test_that_fails_in_a_pause_is_run_again(
    pytester: pytest.Pytester, pause: str, fault: str, ends: dict[str, int]
) -> None:
    pytester.makeconftest(CONFTEST.read_text())
    pytester.makefile(".txt", **{"KNOWN-RED": ""})
    pytester.makepyfile(FIRST_RUN.format(pause=pause, fault=fault))
    result = pytester.runpytest_subprocess()
    assert result.parseoutcomes() == ends
    assert ("run again after a pause" in result.stdout.str()) == ("rerun" in ends)


def test_test_that_fails_in_every_pause_stays_failed(pytester: pytest.Pytester) -> None:
    pytester.makeconftest(CONFTEST.read_text())
    pytester.makefile(".txt", **{"KNOWN-RED": ""})
    pytester.makepyfile(f"import ctypes\n\ndef test_it():\n    {PAUSE}\n    assert False")
    assert pytester.runpytest_subprocess().parseoutcomes() == {"failed": 1, "rerun": 3}


def test_only_listed_tests_are_known_to_fail(pytester: pytest.Pytester) -> None:
    pytester.makeconftest(CONFTEST.read_text())
    pytester.makefile(".txt", **{"KNOWN-RED": "Why.\n\ntest: test_some.py::test_a\nseen: once"})
    pytester.makepyfile(
        test_some="def test_a():\n    assert False\n\ndef test_b():\n    assert False"
    )
    assert pytester.runpytest_subprocess().parseoutcomes() == {"xfailed": 1, "failed": 1}
