"""State of one owned pool: its upstreams, their slots and the tickets that wait for them."""

from __future__ import annotations

import math
import random

from gooseberryport_core._drains import Drains
from gooseberryport_core._health import PoolHealth
from gooseberryport_core._queue import DeadlineQueue
from gooseberryport_core._service_time import ServiceTime
from gooseberryport_core._slots import Slots
from gooseberryport_core.config import Config, slots_of
from gooseberryport_core.types import PoolId, UpstreamId

AVOID_PENALTY = 1.0
"""Penalty of an upstream that is used only if no other has a free slot."""


class Pool:
    """An owned pool, as its owner sees it.

    Parameters
    ----------
    pool_id
        Identity of the pool.
    rng
        Source of jitter.
    """

    def __init__(self, *, pool_id: PoolId, rng: random.Random) -> None:
        self.pool_id = pool_id
        self.queue = DeadlineQueue(limit=0)
        self.slots = Slots()
        self.service_time = ServiceTime()
        self.health = PoolHealth(rng=rng)
        self.leaving: set[UpstreamId] = set()
        self._slots_by_upstream: dict[UpstreamId, int] = {}
        self._addresses: dict[UpstreamId, str] = {}
        self._region_cap_share = 0
        self._drains = Drains(Config())

    def configure(
        self,
        cfg: Config,
        upstreams: tuple[UpstreamId, ...],
        region_cap_share: int,
        drains: Drains,
        now: float,
    ) -> None:
        """Apply a newer configuration.

        Parameters
        ----------
        upstreams
            Upstreams of the pool; empty if the configuration no longer names it.
        region_cap_share
            Share of the region's cap that the pool may use.
        drains
            The operators' drain rules.
        """
        self._slots_by_upstream = {name: slots_of(cfg, name) for name in upstreams}
        self._addresses = {name: cfg.upstreams[name].address for name in upstreams}
        self._region_cap_share = region_cap_share
        self._drains = drains
        self.leaving &= set(upstreams)
        if upstreams:
            service = cfg.services[self.pool_id.service]
            self.queue.limit = service.queue_limit
            self.health.configure(upstreams, service.slow_start_s, now)

    def usable_slots(self, now: float, wall: float) -> int:
        """Return how many slots may be taken now, over all upstreams."""
        return min(
            sum(self.allowed_slots(name, now, wall) for name in self._slots_by_upstream),
            self._region_cap_share,
        )

    def address(self, upstream: UpstreamId) -> str | None:
        """Return an upstream's address, or None if the configuration no longer names it."""
        return self._addresses.get(upstream)

    def allowed_slots(self, upstream: UpstreamId, now: float, wall: float) -> int:
        """Return how many slots of an upstream may be taken now."""
        if self.is_closed(upstream, wall):
            return 0
        configured_slots = self.configured_slots(upstream)
        drained = self._drains.drained_fraction(upstream, wall)
        remaining = math.ceil((1.0 - drained) * configured_slots)
        return min(remaining, self.health.allowed_slots(upstream, configured_slots, now))

    def is_closed(self, upstream: UpstreamId, wall: float) -> bool:
        """Return whether an upstream gets no new requests, since it is leaving or fully drained."""
        return upstream in self.leaving or self._drains.drained_fraction(upstream, wall) >= 1.0

    def configured_slots(self, upstream: UpstreamId) -> int:
        """Return how many slots the configuration gives an upstream."""
        return self._slots_by_upstream.get(upstream, 0)

    def is_within_limits(self, upstream: UpstreamId, wall: float) -> bool:
        """Return whether a taken slot of an upstream may still be used to start a request.

        The configuration may have changed since the slot was granted.
        """
        within_slots = self.slots.taken(upstream) <= self.configured_slots(upstream)
        within_share = self.slots.total_taken <= self._region_cap_share
        return within_slots and within_share and not self.is_closed(upstream, wall)

    def free_upstream(
        self, now: float, wall: float, avoid: tuple[UpstreamId, ...] = ()
    ) -> UpstreamId | None:
        """Return the upstream that should run the next request, or None if no slot is free.

        Parameters
        ----------
        avoid
            Upstreams that are chosen last.
        """
        if self.slots.total_taken >= self._region_cap_share:
            return None

        def penalty(upstream: UpstreamId) -> float:
            unhealthy = self.health.is_unhealthy(upstream)
            return AVOID_PENALTY if unhealthy or upstream in avoid else 0.0

        def allowed(upstream: UpstreamId) -> int:
            return self.allowed_slots(upstream, now, wall)

        return self.slots.choose(tuple(self._slots_by_upstream), allowed, penalty)
