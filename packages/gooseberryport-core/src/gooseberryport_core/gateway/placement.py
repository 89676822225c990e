"""Placement: the choice of the upstream that handles a request, or the decision to refuse it.

Load pattern: upstreams are several times faster for objects that they handled recently, and the
load exceeds what cold upstreams can handle. A request that moves to another upstream because its
home is busy occupies a slot there for the longer cold time, so each move makes the next one more
likely. Objects therefore stay where they are warm, the wait there is limited by the latency
objective, another upstream is warmed only while it is idle, and requests beyond that are refused
at once.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from enum import Enum
from itertools import islice

import msgspec

from gooseberryport_core.gateway import ranking
from gooseberryport_core.gateway.even_selection import (
    EvenLoad,
    assess,
    choose,
    choose_warm,
    queue_limit,
    sample,
)
from gooseberryport_core.gateway.model import ObjectKey
from gooseberryport_core.gateway.upstreams import Upstream
from gooseberryport_core.types import RegionName, ServiceName, UpstreamId, ZoneName

LOCAL_REGION_WEIGHT = 4.0
"""Weight of a slot in the gateway's region, relative to one in another region, when an object's
home is chosen."""

INITIAL_HOME_CANDIDATES = 2
"""Highest-ranked upstreams among which a cold object's first home is chosen by load."""

LOCAL_CAPACITY_FRACTION = 0.8
"""Fraction of the mean slots of a region from which a region has the capacity for its clients."""

MAX_HOMES = 3
"""Maximum number of upstreams on which an object is warmed to avoid refusing its requests."""

NEW_UPSTREAM_RANKS = 3
"""Highest ranks for an object within which a new upstream receives it as its first object."""

IDLE_LOAD_FRACTION = 0.1
"""Load per slot up to which an upstream is idle enough to warm another object."""

MAX_ROOM_RANKS = 24
"""Highest ranks for an object among which an upstream with room for it is looked for."""

OBJECTIVE_FACTOR = 1.1
"""Factor on the latency objective when queues are sized, since load reports are slightly stale."""

MIN_QUEUE_FACTOR = 1.25
MAX_QUEUE_FACTOR = 2.5
"""Bounds of the load per slot at which requests are refused; upstreams refuse at four anyway."""

DISTANCE_PENALTY = 0.25
"""Load per slot that a step of distance (another zone, another region) counts as much as."""

FAILING_FRACTION = 0.7
"""Fraction of failed answers from which an upstream is used only if no other is left."""


class Verdict(Enum):
    """Outcome of the placement of a request."""

    SEND = "send"
    FULL = "full"
    """No upstream that may serve the request can finish it in time."""

    NONE = "none"
    """No upstream may serve the request."""


class Placement(msgspec.Struct, frozen=True):
    """Placement of one request.

    Parameters
    ----------
    verdict
        Whether the request is sent or refused.
    upstream
        Upstream that the request is sent to, with `Verdict.SEND`.
    load
        Estimated number of requests that run or wait at the upstream.
    warm
        Whether the upstream is known to have handled the object recently.
    """

    verdict: Verdict
    upstream: Upstream | None = None
    load: int = 0
    warm: bool = False


class PlacementView(msgspec.Struct, frozen=True):
    """State of the upstreams, as known to a gateway, that a placement depends on.

    Parameters
    ----------
    zone
        Availability zone of this gateway.
    region_of
        Returns the region of an availability zone.
    load_of
        Returns the number of requests that run or wait at an upstream.
    can_send
        Returns whether an upstream may receive a request now; the rate to cold ones is limited.
    is_warm
        Returns whether an upstream handled the request's object recently.
    is_unused
        Returns whether an upstream is not known to have handled any object.
    objects_of
        Returns the number of objects that an upstream handled recently.
    has_room
        Returns whether an upstream can handle another object without evicting one in use.
    prefers_local
        Whether this region has the capacity for its clients' requests, so that objects get their
        first home there.
    even
        Estimates by which requests are spread; None if the loads are used as they were reported.
    """

    zone: ZoneName
    region_of: Callable[[ZoneName], RegionName]
    load_of: Callable[[Upstream], int]
    can_send: Callable[[Upstream], bool]
    is_warm: Callable[[Upstream], bool]
    is_unused: Callable[[Upstream], bool]
    objects_of: Callable[[Upstream], int] = lambda _: 0
    has_room: Callable[[Upstream], bool] = lambda _: True
    prefers_local: bool = False
    even: EvenLoad | None = None

    def is_local(self, upstream: Upstream) -> bool:
        """Return whether an upstream is in this gateway's region."""
        return self.region_of(upstream.entry.zone) == self.region_of(self.zone)

    def lasting_factor_of(self, upstream: Upstream) -> float:
        """Return how long work takes at an upstream in the mean, if that counts."""
        return self.even.lasting_factor_of(upstream) if self.even is not None else 1.0


