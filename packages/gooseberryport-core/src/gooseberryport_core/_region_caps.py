"""Division of each region's cap among its pools."""

from __future__ import annotations

from gooseberryport_core.config import Config, pools_of, region_of_zone, slots_of
from gooseberryport_core.types import PoolId, RegionName


def region_shares(cfg: Config) -> dict[PoolId, int]:
    """Return how many requests each pool may run at once so that no region exceeds its cap.

    The shares are proportional to the pools' slots and depend on the configuration alone, so the
    shares of a region add up to its cap (or to its slots, if these are fewer) whichever daemons
    own the pools.
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
        shares.update(_split_cap(cap, pools, slots))
    return shares


def _split_cap(cap: int, pools: list[PoolId], slots: dict[PoolId, int]) -> dict[PoolId, int]:
    total = sum(slots[pool] for pool in pools)
    if cap == 0 or cap >= total:
        return {pool: slots[pool] for pool in pools}
    shares: dict[PoolId, int] = {}
    assigned = 0
    slots_so_far = 0
    for pool in pools:
        slots_so_far += slots[pool]
        assigned_after = cap * slots_so_far // total
        shares[pool] = assigned_after - assigned
        assigned = assigned_after
    return shares
