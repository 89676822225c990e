"""Counts of the calls to the platform's services."""

from __future__ import annotations

import threading
from collections.abc import Callable
from enum import Enum

import msgspec


class CallKind(Enum):
    """What was called."""

    GET = "get"
    LIST = "list"
    SWAP = "swap"
    WATCH = "watch"
    VM_LIST = "vm-list"
    LOAD_REPORT = "load-report"


class CallOutcome(Enum):
    """How a call ended."""

    DONE = "done"
    FAILED = "failed"
    AMBIGUOUS = "ambiguous"


class CallRecord(msgspec.Struct, frozen=True):
    """One call that was made: its kind, its end and the time that it took, in seconds."""

    kind: CallKind
    outcome: CallOutcome
    duration_s: float


class CallCounter:
    """Count calls, from any thread.

    Parameters
    ----------
    on_call
        Called with each record, in the thread that made the call; it must not block.
    """

    def __init__(self, *, on_call: Callable[[CallRecord], None] | None = None) -> None:
        self._on_call = on_call
        self._lock = threading.Lock()
        self._counts: dict[tuple[CallKind, CallOutcome], int] = {}

    def record(self, record: CallRecord) -> None:
        """Count one call."""
        with self._lock:
            key = (record.kind, record.outcome)
            self._counts[key] = self._counts.get(key, 0) + 1
        if self._on_call is not None:
            self._on_call(record)

    def count(self, kind: CallKind, end: CallOutcome | None = None) -> int:
        """Return how many calls of a kind ended, in one way or in any."""
        with self._lock:
            return sum(
                count
                for (each_kind, each_end), count in self._counts.items()
                if each_kind == kind and end in (None, each_end)
            )