def upstream_weight(upstream: Upstream, *, local: bool) -> float:
    """Return an upstream's weight when an object's home is chosen.

    Each object is requested from one region, so upstreams there weigh more.
    """
    return max(upstream.entry.slots, 1) * (LOCAL_REGION_WEIGHT if local else 1.0)


def rank_upstreams(
    *, candidates: Sequence[Upstream], service: ServiceName, key: ObjectKey, view: PlacementView
) -> list[Upstream]:
    """Return upstreams in order of preference for an object, the same at all gateways of a region.

    All candidates are scored; `ranking.ObjectRankings` keeps the best few of each object.
    """
    return ranking.rank_upstreams(
        upstreams=candidates,
        service=service,
        key=key,
        weight_of=lambda upstream: upstream_weight(upstream, local=view.is_local(upstream)),
    )


class PreferredUpstreams(msgspec.Struct, frozen=True):
    """The few upstreams that an object's request may be placed on.

    Parameters
    ----------
    ranked
        Highest-ranked upstreams for the object, in order, whatever their state.
    homes
        Upstreams where the object is warm, in order of rank, whatever their state.
    is_usable
        Returns whether an upstream may serve the request.
    """

    ranked: Sequence[Upstream]
    homes: Sequence[Upstream]
    is_usable: Callable[[Upstream], bool]


def place_on_preferred(
    *,
    preferred: PreferredUpstreams,
    view: PlacementView,
    queue_factor: float,
    avoided: frozenset[UpstreamId] = frozenset(),
) -> Placement | None:
    """Choose one of an object's preferred upstreams; return None if none of them can be used.

    The cost does not depend on the number of upstreams. If none can be used, `place_request`
    decides among all of them.

    Parameters
    ----------
    preferred
        Upstreams to choose from.
    view, queue_factor, avoided
        As for `place_request`.
    """

    def can_use(upstream: Upstream) -> bool:
        return (
            upstream.id not in avoided
            and upstream.failure_fraction < FAILING_FRACTION
            and preferred.is_usable(upstream)
            and view.can_send(upstream)
        )

    homes = [upstream for upstream in preferred.homes if can_use(upstream)]
    ranked = [upstream for upstream in preferred.ranked if can_use(upstream)]
    if not homes and not ranked:
        return None
    return _place_ranked(ranked=ranked, homes=homes, view=view, queue_factor=queue_factor)


def place_request(
    *,
    candidates: Sequence[Upstream],
    service: ServiceName,
    key: ObjectKey | None,
    view: PlacementView,
    queue_factor: float,
    avoided: frozenset[UpstreamId] = frozenset(),
) -> Placement:
    """Choose the upstream for a request, or refuse the request.

    Parameters
    ----------
    candidates
        Upstreams that may serve the request.
    service, key
        Service and object of the request.
    view
        State of the upstreams.
    queue_factor
        Running and waiting requests per slot of an upstream from which the request would miss its
        latency objective there.
    avoided
        Upstreams at which the request failed before.
    """
    remaining = [upstream for upstream in candidates if upstream.id not in avoided]
    if not remaining:
        return Placement(verdict=Verdict.NONE)
    healthy = [upstream for upstream in remaining if upstream.failure_fraction < FAILING_FRACTION]
    sendable = [upstream for upstream in healthy or remaining if view.can_send(upstream)]
    if not sendable:
        return Placement(verdict=Verdict.FULL)
    if key is None:
        return _nearest(candidates=sendable, view=view, queue_factor=queue_factor)
    ranked = rank_upstreams(candidates=sendable, service=service, key=key, view=view)
    homes = [upstream for upstream in ranked if view.is_warm(upstream)]
    return _place_ranked(ranked=ranked, homes=homes, view=view, queue_factor=queue_factor)


