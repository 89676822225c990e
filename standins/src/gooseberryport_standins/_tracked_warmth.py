"""A model of gateways that estimate which objects upstreams keep warm, and report it to each other.

Unlike in `_warm_model`, placement doesn't know what is warm, only what gateways can observe.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter, deque
from collections.abc import Iterable

import msgspec

from gooseberryport_core.gateway.model import ObjectKey, RouteName
from gooseberryport_core.gateway.placement import (
    PlacementView,
    Verdict,
    place_request,
    queue_factor,
)
from gooseberryport_core.gateway.upstreams import Upstream
from gooseberryport_core.gateway.warm_capacity import Temperature, WarmCapacities
from gooseberryport_core.gateway.warmth import MAX_WARM_OBJECTS, WarmthTracker, hash_object_key
from gooseberryport_core.types import RegionName, UpstreamId, ZoneName
from gooseberryport_standins._warm_model import (
    OBJECTIVE_S,
    REGIONS,
    SERVICE,
    SLOTS,
    WARM_SERVICE_TIME_S,
    Pattern,
    UpstreamModel,
)

REPORT_INTERVAL_S = 0.2
OUTLIER_FRACTION = 0.03
OUTLIER_FACTOR = 7.0


class Load(msgspec.Struct, frozen=True):
    """Objects and requests of a run.

    Parameters
    ----------
    keys, routes
        Number of keys, and of routes that use them; each route has its own object for a key.
    kept_objects
        Number of objects that an upstream keeps warm.
    upstreams, gateways
        Their numbers.
    skew
        Exponent of the objects' popularity by rank.
    slow_factor, slow_every_s, slow_for_s
        Factor of the durations at an upstream that is slow for a time, the interval at which
        another one becomes slow, and for how long; a factor of 1 for none.
    """

    keys: int = 144
    routes: int = 1
    kept_objects: int = 16
    upstreams: int = 18
    gateways: int = 6
    rate_per_s: float = 150.0
    skew: float = 0.8
    seconds: float = 120.0
    slow_factor: float = 1.0
    slow_every_s: float = 2.0
    slow_for_s: float = 4.0


class Variant(msgspec.Struct, frozen=True):
    """What gateways take into account."""

    identifies_routes: bool = True
    reports_order: bool = True
    learns: bool = True
    corrects: bool = True
    used_per_report: int = 24


class Outcome(msgspec.Struct):
    """Fractions of the requests of a run's second half, and what the gateways learned."""

    found_warm: float
    in_time: float
    refused: float
    expected_warm_but_cold: float
    capacities: list[int]


class _Gateway:
    def __init__(self, region: int) -> None:
        self.region = region
        self.tracker = WarmthTracker()
        self.capacities = WarmCapacities()


class _Ended(msgspec.Struct):
    gateway: _Gateway
    upstream: UpstreamId
    route: RouteName
    depth: int | None
    last_use_at: float | None
    expected_warm: bool
    took_s: float


