"""A model of upstreams that serve recently handled objects faster, and load patterns for it."""

from __future__ import annotations

import random
from collections import OrderedDict
from collections.abc import Callable, Sequence

import msgspec

from gooseberryport_core.gateway.model import ObjectKey, UpstreamEntry, UpstreamState
from gooseberryport_core.gateway.placement import (
    PlacementView,
    Verdict,
    place_request,
    queue_factor,
    rank_upstreams,
)
from gooseberryport_core.gateway.upstreams import Upstream
from gooseberryport_core.types import RegionName, ServiceName, UpstreamId, ZoneName

SERVICE = ServiceName("service")
COLD_SERVICE_TIME_S = 0.65
WARM_SERVICE_TIME_S = 0.2
OBJECTIVE_S = 0.4
SERVICE_TIME_SPREAD_FRACTION = 0.15
SLOTS = 4
MAX_QUEUED_PER_SLOT = 3
"""Queued requests per slot beyond which a modelled upstream rejects requests."""

MAX_SENDS = 2
"""Attempts to send a request that upstreams reject at random."""

MAX_WARM_OBJECTS = 40
REGIONS = 2


class Pattern(msgspec.Struct, frozen=True):
    """A load pattern for the modelled upstreams.

    Parameters
    ----------
    name
        Name in the report.
    rate_per_s
        Arrivals per second.
    burst_per_s
        Arrivals per second from a third to half of the duration; 0 for the usual rate.
    rejected_fraction
        Fraction of requests that upstreams reject at random.
    slow_upstreams, slow_factor
        Number of slow upstreams, and the factor of their service times.
    replaced
        Number of upstreams that are replaced by new ones, one by one, from a third of the duration
        on.
    seconds
        Duration; seconds.
    """

    name: str
    rate_per_s: float = 230.0
    burst_per_s: float = 0.0
    rejected_fraction: float = 0.0
    slow_upstreams: int = 0
    slow_factor: float = 1.0
    replaced: int = 0
    seconds: float = 20.0


PATTERNS = (
    Pattern(name="near the warm capacity"),
    Pattern(name="over the warm capacity", rate_per_s=350.0),
    Pattern(name="burst", rate_per_s=150.0, burst_per_s=420.0),
    Pattern(name="random refusals", rate_per_s=150.0, rejected_fraction=0.4),
    Pattern(name="slow upstreams", rate_per_s=180.0, slow_upstreams=3, slow_factor=5.0),
    Pattern(name="upstreams replaced", rate_per_s=200.0, replaced=8),
)


class Result(msgspec.Struct):
    """The fractions of a run's requests that were served in time, served late and rejected."""

    in_time: float
    late: float
    refused: float


class ModelledUpstream:
    """A modelled upstream with slots, a queue and the objects that it is warm for."""

    def __init__(
        self, *, upstream: Upstream, factor: float, kept_objects: int = MAX_WARM_OBJECTS
    ) -> None:
        self.kept_objects = kept_objects
        self.upstream = upstream
        self.factor = factor
        self.warm: OrderedDict[str, None] = OrderedDict()
        self._free_at = [0.0] * SLOTS
        self._ends_at: list[float] = []

    def load(self, now: float) -> int:
        """Return the number of requests that run or wait."""
        self._ends_at = [end for end in self._ends_at if end > now]
        return len(self._ends_at)

    def run(self, key: str, *, now: float, rng: random.Random, work: float = 1.0) -> float | None:
        """Return the time at which a request with some work ends, or None if it is rejected."""
        if self.load(now) >= SLOTS * (1 + MAX_QUEUED_PER_SLOT):
            return None
        service_time_s = WARM_SERVICE_TIME_S if key in self.warm else COLD_SERVICE_TIME_S
        spread = rng.uniform(1.0 - SERVICE_TIME_SPREAD_FRACTION, 1.0 + SERVICE_TIME_SPREAD_FRACTION)
        slot = self._free_at.index(min(self._free_at))
        end = max(now, self._free_at[slot]) + service_time_s * work * spread * self.factor
        self._free_at[slot] = end
        self._ends_at.append(end)
        self.warm[key] = None
        self.warm.move_to_end(key)
        while len(self.warm) > self.kept_objects:
            self.warm.popitem(last=False)
        return end


