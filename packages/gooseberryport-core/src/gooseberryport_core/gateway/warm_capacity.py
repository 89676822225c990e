"""Estimate of how many objects the upstreams of a service keep warm.

Load pattern: more objects than the upstreams keep. An object that is requested again after the
upstream handled that many others is handled slowly, evicts another one, and makes the request for
that one slow as well. How many objects are kept isn't stated by upstreams; it shows in the
durations of requests that did not wait, by how many other objects were handled since the object.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from enum import Enum
from statistics import median

import msgspec

from gooseberryport_core.gateway.model import RouteName
from gooseberryport_core.gateway.warmth import MAX_WARM_OBJECTS
from gooseberryport_core.types import ServiceName, UpstreamId

SHALLOW_DEPTH = 2
"""Depth up to which objects are warm wherever any are; their durations are a route's reference."""

MIN_CAPACITY = SHALLOW_DEPTH + 2
"""Lowest capacity that is learned."""

KEPT_DURATIONS = 64
MIN_DURATIONS = 16
"""Shallow durations that are kept for a route, and from which their median is used."""

MEDIAN_PERIOD = 8
"""Shallow durations after which the median is computed again."""

MIN_REFERENCE_S = 0.000_001

MIN_WARM_RATIO = 0.5
MAX_WARM_RATIO = 1.6
MIN_COLD_RATIO = 2.0
MAX_COLD_RATIO = 4.5
"""Bounds of the duration over the route's reference. Cold requests take about 3 times as long; 3 in
100 requests take 7 times as long wherever they run. What is outside these bands shows nothing."""

SLOW_UPSTREAM_TTL_S = 5.0
"""Time after a slow shallow request in which nothing is learned from that upstream; seconds."""

SAMPLES_PER_DEPTH = 16
"""Newest samples that are kept for each depth, so that frequent depths don't displace others."""

SAMPLE_TTL_S = 300.0
"""Age from which a sample is ignored; seconds. If no request goes that deep any more, the capacity
is unknown again and the next ones show whether it has grown."""

MIN_COLD_SAMPLES = 8
MIN_COLD_FRACTION = 0.7
"""Cold samples, and their fraction, at the capacity and beyond from which it is learned."""

MIN_WARM_SAMPLES = 8
MAX_CONTRADICTING_FRACTION = 0.25
"""Samples at a depth and beyond, and the fraction of cold ones among them, up to which objects of
that depth are usually warm."""

MIN_SOURCES = 3
SOURCE_WINDOW_S = 10.0
"""Sources that these cold samples must have. A source is an upstream within a window of time, in
seconds, so that one upstream that is slow for seconds is not enough."""

ESTIMATE_INTERVAL_S = 1.0
REFRESH_INTERVAL_S = 5.0
"""Intervals at which a capacity is computed from the samples, with and without new ones; it takes
about 0.1 ms; seconds."""


class Temperature(Enum):
    """What a request's duration shows about its object at the upstream."""

    WARM = "warm"
    COLD = "cold"
    UNKNOWN = "unknown"


class _Sample(msgspec.Struct, frozen=True):
    at: float
    upstream: UpstreamId
    is_cold: bool


class _Reference:
    """Durations of a route's shallow requests, and their median once enough are known."""

    def __init__(self) -> None:
        self.warm_s = 0.0
        self._durations: deque[float] = deque(maxlen=KEPT_DURATIONS)
        self._recorded = 0

    def record(self, took_s: float) -> None:
        """Record a duration; the median follows every few of them."""
        self._durations.append(took_s)
        self._recorded += 1
        if self._recorded % MEDIAN_PERIOD == 0 and len(self._durations) >= MIN_DURATIONS:
            self.warm_s = max(median(self._durations), MIN_REFERENCE_S)


