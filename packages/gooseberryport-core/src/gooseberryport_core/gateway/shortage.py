"""Load up to which an upstream takes requests of each priority level.

Load pattern: requests of several priority levels exceed for some seconds what a service's upstreams
can serve. An upstream serves its queue in order of arrival, so an urgent request that arrives
behind less urgent ones is late although slots were available for it. Each level therefore leaves
room in the queue for the levels above it. If the urgent levels alone exceed the capacity, a share
of the slots still goes to the others, and a level that is served more often than a more urgent one
gets less.
"""

from __future__ import annotations

import math
from bisect import bisect_left
from collections.abc import Sequence

import msgspec

from gooseberryport_core.gateway.placement import MAX_QUEUE_FACTOR, MIN_QUEUE_FACTOR
from gooseberryport_core.types import ServiceName

MAX_LEVELS = 8
"""Levels that are distinguished; more priorities than that share levels."""

LOWEST_LEVEL_FACTOR = MIN_QUEUE_FACTOR
"""Load per slot below which each level is admitted. One waiting request keeps a slot busy between
two responses; with free slots only, the model's mean worth was 0.67 instead of 0.70."""

RESERVED_LOAD = 2.0
"""Load per slot that is left to the more urgent levels within the tightest latency objective of a
service. Where that objective allows a longer queue, less urgent requests need not be rejected:
on one day of the transfers a service with a loose objective rejected 965 that could be in time."""

SHARE_HALF_LIFE_S = 5.0
"""Time after which a request weighs half in its level's share; seconds."""

MIN_SHARE_REQUESTS = 3.0
"""Weight of a level's requests from which its share counts."""

FLOOR_FRACTION = 0.35
"""Fraction of the share of all levels below which a level is admitted up to the highest limit of
any route: up to its route's own, one with a tight objective still got 0.24 of the share of all. The
requirement is 0.25, and each gateway knows only its own requests."""

MAX_INVERSION = 0.025
"""Excess over a more urgent level's share from which a level is admitted like the least urgent one.
The requirement is 0.05, and each gateway knows only its own requests."""


class Level(msgspec.Struct, frozen=True):
    """Rank of a request's priority among those of its service.

    Parameters
    ----------
    index
        0 for the most urgent.
    count
        Number of levels of the service; 1 if all its requests are equally urgent.
    """

    index: int = 0
    count: int = 1

    @property
    def is_only(self) -> bool:
        """Whether all requests of the service are equally urgent."""
        return self.count <= 1


def level_of(*, priority: int, priorities: Sequence[int]) -> Level:
    """Return the level of a priority.

    Parameters
    ----------
    priority
        Priority of a request, 0 is the most urgent.
    priorities
        Different priorities of the service, ascending.
    """
    count = len(priorities)
    index = min(bisect_left(priorities, priority), max(count - 1, 0))
    if count > MAX_LEVELS and index > 0:
        index = 1 + (index - 1) * (MAX_LEVELS - 1) // (count - 1)
    count = min(count, MAX_LEVELS)
    return Level(index=index, count=max(count, 1))


def level_factor(*, factor: float, level: Level, tightest: float = 0.0) -> float:
    """Return the load per slot from which an upstream counts as full for a level.

    The steps between the levels are equal: from the route's own limit for the most urgent to what
    leaves `RESERVED_LOAD` for the others, at least `LOWEST_LEVEL_FACTOR`, for the least urgent.

    Parameters
    ----------
    factor
        The limit that follows from the route's latency objective; `placement.queue_factor`.
    level
        Level of the request.
    tightest
        Load per slot up to which a request of the service's tightest route meets its latency
        objective, without an upper bound.
    """
    lowest = max(tightest - RESERVED_LOAD, LOWEST_LEVEL_FACTOR)
    if level.is_only or factor <= lowest:
        return factor
    share = 1.0 - level.index / (level.count - 1)
    return lowest + (factor - lowest) * share


class _Count(msgspec.Struct):
    requests: float = 0.0
    admitted: float = 0.0
    at: float = 0.0

    def decay(self, now: float) -> None:
        weight = 0.5 ** (max(now - self.at, 0.0) / SHARE_HALF_LIFE_S)
        self.requests *= weight
        self.admitted *= weight
        self.at = now

    @property
    def share(self) -> float | None:
        if self.requests < MIN_SHARE_REQUESTS:
            return None
        return self.admitted / self.requests


class LevelShares:
    """Shares of each level's requests that one gateway admitted lately."""

    def __init__(self) -> None:
        self._counts: dict[ServiceName, list[_Count]] = {}

    def __len__(self) -> int:
        return len(self._counts)

    def record(self, *, service: ServiceName, level: Level, admitted: bool, now: float) -> None:
        """Count a request that was sent to an upstream or rejected."""
        counts = self._counts.get(service)
        if counts is None:
            counts = self._counts[service] = [_Count(at=now) for _ in range(MAX_LEVELS)]
        count = counts[level.index]
        count.decay(now)
        count.requests += 1.0
        count.admitted += 1.0 if admitted else 0.0

    def forget_all(self) -> None:
        """Drop all counts; with another configuration the levels may be others."""
        self._counts.clear()

    def factor(
        self,
        *,
        service: ServiceName,
        factor: float,
        level: Level,
        tightest: float = 0.0,
        now: float,
    ) -> float:
        """Return the load per slot from which an upstream counts as full for a request.

        Parameters
        ----------
        service
            Service of the request.
        factor, level, tightest
            As for `level_factor`.
        now
            Monotonic time; seconds.
        """
        limit = level_factor(factor=factor, level=level, tightest=tightest)
        counts = self._counts.get(service)
        if counts is None or level.is_only or level.index == 0:
            return limit
        for count in counts:
            count.decay(now)
        own = counts[level.index].share
        if own is None:
            return limit
        more_urgent = [
            share for count in counts[: level.index] if (share := count.share) is not None
        ]
        if more_urgent and own > min(more_urgent) + MAX_INVERSION:
            return min(factor, LOWEST_LEVEL_FACTOR)
        share_of_all = sum(count.admitted for count in counts) / sum(
            count.requests for count in counts
        )
        return MAX_QUEUE_FACTOR if own < FLOOR_FRACTION * share_of_all else limit


def slot_wait_s(*, load: int, slots: int, factor: float, service_s: float) -> float:
    """Return when an upstream is expected to take a request of a level again; seconds.

    Parameters
    ----------
    load, slots
        Requests that run or wait at the upstream, and its slots.
    factor
        Load per slot from which the upstream counts as full for the level.
    service_s
        Usual time of a request that does not wait; seconds.
    """
    slots = max(slots, 1)
    excess = max(load + 1 - math.ceil(factor * slots), 1)
    return excess * service_s / slots
