import hashlib
import random

import msgspec
import pytest
from gateway_builders import upstreams, view
from hypothesis import given
from hypothesis import strategies as st

from gooseberryport_core.gateway.even_selection import EvenLoad, assess, choose, queue_limit
from gooseberryport_core.gateway.load_estimates import (
    MAX_LOAD_PER_SLOT,
    LoadEstimate,
    LoadReports,
    OthersReport,
    estimate_load,
)
from gooseberryport_core.gateway.placement import Verdict, place_request, rank_upstreams
from gooseberryport_core.gateway.speeds import STATED_TTL_S, SpeedEstimates
from gooseberryport_core.gateway.upstreams import Upstream
from gooseberryport_standins.samples import make_entry

DECISIONS_BEFORE = "cbb38a8002d180fe9a0b4a1302772af148fae3a9c9d5fba4d3cee827dd84407a"
"""Digest of the decisions that the code without estimates (commit 2e4eae3) makes in the test."""


def even(loads=None, *, factors=None, deviation=0.0, draw=lambda: 0.0):
    loads, factors = loads or {}, factors or {}
    return EvenLoad(
        estimate_of=lambda upstream: LoadEstimate(loads.get(upstream.id, 0), deviation),
        time_factor_of=lambda upstream: factors.get(upstream.id, 1.0),
        lasting_factor_of=lambda upstream: factors.get(upstream.id, 1.0),
        draw=draw,
    )


def place(candidates, loads, *, key="k", warm=(), factor=2.2, **fields):
    seen = msgspec.structs.replace(view(loads=loads, warm=warm), even=even(loads, **fields))
    return place_request(
        candidates=candidates, service="s", key=key, view=seen, queue_factor=factor
    )


def estimate(*, own=0, by_upstream=None, by_gateways=None, average=2.0, now=10.0):
    return estimate_load(
        own=own,
        slots=4,
        average=average,
        by_upstream=by_upstream,
        by_gateways=by_gateways,
        now=now,
    )


def test_equal_stale_estimates_do_not_lead_all_gateways_to_one_upstream():
    # Failure: 100 gateways with equal reports all choose the exact minimum.
    candidates = upstreams(10)
    loads = dict.fromkeys((upstream.id for upstream in candidates), 2.0) | {"u3": 1.9}
    counts = dict.fromkeys(loads, 0)
    rng = random.Random(1)
    for _ in range(100):
        chosen = place(candidates, loads, key=None, deviation=1.0, draw=rng.random).upstream
        counts[chosen.id] += 1
    assert max(counts.values()) < 30


def test_a_difference_beyond_the_uncertainty_decides_whatever_is_drawn():
    # Failure: random draws send requests to an upstream that is known to be overloaded.
    loads = {"u0": 8.0, "u1": 1.0, "u2": 8.0}
    for draw in (0.0, 0.5, 0.999):
        placement = place(upstreams(3), loads, key=None, draw=lambda draw=draw: draw)
        assert placement.upstream.id == "u1"


def test_the_last_upstream_with_room_is_found_among_many():
    # Failure: only a sample is looked at, and a request is refused while an upstream is idle.
    candidates = upstreams(100)
    for index in range(0, 100, 9):
        loads = dict.fromkeys((upstream.id for upstream in candidates), 12) | {f"u{index}": 0}
        placement = place(candidates, loads, key=None, draw=lambda: 0.5)
        assert (placement.verdict, placement.upstream.id) == (Verdict.SEND, f"u{index}")


def test_object_stays_at_its_first_warm_upstream_while_that_has_a_free_slot():
    # Failure: draws spread an object over all its warm upstreams, or to cold ones.
    candidates = upstreams(6)
    ranked = rank_upstreams(candidates=candidates, service="s", key="k", view=view())
    homes = {ranked[1].id, ranked[4].id}
    for draw in (0.0, 0.999):
        placement = place(candidates, {}, warm=homes, deviation=0.5, draw=lambda draw=draw: draw)
        assert placement.upstream is ranked[1]


def test_slow_upstream_is_left_for_a_faster_warm_one():
    # Failure: requests wait at a machine where work takes 2.5 times as long, while another is free.
    candidates = upstreams(6)
    first, other = rank_upstreams(candidates=candidates, service="s", key="k", view=view())[:2]
    homes = {first.id, other.id}
    assert place(candidates, {}, warm=homes, factors={first.id: 2.5}).upstream is other


