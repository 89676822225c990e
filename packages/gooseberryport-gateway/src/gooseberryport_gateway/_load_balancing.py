"""What a gateway knows of the loads and speeds of upstreams, and when requests are spread by it.

Estimates are always kept; they are used only for services whose upstreams state a speed, and in
deployments whose settings ask for it or have quotas.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable

import msgspec

from gooseberryport_core.gateway.even_selection import EvenLoad
from gooseberryport_core.gateway.load_estimates import (
    LoadEstimate,
    LoadReports,
    OthersReport,
    estimate_load,
)
from gooseberryport_core.gateway.speeds import SpeedEstimates
from gooseberryport_core.gateway.upstreams import Upstream
from gooseberryport_core.types import ServiceName, UpstreamId
from gooseberryport_gateway._attempts import ReportedLoad
from gooseberryport_gateway._metrics import Metrics
from gooseberryport_gateway.wire import GatewaySettings

AVERAGE_TTL_S = 0.5
"""Time for which the average load of a service's upstreams is kept; seconds."""

AVERAGED_REPORT_TTL_S = 2.0
"""Age from which an upstream's report no longer counts for the average; seconds."""

SPEED_CHANGE_AGE_S = 0.25
"""Age up to which a stated speed is reported: little more than the interval of reports; seconds."""

SPEED_CHANGE_DELAY_S = 0.1
"""Mean age of a reported speed when it arrives: half of the interval of reports; seconds."""

MAX_GAUGE_SERVICES = 20
"""Services whose spread of load is a metric."""

MAX_SERVICES = 1_000
"""Services whose average load is kept."""


class _Average(msgspec.Struct, frozen=True):
    """Mean requests of other gateways per slot of a service's upstreams, and when it was made."""

    at: float
    per_slot: float


class PeerReportTimes:
    """Mean time of the newest load reports of the other gateways."""

    def __init__(self) -> None:
        self._sum = 0.0
        self._count = 0

    def add(self, at: float) -> None:
        """Add the time of a report; monotonic seconds."""
        self._sum += at
        self._count += 1

    def remove(self, at: float) -> None:
        """Remove the time of a report that was replaced or is too old; monotonic seconds."""
        self._sum -= at
        self._count -= 1

    @property
    def mean(self) -> float | None:
        """Mean time of the reports, monotonic seconds; None if there are none."""
        return self._sum / self._count if self._count else None


