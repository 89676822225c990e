"""Measure throughput and latency of each path: upstream alone, one daemon, two daemons."""

from __future__ import annotations

import http.client
import platform
import random
import subprocess
import sys
import time
from dataclasses import dataclass
from typing import Annotated

import cappa
import msgspec
from hdrh.histogram import HdrHistogram

from gooseberryport_core.config import Service
from gooseberryport_standins.local_cluster import (
    SERVICE,
    UPSTREAMS,
    LocalCluster,
    open_local_cluster,
)
from gooseberryport_standins.upstream import Distribution, UpstreamSpec

MAX_LATENCY_US = 10_000_000
SIGNIFICANT_DIGITS = 3
WARM_UP_REQUESTS = 50
BUSY_CLIENTS = 8
SLOTS = 64
SERVICE_CONFIG = Service(slots=SLOTS, max_timeout_s=30.0)


class ClientResult(msgspec.Struct, frozen=True):
    """The latencies of one client's requests in microseconds, and its number of failed requests."""

    latencies_us: list[int]
    failed: int


class PathResult(msgspec.Struct, frozen=True):
    """The latency and throughput of a path.

    Parameters
    ----------
    p50_ms, p99_ms
        Latency with one client that sends its requests one after another; milliseconds.
    requests_s
        Requests per second with `BUSY_CLIENTS` such clients.
    failed
        Requests that were not answered with status 200, in both runs.
    """

    path: str
    p50_ms: float
    p99_ms: float
    requests_s: float
    failed: int


def run_client(address: str, seconds: float, seed: int) -> ClientResult:
    """Send requests one after another over one connection for `seconds`."""
    rng = random.Random(seed)
    conn = http.client.HTTPConnection(address, timeout=10.0)
    latencies: list[int] = []
    failed = 0
    deadline = time.monotonic() + seconds
    sent = 0
    while time.monotonic() < deadline:
        started = time.perf_counter()
        conn.request("GET", f"/{SERVICE}/item-{rng.randrange(1_000)}")
        resp = conn.getresponse()
        resp.read()
        sent += 1
        failed += resp.status != 200
        if sent > WARM_UP_REQUESTS:
            latencies.append(int((time.perf_counter() - started) * 1e6))
    conn.close()
    return ClientResult(latencies, failed)


def measure_path(path: str, address: str, *, seconds: float, seed: int) -> PathResult:
    """Measure one path with one client, then with `BUSY_CLIENTS` clients."""
    [alone] = _run_clients(address, 1, seconds, seed)
    busy = _run_clients(address, BUSY_CLIENTS, seconds, seed + 1)
    histogram = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    for latency in alone.latencies_us:
        histogram.record_value(max(latency, 1))
    sent = sum(len(client.latencies_us) + WARM_UP_REQUESTS for client in busy)
    return PathResult(
        path=path,
        p50_ms=histogram.get_value_at_percentile(50.0) / 1_000,
        p99_ms=histogram.get_value_at_percentile(99.0) / 1_000,
        requests_s=sent / seconds,
        failed=alone.failed + sum(client.failed for client in busy),
    )


def measure_hops(*, seconds: float, seed: int) -> list[PathResult]:
    """Measure the three paths to an upstream whose pool has its owner in the same zone."""
    specs = (
        UpstreamSpec(UPSTREAMS[0], slots=SLOTS, service_time_s=0.0, spread=Distribution.FIXED),
    )
    with open_local_cluster(daemons=2, service=SERVICE_CONFIG, specs=specs) as trial:
        return [
            measure_path(name, address, seconds=seconds, seed=seed)
            for name, address in _addresses(trial).items()
        ]


def _addresses(trial: LocalCluster) -> dict[str, str]:
    owner = trial.owner(0)
    [other] = [daemon for daemon in trial.daemons.values() if daemon is not owner]
    return {
        "upstream alone": trial.fleet.addresses[UPSTREAMS[0]],
        "one daemon: entry and owner": owner.http,
        "two daemons: entry, then owner": other.http,
    }


def _run_clients(address: str, count: int, seconds: float, seed: int) -> list[ClientResult]:
    command = [sys.executable, "-m", "gooseberryport_standins.bench_hops", "--client", address]
    started = [
        subprocess.Popen(
            [*command, "--seconds", str(seconds), "--seed", str(seed * BUSY_CLIENTS + number)],
            stdout=subprocess.PIPE,
        )
        for number in range(count)
    ]
    outputs = [process.communicate()[0] for process in started]
    return [msgspec.json.decode(output, type=ClientResult) for output in outputs]


def _print_table(results: list[PathResult]) -> None:
    base = results[0]
    print("| path | p50 ms | p99 ms | added p50 ms | requests/s | failed |")
    print("|---|---|---|---|---|---|")
    for result in results:
        added = result.p50_ms - base.p50_ms
        print(
            f"| {result.path} | {result.p50_ms:.2f} | {result.p99_ms:.2f} | {added:.2f} "
            f"| {result.requests_s:.0f} | {result.failed} |"
        )


@dataclass
class HopsCommand:
    """Measure the latency and throughput cost of each hop and print a Markdown table.

    Parameters
    ----------
    seconds
        Duration of each run; seconds.
    client
        Address to which this process sends requests as a client; for the bench's own use.
    """

    seed: Annotated[int, cappa.Arg(long=True)] = 1
    seconds: Annotated[float, cappa.Arg(long=True)] = 5.0
    client: Annotated[str, cappa.Arg(long=True)] = ""

    def __call__(self) -> None:
        """Run the bench, or one of its client processes."""
        if self.client:
            result = run_client(self.client, self.seconds, self.seed)
            print(msgspec.json.encode(result).decode())
            return
        results = measure_hops(seconds=self.seconds, seed=self.seed)
        print(f"Python {platform.python_version()}, seed {self.seed}, {self.seconds:g} s a run\n")
        _print_table(results)


if __name__ == "__main__":
    cappa.invoke(HopsCommand)
