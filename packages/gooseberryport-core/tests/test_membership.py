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


def make_membership(vm: str = "vm-1") -> Membership:
    return Membership(settings=make_settings(vm), rng=random.Random(1), facts=facts)


def make_heartbeat(vm: str, incarnation: int = 1, state: VmState = VmState.LIVE) -> Heartbeat:
    return Heartbeat(
        vm, incarnation, "bern-a", "mittelland", state, 1, (), StoreReach.REACHABLE, False,
        1, 1, 1, (), f"{vm}:peer", f"{vm}:http",
    )  # fmt: skip


def receive_heartbeat(membership: Membership, now: float, *args: object) -> None:
    membership.handle(MessageArrived(make_heartbeat("vm-2", *args), "vm-2:peer"), now)


def read_vm_list(membership: Membership, now: float, *entries: ListedVm) -> None:
    membership.handle(VmListArrived(entries), now)


def entry(state: VmState = VmState.LIVE, incarnation: int = 1, vm: str = "vm-2") -> ListedVm:
    return ListedVm(vm, "bern-a", state, f"{vm}:peer", incarnation)


def test_vm_that_sends_heartbeats_but_is_not_listed_is_live() -> None:
    membership = make_membership()
    read_vm_list(membership, 0.0, entry(vm="vm-3"))
    receive_heartbeat(membership, 0.0)
    assert [peer.vm for peer in membership.live(0.5)] == ["vm-2"]


def test_listed_vm_without_heartbeats_is_not_live_but_is_sent_heartbeats() -> None:
    membership = make_membership()
    read_vm_list(membership, 0.0, entry())
    assert membership.live(0.0) == ()
    sent = [e.address for e in membership.handle(Tick(0.0), 0.0) if isinstance(e, SendMessage)]
    assert sent == ["vm-2:peer"]


def test_silent_vm_is_gone_only_after_absence_from_every_reading_for_the_delay() -> None:
    membership = make_membership()
    read_vm_list(membership, 0.0, entry())
    receive_heartbeat(membership, 0.0)
    for now in range(1, 20):
        read_vm_list(membership, float(now), *([entry()] if now % 5 == 0 else []))
        assert membership.peer("vm-2").state == VmState.LIVE
    last_listed = 15.0
    read_vm_list(membership, last_listed + 1.0 + GONE_DELAY_S - 0.1)
    assert membership.peer("vm-2").state == VmState.LIVE
    read_vm_list(membership, last_listed + 1.0 + GONE_DELAY_S)
    assert membership.peer("vm-2").state == VmState.GONE


def test_vm_that_sends_heartbeats_is_never_gone() -> None:
    membership = make_membership()
    read_vm_list(membership, 0.0, entry())
    for now in range(1, 60):
        receive_heartbeat(membership, float(now))
        read_vm_list(membership, float(now))
    assert membership.peer("vm-2").state == VmState.LIVE


@pytest.mark.parametrize(
    ("listed", "expected"),
    [
        ((entry(), entry(VmState.LEAVING, 0)), VmState.LIVE),
        ((entry(VmState.LEAVING, 1), entry(VmState.LIVE, 2)), VmState.LIVE),
        ((entry(VmState.LEAVING, 2),), VmState.LEAVING),
        ((entry(VmState.LEAVING, 1),), VmState.LIVE),
        ((entry(VmState.LEAVING, 0),), VmState.LEAVING),
    ],
)
def test_stale_list_does_not_override_a_newer_incarnation(
    listed: tuple[ListedVm, ...], expected: VmState
) -> None:
    membership = make_membership()
    receive_heartbeat(membership, 0.0, 2)
    read_vm_list(membership, 0.0, *listed)
    receive_heartbeat(membership, 0.1, 1)
    assert (membership.peer("vm-2").incarnation, membership.peer("vm-2").state) == (2, expected)


def test_region_of_a_listed_vm_is_known_once_a_configuration_is_applied() -> None:
    membership = make_membership()
    read_vm_list(membership, 0.0, entry())
    assert membership.peer("vm-2").region == ""
    membership.configure(example_config(), 0.0)
    assert membership.peer("vm-2").region == "mittelland"


def test_heartbeats_fit_into_a_datagram_and_report_every_pool_in_turn() -> None:
    membership = make_membership()
    read_vm_list(membership, 0.0, entry())
    reported = set()
    for step in range(len(LOADS) // MAX_HEARTBEAT_POOLS):
        (effect,) = membership.handle(Tick(0.0), float(step))
        assert len(encode_message(effect.message)) <= MAX_DATAGRAM_BYTES
        reported.update(load.pool for load in effect.message.pools)
    assert reported == {load.pool for load in LOADS}
