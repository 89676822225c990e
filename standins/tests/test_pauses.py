from pathlib import Path

import pytest

from gooseberryport_standins.checks import LOST, SafetyViolationError, raise_if_unsafe
from gooseberryport_standins.pauses import CHECK_INTERVAL_S, MAX_PAUSE_S, PauseDetector

pytest_plugins = ["pytester"]

CONFTEST = Path(__file__).parents[2] / "conftest.py"

PAUSE = "ctypes.PyDLL(None).usleep(900_000)"
"""Blocks every thread of the process for 0.9 s, because `PyDLL` holds the interpreter lock."""


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


def test_lost_requests_alone_are_no_safety_violation() -> None:
    raise_if_unsafe([])
    raise_if_unsafe([f"2 × {LOST}: a-1, a-2"])
    with pytest.raises(SafetyViolationError, match="reported as not-run"):
        raise_if_unsafe([f"2 × {LOST}: a-1, a-2", "1 × reported as not-run, but it ran: a-3"])


# Guards against a failure that a rerun hides, and against a pause that its report does not name.
@pytest.mark.parametrize("pause", [PAUSE, "pass"])
def test_failure_during_a_pause_is_final_and_names_the_pause(
    pytester: pytest.Pytester, pause: str
) -> None:
    pytester.makeconftest(CONFTEST.read_text())
    pytester.makefile(".txt", **{"KNOWN-RED": ""})
    pytester.makepyfile(
        f"import ctypes\n\nruns = []\n\ndef test_it():\n    runs.append(1)\n    {pause}\n"
        "    assert len(runs) > 1"
    )
    result = pytester.runpytest_subprocess()
    assert result.parseoutcomes() == {"failed": 1}
    assert ("the machine was paused for up to 0." in result.stdout.str()) == (pause == PAUSE)


def test_only_listed_tests_are_expected_to_fail(pytester: pytest.Pytester) -> None:
    pytester.makeconftest(CONFTEST.read_text())
    pytester.makefile(".txt", **{"KNOWN-RED": "Why.\n\ntest: test_some.py::test_a\nseen: once"})
    pytester.makepyfile(
        test_some="def test_a():\n    assert False\n\ndef test_b():\n    assert False"
    )
    assert pytester.runpytest_subprocess().parseoutcomes() == {"xfailed": 1, "failed": 1}
