"""Queue of items that become due at given times."""

from __future__ import annotations

import heapq
from typing import Generic, TypeVar

T = TypeVar("T")


class Timers(Generic[T]):
    """Keeps items until they are due, in time order."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, T]] = []
        self._serial = 0

    def add(self, at: float, item: T) -> None:
        """Add an item that is due at `at`, seconds on the monotonic clock."""
        self._serial += 1
        heapq.heappush(self._heap, (at, self._serial, item))

    def pop_due(self, now: float) -> T | None:
        """Remove and return the next item that is due, or None."""
        if self._heap and self._heap[0][0] <= now:
            return heapq.heappop(self._heap)[2]
        return None
