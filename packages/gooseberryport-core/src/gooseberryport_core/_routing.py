"""Ranking of a service's pools for a request at its entry daemon."""

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

LOAD_REFRESH_INTERVAL_S = 0.02
"""Time between two reads of the pool loads; seconds."""

MAX_LOAD_AGE_S = 2.0
"""Age from which a pool load is ignored; seconds."""

OTHER_REGION_COST_S = 0.02
"""Extra cost of a pool in another region, for the link's load and a cold cache; seconds."""

NUM_ONE_WAY_TRIPS = 2
"""Number of one-way network trips of a request that finds a free slot."""

PROBE_FRACTION = 0.02
"""Fraction of requests for which a failing pool is ranked like a healthy one."""


class Router:
    """Ranks the pools of a service for one request.

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
        Returns the loads of the pools that this daemon owns at a time, seconds, monotonic.
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
        """Apply a newer configuration; all load estimates start anew."""
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

        The request counts towards the first pool's load until a newer load of it arrives.

        Parameters
        ----------
        service
            Service that the request is for.
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
        """Return the sort key of a pool: unusable, failing, expected time, other region, random.

        A failing pool still gets a few requests, so that its recovery is noticed.
        """
        wait_s = self._load_estimates[pool].wait_s(now)
        network_s = NUM_ONE_WAY_TRIPS * self._network_delays.one_way_s(
            self._settings.zone, pool.zone
        )
        in_other_region = self._network_delays.region_of(pool.zone) != region
        cost_s = wait_s + network_s + (OTHER_REGION_COST_S if in_other_region else 0.0)
        failing = self._load_estimates[pool].failing and self._rng.random() >= PROBE_FRACTION
        return (wait_s == float("inf"), failing, cost_s, in_other_region, self._rng.random())

    def _refresh(self, now: float) -> None:
        if now < self._refreshed_at + LOAD_REFRESH_INTERVAL_S:
            return
        self._refreshed_at = now
        for remote in self._peers.loads(now):
            if remote.age_s <= MAX_LOAD_AGE_S:
                self._record_load(remote.load, now - remote.age_s)
        for load in self._own_loads(now):
            self._record_load(load, now)
        for estimate in self._load_estimates.values():
            if estimate.at < now - MAX_LOAD_AGE_S:
                estimate.forget()

    def _record_load(self, load: PoolLoad, at: float) -> None:
        estimate = self._load_estimates.get(load.pool)
        if estimate is not None:
            estimate.record(load, at)
