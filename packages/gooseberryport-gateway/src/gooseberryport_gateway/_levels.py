"""Admission of requests by priority level, for services whose requests have several levels."""

from __future__ import annotations

from gooseberryport_core.gateway.placement import Placement, Verdict, load_in_time
from gooseberryport_core.gateway.refusals import level_retry_after
from gooseberryport_core.gateway.shortage import Level, slot_wait_s
from gooseberryport_core.types import ServiceName
from gooseberryport_gateway._attempts import Job
from gooseberryport_gateway._state import GatewayState

ONLY_LEVEL = Level()

TIGHTEST_TTL_S = 0.5
"""Time for which the tightest route of a service is kept; warm times change slowly; seconds."""

MAX_SERVICES = 1_000
"""Services whose tightest route is kept."""


class PriorityAdmission:
    """Limits each priority level of a service to the load that leaves room for more urgent ones.

    Services with one level are left alone, and all if the settings don't ask for such limits.

    Parameters
    ----------
    state
        State of the gateway.
    """

    def __init__(self, *, state: GatewayState) -> None:
        self._state = state
        self._known_tightest: dict[ServiceName, tuple[float, float]] = {}

    def level(self, job: Job) -> Level:
        """Return the priority level of a request."""
        routes = self._state.routes
        if routes is None:
            return ONLY_LEVEL
        return routes.level(service=job.service, priority=job.priority)

    def factor(self, job: Job, *, factor: float, now: float) -> float:
        """Return the load per slot from which an upstream counts as full for a request.

        Parameters
        ----------
        job
            The request.
        factor
            The limit that follows from its latency objective.
        now
            Monotonic time; seconds.
        """
        level = self.level(job)
        if level.is_only or not self._state.settings.priority_limits:
            return factor
        job.full_from = self._state.level_shares.factor(
            service=job.service,
            factor=factor,
            level=level,
            tightest=self._tightest(job.service, now=now),
            now=now,
        )
        return job.full_from

    def _tightest(self, service: ServiceName, *, now: float) -> float:
        """Return the load per slot at which requests of the tightest route are just in time.

        Routes without a known time of a warm request don't count; 0 if there are no others.
        """
        known = self._known_tightest.get(service)
        if known is not None and now - known[0] < TIGHTEST_TTL_S:
            return known[1]
        routes = self._state.routes
        tightest = min(
            (
                load_in_time(objective_s=route.objective_s, warm_s=self._state.warm_s(route))
                for route in (routes.routes_to(service) if routes is not None else ())
                if route.name in self._state.warm_times
            ),
            default=0.0,
        )
        if len(self._known_tightest) >= MAX_SERVICES:
            self._known_tightest.clear()
        self._known_tightest[service] = (now, tightest)
        return tightest

    def record(self, job: Job, placement: Placement, *, now: float) -> None:
        """Count the outcome of a placement, and set when a rejected client should retry.

        Rejections for which no upstream's load is the cause, or a planned stop, are not counted.
        """
        state = self._state
        upstream = placement.upstream
        level = self.level(job)
        is_limited = state.settings.priority_limits and not level.is_only
        if not is_limited or upstream is None or state.stopping:
            return
        if placement.verdict is Verdict.SEND:
            if not job.sent_to:
                state.level_shares.record(service=job.service, level=level, admitted=True, now=now)
            return
        state.level_shares.record(service=job.service, level=level, admitted=False, now=now)
        state.metrics.level_rejections.labels(job.service, str(level.index)).inc()
        job.cause += (
            f"; level {level.index} of {level.count}, full from {job.full_from:.2f} a slot,"
            f" load {placement.load} of {upstream.entry.slots} slots"
        )
        job.retry_s = level_retry_after(
            wait_s=slot_wait_s(
                load=placement.load,
                slots=upstream.entry.slots,
                factor=job.full_from,
                service_s=state.warm_s(job.route),
            ),
            waited_s=now - job.req.arrived_at,
            left_s=job.deadline - now,
            draw=state.rng.random(),
        )
