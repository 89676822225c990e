"""Measure the control plane's processor time, bytes, memory and store calls by fleet size."""

from __future__ import annotations

import gc

from gooseberryport_core.lookup import LookupSnapshot
from gooseberryport_standins._bench_fleet import Fleet, Shape, Usage, measure
from gooseberryport_standins._bench_report import BenchReport, BenchRow, resident_bytes

WARM_UP_S = 6.0
MEASURED_S = 4.0
REPEATS = 20

SHAPES = (
    Shape(daemons=9),
    Shape(daemons=36),
    Shape(daemons=72),
    Shape(daemons=9, services=20),
    Shape(daemons=9, upstreams=20),
    Shape(daemons=136, regions=6, zones=17),
)


def run(seed: int) -> BenchReport:
    """Run the benchmark and return its report."""
    rows: list[BenchRow] = []
    for shape in SHAPES:
        rows.extend(_measure_shape(shape, seed))
    return BenchReport("control", seed, tuple(rows))


def _measure_shape(shape: Shape, seed: int) -> list[BenchRow]:
    gc.collect()
    before = resident_bytes()
    fleet = Fleet(shape, seed)
    fleet.run(WARM_UP_S)
    versions = {node.cfg.version for node in fleet.nodes.values()}
    assert versions == {1}, versions
    fleet.usage = Usage()
    fleet.run(MEASURED_S)
    added_bytes = resident_bytes() - before
    usage, size = fleet.usage, str(shape)
    per_daemon_s = shape.daemons * MEASURED_S
    decisions = sum(usage.node_s.values())
    rows = [
        BenchRow("control, decisions", size, decisions / per_daemon_s * 1e3, "ms/s a daemon"),
        BenchRow("of these, ticks", size, usage.node_s["Tick"] / per_daemon_s * 1e3, "ms/s"),
        BenchRow("control, codecs", size, usage.codec_s / per_daemon_s * 1e3, "ms/s a daemon"),
        BenchRow("datagrams sent", size, usage.datagrams / per_daemon_s, "1/s a daemon"),
        BenchRow("bytes sent", size, usage.sent_bytes / per_daemon_s / 1e3, "KB/s a daemon"),
        BenchRow("longest datagram", size, usage.max_message_bytes, "bytes"),
        BenchRow("memory", size, added_bytes / shape.daemons / 1e6, "MB a daemon"),
    ]
    for kind, count in sorted(usage.store_calls.items()):
        rows.append(BenchRow(f"store calls, {kind}", size, count / MEASURED_S, "1/s, whole fleet"))
    return [*rows, _snapshot_row(fleet, size)]


def _snapshot_row(fleet: Fleet, size: str) -> BenchRow:
    node = next(iter(fleet.nodes.values()))
    taken_s = min(
        measure(lambda: _look_up_first(node.lookup_snapshot(fleet.now), fleet.shape))
        for _ in range(REPEATS)
    )
    return BenchRow("look-up snapshot and its first look-up", size, taken_s * 1e6, "us")


def _look_up_first(snapshot: LookupSnapshot, shape: Shape) -> None:
    snapshot.rank("service-00", "10.0.0.1")
