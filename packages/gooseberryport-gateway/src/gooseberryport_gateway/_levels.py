"""Admission of requests by priority level, for services whose requests have several levels."""

from __future__ import annotations

from gooseberryport_core.gateway.placement import Placement, Verdict
from gooseberryport_core.gateway.refusals import level_retry_after
from gooseberryport_core.gateway.shortage import Level, slot_wait_s
from gooseberryport_gateway._attempts import Job
from gooseberryport_gateway._state import GatewayState

ONLY_LEVEL = Level()


class PriorityAdmission:
    """Limits each priority level of a service to the load that leaves room for more urgent ones.

    Services with one level are left alone.

    Parameters
    ----------
    state
        State of the gateway.
    """

    def __init__(self, *, state: GatewayState) -> None:
        self._state = state

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
        if level.is_only:
            return factor
        job.full_from = self._state.level_shares.factor(
            service=job.service, factor=factor, level=level, now=now
        )
        return job.full_from

    def record(self, job: Job, placement: Placement, *, now: float) -> None:
        """Count the outcome of a placement, and set when a rejected client should retry.

        Rejections for which no upstream's load is the cause, or a planned stop, are not counted.
        """
        state = self._state
        upstream = placement.upstream
        level = self.level(job)
        if level.is_only or upstream is None or state.stopping:
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
