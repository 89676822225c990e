from gateway_builders import member

from gooseberryport_core.gateway.fleet import Fleet


def entry_points(fleet, *, zone="a1", region="A", ready=True, now=0.0):
    return fleet.entry_points(zone=zone, region=region, ready=ready, now=now)


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
