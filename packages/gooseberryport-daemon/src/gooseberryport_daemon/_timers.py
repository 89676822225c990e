"""Periodic calls on the loop."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager


class Timers:
    """Call functions periodically on the loop.

    Parameters
    ----------
    loop
        Loop that makes the calls.
    """

    def __init__(self, *, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._handles: dict[Callable[[], None], asyncio.TimerHandle] = {}

    def every(self, period_s: float, call: Callable[[], None], *, first_s: float = 0.0) -> None:
        """Call a function every `period_s` seconds, the first time after `first_s`."""
        self._handles[call] = self._loop.call_later(first_s, self._fire, period_s, call)

    def stop(self) -> None:
        """Cancel every periodic call."""
        for handle in self._handles.values():
            handle.cancel()
        self._handles.clear()

    def _fire(self, period_s: float, call: Callable[[], None]) -> None:
        self._handles[call] = self._loop.call_later(period_s, self._fire, period_s, call)
        call()


@contextmanager
def open_timers(loop: asyncio.AbstractEventLoop) -> Iterator[Timers]:
    """Open timers that are stopped when the context ends."""
    timers = Timers(loop=loop)
    try:
        yield timers
    finally:
        timers.stop()
