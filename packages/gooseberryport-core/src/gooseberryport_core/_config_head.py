"""Reads and watches of the newest configuration head in the key-value store.

A few daemons of each region watch the head; the others get it from their peers and read it only
at long intervals, as a fallback. A watch that times out is replaced by a read.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

from gooseberryport_core._hashing import rendezvous_weight
from gooseberryport_core._lease_clock import NEVER
from gooseberryport_core._store_calls import StoreCall, StoreUser
from gooseberryport_core.config_store import HEAD_KEY
from gooseberryport_core.effects import Effect, StoreGet, StoreWatch
from gooseberryport_core.events import Event, StoreFailed, StoreGot, StoreValue
from gooseberryport_core.settings import NodeSettings
from gooseberryport_core.types import Revision, VmId

WATCHERS_PER_REGION = 2
MAX_START_DELAY_S = 0.5
"""Maximum delay of the first read, so that daemons that start together do not call at once."""

FALLBACK_READ_INTERVAL_S = 30.0
"""Mean time between two reads of a daemon that does not watch the head."""

RETRY_DELAY_S = 0.7
"""Mean delay before a failed call is retried; also the minimum delay from a reply to a read that
`request_read` requests."""

STORE_TIMEOUTS_PER_CALL = 3
"""Store timeouts after which a read or watch without a reply counts as failed."""


def is_watcher(settings: NodeSettings, others: Iterable[VmId]) -> bool:
    """Return whether this daemon is one of the daemons of its region that watch the head."""
    ranked = sorted(
        {settings.vm, *others},
        key=lambda vm: rendezvous_weight(vm, f"{settings.region}/config"),
        reverse=True,
    )
    return settings.vm in ranked[:WATCHERS_PER_REGION]


class HeadWatch:
    """Reads the head from the key-value store, or watches it.

    Parameters
    ----------
    settings
        Settings of this daemon.
    rng
        Source of jitter.
    """

    def __init__(self, *, settings: NodeSettings, rng: random.Random) -> None:
        timing = settings.timing
        self._watch_s = timing.watch_s
        self._rng = rng
        timeout_s = timing.store_timeout_s * STORE_TIMEOUTS_PER_CALL
        self._call = StoreCall(user=StoreUser.CONFIG_WATCH, timeout_s=timeout_s)
        self._is_first_tick = True
        self._next_read_at = NEVER
        self._revision: Revision | None = None
        self._last_reply_at = NEVER
        self.has_reply = False

    def tick(self, *, watcher: bool, now: float) -> list[Effect]:
        """Start the next read or watch if it is due."""
        if self._call.expire(now):
            self._schedule_retry(now)
        if self._is_first_tick:
            self._is_first_tick = False
            self._next_read_at = now + self._rng.uniform(0.0, MAX_START_DELAY_S)
        is_not_due = now < self._next_read_at and not (watcher and self._revision is not None)
        if self._call.pending or is_not_due:
            return []
        if watcher and self._revision is not None:
            call = self._call.begin(now, wait_s=self._watch_s)
            return [StoreWatch(call, HEAD_KEY, self._revision, self._watch_s)]
        return [StoreGet(self._call.begin(now), HEAD_KEY)]

    def request_read(self, now: float) -> None:
        """Read the head soon, since peers report a newer one but do not send it."""
        self._next_read_at = min(self._next_read_at, max(now, self._last_reply_at + RETRY_DELAY_S))

    def handle(self, event: Event, now: float) -> StoreValue | None:
        """Handle a store reply; return the stored head if the event carries it."""
        if not self._call.end(event):
            return None
        if isinstance(event, StoreFailed) or not isinstance(event, StoreGot):
            self._schedule_retry(now)
            return None
        self.has_reply = True
        self._last_reply_at = now
        self._next_read_at = now + FALLBACK_READ_INTERVAL_S * self._rng.uniform(0.8, 1.2)
        if not event.values:
            return None
        self._revision = event.values[0].revision
        return event.values[0]

    def _schedule_retry(self, now: float) -> None:
        """Schedule a read; a watch can start only from a revision that was read."""
        self._revision = None
        self._next_read_at = now + RETRY_DELAY_S * self._rng.uniform(0.7, 1.3)
