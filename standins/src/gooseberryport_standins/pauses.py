"""Detects whether the whole machine was paused while a test ran in real time."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager

MAX_PAUSE_S = 0.5
"""Longest pause that the timeouts of tests tolerate, in seconds; the shortest timeout is 1 s."""

CHECK_INTERVAL_S = 0.02
"""Time between two readings of the clock; seconds."""


class PauseDetector:
    """Measures how much longer than requested a thread slept.

    Parameters
    ----------
    clock
        Returns monotonic seconds; it continues while the machine is paused.
    sleep
        Sleeps for a number of seconds.
    """

    def __init__(
        self,
        *,
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], object] = time.sleep,
    ) -> None:
        self._clock = clock
        self._sleep = sleep
        self._longest_since_reset_s = 0.0
        self._longest_before_reset_s = 0.0

    @property
    def longest_pause_s(self) -> float:
        """Longest pause since the detector was created; seconds."""
        return max(self._longest_before_reset_s, self._longest_since_reset_s)

    @property
    def paused(self) -> bool:
        """Whether a pause since the last `reset` was too long for the timeouts of tests."""
        return self._longest_since_reset_s > MAX_PAUSE_S

    def reset(self) -> None:
        """Ignore earlier pauses in `paused`."""
        self._longest_before_reset_s = self.longest_pause_s
        self._longest_since_reset_s = 0.0

    def measure(self) -> None:
        """Sleep once and record by how much that took too long."""
        started = self._clock()
        self._sleep(CHECK_INTERVAL_S)
        late_s = self._clock() - started - CHECK_INTERVAL_S
        self._longest_since_reset_s = max(self._longest_since_reset_s, late_s)


@contextmanager
def detecting_pauses() -> Iterator[PauseDetector]:
    """Detect pauses, in a thread, until the context exits."""
    detector = PauseDetector()
    end = threading.Event()

    def run() -> None:
        while not end.is_set():
            detector.measure()

    thread = threading.Thread(target=run, daemon=True)
    thread.start()
    try:
        yield detector
    finally:
        end.set()
        thread.join()
