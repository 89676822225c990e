"""Replays of what upstreams announce: leaving at long queues, and pauses at the load's peak."""

from hypothesis import given
from hypothesis import strategies as st

from gooseberryport_core.gateway.announcements import (
    MAX_PAUSE_S,
    RETURN_SPREAD_S,
    TRIAL_TTL_S,
    Announcement,
    Gate,
    UpstreamAnnouncements,
)

LEAVES = Announcement(leaving=True)
NOTHING = Announcement()


def pause(seconds):
    return Announcement(pause_s=seconds)


def record(kept, announcement, *, now, upstream="u1", started_ms=1, draw=0.0):
    return kept.record(upstream, announcement, started_ms=started_ms, now=now, draw=draw)


def gate(kept, now, *, upstream="u1", started_ms=1):
    return kept.gate(upstream, started_ms=started_ms, now=now)


def test_leaving_holds_for_the_incarnation_that_said_so():
    kept = UpstreamAnnouncements()
    assert gate(kept, 0.0) is Gate.OPEN
    assert record(kept, LEAVES, now=1.0) is Gate.LEAVING
    assert record(kept, LEAVES, now=2.0) is None
    record(kept, NOTHING, now=3.0)
    assert gate(kept, 1e9) is Gate.LEAVING
    assert gate(kept, 4.0, started_ms=2) is Gate.OPEN
    kept.restart("u1", started_ms=1)
    assert kept.leaving_count == 1
    kept.restart("u1", started_ms=2)
    assert kept.leaving_count == 0


def test_a_shorter_pause_never_ends_a_longer_one():
    kept = UpstreamAnnouncements()
    assert record(kept, pause(4.0), now=0.0) is Gate.PAUSED
    assert record(kept, pause(1.0), now=0.5) is None
    assert record(kept, NOTHING, now=1.0) is None
    assert gate(kept, 3.9) is Gate.PAUSED
    assert record(kept, pause(5.0), now=1.0) is Gate.PAUSED
    assert gate(kept, 5.9) is Gate.PAUSED


def test_one_request_is_sent_first_after_a_pause():
    kept = UpstreamAnnouncements()
    record(kept, pause(2.0), now=0.0)
    assert gate(kept, 2.0) is Gate.OPEN
    kept.record_sent("u1", now=2.0)
    assert gate(kept, 2.1) is Gate.RETURNING
    assert gate(kept, 2.0 + TRIAL_TTL_S) is Gate.OPEN
    assert record(kept, NOTHING, now=2.3) is Gate.OPEN
    assert gate(kept, 2.3) is Gate.OPEN
    assert kept.paused_count == 0


def test_upstreams_that_pause_for_the_same_time_return_one_by_one():
    kept = UpstreamAnnouncements()
    names = [f"u{number}" for number in range(10)]
    for number, name in enumerate(names):
        record(kept, pause(2.0), now=0.0, upstream=name, draw=number / 10.0)
    assert [gate(kept, 2.0, upstream=name) for name in names].count(Gate.OPEN) == 1
    assert kept.return_s(names, now=0.5) == 1.5
    assert kept.return_s([*names, "other"], now=0.5) is None
    assert kept.return_s([], now=0.5) is None
    open_at_end = [gate(kept, 2.0 + RETURN_SPREAD_S, upstream=name) for name in names]
    assert set(open_at_end) == {Gate.OPEN}


def test_a_very_long_pause_is_cut():
    kept = UpstreamAnnouncements()
    record(kept, pause(1e9), now=0.0)
    assert gate(kept, MAX_PAUSE_S - 1.0) is Gate.PAUSED
    assert gate(kept, MAX_PAUSE_S) is Gate.OPEN


steps = st.lists(
    st.tuples(
        st.floats(0.0, 0.6),
        st.sampled_from(["send", "send", "send", "pause", "answer", "leave", "restart"]),
        st.floats(0.1, 4.0),
        st.floats(0.0, 0.999),
    ),
    max_size=80,
)


# Guards against requests in a pause or after leaving, whatever the order of events.
@given(steps)
def test_no_request_is_sent_in_a_pause_or_after_leaving(events):
    kept = UpstreamAnnouncements()
    now, born, left, paused_until = 0.0, 1, False, 0.0
    for delay_s, event, length_s, draw in events:
        now += delay_s
        if event == "send":
            if gate(kept, now, started_ms=born) is Gate.OPEN:
                assert not left
                assert now >= paused_until
                kept.record_sent("u1", now=now)
            continue
        announced = NOTHING
        if event == "pause":
            announced = pause(length_s)
            paused_until = max(paused_until, now + length_s)
        elif event == "leave":
            announced, left = LEAVES, True
        elif event == "restart":
            born, left, paused_until = born + 1, False, 0.0
            kept.restart("u1", started_ms=born)
            continue
        record(kept, announced, now=now, started_ms=born, draw=draw)
    kept.forget("u1")
    assert (kept.leaving_count, kept.paused_count) == (0, 0)
