import random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gooseberryport_core._burn_counts import FOLD_TIMEOUT_S
from gooseberryport_core._views import Peer
from gooseberryport_core.burn import (
    BurnCounters,
    BurnHistory,
    BurnRecord,
    BurnSeverity,
    RegionCounts,
    RequestCounts,
    burn_lines,
    burn_record_key,
    decode_burn_record,
)
from gooseberryport_core.config import Config, Service
from gooseberryport_core.effects import SendMessage, StoreGet, StoreSwap
from gooseberryport_core.events import (
    MessageArrived,
    StoreFailed,
    StoreGot,
    StoreValue,
    StoreWritten,
    Tick,
)
from gooseberryport_core.messages import CountNotice, ServiceCount, encode_message
from gooseberryport_core.settings import NodeSettings
from gooseberryport_core.types import VmState

CFG = Config(version=1, services={"registry": Service(latency_objective_fraction=0.99)})
KEY = burn_record_key("mittelland")


def notice(vm: str, incarnation: int, total: int) -> CountNotice:
    return CountNotice(vm, incarnation, (ServiceCount("registry", total, total // 2, 0),))


steps = st.lists(
    st.tuples(
        st.sampled_from(["a", "b"]),
        st.integers(1, 3),
        st.integers(0, 50),
        st.sampled_from([0.0, 10.0, FOLD_TIMEOUT_S]),
    ),
    max_size=25,
)


@settings(derandomize=True, deadline=None, database=None, max_examples=300)
@given(steps, st.randoms(use_true_random=False))
def test_runs_count_once_in_any_order_and_outlive_their_vm(steps, rng):
    """Compare the totals with the sum of each run's largest value; runs of a VM do not overlap."""
    largest: dict[tuple[str, int], int] = {}
    counts, wall, newest = RegionCounts(), 0.0, {"a": 0, "b": 0}
    sent: list[CountNotice] = []
    for vm, incarnation, increase, elapsed_s in steps:
        wall += elapsed_s
        newest[vm] = max(newest[vm], incarnation)
        run = (vm, newest[vm])
        largest[run] = largest.get(run, 0) + increase
        sent.append(notice(*run, largest[run]))
        counts.record_notice(sent[-1], wall)
        counts.record_notice(rng.choice(sent[-3:]), wall)
        if rng.random() < 0.5:
            counts.fold(wall)
        copied = counts.copy()
        for copied_run in copied.runs:
            counts.merge_run(copied_run)
    assert counts.totals().get("registry", RequestCounts()).total == sum(largest.values())


def test_late_notice_of_an_older_run_is_not_counted_again():
    counts = RegionCounts()
    counts.record_notice(notice("a", 1, 10), 0.0)
    counts.record_notice(notice("a", 2, 5), 0.0)
    counts.fold(FOLD_TIMEOUT_S)
    counts.record_notice(notice("a", 1, 10), FOLD_TIMEOUT_S)
    assert counts.totals()["registry"].total == 15


class MembershipView:
    """Membership as one daemon sees it."""

    def __init__(self, region: "Region", own_vm: str) -> None:
        self.region = region
        self.own_vm = own_vm

    def live(self, now: float) -> tuple[Peer, ...]:
        return tuple(self.peer(vm) for vm in sorted(self.region.counters) if vm != self.own_vm)

    def peer(self, vm: str) -> Peer:
        return Peer(vm, 1, "bern-a", "mittelland", VmState.LIVE, f"{vm}:1", "", 0.0)


class Region:
    """Burn counters of a region's daemons, by VM, and the store that they write to."""

    def __init__(self, *vms: str) -> None:
        self.now = 0.0
        self.value = StoreValue(KEY, b"", 0)
        self.store_up = True
        self.without_store: set[str] = set()
        self.writes = 0
        self.counters = {vm: self.start(vm, 1) for vm in vms}

    def start(self, vm: str, incarnation: int) -> BurnCounters:
        node_settings = NodeSettings(vm, incarnation, "bern-a", "mittelland", f"{vm}:1", "")
        burn_counters = BurnCounters(
            settings=node_settings, peers=MembershipView(self, vm), rng=random.Random(incarnation)
        )
        burn_counters.configure(CFG, self.now)
        return burn_counters

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds)):
            self.now += 1.0
            for burn_counters in list(self.counters.values()):
                self.execute(burn_counters, burn_counters.handle(Tick(1e9 + self.now), self.now))

    def execute(self, burn_counters: BurnCounters, effects: list) -> None:
        for effect in effects:
            if isinstance(effect, SendMessage):
                assert len(encode_message(effect.message)) < 1_200
                target = self.counters.get(effect.address.partition(":")[0])
                if target:
                    target.handle(MessageArrived(effect.message, ""), self.now)
            elif not self.store_up or burn_counters._settings.vm in self.without_store:
                burn_counters.handle(StoreFailed(effect.call_id, True), self.now)
            elif isinstance(effect, StoreGet):
                got = StoreGot(effect.call_id, (self.value,))
                self.execute(burn_counters, burn_counters.handle(got, self.now))
            elif isinstance(effect, StoreSwap):
                applied = effect.expected == self.value.revision
                if applied:
                    self.writes += 1
                    self.value = StoreValue(KEY, effect.value, self.value.revision + 1)
                burn_counters.handle(StoreWritten(effect.call_id, applied, self.value), self.now)

    def serve(self, vm: str, requests: int, failed: bool = False) -> None:
        for _ in range(requests):
            self.counters[vm].record("registry", duration_s=0.1, failed=failed)

    @property
    def total(self) -> int:
        record = (
            decode_burn_record(self.value.value) if self.value.value else BurnRecord("mittelland")
        )
        return record.counts.totals().get("registry", RequestCounts()).total


def test_record_counts_each_request_once_and_writes_do_not_grow_with_requests():
    idle_region, busy_region = Region("a", "b", "c"), Region("a", "b", "c")
    for _ in range(30):
        for vm in busy_region.counters:
            busy_region.serve(vm, 7)
        busy_region.run(20)
        idle_region.run(20)
    busy_region.run(120)
    idle_region.run(120)
    assert busy_region.total == 30 * 7 * 3
    assert busy_region.writes <= idle_region.writes + 1
    assert busy_region.writes <= 720 / 57


def test_counts_outlive_replaced_vms_and_a_crashed_writer():
    region = Region("a", "b", "c")
    served = 0
    for vm in ("a", "b", "c", "a", "b", "c"):
        for running_vm in region.counters:
            region.serve(running_vm, 5)
        served += 15
        region.run(90)
        region.counters.pop(vm)
        region.run(200)
        region.counters[vm] = region.start(vm, round(region.now) + 2)
    region.run(300)
    assert region.total == served


def test_store_outage_loses_no_counts():
    region = Region("a", "b")
    region.serve("a", 5)
    region.run(100)
    region.store_up = False
    region.serve("a", 6)
    region.serve("b", 7)
    region.run(500)
    region.store_up = True
    region.run(200)
    assert region.total == 18


@pytest.mark.parametrize("vm_without_store", ["a", "b"])
def test_other_writer_writes_if_one_cannot_reach_the_store(vm_without_store):
    region = Region("a", "b")
    region.without_store.add(vm_without_store)
    region.serve("a", 5)
    region.serve("b", 6)
    region.run(400)
    assert region.total == 11


def test_notice_received_during_a_write_is_kept():
    region = Region("a")
    burn_counters = region.counters["a"]
    region.serve("a", 1)
    region.run(100)
    writes = []
    while not writes:
        region.now += 1.0
        effects = burn_counters.handle(Tick(1e9 + region.now), region.now)
        burn_counters.handle(MessageArrived(notice("b", 1, 4), ""), region.now)
        for get in [effect for effect in effects if isinstance(effect, StoreGet)]:
            writes = burn_counters.handle(StoreGot(get.call_id, (region.value,)), region.now)
    burn_counters.handle(MessageArrived(notice("b", 1, 9), ""), region.now)
    region.execute(burn_counters, writes)
    region.run(100)
    assert region.total == 1 + 9


def test_two_writers_that_both_write_do_not_double_counts():
    region = Region("a", "b")
    counters_by_vm = dict(region.counters)
    region.serve("a", 5)
    region.run(30)
    for vm, burn_counters in counters_by_vm.items():
        region.counters = {vm: burn_counters}
        region.run(400)
    region.counters = counters_by_vm
    region.run(200)
    assert region.total == 5


@pytest.mark.parametrize("samples", [0, 1, 500])
def test_history_is_unchanged_by_encoding_and_covers_its_windows(samples):
    history = BurnHistory()
    for n in range(samples):
        history.add(1e9 + 60 * n, {"registry": RequestCounts(100 * n, 3 * n, n)})
    decoded = BurnHistory.decode(history.encode())
    assert decoded.encode() == history.encode()
    assert len(decoded.fine_samples("registry")) == min(samples, 420)
    if samples == 500:
        now = 1e9 + 60 * 499
        assert decoded.sample_at("registry", now - 3600).count.total == 100 * (499 - 60)
        assert decoded.oldest_sample("registry").count.total == 0
    with pytest.raises(ValueError, match="damaged"):
        BurnHistory.decode(b"nonsense")


def history_with_misses(bad_per_minute: list[int]) -> BurnHistory:
    history, total, bad = BurnHistory(), 0, 0
    for n, new_bad in enumerate(bad_per_minute):
        total, bad = total + 100, bad + new_bad
        history.add(1e9 + 60 * n, {"registry": RequestCounts(total, bad, 0)})
    return history


@pytest.mark.parametrize(
    ("bad_per_minute", "severity"),
    [
        ([0] * 400, BurnSeverity.NONE),
        ([0] * 340 + [20] * 60, BurnSeverity.PAGE),
        ([20] * 340 + [0] * 60, BurnSeverity.TICKET),
        ([7] * 400, BurnSeverity.PAGE),
        ([2] * 400, BurnSeverity.TICKET),
    ],
)
def test_severity_needs_both_windows_of_a_rule(bad_per_minute, severity):
    wall = 1e9 + 60 * (len(bad_per_minute) - 1)
    lines = burn_lines(CFG, {"mittelland": history_with_misses(bad_per_minute)}, wall)
    latency, success = lines
    assert (latency.severity, success.severity) == (severity, BurnSeverity.NONE)
    assert latency.windows[0].total == 500


def test_burn_over_all_regions_is_summed():
    histories = {
        "mittelland": history_with_misses([1] * 10),
        "ticino": history_with_misses([3] * 10),
    }
    all_lines = burn_lines(CFG, histories, 1e9 + 540)
    lines = {line.region: line for line in all_lines if line.target == 0.99}
    window = lines["all"].windows[0]
    assert (window.total, window.bad) == (1000, 20)
    assert window.rate == pytest.approx(2.0)
    assert msgspec.json.encode(lines["all"])
