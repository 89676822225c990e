import pytest
from gateway_builders import REGIONS, member

from gooseberryport_core.gateway.entry_points import MIN_ENTRY_POINTS
from gooseberryport_core.gateway.fleet import (
    LOOKUP_TTL_S,
    MAX_ZONES,
    REPORTERS,
    ZONE_DIGEST_TTL_S,
    Fleet,
)
from gooseberryport_core.gateway.lookups import Phase, StopTimes
from gooseberryport_core.gateway.reports import Audience, Digests, ZoneDigest, vm_hash

STOP_TIMES = StopTimes(accepts_s=2.0, ends_s=6.0)


def entry_points(fleet, *, zone="a1", region="A", ready=True, now=0.0):
    phase = Phase.SERVING if ready else Phase.GONE
    found = fleet.entry_points(
        zone=zone, region=region, own_phase=phase, stop_times=STOP_TIMES, now=now
    )
    return found.addresses


def fleet_of(*members, now=0.0):
    fleet = Fleet(me=member("me"))
    fleet.set_listed(members, now=now)
    return fleet


def test_entry_points_are_in_the_clients_zone_or_else_its_region_or_else_anywhere():
    fleet = fleet_of(member("w"), member("x", zone="a2"), member("y", zone="b1"))
    assert entry_points(fleet, zone="a1") == ["me:80", "w:80"]
    assert entry_points(fleet, zone="a9", region="A") == ["me:80", "w:80", "x:80"]
    assert entry_points(fleet, zone="c1", region="C") == ["me:80", "w:80", "x:80", "y:80"]


def test_zone_with_one_gateway_gets_entry_points_of_its_region():
    fleet = fleet_of(member("x", zone="a2"), member("y", zone="b1"))
    assert entry_points(fleet, zone="a1") == ["me:80", "x:80"]


def test_listed_gateway_that_falls_silent_is_no_entry_point():
    fleet = fleet_of(member("x"))
    assert entry_points(fleet, now=0.5) == ["me:80", "x:80"]
    fleet.record_datagram("x", incarnation=1, ready=True, now=3.0)
    assert entry_points(fleet, now=4.0) == ["me:80", "x:80"]
    assert entry_points(fleet, now=5.0) == ["me:80"]


def test_gateway_with_an_expired_lease_is_an_entry_point_while_it_sends_datagrams():
    fleet = fleet_of(member("x"))
    fleet.record_datagram("x", incarnation=1, ready=True, now=5.0)
    fleet.set_listed([], now=5.1)
    assert entry_points(fleet, now=6.0) == ["me:80", "x:80"]


def test_stopping_gateway_is_no_entry_point_until_it_restarts():
    fleet = fleet_of(member("x"))
    fleet.record_datagram("x", incarnation=1, ready=False, now=1.0)
    assert entry_points(fleet, now=1.1) == ["me:80"]
    fleet.record_datagram("x", incarnation=2, ready=True, now=2.0)
    assert entry_points(fleet, now=2.1) == ["me:80", "x:80"]


def test_datagram_of_an_earlier_incarnation_is_ignored():
    fleet = fleet_of(member("x", incarnation=5))
    fleet.record_datagram("x", incarnation=5, ready=True, now=0.9)
    fleet.record_datagram("x", incarnation=4, ready=False, now=1.0)
    assert entry_points(fleet, now=1.1) == ["me:80", "x:80"]


def test_gateway_that_restarts_after_its_clock_stepped_back_is_an_entry_point():
    fleet = fleet_of(member("x", incarnation=5))
    fleet.record_datagram("x", incarnation=5, ready=True, now=1.0)
    fleet.record_datagram("x", incarnation=3, ready=True, now=4.0)
    assert entry_points(fleet, now=4.1) == ["me:80", "x:80"]
    fleet.set_listed([member("x", incarnation=2)], now=9.0)
    assert entry_points(fleet, now=9.5) == ["me:80", "x:80"]


def test_stopping_gateway_returns_only_other_entry_points():
    fleet = fleet_of(member("x", zone="a2"))
    assert entry_points(fleet, zone="a1", ready=False) == ["x:80"]
    assert entry_points(Fleet(me=member("me")), ready=False) == []


def test_gateway_that_is_not_ready_yet_is_no_entry_point():
    fleet = fleet_of(member("x"))
    fleet.record_datagram("x", incarnation=2, ready=False, now=1.0)
    assert entry_points(fleet, now=1.1) == ["me:80"]
    fleet.record_datagram("x", incarnation=2, ready=True, now=1.2)
    assert entry_points(fleet, now=1.3) == ["me:80", "x:80"]


