"""Replays of loads whose objects exceed what upstreams keep, with what gateways can observe."""

import msgspec

from gooseberryport_standins._tracked_warmth import (
    AFTER,
    BEFORE,
    UNLEARNED,
    Load,
    TrackedFleet,
    Variant,
    replay_tracked,
)

SCARCE = Load(kept_objects=9, rate_per_s=200.0)


def means(*, variant):
    outcomes = [replay_tracked(load=SCARCE, variant=variant, seed=seed) for seed in range(4)]
    fields = ("found_warm", "in_time", "expected_warm_but_cold")
    sums = [sum(getattr(outcome, field) for outcome in outcomes) / 4 for field in fields]
    return (*sums, max(max(outcome.capacities) for outcome in outcomes))


def test_more_requests_find_their_object_warm_where_upstreams_keep_few():
    # Guards against homes that push each other's objects out. Single seeds vary by 0.02.
    warm_before, in_time_before, wrong_before, _ = means(variant=BEFORE)
    warm, in_time, wrong, capacity = means(variant=AFTER)
    assert warm > warm_before + 0.01
    assert in_time > in_time_before + 0.02
    assert wrong < wrong_before * 0.6
    assert capacity <= 12


def test_nothing_changes_where_upstreams_keep_enough():
    # Guards against other placements, and capacities learned from outliers and slow upstreams, in
    # deployments where no object is evicted.
    load = Load(kept_objects=40, seconds=80.0, slow_factor=3.0)
    learning = replay_tracked(load=load, variant=AFTER, seed=1)
    assert set(learning.capacities) == {UNLEARNED}
    calm = msgspec.structs.replace(load, slow_factor=1.0)
    assert replay_tracked(load=calm, variant=AFTER, seed=1) == replay_tracked(
        load=calm, variant=Variant(learns=False), seed=1
    )


def test_first_requests_of_a_second_route_are_not_expected_to_be_warm():
    # Guards against two routes of one service that share their keys but not their objects.
    wrong = {}
    for variant in (BEFORE, AFTER):
        fleet = TrackedFleet(load=Load(keys=72, routes=2, kept_objects=40), variant=variant, seed=2)
        fleet.run(10.0)
        wrong[variant] = fleet.outcome().expected_warm_but_cold
    assert wrong[AFTER] < wrong[BEFORE] / 5


def test_order_of_use_is_known_from_others_reports():
    # Guards against taking an object that other gateways keep in use for one that was evicted.
    agreeing = {}
    for reports in (False, True):
        variant = Variant(reports_order=reports, learns=False)
        fleet = TrackedFleet(load=SCARCE, variant=variant, seed=3)
        fleet.run(20.0)
        agreeing[reports] = 0
        for name, modelled in fleet.model.modelled_upstreams.items():
            for gateway in fleet.gateways:
                newest = set(gateway.tracker.objects(name)[-SCARCE.kept_objects :])
                agreeing[reports] += len(newest & fleet.marks(modelled.warm))
    assert agreeing[True] > agreeing[False]


def test_replaced_upstreams_that_keep_more_are_used_fully_again():
    # Guards against an estimate that outlives the upstreams that showed it.
    fleet = TrackedFleet(load=SCARCE, variant=AFTER, seed=4)
    fleet.run(60.0)
    assert min(fleet.outcome().capacities) <= 12
    fleet.replace_upstreams(kept_objects=40)
    fleet.run(20.0)
    fleet.counts.clear()
    fleet.run(20.0)
    assert set(fleet.outcome().capacities) == {UNLEARNED}
    assert fleet.outcome().found_warm > 0.98
