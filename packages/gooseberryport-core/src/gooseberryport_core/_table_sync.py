"""How the region's ownership table is read from, and written to, the key-value service.

A write whose answer is lost is settled by reading: nothing here acts on a table before the
service, or a peer that had it from the service, has shown it. A write that takes effect late can
do so only while the table is still at the revision that the write expected.
"""

from __future__ import annotations

import random

import msgspec

from gooseberryport_core._lease_clock import NEVER
from gooseberryport_core._lease_table import (
    StoredTable,
    Table,
    decode_table,
    encode_table,
    table_key,
)
from gooseberryport_core._store_calls import StoreCall, StoreUser
from gooseberryport_core.effects import Effect, StoreGet, StoreSwap
from gooseberryport_core.events import Event, StoreFailed, StoreGot, StoreValue, StoreWritten
from gooseberryport_core.settings import NodeSettings
from gooseberryport_core.types import Revision, StoreReach

CALL_TIMEOUT_FACTOR = 3
"""A call without an answer counts as failed after so many of the usual time limits."""

PROMPT_REPLY_TIMEOUT_S = 0.15
"""Time in which the service answers when nothing is wrong; seconds."""

READ_INTERVAL_RENEWALS = 2.5
"""Renewal periods without a newer table after which the table is read."""

MEMBERS_PER_PROBE = 8
"""While the service is down, one of so many members tries it in each renewal period."""


class TableSync:
    """Keep the newest table of the own region.

    Parameters
    ----------
    settings
        Who this daemon is.
    rng
        Source of jitter.
    """

    def __init__(self, *, settings: NodeSettings, rng: random.Random) -> None:
        self._settings = settings
        self._rng = rng
        self._key = table_key(settings.region)
        timeout_s = settings.timing.store_timeout_s * CALL_TIMEOUT_FACTOR
        self._call = StoreCall(user=StoreUser.OWNERSHIP, timeout_s=timeout_s)
        self._stored: StoredTable | None = None
        self._reach = StoreReach.UNTRIED
        self._next_read = NEVER
        self._writes = 0
        self._is_write_undecided = False

    @property
    def stored(self) -> StoredTable | None:
        """The newest table seen; None before the first."""
        return self._stored

    @property
    def reach(self) -> StoreReach:
        """Whether the last call succeeded."""
        return self._reach

    @property
    def can_write(self) -> bool:
        """Whether a write may be sent: a table is known, and no call is in flight or unsettled."""
        known = self._stored is not None and not self._is_write_undecided
        return known and not self._call.pending and self._reach == StoreReach.REACHABLE

    def is_unresponsive(self, now: float) -> bool:
        """Whether the service fails or is late with an answer."""
        late = self._call.pending_for(now) > PROMPT_REPLY_TIMEOUT_S
        return late or self._reach != StoreReach.REACHABLE

    def swap(self, table: Table, now: float) -> list[Effect]:
        """Write the next table in place of the newest seen."""
        assert self._stored is not None
        self._writes += 1
        me = self._settings
        tagged = msgspec.structs.replace(table, token=f"{me.vm}.{me.incarnation}.{self._writes}")
        self._is_write_undecided = True
        call = self._call.begin(now)
        return [StoreSwap(call, self._key, encode_table(tagged), self._stored.revision)]

    def tick(self, now: float) -> list[Effect]:
        """Read the table if it is time to."""
        if self._call.expire(now):
            self._record_failure(now)
        if self._call.pending:
            return []
        if now < self._next_read and not (self._is_write_undecided and self._reachable):
            return []
        self._schedule_read(now, 1.0)
        return [StoreGet(self._call.begin(now), self._key)]

    def handle(self, event: Event, now: float) -> bool:
        """Take the answer to a call; whether it brought a newer table."""
        if not self._call.end(event):
            return False
        if isinstance(event, StoreFailed):
            self._record_failure(now)
            return False
        self._reach = StoreReach.REACHABLE
        self._is_write_undecided = False
        if isinstance(event, StoreWritten):
            return self._accept_value(event.current, now)
        assert isinstance(event, StoreGot)
        return bool(event.values) and self._accept_value(event.values[0], now)

    def accept_table(self, stored: StoredTable, now: float) -> bool:
        """Take a table that the service has shown, here or to a peer; whether it is newer."""
        if self._reachable:
            self._schedule_read(now, READ_INTERVAL_RENEWALS)
        if self._stored is not None and stored.revision <= self._stored.revision:
            return False
        self._stored = stored
        return True

    @property
    def _reachable(self) -> bool:
        return self._reach == StoreReach.REACHABLE

    def _accept_value(self, value: StoreValue, now: float) -> bool:
        if value.revision == 0:
            return self.accept_table(StoredTable(Table(self._settings.region), Revision(0)), now)
        table = decode_table(value.value)
        return table is not None and self.accept_table(StoredTable(table, value.revision), now)

    def _schedule_read(self, now: float, renewals: float) -> None:
        period_s = self._settings.timing.renew_s * renewals
        self._next_read = now + period_s * self._rng.uniform(0.8, 1.2)

    def _record_failure(self, now: float) -> None:
        self._reach = StoreReach.UNREACHABLE
        members = len(self._stored.table.members) if self._stored else 0
        self._schedule_read(now, max(1.0, members / MEMBERS_PER_PROBE))
