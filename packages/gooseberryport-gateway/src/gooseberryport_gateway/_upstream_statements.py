"""What upstreams state about themselves: that they leave or pause, and their rate limits."""

from __future__ import annotations

import time
from collections.abc import Mapping
from random import Random

from gooseberryport_core.gateway.announcements import Announcement, Gate, UpstreamAnnouncements
from gooseberryport_core.gateway.fleet import Fleet
from gooseberryport_core.gateway.rate_limits import RateLimitReport, UpstreamRateLimits
from gooseberryport_core.gateway.upstreams import Upstream, UpstreamTable
from gooseberryport_core.log_events import LogNumber
from gooseberryport_core.types import UpstreamId, VmId
from gooseberryport_gateway._logs import Log
from gooseberryport_gateway._metrics import Metrics
from gooseberryport_gateway._peer_loads import upstream_hash


def awake_time() -> float:
    """Return the time of a clock that also counts while the VM is suspended; seconds."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class UpstreamStatements:
    """Record, log and count what upstreams state about themselves.

    Parameters
    ----------
    announcements, rate_limits, upstreams
        The records that are updated.
    fleet
        Gateways that share the rate limits.
    log, metrics
        Where changes are logged and counted.
    rng
        Source of random numbers.
    """

    def __init__(
        self,
        *,
        announcements: UpstreamAnnouncements,
        rate_limits: UpstreamRateLimits,
        upstreams: UpstreamTable,
        fleet: Fleet,
        log: Log,
        metrics: Metrics,
        rng: Random,
    ) -> None:
        self._announcements = announcements
        self._rate_limits = rate_limits
        self._upstreams = upstreams
        self._fleet = fleet
        self._log = log
        self._metrics = metrics
        self._rng = rng

    def record_rate_limit(
        self, upstream: UpstreamId, *, per_s: float | None, request: str, now: float
    ) -> None:
        """Record the rate limit that a response states; None if it states none.

        Parameters
        ----------
        upstream
            Upstream that responded.
        per_s
            Requests per second that it accepts from all gateways together.
        request
            Id of the request that it responded to.
        now
            Monotonic time; seconds.
        """
        if self._rate_limits.record_stated(upstream, per_s=per_s, stated_at=now):
            self._log_rate_limit(upstream, now=now, request=request)

    def record_announcement(
        self,
        upstream: Upstream,
        announcement: Announcement,
        *,
        started_ms: int,
        request: str,
        now: float,
    ) -> bool:
        """Record what a response says about its upstream; return whether the upstream pauses.

        Parameters
        ----------
        upstream, started_ms
            The upstream that responded, and its incarnation when the request was sent.
        announcement
            What the response says.
        request
            Id of the request that it responded to.
        now
            Monotonic time; seconds.
        """
        if started_ms != upstream.entry.started_ms:
            return False
        if announcement.ignored:
            self._log.write_request(
                LogNumber.GATEWAY_ANNOUNCEMENT_IGNORED,
                now=now,
                upstream=upstream.id,
                request=request,
                reason=announcement.ignored,
            )
        change = self._announcements.record(
            upstream.id,
            announcement,
            started_ms=started_ms,
            now=awake_time(),
            draw=self._rng.random(),
        )
        if change is not None:
            if change is Gate.LEAVING:
                self._upstreams.mark_draining(upstream.id)
            self._count_announcements()
            self._log.write(
                LogNumber.GATEWAY_UPSTREAM_ANNOUNCED,
                upstream=upstream.id,
                started_ms=started_ms,
                gate=change.value,
                pause_s=announcement.pause_s,
                request=request,
            )
        return announcement.pause_s is not None

    def gate(self, upstream: Upstream) -> Gate:
        """Return whether an upstream may get a request, as far as it announced otherwise."""
        if upstream.id not in self._announcements:
            return Gate.OPEN
        return self._announcements.gate(
            upstream.id, started_ms=upstream.entry.started_ms, now=awake_time()
        )

    def _count_announcements(self) -> None:
        self._metrics.leaving_upstreams.set(self._announcements.leaving_count)
        self._metrics.paused_upstreams.set(self._announcements.paused_count)

    def record_peer_rate_limits(
        self,
        vm: str,
        reports: list[RateLimitReport],
        *,
        ids_by_hash: Mapping[int, UpstreamId],
        now: float,
    ) -> None:
        """Record what another gateway, if it is a member, reports of upstreams' rate limits.

        Parameters
        ----------
        vm, reports
            The gateway, and what it reports.
        ids_by_hash
            Known upstreams, by the hash of their ids.
        now
            Monotonic time; seconds.
        """
        if VmId(vm) not in self._fleet.gateways_sharing_limits(now=now):
            return
        reported = {
            upstream: report
            for report in reports
            if (upstream := ids_by_hash.get(report.upstream)) is not None
        }
        for upstream in self._rate_limits.record_reported(VmId(vm), reported, now=now):
            self._log_rate_limit(upstream, now=now, reported_by=vm)

    def rate_limit_reports(self, *, now: float) -> list[RateLimitReport]:
        """Return what to report of the rate limits of upstreams."""
        return self._rate_limits.reports(hash_of=upstream_hash, now=now)

    def _log_rate_limit(self, upstream: UpstreamId, *, now: float, **source: str) -> None:
        self._metrics.limited_upstreams.set(len(self._rate_limits))
        self._log.write_request(
            LogNumber.GATEWAY_UPSTREAM_RATE_LIMITED,
            now=now,
            upstream=upstream,
            limit_per_s=self._rate_limits.limit(upstream),
            sent=self._rate_limits.sent_count(upstream, now=now),
            **source,
        )

    def restart(self, upstream: UpstreamId, *, started_ms: int, now: float) -> None:
        """Record that an upstream has a new incarnation, for which nothing is stated yet."""
        self._announcements.restart(upstream, started_ms=started_ms)
        self._count_announcements()
        if self._rate_limits.restart(upstream, now=now):
            self._log_rate_limit(upstream, now=now, reason="restarted")

    def forget(self, upstream: UpstreamId) -> None:
        """Forget an upstream that was removed."""
        self._rate_limits.forget(upstream)
        self._announcements.forget(upstream)
        self._count_announcements()
