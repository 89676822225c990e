"""Preferred upstreams of each object, kept up to date as upstreams join and leave.

Load pattern: hundreds of upstreams, thousands of objects, and a placement for every request. To
score all upstreams for each request costs processor time in proportion to their number. The score
of an upstream for an object never changes, so the best few are kept for each object, and an
upstream that joins or leaves is compared with these alone.
"""

from __future__ import annotations

import bisect
import heapq
import math
from collections import OrderedDict
from collections.abc import Callable, Iterable, Sequence

import msgspec

from gooseberryport_core._hashing import hash_to_unit_interval
from gooseberryport_core.gateway.model import ObjectKey
from gooseberryport_core.gateway.upstreams import Upstream
from gooseberryport_core.types import ServiceName, UpstreamId

MIN_HASH_POINT = 2.0**-53
"""Minimum distance of a hash's point from 0 and 1, where the rendezvous score is undefined."""

PREFERRED_UPSTREAMS = 24
"""Number of upstreams kept for each object: enough to find an idle one among them."""

MIN_PREFERRED_UPSTREAMS = 12
"""Number of kept upstreams below which an object's list is computed again."""

MAX_RANKED_OBJECTS = 4_096
"""Maximum objects whose upstreams are kept; the least recently requested are evicted first."""

WeightOf = Callable[[Upstream], float]


def rendezvous_score(
    *, service: ServiceName, key: ObjectKey, upstream: UpstreamId, weight: float
) -> float:
    """Return an upstream's rendezvous score for an object; higher is better."""
    point = hash_to_unit_interval(f"{service}|{key}|{upstream}")
    return -weight / math.log(min(max(point, MIN_HASH_POINT), 1.0 - MIN_HASH_POINT))


def rank_upstreams(
    *, upstreams: Iterable[Upstream], service: ServiceName, key: ObjectKey, weight_of: WeightOf
) -> list[Upstream]:
    """Return upstreams in order of preference for an object.

    Rendezvous hashing by weight: when an upstream joins or leaves, only the objects that it gains
    or loses move.

    Parameters
    ----------
    upstreams
        Upstreams to rank.
    service, key
        Service and object.
    weight_of
        Returns an upstream's weight, which its share of the objects is proportional to.
    """
    return sorted(
        upstreams,
        key=lambda upstream: rendezvous_score(
            service=service, key=key, upstream=upstream.id, weight=weight_of(upstream)
        ),
        reverse=True,
    )


class _Ranked(msgspec.Struct):
    """An object's preferred upstreams: negated scores in ascending order, and upstreams beside.

    Parameters
    ----------
    is_complete
        Whether the list contains every upstream of the service.
    """

    scores: list[float]
    upstreams: list[Upstream]
    is_complete: bool


class ObjectRankings:
    """Keeps the preferred upstreams of the objects that were requested recently.

    Parameters
    ----------
    weight_of
        Returns an upstream's weight.
    """

    def __init__(self, *, weight_of: WeightOf) -> None:
        self._weight_of = weight_of
        self._ranked: dict[ServiceName, OrderedDict[ObjectKey, _Ranked]] = {}

    def preferred(
        self,
        *,
        service: ServiceName,
        key: ObjectKey,
        upstreams_of: Callable[[ServiceName], Sequence[Upstream]],
    ) -> Sequence[Upstream]:
        """Return an object's preferred upstreams in order, whatever their state.

        Parameters
        ----------
        service, key
            Service and object.
        upstreams_of
            Returns all upstreams of a service; called if the object's list is not kept.
        """
        objects = self._ranked.setdefault(service, OrderedDict())
        ranked = objects.get(key)
        if ranked is None:
            ranked = objects[key] = self._rank(service, key, upstreams_of(service))
            if len(objects) > MAX_RANKED_OBJECTS:
                objects.popitem(last=False)
        else:
            objects.move_to_end(key)
        return ranked.upstreams

    def in_order(
        self, *, service: ServiceName, key: ObjectKey, upstreams: Iterable[Upstream]
    ) -> list[Upstream]:
        """Return some upstreams in order of preference for an object."""
        return rank_upstreams(
            upstreams=upstreams, service=service, key=key, weight_of=self._weight_of
        )

    def add(self, upstream: Upstream) -> None:
        """Add an upstream that joined to the lists in which it ranks high enough."""
        service = upstream.entry.service
        for key, ranked in self._ranked.get(service, {}).items():
            score = -self._score(service, key, upstream)
            index = bisect.bisect(ranked.scores, score)
            if index == len(ranked.scores) and not ranked.is_complete:
                continue
            ranked.scores.insert(index, score)
            ranked.upstreams.insert(index, upstream)
            if len(ranked.scores) > PREFERRED_UPSTREAMS:
                ranked.is_complete = False
                ranked.scores.pop()
                ranked.upstreams.pop()

    def remove(self, upstream: Upstream) -> None:
        """Remove an upstream that left; lists that become too short are computed again later."""
        objects = self._ranked.get(upstream.entry.service, OrderedDict())
        short: list[ObjectKey] = []
        for key, ranked in objects.items():
            for index, known in enumerate(ranked.upstreams):
                if known.id == upstream.id:
                    del ranked.scores[index]
                    del ranked.upstreams[index]
                    break
            if len(ranked.scores) < MIN_PREFERRED_UPSTREAMS and not ranked.is_complete:
                short.append(key)
        for key in short:
            del objects[key]

    def clear(self) -> None:
        """Forget all lists, because weights have changed."""
        self._ranked.clear()

    def _rank(self, service: ServiceName, key: ObjectKey, upstreams: Sequence[Upstream]) -> _Ranked:
        scored = [(self._score(service, key, upstream), upstream) for upstream in upstreams]
        best = heapq.nlargest(PREFERRED_UPSTREAMS, scored, key=lambda pair: pair[0])
        return _Ranked(
            scores=[-score for score, _ in best],
            upstreams=[upstream for _, upstream in best],
            is_complete=len(scored) <= PREFERRED_UPSTREAMS,
        )

    def _score(self, service: ServiceName, key: ObjectKey, upstream: Upstream) -> float:
        return rendezvous_score(
            service=service, key=key, upstream=upstream.id, weight=self._weight_of(upstream)
        )