def test_slow_upstream_takes_no_queue_but_uses_its_slots():
    # Failure: the queue at a slow upstream is as long as elsewhere, and all of it is late.
    busy = dict.fromkeys((f"u{index}" for index in range(3)), 3.0)
    factors = {"u0": 2.5}
    assert place(upstreams(3), busy, warm={"u0"}, factors=factors).verdict is Verdict.SEND
    full = busy | {"u0": 4.0}
    assert place(upstreams(3), full, warm={"u0"}, factors=factors).verdict is Verdict.FULL
    assert place(upstreams(3), full, warm={"u0"}).verdict is Verdict.SEND


@given(st.floats(0.1, 4.0), st.floats(0.25, 4.0))
def test_the_queue_limit_is_never_raised(queue_factor, time_factor):
    # Failure: a fast or slow upstream gets a longer queue than its objective or a stop allows.
    limit = queue_limit(queue_factor=queue_factor, time_factor=time_factor)
    assert 0.0 < limit <= queue_factor


@given(
    st.lists(st.tuples(st.floats(0, 40), st.floats(0, 5), st.floats(0.25, 4)), min_size=1),
    st.floats(0, 0.9999),
)
def test_a_full_upstream_is_chosen_only_if_all_are_full(states, draw):
    # Failure: a draw refuses a request that another upstream could serve.
    candidates = []
    for index, (load, deviation, factor) in enumerate(states):
        upstream = Upstream(entry=make_entry(f"u{index}"))
        estimates = even({upstream.id: load}, factors={upstream.id: factor}, deviation=deviation)
        candidates.append(assess(upstream, even=estimates, queue_factor=2.0))
    chosen = choose(candidates, draw=draw)
    assert chosen.is_full == all(candidate.is_full for candidate in candidates)


def test_estimate_moves_from_the_report_to_the_average_with_its_age():
    # Failure: a report of 2 s ago counts as if it were new.
    report = OthersReport(count=8, at=10.0)
    new = estimate(by_upstream=report)
    later = estimate(by_upstream=report, now=10.5)
    old = estimate(by_upstream=report, now=20.0)
    assert (new.requests, new.deviation) == (8.0, 0.0)
    assert old.requests == pytest.approx(2.0)
    assert old.requests < later.requests < 8.0
    assert later.deviation > 0.0
    assert old.deviation == pytest.approx(2.0**0.5)


def test_reports_of_the_upstream_and_of_gateways_are_not_added():
    # Failure: requests that both report count twice.
    both = estimate(
        own=1, by_upstream=OthersReport(5, at=10.0), by_gateways=OthersReport(5, at=9.8)
    )
    assert both.requests == 6.0
    newer = estimate(by_upstream=OthersReport(5, at=9.0), by_gateways=OthersReport(1, at=10.0))
    assert newer.requests == 1.0


def test_without_reports_the_estimate_is_the_average():
    # Failure: upstreams that nobody reports on look idle and get all requests.
    assert estimate(own=1, average=2.0).requests == 3.0


@given(st.integers(-(10**9), 10**9), st.floats(-1e9, 1e9), st.integers(0, 20))
def test_false_reports_are_clamped_to_what_an_upstream_can_hold(load, gateways, own):
    # Failure: one false number makes an upstream look idle or full for long.
    upstream = Upstream(entry=make_entry())
    reports = LoadReports()
    reports.record(upstream, load, own=own, answered=True, now=10.0)
    result = estimate(
        by_upstream=reports.others(upstream),
        by_gateways=OthersReport(gateways, at=9.9),
        now=10.1,
    )
    assert 0.0 <= result.requests <= 4 * MAX_LOAD_PER_SLOT


@pytest.mark.parametrize("includes", [True, False])
def test_own_requests_at_the_time_of_a_report_are_not_counted_twice(includes):
    # Failure: the answered request, or those still in flight, count as requests of others.
    upstream = Upstream(entry=make_entry())
    reports = LoadReports()
    reports.record(upstream, int(includes), own=0, answered=True, now=9.0)
    # Two requests of others, one of this gateway, and the answered one if it is included.
    reports.record(upstream, 3 + includes, own=1, answered=True, now=10.0)
    assert reports.others(upstream).count == 2.0


def speeds_after(values, *, interval_s=1.0):
    upstream = Upstream(entry=make_entry())
    speeds = SpeedEstimates()
    now = 0.0
    for value in values:
        now += interval_s
        speeds.record(upstream, value, now=now)
    return speeds, upstream, now


