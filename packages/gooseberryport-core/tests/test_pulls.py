from __future__ import annotations

import random

import pytest

from gooseberryport_core._admission import Admission
from gooseberryport_core._pulls import RESERVATION_TTL_S
from gooseberryport_core._views import Holding, Owner, Peer, RemoteLoad
from gooseberryport_core.config import Config, Region, Service, Upstream
from gooseberryport_core.effects import Effect, SendMessage, SendTicketReply
from gooseberryport_core.events import (
    BodyArrived,
    Event,
    MessageArrived,
    Tick,
    TicketArrived,
    UpstreamAttemptEnded,
)
from gooseberryport_core.messages import Granted, Moved, Pull, PullReply, Refused, Ticket
from gooseberryport_core.settings import NodeSettings
from gooseberryport_core.types import AttemptOutcome, PoolId, VmState

SERVICE = "dressing-registry"
BUSY, FREE = PoolId(SERVICE, "bern-a"), PoolId(SERVICE, "olten-b")
VM_OF = {BUSY: "vm-1", FREE: "vm-2"}
LEASED_AT = 1.0
CFG = Config(
    version=1,
    regions={"mittelland": Region(("bern-a", "olten-b"))},
    services={SERVICE: Service(slots=1)},
    upstreams={p.zone: Upstream(SERVICE, p.zone, "127.0.0.1:9") for p in VM_OF},
)


class FakeView:
    """One daemon's view: it knows all owners and peers, and the loads that a test sets."""

    def __init__(self, vm: str) -> None:
        self.vm = vm
        self.remote: tuple[RemoteLoad, ...] = ()

    def owner_of(self, pool: PoolId) -> Owner | None:
        return Owner(VM_OF[pool], 1)

    def holding(self, pool: PoolId, now: float) -> Holding | None:
        is_leased = VM_OF[pool] == self.vm and now >= LEASED_AT
        return Holding(1, float("inf"), 0.0) if is_leased else None

    def holdings(self, now: float) -> dict[PoolId, Holding]:
        return {pool: Holding(1, float("inf"), 0.0) for pool in VM_OF if VM_OF[pool] == self.vm}

    def live(self, now: float) -> tuple[Peer, ...]:
        return ()

    def peer(self, vm: str) -> Peer | None:
        if vm == self.vm:
            return None
        return Peer(vm, 1, "bern-a", "mittelland", VmState.LIVE, vm, "", 0.0)

    def loads(self, now: float) -> tuple[RemoteLoad, ...]:
        return self.remote


class OwnerPair:
    """An owner with a queue, an owner with a free slot, and the messages between them."""

    def __init__(self) -> None:
        self.views = {vm: FakeView(vm) for vm in VM_OF.values()}
        self.admissions: dict[str, Admission] = {}
        self.now = 0.0
        for vm, view in self.views.items():
            settings = NodeSettings(vm, 1, "bern-a", "mittelland", vm, "")
            admission = Admission(settings=settings, owners=view, peers=view, rng=random.Random(5))
            admission.configure(CFG, 0.0)
            self.admissions[vm] = admission
        self.now = LEASED_AT
        for serial in range(3):
            self.offer("vm-1", BUSY, f"t{serial}")

    def feed(self, vm: str, event: Event) -> list[Effect]:
        return self.admissions[vm].handle(event, self.now)

    def offer(self, vm: str, pool: PoolId, name: str, **fields: object) -> list[Effect]:
        ticket = Ticket(name, pool, 1, 9.0, True, True, 0, 100, "mittelland", **fields)
        return self.feed(vm, TicketArrived("entry", ticket))

    def send_pull(self) -> Pull:
        load = self.admissions["vm-1"].loads(self.now)[0]
        self.views["vm-2"].remote = (RemoteLoad("vm-1", load, 0.0),)
        (effect,) = self.feed("vm-2", Tick(wall=self.now))
        assert isinstance(effect, SendMessage) and isinstance(effect.message, Pull)
        return effect.message

    def reply_to(self, pull: Pull) -> tuple[list[Moved], PullReply]:
        effects = self.feed("vm-1", MessageArrived(pull, "vm-2"))
        moved = [e.reply for e in effects if isinstance(e, SendTicketReply)]
        (reply,) = [e.message for e in effects if isinstance(e, SendMessage)]
        assert isinstance(reply, PullReply)
        return [m for m in moved if isinstance(m, Moved)], reply

    def num_busy(self) -> int:
        return self.admissions["vm-2"].loads(self.now)[0].busy


