import pytest
from gateway_builders import upstreams, view

from gooseberryport_core.gateway.placement import (
    MAX_HOMES,
    MAX_QUEUE_FACTOR,
    MIN_QUEUE_FACTOR,
    Verdict,
    has_local_capacity,
    place_request,
    queue_factor,
    rank_upstreams,
)


def placed(candidates, view, *, key="k", factor=2.0, avoided=frozenset()):
    return place_request(
        candidates=candidates,
        service="s",
        key=key,
        view=view,
        queue_factor=factor,
        avoided=avoided,
    )


def test_warm_upstream_with_a_free_slot_is_preferred_to_idle_ones():
    candidates = upstreams(6)
    home = rank_upstreams(candidates=candidates, service="s", key="k", view=view())[3]
    placement = placed(candidates, view(loads={home.id: 3}, warm={home.id}))
    assert (placement.verdict, placement.upstream, placement.warm) == (Verdict.SEND, home, True)


def test_request_is_queued_at_its_warm_home_up_to_the_queue_factor():
    candidates = upstreams(6)
    placement = placed(candidates, view(loads={"u2": 7}, warm={"u2"}))
    assert (placement.verdict, placement.upstream.id) == (Verdict.SEND, "u2")


def test_second_home_is_added_only_on_an_idle_upstream():
    candidates = upstreams(3)
    busy = {upstream.id: 1 for upstream in candidates} | {"u0": 8}
    assert placed(candidates, view(loads=busy, warm={"u0"})).verdict is Verdict.FULL
    idle = busy | {"u2": 0}
    placement = placed(candidates, view(loads=idle, warm={"u0"}))
    assert (placement.upstream.id, placement.warm) == ("u2", False)


def test_no_more_than_the_maximum_number_of_homes_are_added():
    candidates = upstreams(MAX_HOMES + 2)
    homes = {f"u{index}" for index in range(MAX_HOMES)}
    placement = placed(candidates, view(loads=dict.fromkeys(homes, 8), warm=homes))
    assert placement.verdict is Verdict.FULL


def test_less_loaded_of_two_busy_homes_is_chosen():
    placement = placed(upstreams(4), view(loads={"u1": 7, "u3": 5}, warm={"u1", "u3"}))
    assert placement.upstream.id == "u3"


def test_new_upstream_receives_an_object_for_which_it_ranks_high():
    candidates = upstreams(6)
    ranked = rank_upstreams(candidates=candidates, service="s", key="k", view=view())
    second, home, last = ranked[1].id, ranked[2].id, ranked[5].id
    assert placed(candidates, view(warm={home}, unused={second})).upstream.id == second
    assert placed(candidates, view(warm={home}, unused={last})).upstream.id == home


def test_every_new_upstream_of_the_region_receives_an_object():
    candidates = upstreams(12)
    old_upstreams, new_upstreams = candidates[:8], candidates[8:]
    warm = {f"o{i}": {old_upstreams[i % 8].id} for i in range(24)}
    unused = {upstream.id for upstream in new_upstreams}
    for key, homes in warm.items():
        upstream = placed(candidates, view(warm=homes, unused=unused), key=key).upstream
        unused.discard(upstream.id)
    assert unused == set()


@pytest.mark.parametrize("key", [None, "k"])
def test_request_is_refused_if_no_upstream_can_receive_it(key):
    placement = placed(upstreams(3), view(sendable=lambda upstream: False), key=key)
    assert placement.verdict is Verdict.FULL


def test_upstreams_at_which_the_request_failed_are_excluded():
    candidates = upstreams(2)
    assert placed(candidates, view(), avoided=frozenset({"u0"})).upstream.id == "u1"
    assert placed(candidates, view(), avoided=frozenset({"u0", "u1"})).verdict is Verdict.NONE


def test_failing_upstream_is_used_only_if_no_other_is_left():
    candidates = upstreams(2)
    for _ in range(5):
        candidates[0].record_answer(good=False)
    assert placed(candidates, view(warm={"u0"})).upstream.id == "u1"
    assert placed(candidates[:1], view()).upstream.id == "u0"


def test_request_without_an_object_goes_to_the_nearest_upstream_with_a_free_slot():
    candidates = upstreams(4, zones=("a1", "a2", "b1", "b2"))
    assert placed(candidates, view(zone="a2"), key=None).upstream.id == "u1"
    assert placed(candidates, view(zone="a2", loads={"u1": 4}), key=None).upstream.id == "u0"


