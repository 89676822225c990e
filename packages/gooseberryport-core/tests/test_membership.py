import random

import pytest

from gooseberryport_core._membership import MAX_HEARTBEAT_POOLS, Membership
from gooseberryport_core._views import HeartbeatFacts
from gooseberryport_core._vm_list import GONE_DELAY_S
from gooseberryport_core.effects import SendMessage
from gooseberryport_core.events import ListedVm, MessageArrived, Tick, VmListArrived
from gooseberryport_core.messages import MAX_DATAGRAM_BYTES, Heartbeat, PoolLoad, encode_message
from gooseberryport_core.testing import make_settings
from gooseberryport_core.types import PoolId, StoreReach, VmState
from gooseberryport_standins.soak import example_config

LOADS = tuple(
    PoolLoad(PoolId("truing-archive-svc", "bellinzona-b", n), 10**6, 10**4, 10**4, 10**4, 0.1)
    for n in range(40)
)


def facts(_: float) -> HeartbeatFacts:
    return HeartbeatFacts(VmState.LIVE, StoreReach.REACHABLE, False, 10**6, 10**6, 10**4, LOADS)


def make(vm: str = "vm-1") -> Membership:
    return Membership(settings=make_settings(vm), rng=random.Random(1), facts=facts)


def beat(vm: str, incarnation: int = 1, state: VmState = VmState.LIVE) -> Heartbeat:
    return Heartbeat(
        vm, incarnation, "bern-a", "mittelland", state, 1, (), StoreReach.REACHABLE, False,
        1, 1, 1, (), f"{vm}:peer", f"{vm}:http",
    )  # fmt: skip


def hear(members: Membership, now: float, *args: object) -> None:
    members.handle(MessageArrived(beat("vm-2", *args), "vm-2:peer"), now)


def read(members: Membership, now: float, *lines: ListedVm) -> None:
    members.handle(VmListArrived(lines), now)


def line(state: VmState = VmState.LIVE, incarnation: int = 1, vm: str = "vm-2") -> ListedVm:
    return ListedVm(vm, "bern-a", state, f"{vm}:peer", incarnation)


def test_vm_that_is_heard_and_not_listed_is_live() -> None:
    members = make()
    read(members, 0.0, line(vm="vm-3"))
    hear(members, 0.0)
    assert [peer.vm for peer in members.live(0.5)] == ["vm-2"]


def test_vm_that_is_listed_and_silent_is_not_live_and_is_sent_heartbeats() -> None:
    members = make()
    read(members, 0.0, line())
    assert members.live(0.0) == ()
    sent = [e.address for e in members.handle(Tick(0.0), 0.0) if isinstance(e, SendMessage)]
    assert sent == ["vm-2:peer"]


def test_silent_vm_is_gone_only_after_a_while_of_absence_from_every_reading() -> None:
    members = make()
    read(members, 0.0, line())
    hear(members, 0.0)
    for now in range(1, 20):
        read(members, float(now), *([line()] if now % 5 == 0 else []))
        assert members.peer("vm-2").state == VmState.LIVE
    last_listed = 15.0
    read(members, last_listed + 1.0 + GONE_DELAY_S - 0.1)
    assert members.peer("vm-2").state == VmState.LIVE
    read(members, last_listed + 1.0 + GONE_DELAY_S)
    assert members.peer("vm-2").state == VmState.GONE


def test_vm_that_is_heard_is_never_gone() -> None:
    members = make()
    read(members, 0.0, line())
    for now in range(1, 60):
        hear(members, float(now))
        read(members, float(now))
    assert members.peer("vm-2").state == VmState.LIVE


@pytest.mark.parametrize(
    ("listed", "expected"),
    [
        ((line(), line(VmState.LEAVING, 0)), VmState.LIVE),
        ((line(VmState.LEAVING, 1), line(VmState.LIVE, 2)), VmState.LIVE),
        ((line(VmState.LEAVING, 2),), VmState.LEAVING),
        ((line(VmState.LEAVING, 1),), VmState.LIVE),
        ((line(VmState.LEAVING, 0),), VmState.LEAVING),
    ],
)
def test_list_that_lags_behind_a_new_incarnation(
    listed: tuple[ListedVm, ...], expected: VmState
) -> None:
    members = make()
    hear(members, 0.0, 2)
    read(members, 0.0, *listed)
    hear(members, 0.1, 1)
    assert (members.peer("vm-2").incarnation, members.peer("vm-2").state) == (2, expected)


def test_region_of_a_listed_vm_is_known_once_a_configuration_is() -> None:
    members = make()
    read(members, 0.0, line())
    assert members.peer("vm-2").region == ""
    members.configure(example_config(), 0.0)
    assert members.peer("vm-2").region == "mittelland"


def test_heartbeats_fit_into_a_datagram_and_tell_every_pool_in_turn() -> None:
    members = make()
    read(members, 0.0, line())
    told = set()
    for step in range(len(LOADS) // MAX_HEARTBEAT_POOLS):
        (effect,) = members.handle(Tick(0.0), float(step))
        assert len(encode_message(effect.message)) <= MAX_DATAGRAM_BYTES
        told.update(load.pool for load in effect.message.pools)
    assert told == {load.pool for load in LOADS}