def test_departed_gateway_counts_towards_limits_for_a_limited_time():
    fleet = fleet_of(member("x"))
    fleet.set_listed([], now=1.0)
    assert fleet.gateways_sharing_limits(now=9.0) == {"me", "x"}
    assert fleet.gateways_sharing_limits(now=11.0) == {"me"}


def test_silent_gateways_keep_their_part_of_quotas_and_stopped_ones_do_not():
    """Guards against a gateway that uses the part of others that it is only cut off from."""
    fleet = fleet_of(member("x"), member("y"))
    assert fleet.alive_and_listed(now=0.0) == (1, 3)
    for vm in ("x", "y"):
        fleet.record_datagram(vm, incarnation=1, ready=vm == "x", now=1.0)
    assert fleet.alive_and_listed(now=1.2) == (3, 3)
    assert fleet.alive_and_listed(now=4.0) == (1, 3)
    fleet.set_listed([], now=4.0)
    assert fleet.alive_and_listed(now=5.0) == (1, 2)
    assert fleet.alive_and_listed(now=7.0) == (1, 1)


def assignees(fleet, *, count=1, follows_store=True, now=1.0):
    return [
        member.vm
        for member in fleet.assignees("t", count=count, follows_store=follows_store, now=now)
    ]


def test_all_gateways_of_a_region_compute_the_same_assignees():
    names = ["v", "w", "x", "y", "z"]
    results = set()
    for me in names:
        fleet = Fleet(me=member(me))
        fleet.set_listed([member(name) for name in names], now=0.0)
        results.add(tuple(assignees(fleet, count=2)))
    assert len(results) == 1
    assert len(results.pop()) == 2


def test_gateway_without_replies_from_the_store_is_no_assignee():
    fleet = Fleet(me=member("me"))
    fleet.set_listed([member("x")], now=0.0)
    assert set(assignees(fleet, count=2)) == {"me", "x"}
    assert assignees(fleet, count=2, follows_store=False) == ["x"]
    fleet.record_datagram("x", incarnation=1, ready=True, follows_store=False, now=0.5)
    assert assignees(fleet, count=2) == ["me"]


def test_silent_stopping_and_remote_gateways_are_no_assignees():
    fleet = Fleet(me=member("me"))
    fleet.set_listed([member("x"), member("y"), member("far", zone="b1")], now=0.0)
    fleet.record_datagram("x", incarnation=1, ready=False, now=9.0)
    assert assignees(fleet, count=4, now=9.0) == ["me"]


ZONES = {"a1": "A", "a2": "A", "b1": "B", "b2": "B"}


def large_fleet(me, *, zone_size=20, now=0.0):
    fleet = Fleet(me=me)
    fleet.set_listed(
        [member(f"{zone}-{n}", zone=zone) for zone in ZONES for n in range(zone_size)], now=now
    )
    return fleet


def plan(fleet, *, ready=True, busy=False, now=1.0):
    return fleet.report_plan(ready=ready, demand_per_s=0.0, busy=busy, now=now)


def audiences(fleet, **options):
    counts = dict.fromkeys(Audience, 0)
    for listener in plan(fleet, **options).listeners:
        counts[listener.audience] += 1
    return counts


def all_members(zone_size=20):
    return [member(f"{zone}-{n}", zone=zone) for zone in ZONES for n in range(zone_size)]


def test_gateways_of_a_large_fleet_report_to_few_others():
    sent = []
    for me in all_members():
        fleet = large_fleet(me)
        counts = audiences(fleet)
        # Datagrams a second, from the periods of the audiences in rounds of 0.2 s.
        sent.append(
            5 * counts[Audience.ACTIVE]
            + 2.5 * counts[Audience.REMOTE_ACTIVE]
            + 2.5 * counts[Audience.ZONE]
            + counts[Audience.REPORTER]
        )
    assert sum(sent) / len(sent) < 60
    active = [me for me in all_members() if plan(large_fleet(me)).active]
    assert len(active) == MIN_ENTRY_POINTS * len(ZONES)


def test_gateway_with_clients_exchanges_loads_even_if_look_ups_do_not_return_it():
    active_vms = {me.vm for me in all_members() if plan(large_fleet(me)).active}
    me = next(me for me in all_members() if me.vm not in active_vms)
    assert audiences(large_fleet(me))[Audience.ACTIVE] == 0
    assert audiences(large_fleet(me), busy=True)[Audience.ACTIVE] == 2 * MIN_ENTRY_POINTS
    peer = next(other for other in all_members() if other.vm in active_vms)
    assert peer.region == me.region
    fleet = large_fleet(peer)
    before = audiences(fleet)[Audience.ACTIVE]
    fleet.record_datagram(me.vm, incarnation=1, ready=True, active=True, now=1.0)
    assert audiences(fleet, now=1.2)[Audience.ACTIVE] == before + 1


