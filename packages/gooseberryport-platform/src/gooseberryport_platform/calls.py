"""Counts calls to the platform's services by kind and outcome."""

from __future__ import annotations

import threading
from collections.abc import Callable
from enum import Enum

import msgspec


class CallKind(Enum):
    """The operation that was called."""

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
    """A completed call: its kind, its outcome and its duration in seconds."""

    kind: CallKind
    outcome: CallOutcome
    duration_s: float


class CallCounter:
    """Count completed calls; thread-safe.

    Parameters
    ----------
    on_call
        Called with the record of each call, in the thread that made the call; must not block.
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

    def count(self, kind: CallKind, outcome: CallOutcome | None = None) -> int:
        """Return the number of completed calls of a kind, with one outcome or with any."""
        with self._lock:
            return sum(
                count
                for (counted_kind, counted_outcome), count in self._counts.items()
                if counted_kind == kind and outcome in (None, counted_outcome)
            )
