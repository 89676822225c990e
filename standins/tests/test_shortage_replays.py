"""Replays of too few slots for three priority levels, on the model of the benchmark."""

import pytest

from gooseberryport_standins._shortage_model import replay
from gooseberryport_standins._shortage_patterns import PATTERNS, POLICIES

PRESENT, CHOSEN = POLICIES[0], POLICIES[2]
SEEDS = range(3)


def find_pattern(name):
    return next(pattern for pattern in PATTERNS if pattern.name == name)


def test_burst_of_the_least_urgent_leaves_the_most_urgent_in_time():
    # Guards against urgent requests that wait in a queue behind less urgent ones.
    pattern = find_pattern("burst of the least urgent")
    before, after = (replay(pattern=pattern, policy=p, seeds=SEEDS) for p in (PRESENT, CHOSEN))
    assert after[0].in_time / after[0].count > before[0].in_time / before[0].count + 0.1
    assert sum(level.worth for level in after) > sum(level.worth for level in before)


@pytest.mark.parametrize("pattern", PATTERNS, ids=lambda pattern: pattern.name)
def test_no_level_is_starved_or_served_less_often_than_a_less_urgent_one(pattern):
    levels = replay(pattern=pattern, policy=CHOSEN, seeds=SEEDS)
    count = sum(level.count for level in levels)
    of_all = sum(level.served * level.count for level in levels) / count
    for index, level in enumerate(levels):
        assert level.served >= of_all / 4
        assert all(level.served >= other.served - 0.05 for other in levels[index + 1 :])


def test_one_level_is_served_as_without_levels():
    # Guards against changed decisions where all requests are equally urgent.
    pattern = find_pattern("1.4 of capacity")
    thresholds = POLICIES[1]
    assert replay(pattern=pattern, policy=thresholds, seeds=range(1), levels=1) == replay(
        pattern=pattern, policy=PRESENT, seeds=range(1), levels=1
    )
