"""Counters, timings and gauges, sent to statsd in batches."""

from __future__ import annotations

import threading
from collections.abc import Iterator
from contextlib import contextmanager

from statsd import StatsClient

from gooseberryport_daemon.settings import parse_endpoint

METRIC_PREFIX = "gooseberryport"
FLUSH_INTERVAL_S = 1.0
"""Interval between two batches; seconds."""

MAX_TIMES_PER_NAME = 2_000
"""Maximum number of timings of one metric in a batch; further ones are dropped."""

MAX_UDP_BYTES = 1_200


class SharedCounter:
    """Thread-safe counter that is read and reset at intervals."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._count = 0

    def add(self) -> None:
        """Add one."""
        with self._lock:
            self._count += 1

    def take(self) -> int:
        """Return the count since the last call and reset it."""
        with self._lock:
            count, self._count = self._count, 0
        return count


class Metrics:
    """Collect counters, timings and gauges between two batches.

    Parameters
    ----------
    client
        Client that sends the batches; None drops them.
    """

    def __init__(self, *, client: StatsClient | None) -> None:
        self._client = client
        self._counts: dict[str, int] = {}
        self._times: dict[str, list[float]] = {}
        self._gauges: dict[str, float] = {}

    def count(self, name: str, value: int = 1) -> None:
        """Add to a counter."""
        self._counts[name] = self._counts.get(name, 0) + value

    def time(self, name: str, duration_s: float) -> None:
        """Add a timing, in seconds."""
        times = self._times.setdefault(name, [])
        if len(times) < MAX_TIMES_PER_NAME:
            times.append(duration_s)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._gauges[name] = value

    def flush(self) -> None:
        """Send the collected metrics as one batch."""
        counts, self._counts = self._counts, {}
        times, self._times = self._times, {}
        gauges, self._gauges = self._gauges, {}
        if self._client is None:
            return
        with self._client.pipeline() as batch:
            for name, count in counts.items():
                batch.incr(name, count)
            for name, durations in times.items():
                for duration_s in durations:
                    batch.timing(name, duration_s * 1_000.0)
            for name, value in gauges.items():
                batch.gauge(name, value)


@contextmanager
def open_metrics(*, address: str, vm: str) -> Iterator[Metrics]:
    """Open a statsd client; with an empty address the metrics are dropped."""
    if not address:
        yield Metrics(client=None)
        return
    endpoint = parse_endpoint(address, field="statsd")
    client = StatsClient(
        endpoint.ip,
        endpoint.port,
        prefix=f"{METRIC_PREFIX}.{vm}",
        maxudpsize=MAX_UDP_BYTES,
        ipv6=":" in endpoint.ip,
    )
    try:
        yield Metrics(client=client)
    finally:
        client.close()
