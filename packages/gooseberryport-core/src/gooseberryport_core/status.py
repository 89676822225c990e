"""What one daemon knows of the system, for operators: where things stand, and why."""

from __future__ import annotations

import msgspec

from gooseberryport_core.types import (
    ConfigVersion,
    Epoch,
    RegionName,
    ServiceName,
    VmId,
    VmState,
    ZoneName,
)

UNKNOWN_AGE_S = -1.0
"""Age of a figure that never arrived."""


class VmStatus(msgspec.Struct, frozen=True):
    """Tell what is known of one daemon.

    Parameters
    ----------
    config_version
        Version in force there when it was last heard.
    age_s
        Time since it was last heard; seconds, -1 for never.
    """

    vm: VmId
    zone: ZoneName
    region: RegionName
    state: VmState
    http_address: str
    config_version: ConfigVersion
    age_s: float


class PoolStatus(msgspec.Struct, frozen=True):
    """Tell who owns a pool and how busy it is.

    Parameters
    ----------
    owner, epoch
        Its owner by the newest table known; empty and 0 for none.
    configured_slots
        Slots of its upstreams by the configuration.
    slots, busy, queued
        Usable slots, those taken, and requests that wait, as the owner told them.
    age_s
        Age of these; seconds, -1 if none came.
    """

    service: ServiceName
    zone: ZoneName
    shard: int
    region: RegionName
    owner: VmId
    epoch: Epoch
    configured_slots: int
    slots: int = 0
    busy: int = 0
    queued: int = 0
    age_s: float = UNKNOWN_AGE_S


class RegionStatus(msgspec.Struct, frozen=True):
    """Tell how much room a region has.

    Parameters
    ----------
    cap
        Most requests in flight that are allowed.
    slots, busy, queued
        Sums over its pools.
    headroom
        Requests that it could take more: the least of free slots and room under the cap.
    age_s
        Age of the oldest figure in the sums; seconds, -1 if one never came.
    """

    region: RegionName
    cap: int
    slots: int
    busy: int
    queued: int
    headroom: int
    age_s: float


class LinkStatus(msgspec.Struct, frozen=True):
    """Tell how full a link is.

    Parameters
    ----------
    usable_mbit_s
        Limit less headroom.
    used_mbit_s
        Answers that left this daemon over it in the last second; the link's use is the sum over
        daemons. -1 if unknown.
    age_s
        Age of that figure; seconds, -1 if none came.
    """

    name: str
    source: RegionName
    destination: RegionName
    limit_mbit_s: float
    usable_mbit_s: float
    used_mbit_s: float = -1.0
    age_s: float = UNKNOWN_AGE_S


class DrainStatus(msgspec.Struct, frozen=True):
    """Tell how far a drain is.

    Parameters
    ----------
    share
        Part of new work that is taken away by now, 0 to 1.
    """

    name: str
    what: str
    service: ServiceName
    start: float
    ramp_s: float
    share: float


class StatusPage(msgspec.Struct, frozen=True):
    """Tell what one daemon knows of the whole system."""

    vm: VmId
    version: ConfigVersion
    regions: tuple[RegionStatus, ...]
    links: tuple[LinkStatus, ...]
    pools: tuple[PoolStatus, ...]
    vms: tuple[VmStatus, ...]
    drains: tuple[DrainStatus, ...] = ()


class Candidate(msgspec.Struct, frozen=True):
    """Tell why a pool was or was not chosen.

    Parameters
    ----------
    rank
        Place in the order of trial, from 1; 0 if it would not be tried.
    """

    service: ServiceName
    zone: ZoneName
    shard: int
    region: RegionName
    owner: VmId
    rank: int
    reason: str


class Explanation(msgspec.Struct, frozen=True):
    """Tell how one client's request would be steered by the daemon that is asked.

    Parameters
    ----------
    home, block
        Region nearest to the client, and its block.
    region, rule
        Region after any shift, and the rule that moved it; empty for none.
    entries
        Entry VMs that a look-up names, best first.
    """

    service: ServiceName
    client: str
    home: RegionName
    block: str
    region: RegionName
    rule: str
    entries: tuple[VmId, ...]
    candidates: tuple[Candidate, ...]