class _Service:
    """Samples of one service, by depth, and the capacity that follows from them."""

    def __init__(self) -> None:
        self.capacity = MAX_WARM_OBJECTS
        self.estimated_at = float("-inf")
        # By depth, whether enough samples show that objects at that depth and beyond are warm.
        self.is_usually_warm = [False] * MAX_WARM_OBJECTS
        self.samples: list[deque[_Sample]] = [
            deque(maxlen=SAMPLES_PER_DEPTH) for _ in range(MAX_WARM_OBJECTS)
        ]

    def estimate(self, *, now: float) -> int:
        """Return the capacity that contradicts the fewest samples, of those that enough show.

        It is the maximum if none is shown.
        """
        for samples in self.samples:
            while samples and now - samples[0].at > SAMPLE_TTL_S:
                samples.popleft()
        best = MAX_WARM_OBJECTS
        contradicting = least = sum(
            sample.is_cold for samples in self.samples for sample in samples
        )
        cold_count = warm_count = 0
        sources: set[tuple[UpstreamId, float]] = set()
        for capacity in range(MAX_WARM_OBJECTS - 1, MIN_CAPACITY - 1, -1):
            samples = self.samples[capacity]
            colds = [sample for sample in samples if sample.is_cold]
            sources.update((sample.upstream, sample.at // SOURCE_WINDOW_S) for sample in colds)
            cold_count += len(colds)
            warm_count += len(samples) - len(colds)
            count = cold_count + warm_count
            self.is_usually_warm[capacity] = (
                count >= MIN_WARM_SAMPLES and cold_count <= MAX_CONTRADICTING_FRACTION * count
            )
            contradicting += len(samples) - 2 * len(colds)
            is_shown = (
                cold_count >= MIN_COLD_SAMPLES
                and cold_count >= MIN_COLD_FRACTION * count
                and len(sources) >= MIN_SOURCES
            )
            if is_shown and contradicting < least:
                best, least = capacity, contradicting
        self.is_usually_warm[:MIN_CAPACITY] = [self.is_usually_warm[MIN_CAPACITY]] * MIN_CAPACITY
        return best


class WarmCapacities:
    """Learns for each service how many objects an upstream keeps warm."""

    def __init__(self) -> None:
        self._services: dict[ServiceName, _Service] = {}
        self._references: dict[tuple[ServiceName, RouteName], _Reference] = {}
        self._slow_until: dict[UpstreamId, float] = {}

    def capacity(self, service: ServiceName) -> int:
        """Return how many objects an upstream keeps warm; `MAX_WARM_OBJECTS` if not known."""
        known = self._services.get(service)
        return known.capacity if known is not None else MAX_WARM_OBJECTS

    def record(
        self,
        *,
        service: ServiceName,
        route: RouteName,
        upstream: UpstreamId,
        depth: int | None,
        took_s: float,
        now: float,
    ) -> Temperature:
        """Record the duration of a request that did not wait; return what it shows.

        Parameters
        ----------
        service, route, upstream
            Service and route of the request, and the upstream that handled it.
        depth
            Number of other objects that the upstream handled since the request's object; None if it
            isn't known to have handled it, then nothing is learned.
        took_s
            Time from the send to the response; seconds.
        now
            Monotonic time; seconds.
        """
        if depth is None or depth >= MAX_WARM_OBJECTS:
            return Temperature.UNKNOWN
        reference = self._references.get((service, route))
        if reference is None:
            reference = self._references[service, route] = _Reference()
        is_known = reference.warm_s > 0.0
        ratio = took_s / reference.warm_s if is_known else 0.0
        if depth <= SHALLOW_DEPTH:
            reference.record(took_s)
            if ratio >= MIN_COLD_RATIO:
                self._slow_until[upstream] = now + SLOW_UPSTREAM_TTL_S
            return Temperature.UNKNOWN
        if not is_known or self._is_slow(upstream, now=now):
            return Temperature.UNKNOWN
        is_cold = MIN_COLD_RATIO <= ratio <= MAX_COLD_RATIO
        if not is_cold and not MIN_WARM_RATIO <= ratio <= MAX_WARM_RATIO:
            return Temperature.UNKNOWN
        samples = self._services.get(service)
        if samples is None:
            samples = self._services[service] = _Service()
        samples.samples[depth].append(_Sample(at=now, upstream=upstream, is_cold=is_cold))
        if now - samples.estimated_at >= ESTIMATE_INTERVAL_S:
            samples.estimated_at = now
            samples.capacity = samples.estimate(now=now)
        if not is_cold:
            return Temperature.WARM
        # If objects as deep as this one are usually warm, the upstream rather is slow for a while.
        return Temperature.UNKNOWN if samples.is_usually_warm[depth] else Temperature.COLD

    def _is_slow(self, upstream: UpstreamId, *, now: float) -> bool:
        until = self._slow_until.get(upstream)
        if until is not None and until <= now:
            del self._slow_until[upstream]
        return until is not None and until > now

    def forget(self, upstream: UpstreamId) -> None:
        """Drop what an upstream showed that was removed or has restarted.

        Its successor may keep another number of objects.
        """
        self._slow_until.pop(upstream, None)
        for known in self._services.values():
            for samples in known.samples:
                if any(sample.upstream == upstream for sample in samples):
                    kept = [sample for sample in samples if sample.upstream != upstream]
                    samples.clear()
                    samples.extend(kept)
            known.estimated_at = float("-inf")

    def forget_other_than(
        self, *, routes: Iterable[RouteName], services: Iterable[ServiceName]
    ) -> None:
        """Drop what is known of routes and services that the configuration no longer contains."""
        kept_routes, kept_services = frozenset(routes), frozenset(services)
        for service in self._services.keys() - kept_services:
            del self._services[service]
        for service, route in list(self._references):
            if service not in kept_services or route not in kept_routes:
                del self._references[service, route]

    def refresh(self, *, now: float) -> dict[ServiceName, int]:
        """Compute capacities again that had no new samples for a while, and return all."""
        for upstream in [name for name, until in self._slow_until.items() if until <= now]:
            del self._slow_until[upstream]
        for known in self._services.values():
            if now - known.estimated_at >= REFRESH_INTERVAL_S:
                known.estimated_at = now
                known.capacity = known.estimate(now=now)
        return {service: known.capacity for service, known in self._services.items()}
