"""The pools that this daemon owns: when it may admit work to each, and when it hands each over."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from gooseberryport_core._assignment import NO_MEMBER
from gooseberryport_core._lease_clock import NEVER
from gooseberryport_core._lease_table import MILLISECONDS, Grant, MemberId, StoredTable
from gooseberryport_core._table_writer import Release
from gooseberryport_core._views import Holding
from gooseberryport_core._witnesses import FOREVER
from gooseberryport_core.types import Epoch, PoolId


class _OwnedPool(msgspec.Struct):
    """One pool that the table grants to this daemon.

    Parameters
    ----------
    revision
        Revision of the first table known here that contains the grant.
    observed_at
        When this daemon first received the grant; seconds, monotonic.
    active_from
        When admission may start; seconds, monotonic; infinity while that is not known.
    former_owner_end
        Time from which the former owner certainly starts no work; seconds, monotonic.
    stopped
        Whether admission has stopped because the pool is to be handed over.
    release_sent
        Whether a write that releases the pool was sent and may still take effect.
    """

    grant: Grant
    revision: int
    observed_at: float
    active_from: float
    former_owner_end: float
    stopped: bool = False
    release_sent: bool = False

    @property
    def epoch(self) -> Epoch:
        return self.grant.epoch


class Holdings:
    """Track the pools that one daemon owns.

    Parameters
    ----------
    own_id
        Member identifier of this daemon.
    is_busy
        Function that returns whether work is in flight in a pool; None if that is unknown.
    """

    def __init__(self, *, own_id: MemberId, is_busy: Callable[[PoolId], bool] | None) -> None:
        self._own_id = own_id
        self._is_busy = is_busy
        self._owned: dict[PoolId, _OwnedPool] = {}

    def __len__(self) -> int:
        return len(self._owned)

    @property
    def pools(self) -> tuple[PoolId, ...]:
        """The pools that the newest table grants to this daemon."""
        return tuple(self._owned)

    @property
    def epochs(self) -> dict[PoolId, Epoch]:
        """The epoch of each pool in `pools`."""
        return {pool: pool_state.epoch for pool, pool_state in self._owned.items()}

    @property
    def awaits_fence(self) -> bool:
        """Whether any pool still waits for fence acknowledgements from witnesses."""
        return any(pool_state.active_from == FOREVER for pool_state in self._owned.values())

    def apply_table(self, stored: StoredTable, now: float) -> None:
        """Apply a newer table of the region.

        A release that was sent against an older table can no longer take effect.
        """
        owned: dict[PoolId, _OwnedPool] = {}
        for grant in stored.table.grants_of(self._own_id):
            pool_state = self._owned.get(grant.pool)
            if pool_state is None or pool_state.epoch != grant.epoch:
                start = now if grant.released else FOREVER
                pool_state = _OwnedPool(grant, stored.revision, now, start, NEVER)
            pool_state.grant = grant
            pool_state.release_sent = False
            owned[grant.pool] = pool_state
        self._owned = owned

    def activate_fenced(self, fenced_at: Callable[[int], float]) -> None:
        """Set when admission may start in the pools whose former owners are fenced off.

        Parameters
        ----------
        fenced_at
            Function of a table revision: returns the time from which no owner whose newest table is
            older can extend its lease, or infinity if that is not known.
        """
        for pool_state in self._owned.values():
            if pool_state.active_from < FOREVER:
                continue
            lease_end = pool_state.observed_at - pool_state.grant.lapsed_ms / MILLISECONDS
            pool_state.active_from = fenced_at(pool_state.revision)
            pool_state.former_owner_end = max(pool_state.active_from, lease_end)

    def stop_admission(self, must_give_up: Callable[[PoolId], bool], *, reachable: bool) -> None:
        """Stop admission to the pools that are to be handed over.

        Parameters
        ----------
        must_give_up
            Function that returns whether a pool is given up even if it has no successor.
        reachable
            Whether the key-value store is reachable. If not, this daemon goes on admitting work to
            a pool that has a successor, unless a write that releases the pool was already sent.
        """
        for pool, pool_state in self._owned.items():
            handing_over = reachable and pool_state.grant.successor != NO_MEMBER
            pool_state.stopped = pool_state.release_sent or handing_over or must_give_up(pool)

    def mark_release_sent(self, releases: list[Release]) -> None:
        """Record that a write which releases pools was sent."""
        for release in releases:
            self._owned[release.pool].release_sent = True

    def releases(self, max_attempt_s: Callable[[PoolId], float], now: float) -> list[Release]:
        """Return the pools that may be released now.

        Parameters
        ----------
        max_attempt_s
            Function that returns how long an attempt in a pool may run; seconds.
        now
            Seconds, monotonic.
        """
        ready: list[Release] = []
        for pool, pool_state in self._owned.items():
            must_wait = now < max(
                pool_state.active_from, pool_state.former_owner_end + max_attempt_s(pool)
            )
            if not pool_state.stopped or must_wait:
                continue
            if self._is_busy is None:
                ready.append(Release(pool, pool_state.epoch, False))
            elif not self._is_busy(pool):
                ready.append(Release(pool, pool_state.epoch, True))
        return ready

    def holding(
        self, pool: PoolId, valid_until: float, max_attempt_s: float, now: float
    ) -> Holding | None:
        """Return the holding of a pool if work may be admitted to it now, else None."""
        pool_state = self._owned.get(pool)
        if pool_state is None or pool_state.stopped:
            return None
        if now < pool_state.active_from or now >= valid_until:
            return None
        return Holding(pool_state.epoch, valid_until, pool_state.former_owner_end + max_attempt_s)
