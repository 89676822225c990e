"""A model of gateways that share too few slots among requests of three priority levels."""

from __future__ import annotations

import random
from bisect import insort
from collections import OrderedDict, deque
from functools import partial

import msgspec

from gooseberryport_core.gateway.model import ObjectKey, UpstreamEntry, UpstreamState
from gooseberryport_core.gateway.placement import (
    MAX_HOMES,
    Placement,
    PlacementView,
    PreferredUpstreams,
    Verdict,
    place_on_preferred,
    queue_factor,
    rank_upstreams,
)
from gooseberryport_core.gateway.refusals import RefusalCause, level_retry_after, retry_after
from gooseberryport_core.gateway.shortage import Level, LevelShares, slot_wait_s
from gooseberryport_core.gateway.upstreams import Upstream
from gooseberryport_core.types import RegionName, ServiceName, UpstreamId, ZoneName
from gooseberryport_standins._policy_baselines import Clock
from gooseberryport_standins._shortage_patterns import Pattern, Policy

SERVICE = ServiceName("service")
LEVELS = 3
SLOTS = 3
MAX_QUEUED = 9
UPSTREAMS = 24
GATEWAYS = 24
OBJECTS = 120
MAX_WARM_OBJECTS = 24
MAX_WAITING = 256
MAX_TRIES = 16
"""Waiting requests that a gateway tries at once at most."""

RETRY_INTERVAL_S = 0.05
"""Time after which a waiting request is tried again at the latest; seconds."""

WAIT_MARGIN = 1.3
"""Warm times that must be left of the objective when a waiting request is sent; 1.0 and 1.7 gave
less or the same."""

WARM_S = 0.3
COLD_S = 0.9
SPREAD_FRACTION = 0.3
LONG_FRACTION = 0.03
LONG_FACTOR = 7.0
TIMEOUT_S = 1.3
DEADLINE_S = 5.0
LATE_WORTH = 0.2
REPORT_INTERVAL_S = 0.2
"""How often a gateway learns the other gateways' requests in flight; seconds."""

CAPACITY_PER_S = UPSTREAMS * SLOTS / (WARM_S * (1.0 + LONG_FRACTION * (LONG_FACTOR - 1.0)))


class Outcome(msgspec.Struct):
    """Requests of one level by their end."""

    in_time: int = 0
    late: int = 0
    rejected: int = 0
    failed: int = 0

    @property
    def count(self) -> int:
        """All requests."""
        return self.in_time + self.late + self.rejected + self.failed

    @property
    def served(self) -> float:
        """Fraction that was served, in time or late."""
        return (self.in_time + self.late) / max(self.count, 1)

    @property
    def worth(self) -> float:
        """Mean worth of a request."""
        return (self.in_time + LATE_WORTH * self.late) / max(self.count, 1)


class _Request(msgspec.Struct, eq=False):
    level: int
    key: ObjectKey
    gateway: int
    first_at: float
    at: float
    returned: bool = False
    since: float | None = None
    latest_start: float = 0.0
    upstream: UpstreamId | None = None


class _WaitingRoom:
    """The waiting requests of a gateway, by level and latest start."""

    def __init__(self) -> None:
        self._waiting: list[_Request] = []
        self._cursor = 0

    def add(self, req: _Request) -> bool:
        """Add a request unless the room is full; return whether it was added."""
        if len(self._waiting) >= MAX_WAITING:
            return False
        insort(self._waiting, req, key=lambda waiting: (waiting.level, waiting.latest_start))
        return True

    def remove(self, req: _Request) -> None:
        """Remove a waiting request."""
        self._waiting.remove(req)

    def first_for(self, upstream: UpstreamId) -> _Request | None:
        """Return the first request that waits for an upstream."""
        return next((req for req in self._waiting if req.upstream == upstream), None)

    def expired(self, now: float) -> list[_Request]:
        """Return the requests that can't be in time any more."""
        return [req for req in self._waiting if req.latest_start <= now]

    def next_tries(self) -> list[_Request]:
        """Return the next few requests to try; each call goes on after the last one."""
        start = self._cursor if self._cursor < len(self._waiting) else 0
        self._cursor = start + MAX_TRIES
        return self._waiting[start : self._cursor]


