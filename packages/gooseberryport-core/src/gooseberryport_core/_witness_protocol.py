"""Going on while the key-value service is down, without two owners of one pool.

This part holds a daemon's three roles: the witness that answers, the holder that asks to go on
past its lease, and the new owner that tells the witnesses before it starts.
"""

from __future__ import annotations

from gooseberryport_core._lease_clock import NEVER, StampClock
from gooseberryport_core._lease_table import Member, MemberId, SeenTable, Witness
from gooseberryport_core._table_dissemination import own_id
from gooseberryport_core._views import Peers
from gooseberryport_core._witnesses import ExtensionVotes, FenceVotes, WitnessBook
from gooseberryport_core.effects import Effect, SendMessage
from gooseberryport_core.events import MessageArrived
from gooseberryport_core.messages import FenceAck, FenceAsk, LeaseAsk, LeaseYes
from gooseberryport_core.settings import NodeSettings
from gooseberryport_core.types import RegionName, VmState

ASK_FRACTION = 0.5
"""Part of the lease that may pass without a renewal before the witnesses are asked."""


class OutageRule:
    """Ask witnesses, and be one.

    Parameters
    ----------
    settings
        Who this daemon is.
    peers
        What membership knows.
    stamps
        This daemon's lease stamps.
    """

    def __init__(self, *, settings: NodeSettings, peers: Peers, stamps: StampClock) -> None:
        self._settings = settings
        self._peers = peers
        self._stamps = stamps
        self._own = own_id(settings)
        self._margin_s = settings.timing.lease_margin_s
        self._book = WitnessBook()
        self._votes = ExtensionVotes()
        self._fences = FenceVotes()
        self._gone_since: dict[MemberId, float] = {}
        self._seen: SeenTable | None = None
        self._former: tuple[Witness, ...] = ()
        self._former_since = 0
        self._next_ask = NEVER
        self._next_fence = NEVER

    def lease_until(self, seen: SeenTable) -> float:
        """Return when this daemon's lease ends by the table alone; seconds, monotonic."""
        member = seen.table.member(self._own)
        if member is None:
            return NEVER
        return self._stamps.issued_at(member.stamp) + member.lease_s - self._margin_s

    def valid_until(self, seen: SeenTable) -> float:
        """Return when this daemon must stop admitting, votes of witnesses counted."""
        member = seen.table.member(self._own)
        if member is None:
            return NEVER
        informed = not self._book.allows(seen.table.region, seen.revision)
        extended = self._votes.until(
            seen.table.witnesses,
            own=None if informed else self._own,
            newest=self._stamps.newest,
            issued_at=self._stamps.issued_at,
            valid_s=member.lease_s - self._margin_s,
        )
        return max(self.lease_until(seen), extended)

    def clear_at(self, seen: SeenTable, revision: int) -> float:
        """Return when no holder goes on under a table older than `revision`."""
        return self._fences.clear_at(seen.table.witness_sets(), revision)

    def saw(self, seen: SeenTable, now: float) -> None:
        """Learn of a newer table, as a witness does."""
        self._raise_fence(seen.table.region, seen.revision, now)
        self._seen = seen
        if seen.table.former_witnesses != self._former:
            self._former = seen.table.former_witnesses
            self._former_since = seen.revision

    def witnesses_settled(self, now: float) -> bool:
        """Whether no holder goes on by votes of the former witnesses."""
        if not self._former:
            return True
        return self._fences.clear_at((self._former,), self._former_since) <= now

    def tick(
        self, seen: SeenTable | None, *, cut_off: bool, unfenced: bool, now: float
    ) -> list[Effect]:
        """Ask the witnesses if it is time to.

        Parameters
        ----------
        cut_off
            Whether this daemon holds pools and the service doesn't answer it.
        unfenced
            Whether it waits for promises of witnesses.
        """
        if seen is None:
            return []
        effects: list[Effect] = []
        member = seen.table.member(self._own)
        if cut_off and member is not None:
            effects.extend(self._ask_lease(seen, member, now))
        if unfenced and now >= self._next_fence:
            effects.extend(self.announce(seen, now))
        return effects

    def announce(self, seen: SeenTable, now: float) -> list[Effect]:
        """Tell the witnesses of a table under which this daemon waits to start."""
        self._next_fence = now + self._settings.timing.heartbeat_s
        ask = FenceAsk(seen.table.region, seen.revision)
        effects: list[Effect] = []
        for witness in _every_witness(seen):
            if witness.id == self._own:
                self._fences.add(self._own, seen.revision, self._own_clear_at(seen, now))
            elif self._is_gone(witness, now):
                lease_s = max((m.lease_s for m in seen.table.members), default=0.0)
                clear_at = self._gone_since[witness.id] + lease_s + self._margin_s
                self._fences.add_gone(witness.id, clear_at)
            else:
                effects.append(SendMessage(witness.address, ask))
        return effects

    def message(self, event: MessageArrived, now: float) -> list[Effect]:
        """Handle a message between holders, new owners and witnesses."""
        message = event.message
        if isinstance(message, LeaseAsk):
            return self._answer_lease(message, event.address, now)
        if isinstance(message, FenceAsk):
            return self._answer_fence(message, event.address, now)
        if isinstance(message, LeaseYes):
            self._votes.add(MemberId(message.vm, message.incarnation), message.stamp)
        if isinstance(message, FenceAck) and message.region == self._settings.region:
            clear_at = now + message.yes_left_s + self._margin_s
            witness = MemberId(message.vm, message.incarnation)
            self._fences.add(witness, message.revision, clear_at)
        return []

    def _ask_lease(self, seen: SeenTable, member: Member, now: float) -> list[Effect]:
        fresh_until = self.lease_until(seen) - member.lease_s * ASK_FRACTION
        if now < max(fresh_until, self._next_ask):
            return []
        self._next_ask = now + self._settings.timing.heartbeat_s
        ask = LeaseAsk(
            region=seen.table.region,
            vm=self._own.vm,
            incarnation=self._own.incarnation,
            stamp=self._stamps.newest,
            revision=seen.revision,
            valid_s=member.lease_s,
        )
        others = [witness for witness in seen.table.witnesses if witness.id != self._own]
        return [SendMessage(witness.address, ask) for witness in others]

    def _answer_lease(self, ask: LeaseAsk, address: str, now: float) -> list[Effect]:
        if not self._book.allows(ask.region, ask.revision):
            return []
        self._raise_fence(ask.region, ask.revision, now)
        self._book.record_yes(ask.region, now + ask.valid_s)
        yes = LeaseYes(ask.region, self._own.vm, self._own.incarnation, ask.stamp)
        return [SendMessage(address, yes)]

    def _answer_fence(self, ask: FenceAsk, address: str, now: float) -> list[Effect]:
        self._raise_fence(ask.region, ask.revision, now)
        ack = FenceAck(
            region=ask.region,
            vm=self._own.vm,
            incarnation=self._own.incarnation,
            revision=self._book.fence(ask.region),
            yes_left_s=self._book.yes_left(ask.region, now),
        )
        return [SendMessage(address, ack)]

    def _own_clear_at(self, seen: SeenTable, now: float) -> float:
        return now + self._book.yes_left(seen.table.region, now) + self._margin_s

    def _raise_fence(self, region: RegionName, revision: int, now: float) -> None:
        """Promise as a witness; a vote for itself ends here, and counts as a yes until now."""
        seen = self._seen
        newer = seen is not None and region == seen.table.region and revision > seen.revision
        if newer and seen is not None and self.lease_until(seen) < now < self.valid_until(seen):
            self._book.record_yes(region, now)
        self._book.raise_fence(region, revision)

    def _is_gone(self, witness: Witness, now: float) -> bool:
        """Whether the platform or a newer incarnation proves that a witness has ended."""
        if not self._has_ended(witness.id):
            self._gone_since.pop(witness.id, None)
            return False
        self._gone_since.setdefault(witness.id, now)
        return True

    def _has_ended(self, witness: MemberId) -> bool:
        if witness.vm == self._own.vm:
            return witness.incarnation < self._own.incarnation
        peer = self._peers.peer(witness.vm)
        if peer is None:
            return False
        return peer.incarnation > witness.incarnation or peer.state == VmState.GONE


def _every_witness(seen: SeenTable) -> list[Witness]:
    every = {w.id: w for found in seen.table.witness_sets() for w in found}
    return [every[name] for name in sorted(every)]