class UpstreamModel:
    """The modelled upstreams at a point in time, as a policy sees them."""

    def __init__(
        self, *, upstream_count: int, pattern: Pattern, kept_objects: int = MAX_WARM_OBJECTS
    ) -> None:
        self._kept_objects = kept_objects
        self._next_number = 0
        self._pattern = pattern
        self.now = 0.0
        self.modelled_upstreams: dict[UpstreamId, ModelledUpstream] = {}
        for index in range(upstream_count):
            self.add(slow=index < pattern.slow_upstreams)

    @property
    def upstreams(self) -> list[Upstream]:
        """The upstreams that accept requests."""
        return [modelled.upstream for modelled in self.modelled_upstreams.values()]

    def add(self, *, slow: bool = False) -> None:
        """Add an upstream that is cold for every object."""
        name = UpstreamId(f"u{self._next_number}")
        entry = UpstreamEntry(
            upstream=name,
            service=SERVICE,
            zone=ZoneName(f"zone{self._next_number % REGIONS}"),
            address=("", 0),
            slots=SLOTS,
            state=UpstreamState.READY,
            cold_s=0.0,
            started_ms=0,
            sequence=0,
        )
        self._next_number += 1
        factor = self._pattern.slow_factor if slow else 1.0
        self.modelled_upstreams[name] = ModelledUpstream(
            upstream=Upstream(entry=entry), factor=factor, kept_objects=self._kept_objects
        )

    def replace_oldest(self) -> None:
        """Replace the oldest upstream by one that is cold for every object."""
        del self.modelled_upstreams[next(iter(self.modelled_upstreams))]
        self.add()

    def load(self, upstream: Upstream) -> int:
        """Return the number of requests that run or wait at an upstream."""
        return self.modelled_upstreams[upstream.id].load(self.now)

    def view(self, key: ObjectKey, region: int) -> PlacementView:
        """Return the view that a gateway in a region has for the placement of a request."""
        return PlacementView(
            zone=ZoneName(f"zone{region}"),
            region_of=lambda zone: RegionName(zone),
            load_of=self.load,
            can_send=lambda upstream: True,
            is_warm=lambda upstream: key in self.modelled_upstreams[upstream.id].warm,
            is_unused=lambda upstream: not self.modelled_upstreams[upstream.id].warm,
        )


Policy = Callable[[UpstreamModel, ObjectKey, int], Upstream | None]


def by_warmth(model: UpstreamModel, key: ObjectKey, region: int) -> Upstream | None:
    """Return the upstream that a gateway chooses, or None if it rejects the request."""
    placement = place_request(
        candidates=model.upstreams,
        service=SERVICE,
        key=key,
        view=model.view(key, region),
        queue_factor=queue_factor(objective_s=OBJECTIVE_S, warm_s=WARM_SERVICE_TIME_S),
    )
    return placement.upstream if placement.verdict is Verdict.SEND else None


def by_hash(model: UpstreamModel, key: ObjectKey, region: int) -> Upstream | None:
    """Return the upstream that an object's hash ranks first, whatever its load."""
    candidates: Sequence[Upstream] = model.upstreams
    return rank_upstreams(
        candidates=candidates, service=SERVICE, key=key, view=model.view(key, region)
    )[0]


def by_load(model: UpstreamModel, key: ObjectKey, region: int) -> Upstream | None:
    """Return the upstream with the lowest load."""
    return min(model.upstreams, key=lambda upstream: (model.load(upstream), upstream.id))


POLICIES: dict[str, Policy] = {"warmth": by_warmth, "hash": by_hash, "least load": by_load}


def replay(
    *, pattern: Pattern, policy: Policy, seed: int, object_count: int = 72, upstream_count: int = 16
) -> Result:
    """Run a load pattern under a policy.

    Parameters
    ----------
    pattern
        The load pattern.
    policy
        Chooses an upstream, or None to reject the request.
    seed
        Seed of every random choice.
    object_count, upstream_count
        Number of objects and of upstreams; each object is requested from one region only.

    Returns
    -------
    Result
        Fractions of the requests that were served in time, served late and rejected.
    """
    rng = random.Random(seed)
    model = UpstreamModel(upstream_count=upstream_count, pattern=pattern)
    counts = [0, 0, 0]
    replaced = 0
    while model.now < pattern.seconds:
        progress = model.now / pattern.seconds
        rate = pattern.burst_per_s if pattern.burst_per_s and 1 / 3 < progress < 1 / 2 else 0.0
        model.now += rng.expovariate(rate or pattern.rate_per_s)
        while replaced < pattern.replaced and progress > 1 / 3 + replaced / 24:
            model.replace_oldest()
            replaced += 1
        number = rng.randrange(object_count)
        key = ObjectKey(f"o{number}")
        end = None
        for _ in range(MAX_SENDS):
            upstream = policy(model, key, number % REGIONS)
            if upstream is None:
                break
            if rng.random() >= pattern.rejected_fraction:
                end = model.modelled_upstreams[upstream.id].run(key, now=model.now, rng=rng)
                break
        counts[2 if end is None else int(end - model.now > OBJECTIVE_S)] += 1
    total = sum(counts)
    return Result(in_time=counts[0] / total, late=counts[1] / total, refused=counts[2] / total)
