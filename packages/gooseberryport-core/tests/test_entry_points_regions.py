import pytest
from gateway_builders import member

from gooseberryport_core.gateway.fleet import REMOTE_REGION_TIMEOUT_S, Fleet
from gooseberryport_core.gateway.lookups import UNHEARD_HOLD_S, Basis, Phase, StopTimes
from gooseberryport_core.gateway.reports import ZoneDigest, vm_hash

STOP_TIMES = StopTimes(accepts_s=2.0, ends_s=6.0)
B1, B2 = member("b1", zone="b1"), member("b2", zone="b2")


def look_up(fleet, *, now, zone="b1", region="B", phase=Phase.SERVING):
    found = fleet.entry_points(
        zone=zone, region=region, own_phase=phase, stop_times=STOP_TIMES, now=now
    )
    return found.basis, [address.removesuffix(":80") for address in found.addresses]


def hear(fleet, *vms, now, ready=True, incarnation=1):
    for vm in vms:
        fleet.record_datagram(vm, incarnation=incarnation, ready=ready, now=now)


def fleet_of(*members, heard_at=None, were_listed=False):
    fleet = Fleet(me=member("me"))
    fleet.set_listed(members, now=0.0, were_listed=were_listed)
    if heard_at is not None:
        hear(fleet, *(other.vm for other in members), now=heard_at)
    return fleet


# Guards against a client that states only its region, or a zone of another one, and is sent to the
# zone of the gateway that it asks.
@pytest.mark.parametrize("zone", [None, "a1", "nowhere"])
def test_region_goes_before_zone(zone):
    fleet = fleet_of(member("x"), B1)
    assert look_up(fleet, zone=zone, now=0.1) == (Basis.REGION, ["b1"])


# Guards against clients that are sent to another region while all gateways of theirs restart, and
# against clients without any gateway if these do not come back.
def test_region_whose_gateways_all_stop_keeps_its_clients_until_they_may_be_back():
    fleet = fleet_of(B1, B2, heard_at=9.0)
    hear(fleet, "b1", now=10.0, ready=False)
    assert look_up(fleet, now=10.1) == (Basis.REGION, ["b2"])
    hear(fleet, "b2", now=11.0, ready=False)
    fleet.set_listed([], now=11.0)
    assert look_up(fleet, now=11.1) == (Basis.CLOSING, ["b1", "b2"])
    hear(fleet, "b1", "b2", now=12.0, ready=False)
    assert look_up(fleet, now=12.5) == (Basis.CLOSING, ["b2"])
    assert look_up(fleet, now=14.0) == (Basis.AWAITED, [])
    assert look_up(fleet, now=17.1) == (Basis.ELSEWHERE, ["me"])
    fleet.set_listed([member("b1", zone="b1", incarnation=2)], now=17.2)
    assert look_up(fleet, now=17.3) == (Basis.REGION, ["b1"])
    hear(fleet, "b1", now=17.4, ready=False, incarnation=2)
    # It has not served clients yet, so it does not stop.
    assert look_up(fleet, now=17.5) == (Basis.ELSEWHERE, ["me"])


# Guards against the same where the stop is known only from the store's list, since gateways without
# clients report to those of their zone only.
@pytest.mark.parametrize("heard_at", [None, 59.0])
def test_region_whose_gateways_leave_the_list_while_they_serve_is_awaited(heard_at):
    fleet = fleet_of(B1, B2, heard_at=heard_at)
    fleet.record_digests([ZoneDigest(zone, 0.0, [], 0.0) for zone in ("b1", "b2")], now=59.0)
    fleet.set_listed([], now=60.0)
    expected = Basis.CLOSING if heard_at is None else Basis.REGION
    assert look_up(fleet, now=60.1) == (expected, ["b1", "b2"])
    assert look_up(fleet, now=62.1) == (Basis.AWAITED, [])
    assert look_up(fleet, now=66.1) == (Basis.ELSEWHERE, ["me"])
    fleet.set_listed([B1], now=66.2)
    fleet.set_listed([], now=120.0)
    assert look_up(fleet, now=120.1) == (Basis.ELSEWHERE, ["me"])


