"""Which pools a request should try, best first."""

from __future__ import annotations

import random

from gooseberryport_core._views import Owners, Peers
from gooseberryport_core.config import Config, pools_of, region_of_zone
from gooseberryport_core.settings import NodeSettings
from gooseberryport_core.types import PoolId, RegionName, ServiceName


class Router:
    """Rank the pools of a service for one request.

    Parameters
    ----------
    settings
        Who this daemon is.
    owners
        What ownership knows.
    peers
        What membership knows.
    rng
        Source of random choices.
    """

    def __init__(
        self, *, settings: NodeSettings, owners: Owners, peers: Peers, rng: random.Random
    ) -> None:
        self._settings = settings
        self._owners = owners
        self._peers = peers
        self._rng = rng
        self._cfg = Config()
        self._pools: dict[ServiceName, tuple[PoolId, ...]] = {}

    def configure(self, cfg: Config, now: float) -> None:
        """Take a newer configuration."""
        self._cfg = cfg
        by_service: dict[ServiceName, list[PoolId]] = {}
        for pool in pools_of(cfg):
            by_service.setdefault(pool.service, []).append(pool)
        self._pools = {service: tuple(pools) for service, pools in by_service.items()}

    def rank(self, service: ServiceName, region: RegionName, now: float) -> tuple[PoolId, ...]:
        """Return the pools of a service that have an owner, best first.

        Parameters
        ----------
        service
            Service that is asked for.
        region
            Region that the request should be served in, after any shift.
        now
            Seconds, monotonic.
        """

        def distance(pool: PoolId) -> tuple[bool, bool, float]:
            far = region_of_zone(self._cfg, pool.zone) != region
            return (far, pool.zone != self._settings.zone, self._rng.random())

        owned = [p for p in self._pools.get(service, ()) if self._owners.owner_of(p)]
        return tuple(sorted(owned, key=distance))
