"""Choice of the gateways of an availability zone that its clients are sent to.

Load pattern: a fleet with many more gateways than its clients need. If clients spread over all of
them, each pair of gateway and upstream sees few requests: connections expire before they are used
again, and no gateway sees enough answers to know queues and warm objects. Clients are therefore
sent to as few gateways as carry the load with a reserve, the largest first, and to more of them as
the load grows.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from gooseberryport_core._hashing import rendezvous_weight
from gooseberryport_core.gateway.model import Member

MIN_ENTRY_POINTS = 3
"""Entry points of an availability zone at any load: two of them may crash at once."""

MAX_ENTRY_POINTS = 64
"""Maximum addresses in the answer to a look-up; clients ignore more."""

TARGET_UTILIZATION = 0.25
"""Fraction of the entry points' capacity up to which clients use it: load can grow fourfold while
clients still use the answer of an earlier look-up."""

DEFAULT_CAPACITY_PER_S = 100.0
"""Capacity assumed for a gateway that does not state its own; requests per second."""

DEMAND_HALF_LIFE_S = 10.0
"""Time in which the held peak of a zone's demand halves: clients keep connections for longer than a
lull lasts; seconds."""


def choose_entry_points(members: Iterable[Member], *, demand_per_s: float) -> list[Member]:
    """Return the gateways of one availability zone that its clients are sent to.

    All gateways that know the same members and demand choose the same ones.

    Parameters
    ----------
    members
        Gateways of the zone that serve clients.
    demand_per_s
        Requests per second that the zone's gateways receive.
    """
    ranked = sorted(
        members, key=lambda member: (-_capacity(member), -rendezvous_weight(member.vm, member.zone))
    )
    needed_per_s = demand_per_s / TARGET_UTILIZATION
    chosen: list[Member] = []
    capacity_per_s = 0.0
    for member in ranked[:MAX_ENTRY_POINTS]:
        if len(chosen) >= MIN_ENTRY_POINTS and capacity_per_s >= needed_per_s:
            break
        chosen.append(member)
        capacity_per_s += _capacity(member)
    return chosen


def _capacity(member: Member) -> float:
    return member.capacity_per_s or DEFAULT_CAPACITY_PER_S


class PeakDemand:
    """Holds the peak of a zone's demand, which then decays, so that entry points change rarely."""

    def __init__(self) -> None:
        self._peak_per_s = 0.0
        self._at = 0.0

    def update(self, demand_per_s: float, *, now: float) -> float:
        """Record the current demand, and return the held one; requests per second."""
        decayed = self._peak_per_s * 0.5 ** ((now - self._at) / DEMAND_HALF_LIFE_S)
        self._at = now
        self._peak_per_s = max(demand_per_s, decayed)
        return self._peak_per_s


class RequestRate:
    """Measures requests per second with an exponentially weighted window."""

    WINDOW_S = 2.0

    def __init__(self) -> None:
        self._count = 0.0
        self._at = 0.0

    def record(self, *, now: float) -> None:
        """Count one request."""
        self._decay(now)
        self._count += 1.0

    def per_s(self, *, now: float) -> float:
        """Return the recent rate; requests per second."""
        self._decay(now)
        return self._count / self.WINDOW_S

    def _decay(self, now: float) -> None:
        self._count *= math.exp(-max(now - self._at, 0.0) / self.WINDOW_S)
        self._at = now
