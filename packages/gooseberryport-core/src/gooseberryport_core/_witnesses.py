"""Votes of witnesses: who may go on past a lease while the key-value service is down.

A holder goes on under its table while a majority of that table's witnesses know of no newer one.
A new owner starts only after so many witnesses know of its table that no such majority is left.
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
MAX_REVISION = 1 << 62


class WitnessState:
    """What this daemon has promised as a witness, for any region."""

    def __init__(self) -> None:
        self._fence_revisions: dict[RegionName, int] = {}
        self._vote_valid_until: dict[RegionName, float] = {}

    def fence(self, region: RegionName) -> int:
        """Return the newest revision of a region's table that this daemon was told of."""
        return self._fence_revisions.get(region, 0)

    def raise_fence(self, region: RegionName, revision: int) -> None:
        """Never again say yes for a table older than `revision`."""
        self._fence_revisions[region] = max(revision, self.fence(region))

    def allows_extension(self, region: RegionName, revision: int) -> bool:
        """Whether a holder that knows this revision may go on."""
        return revision >= self.fence(region)

    def record_vote(self, region: RegionName, valid_until: float) -> None:
        """Remember that a yes was given that may be counted until then."""
        self._vote_valid_until[region] = max(valid_until, self._vote_valid_until.get(region, NEVER))

    def vote_left_s(self, region: RegionName, now: float) -> float:
        """Return for how long the last yes may still be counted; negative once it has ended."""
        return self._vote_valid_until.get(region, NEVER) - now


class ExtensionVotes:
    """The yes of each witness, counted by a holder from the issue of the stamp it answers."""

    def __init__(self) -> None:
        self._stamps: dict[MemberId, int] = {}

    def record(self, witness: MemberId, stamp: int) -> None:
        """Take a witness's yes to the ask with this stamp."""
        self._stamps[witness] = max(stamp, self._stamps.get(witness, 0))

    def valid_until(
        self,
        witnesses: tuple[Witness, ...],
        *,
        own: MemberId | None,
        newest: int,
        issued_at: Callable[[int], float],
        valid_s: float,
    ) -> float:
        """Return until when the votes let the holder go on; seconds, monotonic.

        Parameters
        ----------
        witnesses
            The witnesses of the holder's table.
        own
            The holder's own name if it is a witness and knows of no newer table, else None.
        newest
            The holder's newest stamp, by which its own vote counts.
        issued_at
            Returns when a stamp was issued; minus infinity if unknown.
        valid_s
            Time for which a yes counts; seconds.
        """
        stamps = [
            newest if witness.id == own else self._stamps.get(witness.id, 0)
            for witness in witnesses
        ]
        if not stamps:
            return NEVER
        ends = sorted((issued_at(stamp) + valid_s for stamp in stamps), reverse=True)
        return ends[extension_quorum(len(ends)) - 1]


class _Ack(msgspec.Struct, frozen=True):
    """A witness's promise: no table older than `revision` after `fenced_at`."""

    revision: int
    fenced_at: float


class FenceAcks:
    """The promises of the witnesses, counted by a new owner."""

    def __init__(self) -> None:
        self._acks: dict[MemberId, _Ack] = {}

    def record(self, witness: MemberId, revision: int, fenced_at: float) -> None:
        """Take a witness's promise, whose last yes has ended by `fenced_at`."""
        known = self._acks.get(witness)
        if known is None or revision > known.revision:
            self._acks[witness] = _Ack(revision, fenced_at)

    def record_gone(self, witness: MemberId, fenced_at: float) -> None:
        """Count a witness that has ceased to exist; it says yes to nobody."""
        self.record(witness, MAX_REVISION, fenced_at)

    def fenced_at(self, witness_sets: Iterable[tuple[Witness, ...]], revision: int) -> float:
        """Return when no holder goes on under a table older than `revision`.

        Infinity if too few witnesses have promised it.
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
