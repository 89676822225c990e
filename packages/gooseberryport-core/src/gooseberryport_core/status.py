"""One daemon's view of the system, for operators: the status page and explanations."""

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
"""Age that is shown for a value that was never received."""


class VmStatus(msgspec.Struct, frozen=True):
    """State of one daemon.

    Parameters
    ----------
    config_version
        Configuration version in force there at its last heartbeat.
    age_s
        Time since its last heartbeat; seconds, -1 if none was received.
    """

    vm: VmId
    zone: ZoneName
    region: RegionName
    state: VmState
    http_address: str
    config_version: ConfigVersion
    age_s: float


class PoolStatus(msgspec.Struct, frozen=True):
    """Owner and load of a pool.

    Parameters
    ----------
    owner, epoch
        Its owner and epoch by the newest known ownership table; empty and 0 if it has none.
    configured_slots
        Number of slots of its upstreams by the configuration.
    slots, busy, queued
        Usable slots, taken slots and queued requests, as its owner reported them.
    age_s
        Age of that report; seconds, -1 if none was received.
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
    """Load and headroom of a region.

    Parameters
    ----------
    cap
        Maximum number of requests in flight.
    slots, busy, queued
        Sums over its pools.
    headroom
        Number of further requests that it could run: the smaller of its free slots and the requests
        left under its cap.
    age_s
        Age of the oldest report in the sums; seconds, -1 if one was never received.
    """

    region: RegionName
    cap: int
    slots: int
    busy: int
    queued: int
    headroom: int
    age_s: float


class LinkStatus(msgspec.Struct, frozen=True):
    """Limit and use of a link.

    Parameters
    ----------
    usable_mbit_s
        Limit less headroom.
    used_mbit_s
        Rate of the answers that this daemon sent over the link in the last second; the use of the
        whole link is the sum over all daemons. -1 if unknown.
    age_s
        Age of that rate; seconds, -1 if it is unknown.
    """

    name: str
    source: RegionName
    destination: RegionName
    limit_mbit_s: float
    usable_mbit_s: float
    used_mbit_s: float = -1.0
    age_s: float = UNKNOWN_AGE_S


class DrainStatus(msgspec.Struct, frozen=True):
    """Progress of a drain.

    Parameters
    ----------
    share
        Fraction of new work that is currently kept away from the drained target, 0 to 1.
    """

    name: str
    what: str
    service: ServiceName
    start: float
    ramp_s: float
    share: float


class StatusPage(msgspec.Struct, frozen=True):
    """One daemon's view of the whole system."""

    vm: VmId
    version: ConfigVersion
    regions: tuple[RegionStatus, ...]
    links: tuple[LinkStatus, ...]
    pools: tuple[PoolStatus, ...]
    vms: tuple[VmStatus, ...]
    drains: tuple[DrainStatus, ...] = ()


class Candidate(msgspec.Struct, frozen=True):
    """Rank of a pool for a request, with the reason.

    Parameters
    ----------
    rank
        Position in the order in which the pools would be tried, from 1; 0 if it would not be tried.
    """

    service: ServiceName
    zone: ZoneName
    shard: int
    region: RegionName
    owner: VmId
    rank: int
    reason: str


class Explanation(msgspec.Struct, frozen=True):
    """How the queried daemon would steer a request of one client.

    Parameters
    ----------
    home, block
        Home region of the client, and the client block that its address belongs to.
    region, rule
        Region after any shift, and the shift rule that was applied; empty for none.
    entries
        Entry VMs that a look-up returns, best first.
    """

    service: ServiceName
    client: str
    home: RegionName
    block: str
    region: RegionName
    rule: str
    entries: tuple[VmId, ...]
    candidates: tuple[Candidate, ...]