def heartbeats(fleet, zone, *, absent=(), zone_size=20, now):
    for n in range(zone_size):
        vm = f"{zone}-{n}"
        if vm not in absent:
            fleet.record_datagram(vm, incarnation=1, ready=True, active=False, now=now)


def test_dead_gateways_of_other_zones_are_known_from_digests():
    reporter = large_fleet(member("a1-0"))
    heartbeats(reporter, "a1", absent={"a1-3"}, now=5.0)
    far = large_fleet(member("b1-0", zone="b1"))
    far.record_digests([reporter.own_digest(demand_per_s=0.0, now=5.0)], now=5.1)
    serving = {peer.vm for peer in far.serving_members(now=5.2) if peer.zone == "a1"}
    assert serving == {f"a1-{n}" for n in range(20)} - {"a1-3"}


def test_zone_whose_digests_cease_has_no_entry_points():
    far = large_fleet(member("b1-0", zone="b1"))
    reporter = large_fleet(member("a1-0"))
    heartbeats(reporter, "a1", now=5.0)
    far.record_digests([reporter.own_digest(demand_per_s=0.0, now=5.0)], now=5.0)
    later = 5.0 + ZONE_DIGEST_TTL_S + 0.1
    assert not [peer for peer in far.serving_members(now=later) if peer.zone == "a1"]


def test_newest_digest_of_a_zone_counts():
    far = large_fleet(member("b1-0", zone="b1"))
    new = ZoneDigest(zone="a1", age_s=0.1, absent=[vm_hash("a1-1")], demand_per_s=5.0)
    old = ZoneDigest(zone="a1", age_s=1.0, absent=[], demand_per_s=5.0)
    far.record_digests([new], now=5.0)
    far.record_digests([old], now=5.1)
    assert "a1-1" not in {peer.vm for peer in far.serving_members(now=5.2)}


def test_digests_are_passed_on_with_their_age():
    far = large_fleet(member("b1-0", zone="b1"))
    far.record_digests([ZoneDigest(zone="a1", age_s=0.5, absent=[], demand_per_s=7.0)], now=5.0)
    passed = far.received_digests(now=6.0)
    assert [(digest.zone, digest.age_s) for digest in passed] == [("a1", 1.5)]
    assert far.received_digests(now=5.0 + ZONE_DIGEST_TTL_S) == []


def test_gateway_listed_before_the_start_is_no_entry_point_until_it_is_heard():
    fleet = Fleet(me=member("me"))
    fleet.set_listed([member("x"), member("y")], now=0.0, were_listed=True)
    assert entry_points(fleet, now=0.1) == ["me:80"]
    fleet.record_datagram("x", incarnation=1, ready=True, now=0.2)
    assert entry_points(fleet, now=0.3) == ["me:80", "x:80"]


def test_small_zones_use_all_their_gateways_and_exchange_loads():
    fleet = fleet_of(member("x"), member("y", zone="a2"), member("z", zone="b1"))
    assert audiences(fleet)[Audience.ACTIVE] == 2
    assert audiences(fleet)[Audience.REMOTE_ACTIVE] == 1
    assert {listener.digests for listener in plan(fleet).listeners} == {Digests.NONE}


def test_digests_go_to_the_own_zone_and_to_reporters_of_the_others():
    for me in all_members():
        listeners = plan(large_fleet(me)).listeners
        counts = {
            zone: [
                listener.digests
                for listener in listeners
                if listener.member.zone == zone and listener.digests is not Digests.NONE
            ]
            for zone in ZONES
        }
        if counts[me.zone]:
            assert counts.pop(me.zone) == [Digests.RECEIVED] * 19
            assert all(kinds == [Digests.OWN] * REPORTERS for kinds in counts.values())
        else:
            assert not any(counts.values())


def test_gateway_that_falls_silent_is_dead_although_an_earlier_digest_lists_it():
    fleet = fleet_of(member("x", zone="a2"))
    fleet.record_datagram("x", incarnation=1, ready=True, now=10.0)
    fleet.record_digests([ZoneDigest("a2", 0.0, [], 0.0)], now=10.5)
    assert entry_points(fleet, zone="a2", now=11.0) == ["me:80", "x:80"]
    assert entry_points(fleet, zone="a2", now=11.6) == ["me:80"]
    fleet.record_digests([ZoneDigest("a2", 0.0, [], 0.0)], now=11.7)
    assert entry_points(fleet, zone="a2", now=11.8) == ["me:80", "x:80"]