def _place_ranked(
    *,
    ranked: Sequence[Upstream],
    homes: Sequence[Upstream],
    view: PlacementView,
    queue_factor: float,
) -> Placement:
    if not homes:
        return _first_home(ranked=ranked, view=view, queue_factor=queue_factor)
    if len(homes) < MAX_HOMES:
        # A new upstream receives its first object from those for which it ranks high.
        for upstream in ranked[:NEW_UPSTREAM_RANKS]:
            if view.is_unused(upstream) and view.is_local(upstream):
                return _send(upstream, view=view)
    if view.even is not None:
        placement = _warm_evenly(homes, even=view.even, view=view, queue_factor=queue_factor)
    else:
        for upstream in homes:
            if view.load_of(upstream) < upstream.entry.slots:
                return _send(upstream, view=view)
        placement = _least_loaded(candidates=homes, view=view, queue_factor=queue_factor)
    if placement.verdict is Verdict.FULL and len(homes) < MAX_HOMES:
        idle = _first_idle(ranked, view=view)
        if idle is not None:
            return _send(idle, view=view)
    return placement


def _warm_evenly(
    homes: Sequence[Upstream], *, even: EvenLoad, view: PlacementView, queue_factor: float
) -> Placement:
    candidates = [assess(upstream, even=even, queue_factor=queue_factor) for upstream in homes]
    chosen = choose_warm(candidates, draw=even.draw())
    if chosen.is_full:
        return Placement(
            verdict=Verdict.FULL, upstream=chosen.upstream, load=view.load_of(chosen.upstream)
        )
    return _send(chosen.upstream, view=view)


def _first_home(
    *, ranked: Sequence[Upstream], view: PlacementView, queue_factor: float
) -> Placement:
    """Choose the upstream that handles a cold object's first request.

    Load pattern: many objects are placed in the first seconds, before load shows where requests
    accumulate. Of two candidates the one with fewer objects is chosen, which spreads objects far
    more evenly than the hash alone.
    """
    candidates = ranked[:INITIAL_HOME_CANDIDATES]
    if view.prefers_local:
        local = [upstream for upstream in ranked if view.is_local(upstream)]
        candidates = local[:INITIAL_HOME_CANDIDATES] or candidates
    if not any(view.has_room(upstream) for upstream in candidates):
        candidates = _with_room(ranked, regions_of=candidates, view=view) or candidates
    chosen = min(
        candidates,
        key=lambda upstream: (
            _queued_load(upstream, view=view) * view.lasting_factor_of(upstream),
            not view.has_room(upstream),
            view.objects_of(upstream) / upstream.entry.slots * view.lasting_factor_of(upstream),
        ),
    )
    factor = queue_limit(queue_factor=queue_factor, time_factor=view.lasting_factor_of(chosen))
    placement = _send_unless_full(chosen, view=view, queue_factor=factor)
    if placement.verdict is Verdict.FULL:
        idle = _first_idle(ranked, view=view)
        if idle is not None:
            return _send(idle, view=view)
    return placement


def _with_room(
    ranked: Sequence[Upstream], *, regions_of: Sequence[Upstream], view: PlacementView
) -> list[Upstream]:
    """Return the best ranks with room for another object, in the regions of given upstreams."""
    regions = {view.region_of(upstream.entry.zone) for upstream in regions_of}
    allowed = (
        upstream
        for upstream in ranked[:MAX_ROOM_RANKS]
        if view.region_of(upstream.entry.zone) in regions and view.has_room(upstream)
    )
    return list(islice(allowed, INITIAL_HOME_CANDIDATES))


def has_local_capacity(*, slots_by_region: Mapping[RegionName, int], region: RegionName) -> bool:
    """Return whether a region has about its share of a service's slots, or more.

    Load pattern: regions of similar demand but different size. Bytes between regions are costly, so
    objects are placed where their clients are, unless that region is too small for them.

    Parameters
    ----------
    slots_by_region
        Slots of the usable upstreams of each region.
    region
        Region of the clients.
    """
    if not slots_by_region:
        return False
    mean = sum(slots_by_region.values()) / len(slots_by_region)
    return slots_by_region.get(region, 0) >= mean * LOCAL_CAPACITY_FRACTION


