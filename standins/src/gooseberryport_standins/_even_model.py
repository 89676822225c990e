"""A model of many load balancers that select upstreams by equal reports, which are always old.

The upstreams are those of `_warm_model`. Every load balancer receives the loads of all upstreams at
the same times, and the load and speed of an upstream with each response that it gets itself.
Requests of each load balancer are known to it at once.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Sequence
from enum import IntEnum

import msgspec

from gooseberryport_core.gateway.even_selection import EvenLoad
from gooseberryport_core.gateway.load_estimates import (
    LoadEstimate,
    LoadReports,
    OthersReport,
    estimate_load,
)
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
from gooseberryport_core.gateway.ranking import rank_upstreams
from gooseberryport_core.gateway.speeds import SpeedEstimates
from gooseberryport_core.gateway.upstreams import REMOTE_REPORT_TTL_S, Upstream
from gooseberryport_core.types import RegionName, UpstreamId, ZoneName
from gooseberryport_standins._warm_model import (
    OBJECTIVE_S,
    SERVICE,
    SLOTS,
    WARM_SERVICE_TIME_S,
    Pattern,
    UpstreamModel,
)

LONG_FRACTION = 0.03
LONG_FACTOR = 7.0
"""Fraction of the requests that take longer, and how many times as long."""

MAX_TIME_FACTOR = 2.5
"""Time factor of the slowest upstream; they are spread evenly from 1."""

SPEED_SPREAD = 0.3
"""Largest relative deviation of a stated speed from the speed for good."""

RANKED = 8
"""Ranks of an object that a placement considers."""

SAMPLE_INTERVAL_S = 0.1
OBJECTS_PER_UPSTREAM = 3
FACTOR = queue_factor(objective_s=OBJECTIVE_S, warm_s=WARM_SERVICE_TIME_S)


class EvenCase(msgspec.Struct, frozen=True):
    """A case of the model.

    Parameters
    ----------
    choosers
        Number of load balancers.
    period_s
        Time between the reports that all of them receive; a report is up to as old; seconds.
    warmth
        Whether requests are for objects, for which an upstream is faster when it has handled them.
    load
        Arrival rate as a fraction of the capacity for warm requests.
    upstreams
        Number of upstreams.
    uneven
        Whether work takes up to `MAX_TIME_FACTOR` times as long at some.
    seconds
        Duration; the first quarter isn't measured; seconds.
    """

    choosers: int
    period_s: float
    warmth: bool = False
    load: float = 0.75
    upstreams: int = 24
    uneven: bool = True
    seconds: float = 8.0


class EvenResult(msgspec.Struct, frozen=True):
    """What callers got in a case, and how evenly the load was spread.

    Parameters
    ----------
    p50_s, p99_s
        Latency of the requests that were served; seconds.
    in_time
        Fraction of all requests that were served within the objective.
    spread
        Largest load of an upstream over the mean, averaged over the time.
    """

    p50_s: float
    p99_s: float
    in_time: float
    spread: float


class Chooser:
    """What one load balancer knows."""

    def __init__(self, model: EvenModel, number: int, rng: random.Random) -> None:
        self.model = model
        self.number = number
        self.rng = rng
        self.loads = LoadReports()
        self.speeds = SpeedEstimates()
        self.reported: dict[UpstreamId, int] = {}
        self.reported_at = 0.0
        self.average = 0.0
        self.own: dict[UpstreamId, int] = {upstream.id: 0 for upstream in model.upstreams}
        # Requests sent since the last report of all loads.
        self.sent: dict[UpstreamId, int] = {}
        # Newest samples, for the policy that uses a few of them again.
        self.pool: list[tuple[float, Upstream, float]] = []

    def receive(self, loads: dict[UpstreamId, int], *, now: float) -> None:
        """Receive the loads of all upstreams."""
        self.reported = {name: max(load - self.own[name], 0) for name, load in loads.items()}
        self.reported_at = now
        self.average = sum(self.reported.values()) / max(len(self.reported), 1)
        self.sent = {}

    def load_of(self, upstream: Upstream) -> int:
        """Return the load as it was last reported, with the own requests."""
        others = self.loads.others(upstream)
        if others is not None and self.model.now - others.at < REMOTE_REPORT_TTL_S:
            return self.own[upstream.id] + round(others.count)
        return self.own[upstream.id] + self.reported.get(upstream.id, 0)

    def estimate_of(self, upstream: Upstream) -> LoadEstimate:
        """Return the estimate of the load by the age of the reports."""
        reported = self.reported.get(upstream.id)
        return estimate_load(
            own=self.own[upstream.id],
            slots=SLOTS,
            average=self.average,
            by_upstream=self.loads.others(upstream),
            by_gateways=(
                OthersReport(count=reported, at=self.reported_at) if reported is not None else None
            ),
            now=self.model.now,
        )

    def time_factor_of(self, upstream: Upstream) -> float:
        """Return the estimate of an upstream's time factor."""
        return self.speeds.lasting_factor(upstream, now=self.model.now)


