"""Numbers for calls to the key-value service, and one call at a time with a time limit."""

from __future__ import annotations

from enum import IntEnum

from gooseberryport_core.events import Event, StoreFailed, StoreGot, StoreWritten
from gooseberryport_core.types import CallId

CALL_IDS_PER_USER = 1 << 44


class StoreUser(IntEnum):
    """Parts of a daemon that call the service; each has a range of numbers of its own."""

    OWNERSHIP = 1
    CONFIG = 2
    CONFIG_WATCH = 3
    BURN = 4


class StoreCall:
    """Keep track of the one call in flight of a part of the daemon.

    Parameters
    ----------
    user
        The part that calls.
    timeout_s
        Time after which a call without an answer counts as failed; seconds.
    """

    def __init__(self, *, user: StoreUser, timeout_s: float) -> None:
        self._timeout_s = timeout_s
        self._call_id = user * CALL_IDS_PER_USER
        self._pending = False
        self._started_at = 0.0
        self._times_out_at = 0.0

    @property
    def pending(self) -> bool:
        """Whether a call is in flight."""
        return self._pending

    def pending_for(self, now: float) -> float:
        """Return for how long the call in flight has waited; seconds, 0 if there is none."""
        return now - self._started_at if self._pending else 0.0

    def begin(self, now: float, *, wait_s: float = 0.0) -> CallId:
        """Begin a call that may wait for `wait_s` by its nature, and return its number."""
        self._call_id += 1
        self._pending = True
        self._started_at = now
        self._times_out_at = now + wait_s + self._timeout_s
        return CallId(self._call_id)

    def end(self, event: Event) -> bool:
        """Whether an event answers the call in flight, which then has ended."""
        if not isinstance(event, StoreGot | StoreWritten | StoreFailed):
            return False
        if not self._pending or event.call_id != self._call_id:
            return False
        self._pending = False
        return True

    def expire(self, now: float) -> bool:
        """Give up a call that is overdue; whether there was one."""
        overdue = self._pending and now >= self._times_out_at
        if overdue:
            self._pending = False
        return overdue