class _ModelledUpstream:
    def __init__(self, entry: UpstreamEntry) -> None:
        self.upstream = Upstream(entry=entry)
        self.warm: OrderedDict[str, None] = OrderedDict()
        self.busy = 0
        self.waiting: deque[_Request] = deque()
        self.by_gateway = [0] * GATEWAYS


class ShortageModel:
    """Gateways, upstreams and clients under one load pattern and policy.

    Parameters
    ----------
    pattern, policy
        The load pattern, and what the gateways do.
    seed
        Seed of every random choice.
    levels
        Priority levels that the gateways know of; 1 for none.
    restarts_objective
        Whether the latency objective of a request that returns counts from its return.
    """

    def __init__(
        self,
        *,
        pattern: Pattern,
        policy: Policy,
        seed: int,
        levels: int = LEVELS,
        restarts_objective: bool = False,
    ) -> None:
        self.pattern = pattern
        self.policy = policy
        self.levels = levels
        self.restarts_objective = restarts_objective
        self.rng = random.Random(seed)
        self.clock = Clock()
        self.outcomes = [Outcome() for _ in range(LEVELS)]
        self.upstreams = {name: _ModelledUpstream(_entry(name)) for name in _upstream_names()}
        self.reported: list[dict[UpstreamId, int]] = [{} for _ in range(GATEWAYS)]
        self.answered: list[dict[UpstreamId, tuple[float, int]]] = [{} for _ in range(GATEWAYS)]
        self.rooms: list[_WaitingRoom] = [_WaitingRoom() for _ in range(GATEWAYS)]
        self.shares = [LevelShares() for _ in range(GATEWAYS)]
        self._ranked: dict[str, list[Upstream]] = {}

    def run(self) -> list[Outcome]:
        """Run the pattern and return the outcomes by level."""
        self._schedule_arrivals()
        for gateway in range(GATEWAYS):
            offset = gateway / GATEWAYS
            for tick in range(int((self.pattern.seconds + DEADLINE_S) / REPORT_INTERVAL_S)):
                self.clock.at((tick + offset) * REPORT_INTERVAL_S, partial(self._report, gateway))
            for tick in range(int((self.pattern.seconds + DEADLINE_S) / RETRY_INTERVAL_S)):
                self.clock.at((tick + offset) * RETRY_INTERVAL_S, partial(self._check, gateway))
        self.clock.run()
        return self.outcomes

    def _schedule_arrivals(self) -> None:
        pattern = self.pattern
        weights = [1.0 / (number + 15) for number in range(OBJECTS)]
        step_s = 0.01
        for tick in range(int(pattern.seconds / step_s)):
            at = tick * step_s
            loads = [pattern.load * share for share in pattern.shares]
            if pattern.wave_s:
                swing = 1.5 if at % pattern.wave_s < pattern.wave_s / 2 else 0.5
                loads = [load * swing for load in loads]
            if pattern.burst_level is not None and 1 / 3 < at / pattern.seconds < 2 / 3:
                loads[pattern.burst_level] += pattern.burst_load
            for level, load in enumerate(loads):
                mean = load * CAPACITY_PER_S * step_s
                count = int(mean) + (self.rng.random() < mean % 1.0)
                for _ in range(count):
                    number = self.rng.choices(range(OBJECTS), weights)[0]
                    when = at + self.rng.random() * step_s
                    req = _Request(
                        level=level,
                        key=ObjectKey(f"o{number}"),
                        gateway=self.rng.randrange(GATEWAYS),
                        first_at=when,
                        at=when,
                    )
                    self.clock.at(when, partial(self._serve, req))

    def _report(self, gateway: int) -> None:
        self.reported[gateway] = {
            name: sum(modelled.by_gateway) - modelled.by_gateway[gateway]
            for name, modelled in self.upstreams.items()
        }

    def _load(self, gateway: int, upstream: Upstream) -> int:
        own = self.upstreams[upstream.id].by_gateway[gateway]
        answered = self.answered[gateway].get(upstream.id)
        if answered is not None and self.clock.now - answered[0] < 0.1:
            return own + answered[1]
        return own + self.reported[gateway].get(upstream.id, 0)

    def _place(self, req: _Request) -> tuple[Placement, float]:
        now = self.clock.now
        factor = queue_factor(objective_s=self._objective_s(req) - (now - req.at), warm_s=WARM_S)
        if self.policy.thresholds:
            factor = self.shares[req.gateway].factor(
                service=SERVICE, factor=factor, level=self._level(req), now=now
            )
        if req.since is not None:
            slack_s = req.at + self._objective_s(req) - now - WARM_S * WAIT_MARGIN
            factor = min(factor, 1.0 + max(slack_s, 0.0) / WARM_S)
        view = PlacementView(
            zone=ZoneName("zone"),
            region_of=lambda zone: RegionName(zone),
            load_of=lambda upstream: self._load(req.gateway, upstream),
            can_send=lambda upstream: True,
            is_warm=lambda upstream: req.key in self.upstreams[upstream.id].warm,
            is_unused=lambda upstream: not self.upstreams[upstream.id].warm,
            objects_of=lambda upstream: len(self.upstreams[upstream.id].warm),
        )
        ranked = self._ranking(req.key, view)
        homes = [upstream for upstream in ranked if view.is_warm(upstream)]
        placement = place_on_preferred(
            preferred=PreferredUpstreams(
                ranked=ranked[: 2 * MAX_HOMES], homes=homes, is_usable=lambda _: True
            ),
            view=view,
            queue_factor=factor,
        )
        assert placement is not None
        return placement, factor

    def _ranking(self, key: ObjectKey, view: PlacementView) -> list[Upstream]:
        if key not in self._ranked:
            self._ranked[key] = rank_upstreams(
                candidates=[modelled.upstream for modelled in self.upstreams.values()],
                service=SERVICE,
                key=key,
                view=view,
            )
        return self._ranked[key]

    def _objective_s(self, req: _Request) -> float:
        return self.pattern.objectives_s[req.level]

    def _level(self, req: _Request) -> Level:
        return Level(index=min(req.level, self.levels - 1), count=self.levels)

    def _serve(self, req: _Request) -> None:
        now = self.clock.now
        placement, factor = self._place(req)
        assert placement.upstream is not None
        if placement.verdict is Verdict.SEND:
            self._leave(req)
            self._count(req, admitted=True)
            self._send(req, placement.upstream)
        elif req.since is None and not self._wait(req, placement.upstream, now=now):
            self._reject(req, load=placement.load, factor=factor)

    def _wait(self, req: _Request, upstream: Upstream, *, now: float) -> bool:
        req.latest_start = req.at + self._objective_s(req) - WARM_S * WAIT_MARGIN
        if not self.policy.waits or req.latest_start <= now:
            return False
        req.upstream = upstream.id
        if not self.rooms[req.gateway].add(req):
            return False
        req.since = now
        return True

    def _leave(self, req: _Request) -> None:
        if req.since is not None:
            self.rooms[req.gateway].remove(req)
            req.since = None

    def _count(self, req: _Request, *, admitted: bool) -> None:
        self.shares[req.gateway].record(
            service=SERVICE, level=self._level(req), admitted=admitted, now=self.clock.now
        )

    def _reject(self, req: _Request, *, load: int = SLOTS, factor: float = 1.0) -> None:
        now = self.clock.now
        self._leave(req)
        self._count(req, admitted=False)
        if req.returned:
            self._end(req, "rejected")
            return
        left_s = req.first_at + DEADLINE_S - now
        if self.policy.expected_retry:
            delay_s = level_retry_after(
                wait_s=slot_wait_s(load=load, slots=SLOTS, factor=factor, service_s=WARM_S),
                waited_s=now - req.at,
                left_s=req.at + TIMEOUT_S - now,
                draw=self.rng.random(),
            )
        else:
            delay_s = retry_after(reason=RefusalCause.FULL, draw=self.rng.random())
        req.returned = True
        self.clock.at(min(delay_s, left_s / 3), partial(self._return, req))

    def _return(self, req: _Request) -> None:
        req.gateway = self.rng.randrange(GATEWAYS)
        req.at = self.clock.now
        self._serve(req)

    def _send(self, req: _Request, upstream: Upstream) -> None:
        modelled = self.upstreams[upstream.id]
        modelled.by_gateway[req.gateway] += 1
        if modelled.busy < SLOTS:
            self._run(req, modelled)
        elif len(modelled.waiting) < MAX_QUEUED:
            modelled.waiting.append(req)
        else:
            modelled.by_gateway[req.gateway] -= 1
            self._reject(req)

    def _run(self, req: _Request, modelled: _ModelledUpstream) -> None:
        modelled.busy += 1
        took_s = (WARM_S if req.key in modelled.warm else COLD_S) * self.rng.uniform(
            1.0 - SPREAD_FRACTION, 1.0 + SPREAD_FRACTION
        )
        if self.rng.random() < LONG_FRACTION:
            took_s *= LONG_FACTOR
        modelled.warm[req.key] = None
        modelled.warm.move_to_end(req.key)
        if len(modelled.warm) > MAX_WARM_OBJECTS:
            modelled.warm.popitem(last=False)
        self.clock.at(took_s, partial(self._finish, req, modelled))

    def _finish(self, req: _Request, modelled: _ModelledUpstream) -> None:
        now = self.clock.now
        modelled.busy -= 1
        modelled.by_gateway[req.gateway] -= 1
        if now - req.at > TIMEOUT_S:
            self._end(req, "failed")
        else:
            since = req.at if self.restarts_objective else req.first_at
            self._end(req, "in_time" if now - since <= self._objective_s(req) else "late")
        while modelled.waiting and modelled.busy < SLOTS:
            following = modelled.waiting.popleft()
            if now - following.at > TIMEOUT_S:
                modelled.by_gateway[following.gateway] -= 1
                self._end(following, "failed")
                continue
            self._run(following, modelled)
        load = modelled.busy + len(modelled.waiting)
        self.answered[req.gateway][modelled.upstream.id] = (
            now,
            load - modelled.by_gateway[req.gateway],
        )
        first = self.rooms[req.gateway].first_for(modelled.upstream.id)
        if first is not None:
            self._serve(first)

    def _check(self, gateway: int) -> None:
        room = self.rooms[gateway]
        for req in room.expired(self.clock.now):
            self._reject(req)
        for req in room.next_tries():
            self._serve(req)

    def _end(self, req: _Request, outcome: str) -> None:
        counts = self.outcomes[req.level]
        setattr(counts, outcome, getattr(counts, outcome) + 1)


def _upstream_names() -> list[UpstreamId]:
    return [UpstreamId(f"u{number}") for number in range(UPSTREAMS)]


def _entry(name: UpstreamId) -> UpstreamEntry:
    return UpstreamEntry(
        upstream=name,
        service=SERVICE,
        zone=ZoneName("zone"),
        address=("", 0),
        slots=SLOTS,
        state=UpstreamState.READY,
        cold_s=0.0,
        started_ms=0,
        sequence=0,
    )


def replay(
    *,
    pattern: Pattern,
    policy: Policy,
    seeds: range,
    levels: int = LEVELS,
    restarts_objective: bool = False,
) -> list[Outcome]:
    """Run a load pattern under a policy and return the outcomes by level, summed over seeds."""
    totals = [Outcome() for _ in range(LEVELS)]
    for seed in seeds:
        model = ShortageModel(
            pattern=pattern,
            policy=policy,
            seed=seed,
            levels=levels,
            restarts_objective=restarts_objective,
        )
        for total, outcome in zip(totals, model.run(), strict=True):
            for field in Outcome.__struct_fields__:
                setattr(total, field, getattr(total, field) + getattr(outcome, field))
    return totals