def test_few_objects_move_when_an_upstream_joins():
    candidates = upstreams(11)
    keys = [f"o{index}" for index in range(500)]

    def homes(candidates):
        return [
            rank_upstreams(candidates=candidates, service="s", key=key, view=view())[0]
            for key in keys
        ]

    before, after = homes(candidates[:10]), homes(candidates)
    moved = [new for old, new in zip(before, after, strict=True) if old is not new]
    assert 20 < len(moved) < 90
    assert {upstream.id for upstream in moved} == {"u10"}


def test_most_objects_have_their_home_in_their_clients_region():
    candidates = upstreams(8, zones=("a1", "b1"))
    homes = [
        rank_upstreams(candidates=candidates, service="s", key=f"o{i}", view=view())[0]
        for i in range(400)
    ]
    near = sum(upstream.entry.zone == "a1" for upstream in homes)
    assert 0.7 < near / 400 < 0.9


@pytest.mark.parametrize(
    ("objective_s", "warm_s", "low", "high"),
    [
        (0.4, 0.2, 1.5, MAX_QUEUE_FACTOR),
        (0.4, 0.6, MIN_QUEUE_FACTOR, MIN_QUEUE_FACTOR),
        (9, 0.1, 2, MAX_QUEUE_FACTOR),
    ],
)
def test_queue_factor_follows_from_the_latency_objective(objective_s, warm_s, low, high):
    assert low <= queue_factor(objective_s=objective_s, warm_s=warm_s) <= high


def place_first_touches(candidates, *, objects, count_objects):
    """Place the first request of each object as gateways do in the first seconds of a load."""
    counts = dict.fromkeys((upstream.id for upstream in candidates), 0)
    for number in range(objects):
        seen = view(objects=counts) if count_objects else view()
        counts[placed(candidates, seen, key=f"o{number}").upstream.id] += 1
    return counts


def test_first_homes_are_spread_more_evenly_than_by_the_hash_alone():
    candidates = upstreams(345)
    naive = place_first_touches(candidates, objects=442, count_objects=False)
    counts = place_first_touches(candidates, objects=442, count_objects=True)
    assert max(counts.values()) <= 3 < max(naive.values())
    assert sum(count == 0 for count in counts.values()) < 0.75 * sum(
        count == 0 for count in naive.values()
    )


def test_first_home_is_in_the_clients_region_if_that_has_the_capacity():
    candidates = upstreams(24, zones=("a1", "b1"))
    keys = [f"o{number}" for number in range(60)]
    near = [
        placed(candidates, view(prefers_local=True), key=key).upstream.entry.zone for key in keys
    ]
    anywhere = [placed(candidates, view(), key=key).upstream.entry.zone for key in keys]
    assert set(near) == {"a1"} and set(anywhere) == {"a1", "b1"}


def test_cold_object_is_not_refused_while_another_region_is_idle():
    candidates = upstreams(8, zones=("a1", "b1"))
    loads = {upstream.id: 8 for upstream in candidates if upstream.entry.zone == "a1"}
    placement = placed(candidates, view(loads=loads, prefers_local=True))
    assert (placement.verdict, placement.upstream.entry.zone) == (Verdict.SEND, "b1")
    everywhere = {upstream.id: 8 for upstream in candidates}
    assert placed(candidates, view(loads=everywhere)).verdict is Verdict.FULL


@pytest.mark.parametrize(
    ("slots", "expected"),
    [
        ({"A": 16, "B": 16, "C": 16}, True),
        ({"A": 140, "B": 564, "C": 676}, False),
        ({"A": 564, "B": 676, "C": 140}, True),
        ({"A": 0, "B": 8}, False),
        ({}, False),
    ],
)
def test_region_has_local_capacity_if_it_has_about_its_share(slots, expected):
    assert has_local_capacity(slots_by_region=slots, region="A") is expected


def test_upstreams_full_of_objects_in_use_get_others_only_to_avoid_a_refusal():
    # Guards against homes that push out other objects while there is room elsewhere.
    candidates = upstreams(6)
    ranked = rank_upstreams(candidates=candidates, service="s", key="k", view=view())
    names = [upstream.id for upstream in ranked]
    assert placed(candidates, view(full=names[:3])).upstream.id in names[3:5]
    assert placed(candidates, view(full=names)).upstream.id in names[:2]
    loads = {names[0]: 8}
    further = placed(candidates, view(loads=loads, warm=names[:1], full=names[1:4]))
    assert further.upstream.id == names[4]
    assert placed(candidates, view(warm=names[:1], full=names)).upstream.id == names[0]
    assert placed(candidates, view(loads=loads, warm=names[:1], full=names)).warm is False
