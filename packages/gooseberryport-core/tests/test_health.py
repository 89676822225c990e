import random

import pytest

from gooseberryport_core._health import (
    MAX_EJECTED_FRACTION,
    MAX_EJECTION_S,
    UNHEALTHY_CONSECUTIVE_FAILURES,
    Evidence,
    PoolHealth,
)

NAMES = ("a", "b", "c", "d")


def make_health() -> PoolHealth:
    health = PoolHealth(rng=random.Random(1))
    health.configure(NAMES, 10.0, 0.0)
    return health


def fail(health: PoolHealth, name: str, now: float, evidence: Evidence = Evidence.FAILED) -> None:
    for _ in range(UNHEALTHY_CONSECUTIVE_FAILURES):
        health.record(name, evidence, now)


def test_failing_upstream_is_ejected_probed_and_returned_by_slow_start() -> None:
    health = make_health()
    fail(health, "a", 1.0)
    assert health.allowed_slots("a", 4, 1.5) == 0
    assert health.allowed_slots("a", 4, 3.0) == 1
    health.record("a", Evidence.GOOD, 3.0)
    ramp = [health.allowed_slots("a", 4, 3.0 + seconds) for seconds in (0.0, 2.6, 5.1, 7.6, 10.0)]
    assert ramp == [1, 2, 3, 4, 4]


def test_failed_probe_doubles_the_next_ejection_up_to_a_limit() -> None:
    health = make_health()
    fail(health, "a", 0.0)
    now, lengths = 0.0, []
    for _ in range(8):
        before = now
        while health.allowed_slots("a", 4, now) == 0:
            now += 0.01
        lengths.append(now - before)
        health.record("a", Evidence.FAILED, now)
    assert lengths[0] >= 1.0 and lengths[1] > 1.5 * lengths[0]
    assert max(lengths) <= 1.25 * MAX_EJECTION_S + 0.02


@pytest.mark.parametrize(("evidence", "rest"), [(Evidence.FAILED, 4), (Evidence.UNREACHABLE, 1)])
def test_only_a_fraction_of_a_pool_is_ejected(evidence: Evidence, rest: int) -> None:
    health = make_health()
    for name in NAMES:
        fail(health, name, 1.0, evidence)
    allowed = [health.allowed_slots(name, 4, 1.1) for name in NAMES]
    ejected = int(MAX_EJECTED_FRACTION * len(NAMES))
    assert allowed == [0] * ejected + [rest] * (len(NAMES) - ejected)


def test_upstream_that_joins_a_known_pool_begins_with_slow_start() -> None:
    health = make_health()
    health.configure((*NAMES, "e"), 10.0, 100.0)
    assert [health.allowed_slots(name, 4, 100.0) for name in ("a", "e")] == [4, 1]