# Guards against a list that the store lost in an outage and that is taken for a stop of all.
def test_gateways_that_are_listed_again_do_not_stop():
    fleet = fleet_of(B1, heard_at=59.0)
    fleet.set_listed([], now=60.0)
    fleet.set_listed([B1], now=61.0)
    hear(fleet, "b1", now=61.1)
    assert look_up(fleet, now=61.2) == (Basis.REGION, ["b1"])
    assert look_up(fleet, now=61.2 + REMOTE_REGION_TIMEOUT_S) == (Basis.ELSEWHERE, ["me"])


def test_first_report_of_a_stop_by_a_gateway_known_from_digests_counts():
    fleet = fleet_of(B1)
    fleet.record_digests([ZoneDigest("b1", 0.0, [], 0.0)], now=59.0)
    hear(fleet, "b1", now=60.0, ready=False)
    assert look_up(fleet, now=60.1) == (Basis.CLOSING, ["b1"])


@pytest.mark.parametrize(
    ("phase", "expected"),
    [
        (Phase.SERVING, (Basis.REGION, ["me"])),
        (Phase.CLOSING, (Basis.CLOSING, ["me"])),
        (Phase.ENDING, (Basis.AWAITED, [])),
        (Phase.GONE, (Basis.ELSEWHERE, ["b1"])),
    ],
)
def test_last_gateway_of_a_region_that_stops_sends_no_client_elsewhere(phase, expected):
    fleet = fleet_of(B1, heard_at=9.0)
    assert look_up(fleet, zone="a1", region="A", phase=phase, now=9.1) == expected


# Guards against a gateway that has just started and takes regions for lost of which it has not
# heard yet, for example because the store is down and nobody knows of it.
@pytest.mark.parametrize("others", [(), ("x",)])
def test_region_that_was_not_heard_yet_is_awaited_for_a_limited_time(others):
    fleet = fleet_of(member("x"), B1, were_listed=True)
    hear(fleet, *others, now=0.1)
    assert look_up(fleet, now=0.2) == (Basis.AWAITED, [])
    hear(fleet, *others, now=UNHEARD_HOLD_S)
    assert look_up(fleet, now=UNHEARD_HOLD_S) == (Basis.ELSEWHERE, ["me", *others])
    hear(fleet, "b1", now=UNHEARD_HOLD_S + 0.1)
    assert look_up(fleet, now=UNHEARD_HOLD_S + 0.2) == (Basis.REGION, ["b1"])


def test_digest_decides_before_a_region_was_heard():
    fleet = fleet_of(B1, were_listed=True)
    fleet.record_digests([ZoneDigest("b1", 0.0, [vm_hash("b1")], 0.0)], now=0.1)
    assert look_up(fleet, now=0.2) == (Basis.ELSEWHERE, ["me"])
    fleet.record_digests([ZoneDigest("b1", 0.0, [], 0.0)], now=0.3)
    assert look_up(fleet, now=2.0) == (Basis.REGION, ["b1"])


# Guards against clients of a lost region that wait for it.
def test_clients_of_a_region_that_falls_silent_are_sent_elsewhere_at_once():
    fleet = fleet_of(B1, B2, heard_at=9.0)
    assert look_up(fleet, now=9.0 + REMOTE_REGION_TIMEOUT_S + 0.1) == (Basis.ELSEWHERE, ["me"])
    assert look_up(fleet, region="unknown", now=9.1) == (Basis.ELSEWHERE, ["b1", "b2", "me"])


def test_evidence_tells_the_ages_of_what_is_known_of_a_region():
    fleet = fleet_of(B1, B2, heard_at=9.0)
    fleet.record_digests([ZoneDigest("b1", 0.5, [], 0.0), ZoneDigest("a2", 0, [], 0)], now=9.5)
    evidence = fleet.region_evidence("B", now=13.0)
    assert (evidence.listed, evidence.heard_s, evidence.digest_s) == (2, 4.0, 4.0)
    evidence = fleet.region_evidence("C", now=13.0)
    assert (evidence.listed, evidence.heard_s, evidence.digest_s) == (0, None, None)
