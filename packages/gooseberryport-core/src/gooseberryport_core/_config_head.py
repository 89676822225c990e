"""How a daemon learns of the newest head from the key-value service.

A few daemons of each region wait in a watch; the others read the head seldom, as a safeguard. A
watch that stays silent longer than it may is given up for a read.
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
START_JITTER_S = 0.5
"""Longest delay of the first read, so that daemons started together don't call at once."""

SAFEGUARD_S = 30.0
"""Time between two reads of a daemon that does not watch; seconds."""

RETRY_S = 0.7
"""Time after which a failed call is repeated; seconds."""

OVERDUE_CALLS = 3


def is_watcher(settings: NodeSettings, others: Iterable[VmId]) -> bool:
    """Whether this daemon is among the few of its region that watch."""
    ranked = sorted(
        {settings.vm, *others},
        key=lambda vm: rendezvous_weight(vm, f"{settings.region}/config"),
        reverse=True,
    )
    return settings.vm in ranked[:WATCHERS_PER_REGION]


class HeadWatch:
    """Read and watch the head.

    Parameters
    ----------
    settings
        Who this daemon is.
    rng
        Source of jitter.
    """

    def __init__(self, *, settings: NodeSettings, rng: random.Random) -> None:
        timing = settings.timing
        self._watch_s = timing.watch_s
        self._rng = rng
        limit_s = timing.store_timeout_s * OVERDUE_CALLS
        self._call = StoreCall(user=StoreUser.CONFIG_WATCH, limit_s=limit_s)
        self._first = True
        self._next_at = NEVER
        self._revision: Revision | None = None
        self._answered_at = NEVER
        self.has_reply = False

    def tick(self, *, watcher: bool, now: float) -> list[Effect]:
        """Call the service if it is time to."""
        if self._call.expire(now):
            self._fail(now)
        if self._first:
            self._first = False
            self._next_at = now + self._rng.uniform(0.0, START_JITTER_S)
        resting = now < self._next_at and not (watcher and self._revision is not None)
        if self._call.pending or resting:
            return []
        if watcher and self._revision is not None:
            call = self._call.begin(now, wait_s=self._watch_s)
            return [StoreWatch(call, HEAD_KEY, self._revision, self._watch_s)]
        return [StoreGet(self._call.begin(now), HEAD_KEY)]

    def request_read(self, now: float) -> None:
        """Read the head soon, as peers know of a newer one and don't pass it on."""
        self._next_at = min(self._next_at, max(now, self._answered_at + RETRY_S))

    def handle(self, event: Event, now: float) -> StoreValue | None:
        """Take an answer; return the head as it stands if this is one."""
        if not self._call.end(event):
            return None
        if isinstance(event, StoreFailed) or not isinstance(event, StoreGot):
            self._fail(now)
            return None
        self.has_reply = True
        self._answered_at = now
        self._next_at = now + SAFEGUARD_S * self._rng.uniform(0.8, 1.2)
        if not event.values:
            return None
        self._revision = event.values[0].revision
        return event.values[0]

    def _fail(self, now: float) -> None:
        """Read anew after a while: a watch resumes only from a revision that was read."""
        self._revision = None
        self._next_at = now + RETRY_S * self._rng.uniform(0.7, 1.3)
