"""Where a request goes, or whether it is refused.

Load pattern: upstreams work several times faster on objects that they handled lately, and demand
is over what cold upstreams carry. A request that moves to another upstream because its own is busy
holds a slot there for the cold time, so each move makes the next one likelier. Objects therefore
stay where they are warm, waiting there is bounded by the latency objective, another upstream is
warmed only while it is idle, and what does not fit is refused at once.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from enum import Enum

import msgspec

from gooseberryport_core._hashing import hash_point
from gooseberryport_core.gateway.model import ObjectKey
from gooseberryport_core.gateway.upstreams import Upstream
from gooseberryport_core.types import RegionName, ServiceName, UpstreamId, ZoneName

SMALLEST_POINT = 2.0**-53
"""Distance that a hash's point keeps from 0 and 1, where its logarithm can't be used."""

REGION_BIAS = 4.0
"""How much more often an object's home lies in its clients' region than the slots there say."""

FIRST_HOMES = 2
"""Upstreams among which a cold object's first home is chosen by load."""

MAX_HOMES = 3
"""Upstreams that an object is warmed on rather than refuse its requests."""

JOIN_RANKS = 3
"""Ranks of an object's upstreams among which one that joined gets its first object."""

IDLE_SHARE = 0.1
"""Load over slots up to which an upstream is idle enough to warm another object."""

OBJECTIVE_SHARE = 1.1
"""Part of the latency objective that is planned with; load reports are a little old."""

MIN_QUEUE_FACTOR = 1.25
MAX_QUEUE_FACTOR = 2.5
"""Bounds of load over slots at which requests are refused; upstreams themselves refuse at four."""

FAILING_SHARE = 0.7
"""Share of failed answers from which an upstream is only used if no other is left."""


class Verdict(Enum):
    """What is decided of a request."""

    SEND = "send"
    FULL = "full"
    """Its homes have no room for it in time."""

    NONE = "none"
    """No upstream may serve it."""


class Placement(msgspec.Struct, frozen=True):
    """A decision on one request.

    Parameters
    ----------
    verdict
        What is decided.
    upstream
        Where the request goes, with `Verdict.SEND`.
    load
        Requests that were believed to run or wait there.
    warm
        Whether the upstream handled the object lately, as far as known.
    """

    verdict: Verdict
    upstream: Upstream | None = None
    load: int = 0
    warm: bool = False


class PlacementView(msgspec.Struct, frozen=True):
    """What a gateway knows at the moment of a decision.

    Parameters
    ----------
    zone
        Availability zone of this gateway.
    region_of
        Region of an availability zone.
    load_of
        Requests that run or wait at an upstream.
    may_start
        Whether an upstream may get a request now; cold ones are bounded.
    warm
        Whether an upstream handled the request's object lately.
    unused
        Whether an upstream handled no object at all, as far as known.
    """

    zone: ZoneName
    region_of: Callable[[ZoneName], RegionName]
    load_of: Callable[[Upstream], int]
    can_send: Callable[[Upstream], bool]
    warm: Callable[[Upstream], bool]
    unused: Callable[[Upstream], bool]

    def near(self, upstream: Upstream) -> bool:
        """Tell whether an upstream is in this gateway's region."""
        return self.region_of(upstream.entry.zone) == self.region_of(self.zone)


def rank_upstreams(
    *, candidates: Sequence[Upstream], service: ServiceName, key: ObjectKey, view: PlacementView
) -> list[Upstream]:
    """Order upstreams by how well they suit an object, the same at every gateway of a region.

    Weighted rendezvous hashing by slots: when an upstream joins or leaves, only the objects that
    it gains or loses move. Objects are asked for from one region, so upstreams there weigh more.
    """

    def score(each: Upstream) -> float:
        weight = max(each.entry.slots, 1) * (REGION_BIAS if view.near(each) else 1.0)
        return home_score(service=service, key=key, upstream=each.id, weight=weight)

    return sorted(candidates, key=score, reverse=True)


def home_score(
    *, service: ServiceName, key: ObjectKey, upstream: UpstreamId, weight: float
) -> float:
    """Return an upstream's rendezvous score for an object; higher is better."""
    point = hash_point(f"{service}|{key}|{upstream}")
    return -weight / math.log(min(max(point, SMALLEST_POINT), 1.0 - SMALLEST_POINT))


