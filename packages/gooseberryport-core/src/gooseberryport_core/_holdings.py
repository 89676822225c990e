"""The pools that this daemon owns: from when, until when, and when it gives them up."""

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
    """One pool that the table gives to this daemon.

    Parameters
    ----------
    revision
        Revision of the first table that was seen to give it.
    active_from
        From then on work may be admitted; infinity while that is not known.
    former_owner_end
        Then the former owner certainly had stopped starting work.
    stopped
        Whether admission has ended, because the pool is to be handed over.
    release_sent
        Whether a write that gives the pool up was sent, and may take effect yet.
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
    """Keep the pools of one daemon.

    Parameters
    ----------
    own
        The daemon.
    busy
        Whether work is in flight in a pool; None if nobody can tell.
    """

    def __init__(self, *, own: MemberId, busy: Callable[[PoolId], bool] | None) -> None:
        self._own = own
        self._busy = busy
        self._owned: dict[PoolId, _OwnedPool] = {}

    def __len__(self) -> int:
        return len(self._owned)

    @property
    def pools(self) -> tuple[PoolId, ...]:
        """The pools that the newest table gives to this daemon."""
        return tuple(self._owned)

    @property
    def epochs(self) -> dict[PoolId, Epoch]:
        """The epoch of each of these pools."""
        return {pool: pool_state.epoch for pool, pool_state in self._owned.items()}

    @property
    def awaits_fence(self) -> bool:
        """Whether a pool waits for the promises of witnesses."""
        return any(pool_state.active_from == FOREVER for pool_state in self._owned.values())

    def apply_table(self, stored: StoredTable, now: float) -> None:
        """Take a newer table of the region.

        A release that was sent before it can take effect no more.
        """
        owned: dict[PoolId, _OwnedPool] = {}
        for grant in stored.table.grants_of(self._own):
            pool_state = self._owned.get(grant.pool)
            if pool_state is None or pool_state.epoch != grant.epoch:
                start = now if grant.released else FOREVER
                pool_state = _OwnedPool(grant, stored.revision, now, start, NEVER)
            pool_state.grant = grant
            pool_state.release_sent = False
            owned[grant.pool] = pool_state
        self._owned = owned

    def activate_fenced(self, fenced_at: Callable[[int], float]) -> None:
        """Let pools start once no former owner can go on.

        Parameters
        ----------
        fenced_at
            Returns when no holder goes on under a table older than a revision.
        """
        for pool_state in self._owned.values():
            if pool_state.active_from < FOREVER:
                continue
            lease_end = pool_state.observed_at - pool_state.grant.lapsed_ms / MILLISECONDS
            pool_state.active_from = fenced_at(pool_state.revision)
            pool_state.former_owner_end = max(pool_state.active_from, lease_end)

    def stop_admission(self, must_give_up: Callable[[PoolId], bool], *, reachable: bool) -> None:
        """End admission of the pools that are to be handed over.

        Parameters
        ----------
        must
            Whether a pool is given up even if nobody takes it.
        reachable
            Whether the key-value service answers. If not, a pool with a successor is used on,
            unless a write that gives it up was sent already.
        """
        for pool, pool_state in self._owned.items():
            handing_over = reachable and pool_state.grant.successor != NO_MEMBER
            pool_state.stopped = pool_state.release_sent or handing_over or must_give_up(pool)

    def mark_release_sent(self, releases: list[Release]) -> None:
        """Remember that a write which gives pools up was sent."""
        for release in releases:
            self._owned[release.pool].release_sent = True

    def releases(self, max_attempt_s: Callable[[PoolId], float], now: float) -> list[Release]:
        """Return the pools that may be given up now.

        Parameters
        ----------
        max_attempt_s
            Returns how long an attempt may run; seconds.
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
            if self._busy is None:
                ready.append(Release(pool, pool_state.epoch, False))
            elif not self._busy(pool):
                ready.append(Release(pool, pool_state.epoch, True))
        return ready

    def holding(
        self, pool: PoolId, valid_until: float, max_attempt_s: float, now: float
    ) -> Holding | None:
        """Return the holding of a pool if work may be admitted now."""
        pool_state = self._owned.get(pool)
        if pool_state is None or pool_state.stopped:
            return None
        if now < pool_state.active_from or now >= valid_until:
            return None
        return Holding(pool_state.epoch, valid_until, pool_state.former_owner_end + max_attempt_s)
