"""Reject requests beyond their tenant's quota, and report to other gateways what was admitted.

Load pattern: a tenant sends several times its quota, so most of its requests are rejected. A
rejection costs one decision and a log line, whose number is bounded, and nothing at the upstreams.
"""

from __future__ import annotations

import heapq
import time
from collections.abc import Callable, Iterable
from random import Random

from gooseberryport_core.gateway.fleet import Fleet
from gooseberryport_core.gateway.model import Tenant, TenantName
from gooseberryport_core.gateway.quota_counts import QuotaReports
from gooseberryport_core.gateway.quotas import QuotaBounds, TenantQuotas
from gooseberryport_core.gateway.reports import Audience
from gooseberryport_core.log_events import LogNumber
from gooseberryport_core.types import VmId
from gooseberryport_gateway._attempts import Job
from gooseberryport_gateway._logs import Log
from gooseberryport_gateway._metrics import Metrics
from gooseberryport_gateway.wire import Bounds

MAX_TENANT_LABELS = 20
"""Maximum tenants with a counter of their own; the others share one."""

OTHER_TENANTS = "other"

RETRY_JITTER = 0.25
"""Largest part of a delay that is added at random, so that rejected clients spread out."""


def largest_tenants(tenants: Iterable[Tenant]) -> frozenset[TenantName]:
    """Return the tenants with the highest rates, which have counters of their own."""
    largest = heapq.nlargest(
        MAX_TENANT_LABELS, tenants, key=lambda tenant: (tenant.rate_per_s, tenant.name)
    )
    return frozenset(tenant.name for tenant in largest)


class QuotaGate:
    """Decide whether a tenant's request is within its quota.

    Parameters
    ----------
    bounds
        Limits of the deployment; a window of 0 limits nothing.
    fleet
        Gateways that share the quotas.
    log, metrics
        Where rejections are logged and counted.
    rng
        Source of random numbers.
    clock
        Returns monotonic seconds.
    """

    def __init__(
        self,
        *,
        bounds: Bounds,
        fleet: Fleet,
        log: Log,
        metrics: Metrics,
        rng: Random,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._fleet = fleet
        self._log = log
        self._metrics = metrics
        self._rng = rng
        self._clock = clock
        self._quotas = TenantQuotas(bounds=_quota_bounds(bounds), draw=rng.random())
        self._labels: frozenset[TenantName] = frozenset()
        self._charged: set[Job] = set()

    def set_bounds(self, bounds: Bounds) -> None:
        """Apply changed limits of the deployment; the tokens remain."""
        self._quotas.set_bounds(_quota_bounds(bounds))

    def apply_tenants(self, tenants: Iterable[Tenant]) -> None:
        """Apply the tenants of a new configuration."""
        tenants = tuple(tenants)
        self._quotas.apply_tenants(tenants, now=self._clock())
        labels = largest_tenants(tenants)
        for name in self._labels - labels:
            self._metrics.quota_rejections.remove_by_labels({"tenant": name})
        self._labels = labels

    def admit(self, job: Job) -> float | None:
        """Charge a request to its tenant's quota.

        Returns None if the request is admitted, or else the delay after which its client should
        retry; seconds.
        """
        if job.tenant is None:
            return None
        now = self._clock()
        decision = self._quotas.decide(job.tenant.name, fraction=self._fraction(now=now), now=now)
        if decision is None:
            return None
        if decision.admitted:
            self._charged.add(job)
            return None
        retry_s = decision.retry_s * (1.0 + RETRY_JITTER * self._rng.random())
        name = job.tenant.name
        label = name if name in self._labels else OTHER_TENANTS
        self._metrics.quota_rejections.labels(label).inc()
        self._log.write_request(
            LogNumber.GATEWAY_QUOTA_EXCEEDED,
            now=now,
            request=job.request_id.decode("latin-1"),
            tenant=name,
            route=job.route.name,
            level=round(decision.level, 1),
            share_per_s=round(decision.share_per_s, 2),
            demand_per_s=round(decision.demand_per_s, 1),
            limit_per_s=job.tenant.rate_per_s,
            retry_s=round(retry_s, 2),
        )
        return retry_s

    def settle(self, job: Job) -> None:
        """Return the token of a request that ended without having run, at most once."""
        if job not in self._charged:
            return
        self._charged.discard(job)
        if not job.may_have_run and not job.sending and job.tenant is not None:
            self._quotas.refund(job.tenant.name, now=self._clock())

    def sweep(self) -> None:
        """Drop outdated reports of others; called in each round of reports."""
        now = self._clock()
        self._quotas.sweep(
            fraction=self._fraction(now=now),
            may_run=lambda vm: self._fleet.may_run(vm, now=now),
            now=now,
        )

    def reports(self, audience: Audience) -> QuotaReports | None:
        """Return what to report to an audience, or None if no tenant is limited."""
        if audience not in (Audience.ACTIVE, Audience.REMOTE_ACTIVE):
            return None
        return self._quotas.reports(remote=audience is Audience.REMOTE_ACTIVE, now=self._clock())

    def record_peer_reports(self, vm: str, incarnation: int, reports: QuotaReports | None) -> None:
        """Record what another gateway, if it is a member, reports; None if it serves no clients."""
        now = self._clock()
        if reports is None:
            self._quotas.forget_reporter(VmId(vm))
            return
        if VmId(vm) not in self._fleet.gateways_sharing_limits(now=now):
            return
        self._quotas.record_reports(
            VmId(vm),
            incarnation,
            reports,
            now=now,
            remote=not self._fleet.is_in_own_region(VmId(vm)),
        )

    def _fraction(self, *, now: float) -> float:
        alive, listed = self._fleet.alive_and_listed(now=now)
        return alive / listed


def _quota_bounds(bounds: Bounds) -> QuotaBounds:
    return QuotaBounds(
        window_s=bounds.quota_window_s, overage=bounds.quota_overage, slack=bounds.quota_slack
    )
