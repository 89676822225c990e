"""One owned pool: its upstreams, their slots and the tickets that wait for them."""

from __future__ import annotations

from gooseberryport_core._queue import DeadlineQueue
from gooseberryport_core._slots import Slots
from gooseberryport_core._wait import ServiceTime
from gooseberryport_core.config import Config, slots_of
from gooseberryport_core.types import PoolId, UpstreamId


class Pool:
    """Hold what an owner knows of a pool.

    Parameters
    ----------
    pool_id
        Its name.
    """

    def __init__(self, *, pool_id: PoolId) -> None:
        self.pool_id = pool_id
        self.queue = DeadlineQueue(limit=0)
        self.slots = Slots()
        self.service_time = ServiceTime()
        self._limits: dict[UpstreamId, int] = {}
        self._addresses: dict[UpstreamId, str] = {}
        self._share = 0

    @property
    def usable(self) -> int:
        """Slots that may be taken now."""
        return min(sum(self.allowed(name) for name in self._limits), self._share)

    def configure(self, cfg: Config, upstreams: tuple[UpstreamId, ...], share: int) -> None:
        """Take a newer configuration.

        Parameters
        ----------
        upstreams
            Upstreams of the pool; empty if the configuration no longer names it.
        share
            Part of the region's cap that the pool may use.
        """
        self._limits = {name: slots_of(cfg, name) for name in upstreams}
        self._addresses = {name: cfg.upstreams[name].address for name in upstreams}
        self._share = share
        if upstreams:
            self.queue.limit = cfg.services[self.pool_id.service].queue_limit

    def address(self, upstream: UpstreamId) -> str | None:
        """Return an upstream's address, or None if the configuration no longer names it."""
        return self._addresses.get(upstream)

    def allowed(self, upstream: UpstreamId) -> int:
        """Return how many slots of an upstream may be taken now."""
        return self._limits.get(upstream, 0)

    def limit(self, upstream: UpstreamId) -> int:
        """Return how many slots an upstream has by the configuration."""
        return self._limits.get(upstream, 0)

    def fits(self, upstream: UpstreamId) -> bool:
        """Return whether what is taken of an upstream is within its slots and the pool's share."""
        within_slots = self.slots.taken(upstream) <= self.limit(upstream)
        return within_slots and self.slots.total <= self._share

    def free_upstream(self) -> UpstreamId | None:
        """Return the upstream that should run the next request, or None if no slot is free."""
        if self.slots.total >= self._share:
            return None
        return self.slots.choose(tuple(self._limits), self.allowed, lambda _: 0.0)
