"""Build the status page and explanations for operators from the state of a node's components."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import msgspec

from gooseberryport_core._drains import Drains, drain_progress
from gooseberryport_core._links import BYTES_PER_MBIT
from gooseberryport_core._views import Owner, Owners, Peer, Peers
from gooseberryport_core.config import Config, pools_of, region_of_zone, slots_of
from gooseberryport_core.messages import PoolLoad
from gooseberryport_core.status import (
    UNKNOWN_AGE_S,
    Candidate,
    DrainStatus,
    LinkStatus,
    PoolStatus,
    RegionStatus,
    StatusPage,
    VmStatus,
)
from gooseberryport_core.types import (
    Epoch,
    PoolId,
    RegionName,
    RuleName,
    ServiceName,
    UpstreamId,
    VmId,
)


def build_status(
    *,
    me: Peer,
    cfg: Config,
    peers: Peers,
    listed: Iterable[Peer],
    owners: Owners,
    own_loads: Iterable[PoolLoad],
    link_bytes: Callable[[RegionName, RegionName, float], int],
    now: float,
    wall: float,
) -> StatusPage:
    """Return a daemon's view of the system.

    Parameters
    ----------
    me
        The daemon itself.
    cfg
        Configuration in force.
    peers, owners
        Queries of membership and ownership.
    listed
        Other daemons to list, with or without a recent heartbeat.
    own_loads
        Loads of the pools that the daemon owns.
    link_bytes
        Function that returns the bytes that this daemon sent over a link in the last second.
    now, wall
        Seconds, monotonic, and seconds since 1970-01-01 UTC.
    """
    loads = {remote.load.pool: (remote.load, remote.age_s) for remote in peers.loads(now)}
    loads.update({load.pool: (load, 0.0) for load in own_loads})
    pools = tuple(
        _pool_status(cfg, pool, upstreams, owners.owner_of(pool), loads.get(pool))
        for pool, upstreams in pools_of(cfg).items()
    )
    vms = [_vm_status(peer, now) for peer in (me, *listed)]
    return StatusPage(
        vm=me.vm,
        version=cfg.version,
        regions=tuple(_region_status(cfg, name, pools) for name in sorted(cfg.regions)),
        links=tuple(_link_status(cfg, name, link_bytes, now) for name in sorted(cfg.links)),
        pools=tuple(sorted(pools, key=lambda pool: (pool.service, pool.region, pool.zone))),
        vms=tuple(sorted(vms, key=lambda vm: vm.vm)),
        drains=tuple(_drain_status(cfg, name, wall) for name in sorted(cfg.drains)),
    )


def explain_pools(
    *,
    cfg: Config,
    service: ServiceName,
    region: RegionName,
    ranked: Iterable[PoolId],
    owners: Owners,
    peers: Peers,
    own_loads: Iterable[PoolLoad],
    now: float,
    wall: float,
) -> tuple[Candidate, ...]:
    """Return every pool of a service with the reason for its rank.

    Parameters
    ----------
    region
        Region in which the request should be served.
    ranked
        Pools in the order in which they would be tried.
    own_loads
        Loads of the pools that the daemon owns.
    """
    order = list(ranked)
    loads = {remote.load.pool: remote.load for remote in peers.loads(now)}
    loads.update({load.pool: load for load in own_loads})
    candidates = []
    for pool, upstreams in pools_of(cfg).items():
        if pool.service != service:
            continue
        owner = owners.owner_of(pool)
        home = region_of_zone(cfg, pool.zone) or RegionName("")
        rank = order.index(pool) + 1 if pool in order else 0
        reason = _reason(cfg, pool, upstreams, rank, home == region, loads.get(pool), wall)
        if owner is None:
            reason = "no owner is known to this daemon"
        vm = owner.vm if owner else VmId("")
        candidates.append(Candidate(service, pool.zone, pool.shard, home, vm, rank, reason))
    return tuple(sorted(candidates, key=lambda entry: (entry.rank == 0, entry.rank, entry.zone)))


def _reason(
    cfg: Config,
    pool: PoolId,
    upstreams: tuple[UpstreamId, ...],
    rank: int,
    in_serving_region: bool,
    load: PoolLoad | None,
    wall: float,
) -> str:
    drains = Drains(cfg)
    remaining = [name for name in upstreams if drains.drained_fraction(name, wall) < 1.0]
    if not remaining:
        return "every upstream is drained"
    details = ["in the region that serves the client" if in_serving_region else "in another region"]
    if len(remaining) < len(upstreams):
        details.append(f"{len(upstreams) - len(remaining)} of {len(upstreams)} upstreams drained")
    if load is not None:
        details.append(f"{max(load.slots - load.busy, 0)} of {load.slots} slots free")
        details.append(f"{load.queued} waiting")
    if rank == 0:
        details.append("not among the pools that would be tried")
    return ", ".join(details)


def _vm_status(peer: Peer, now: float) -> VmStatus:
    has_heartbeat = peer.last_heartbeat_at > float("-inf")
    return VmStatus(
        vm=peer.vm,
        zone=peer.zone,
        region=peer.region,
        state=peer.state,
        http_address=peer.http_address,
        config_version=peer.config_version,
        age_s=now - peer.last_heartbeat_at if has_heartbeat else UNKNOWN_AGE_S,
    )


def _pool_status(
    cfg: Config,
    pool: PoolId,
    upstreams: tuple[UpstreamId, ...],
    owner: Owner | None,
    reported: tuple[PoolLoad, float] | None,
) -> PoolStatus:
    status = PoolStatus(
        service=pool.service,
        zone=pool.zone,
        shard=pool.shard,
        region=region_of_zone(cfg, pool.zone) or RegionName(""),
        owner=owner.vm if owner else VmId(""),
        epoch=owner.epoch if owner else Epoch(0),
        configured_slots=sum(slots_of(cfg, name) for name in upstreams),
    )
    if reported is None:
        return status
    load, age_s = reported
    return msgspec.structs.replace(
        status, slots=load.slots, busy=load.busy, queued=load.queued, age_s=age_s
    )


def _region_status(cfg: Config, name: RegionName, pools: tuple[PoolStatus, ...]) -> RegionStatus:
    region_pools = [pool for pool in pools if pool.region == name]
    slots = sum(pool.slots for pool in region_pools)
    busy = sum(pool.busy for pool in region_pools)
    cap = cfg.regions[name].max_requests or sum(pool.configured_slots for pool in region_pools)
    ages = [pool.age_s for pool in region_pools]
    return RegionStatus(
        region=name,
        cap=cap,
        slots=slots,
        busy=busy,
        queued=sum(pool.queued for pool in region_pools),
        headroom=max(min(slots, cap) - busy, 0),
        age_s=UNKNOWN_AGE_S if not ages or min(ages) < 0 else max(ages),
    )


def _link_status(
    cfg: Config,
    name: str,
    link_bytes: Callable[[RegionName, RegionName, float], int],
    now: float,
) -> LinkStatus:
    link = cfg.links[name]
    used_bytes = link_bytes(link.source, link.destination, now)
    return LinkStatus(
        name=name,
        source=link.source,
        destination=link.destination,
        limit_mbit_s=link.limit_mbit_s,
        usable_mbit_s=link.limit_mbit_s * (1 - link.headroom_fraction),
        used_mbit_s=used_bytes / BYTES_PER_MBIT,
        age_s=0.0,
    )


def _drain_status(cfg: Config, name: RuleName, wall: float) -> DrainStatus:
    drain = cfg.drains[name]
    target = drain.upstream or drain.availability_zone or drain.region
    share = drain_progress(drain, wall)
    return DrainStatus(name, target, drain.service, drain.start, drain.ramp_s, share)
