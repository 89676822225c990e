"""Place a request on an upstream by what the gateway knows, or refuse it and say why."""

from __future__ import annotations

import math
from collections.abc import Callable

import msgspec

from gooseberryport_core.gateway.model import ObjectKey
from gooseberryport_core.gateway.placement import (
    Placement,
    PlacementView,
    PreferredUpstreams,
    Verdict,
    place_on_preferred,
    place_request,
    queue_factor,
)
from gooseberryport_core.gateway.refusals import RefusalCause
from gooseberryport_core.gateway.stopping import ends_before_exit, stop_queue_factor
from gooseberryport_core.gateway.upstreams import Upstream
from gooseberryport_gateway._attempts import Job
from gooseberryport_gateway._levels import PriorityAdmission
from gooseberryport_gateway._state import GatewayState
from gooseberryport_gateway._upstream_statements import awake_time


class Placer:
    """Chooses the upstreams of requests, and counts what is sent to them.

    Parameters
    ----------
    state
        State of the gateway, on which decisions are based.
    admission
        Limits by priority level.
    """

    def __init__(self, *, state: GatewayState, admission: PriorityAdmission) -> None:
        self._state = state
        self._admission = admission

    def choose(self, job: Job, *, now: float) -> Upstream | None:
        """Return the upstream that a request is sent to; None if it is refused.

        Parameters
        ----------
        job
            The request, which gets the cause if it is refused.
        now
            Monotonic time; seconds.
        """
        state = self._state
        stop_factor = self._stop_factor(job, now=now)
        if stop_factor is None:
            job.refusal_cause = RefusalCause.STOPPING
            job.cause = f"the stop leaves {state.exits_at - now:.2f} s"
            return None
        placement = self._place(
            job, now=now, can_send=state.can_send_unlimited, stop_factor=stop_factor
        )
        if placement.upstream is not None:
            state.rate_limits.record_wanted(placement.upstream.id, now=now)
            if not state.can_send_limited(placement.upstream, now=now):
                placement = self._place(
                    job, now=now, can_send=state.can_send, stop_factor=stop_factor
                )
        job.warm = placement.warm
        job.load = placement.load
        if placement.upstream is not None and placement.verdict is Verdict.SEND:
            # Counted before any wait, so that requests meanwhile see it.
            state.rate_limits.record_sent(placement.upstream.id, now=now)
            state.cold_rate_limiter.record_sent(upstream=placement.upstream.id, now=now)
            state.announcements.record_sent(placement.upstream.id, now=awake_time())
            self._admission.record(job, placement, now=now)
            return placement.upstream
        usable = state.service_capacity(job.service, now=now).usable
        if state.stopping:
            job.refusal_cause = RefusalCause.STOPPING
        else:
            job.return_s = self._return_s(job)
        job.cause = f"placement: {placement.verdict.value} of {usable}"
        if job.tenant is not None and job.tenant.allowed_regions:
            job.cause += "; the tenant's regions only"
        limited = self._want_limited(job, now=now)
        if limited:
            job.cause += f"; {limited} with a rate limit"
        self._admission.record(job, placement, now=now)
        return None

    def _return_s(self, job: Job) -> float | None:
        """Return when the first upstream ends its pause, if all that may serve a request pause."""
        state = self._state
        if not state.announcements.paused_count:
            return None
        allowed = [
            upstream.id
            for upstream in state.upstreams.usable(job.service)
            if self._is_allowed(upstream, job)
        ]
        return state.announcements.return_s(allowed, now=awake_time())

    def _stop_factor(self, job: Job, *, now: float) -> float | None:
        """Return the load per slot up to which a request ends before the exit, or None."""
        state = self._state
        if not state.stopping:
            return math.inf
        routes = state.routes.routes_to(job.service) if state.routes is not None else ()
        return stop_queue_factor(
            left_s=state.exits_at - now,
            work_s=state.work_times.expected_s(job.route),
            ahead_s=state.work_times.longest_s(routes),
        )

    def _place(
        self, job: Job, *, now: float, can_send: Callable[..., bool], stop_factor: float
    ) -> Placement:
        state = self._state
        capacity = state.service_capacity(job.service, now=now)
        view = PlacementView(
            zone=state.me.zone,
            region_of=state.region_of,
            load_of=lambda upstream: state.load_of(upstream, now=now),
            can_send=lambda upstream: can_send(upstream, now=now),
            is_warm=state.warm_objects.is_warm(job),
            is_unused=lambda upstream: state.warmth.has_no_objects(upstream.id),
            objects_of=lambda upstream: state.warmth.object_count(upstream.id),
            has_room=state.warm_objects.has_room(job, now=now),
            prefers_local=capacity.is_local,
            even=state.balancing.even_load(job.service, now=now),
        )
        left_s = job.route.objective_s - (now - job.req.arrived_at)
        factor = queue_factor(objective_s=left_s, warm_s=state.warm_s(job.route))
        factor = min(self._admission.factor(job, factor=factor, now=now), stop_factor)
        avoided = frozenset(job.avoided)
        placement = None
        if job.placement_key is not None:
            placement = place_on_preferred(
                preferred=self._preferred_upstreams(job, job.placement_key),
                view=view,
                queue_factor=factor,
                avoided=avoided,
            )
        if placement is None:
            placement = place_request(
                candidates=[
                    upstream
                    for upstream in state.upstreams.usable(job.service)
                    if self._is_allowed(upstream, job)
                ],
                service=job.service,
                key=job.placement_key,
                view=view,
                queue_factor=factor,
                avoided=avoided,
            )
        upstream = placement.upstream
        if (
            state.stopping
            and upstream is not None
            and not ends_before_exit(
                load=placement.load, slots=upstream.entry.slots, queue_factor=stop_factor
            )
        ):
            # An unused upstream gets its first object whatever its load.
            return msgspec.structs.replace(placement, verdict=Verdict.FULL)
        return placement

    def _preferred_upstreams(self, job: Job, key: ObjectKey) -> PreferredUpstreams:
        state = self._state
        homes = [
            upstream
            for name in state.warm_objects.homes(job)
            if (upstream := state.upstreams.get(name)) is not None
            and upstream.entry.service == job.service
        ]
        if len(homes) > 1:
            homes = state.rankings.in_order(service=job.service, key=key, upstreams=homes)
        return PreferredUpstreams(
            ranked=state.rankings.preferred(
                service=job.service, key=key, upstreams_of=state.upstreams.for_service
            ),
            homes=homes,
            is_usable=lambda upstream: state.upstreams.is_usable(upstream)
            and self._is_allowed(upstream, job),
        )

    def _want_limited(self, job: Job, *, now: float) -> int:
        """Ask for shares of the service's limited upstreams; return their number."""
        state = self._state
        wanted = 0
        for name in state.rate_limits.limited():
            upstream = state.upstreams.get(name)
            if upstream is not None and upstream.entry.service == job.service:
                state.rate_limits.record_wanted(name, now=now, as_first=False)
                wanted += 1
        return wanted

    def _is_allowed(self, upstream: Upstream, job: Job) -> bool:
        return job.is_allowed_in(self._state.region_of(upstream.entry.zone))
