"""Warm objects of upstreams, as the requests of one gateway use them and show them.

Load pattern: objects whose number exceeds what upstreams keep warm. What a request's duration shows
of its object corrects this gateway's estimate at once, before the next request is placed by it.
"""

from __future__ import annotations

from collections.abc import Callable

from gooseberryport_core.gateway.routing import RouteTable
from gooseberryport_core.gateway.upstreams import Upstream
from gooseberryport_core.gateway.warm_capacity import Temperature, WarmCapacities
from gooseberryport_core.gateway.warmth import MAX_WARM_OBJECTS, WarmthTracker, hash_object_key
from gooseberryport_core.types import ServiceName, UpstreamId
from gooseberryport_gateway._attempts import Job
from gooseberryport_gateway._metrics import Metrics

MAX_USE_BYTES_PER_ROUND = 300
"""Bytes of used objects that a gateway sends to all others in one round of reports: 1.5 KB/s, of
the 4 KB/s that all control traffic may take."""

BYTES_PER_PAIR = 11
"""Longest encoding of a pair of upstream and object in a datagram; bytes."""

MAX_USED_PER_REPORT = 24
"""Maximum used pairs of upstream and object in one datagram: 264 bytes."""

MIN_REPORTED_FRACTION = 0.3
"""Fraction of its uses that a gateway reports, and so about that of the others, below which the
learned capacity is not used. With a sixth of the uses, objects that other gateways keep in use
seemed evicted, and fewer requests were in time than with the fixed maximum."""

REPORTED_SMOOTHING = 0.02
"""Weight of the newest round in the moving average of this fraction: it follows within 10 s."""


def identify(job: Job, routes: RouteTable) -> None:
    """Set how a request's object is identified, if it has one."""
    if job.key is None:
        return
    identity = routes.identify(route=job.route, service=job.service, key=job.key)
    job.placement_key = identity.key
    keys = (identity.key, identity.earlier_key)
    job.marks = tuple(hash_object_key(key) for key in keys if key is not None)


class WarmObjects:
    """Place, record and learn from the objects of this gateway's requests.

    Parameters
    ----------
    tracker
        Which upstreams are warm for which objects.
    metrics
        Where unexpectedly cold requests are counted.
    """

    def __init__(self, *, tracker: WarmthTracker, metrics: Metrics) -> None:
        self.capacities = WarmCapacities()
        self._tracker = tracker
        self._metrics = metrics
        self._allowance = 0.0
        self._reported_fraction = 1.0

    def capacity(self, service: ServiceName) -> int:
        """Return the number of an upstream's last objects that count as warm."""
        if self._reported_fraction < MIN_REPORTED_FRACTION:
            return MAX_WARM_OBJECTS
        return self.capacities.capacity(service)

    def is_warm(self, job: Job) -> Callable[[Upstream], bool]:
        """Return a function that tells whether an upstream is warm for a request's object."""
        capacity = self.capacity(job.service)
        return lambda upstream: any(
            self._tracker.is_warm(upstream.id, mark, capacity=capacity) for mark in job.marks
        )

    def has_room(self, job: Job, *, now: float) -> Callable[[Upstream], bool]:
        """Return a function that tells whether an upstream has room for another object."""
        capacity = self.capacity(job.service)
        return lambda upstream: self._tracker.has_room(upstream.id, capacity=capacity, now=now)

    def homes(self, job: Job) -> set[UpstreamId]:
        """Return the upstreams that are warm for a request's object."""
        capacity = self.capacity(job.service)
        return {name for mark in job.marks for name in self._tracker.homes(mark, capacity=capacity)}

    def record_send(self, job: Job, upstream: UpstreamId, *, now: float) -> bool:
        """Record that a request is sent; return whether other gateways should be told at once."""
        if not job.marks:
            return False
        tracker = self._tracker
        job.depth = job.last_use_at = None
        for mark in job.marks:
            if job.depth is None:
                job.depth = tracker.depth(upstream, mark)
                job.last_use_at = tracker.last_use_at(upstream, mark)
        is_new = tracker.record(upstream, job.marks[0], now=now, observed_here=True)
        for earlier in job.marks[1:]:
            # The object is recorded by its present key now, and must not be counted twice.
            tracker.discard(upstream, earlier)
        return is_new

    def record_not_run(self, job: Job, upstream: UpstreamId) -> None:
        """Record that a request did not run at an upstream."""
        if job.marks and not job.warm:
            self._tracker.remove(upstream, job.marks[0])

    def record_duration(self, job: Job, upstream: UpstreamId, *, took_s: float, now: float) -> bool:
        """Record the time of a request that did not wait; return whether its object was warm.

        An upstream that lost an object lost those it handled well before that one, too.
        """
        shown = self.capacities.record(
            service=job.service,
            route=job.route.name,
            upstream=upstream,
            depth=job.depth,
            took_s=took_s,
            now=now,
        )
        if not job.warm or shown is not Temperature.COLD or job.last_use_at is None:
            return job.warm
        self._metrics.unexpectedly_cold.labels(job.service).inc()
        self._tracker.record_lost(upstream, used_at=job.last_use_at)
        return False

    def take_used(self, *, listeners: int) -> list[tuple[UpstreamId, int]]:
        """Return the used pairs of upstream and object for a round of reports.

        Parameters
        ----------
        listeners
            Number of gateways that get them.
        """
        share = MAX_USE_BYTES_PER_ROUND / (BYTES_PER_PAIR * max(listeners, 1))
        wanted = self._tracker.used_count
        if wanted:
            fraction = min(1.0, share / wanted)
            self._reported_fraction += REPORTED_SMOOTHING * (fraction - self._reported_fraction)
        self._allowance = min(self._allowance % 1.0 + share, MAX_USED_PER_REPORT)
        return self._tracker.take_used(limit=int(self._allowance))

    def apply_routes(self, routes: RouteTable) -> None:
        """Drop what belongs to routes and services that a configuration no longer contains."""
        config = routes.config
        services = {part.service for route in config.routes for part in route.destinations}
        self.capacities.forget_other_than(
            routes=[route.name for route in config.routes], services=services
        )
        self._metrics.warm_capacity.clear()

    def forget(self, upstream: UpstreamId) -> None:
        """Drop an upstream's objects and what it showed: it was removed or has restarted."""
        self._tracker.forget(upstream)
        self.capacities.forget(upstream)

    def refresh(self, *, now: float) -> None:
        """Compute the capacities and publish them."""
        for service, capacity in self.capacities.refresh(now=now).items():
            self._metrics.warm_capacity.labels(service).set(capacity)
