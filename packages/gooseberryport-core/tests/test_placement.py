import pytest
from gateway_builders import upstreams, view

from gooseberryport_core.gateway.placement import (
    MAX_HOMES,
    MAX_QUEUE_FACTOR,
    MIN_QUEUE_FACTOR,
    Verdict,
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


def test_warm_upstream_with_a_free_slot_is_kept_though_others_are_idle():
    pool = upstreams(6)
    home = rank_upstreams(candidates=pool, service="s", key="k", view=view())[3]
    found = placed(pool, view(loads={home.id: 3}, warm={home.id}))
    assert (found.verdict, found.upstream, found.warm) == (Verdict.SEND, home, True)


def test_request_waits_at_its_warm_home_within_the_bound():
    pool = upstreams(6)
    found = placed(pool, view(loads={"u2": 7}, warm={"u2"}))
    assert (found.verdict, found.upstream.id) == (Verdict.SEND, "u2")


def test_second_home_is_opened_only_on_an_idle_upstream():
    pool = upstreams(3)
    busy = {each.id: 1 for each in pool} | {"u0": 8}
    assert placed(pool, view(loads=busy, warm={"u0"})).verdict is Verdict.FULL
    idle = busy | {"u2": 0}
    found = placed(pool, view(loads=idle, warm={"u0"}))
    assert (found.upstream.id, found.warm) == ("u2", False)


def test_no_more_homes_than_the_bound_are_opened():
    pool = upstreams(MAX_HOMES + 2)
    homes = {f"u{index}" for index in range(MAX_HOMES)}
    found = placed(pool, view(loads=dict.fromkeys(homes, 8), warm=homes))
    assert found.verdict is Verdict.FULL


def test_less_loaded_of_two_busy_homes_is_taken():
    found = placed(upstreams(4), view(loads={"u1": 7, "u3": 5}, warm={"u1", "u3"}))
    assert found.upstream.id == "u3"


def test_upstream_that_joins_takes_an_object_that_ranks_it_high():
    pool = upstreams(6)
    ranked = rank_upstreams(candidates=pool, service="s", key="k", view=view())
    second, home, last = ranked[1].id, ranked[2].id, ranked[5].id
    assert placed(pool, view(warm={home}, unused={second})).upstream.id == second
    assert placed(pool, view(warm={home}, unused={last})).upstream.id == home


def test_every_upstream_of_the_region_that_joins_gets_an_object():
    pool = upstreams(12)
    old, new = pool[:8], pool[8:]
    warm = {f"o{i}": {old[i % 8].id} for i in range(24)}
    unused = {each.id for each in new}
    for key, homes in warm.items():
        found = placed(pool, view(warm=homes, unused=unused), key=key).upstream
        unused.discard(found.id)
    assert unused == set()


@pytest.mark.parametrize("key", [None, "k"])
def test_nothing_is_sent_where_nothing_may_start(key):
    found = placed(upstreams(3), view(startable=lambda each: False), key=key)
    assert found.verdict is Verdict.FULL


def test_upstreams_that_failed_the_request_are_left_out():
    pool = upstreams(2)
    assert placed(pool, view(), avoided=frozenset({"u0"})).upstream.id == "u1"
    assert placed(pool, view(), avoided=frozenset({"u0", "u1"})).verdict is Verdict.NONE


def test_failing_upstream_is_used_only_if_no_other_is_left():
    pool = upstreams(2)
    for _ in range(5):
        pool[0].record_answer(good=False)
    assert placed(pool, view(warm={"u0"})).upstream.id == "u1"
    assert placed(pool[:1], view()).upstream.id == "u0"


def test_request_without_an_object_goes_to_the_nearest_with_room():
    pool = upstreams(4, zones=("a1", "a2", "b1", "b2"))
    assert placed(pool, view(zone="a2"), key=None).upstream.id == "u1"
    assert placed(pool, view(zone="a2", loads={"u1": 4}), key=None).upstream.id == "u0"


def test_few_objects_move_when_an_upstream_joins():
    pool = upstreams(11)
    keys = [f"o{index}" for index in range(500)]

    def homes(candidates):
        return [
            rank_upstreams(candidates=candidates, service="s", key=key, view=view())[0]
            for key in keys
        ]

    before, after = homes(pool[:10]), homes(pool)
    moved = [new for old, new in zip(before, after, strict=True) if old is not new]
    assert 20 < len(moved) < 90
    assert {each.id for each in moved} == {"u10"}


def test_objects_live_mostly_in_their_clients_region():
    pool = upstreams(8, zones=("a1", "b1"))
    homes = [
        rank_upstreams(candidates=pool, service="s", key=f"o{i}", view=view())[0]
        for i in range(400)
    ]
    near = sum(each.entry.zone == "a1" for each in homes)
    assert 0.7 < near / 400 < 0.9


@pytest.mark.parametrize(
    ("objective_s", "warm_s", "low", "high"),
    [
        (0.4, 0.2, 1.5, MAX_QUEUE_FACTOR),
        (0.4, 0.6, MIN_QUEUE_FACTOR, MIN_QUEUE_FACTOR),
        (9, 0.1, 2, MAX_QUEUE_FACTOR),
    ],
)
def test_queue_is_as_long_as_the_objective_allows(objective_s, warm_s, low, high):
    assert low <= queue_factor(objective_s=objective_s, warm_s=warm_s) <= high