class LoadBalancing:
    """Estimates of the loads and speeds of upstreams.

    Parameters
    ----------
    rng
        Draws among upstreams that may serve a request equally soon.
    metrics
        Where the spread of load is shown.
    settings
        Returns the settings.
    usable
        Returns the upstreams of a service that accept requests.
    reported_by_gateways
        Returns the requests in flight at an upstream that other gateways reported.
    """

    def __init__(
        self,
        *,
        rng: random.Random,
        metrics: Metrics,
        settings: Callable[[], GatewaySettings],
        usable: Callable[[ServiceName], Iterable[Upstream]],
        reported_by_gateways: Callable[[Upstream], int],
    ) -> None:
        self._rng = rng
        self._metrics = metrics
        self._settings = settings
        self._usable = usable
        self._reported_by_gateways = reported_by_gateways
        self._loads = LoadReports()
        self._speeds = SpeedEstimates()
        self._averages: dict[ServiceName, _Average] = {}
        self._gauge_services: set[ServiceName] = set()
        self.peer_report_times = PeerReportTimes()

    def record_response(
        self,
        upstream: Upstream,
        load: ReportedLoad | None,
        *,
        started_ms: int,
        ran: bool,
        is_request: bool = True,
        now: float,
    ) -> None:
        """Record the load and the speed that a response states.

        Parameters
        ----------
        upstream, started_ms
            The upstream that responded, and its incarnation when the request was sent.
        load
            What it states; None if nothing usable.
        ran
            Whether it ran the request and answered it.
        is_request
            Whether it responded to a request of a client, which still counts as in flight.
        now
            Monotonic time; seconds.
        """
        if load is None or started_ms != upstream.entry.started_ms:
            return
        own = max(upstream.in_flight - is_request, 0)
        self._loads.record(upstream, load.running + load.waiting, own=own, answered=ran, now=now)
        if load.speed is not None:
            self._speeds.record(upstream, load.speed, now=now)

    def speed_changes(self, *, now: float) -> list[tuple[UpstreamId, int]]:
        """Return the stated speeds to report to the gateways of this region."""
        return self._speeds.changes(now=now, max_age_s=SPEED_CHANGE_AGE_S)

    def record_peer_speed(self, upstream: Upstream, speed: int, *, now: float) -> None:
        """Record a speed that an upstream stated to another gateway."""
        self._speeds.record(upstream, speed, now=now - SPEED_CHANGE_DELAY_S, observed_here=False)

    def forget(self, upstream: UpstreamId) -> None:
        """Forget an upstream that was removed."""
        self._loads.forget(upstream)
        self._speeds.forget(upstream)

    def even_load(self, service: ServiceName, *, now: float) -> EvenLoad | None:
        """Return the estimates by which a service's requests are spread, or None.

        Parameters
        ----------
        service
            The service.
        now
            Monotonic time; seconds.
        """
        settings = self._settings()
        if not (
            settings.even_load
            or settings.bounds.quota_window_s > 0.0
            or self._speeds.is_stated(service, now=now)
        ):
            return None
        average = self._average(service, now=now)
        return EvenLoad(
            estimate_of=lambda upstream: self._estimate(upstream, average=average, now=now),
            time_factor_of=lambda upstream: self._speeds.present_factor(upstream, now=now),
            lasting_factor_of=lambda upstream: self._speeds.lasting_factor(upstream, now=now),
            draw=self._rng.random,
        )

    def _estimate(self, upstream: Upstream, *, average: float, now: float) -> LoadEstimate:
        peers_at = self.peer_report_times.mean
        return estimate_load(
            own=upstream.in_flight,
            slots=upstream.entry.slots,
            average=average * upstream.entry.slots,
            by_upstream=self._loads.others(upstream),
            by_gateways=(
                OthersReport(count=self._reported_by_gateways(upstream), at=peers_at)
                if peers_at is not None
                else None
            ),
            now=now,
        )

    def _average(self, service: ServiceName, *, now: float) -> float:
        """Return the mean requests of other gateways per slot; computed anew twice a second."""
        known = self._averages.get(service)
        if known is not None and now - known.at < AVERAGE_TTL_S:
            return known.per_slot
        before = known.per_slot if known is not None else 0.0
        slots = 0
        others = 0.0
        per_slot: list[float] = []
        for upstream in self._usable(service):
            estimate = self._estimate(upstream, average=before, now=now)
            newest = self._newest_others(upstream, now=now)
            if newest is not None:
                slots += upstream.entry.slots
                others += newest
            per_slot.append(estimate.requests / max(upstream.entry.slots, 1))
        average = others / slots if slots else 0.0
        if known is None and len(self._averages) >= MAX_SERVICES:
            self._averages.clear()
        self._averages[service] = _Average(at=now, per_slot=average)
        self._show_spread(service, per_slot)
        return average

    def _newest_others(self, upstream: Upstream, *, now: float) -> float | None:
        by_upstream = self._loads.others(upstream)
        peers_at = self.peer_report_times.mean
        if peers_at is not None and (by_upstream is None or by_upstream.at < peers_at):
            return self._reported_by_gateways(upstream)
        if by_upstream is None or now - by_upstream.at >= AVERAGED_REPORT_TTL_S:
            return None
        return by_upstream.count

    def _show_spread(self, service: ServiceName, per_slot: list[float]) -> None:
        if not per_slot:
            if service in self._gauge_services:
                self._gauge_services.remove(service)
                self._metrics.load_spread.remove(service)
            return
        if service not in self._gauge_services:
            if len(self._gauge_services) >= MAX_GAUGE_SERVICES:
                return
            self._gauge_services.add(service)
        total = sum(per_slot)
        spread = max(per_slot) * len(per_slot) / total if total else 1.0
        self._metrics.load_spread.labels(service).set(spread)
