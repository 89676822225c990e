"""Measure a daemon process: the cost of an idle second, of a look-up and of a request."""

from __future__ import annotations

import http.client
import os
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

from gooseberryport_standins._bench_report import BenchReport, BenchRow
from gooseberryport_standins.daemons import Daemon
from gooseberryport_standins.local_cluster import SERVICE, open_local_cluster
from gooseberryport_standins.upstream import Distribution, UpstreamSpec

CALLERS = 8
REQUESTS = 4_000
LOOKUPS = 5_000
IDLE_S = 10.0
SETTLE_S = 2.0

DEFAULT_INTERVALS: dict[str, Any] = {"vm_list_period_s": 2.0, "load_report_period_s": 1.0}
"""Default intervals of the settings; the trials of tests use shorter ones."""

PATH = f"/{SERVICE}/x"
LOOKUP_PATH = f"/v1/lookup?service={SERVICE}&client=10.0.0.1"
UPSTREAM = UpstreamSpec("registry-1", slots=CALLERS, service_time_s=0.0, spread=Distribution.FIXED)


def run(seed: int) -> BenchReport:
    """Run the benchmark and return its report; `seed` has no effect as nothing is random."""
    with open_local_cluster(daemons=2, specs=(UPSTREAM,)) as trial:
        owner = trial.owner(0)
        entry = next(daemon for daemon in trial.daemons.values() if daemon is not owner)
        rows = [
            *_idle_rows(trial.add_daemon("vm-2", **DEFAULT_INTERVALS)),
            *_lookup_rows(entry),
            *_request_rows(owner, entry),
        ]
    return BenchReport("process", seed, tuple(rows))


def _idle_rows(daemon: Daemon) -> list[BenchRow]:
    size = "three daemons, no pool"
    time.sleep(SETTLE_S)
    before = cpu_s(daemon)
    time.sleep(IDLE_S)
    core_fraction = (cpu_s(daemon) - before) / IDLE_S
    return [
        BenchRow("idle, processor", size, core_fraction * 100.0, "% of a core"),
        BenchRow("idle, memory", size, resident_mb(daemon), "MB resident"),
        BenchRow("idle, threads", size, thread_count(daemon), "threads"),
    ]


def _lookup_rows(daemon: Daemon) -> list[BenchRow]:
    _send_requests(daemon.http, LOOKUP_PATH, LOOKUPS // 10)
    before = cpu_s(daemon)
    started = time.perf_counter()
    _send_requests(daemon.http, LOOKUP_PATH, LOOKUPS)
    rate = LOOKUPS / (time.perf_counter() - started)
    cost_s = (cpu_s(daemon) - before) / LOOKUPS
    return [
        BenchRow("look-ups", "one connection", rate, "per s"),
        BenchRow("look-up, processor", "one connection", cost_s * 1_000.0, "ms"),
        BenchRow("look-ups that one core carries", "one connection", 1.0 / cost_s, "per s"),
    ]


def _request_rows(owner: Daemon, entry: Daemon) -> list[BenchRow]:
    rows: list[BenchRow] = []
    for path, receiver in (("its owner", owner), ("an entry and the owner", entry)):
        _send_concurrently(receiver.http, REQUESTS // 10)
        before = {daemon: cpu_s(daemon) for daemon in (owner, entry)}
        started = time.perf_counter()
        _send_concurrently(receiver.http, REQUESTS)
        rate = REQUESTS / (time.perf_counter() - started)
        size = f"{CALLERS} callers"
        rows.append(BenchRow(f"requests through {path}", size, rate, "per s"))
        for name, daemon in (("owner", owner), ("entry", entry)):
            cost_ms = (cpu_s(daemon) - before[daemon]) / REQUESTS * 1_000.0
            rows.append(BenchRow(f"their processor time, {name}", size, cost_ms, "ms a request"))
    return rows


def _send_concurrently(address: str, count: int) -> None:
    threads = [
        threading.Thread(target=_send_requests, args=(address, PATH, count // CALLERS))
        for _ in range(CALLERS)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def _send_requests(address: str, path: str, count: int) -> None:
    with _connection(address) as conn:
        for _ in range(count):
            conn.request("GET", path)
            resp = conn.getresponse()
            resp.read()
            if resp.status != 200:
                raise RuntimeError(f"{path} was answered with status {resp.status}, expected 200")


@contextmanager
def _connection(address: str) -> Iterator[http.client.HTTPConnection]:
    conn = http.client.HTTPConnection(address, timeout=10.0)
    try:
        yield conn
    finally:
        conn.close()


def cpu_s(daemon: Daemon) -> float:
    """Return the processor time that a daemon has used, in seconds."""
    with open(f"/proc/{daemon.process.pid}/stat", encoding="ascii") as stat:
        fields = stat.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_mb(daemon: Daemon) -> float:
    """Return a daemon's resident memory, in megabytes."""
    with open(f"/proc/{daemon.process.pid}/statm", encoding="ascii") as statm:
        return int(statm.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6


def thread_count(daemon: Daemon) -> int:
    """Return the number of a daemon's threads."""
    return len(os.listdir(f"/proc/{daemon.process.pid}/task"))
