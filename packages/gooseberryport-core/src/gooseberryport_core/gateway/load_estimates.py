"""Estimates of the requests at an upstream from reports that are always stale.

Load pattern: many gateways hold the same report of an upstream, each adds requests, and none sees
those of the others until the next report. An old report says little about the present: requests end
and others arrive within a service time. The estimate therefore moves with the age of the report
from the reported number to the average that the fleet's demand puts on each upstream, and states
its own uncertainty, which the selection needs.

A gateway's own requests are counted at once and exactly. What the upstream reports and what the
other gateways report are two views of the same requests and are never added: the newer one counts,
and the older one takes the place of the average behind it.
"""

from __future__ import annotations

import math

import msgspec

from gooseberryport_core.gateway.upstreams import Upstream
from gooseberryport_core.types import UpstreamId

REPORT_MEMORY_S = 0.5
"""Time in which the weight of a report falls to 37%: about the time for which a request stays at a
busy upstream, with its wait; seconds."""

MAX_LOAD_PER_SLOT = 4.0
"""Running and waiting requests that an upstream holds per slot; it refuses more, so a report above
is false."""


class OthersReport(msgspec.Struct, frozen=True):
    """Requests of other gateways at an upstream, as reported.

    Parameters
    ----------
    count
        Number of requests.
    at
        Time of the report; monotonic seconds.
    """

    count: float
    at: float


class LoadEstimate(msgspec.Struct, frozen=True):
    """Estimated number of requests that run or wait at an upstream, and its standard deviation."""

    requests: float
    deviation: float


def estimate_load(
    *,
    own: int,
    slots: int,
    average: float,
    by_upstream: OthersReport | None,
    by_gateways: OthersReport | None,
    now: float,
) -> LoadEstimate:
    """Return the estimated load of an upstream.

    Parameters
    ----------
    own
        Requests in flight from this gateway; they are known and not estimated.
    slots
        Requests that the upstream runs at a time.
    average
        Requests of other gateways that the fleet's demand puts on an upstream of this size.
    by_upstream, by_gateways
        Requests of other gateways by the upstream's newest report, and by the other gateways' own
        reports; None if there is none.
    now
        Monotonic time; seconds.
    """
    most = slots * MAX_LOAD_PER_SLOT
    others = min(max(average, 0.0), most)
    known = 0.0
    reports = [report for report in (by_upstream, by_gateways) if report is not None]
    for report in sorted(reports, key=lambda report: report.at):
        weight = math.exp(-max(now - report.at, 0.0) / REPORT_MEMORY_S)
        others += weight * (min(max(report.count, 0.0), most) - others)
        known += weight * (1.0 - known)
    # Arrivals and departures since a report vary as Poisson counts do.
    deviation = math.sqrt(max(others, 0.0) * (1.0 - known * known))
    return LoadEstimate(requests=own + others, deviation=deviation)


class _LoadReport(msgspec.Struct, frozen=True):
    started_ms: int
    others: OthersReport


class LoadReports:
    """Holds the newest report of each upstream, less this gateway's requests at its time.

    Reports hold for one incarnation of an upstream. The caller forgets upstreams that were removed,
    which bounds the number of reports.
    """

    def __init__(self) -> None:
        self._reports: dict[UpstreamId, _LoadReport] = {}
        # Whether upstreams don't count the request that they respond to. One that does never
        # reports 0 in the response to a request that it ran.
        self._excludes_answered = False

    def record(
        self, upstream: Upstream, load: int, *, own: int, answered: bool, now: float
    ) -> None:
        """Record the load that an upstream reported.

        Parameters
        ----------
        upstream
            Upstream that responded.
        load
            All requests that run or wait there; clamped to what it can hold.
        own
            Requests of this gateway that run or wait there, without the one that the response
            belongs to.
        answered
            Whether the response belongs to a request that the upstream ran.
        now
            Monotonic time; seconds.
        """
        entry = upstream.entry
        if answered and load <= 0:
            self._excludes_answered = True
        if answered and not self._excludes_answered:
            load -= 1
        held = min(max(load, 0), entry.slots * MAX_LOAD_PER_SLOT)
        self._reports[entry.upstream] = _LoadReport(
            started_ms=entry.started_ms, others=OthersReport(count=max(held - own, 0.0), at=now)
        )

    def others(self, upstream: Upstream) -> OthersReport | None:
        """Return the requests of other gateways by the newest report, or None."""
        report = self._reports.get(upstream.id)
        if report is None or report.started_ms != upstream.entry.started_ms:
            return None
        return report.others

    def forget(self, upstream: UpstreamId) -> None:
        """Forget an upstream that was removed."""
        self._reports.pop(upstream, None)
