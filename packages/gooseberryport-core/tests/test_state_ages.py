import pytest

from gooseberryport_core.gateway.state_ages import StateAges, StoreRetries


@pytest.mark.parametrize("bound_s", [2.0, 2.5, 3.0, 4.0])
@pytest.mark.parametrize("has_changes", [False, True])
def test_a_silent_watch_leaves_time_for_another_one(bound_s, has_changes):
    ages = StateAges(bound_s=bound_s)
    paused_s = ages.pause_s(is_used=False, has_changes=has_changes)
    wait_s = ages.wait_s(is_used=False, has_failed=False, paused_s=paused_s)
    assert paused_s + wait_s + ages.answer_s <= 0.8 * bound_s + 1e-9


@pytest.mark.parametrize("bound_s", [2.0, 2.5, 3.0, 4.0])
def test_a_used_watcher_is_recent_enough_for_a_follower_of_a_follower(bound_s):
    ages = StateAges(bound_s=bound_s)
    paused_s = ages.pause_s(is_used=True, has_changes=False)
    wait_s = ages.wait_s(is_used=True, has_failed=False, paused_s=paused_s)
    assert paused_s + wait_s + ages.long_poll_s <= ages.max_age_s
    assert ages.max_age_s + ages.long_poll_s <= 0.8 * bound_s


def left_s(retries, *, age_s, now):
    return retries.left_s(age_s=age_s, ages=StateAges(bound_s=2.0), now=now)


def test_store_gets_its_pause_while_the_state_is_recent():
    retries = StoreRetries()
    assert left_s(retries, age_s=9.0, now=0.0) <= 0.0
    retries.record_failure(retry_after_s=10.0, spread=1.0, now=0.0)
    assert left_s(retries, age_s=0.5, now=9.0) > 0.0
    assert left_s(retries, age_s=0.5, now=10.0) <= 0.0
    assert left_s(retries, age_s=1.5, now=1.0) <= 0.0
    retries.record_success()
    assert left_s(retries, age_s=0.5, now=1.0) <= 0.0


def test_delays_grow_with_failures_and_stay_short_without_recent_state():
    retries = StoreRetries()
    delays = []
    for _ in range(8):
        retries.record_failure(retry_after_s=0.0, spread=1.0, now=0.0)
        delays.append((left_s(retries, age_s=0.5, now=0.0), left_s(retries, age_s=9.0, now=0.0)))
    assert delays[0] == (0.1, 0.1)
    assert delays[-1] == (2.0, 0.5)
    assert delays == sorted(delays)
