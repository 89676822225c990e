"""Shares of the regions' caps, one for each pool."""

from __future__ import annotations

from gooseberryport_core.config import Config, pools_of, region_of_zone, slots_of
from gooseberryport_core.types import PoolId, RegionName


def region_shares(cfg: Config) -> dict[PoolId, int]:
    """Return how many requests each pool may run so that no region passes its cap.

    The shares follow the pools' slots and depend on the configuration alone, so those of a region
    add up to its cap (or to its slots, if these are fewer) whoever owns the pools.
    """
    slots = {
        pool: sum(slots_of(cfg, upstream) for upstream in upstreams)
        for pool, upstreams in pools_of(cfg).items()
    }
    by_region: dict[RegionName | None, list[PoolId]] = {}
    for pool in sorted(slots):
        by_region.setdefault(region_of_zone(cfg, pool.zone), []).append(pool)
    shares: dict[PoolId, int] = {}
    for region, pools in by_region.items():
        cap = cfg.regions[region].max_requests if region is not None else 0
        shares.update(_split(cap, pools, slots))
    return shares


def _split(cap: int, pools: list[PoolId], slots: dict[PoolId, int]) -> dict[PoolId, int]:
    total = sum(slots[pool] for pool in pools)
    if cap == 0 or cap >= total:
        return {pool: slots[pool] for pool in pools}
    shares: dict[PoolId, int] = {}
    before = 0
    seen = 0
    for pool in pools:
        seen += slots[pool]
        upto = cap * seen // total
        shares[pool] = upto - before
        before = upto
    return shares