class TrackedFleet:
    """Gateways and modelled upstreams, with the events between them in order of time."""

    def __init__(self, *, load: Load, variant: Variant, seed: int) -> None:
        self.load = load
        self.variant = variant
        self.rng = random.Random(seed)
        self.model = UpstreamModel(
            upstream_count=load.upstreams,
            pattern=Pattern(name="tracked"),
            kept_objects=load.kept_objects,
        )
        self.gateways = [_Gateway(number % REGIONS) for number in range(load.gateways)]
        self.counts: Counter[str] = Counter()
        self._running: list[tuple[float, int, _Ended]] = []
        self._sent = 0
        self._slow: deque[tuple[float, UpstreamId]] = deque()
        self._next_slow = 0.0
        self._next_report = 0.0
        ranks = range(load.keys * load.routes)
        self._weights = [1.0 / (rank + 1) ** load.skew for rank in ranks]
        self._order = list(ranks)
        self.rng.shuffle(self._order)

    def run(self, seconds: float) -> None:
        """Serve requests for a time."""
        model, load = self.model, self.load
        end = model.now + seconds
        while model.now < end:
            model.now += self.rng.expovariate(load.rate_per_s)
            while self._running and self._running[0][0] <= model.now:
                self._end(heapq.heappop(self._running)[2])
            self._change_speeds()
            if model.now >= self._next_report:
                self._next_report = model.now + REPORT_INTERVAL_S
                self._report()
            number = self._order[self.rng.choices(range(len(self._order)), self._weights)[0]]
            self._request(number % load.keys, RouteName(f"r{number // load.keys}"))

    def _change_speeds(self) -> None:
        now, upstreams = self.model.now, self.model.modelled_upstreams
        while self._slow and self._slow[0][0] <= now:
            upstreams[self._slow.popleft()[1]].factor = 1.0
        if self.load.slow_factor != 1.0 and now >= self._next_slow:
            self._next_slow = now + self.load.slow_every_s
            name = self.rng.choice(sorted(upstreams.keys() - {name for _, name in self._slow}))
            upstreams[name].factor = self.load.slow_factor
            self._slow.append((now + self.load.slow_for_s, name))

    def replace_upstreams(self, *, kept_objects: int) -> None:
        """Restart every upstream, which keeps another number of objects then."""
        for name, modelled in self.model.modelled_upstreams.items():
            modelled.warm.clear()
            modelled.kept_objects = kept_objects
            for gateway in self.gateways:
                gateway.tracker.forget(name)
                gateway.capacities.forget(name)

    def _request(self, key: int, route: RouteName) -> None:
        model = self.model
        gateway = self.rng.choice([g for g in self.gateways if g.region == key % REGIONS])
        actual = ObjectKey(f"{route}|o{key}")
        known = actual if self.variant.identifies_routes else ObjectKey(f"o{key}")
        mark = hash_object_key(known)
        capacity = gateway.capacities.capacity(SERVICE)
        tracker = gateway.tracker
        placement = place_request(
            candidates=model.upstreams,
            service=SERVICE,
            key=known,
            view=PlacementView(
                zone=ZoneName(f"zone{gateway.region}"),
                region_of=lambda zone: RegionName(zone),
                load_of=model.load,
                can_send=lambda upstream: True,
                is_warm=lambda upstream: tracker.is_warm(upstream.id, mark, capacity=capacity),
                is_unused=lambda upstream: tracker.has_no_objects(upstream.id),
                objects_of=lambda upstream: tracker.object_count(upstream.id),
                has_room=lambda upstream: tracker.has_room(
                    upstream.id, capacity=capacity, now=model.now
                ),
                prefers_local=True,
            ),
            queue_factor=queue_factor(objective_s=OBJECTIVE_S, warm_s=WARM_SERVICE_TIME_S),
        )
        self.counts["all"] += 1
        if placement.verdict is not Verdict.SEND or placement.upstream is None:
            self.counts["refused"] += 1
            return
        self._send(gateway, placement.upstream, actual, mark, route, expected=placement.warm)

    def _send(
        self,
        gateway: _Gateway,
        upstream: Upstream,
        actual: ObjectKey,
        mark: int,
        route: RouteName,
        *,
        expected: bool,
    ) -> None:
        model, tracker = self.model, gateway.tracker
        modelled = model.modelled_upstreams[upstream.id]
        waits = model.load(upstream) >= SLOTS
        found_warm = actual in modelled.warm
        outlier = OUTLIER_FACTOR if self.rng.random() < OUTLIER_FRACTION else 1.0
        usual, modelled.factor = modelled.factor, modelled.factor * outlier
        end = modelled.run(actual, now=model.now, rng=self.rng)
        modelled.factor = usual
        if end is None:
            self.counts["refused"] += 1
            return
        self.counts["sent"] += 1
        self.counts["found warm"] += found_warm
        self.counts["in time"] += end - model.now <= OBJECTIVE_S
        self.counts["unexpectedly cold"] += expected and not found_warm
        ended = _Ended(
            gateway=gateway,
            upstream=upstream.id,
            route=route,
            depth=None if waits else tracker.depth(upstream.id, mark),
            last_use_at=tracker.last_use_at(upstream.id, mark),
            expected_warm=expected,
            took_s=end - model.now,
        )
        self._sent += 1
        heapq.heappush(self._running, (end, self._sent, ended))
        if tracker.record(upstream.id, mark, now=model.now, observed_here=True):
            for other in self._others(gateway):
                other.tracker.record(upstream.id, mark, now=model.now, observed_here=False)

    def _end(self, ended: _Ended) -> None:
        if not self.variant.learns:
            return
        shown = ended.gateway.capacities.record(
            service=SERVICE,
            route=ended.route,
            upstream=ended.upstream,
            depth=ended.depth,
            took_s=ended.took_s,
            now=self.model.now,
        )
        if (
            self.variant.corrects
            and ended.expected_warm
            and shown is Temperature.COLD
            and ended.last_use_at is not None
        ):
            ended.gateway.tracker.record_lost(ended.upstream, used_at=ended.last_use_at)

    def _report(self) -> None:
        for gateway in self.gateways:
            used = gateway.tracker.take_used(limit=self.variant.used_per_report)
            for other in self._others(gateway) if self.variant.reports_order else ():
                for upstream, mark in used:
                    other.tracker.record(upstream, mark, now=self.model.now, observed_here=False)

    def _others(self, gateway: _Gateway) -> list[_Gateway]:
        return [
            other
            for other in self.gateways
            if other is not gateway and other.region == gateway.region
        ]

    def marks(self, keys: Iterable[str]) -> set[int]:
        """Return the marks by which gateways know the objects that an upstream keeps."""
        return {
            hash_object_key(
                ObjectKey(key if self.variant.identifies_routes else key.partition("|")[2])
            )
            for key in keys
        }

    def outcome(self) -> Outcome:
        """Return what happened since `counts` was cleared."""
        counts = self.counts
        return Outcome(
            found_warm=counts["found warm"] / max(counts["sent"], 1),
            in_time=counts["in time"] / max(counts["all"], 1),
            refused=counts["refused"] / max(counts["all"], 1),
            expected_warm_but_cold=counts["unexpectedly cold"] / max(counts["sent"], 1),
            capacities=[gateway.capacities.capacity(SERVICE) for gateway in self.gateways],
        )


def replay_tracked(*, load: Load, variant: Variant, seed: int) -> Outcome:
    """Run a load under a variant; the first half of the time is not counted."""
    fleet = TrackedFleet(load=load, variant=variant, seed=seed)
    fleet.run(load.seconds / 2.0)
    fleet.counts.clear()
    fleet.run(load.seconds / 2.0)
    return fleet.outcome()


BEFORE = Variant(identifies_routes=False, reports_order=False, learns=False)
AFTER = Variant()
UNLEARNED = MAX_WARM_OBJECTS