def test_an_upstream_that_is_slow_for_good_is_found_by_degrees():
    # Failure: the stated speed is ignored, or decides at once.
    factors = []
    for count in range(1, 30):
        speeds, upstream, now = speeds_after([250] * count)
        factors.append(speeds.lasting_factor(upstream, now=now))
    assert factors == sorted(factors)
    assert factors[0] <= 1.75
    assert 2.2 < factors[-1] <= 2.5


def test_one_high_value_among_normal_ones_does_not_make_an_upstream_slow():
    # Failure: 3 in 100 requests take 7 times as long, and each would empty its upstream.
    speeds, upstream, now = speeds_after([100] * 20 + [700])
    assert speeds.lasting_factor(upstream, now=now) < 1.25


def test_speed_returns_to_normal_without_reports():
    # Failure: an upstream that was slow once gets no requests, hence no chance to say otherwise.
    speeds, upstream, now = speeds_after([250] * 20)
    assert speeds.lasting_factor(upstream, now=now + 300.0) == pytest.approx(1.0, abs=0.01)
    assert speeds.is_stated("s", now=now + STATED_TTL_S - 0.1)
    assert not speeds.is_stated("s", now=now + STATED_TTL_S)


def test_restarted_upstream_starts_with_new_estimates():
    # Failure: a new machine under the same id inherits speed and load of its predecessor.
    speeds, upstream, now = speeds_after([250] * 20)
    reports = LoadReports()
    reports.record(upstream, 9, own=0, answered=False, now=now)
    upstream.entry = make_entry(started_ms=2000)
    assert speeds.lasting_factor(upstream, now=now) == 1.0
    assert reports.others(upstream) is None


def test_decisions_without_estimates_are_those_of_the_release_before():
    # Failure: a deployment that doesn't call for estimates is placed by another rule than before.
    rng = random.Random(7)
    digest = hashlib.sha256()
    for number in range(2_000):
        candidates = upstreams(9, zones=("a1", "a2", "b1"))
        names = [upstream.id for upstream in candidates]
        seen = view(
            loads={name: rng.randrange(14) if rng.random() < 0.8 else 0 for name in names},
            warm=set(rng.sample(names, rng.randrange(5))),
            unused=set(rng.sample(names, rng.randrange(3))),
            objects={name: rng.randrange(9) for name in names},
            prefers_local=rng.random() < 0.5,
        )
        placement = place_request(
            candidates=candidates,
            service="s",
            key=rng.choice([None, f"k{number}"]),
            view=seen,
            queue_factor=rng.uniform(0.5, 2.5),
            avoided=frozenset(rng.sample(names, rng.randrange(3))),
        )
        chosen = placement.upstream.id if placement.upstream else ""
        decision = (placement.verdict.value, chosen, placement.load, placement.warm)
        digest.update(repr(decision).encode())
    assert digest.hexdigest() == DECISIONS_BEFORE


# Guards against requests to an upstream that is slow for a moment, which other gateways know.
def test_slow_spell_counts_at_once_at_all_gateways_of_a_region_and_passes():
    upstream = Upstream(entry=make_entry())
    observer, other = SpeedEstimates(), SpeedEstimates()
    for second in range(20):
        observer.record(upstream, 100, now=float(second))
        other.record(upstream, 100, now=float(second), observed_here=False)
    assert observer.changes(now=19.0, max_age_s=0.25) == []
    observer.record(upstream, 250, now=20.0)
    for name, speed in observer.changes(now=20.2, max_age_s=0.25):
        assert name == upstream.id
        other.record(upstream, speed, now=20.1, observed_here=False)
    assert other.present_factor(upstream, now=20.2) > 2.0
    assert other.lasting_factor(upstream, now=20.2) < 1.2
    assert other.present_factor(upstream, now=24.0) < 1.2
    observer.record(upstream, 100, now=20.6)
    assert (upstream.id, 100) in observer.changes(now=20.7, max_age_s=0.25)
    # What others observed is not told again.
    assert other.changes(now=20.2, max_age_s=0.25) == []


# Guards against a late report that replaces a newer one.
def test_older_speed_is_ignored():
    upstream = Upstream(entry=make_entry())
    speeds = SpeedEstimates()
    speeds.record(upstream, 100, now=5.0)
    speeds.record(upstream, 250, now=4.9, observed_here=False)
    assert speeds.present_factor(upstream, now=5.0) == 1.0
