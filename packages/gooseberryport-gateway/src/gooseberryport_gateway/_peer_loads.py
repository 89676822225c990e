"""Requests in flight at upstreams, as the other gateways report them."""

from __future__ import annotations

from functools import lru_cache

import xxhash

from gooseberryport_core.types import UpstreamId
from gooseberryport_gateway._load_balancing import PeerReportTimes

LOAD_REPORT_TTL_S = 1.5
"""Age from which another gateway's load report is ignored; seconds."""

HASH_MASK = 0xFFFFFFFF


@lru_cache(maxsize=4096)
def upstream_hash(upstream: UpstreamId) -> int:
    """Return a short hash of an upstream's id, the same in every process."""
    return xxhash.xxh3_64_intdigest(upstream.encode()) & HASH_MASK


class PeerLoads:
    """Sums the requests in flight that other gateways report.

    Parameters
    ----------
    report_times
        Gets the times of the reports.
    """

    def __init__(self, *, report_times: PeerReportTimes) -> None:
        self._report_times = report_times
        self._reports: dict[str, tuple[float, dict[int, int]]] = {}
        self._sums: dict[int, int] = {}

    def record(self, vm: str, loads: dict[int, int], *, now: float) -> None:
        """Record a gateway's requests in flight.

        Parameters
        ----------
        vm
            The gateway.
        loads
            Its requests, by the hash of the upstream's id; empty to drop what it reported.
        now
            Monotonic time; seconds.
        """
        known = self._reports.pop(vm, None)
        if known is not None:
            self._add(known[1], sign=-1)
            self._report_times.remove(known[0])
        if loads:
            self._reports[vm] = (now, loads)
            self._add(loads, sign=1)
            self._report_times.add(now)

    def expire(self, *, now: float) -> None:
        """Drop the loads of gateways that have not reported for a while."""
        for vm in [vm for vm, (at, _) in self._reports.items() if now - at >= LOAD_REPORT_TTL_S]:
            self.record(vm, {}, now=now)

    def count(self, upstream: UpstreamId) -> int:
        """Return the requests in flight at an upstream that other gateways reported."""
        return self._sums.get(upstream_hash(upstream), 0)

    def _add(self, loads: dict[int, int], *, sign: int) -> None:
        for short_hash, count in loads.items():
            total = self._sums.get(short_hash, 0) + sign * count
            if total:
                self._sums[short_hash] = total
            else:
                self._sums.pop(short_hash, None)