def replies(effects: list[Effect]) -> list[type]:
    return [type(e.reply) for e in effects if isinstance(e, SendTicketReply)]


def test_free_slot_is_reserved_for_the_moved_ticket() -> None:
    owners = OwnerPair()
    (moved,), reply = owners.reply_to(owners.send_pull())
    assert (moved.ticket_id, moved.vm, moved.pool) == ("t1", "vm-2", FREE)
    assert (reply.ticket_id, reply.queued) == ("t1", 1)
    owners.feed("vm-2", MessageArrived(reply, "vm-1"))
    assert replies(owners.offer("vm-2", FREE, "other")) == []
    effects = owners.offer("vm-2", FREE, "t1b", reserved=moved.upstream)
    assert replies(effects) == [Granted] and owners.num_busy() == 1


@pytest.mark.parametrize("lost", ["pull", "reply", "ticket"])
def test_reservation_expires_when_a_datagram_or_the_ticket_is_lost(lost: str) -> None:
    owners = OwnerPair()
    pull = owners.send_pull()
    owners.views["vm-2"].remote = ()
    reply = owners.reply_to(pull)[1] if lost != "pull" else None
    if lost == "ticket" and reply is not None:
        owners.feed("vm-2", MessageArrived(reply, "vm-1"))
    assert owners.num_busy() == 1
    owners.now += RESERVATION_TTL_S + 0.001
    effects = owners.offer("vm-2", FREE, "other")
    assert replies(effects) == [Granted]


def test_duplicate_pull_moves_one_ticket_and_duplicate_reply_is_ignored() -> None:
    owners = OwnerPair()
    pull = owners.send_pull()
    (moved,), reply = owners.reply_to(pull)
    assert owners.reply_to(pull) == ([], PullReply(pull.serial))
    for message in (reply, reply, PullReply(pull.serial)):
        owners.feed("vm-2", MessageArrived(message, "vm-1"))
    assert owners.num_busy() == 1
    owners.offer("vm-2", FREE, "t1b", reserved=moved.upstream)
    owners.feed("vm-2", MessageArrived(reply, "vm-1"))
    assert owners.num_busy() == 1


def test_ticket_that_arrives_after_its_reservation_expired_is_queued() -> None:
    owners = OwnerPair()
    (moved,), _ = owners.reply_to(owners.send_pull())
    owners.now += 1.0
    assert replies(owners.offer("vm-2", FREE, "other")) == [Granted]
    assert replies(owners.offer("vm-2", FREE, "t1b", reserved=moved.upstream)) == []
    owners.feed("vm-2", BodyArrived("other"))
    done = UpstreamAttemptEnded("other", AttemptOutcome.ANSWERED, 200, 10, 0.1)
    assert replies(owners.feed("vm-2", done)) == [Granted]


def test_pull_from_an_empty_queue_gets_an_empty_reply_and_frees_the_slot() -> None:
    owners = OwnerPair()
    pull = owners.send_pull()
    owners.now += 20.0
    assert replies(owners.feed("vm-1", Tick(wall=20.0))) == [Refused, Refused, Refused]
    moved, reply = owners.reply_to(pull)
    assert moved == [] and reply.ticket_id == ""
    owners.views["vm-2"].remote = ()
    owners.feed("vm-2", MessageArrived(reply, "vm-1"))
    assert replies(owners.offer("vm-2", FREE, "other")) == [Granted]


def test_arriving_ticket_takes_the_slot_of_an_unanswered_pull() -> None:
    owners = OwnerPair()
    _, reply = owners.reply_to(owners.send_pull())
    assert replies(owners.offer("vm-2", FREE, "other")) == [Granted]
    owners.feed("vm-2", MessageArrived(reply, "vm-1"))
    assert replies(owners.offer("vm-2", FREE, "t1b", reserved="olten-b")) == []
    assert owners.num_busy() == 1
