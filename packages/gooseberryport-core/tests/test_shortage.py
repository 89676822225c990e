"""Limits by priority level: their order, their bounds, and the shares that correct them."""

import pytest
from gateway_builders import config
from hypothesis import given
from hypothesis import strategies as st

from gooseberryport_core.gateway.model import Destination, Tenant
from gooseberryport_core.gateway.placement import MAX_QUEUE_FACTOR, MIN_QUEUE_FACTOR
from gooseberryport_core.gateway.refusals import level_retry_after
from gooseberryport_core.gateway.routing import RouteTable
from gooseberryport_core.gateway.shortage import (
    MAX_LEVELS,
    Level,
    LevelShares,
    level_factor,
    level_of,
    slot_wait_s,
)
from gooseberryport_standins.samples import make_route

FACTORS = st.floats(MIN_QUEUE_FACTOR, 2.5)


def record(shares, index, *, admitted, rejected):
    for number in range(admitted + rejected):
        shares.record(
            service="s", level=Level(index, 3), admitted=number < admitted, now=number * 0.01
        )


@given(FACTORS, st.lists(st.booleans(), max_size=20))
def test_service_with_one_level_keeps_the_limit_of_the_route(factor, outcomes):
    # Guards against changed decisions where all requests are equally urgent.
    shares = LevelShares()
    for admitted in outcomes:
        shares.record(service="s", level=Level(), admitted=admitted, now=0.0)
    assert shares.factor(service="s", factor=factor, level=Level(), now=0.0) == factor


@given(FACTORS, st.integers(2, MAX_LEVELS))
def test_each_level_has_a_limit_between_the_least_and_that_of_the_level_above(factor, count):
    # Guards against a level that no load admits, and one that is admitted before a more urgent one.
    limits = [level_factor(factor=factor, level=Level(index, count)) for index in range(count)]
    assert limits[0] == pytest.approx(factor)
    assert limits == sorted(limits, reverse=True)
    assert limits[-1] >= MIN_QUEUE_FACTOR


@given(st.sets(st.integers(0, 2_000), min_size=1, max_size=1_200), st.data())
def test_any_number_of_priorities_keeps_its_order_in_a_few_levels(priorities, data):
    # Guards against a count or label for each of a thousand tenants' priorities.
    ordered = sorted(priorities)
    levels = [level_of(priority=priority, priorities=ordered) for priority in ordered]
    assert [level.index for level in levels] == sorted(level.index for level in levels)
    assert [level.index for level in levels].count(0) == 1
    assert all(0 <= level.index < level.count <= MAX_LEVELS for level in levels)
    # Of a request that began before the configuration changed.
    other = level_of(priority=data.draw(st.integers(-1, 2_001)), priorities=ordered)
    assert 0 <= other.index < other.count


def test_level_that_is_hardly_served_gets_the_highest_limit():
    # Guards against starvation when the more urgent levels alone exceed the capacity.
    shares = LevelShares()
    record(shares, 0, admitted=60, rejected=40)
    record(shares, 2, admitted=1, rejected=9)
    assert shares.factor(service="s", factor=1.5, level=Level(2, 3), now=1.0) == MAX_QUEUE_FACTOR
    record(shares, 2, admitted=10, rejected=5)
    assert shares.factor(service="s", factor=1.5, level=Level(2, 3), now=1.0) < 1.5


def test_level_that_is_served_more_often_than_a_more_urgent_one_gets_the_least_limit():
    # Guards against a less urgent level whose route has a looser objective being served more.
    shares = LevelShares()
    record(shares, 0, admitted=80, rejected=20)
    record(shares, 1, admitted=90, rejected=10)
    limits = [
        shares.factor(service="s", factor=2.5, level=Level(index, 3), now=1.0) for index in (0, 1)
    ]
    assert limits == [2.5, MIN_QUEUE_FACTOR]
    assert shares.factor(service="s", factor=2.5, level=Level(1, 3), now=60.0) > MIN_QUEUE_FACTOR


def test_levels_follow_the_routes_and_the_tenants_that_requests_may_have():
    # Guards against a level that no request has, which would lower the limit of all others.
    first, second = make_route(name="a", priority=1), make_route(name="b", prefix="/b/", priority=3)
    alone = make_route(name="c", prefix="/c/", destinations=(Destination("t", 1.0),))
    table = RouteTable(config(first, second, alone))
    assert table.level(service="s", priority=3) == Level(1, 2)
    assert table.level(service="t", priority=1) == Level(0, 1)
    assert table.level(service="unknown", priority=7) == Level(0, 1)

    def counts(*priorities, **route):
        cfg = config(make_route(priority=5, **route))
        tenants = tuple(Tenant(f"t{rank}", frozenset([f"k{rank}"]), rank) for rank in priorities)
        tenanted = type(cfg)(cfg.version, cfg.routes, cfg.services, cfg.limits, tenants)
        return RouteTable(tenanted).level(service="s", priority=0).count

    assert counts(0, 2) == 2
    assert counts(0, 2, public=True) == 3
    assert counts(0, None) == 2
    assert counts(None) == 1


def test_retry_follows_the_queue_and_is_spread_and_bounded():
    # Guards against clients of a level that all return before it can be served, or all at once.
    def delay(**changes):
        known = {"wait_s": 0.3, "waited_s": 0.0, "left_s": 1.5, "draw": 0.0}
        return level_retry_after(**(known | changes))

    waits = [slot_wait_s(load=load, slots=3, factor=1.25, service_s=0.3) for load in range(13)]
    assert waits == sorted(waits)
    assert waits[0] > 0.0
    assert waits[12] == pytest.approx(0.9)
    assert delay(draw=0.99) > 1.4 * delay()
    assert delay(waited_s=0.1) < delay()
    assert delay(wait_s=9.0, draw=0.99) == pytest.approx(0.5)
    assert delay(wait_s=0.0) == delay(left_s=0.0) == 0.1


def test_less_urgent_requests_are_limited_only_as_far_as_the_tightest_objective_requires():
    # Guards against rejections of less urgent requests that delay nobody beyond the objective.
    last = Level(1, 2)
    assert level_factor(factor=2.5, level=last, tightest=2.4) == MIN_QUEUE_FACTOR
    assert level_factor(factor=2.5, level=last, tightest=4.0) == pytest.approx(2.0)
    assert level_factor(factor=2.5, level=last, tightest=9.0) == 2.5
    assert level_factor(factor=2.5, level=Level(0, 2), tightest=2.4) == 2.5
