import pytest

from gooseberryport_standins._even_model import EvenCase, replay_even
from gooseberryport_standins._even_policies import POLICIES

SEEDS = range(3)


def mean_of(policy, case):
    results = [replay_even(case, POLICIES[policy], seed) for seed in SEEDS]
    return {
        field: sum(getattr(result, field) for result in results) / len(results)
        for field in ("in_time", "spread")
    }


@pytest.mark.parametrize("period_s", [0.2, 2.0])
def test_many_choosers_with_equal_reports_do_not_overload_upstreams_in_turn(period_s):
    # Failure: 100 load balancers choose the exact minimum of the same old reports.
    case = EvenCase(choosers=100, period_s=period_s, load=0.7, uneven=False)
    before, now = mean_of("exact minimum", case), mean_of("estimates", case)
    assert now["spread"] < 0.6 * before["spread"]
    assert now["in_time"] > before["in_time"]


@pytest.mark.parametrize("period_s", [0.05, 0.4])
def test_warm_objects_are_served_in_time_as_often_as_by_the_minimum(period_s):
    # Failure: spreading the load moves objects away from where they are warm.
    case = EvenCase(choosers=9, period_s=period_s, warmth=True, load=0.7)
    before, now = mean_of("exact minimum", case), mean_of("estimates", case)
    assert now["in_time"] > before["in_time"]


def test_stated_speeds_serve_more_requests_in_time():
    # Failure: machines that are slow for good get as many requests as fast ones.
    case = EvenCase(choosers=9, period_s=0.05, load=0.7)
    without, now = mean_of("estimates without speed", case), mean_of("estimates", case)
    assert now["in_time"] > without["in_time"] + 0.05
