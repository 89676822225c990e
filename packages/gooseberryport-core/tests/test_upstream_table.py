import pytest

from gooseberryport_core.gateway.model import UpstreamState
from gooseberryport_core.gateway.upstreams import Reachability, Upstream, UpstreamTable
from gooseberryport_standins.samples import make_entry


def ids(upstreams):
    return [upstream.id for upstream in upstreams]


def table_of(*entries):
    table = UpstreamTable()
    for entry in entries:
        table.put(entry, now=0.0)
    return table


def test_draining_and_evacuated_upstreams_are_not_usable():
    table = table_of(
        make_entry("u1"),
        make_entry("u2", state=UpstreamState.DRAINING),
        make_entry("u3", zone="b1"),
    )
    table.set_evacuated(frozenset({"b1"}))
    assert ids(table.usable("s")) == ["u1"]
    table.set_evacuated(frozenset())
    assert ids(table.usable("s")) == ["u1", "u3"]


def test_stale_report_is_ignored():
    table = table_of(make_entry(state=UpstreamState.DRAINING, sequence=7))
    assert not table.put(make_entry(sequence=6), now=1.0)
    assert table.usable("s") == []


def test_draining_does_not_end_within_an_incarnation():
    table = table_of(make_entry(state=UpstreamState.DRAINING, sequence=7))
    assert table.put(make_entry(sequence=8), now=1.0)
    assert table.usable("s") == []


def test_restart_under_the_same_id_resets_the_state():
    table = table_of(make_entry(state=UpstreamState.DRAINING, sequence=7))
    upstream = table.get("u1")
    upstream.failure_fraction = 0.9
    upstream.record_unreachable(1.0)
    assert table.put(make_entry(started_ms=2000, sequence=1, cold_s=3.0), now=2.0)
    assert ids(table.usable("s")) == ["u1"]
    assert upstream.failure_fraction == 0.0
    assert upstream.is_cold(4.9)
    assert not upstream.is_cold(5.1)


def test_late_report_of_an_earlier_incarnation_is_ignored():
    table = table_of(make_entry(started_ms=2000, sequence=1))
    assert not table.put(
        make_entry(started_ms=1000, sequence=99, state=UpstreamState.DRAINING), now=1.0
    )
    assert ids(table.usable("s")) == ["u1"]


def test_upstream_is_not_usable_if_only_its_entry_is_missing():
    table = table_of(*(make_entry(f"u{index}") for index in range(6)))
    table.mark_missing("u2", store_available_at=10.0)
    assert "u2" not in ids(table.usable("s"))


def test_upstreams_stay_usable_for_the_ttl_if_most_entries_are_missing():
    table = table_of(*(make_entry(f"u{index}") for index in range(6)))
    for index in range(6):
        table.mark_missing(f"u{index}", store_available_at=10.0)
    assert len(table.usable("s")) == 6
    table.put(make_entry("u0", sequence=2), now=11.0)
    assert sorted(table.expire(now=12.1)) == [f"u{index}" for index in range(1, 6)]
    assert ids(table.usable("s")) == ["u0"]


def test_ttl_of_missing_entries_starts_when_the_store_is_available_again():
    table = table_of(make_entry("u1"), make_entry("u2"))
    table.mark_missing("u1", store_available_at=10.0)
    assert table.expire(now=11.9) == []
    assert table.expire(now=12.0) == ["u1"]


def test_unreachable_upstream_is_probed_with_backoff_and_becomes_usable_again():
    table = table_of(make_entry())
    upstream = table.get("u1")
    upstream.record_unreachable(5.0)
    assert upstream.reachability is Reachability.UNPROVEN
    assert upstream.probe_at == 5.0
    intervals = []
    for _ in range(6):
        now = upstream.probe_at
        upstream.record_unreachable(now)
        intervals.append(upstream.probe_at - now)
    assert intervals == sorted(intervals)
    assert intervals[-1] == pytest.approx(2.0)
    assert table.usable("s") == []
    upstream.record_reachable()
    assert ids(table.usable("s")) == ["u1"]


def test_reported_load_expires_sooner_in_the_same_region():
    upstream = Upstream(entry=make_entry("u"))
    upstream.in_flight = 2
    assert upstream.reported_other_requests(same_region=False, now=0.0) is None
    upstream.record_load(7, now=10.0)
    assert upstream.reported_other_requests(same_region=True, now=10.05) == 5
    assert upstream.reported_other_requests(same_region=True, now=10.2) is None
    assert upstream.reported_other_requests(same_region=False, now=10.2) == 5
    assert upstream.reported_other_requests(same_region=False, now=10.5) is None


def test_reported_load_below_the_own_requests_means_no_other_requests():
    upstream = Upstream(entry=make_entry("u"))
    upstream.in_flight = 3
    upstream.record_load(1, now=0.0)
    assert upstream.reported_other_requests(same_region=True, now=0.0) == 0
