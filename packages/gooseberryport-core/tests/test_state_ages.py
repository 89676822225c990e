import pytest

from gooseberryport_core.gateway.state_ages import StateAges


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
