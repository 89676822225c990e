"""A model of upstreams that are faster for objects that they handled lately, and loads on them."""

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
COLD_WORK_S = 0.65
WARM_WORK_S = 0.2
OBJECTIVE_S = 0.4
WORK_SPREAD = 0.15
SLOTS = 4
QUEUE_SLOTS = 3
"""Waiting requests over slots at which a modelled upstream refuses."""

SENDS = 2
"""Sends of a request that upstreams refuse at random."""

KEPT_OBJECTS = 40
REGIONS = 2


class Pattern(msgspec.Struct, frozen=True):
    """A load on the modelled upstreams.

    Parameters
    ----------
    name
        Name in the report.
    rate_per_s
        Arrivals a second.
    burst_per_s
        Arrivals a second from a third to a half of the time; 0 for the usual rate.
    refusing_share
        Share of requests that upstreams refuse at random.
    slow_upstreams, slow_factor
        How many upstreams work how many times slower.
    replaced
        Upstreams that are replaced by new ones, one after another, from a third of the time on.
    seconds
        Length; seconds.
    """

    name: str
    rate_per_s: float = 230.0
    burst_per_s: float = 0.0
    refusing_share: float = 0.0
    slow_upstreams: int = 0
    slow_factor: float = 1.0
    replaced: int = 0
    seconds: float = 20.0


PATTERNS = (
    Pattern(name="near the warm capacity"),
    Pattern(name="over the warm capacity", rate_per_s=350.0),
    Pattern(name="burst", rate_per_s=150.0, burst_per_s=420.0),
    Pattern(name="random refusals", rate_per_s=150.0, refusing_share=0.4),
    Pattern(name="slow upstreams", rate_per_s=180.0, slow_upstreams=3, slow_factor=5.0),
    Pattern(name="upstreams replaced", rate_per_s=200.0, replaced=8),
)


class Result(msgspec.Struct):
    """Shares of the requests of a run."""

    in_time: float
    late: float
    refused: float


class _Target:
    """One modelled upstream."""

    def __init__(self, *, upstream: Upstream, factor: float) -> None:
        self.upstream = upstream
        self.factor = factor
        self.warm: OrderedDict[str, None] = OrderedDict()
        self._free_at = [0.0] * SLOTS
        self._ends: list[float] = []

    def load(self, now: float) -> int:
        """Return how many requests run or wait."""
        self._ends = [end for end in self._ends if end > now]
        return len(self._ends)

    def run(self, key: str, *, now: float, rng: random.Random) -> float | None:
        """Return when a request ends, or None if it is refused."""
        if self.load(now) >= SLOTS * (1 + QUEUE_SLOTS):
            return None
        work_s = WARM_WORK_S if key in self.warm else COLD_WORK_S
        spread = rng.uniform(1.0 - WORK_SPREAD, 1.0 + WORK_SPREAD)
        slot = self._free_at.index(min(self._free_at))
        end = max(now, self._free_at[slot]) + work_s * spread * self.factor
        self._free_at[slot] = end
        self._ends.append(end)
        self.warm[key] = None
        self.warm.move_to_end(key)
        if len(self.warm) > KEPT_OBJECTS:
            self.warm.popitem(last=False)
        return end


