"""Reads and writes of the region's ownership table in the key-value store.

If the reply to a write is lost, a read determines the outcome: nothing here acts on a table before
the store has returned it to this daemon or to a peer. A write that takes effect late can do so
only while the table is still at the revision that the write expected.
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
"""A call without a reply counts as failed after this multiple of the store timeout."""

PROMPT_REPLY_TIMEOUT_S = 0.15
"""Time after which the store counts as unresponsive while a call is in flight; seconds.

A healthy store replies within this time.
"""

READ_INTERVAL_RENEWALS = 2.5
"""The table is read after this number of renewal intervals without a newer one."""

MEMBERS_PER_PROBE = 8
"""While the store is unavailable, one in this many members tries it per renewal interval."""


class TableSync:
    """Keep the newest table of this daemon's region, and write the next one.

    Parameters
    ----------
    settings
        This daemon's identity and timing.
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
        self._write_outcome_unknown = False

    @property
    def stored(self) -> StoredTable | None:
        """The newest table known to be in the store; None before the first."""
        return self._stored

    @property
    def reach(self) -> StoreReach:
        """Whether the last call succeeded."""
        return self._reach

    @property
    def can_write(self) -> bool:
        """Whether a write may be sent.

        The store must be reachable, a table known, no call in flight, and the outcome of the last
        write known.
        """
        is_state_known = self._stored is not None and not self._write_outcome_unknown
        return is_state_known and not self._call.pending and self._reach == StoreReach.REACHABLE

    def is_unresponsive(self, now: float) -> bool:
        """Return whether the store is unreachable or late with a reply."""
        is_late = self._call.pending_for(now) > PROMPT_REPLY_TIMEOUT_S
        return is_late or self._reach != StoreReach.REACHABLE

    def swap(self, table: Table, now: float) -> list[Effect]:
        """Write the next table by compare-and-swap against the newest known revision."""
        assert self._stored is not None
        self._writes += 1
        me = self._settings
        tagged_table = msgspec.structs.replace(
            table, token=f"{me.vm}.{me.incarnation}.{self._writes}"
        )
        self._write_outcome_unknown = True
        call = self._call.begin(now)
        return [StoreSwap(call, self._key, encode_table(tagged_table), self._stored.revision)]

    def tick(self, now: float) -> list[Effect]:
        """Read the table if a read is due."""
        if self._call.expire(now):
            self._record_failure(now)
        if self._call.pending:
            return []
        if now < self._next_read and not (self._write_outcome_unknown and self._reachable):
            return []
        self._schedule_read(now, 1.0)
        return [StoreGet(self._call.begin(now), self._key)]

    def handle(self, event: Event, now: float) -> bool:
        """Handle the reply to a call; return whether it contained a newer table."""
        if not self._call.end(event):
            return False
        if isinstance(event, StoreFailed):
            self._record_failure(now)
            return False
        self._reach = StoreReach.REACHABLE
        self._write_outcome_unknown = False
        if isinstance(event, StoreWritten):
            return self._accept_value(event.current, now)
        assert isinstance(event, StoreGot)
        return bool(event.values) and self._accept_value(event.values[0], now)

    def accept_table(self, stored: StoredTable, now: float) -> bool:
        """Accept a table that the store returned to this daemon or to a peer.

        Returns
        -------
        bool
            Whether it is newer than the newest known before.
        """
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
