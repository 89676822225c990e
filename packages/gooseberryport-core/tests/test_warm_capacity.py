"""Durations of requests by depth, as a gateway measures them at upstreams that keep few objects."""

import random

import pytest

from gooseberryport_core.gateway.warm_capacity import Temperature, WarmCapacities
from gooseberryport_core.gateway.warmth import MAX_WARM_OBJECTS


class Durations:
    """Feeds a learner with requests at random depths of upstreams that keep `kept` objects."""

    def __init__(self, *, kept, seed=1):
        self.kept = kept
        self.capacities = WarmCapacities()
        self.rng = random.Random(seed)
        self.now = 0.0

    def run(self, count, *, deepest=40, slow=(), prefix="u"):
        for _ in range(count):
            self.now += 0.04
            depth = self.rng.randrange(deepest)
            name = f"{prefix}{self.rng.randrange(8)}"
            factor = 1.0 if depth < self.kept else 3.0
            factor *= 7.0 if self.rng.random() < 0.03 else 1.0
            factor *= 3.0 if name in slow else 1.0
            self.send(depth=depth, name=name, took_s=0.3 * factor * self.rng.uniform(0.85, 1.15))
        return self.capacities.capacity("s")

    def send(self, *, depth, took_s, name="u0"):
        return self.capacities.record(
            service="s", route="r", upstream=name, depth=depth, took_s=took_s, now=self.now
        )


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("kept", [9, 16])
def test_capacity_is_learned_and_grows_again(kept, seed):
    # Guards against assuming 48 where fewer are kept, and against an estimate that only shrinks.
    durations = Durations(kept=kept, seed=seed)
    assert durations.run(1200) == pytest.approx(kept, abs=2)
    durations.kept = 30
    assert durations.run(2500) == pytest.approx(30, abs=3)


@pytest.mark.parametrize("seed", range(4))
def test_outliers_and_slow_upstreams_do_not_reduce_the_capacity(seed):
    # Guards against taking 3 in 100 slow requests, or an upstream that is slow for seconds, for
    # objects that were evicted.
    durations = Durations(kept=48, seed=seed)
    for number in range(12):
        assert durations.run(100, slow={f"u{number % 8}"}) == MAX_WARM_OBJECTS
    durations = Durations(kept=48, seed=seed)
    durations.run(300, deepest=4)
    for _ in range(8):
        durations.send(depth=20, took_s=0.9)
    assert durations.capacities.refresh(now=durations.now + 10.0) == {"s": MAX_WARM_OBJECTS}


def test_estimate_is_dropped_with_the_upstreams_that_showed_it_and_with_age():
    # Guards against keeping the capacity of machines that were replaced by larger ones.
    durations = Durations(kept=9)
    assert durations.run(1200) < 12
    for number in range(8):
        durations.capacities.forget(f"u{number}")
    assert durations.run(200, deepest=6, prefix="v") == MAX_WARM_OBJECTS
    assert durations.run(1200, prefix="v") < 12
    assert durations.capacities.refresh(now=durations.now + 400.0) == {"s": MAX_WARM_OBJECTS}


def test_nothing_is_learned_from_unknown_depths_or_without_a_reference():
    # Guards against learning from requests of which nothing is known.
    durations = Durations(kept=9)
    assert durations.send(depth=20, took_s=0.9) is Temperature.UNKNOWN
    durations.run(300, deepest=3)
    assert durations.send(depth=None, took_s=0.9) is Temperature.UNKNOWN
    assert durations.send(depth=20, took_s=2.1) is Temperature.UNKNOWN
    assert durations.send(depth=20, took_s=0.9, name="w") is Temperature.COLD
    durations.capacities.forget_other_than(routes=["other"], services=["s"])
    assert durations.send(depth=20, took_s=0.9, name="w") is Temperature.UNKNOWN
