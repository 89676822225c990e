import msgspec
import pytest
from gateway_builders import member

from gooseberryport_core.gateway.entry_points import (
    DEMAND_HALF_LIFE_S,
    MAX_ENTRY_POINTS,
    MIN_ENTRY_POINTS,
    TARGET_UTILIZATION,
    PeakDemand,
    RequestRate,
    choose_entry_points,
)


def zone_members(count, *, capacity_per_s=200.0):
    return [
        msgspec.structs.replace(member(f"vm{index}"), capacity_per_s=capacity_per_s)
        for index in range(count)
    ]


def test_clients_of_a_quiet_zone_are_sent_to_few_of_its_many_gateways():
    members = zone_members(22)
    chosen = choose_entry_points(members, demand_per_s=20.0)
    assert len(chosen) == MIN_ENTRY_POINTS
    assert choose_entry_points(reversed(members), demand_per_s=20.0) == chosen


@pytest.mark.parametrize("demand_per_s", [50.0, 400.0, 1_000.0])
def test_entry_points_keep_a_reserve_at_any_demand(demand_per_s):
    chosen = choose_entry_points(zone_members(60), demand_per_s=demand_per_s)
    capacity_per_s = sum(member.capacity_per_s for member in chosen)
    assert demand_per_s / TARGET_UTILIZATION <= capacity_per_s
    assert capacity_per_s < demand_per_s / TARGET_UTILIZATION + MIN_ENTRY_POINTS * 200.0


def test_largest_gateways_are_chosen_first():
    large = zone_members(2, capacity_per_s=900.0)
    small = [
        msgspec.structs.replace(item, vm=f"small{index}")
        for index, item in enumerate(zone_members(20))
    ]
    assert choose_entry_points([*small, *large], demand_per_s=0.0)[:2] == sorted(
        large, key=lambda item: choose_entry_points(large, demand_per_s=0.0).index(item)
    )


def test_all_gateways_of_a_small_zone_and_no_more_than_a_client_takes_are_chosen():
    assert len(choose_entry_points(zone_members(2), demand_per_s=0.0)) == 2
    assert len(choose_entry_points(zone_members(99), demand_per_s=1e6)) == MAX_ENTRY_POINTS


def test_departure_of_an_entry_point_replaces_only_this_one():
    members = zone_members(20)
    before = choose_entry_points(members, demand_per_s=0.0)
    members.remove(before[0])
    after = choose_entry_points(members, demand_per_s=0.0)
    assert after[: MIN_ENTRY_POINTS - 1] == before[1:]


def test_peak_demand_is_held_and_decays():
    peak = PeakDemand()
    assert peak.update(100.0, now=1.0) == 100.0
    assert peak.update(10.0, now=2.0) > 90.0
    assert peak.update(10.0, now=2.0 + 4 * DEMAND_HALF_LIFE_S) == 10.0
    assert peak.update(300.0, now=50.0) == 300.0


def test_request_rate_follows_the_load():
    rate = RequestRate()
    for index in range(1_000):
        rate.record(now=index / 100.0)
    assert 95.0 < rate.per_s(now=10.0) < 105.0
    assert rate.per_s(now=20.0) < 1.0
