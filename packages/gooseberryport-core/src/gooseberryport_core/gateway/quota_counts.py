"""What gateways report to each other about the requests of tenants, and the sums of it.

Load pattern: hundreds of gateways and 1,000 tenants. A decision uses only sums over the other
gateways, which a report updates; a report that was lost is made up for by the next one, since its
counts are cumulative.
"""

from __future__ import annotations

from functools import lru_cache
from typing import Annotated

import msgspec
import xxhash

from gooseberryport_core.gateway.model import TenantName
from gooseberryport_core.types import VmId

MAX_REPORTED = 256
"""Maximum tenants in one report, which bounds its datagram to some 4 KB."""

COUNT_WINDOW_S = 0.5
"""Half of the time over which requests are counted, see `RecentCount`; seconds."""

ASSUMED_TTL_S = 3.0
"""Time after a report for which a gateway is assumed to go on as it did: by then the fleet knows
that a silent one is cut off, and the fraction of the quota is smaller; seconds."""

MAX_GAP_S = 1.6
"""Silence about a tenant after which a count also covers older requests, which are no part of the
current window; seconds."""

FIRST_REPORT_S = 1.0
"""Time for which the requests of a gateway that was not known before are charged, as it reports
them soon after they arrive; seconds."""

UNKEPT_INTERVAL_S = 0.2
"""Interval of reports that is assumed where there is no room to keep a count; seconds."""

KNOWN_TTL_S = 10.0
"""Time for which a silent gateway's count is kept, to compare its next one with; seconds."""

COUNT_MASK = 0xFFFF
"""Counts wrap around at 16 bits, for short reports; a difference is far smaller."""

ShortCount = Annotated[int, msgspec.Meta(ge=0, le=COUNT_MASK)]
TenantHash = Annotated[int, msgspec.Meta(ge=0, le=0xFFFFFFFF)]


class QuotaReport(msgspec.Struct, frozen=True, array_like=True):
    """What a gateway reports about one tenant.

    Parameters
    ----------
    tenant
        Short hash of the tenant's name.
    admitted
        Requests admitted so far, less those that did not run; the lowest 16 bits.
    asked, served
        Requests received and admitted in the last second.
    """

    tenant: TenantHash
    admitted: ShortCount
    asked: ShortCount
    served: ShortCount


@lru_cache(maxsize=4096)
def tenant_hash(name: TenantName) -> int:
    """Return a short hash of a tenant's name, the same in every process."""
    return xxhash.xxh3_64_intdigest(name.encode()) & 0xFFFFFFFF


class QuotaReports(msgspec.Struct, frozen=True, array_like=True):
    """What a gateway reports about its tenants.

    Parameters
    ----------
    sequence
        Number of the report, modulo 65,536: one that arrives late is ignored.
    tenants
        Its counts.
    sent_ms
        Sender's monotonic time, modulo 65,536; None from older gateways; milliseconds.
    """

    sequence: ShortCount = 0
    tenants: Annotated[list[QuotaReport], msgspec.Meta(max_length=MAX_REPORTED)] = []
    sent_ms: ShortCount | None = None


class RecentCount(msgspec.Struct):
    """Counts the events of about the last second, in constant memory and time.

    Two halves of `COUNT_WINDOW_S` are kept beside the current one; the oldest counts in part.
    """

    current: float = 0.0
    last: float = 0.0
    before: float = 0.0
    start: float = float("-inf")
    last_at: float = float("-inf")

    def _shift(self, now: float) -> None:
        passed_s = now - self.start
        if passed_s < COUNT_WINDOW_S:
            return
        if passed_s >= 3 * COUNT_WINDOW_S:
            self.current = self.last = self.before = 0.0
            self.start = now
            return
        while now - self.start >= COUNT_WINDOW_S:
            self.before, self.last, self.current = self.last, self.current, 0.0
            self.start += COUNT_WINDOW_S

    def add(self, now: float) -> None:
        """Count an event."""
        self._shift(now)
        self.current += 1.0
        self.last_at = now

    def remove(self, now: float) -> None:
        """Take back a recent event."""
        self._shift(now)
        self.current = max(self.current - 1.0, 0.0)

    def per_s(self, now: float) -> float:
        """Return the number of events in the last second."""
        self._shift(now)
        left = 1.0 - min(max(now - self.start, 0.0) / COUNT_WINDOW_S, 1.0)
        return self.current + self.last + self.before * left


