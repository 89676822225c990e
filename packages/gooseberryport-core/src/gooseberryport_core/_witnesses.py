"""Votes of witnesses that extend a lease while the key-value store is unavailable.

An owner may extend its lease under its table while a majority of that table's witnesses know of no
newer table. A new owner starts only after so many witnesses have acknowledged its newer table that
no such majority is left.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

import msgspec

from gooseberryport_core._lease_clock import NEVER
from gooseberryport_core._lease_table import (
    MemberId,
    Witness,
    extension_quorum,
    fence_quorum,
)
from gooseberryport_core.types import RegionName

FOREVER = float("inf")
"""Time of something that is not known to happen at all; later than every other time."""

MAX_REVISION = 1 << 62


class WitnessState:
    """The fence and the last vote of this daemon as a witness, for each region.

    The fence is the newest table revision that the daemon was informed of.
    """

    def __init__(self) -> None:
        self._fence_revisions: dict[RegionName, int] = {}
        self._vote_valid_until: dict[RegionName, float] = {}

    def fence_revision(self, region: RegionName) -> int:
        """Return the newest revision of a region's table that this daemon was informed of."""
        return self._fence_revisions.get(region, 0)

    def raise_fence(self, region: RegionName, revision: int) -> None:
        """Stop voting for extensions under tables older than `revision`, permanently."""
        self._fence_revisions[region] = max(revision, self.fence_revision(region))

    def allows_extension(self, region: RegionName, revision: int) -> bool:
        """Return whether an owner whose newest table has this revision may extend its lease."""
        return revision >= self.fence_revision(region)

    def record_vote(self, region: RegionName, valid_until: float) -> None:
        """Record a vote of this daemon that an owner may count until `valid_until`."""
        self._vote_valid_until[region] = max(valid_until, self._vote_valid_until.get(region, NEVER))

    def vote_left_s(self, region: RegionName, now: float) -> float:
        """Return for how long the last vote may still be counted; negative once it has expired."""
        return self._vote_valid_until.get(region, NEVER) - now


class ExtensionVotes:
    """Votes of witnesses for this daemon's lease extension.

    A vote counts from the issue of the stamp in the request that it replies to.
    """

    def __init__(self) -> None:
        self._stamps: dict[MemberId, int] = {}

    def record(self, witness: MemberId, stamp: int) -> None:
        """Record a witness's vote for the extension request with this stamp."""
        self._stamps[witness] = max(stamp, self._stamps.get(witness, 0))

    def valid_until(
        self,
        witnesses: tuple[Witness, ...],
        *,
        own_id: MemberId | None,
        newest: int,
        issued_at: Callable[[int], float],
        valid_s: float,
    ) -> float:
        """Return until when the votes extend the owner's lease; seconds, monotonic.

        Parameters
        ----------
        witnesses
            The witnesses of the owner's table.
        own_id
            The owner itself if its own vote counts because it knows of no newer table, else None.
        newest
            The owner's newest stamp, from which its own vote counts.
        issued_at
            Returns when a stamp was issued; minus infinity if unknown.
        valid_s
            Time for which a vote counts; seconds.
        """
        stamps = [
            newest if witness.id == own_id else self._stamps.get(witness.id, 0)
            for witness in witnesses
        ]
        if not stamps:
            return NEVER
        ends = sorted((issued_at(stamp) + valid_s for stamp in stamps), reverse=True)
        return ends[extension_quorum(len(ends)) - 1]


class _Ack(msgspec.Struct, frozen=True):
    """A witness's acknowledgement: its votes for tables before `revision` end by `fenced_at`."""

    revision: int
    fenced_at: float


class FenceAcks:
    """Fence acknowledgements of the witnesses, counted by a new owner."""

    def __init__(self) -> None:
        self._acks: dict[MemberId, _Ack] = {}

    def record(self, witness: MemberId, revision: int, fenced_at: float) -> None:
        """Record the acknowledgement of a witness whose last vote has expired by `fenced_at`."""
        known = self._acks.get(witness)
        if known is None or revision > known.revision:
            self._acks[witness] = _Ack(revision, fenced_at)

    def record_gone(self, witness: MemberId, fenced_at: float) -> None:
        """Record that a witness has ended; it no longer votes, so it counts as fenced."""
        self.record(witness, MAX_REVISION, fenced_at)

    def fenced_at(self, witness_sets: Iterable[tuple[Witness, ...]], revision: int) -> float:
        """Return the time from which no owner can extend its lease under an older table.

        An older table is one before `revision`. The time is infinite if too few witnesses have
        acknowledged the fence.
        """
        latest = NEVER
        for witnesses in witness_sets:
            ends = sorted(self._fenced_at(witness.id, revision) for witness in witnesses)
            latest = max(latest, ends[fence_quorum(len(ends)) - 1])
        return latest

    def _fenced_at(self, witness: MemberId, revision: int) -> float:
        ack = self._acks.get(witness)
        if ack is None or ack.revision < revision:
            return FOREVER
        return ack.fenced_at