class World:
    """Targets at one moment, as a policy sees them."""

    def __init__(self, *, targets: int, pattern: Pattern) -> None:
        self._names = 0
        self._pattern = pattern
        self.now = 0.0
        self.targets: dict[UpstreamId, _Target] = {}
        for index in range(targets):
            self.add(slow=index < pattern.slow_upstreams)

    @property
    def upstreams(self) -> list[Upstream]:
        """Upstreams that take requests."""
        return [each.upstream for each in self.targets.values()]

    def add(self, *, slow: bool = False) -> None:
        """Add a target that knows no object."""
        name = UpstreamId(f"u{self._names}")
        entry = UpstreamEntry(
            upstream=name,
            service=SERVICE,
            zone=ZoneName(f"zone{self._names % REGIONS}"),
            address=("", 0),
            slots=SLOTS,
            state=UpstreamState.READY,
            cold_s=0.0,
            started_ms=0,
            sequence=0,
        )
        self._names += 1
        factor = self._pattern.slow_factor if slow else 1.0
        self.targets[name] = _Target(upstream=Upstream(entry=entry), factor=factor)

    def replace_oldest(self) -> None:
        """Replace a target by one that knows no object."""
        del self.targets[next(iter(self.targets))]
        self.add()

    def load(self, upstream: Upstream) -> int:
        """Return how many requests run or wait at an upstream."""
        return self.targets[upstream.id].load(self.now)

    def view(self, key: ObjectKey, region: int) -> PlacementView:
        """Return what a gateway of a region knows for a request."""
        return PlacementView(
            zone=ZoneName(f"zone{region}"),
            region_of=lambda zone: RegionName(zone),
            load_of=self.load,
            can_send=lambda each: True,
            is_warm=lambda each: key in self.targets[each.id].warm,
            is_unused=lambda each: not self.targets[each.id].warm,
        )


Policy = Callable[[World, ObjectKey, int], Upstream | None]


def by_warmth(world: World, key: ObjectKey, region: int) -> Upstream | None:
    """Place requests as gateways do."""
    found = place_request(
        candidates=world.upstreams,
        service=SERVICE,
        key=key,
        view=world.view(key, region),
        queue_factor=queue_factor(objective_s=OBJECTIVE_S, warm_s=WARM_WORK_S),
    )
    return found.upstream if found.verdict is Verdict.SEND else None


def by_hash(world: World, key: ObjectKey, region: int) -> Upstream | None:
    """Send every object to its first upstream, whatever the load."""
    candidates: Sequence[Upstream] = world.upstreams
    return rank_upstreams(
        candidates=candidates, service=SERVICE, key=key, view=world.view(key, region)
    )[0]


def by_load(world: World, key: ObjectKey, region: int) -> Upstream | None:
    """Send every request to the least loaded upstream."""
    return min(world.upstreams, key=lambda each: (world.load(each), each.id))


POLICIES: dict[str, Policy] = {"warmth": by_warmth, "hash": by_hash, "least load": by_load}


def replay(
    *, pattern: Pattern, policy: Policy, seed: int, objects: int = 72, targets: int = 16
) -> Result:
    """Run a load against a policy.

    Parameters
    ----------
    pattern
        The load.
    policy
        Chooses an upstream, or refuses.
    seed
        Seed of every random choice.
    objects, targets
        Sizes; an object is asked for from one region.

    Returns
    -------
    Result
        Shares of the requests that were served in time, served late and refused.
    """
    rng = random.Random(seed)
    world = World(targets=targets, pattern=pattern)
    ends = [0, 0, 0]
    replaced = 0
    while world.now < pattern.seconds:
        part = world.now / pattern.seconds
        rate = pattern.burst_per_s if pattern.burst_per_s and 1 / 3 < part < 1 / 2 else 0.0
        world.now += rng.expovariate(rate or pattern.rate_per_s)
        while replaced < pattern.replaced and part > 1 / 3 + replaced / 24:
            world.replace_oldest()
            replaced += 1
        number = rng.randrange(objects)
        key = ObjectKey(f"o{number}")
        end = None
        for _ in range(SENDS):
            upstream = policy(world, key, number % REGIONS)
            if upstream is None:
                break
            if rng.random() >= pattern.refusing_share:
                end = world.targets[upstream.id].run(key, now=world.now, rng=rng)
                break
        ends[2 if end is None else int(end - world.now > OBJECTIVE_S)] += 1
    total = sum(ends)
    return Result(in_time=ends[0] / total, late=ends[1] / total, refused=ends[2] / total)