def _first_idle(ranked: Sequence[Upstream], *, view: PlacementView) -> Upstream | None:
    """Return the first upstream that is idle enough to warm another object.

    One that would evict an object in use is returned only if no other one is idle, since the
    request would be refused otherwise.
    """
    first: Upstream | None = None
    for rank, upstream in enumerate(ranked):
        if first is not None and rank >= MAX_ROOM_RANKS:
            break
        if view.load_of(upstream) <= upstream.entry.slots * IDLE_LOAD_FRACTION:
            if view.has_room(upstream):
                return upstream
            first = first or upstream
    return first


def _send(upstream: Upstream, *, view: PlacementView) -> Placement:
    return Placement(
        verdict=Verdict.SEND,
        upstream=upstream,
        load=view.load_of(upstream),
        warm=view.is_warm(upstream),
    )


def _send_unless_full(upstream: Upstream, *, view: PlacementView, queue_factor: float) -> Placement:
    load = view.load_of(upstream)
    if load >= upstream.entry.slots * queue_factor:
        return Placement(verdict=Verdict.FULL, upstream=upstream, load=load)
    return _send(upstream, view=view)


def _least_loaded(
    *, candidates: Sequence[Upstream], view: PlacementView, queue_factor: float
) -> Placement:
    """Choose the first upstream with a free slot, or else the one with the lowest load per slot."""
    chosen = min(candidates, key=lambda upstream: _queued_load(upstream, view=view))
    return _send_unless_full(chosen, view=view, queue_factor=queue_factor)


def _queued_load(upstream: Upstream, *, view: PlacementView) -> float:
    """Return an upstream's load per slot, or 0 if a slot is free."""
    load = view.load_of(upstream)
    return 0.0 if load < upstream.entry.slots else load / upstream.entry.slots


def _nearest(
    *, candidates: Sequence[Upstream], view: PlacementView, queue_factor: float
) -> Placement:
    """Choose the upstream with the lowest load per slot, with a penalty for distance."""

    def distance_of(upstream: Upstream) -> int:
        if upstream.entry.zone == view.zone:
            return 0
        return 1 if view.is_local(upstream) else 2

    def cost(upstream: Upstream) -> tuple[float, int]:
        distance = distance_of(upstream)
        load_per_slot = view.load_of(upstream) / upstream.entry.slots
        return (load_per_slot + DISTANCE_PENALTY * distance, distance)

    if view.even is not None:
        nearest = choose(
            [
                assess(
                    upstream,
                    even=view.even,
                    queue_factor=queue_factor,
                    penalty=DISTANCE_PENALTY * distance_of(upstream),
                )
                for upstream in sample(candidates, draw=view.even.draw())
            ],
            draw=view.even.draw(),
        )
        if not nearest.is_full:
            return _send(nearest.upstream, view=view)
    return _send_unless_full(min(candidates, key=cost), view=view, queue_factor=queue_factor)


def queue_factor(*, objective_s: float, warm_s: float) -> float:
    """Return the load per slot up to which a request still meets its latency objective.

    Load pattern: a queue at a warm home. Each waiting request occupies a slot for the warm time, so
    a request can wait for what remains of its objective after its own processing time.

    Parameters
    ----------
    objective_s
        Latency objective, less the time that has passed; seconds.
    warm_s
        Time for a request whose object is warm, network round trip included; seconds.
    """
    return min(
        max(load_in_time(objective_s=objective_s, warm_s=warm_s), MIN_QUEUE_FACTOR),
        MAX_QUEUE_FACTOR,
    )


def load_in_time(*, objective_s: float, warm_s: float) -> float:
    """Return the load per slot at which a request just meets its objective, without bounds.

    Parameters
    ----------
    objective_s, warm_s
        As for `queue_factor`.
    """
    slack_s = objective_s * OBJECTIVE_FACTOR - warm_s
    return 1.0 + slack_s / max(warm_s, 0.001)
