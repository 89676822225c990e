"""A load generator: open-loop arrivals, latency percentiles and counts of how requests ended."""

from __future__ import annotations

import ipaddress
import queue
import random
import threading
import time
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Annotated

import cappa
import msgspec
import urllib3
from hdrh.histogram import HdrHistogram

from gooseberryport_standins._caller import (
    CallEnd,
    Caller,
    CallPlan,
    CallResult,
    KeyKind,
    LookupCache,
)

__all__ = [
    "CallPlan",
    "CallResult",
    "CallEnd",
    "KeyKind",
    "LoadPlan",
    "LoadSummary",
    "Traffic",
    "run_load",
    "summarise",
]

MAX_LATENCY_US = 120_000_000
SIGNIFICANT_DIGITS = 3
POOLED_CONNECTIONS_PER_HOST = 64


class Traffic(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One kind of request in a load.

    Parameters
    ----------
    weight
        Its relative share of the requests.
    key
        Kind of idempotency key that each request carries.
    timeout_s
        Deadline; seconds.
    """

    service: str
    method: str = "GET"
    path: str = "item"
    weight: float = 1.0
    key: KeyKind = KeyKind.NONE
    timeout_s: float = 2.0
    body_bytes: int = 0


class LoadPlan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A load to generate.

    Parameters
    ----------
    rate
        Mean arrivals per second; they do not wait for answers.
    seconds
        Duration of the load.
    clients, blocks
        Number of clients, each with its own IP address, and the CIDR blocks of these addresses.
    threads
        Maximum number of requests in flight.
    """

    traffic: tuple[Traffic, ...]
    rate: float = 100.0
    seconds: float = 5.0
    clients: int = 200
    blocks: tuple[str, ...] = ("10.0.0.0/16",)
    threads: int = 64
    seed: int = 1


class LoadSummary(msgspec.Struct, frozen=True):
    """Statistics of a load.

    Parameters
    ----------
    p50_ms, p99_ms
        Latency of answered requests, measured from when they were due; milliseconds.
    ends, reasons
        Number of requests by how they ended, and of refusals by reason.
    in_time
        Fraction of all requests that were answered within their deadline.
    """

    sent: int
    p50_ms: float
    p99_ms: float
    in_time: float
    ends: dict[str, int]
    reasons: dict[str, int]


def run_load(plan: LoadPlan, seeds: tuple[str, ...], *, name: str = "load") -> list[CallResult]:
    """Generate a load through the entry VMs and return how each request ended; blocks.

    Parameters
    ----------
    plan
        The load to generate.
    seeds
        ``IP:port`` of some entry VMs.
    name
        Prefix that makes the request ids of this run unique.
    """
    rng = random.Random(plan.seed)
    due_calls: queue.SimpleQueue[tuple[float, CallPlan] | None] = queue.SimpleQueue()
    results: list[CallResult] = []
    with urllib3.PoolManager(maxsize=POOLED_CONNECTIONS_PER_HOST) as http:
        lookups = LookupCache(seeds=seeds, http=http, rng=random.Random(plan.seed + 1))
        caller = Caller(lookups=lookups, http=http)

        def work() -> None:
            while (item := due_calls.get()) is not None:
                due, call = item
                results.append(caller.call(call, due))

        workers = [threading.Thread(target=work, daemon=True) for _ in range(plan.threads)]
        for worker in workers:
            worker.start()
        started = time.monotonic()
        for offset_s, call in _arrivals(plan, rng, name):
            time.sleep(max(started + offset_s - time.monotonic(), 0.0))
            due_calls.put((started + offset_s, call))
        for _ in workers:
            due_calls.put(None)
        for worker in workers:
            worker.join()
    return results


def summarise(results: list[CallResult]) -> LoadSummary:
    """Return the statistics of a load."""
    histogram = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    answered = [result for result in results if result.end == CallEnd.ANSWERED]
    for result in answered:
        histogram.record_value(max(int(result.latency_s * 1e6), 1))
    in_time = sum(result.latency_s <= result.plan.timeout_s for result in answered)
    return LoadSummary(
        sent=len(results),
        p50_ms=histogram.get_value_at_percentile(50.0) / 1_000,
        p99_ms=histogram.get_value_at_percentile(99.0) / 1_000,
        in_time=in_time / max(len(results), 1),
        ends=dict(Counter(result.end.value for result in results)),
        reasons=dict(Counter(result.reason for result in results if result.reason)),
    )


def _arrivals(plan: LoadPlan, rng: random.Random, name: str) -> Iterator[tuple[float, CallPlan]]:
    clients = _clients(plan)
    weights = [traffic.weight for traffic in plan.traffic]
    offset_s = 0.0
    serial = 0
    while (offset_s := offset_s + rng.expovariate(plan.rate)) < plan.seconds:
        serial += 1
        traffic = rng.choices(plan.traffic, weights)[0]
        yield offset_s, CallPlan(
            request_id=f"{name}-{plan.seed}-{serial}",
            service=traffic.service,
            client=rng.choice(clients),
            method=traffic.method,
            path=traffic.path,
            timeout_s=traffic.timeout_s,
            key=traffic.key,
            body=b"b" * traffic.body_bytes,
        )


def _clients(plan: LoadPlan) -> list[str]:
    blocks = [ipaddress.ip_network(block) for block in plan.blocks]
    return [str(blocks[n % len(blocks)][n // len(blocks)]) for n in range(plan.clients)]


@dataclass
class CallerCommand:
    """Generate a load through entry VMs and print its statistics.

    Parameters
    ----------
    seeds
        ``IP:port`` of some entry VMs, separated by commas.
    plan
        JSON of a `LoadPlan`.
    """

    seeds: Annotated[str, cappa.Arg(long=True)]
    plan: Annotated[str, cappa.Arg(long=True)]

    def __call__(self) -> None:
        """Run the load."""
        plan = msgspec.json.decode(self.plan, type=LoadPlan)
        summary = summarise(run_load(plan, tuple(self.seeds.split(","))))
        print(msgspec.json.encode(summary).decode())


if __name__ == "__main__":
    cappa.invoke(CallerCommand)
