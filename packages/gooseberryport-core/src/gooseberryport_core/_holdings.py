"""The pools that this daemon owns: from when, until when, and when it gives them up."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from gooseberryport_core._assignment import NO_MEMBER
from gooseberryport_core._lease_clock import NEVER
from gooseberryport_core._lease_table import MILLISECONDS, Grant, MemberId, SeenTable
from gooseberryport_core._table_writer import Release
from gooseberryport_core._views import Holding
from gooseberryport_core._witnesses import FOREVER
from gooseberryport_core.types import Epoch, PoolId


class _Hold(msgspec.Struct):
    """One pool that the table gives to this daemon.

    Parameters
    ----------
    revision
        Revision of the first table that was seen to give it.
    active_from
        From then on work may be admitted; infinity while that is not known.
    former_end
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
    former_end: float
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
        self._holds: dict[PoolId, _Hold] = {}

    def __len__(self) -> int:
        return len(self._holds)

    @property
    def pools(self) -> tuple[PoolId, ...]:
        """The pools that the newest table gives to this daemon."""
        return tuple(self._holds)

    @property
    def epochs(self) -> dict[PoolId, Epoch]:
        """The epoch of each of these pools."""
        return {pool: hold.epoch for pool, hold in self._holds.items()}

    @property
    def unfenced(self) -> bool:
        """Whether a pool waits for the promises of witnesses."""
        return any(hold.active_from == FOREVER for hold in self._holds.values())

    def take(self, seen: SeenTable, now: float) -> None:
        """Take a newer table of the region.

        A release that was sent before it can take effect no more.
        """
        holds: dict[PoolId, _Hold] = {}
        for grant in seen.table.grants_of(self._own):
            hold = self._holds.get(grant.pool)
            if hold is None or hold.epoch != grant.epoch:
                start = now if grant.released else FOREVER
                hold = _Hold(grant, seen.revision, now, start, NEVER)
            hold.grant = grant
            hold.release_sent = False
            holds[grant.pool] = hold
        self._holds = holds

    def activate(self, clear_at: Callable[[int], float]) -> None:
        """Let pools start once no former owner can go on.

        Parameters
        ----------
        clear_at
            Returns when no holder goes on under a table older than a revision.
        """
        for hold in self._holds.values():
            if hold.active_from < FOREVER:
                continue
            lease_end = hold.observed_at - hold.grant.lapsed_ms / MILLISECONDS
            hold.active_from = clear_at(hold.revision)
            hold.former_end = max(hold.active_from, lease_end)

    def stop(self, must: Callable[[PoolId], bool], *, reachable: bool) -> None:
        """End admission of the pools that are to be handed over.

        Parameters
        ----------
        must
            Whether a pool is given up even if nobody takes it.
        reachable
            Whether the key-value service answers. If not, a pool with a successor is used on,
            unless a write that gives it up was sent already.
        """
        for pool, hold in self._holds.items():
            handing_over = reachable and hold.grant.successor != NO_MEMBER
            hold.stopped = hold.release_sent or handing_over or must(pool)

    def release_was_sent(self, releases: list[Release]) -> None:
        """Remember that a write which gives pools up was sent."""
        for release in releases:
            self._holds[release.pool].release_sent = True

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
        for pool, hold in self._holds.items():
            waiting = now < max(hold.active_from, hold.former_end + max_attempt_s(pool))
            if not hold.stopped or waiting:
                continue
            if self._busy is None:
                ready.append(Release(pool, hold.epoch, False))
            elif not self._busy(pool):
                ready.append(Release(pool, hold.epoch, True))
        return ready

    def holding(
        self, pool: PoolId, valid_until: float, max_attempt_s: float, now: float
    ) -> Holding | None:
        """Return the holding of a pool if work may be admitted now."""
        hold = self._holds.get(pool)
        if hold is None or hold.stopped:
            return None
        if now < hold.active_from or now >= valid_until:
            return None
        return Holding(hold.epoch, valid_until, hold.former_end + max_attempt_s)