class FleetSimulation:
    """Gateways that start together, know each other from the store, and report as planned."""

    def __init__(self, members):
        self.fleets = {me.vm: Fleet(me=me) for me in members}
        for fleet in self.fleets.values():
            fleet.set_listed(members, now=0.0, were_listed=True)
        self.now = 0.0
        self.ready_at = 3.0

    def run(self, seconds):
        for _ in range(round(seconds)):
            self.now += 1.0
            plans = {
                vm: plan(fleet, ready=self.now >= self.ready_at, now=self.now)
                for vm, fleet in self.fleets.items()
            }
            for vm, made in plans.items():
                for listener in made.listeners:
                    self.deliver(vm, made, listener)

    def deliver(self, vm, made, listener):
        fleet = self.fleets.get(listener.member.vm)
        if fleet is None or listener.audience is Audience.REGION:
            return
        fleet.record_datagram(vm, incarnation=1, ready=made.ready, active=made.active, now=self.now)
        sender = self.fleets[vm]
        if listener.digests is Digests.OWN:
            fleet.record_digests([sender.own_digest(demand_per_s=0.0, now=self.now)], now=self.now)
        elif listener.digests is Digests.RECEIVED:
            fleet.record_digests(sender.received_digests(now=self.now), now=self.now)

    def entry_points(self, vm, zone):
        return set(entry_points(self.fleets[vm], zone=zone, region=REGIONS[zone], now=self.now))


@pytest.mark.parametrize("zone_size", [1, 2, 3, 12])
def test_gateways_that_start_together_find_each_other(zone_size):
    simulation = FleetSimulation(all_members(zone_size))
    simulation.run(12)
    for zone in ZONES:
        answers = {frozenset(simulation.entry_points(vm, zone)) for vm in simulation.fleets}
        assert len(answers) == 1
    hearing = {
        vm: {peer.vm for peer in fleet.serving_members(now=simulation.now)}
        for vm, fleet in simulation.fleets.items()
    }
    assert all(len(heard) == len(simulation.fleets) - 1 for heard in hearing.values())


# Guards against idle gateways that never hear of a zone without idle ones, and send its clients to
# another region.
@pytest.mark.parametrize("sizes", [(6, 3, 3, 3), (6, 0, 2, 0), (4, 1, 0, 9)])
def test_gateways_know_zones_of_all_sizes(sizes):
    sizes = dict(zip(ZONES, sizes, strict=True))
    simulation = FleetSimulation(
        [member(f"{zone}-{n}", zone=zone) for zone, size in sizes.items() for n in range(size)]
    )
    simulation.run(12)
    for zone in ZONES:
        answers = {frozenset(simulation.entry_points(vm, zone)) for vm in simulation.fleets}
        assert len(answers) == 1 and {REGIONS[name[:2]] for name in answers.pop()} == {
            REGIONS[zone]
        }


@pytest.mark.parametrize("zone_size", [2, 3, 12])
def test_dead_gateway_is_no_entry_point_anywhere_after_some_seconds(zone_size):
    simulation = FleetSimulation(all_members(zone_size))
    simulation.run(12)
    victim = sorted(simulation.entry_points("b1-0", "a1"))[0].removesuffix(":80")
    del simulation.fleets[victim]
    simulation.run(6)
    for vm in simulation.fleets:
        assert f"{victim}:80" not in simulation.entry_points(vm, "a1")


def test_lookups_are_answered_without_looking_at_all_gateways_each_time(monkeypatch):
    fleet = large_fleet(member("a1-0"))
    heartbeats(fleet, "a1", now=1.0)
    calls = []
    serving = fleet.serving_members
    monkeypatch.setattr(
        fleet, "serving_members", lambda **options: calls.append(1) or serving(**options)
    )
    answers = [entry_points(fleet, now=1.0 + n / 1_000) for n in range(50)]
    assert len(calls) == 1 and len({tuple(answer) for answer in answers}) == 1
    entry_points(fleet, now=1.0 + LOOKUP_TTL_S)
    assert len(calls) == 2


def test_lookup_after_a_change_of_members_is_not_an_old_one():
    fleet = fleet_of(member("x"))
    assert entry_points(fleet, now=0.5) == ["me:80", "x:80"]
    fleet.record_datagram("x", incarnation=1, ready=False, now=0.51)
    assert entry_points(fleet, now=0.52) == ["me:80"]
    fleet.set_listed([member("x"), member("y")], now=0.53)
    assert entry_points(fleet, now=0.54) == ["me:80", "y:80"]


def test_memory_of_departed_gateways_and_unknown_zones_is_bounded():
    fleet = Fleet(me=member("me"))
    for number in range(200):
        fleet.set_listed([member(f"x{number}")], now=100.0 * number)
    assert len(fleet._states) <= 2
    for number in range(2 * MAX_ZONES):
        fleet.record_digests([ZoneDigest(f"z{number}", 0.0, [], 0.0)], now=1.0)
    assert len(fleet._digests) == MAX_ZONES
