from collections import Counter

import pytest
from gateway_builders import config

from gooseberryport_core.gateway.model import Destination
from gooseberryport_core.gateway.routing import RouteTable, TrafficSplitter
from gooseberryport_standins.samples import make_route


@pytest.mark.parametrize(
    ("host", "path", "name"),
    [
        ("h.example", "/a/x", "a"),
        ("H.Example:80", "/a/x", "a"),
        ("h.example", "/a/b/", "ab"),
        ("h.example", "/a/b/c/d", "ab"),
        ("h.example", "/a/bc", "a"),
        ("h.example", "/a", None),
        ("h.example", "/", None),
        ("other.example", "/a/x", None),
        ("", "/a/x", None),
    ],
)
def test_longest_prefix_of_the_host_wins(host, path, name):
    table = RouteTable(
        config(make_route(name="a", prefix="/a/"), make_route(name="ab", prefix="/a/b/"))
    )
    found = table.find(host=host, path=path)
    assert (found.name if found else None) == name


@pytest.mark.parametrize("weights", [(90, 10), (50, 50), (10, 30, 60)])
@pytest.mark.parametrize("objects", [1, 24, 72])
def test_destinations_get_their_weights_for_any_number_of_objects(weights, objects):
    splitter = TrafficSplitter()
    destinations = tuple(Destination(f"s{index}", weight) for index, weight in enumerate(weights))
    route = make_route(destinations=destinations)
    counts = Counter(
        splitter.choose(route=route, key=f"o{index % objects}", draw=0.0).service
        for index in range(1200)
    )
    for destination in destinations:
        assert counts[destination.service] / 1200 == pytest.approx(
            destination.weight / sum(weights), abs=0.06
        )


def test_most_requests_for_an_object_go_to_one_destination():
    splitter = TrafficSplitter()
    route = make_route(destinations=(Destination("s0", 60), Destination("s1", 40)))
    counts_by_key = {}
    for index in range(2000):
        key = f"o{index % 100}"
        destination = splitter.choose(route=route, key=key, draw=0.0)
        counts_by_key.setdefault(key, Counter())[destination.service] += 1
    kept = sum(max(counts.values()) for counts in counts_by_key.values())
    assert kept / 2000 > 0.85


def test_new_weights_take_effect_without_earlier_counts():
    splitter = TrafficSplitter()
    for index in range(300):
        splitter.choose(
            route=make_route(destinations=(Destination("a", 90), Destination("b", 10))),
            key=f"{index}",
            draw=0,
        )
    new = make_route(destinations=(Destination("a", 10), Destination("b", 90)))
    counts = Counter(
        splitter.choose(route=new, key=f"{index}", draw=0.0).service for index in range(300)
    )
    assert counts["a"] / 300 == pytest.approx(0.1, abs=0.06)


def test_only_routes_with_the_lowest_priority_number_of_a_service_are_most_urgent():
    first = make_route(name="orders", prefix="/o/", priority=1)
    second = make_route(name="pages", prefix="/p/", priority=2)
    alone = make_route(
        name="proofs", prefix="/q/", priority=2, destinations=(Destination("t", 1.0),)
    )
    table = RouteTable(config(first, second, alone))
    assert table.level(service="s", priority=first.priority).index == 0
    assert table.level(service="s", priority=second.priority).index == 1
    assert table.level(service="t", priority=alone.priority).index == 0


def test_routes_with_equal_keys_have_different_objects_only_where_they_share_a_service():
    # Guards against an upstream taken for warm because of the other route's object.
    first, second = make_route(name="a"), make_route(name="b", prefix="/b/")
    other = make_route(name="c", prefix="/c/", destinations=(Destination("t", 1.0),))
    table = RouteTable(config(first, second, other))
    keys = [table.identify(route=r, service="s", key="k").key for r in (first, second)]
    assert len({*keys, "k"}) == 3
    assert table.identify(route=other, service="t", key="k").key == "k"
    plain = make_route(name="b", prefix="/b/", object_affinity=False)
    assert RouteTable(config(first, plain)).identify(route=first, service="s", key="k").key == "k"


def test_objects_of_a_route_are_found_after_another_route_came_and_went():
    # Guards against all objects being cold when weights send part of a route elsewhere for a time.
    first = make_route(name="z")
    shifted = (Destination("t", 90.0), Destination("s", 10.0))
    second = make_route(name="a", prefix="/b/", destinations=shifted)
    alone = RouteTable(config(first))
    for previous in (alone, None):
        shared = RouteTable(config(first, second), previous=previous)
        during = shared.identify(route=first, service="s", key="k")
        assert during.earlier_key == alone.identify(route=first, service="s", key="k").key
        assert shared.identify(route=second, service="s", key="k").earlier_key is None
        after = RouteTable(config(first), previous=shared)
        assert after.identify(route=first, service="s", key="k").earlier_key == during.key
