import pytest

from gooseberryport_standins._warm_model import (
    PATTERNS,
    Pattern,
    by_hash,
    by_load,
    by_warmth,
    replay,
)


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("pattern", PATTERNS, ids=lambda pattern: pattern.name)
@pytest.mark.parametrize("baseline", [by_hash, by_load])
def test_placement_by_warmth_serves_more_in_time_than_hash_or_least_load(pattern, baseline, seed):
    warmth = replay(pattern=pattern, policy=by_warmth, seed=seed)
    other = replay(pattern=pattern, policy=baseline, seed=seed)
    assert warmth.in_time > other.in_time


def test_most_requests_near_the_warm_capacity_are_served_in_time():
    for seed in range(3):
        assert replay(pattern=PATTERNS[0], policy=by_warmth, seed=seed).in_time > 0.8


def test_less_than_two_percent_of_a_low_load_is_rejected():
    low = Pattern(name="low", rate_per_s=80.0)
    for seed in range(3):
        assert replay(pattern=low, policy=by_warmth, seed=seed).refused < 0.02
