"""Tells whether the whole machine was paused while a test in real time ran."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager

MAX_PAUSE_S = 0.5
"""Longest pause that time-outs of tests allow for; seconds. Their shortest time-out is 1 s."""

CHECK_INTERVAL_S = 0.02
"""Time between two looks at the clock; seconds."""


class PauseDetector:
    """Notes how much longer than asked for a thread slept.

    Parameters
    ----------
    clock
        Seconds, monotonic; goes on while the machine is paused.
    sleep
        Sleeps for some seconds.
    """

    def __init__(
        self,
        *,
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], object] = time.sleep,
    ) -> None:
        self._clock = clock
        self._sleep = sleep
        self._longest_s = 0.0
        self._worst_s = 0.0

    @property
    def longest_pause_s(self) -> float:
        """Longest pause since the watch was made; seconds."""
        return max(self._worst_s, self._longest_s)

    @property
    def paused(self) -> bool:
        """Whether a pause since the last `reset` was too long for the time-outs of tests."""
        return self._longest_s > MAX_PAUSE_S

    def reset(self) -> None:
        """Forget the pauses before now for `paused`."""
        self._worst_s = self.longest_pause_s
        self._longest_s = 0.0

    def measure(self) -> None:
        """Sleep once and note by how much that took too long."""
        started = self._clock()
        self._sleep(CHECK_INTERVAL_S)
        late_s = self._clock() - started - CHECK_INTERVAL_S
        self._longest_s = max(self._longest_s, late_s)


@contextmanager
def detecting_pauses() -> Iterator[PauseDetector]:
    """Watch for pauses in a thread until the context ends."""
    watch = PauseDetector()
    end = threading.Event()

    def run() -> None:
        while not end.is_set():
            watch.measure()

    thread = threading.Thread(target=run, daemon=True)
    thread.start()
    try:
        yield watch
    finally:
        end.set()
        thread.join()
