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
@pytest.mark.parametrize("naive", [by_hash, by_load])
def test_more_is_served_in_time_than_by_a_naive_policy(pattern, naive, seed):
    ours = replay(pattern=pattern, policy=by_warmth, seed=seed)
    theirs = replay(pattern=pattern, policy=naive, seed=seed)
    assert ours.in_time > theirs.in_time


def test_load_near_the_warm_capacity_is_served_in_time():
    for seed in range(3):
        assert replay(pattern=PATTERNS[0], policy=by_warmth, seed=seed).in_time > 0.8


def test_calm_load_is_not_refused():
    calm = Pattern(name="calm", rate_per_s=80.0)
    for seed in range(3):
        assert replay(pattern=calm, policy=by_warmth, seed=seed).refused < 0.02