class EvenPolicy:
    """The product's placement by the loads as they were reported: an exact minimum."""

    def even(self, chooser: Chooser) -> EvenLoad | None:
        """Return the estimates by which requests are spread, or None."""
        return None

    def place(self, chooser: Chooser, key: ObjectKey | None) -> Placement:
        """Place a request of a load balancer."""
        model = chooser.model
        view = model.view_of(chooser, key, even=self.even(chooser))
        if key is None:
            return place_request(
                candidates=model.upstreams,
                service=SERVICE,
                key=None,
                view=view,
                queue_factor=FACTOR,
            )
        return self.place_object(chooser, model.homes(key), model.ranked(key), view)

    def place_object(
        self,
        chooser: Chooser,
        homes: Sequence[Upstream],
        ranked: Sequence[Upstream],
        view: PlacementView,
    ) -> Placement:
        """Place a request for an object.

        Parameters
        ----------
        chooser
            The load balancer.
        homes, ranked
            Upstreams where the object is warm, and the highest ranks for it, in order of rank.
        view
            What the load balancer knows.
        """
        preferred = PreferredUpstreams(ranked=ranked, homes=homes, is_usable=lambda _: True)
        placement = place_on_preferred(preferred=preferred, view=view, queue_factor=FACTOR)
        assert placement is not None
        return placement


class EvenModel(UpstreamModel):
    """The upstreams, and load balancers that select them by one policy."""

    def __init__(self, case: EvenCase, policy: EvenPolicy, seed: int) -> None:
        super().__init__(upstream_count=case.upstreams, pattern=Pattern(name="even"))
        self.case = case
        self.policy = policy
        self.rng = random.Random(f"{seed}|{case.choosers}|{case.period_s}|{case.warmth}")
        self._all = super().upstreams
        for index, modelled in enumerate(self.modelled_upstreams.values()):
            if case.uneven:
                share = index / (case.upstreams - 1)
                modelled.factor = 1.0 + share * (MAX_TIME_FACTOR - 1.0)
        self.choosers = [
            Chooser(self, number, random.Random(f"{seed}/{number}"))
            for number in range(case.choosers)
        ]
        self._ranked: dict[ObjectKey, list[Upstream]] = {}
        self._homes: dict[ObjectKey, list[Upstream]] = {}

    @property
    def upstreams(self) -> list[Upstream]:
        """The upstreams."""
        return self._all

    def ranked(self, key: ObjectKey) -> list[Upstream]:
        """Return the highest ranks of an object."""
        known = self._ranked.get(key)
        if known is None:
            known = self._ranked[key] = rank_upstreams(
                upstreams=self._all, service=SERVICE, key=key, weight_of=lambda _: 1.0
            )[:RANKED]
        return known

    def homes(self, key: ObjectKey) -> list[Upstream]:
        """Return the upstreams where an object is warm, in order of rank."""
        return [u for u in self.ranked(key) if key in self.modelled_upstreams[u.id].warm]

    def view_of(
        self, chooser: Chooser, key: ObjectKey | None, *, even: EvenLoad | None
    ) -> PlacementView:
        """Return what a load balancer knows, for the placement of a request."""
        return PlacementView(
            zone=ZoneName("zone0"),
            region_of=lambda zone: RegionName("region"),
            load_of=chooser.load_of,
            can_send=lambda upstream: True,
            is_warm=lambda upstream: key in self.modelled_upstreams[upstream.id].warm,
            is_unused=lambda upstream: not self.modelled_upstreams[upstream.id].warm,
            objects_of=lambda upstream: len(self.modelled_upstreams[upstream.id].warm),
            even=even,
        )

    def loads(self) -> dict[UpstreamId, int]:
        """Return the true load of every upstream."""
        return {name: known.load(self.now) for name, known in self.modelled_upstreams.items()}


