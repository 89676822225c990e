"""Identifiers of calls to the key-value store, and tracking of the one call in flight."""

from __future__ import annotations

from enum import IntEnum

from gooseberryport_core.events import Event, StoreFailed, StoreGot, StoreWritten
from gooseberryport_core.types import CallId

CALL_IDS_PER_USER = 1 << 44


class StoreUser(IntEnum):
    """Components of a daemon that call the store; each has its own range of call identifiers."""

    OWNERSHIP = 1
    CONFIG = 2
    CONFIG_WATCH = 3
    BURN = 4


class StoreCall:
    """Track the one call in flight of a component.

    Parameters
    ----------
    user
        The component that calls.
    timeout_s
        Time after which a call without a reply counts as failed; seconds.
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
        """Return how long the call in flight has been waiting; seconds, 0 if there is none."""
        return now - self._started_at if self._pending else 0.0

    def begin(self, now: float, *, wait_s: float = 0.0) -> CallId:
        """Begin a call and return its identifier.

        Parameters
        ----------
        now
            Seconds, monotonic.
        wait_s
            Time for which the store is asked to hold the call, added to the timeout; seconds.
        """
        self._call_id += 1
        self._pending = True
        self._started_at = now
        self._times_out_at = now + wait_s + self._timeout_s
        return CallId(self._call_id)

    def end(self, event: Event) -> bool:
        """End the call in flight if the event is its reply; return whether it is."""
        if not isinstance(event, StoreGot | StoreWritten | StoreFailed):
            return False
        if not self._pending or event.call_id != self._call_id:
            return False
        self._pending = False
        return True

    def expire(self, now: float) -> bool:
        """Drop the call in flight if it has timed out; return whether it has."""
        overdue = self._pending and now >= self._times_out_at
        if overdue:
            self._pending = False
        return overdue