def place_request(
    *,
    candidates: Sequence[Upstream],
    service: ServiceName,
    key: ObjectKey | None,
    view: PlacementView,
    queue_factor: float,
    avoided: frozenset[UpstreamId] = frozenset(),
) -> Placement:
    """Decide where a request goes.

    Parameters
    ----------
    candidates
        Upstreams that may serve it.
    service, key
        Service and object of the request.
    view
        State that decides.
    queue_factor
        Running and waiting requests, over an upstream's slots, from which the request would be
        late there.
    avoided
        Upstreams that failed the request before.
    """
    open_ones = [each for each in candidates if each.id not in avoided]
    if not open_ones:
        return Placement(verdict=Verdict.NONE)
    sound = [each for each in open_ones if each.failure_fraction < FAILING_SHARE]
    startable = [each for each in sound or open_ones if view.can_send(each)]
    if not startable:
        return Placement(verdict=Verdict.FULL)
    if key is None:
        return _nearest(pool=startable, view=view, queue_factor=queue_factor)
    ranked = rank_upstreams(candidates=startable, service=service, key=key, view=view)
    homes = [each for each in ranked if view.warm(each)]
    if not homes:
        return _least_loaded(pool=ranked[:FIRST_HOMES], view=view, queue_factor=queue_factor)
    if len(homes) < MAX_HOMES:
        # An upstream that joins takes its first object from those that rank it high.
        for each in ranked[:JOIN_RANKS]:
            if view.unused(each) and view.near(each):
                return _send(each, view=view)
    for each in homes:
        if view.load_of(each) < each.entry.slots:
            return _send(each, view=view)
    placement = _least_loaded(pool=homes, view=view, queue_factor=queue_factor)
    if placement.verdict is Verdict.FULL and len(homes) < MAX_HOMES:
        idle = _idle(ranked, view=view)
        if idle is not None:
            return _send(idle, view=view)
    return placement


def _idle(ranked: Sequence[Upstream], *, view: PlacementView) -> Upstream | None:
    """Return the first upstream that is idle enough to warm another object."""
    for each in ranked:
        if view.load_of(each) <= each.entry.slots * IDLE_SHARE:
            return each
    return None


def _send(upstream: Upstream, *, view: PlacementView) -> Placement:
    return Placement(
        verdict=Verdict.SEND,
        upstream=upstream,
        load=view.load_of(upstream),
        warm=view.warm(upstream),
    )


def _send_unless_full(upstream: Upstream, *, view: PlacementView, queue_factor: float) -> Placement:
    load = view.load_of(upstream)
    if load >= upstream.entry.slots * queue_factor:
        return Placement(verdict=Verdict.FULL, upstream=upstream, load=load)
    return _send(upstream, view=view)


def _least_loaded(
    *, pool: Sequence[Upstream], view: PlacementView, queue_factor: float
) -> Placement:
    """Choose the first upstream with a free slot, else the one with the shortest queue."""

    def queue(each: Upstream) -> float:
        load = view.load_of(each)
        return 0.0 if load < each.entry.slots else load / each.entry.slots

    return _send_unless_full(min(pool, key=queue), view=view, queue_factor=queue_factor)


def _nearest(*, pool: Sequence[Upstream], view: PlacementView, queue_factor: float) -> Placement:
    def cost(each: Upstream) -> tuple[float, int]:
        distance = 0
        if each.entry.zone != view.zone:
            distance = 1 if view.near(each) else 2
        return (view.load_of(each) / each.entry.slots + 0.25 * distance, distance)

    return _send_unless_full(min(pool, key=cost), view=view, queue_factor=queue_factor)


def queue_factor(*, objective_s: float, warm_s: float) -> float:
    """Return up to which load over slots a request still meets its latency objective.

    Load pattern: a queue at a warm home. Each waiting request takes the warm time of a slot, so
    a request may wait as long as its objective leaves after its own work.

    Parameters
    ----------
    objective_s
        Latency objective, less the time that has passed; seconds.
    warm_s
        Time of a request whose object is warm, travel included; seconds.
    """
    slack_s = objective_s * OBJECTIVE_SHARE - warm_s
    return min(max(1.0 + slack_s / max(warm_s, 0.001), MIN_QUEUE_FACTOR), MAX_QUEUE_FACTOR)
