from hypothesis import given
from hypothesis import strategies as st

from gooseberryport_core.gateway.store_epochs import (
    COPY_TABLE,
    HOLD_S,
    MAX_ENDED,
    Difference,
    EpochChange,
    Holds,
    ItemKind,
    Stored,
    StoreEpoch,
    decide,
)

KEYS = st.sampled_from(["a", "b", "c"])
STEPS = st.one_of(
    st.tuples(st.just("hold"), KEYS),
    st.tuples(st.just("write"), KEYS),
    st.tuples(st.just("remove"), KEYS),
    st.tuples(st.just("wait"), st.floats(0.0, HOLD_S)),
)


def test_every_difference_of_every_kind_has_a_decision():
    # Failure: a kind of item that nobody thought of takes back what was acknowledged.
    for kind in ItemKind:
        assert set(COPY_TABLE[kind]) == set(Difference) - {Difference.CHANGED}
        assert all(decide(kind, difference) for difference in Difference)


@given(st.lists(st.integers(0, 5), max_size=20))
def test_epoch_never_decreases_and_a_lower_one_is_older(epochs):
    # Failure: a late answer makes a gateway go on in an earlier epoch.
    epoch = StoreEpoch()
    for stated in epochs:
        before = epoch.current
        change = epoch.observe(stated)
        assert epoch.current == max(before, stated)
        assert (change is EpochChange.OLDER) == (stated < before)
        assert (change is EpochChange.NEWER) == (stated > before)


@given(st.lists(STEPS, max_size=30))
def test_hold_ends_when_the_key_is_written_or_the_time_has_passed(steps):
    # Failure: what is written again counts late, or a hold is prolonged by each further return.
    holds, now, expected = Holds(), 0.0, {}
    for action, value in steps:
        if action == "hold":
            holds.hold(value, value, now=now)
            expected.setdefault(value, now + HOLD_S)
        elif action == "write":
            holds.record_written(value)
            expected.pop(value, None)
        elif action == "remove":
            holds.record_removed(value, Stored(b"", 1))
            expected.pop(value, None)
            assert holds.is_removed(value, Stored(b"", 1))
            assert not holds.is_removed(value, Stored(b"", 2))
        else:
            now += value
        due = {key for key, until in expected.items() if now >= until}
        assert set(holds.take_due(now=now)) == due
        expected = {key: until for key, until in expected.items() if key not in due}
        assert set(holds.items) == set(expected)


def test_removed_items_are_bounded():
    holds = Holds()
    for number in range(2 * MAX_ENDED):
        holds.record_removed(str(number), Stored(b"", number))
    assert holds.is_removed(str(2 * MAX_ENDED - 1), Stored(b"", 2 * MAX_ENDED - 1))
    assert not holds.is_removed("0", Stored(b"", 0))
