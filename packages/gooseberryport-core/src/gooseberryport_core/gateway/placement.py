"""Where a request goes, or whether it is refused.

Load pattern: upstreams work several times faster on objects that they handled lately, and demand
is over what cold upstreams carry. A request that moves to another upstream because its own is busy
holds a slot there for the cold time, so each move makes the next one likelier. Objects therefore
have stable homes, waiting at a home is bounded, and what does not fit is refused at once.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from enum import Enum

import msgspec
import xxhash

from gooseberryport_core.gateway.model import ObjectKey
from gooseberryport_core.gateway.upstreams import Upstream
from gooseberryport_core.types import RegionName, ServiceName, UpstreamId, ZoneName

HASH_RANGE = 2.0**64

QUEUE_FACTOR = 1.5
"""Running and waiting requests at a home, over its slots, from which requests are refused."""

FAILING_SHARE = 0.4
"""Share of failed answers from which an upstream is only used if no other is left."""

RETRY_AFTER_MIN_S = 0.2
RETRY_AFTER_MAX_S = 0.5
"""Bounds of the time after which a refused client is told to return; seconds."""


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
    """

    verdict: Verdict
    upstream: Upstream | None = None
    load: int = 0


def rank(*, candidates: Sequence[Upstream], service: ServiceName, key: ObjectKey) -> list[Upstream]:
    """Order upstreams by how well they suit an object, the same at every gateway.

    Weighted rendezvous hashing by slots: when an upstream joins or leaves, only the objects that
    it gains or loses move.
    """

    def score(each: Upstream) -> float:
        return home_score(
            service=service, key=key, upstream=each.id, weight=float(max(each.entry.slots, 1))
        )

    return sorted(candidates, key=score, reverse=True)


def home_score(
    *, service: ServiceName, key: ObjectKey, upstream: UpstreamId, weight: float
) -> float:
    """Return an upstream's rendezvous score for an object; higher is better."""
    digest = xxhash.xxh3_64_intdigest(f"{service}|{key}|{upstream}".encode())
    share = (digest + 0.5) / HASH_RANGE
    return -weight / math.log(min(share, 1.0 - 2.0**-53))


def place(
    *,
    candidates: Sequence[Upstream],
    service: ServiceName,
    key: ObjectKey | None,
    load_of: Callable[[Upstream], int],
    may_start: Callable[[Upstream], bool],
    zone: ZoneName,
    region_of: Callable[[ZoneName], RegionName],
    tried: frozenset[UpstreamId] = frozenset(),
) -> Placement:
    """Decide where a request goes.

    Parameters
    ----------
    candidates
        Upstreams that may serve it.
    service, key
        Service and object of the request.
    load_of
        Requests that run or wait at an upstream, as far as known.
    may_start
        Whether an upstream may get a request now; cold ones are bounded.
    zone
        Availability zone of this gateway.
    region_of
        Region of an availability zone.
    tried
        Upstreams that the request was sent to before.
    """
    open_ones = [each for each in candidates if each.id not in tried]
    if not open_ones:
        return Placement(verdict=Verdict.NONE)
    sound = [each for each in open_ones if each.failures < FAILING_SHARE]
    pool = sound or open_ones
    if key is None:
        return _place_anywhere(
            pool=pool, load_of=load_of, may_start=may_start, zone=zone, region_of=region_of
        )
    for each in rank(candidates=pool, service=service, key=key):
        if not may_start(each):
            continue
        load = load_of(each)
        if load >= each.entry.slots * QUEUE_FACTOR:
            return Placement(verdict=Verdict.FULL, upstream=each, load=load)
        return Placement(verdict=Verdict.SEND, upstream=each, load=load)
    return Placement(verdict=Verdict.FULL)


def _place_anywhere(
    *,
    pool: Sequence[Upstream],
    load_of: Callable[[Upstream], int],
    may_start: Callable[[Upstream], bool],
    zone: ZoneName,
    region_of: Callable[[ZoneName], RegionName],
) -> Placement:
    def cost(each: Upstream) -> tuple[float, int]:
        distance = 0
        if each.entry.zone != zone:
            distance = 1 if region_of(each.entry.zone) == region_of(zone) else 2
        return (load_of(each) / max(each.entry.slots, 1) + 0.25 * distance, distance)

    ready = [each for each in pool if may_start(each)]
    if not ready:
        return Placement(verdict=Verdict.FULL)
    best = min(ready, key=cost)
    load = load_of(best)
    if load >= best.entry.slots * QUEUE_FACTOR:
        return Placement(verdict=Verdict.FULL, upstream=best, load=load)
    return Placement(verdict=Verdict.SEND, upstream=best, load=load)


def retry_after(*, draw: float) -> float:
    """Return after how many seconds a refused client may find room.

    Parameters
    ----------
    draw
        Random number in [0, 1), which spreads those who were refused together.
    """
    return RETRY_AFTER_MIN_S + (RETRY_AFTER_MAX_S - RETRY_AFTER_MIN_S) * draw
