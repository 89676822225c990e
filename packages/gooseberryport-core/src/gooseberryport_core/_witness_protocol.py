"""Lease extension while the key-value store is unavailable, without two owners of one pool.

A daemon has three roles here. As a witness it votes on lease extensions and acknowledges fences; a
fence is a table revision below which the witness no longer votes. As an owner it requests votes to
extend its lease. As a new owner it sends fence requests to the witnesses before it starts, so that
the former owner can no longer extend its lease.
"""

from __future__ import annotations

from gooseberryport_core._lease_clock import NEVER, StampClock
from gooseberryport_core._lease_table import Member, MemberId, StoredTable, Witness
from gooseberryport_core._table_dissemination import own_id
from gooseberryport_core._views import Peers
from gooseberryport_core._witnesses import ExtensionVotes, FenceAcks, WitnessState
from gooseberryport_core.effects import Effect, SendMessage
from gooseberryport_core.events import MessageArrived
from gooseberryport_core.messages import FenceAck, FenceAsk, LeaseAsk, LeaseYes
from gooseberryport_core.settings import NodeSettings
from gooseberryport_core.types import RegionName, VmState

EXTENSION_REQUEST_FRACTION = 0.5
"""Fraction of the lease that may pass without a renewal before an owner requests an extension."""


class WitnessProtocol:
    """Request votes and fence acknowledgements from witnesses, and act as a witness.

    Parameters
    ----------
    settings
        This daemon's identity and timing.
    peers
        The other daemons that membership knows.
    stamps
        This daemon's lease stamps.
    """

    def __init__(self, *, settings: NodeSettings, peers: Peers, stamps: StampClock) -> None:
        self._settings = settings
        self._peers = peers
        self._stamps = stamps
        self._own_id = own_id(settings)
        self._margin_s = settings.timing.lease_margin_s
        self._witness_state = WitnessState()
        self._votes = ExtensionVotes()
        self._fence_acks = FenceAcks()
        self._gone_seen_at: dict[MemberId, float] = {}
        self._stored: StoredTable | None = None
        self._former_witnesses: tuple[Witness, ...] = ()
        self._former_witnesses_revision = 0
        self._next_extension_request = NEVER
        self._next_fence_request = NEVER

    def lease_until(self, stored: StoredTable) -> float:
        """Return when this daemon's lease ends without an extension, less the clock margin.

        Seconds, monotonic.
        """
        member = stored.table.member(self._own_id)
        if member is None:
            return NEVER
        return self._stamps.issued_at(member.stamp) + member.lease_s - self._margin_s

    def valid_until(self, stored: StoredTable) -> float:
        """Return when this daemon must stop admitting work, with extensions by witnesses counted.

        Seconds, monotonic.
        """
        member = stored.table.member(self._own_id)
        if member is None:
            return NEVER
        is_fenced = not self._witness_state.allows_extension(stored.table.region, stored.revision)
        extended = self._votes.valid_until(
            stored.table.witnesses,
            own_id=None if is_fenced else self._own_id,
            newest=self._stamps.newest,
            issued_at=self._stamps.issued_at,
            valid_s=member.lease_s - self._margin_s,
        )
        return max(self.lease_until(stored), extended)

    def fenced_at(self, stored: StoredTable, revision: int) -> float:
        """Return the time from which no owner can extend its lease under an older table.

        An older table is one before `revision`. The time is infinite if too few witnesses have
        acknowledged the fence.
        """
        return self._fence_acks.fenced_at(stored.table.witness_sets(), revision)

    def record_table(self, stored: StoredTable, now: float) -> None:
        """Record a newer table, and as a witness raise the fence to its revision."""
        self._raise_fence(stored.table.region, stored.revision, now)
        self._stored = stored
        if stored.table.former_witnesses != self._former_witnesses:
            self._former_witnesses = stored.table.former_witnesses
            self._former_witnesses_revision = stored.revision

    def former_witnesses_fenced(self, now: float) -> bool:
        """Return whether no owner can extend its lease by votes of the former witnesses."""
        if not self._former_witnesses:
            return True
        return (
            self._fence_acks.fenced_at((self._former_witnesses,), self._former_witnesses_revision)
            <= now
        )

    def tick(
        self, stored: StoredTable | None, *, cut_off: bool, awaits_fence: bool, now: float
    ) -> list[Effect]:
        """Send extension and fence requests to the witnesses when they are due.

        Parameters
        ----------
        cut_off
            Whether this daemon owns pools and the store does not reply to it.
        awaits_fence
            Whether it waits for fence acknowledgements from witnesses.
        """
        if stored is None:
            return []
        effects: list[Effect] = []
        member = stored.table.member(self._own_id)
        if cut_off and member is not None:
            effects.extend(self._request_extension(stored, member, now))
        if awaits_fence and now >= self._next_fence_request:
            effects.extend(self.request_fence(stored, now))
        return effects

    def request_fence(self, stored: StoredTable, now: float) -> list[Effect]:
        """Send the witnesses a fence request for a table under which this daemon waits to start.

        This daemon's own acknowledgement, and that of a witness that has ended, is recorded
        without a message.
        """
        self._next_fence_request = now + self._settings.timing.heartbeat_s
        ask = FenceAsk(stored.table.region, stored.revision)
        effects: list[Effect] = []
        for witness in _all_witnesses(stored):
            if witness.id == self._own_id:
                self._fence_acks.record(
                    self._own_id, stored.revision, self._own_vote_ends_at(stored, now)
                )
            elif self._is_gone(witness, now):
                lease_s = max((m.lease_s for m in stored.table.members), default=0.0)
                fenced_at = self._gone_seen_at[witness.id] + lease_s + self._margin_s
                self._fence_acks.record_gone(witness.id, fenced_at)
            else:
                effects.append(SendMessage(witness.address, ask))
        return effects

    def handle_message(self, event: MessageArrived, now: float) -> list[Effect]:
        """Handle an extension or fence request, or the reply to one."""
        message = event.message
        if isinstance(message, LeaseAsk):
            return self._reply_to_extension(message, event.address, now)
        if isinstance(message, FenceAsk):
            return self._reply_to_fence(message, event.address, now)
        if isinstance(message, LeaseYes):
            self._votes.record(MemberId(message.vm, message.incarnation), message.stamp)
        if isinstance(message, FenceAck) and message.region == self._settings.region:
            fenced_at = now + message.yes_left_s + self._margin_s
            witness = MemberId(message.vm, message.incarnation)
            self._fence_acks.record(witness, message.revision, fenced_at)
        return []

    def _request_extension(self, stored: StoredTable, member: Member, now: float) -> list[Effect]:
        extend_from = self.lease_until(stored) - member.lease_s * EXTENSION_REQUEST_FRACTION
        if now < max(extend_from, self._next_extension_request):
            return []
        self._next_extension_request = now + self._settings.timing.heartbeat_s
        ask = LeaseAsk(
            region=stored.table.region,
            vm=self._own_id.vm,
            incarnation=self._own_id.incarnation,
            stamp=self._stamps.newest,
            revision=stored.revision,
            valid_s=member.lease_s,
        )
        other_witnesses = [
            witness for witness in stored.table.witnesses if witness.id != self._own_id
        ]
        return [SendMessage(witness.address, ask) for witness in other_witnesses]

    def _reply_to_extension(self, ask: LeaseAsk, address: str, now: float) -> list[Effect]:
        if not self._witness_state.allows_extension(ask.region, ask.revision):
            return []
        self._raise_fence(ask.region, ask.revision, now)
        self._witness_state.record_vote(ask.region, now + ask.valid_s)
        vote = LeaseYes(ask.region, self._own_id.vm, self._own_id.incarnation, ask.stamp)
        return [SendMessage(address, vote)]

    def _reply_to_fence(self, ask: FenceAsk, address: str, now: float) -> list[Effect]:
        self._raise_fence(ask.region, ask.revision, now)
        ack = FenceAck(
            region=ask.region,
            vm=self._own_id.vm,
            incarnation=self._own_id.incarnation,
            revision=self._witness_state.fence_revision(ask.region),
            yes_left_s=self._witness_state.vote_left_s(ask.region, now),
        )
        return [SendMessage(address, ack)]

    def _own_vote_ends_at(self, stored: StoredTable, now: float) -> float:
        return now + self._witness_state.vote_left_s(stored.table.region, now) + self._margin_s

    def _raise_fence(self, region: RegionName, revision: int, now: float) -> None:
        """Raise this daemon's own fence as a witness.

        If its own lease is extended at present, its own vote for the extension ends; the vote is
        recorded as valid until now.
        """
        stored = self._stored
        is_newer = (
            stored is not None and region == stored.table.region and revision > stored.revision
        )
        if (
            is_newer
            and stored is not None
            and self.lease_until(stored) < now < self.valid_until(stored)
        ):
            self._witness_state.record_vote(region, now)
        self._witness_state.raise_fence(region, revision)

    def _is_gone(self, witness: Witness, now: float) -> bool:
        """Return whether a witness has ended, as the VM list or a newer incarnation proves."""
        if not self._has_ended(witness.id):
            self._gone_seen_at.pop(witness.id, None)
            return False
        self._gone_seen_at.setdefault(witness.id, now)
        return True

    def _has_ended(self, witness: MemberId) -> bool:
        if witness.vm == self._own_id.vm:
            return witness.incarnation < self._own_id.incarnation
        peer = self._peers.peer(witness.vm)
        if peer is None:
            return False
        return peer.incarnation > witness.incarnation or peer.state == VmState.GONE


def _all_witnesses(stored: StoredTable) -> list[Witness]:
    witnesses = {w.id: w for found in stored.table.witness_sets() for w in found}
    return [witnesses[name] for name in sorted(witnesses)]