class _Other(msgspec.Struct):
    incarnation: int
    admitted: int
    asked: float
    served: float
    assumed: float
    at: float


class OtherGateways(msgspec.Struct):
    """What the other gateways report about one tenant, with the sums that a decision uses.

    Parameters
    ----------
    asked_per_s, served_per_s
        Sums of the recent reports; requests per second.
    served_times_at
        Sum of the products of `served` and the time of the report.
    assumed_at
        Time up to which admissions were assumed; monotonic seconds.
    """

    gateways: dict[VmId, _Other] = msgspec.field(default_factory=dict)
    asked_per_s: float = 0.0
    served_per_s: float = 0.0
    served_times_at: float = 0.0
    assumed_at: float = float("-inf")

    def unconfirmed(self, now: float) -> float:
        """Return the requests that are assumed to have been admitted since the last reports."""
        return max(self.served_per_s * now - self.served_times_at, 0.0)

    def assume_until(self, now: float) -> float:
        """Return the requests that the others are assumed to have admitted since the last call."""
        passed_s = min(max(now - self.assumed_at, 0.0), ASSUMED_TTL_S)
        self.assumed_at = now
        return self.served_per_s * passed_s

    def record(
        self,
        vm: VmId,
        incarnation: int,
        report: QuotaReport,
        *,
        now: float,
        window_s: float,
        has_room: bool = True,
    ) -> float:
        """Record a report; return the admitted requests that were not assumed, may be negative.

        Parameters
        ----------
        vm, incarnation
            The gateway that reports.
        report
            Its report about this tenant.
        now
            Monotonic time; seconds.
        window_s
            Window of the quotas: older requests of a gateway that was silent do not count; seconds.
        has_room
            Whether the counts of one more gateway may be kept.
        """
        used = self.assume_until(now)
        known = self.gateways.pop(vm, None)
        if known is None and not has_room:
            return used + report.served * UNKEPT_INTERVAL_S
        gap_s = FIRST_REPORT_S
        is_first = True
        increase = report.admitted
        assumed = 0.0
        if known is not None:
            self._forget_rates(known)
            if known.incarnation == incarnation:
                gap_s = now - known.at
                is_first = False
                increase = (report.admitted - known.admitted) & COUNT_MASK
                if increase > COUNT_MASK // 2:
                    increase -= COUNT_MASK + 1
                assumed = known.assumed * min(gap_s, ASSUMED_TTL_S)
        if is_first or gap_s > MAX_GAP_S:
            increase = min(increase, round(report.served * min(gap_s, window_s)))
        self.gateways[vm] = _Other(
            incarnation=incarnation,
            admitted=report.admitted,
            asked=float(report.asked),
            served=float(report.served),
            assumed=float(report.served),
            at=now,
        )
        self.asked_per_s += report.asked
        self.served_per_s += report.served
        self.served_times_at += report.served * now
        return used + increase - assumed

    def expire(self, *, now: float) -> None:
        """Drop the demand of silent gateways, and what is known of those silent for long."""
        for vm, known in list(self.gateways.items()):
            if now - known.at >= KNOWN_TTL_S:
                del self.gateways[vm]
            elif now - known.at >= ASSUMED_TTL_S and (known.asked or known.served):
                self._forget_rates(known)
                known.asked = known.served = 0.0
        if not self.gateways:
            self.asked_per_s = self.served_per_s = self.served_times_at = 0.0

    def _forget_rates(self, known: _Other) -> None:
        self.asked_per_s -= known.asked
        self.served_per_s -= known.served
        self.served_times_at -= known.served * known.at
