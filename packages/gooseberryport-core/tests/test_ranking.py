"""Kept rankings against naive ones that score every upstream for every request."""

import random

import pytest
from gateway_builders import REGIONS, view

from gooseberryport_core.gateway import ranking
from gooseberryport_core.gateway.placement import (
    PlacementView,
    PreferredUpstreams,
    place_on_preferred,
    place_request,
    upstream_weight,
)
from gooseberryport_core.gateway.ranking import (
    MAX_RANKED_OBJECTS,
    MIN_PREFERRED_UPSTREAMS,
    PREFERRED_UPSTREAMS,
    ObjectRankings,
    rank_upstreams,
)
from gooseberryport_core.gateway.upstreams import Upstream
from gooseberryport_standins.samples import make_entry

ZONES = ("a1", "a2", "b1", "b2")


def weight_of(upstream):
    return upstream_weight(upstream, local=REGIONS[upstream.entry.zone] == "A")


def make_upstream(number, slots=4):
    return Upstream(entry=make_entry(f"u{number}", zone=ZONES[number % 4], slots=slots))


def naive(upstreams, key):
    return rank_upstreams(upstreams=upstreams, service="s", key=key, weight_of=weight_of)


@pytest.mark.parametrize("seed", range(6))
def test_kept_rankings_equal_naive_ones_while_upstreams_join_and_leave(seed):
    rng = random.Random(seed)
    present = {number: make_upstream(number) for number in range(rng.choice([5, 24, 25, 120]))}
    rankings = ObjectRankings(weight_of=weight_of)
    for step in range(400):
        if present and rng.random() < 0.5:
            rankings.remove(present.pop(rng.choice(sorted(present))))
        else:
            present[1000 + step] = make_upstream(1000 + step, slots=rng.choice([2, 4]))
            rankings.add(present[1000 + step])
        key = f"o{rng.randrange(8)}"
        upstreams = list(present.values())
        kept = rankings.preferred(service="s", key=key, upstreams_of=lambda _, u=upstreams: u)
        expected = naive(upstreams, key)[: len(kept)]
        assert [upstream.id for upstream in kept] == [upstream.id for upstream in expected]
        assert len(kept) >= min(len(upstreams), MIN_PREFERRED_UPSTREAMS)
        assert len(kept) <= PREFERRED_UPSTREAMS


def test_cost_of_a_placement_does_not_grow_with_the_number_of_upstreams(monkeypatch):
    scored = []
    original = ranking.rendezvous_score

    def counting(**options):
        scored.append(options["upstream"])
        return original(**options)

    monkeypatch.setattr(ranking, "rendezvous_score", counting)
    per_request = {}
    for count in (24, 345):
        upstreams = [make_upstream(number) for number in range(count)]
        rankings = ObjectRankings(weight_of=weight_of)
        place(rankings, upstreams, key="k", loads={}, warm={})
        scored.clear()
        asked = []
        for _ in range(10):
            place(rankings, upstreams, key="k", loads={}, warm={}, asked=asked)
        per_request[count] = (len(scored), len(asked))
    assert per_request[345] <= per_request[24]


def test_joining_upstream_is_scored_once_for_each_kept_object(monkeypatch):
    upstreams = [make_upstream(number) for number in range(345)]
    rankings = ObjectRankings(weight_of=weight_of)
    for number in range(50):
        rankings.preferred(service="s", key=f"o{number}", upstreams_of=lambda _: upstreams)
    scored = []
    original = ranking.rendezvous_score
    monkeypatch.setattr(
        ranking, "rendezvous_score", lambda **options: scored.append(1) or original(**options)
    )
    rankings.add(make_upstream(999))
    assert len(scored) == 50


def test_number_of_kept_objects_is_bounded():
    rankings = ObjectRankings(weight_of=weight_of)
    upstreams = [make_upstream(0)]
    for number in range(MAX_RANKED_OBJECTS + 10):
        rankings.preferred(service="s", key=f"o{number}", upstreams_of=lambda _: upstreams)
    calls = []

    def upstreams_of(service):
        calls.append(service)
        return upstreams

    rankings.preferred(service="s", key="o0", upstreams_of=upstreams_of)
    rankings.preferred(service="s", key=f"o{MAX_RANKED_OBJECTS + 9}", upstreams_of=upstreams_of)
    assert calls == ["s"]


def place(rankings, upstreams, *, key, loads, warm, asked=None, usable=lambda upstream: True):
    def is_usable(upstream):
        if asked is not None:
            asked.append(upstream.id)
        return usable(upstream)

    homes = [upstream for upstream in upstreams if upstream.id in warm.get(key, ())]
    return place_on_preferred(
        preferred=PreferredUpstreams(
            ranked=rankings.preferred(service="s", key=key, upstreams_of=lambda _: upstreams),
            homes=rankings.in_order(service="s", key=key, upstreams=homes),
            is_usable=is_usable,
        ),
        view=placement_view(loads, warm.get(key, ())),
        queue_factor=1.75,
    )


def placement_view(loads, warm) -> PlacementView:
    return view(loads=loads, warm=warm)


@pytest.mark.parametrize("seed", range(4))
def test_choices_are_the_same_as_among_all_upstreams(seed):
    rng = random.Random(seed)
    upstreams = [make_upstream(number) for number in range(345)]
    unusable = {upstream.id for upstream in rng.sample(upstreams, 40)}
    rankings = ObjectRankings(weight_of=weight_of)
    loads, warm, running = {}, {}, []
    for _ in range(3_000):
        key = f"o{int(rng.paretovariate(0.6)) % 300}"
        chosen = place(
            rankings,
            upstreams,
            key=key,
            loads=loads,
            warm=warm,
            usable=lambda upstream: upstream.id not in unusable,
        )
        expected = place_request(
            candidates=[upstream for upstream in upstreams if upstream.id not in unusable],
            service="s",
            key=key,
            view=placement_view(loads, warm.get(key, ())),
            queue_factor=1.75,
        )
        assert chosen == expected
        if chosen.upstream is not None and chosen.verdict.value == "send":
            name = chosen.upstream.id
            loads[name] = loads.get(name, 0) + 1
            warm.setdefault(key, set()).add(name)
            running.append(name)
        while len(running) > 500:
            loads[running.pop(rng.randrange(len(running)))] -= 1


def test_placement_is_left_to_all_upstreams_if_no_preferred_one_is_usable():
    upstreams = [make_upstream(number) for number in range(60)]
    rankings = ObjectRankings(weight_of=weight_of)
    preferred = rankings.preferred(service="s", key="k", upstreams_of=lambda _: upstreams)
    names = {upstream.id for upstream in preferred}
    placement = place(
        rankings,
        upstreams,
        key="k",
        loads={},
        warm={},
        usable=lambda upstream: upstream.id not in names,
    )
    assert placement is None
