"""Which pools a request should try, best first."""

from __future__ import annotations

import random
from collections.abc import Callable

from gooseberryport_core._load_estimates import PoolLoadEstimate
from gooseberryport_core._network_delays import NetworkDelays
from gooseberryport_core._views import Owners, Peers
from gooseberryport_core.config import Config, pools_of, slots_of
from gooseberryport_core.messages import PoolLoad
from gooseberryport_core.settings import NodeSettings
from gooseberryport_core.types import PoolId, RegionName, ServiceName

REFRESH_S = 0.02
"""Time between two looks at the figures; seconds."""

MAX_LOAD_AGE_S = 2.0
"""Age at which a figure counts for nothing; seconds."""

FAR_COST_S = 0.02
"""Weight of leaving the region, for the link's load and a cold cache; seconds."""

TRIPS = 2
"""One-way trips of a request that finds a free slot."""

PROBE_SHARE = 0.02
"""Share of requests for which a failing pool counts like any other."""


class Router:
    """Rank the pools of a service for one request.

    Parameters
    ----------
    settings
        Identity and settings of this daemon.
    owners
        View of pool ownership.
    peers
        View of the other daemons.
    rng
        Source of random choices.
    own_loads
        Returns the load of the pools that this daemon owns, at a time.
    """

    def __init__(
        self,
        *,
        settings: NodeSettings,
        owners: Owners,
        peers: Peers,
        rng: random.Random,
        own_loads: Callable[[float], tuple[PoolLoad, ...]] = lambda _: (),
    ) -> None:
        self._settings = settings
        self._owners = owners
        self._peers = peers
        self._rng = rng
        self._own_loads = own_loads
        self._network_delays = NetworkDelays(Config())
        self._pools: dict[ServiceName, tuple[PoolId, ...]] = {}
        self._load_estimates: dict[PoolId, PoolLoadEstimate] = {}
        self._refreshed_at = float("-inf")

    def configure(self, cfg: Config, now: float) -> None:
        """Apply a newer configuration; figures are taken anew."""
        self._network_delays = NetworkDelays(cfg)
        by_service: dict[ServiceName, list[PoolId]] = {}
        self._load_estimates = {}
        for pool, upstreams in pools_of(cfg).items():
            by_service.setdefault(pool.service, []).append(pool)
            slots = sum(slots_of(cfg, upstream) for upstream in upstreams)
            self._load_estimates[pool] = PoolLoadEstimate(slots)
        self._pools = {service: tuple(pools) for service, pools in by_service.items()}
        self._refreshed_at = float("-inf")

    def rank(self, service: ServiceName, region: RegionName, now: float) -> tuple[PoolId, ...]:
        """Return the pools of a service that have an owner, best first.

        The first is counted as used, until a newer figure of it arrives.

        Parameters
        ----------
        service
            Service that is asked for.
        region
            Region that the request should be served in, after any shift.
        now
            Seconds, monotonic.
        """
        self._refresh(now)
        owned = [p for p in self._pools.get(service, ()) if self._owners.owner_of(p)]
        ranked = sorted(owned, key=lambda pool: self._cost(pool, region, now))
        if ranked:
            self._load_estimates[ranked[0]].record_sent(now)
        return tuple(ranked)

    def _cost(
        self, pool: PoolId, region: RegionName, now: float
    ) -> tuple[bool, bool, float, bool, float]:
        """Return what speaks against a pool: nothing usable, failing, then the expected time.

        A failing pool still gets a few requests, so that it is seen when it is well again.
        """
        wait_s = self._load_estimates[pool].wait_s(now)
        travel_s = TRIPS * self._network_delays.one_way_s(self._settings.zone, pool.zone)
        far = self._network_delays.region_of(pool.zone) != region
        cost_s = wait_s + travel_s + (FAR_COST_S if far else 0.0)
        failing = self._load_estimates[pool].failing and self._rng.random() >= PROBE_SHARE
        return (wait_s == float("inf"), failing, cost_s, far, self._rng.random())

    def _refresh(self, now: float) -> None:
        if now < self._refreshed_at + REFRESH_S:
            return
        self._refreshed_at = now
        for remote in self._peers.loads(now):
            if remote.age_s <= MAX_LOAD_AGE_S:
                self._take(remote.load, now - remote.age_s)
        for load in self._own_loads(now):
            self._take(load, now)
        for belief in self._load_estimates.values():
            if belief.at < now - MAX_LOAD_AGE_S:
                belief.forget()

    def _take(self, load: PoolLoad, at: float) -> None:
        belief = self._load_estimates.get(load.pool)
        if belief is not None:
            belief.record(load, at)