class _Kind(IntEnum):
    END = 0
    REPORT = 1
    SAMPLE = 2
    ARRIVAL = 3


def replay_even(case: EvenCase, policy: EvenPolicy, seed: int) -> EvenResult:
    """Run a case under a policy.

    Parameters
    ----------
    case, policy
        The case, and the policy of all load balancers.
    seed
        Seed of every random choice.
    """
    model = EvenModel(case, policy, seed)
    rng = model.rng
    capacity = sum(SLOTS / known.factor for known in model.modelled_upstreams.values())
    mean_s = WARM_SERVICE_TIME_S * (1.0 + LONG_FRACTION * (LONG_FACTOR - 1.0))
    rate = case.load * capacity / mean_s
    keys = [ObjectKey(f"o{n}") for n in range(OBJECTS_PER_UPSTREAM * case.upstreams)]
    weights = [(number + 1) ** -0.6 for number in range(len(keys))]
    events: list[tuple[float, int, int, Chooser | None, Upstream | None]] = []
    serial = 0

    def schedule(
        at: float, kind: _Kind, chooser: Chooser | None = None, upstream: Upstream | None = None
    ) -> None:
        nonlocal serial
        serial += 1
        heapq.heappush(events, (at, int(kind), serial, chooser, upstream))

    latencies: list[float] = []
    spreads: list[float] = []
    total = 0
    schedule(0.0, _Kind.REPORT)
    schedule(case.seconds / 4.0, _Kind.SAMPLE)
    schedule(0.0, _Kind.ARRIVAL)
    while events:
        model.now, kind, _, chooser, upstream = heapq.heappop(events)
        now = model.now
        if kind == _Kind.END:
            assert chooser is not None and upstream is not None
            _respond(model, chooser, upstream)
        elif now >= case.seconds:
            continue
        elif kind == _Kind.REPORT:
            loads = model.loads()
            for known in model.choosers:
                known.receive(loads, now=now)
            schedule(now + case.period_s, _Kind.REPORT)
        elif kind == _Kind.SAMPLE:
            loads = model.loads()
            spreads.append(max(loads.values()) * len(loads) / max(sum(loads.values()), 1))
            schedule(now + SAMPLE_INTERVAL_S, _Kind.SAMPLE)
        else:
            schedule(now + rng.expovariate(rate), _Kind.ARRIVAL)
            sender = model.choosers[rng.randrange(case.choosers)]
            key = rng.choices(keys, weights)[0] if case.warmth else None
            work = LONG_FACTOR if rng.random() < LONG_FRACTION else 1.0
            measured = now >= case.seconds / 4.0
            total += measured
            placement = policy.place(sender, key)
            if placement.verdict is not Verdict.SEND or placement.upstream is None:
                continue
            target = placement.upstream
            modelled = model.modelled_upstreams[target.id]
            if key is None:
                # Without objects all requests take the warm time.
                modelled.warm[""] = None
            end = modelled.run(key or "", now=now, rng=rng, work=work)
            if end is None:
                continue
            sender.own[target.id] += 1
            sender.sent[target.id] = sender.sent.get(target.id, 0) + 1
            schedule(end, _Kind.END, sender, target)
            if measured:
                latencies.append(end - now)
    latencies.sort()
    return EvenResult(
        p50_s=latencies[len(latencies) // 2],
        p99_s=latencies[len(latencies) * 99 // 100],
        in_time=sum(latency <= OBJECTIVE_S for latency in latencies) / total,
        spread=sum(spreads) / len(spreads),
    )


def _respond(model: EvenModel, chooser: Chooser, upstream: Upstream) -> None:
    modelled = model.modelled_upstreams[upstream.id]
    chooser.own[upstream.id] -= 1
    load = modelled.load(model.now)
    own = chooser.own[upstream.id]
    chooser.loads.record(upstream, load + 1, own=own, answered=True, now=model.now)
    stated = modelled.factor * chooser.rng.uniform(1.0 - SPEED_SPREAD, 1.0 + SPEED_SPREAD)
    chooser.speeds.record(upstream, round(100.0 * stated), now=model.now)
    chooser.pool = [*chooser.pool[-15:], (model.now, upstream, load)]
