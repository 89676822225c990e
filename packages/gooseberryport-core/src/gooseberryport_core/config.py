"""The operators' configuration as typed values."""

from __future__ import annotations

import msgspec

from gooseberryport_core.types import (
    ConfigVersion,
    PoolId,
    RegionName,
    RuleName,
    ServiceName,
    UpstreamId,
    ZoneName,
)

MAX_POOL_UPSTREAMS = 64
"""Most upstreams in one pool; a larger zone is cut into shards."""


class _Part(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Common form of the parts of a configuration."""


class Region(_Part, frozen=True):
    """Describe a region.

    Parameters
    ----------
    availability_zones
        Names of its availability zones.
    max_requests
        Cap on requests in flight to the region's upstreams, over all services; 0 for the sum of
        the slots.
    """

    availability_zones: tuple[ZoneName, ...]
    max_requests: int = 0


class Link(_Part, frozen=True):
    """Describe the link from one region to another, one direction.

    Parameters
    ----------
    source, destination
        Regions; bytes flow from source to destination.
    limit_mbit_s
        Hard limit, in megabits a second.
    headroom_fraction
        Part of the limit that the system leaves free.
    delay_ms
        One-way delay, in milliseconds.
    """

    source: RegionName
    destination: RegionName
    limit_mbit_s: float
    headroom_fraction: float = 0.1
    delay_ms: float = 12.0


class Service(_Part, frozen=True):
    """Describe a service.

    Parameters
    ----------
    slots
        Requests that one upstream runs at once, unless the upstream says otherwise.
    connections
        Most connections to one upstream.
    default_timeout_s, max_timeout_s
        Deadline of a request whose caller named none, and the longest that is accepted; seconds.
    max_attempt_s
        Longest time that one attempt may run at an upstream; seconds. A new owner of a pool waits
        that long before it counts the former owner's work as gone.
    max_body_bytes, max_answer_bytes
        Bounds of a request's and an answer's body.
    answer_bytes
        First estimate of an answer's size, for the link budgets.
    idempotent_methods
        Methods that may be repeated.
    queue_limit
        Most requests that wait in one pool.
    retry_fraction
        Retries allowed for each first try.
    slow_start_s
        Time over which a returning upstream gets its slots back; seconds.
    latency_objective_s, latency_objective_fraction, success_objective_fraction
        Service-level objectives: so many answers within so many seconds, and so many successful.
    """

    slots: int = 4
    connections: int = 330
    default_timeout_s: float = 2.0
    max_timeout_s: float = 30.0
    max_attempt_s: float = 2.0
    max_body_bytes: int = 4_194_304
    max_answer_bytes: int = 16_777_216
    answer_bytes: int = 4_096
    idempotent_methods: tuple[str, ...] = ("GET", "HEAD", "OPTIONS")
    queue_limit: int = 256
    retry_fraction: float = 0.1
    slow_start_s: float = 10.0
    latency_objective_s: float = 0.5
    latency_objective_fraction: float = 0.99
    success_objective_fraction: float = 0.999


class Upstream(_Part, frozen=True):
    """Describe one upstream.

    Parameters
    ----------
    service, availability_zone
        What it serves and where it is.
    address
        ``IP:port``.
    slots
        Requests that it runs at once; 0 takes the service's number.
    load_path
        Path of its load report; empty for none.
    """

    service: ServiceName
    availability_zone: ZoneName
    address: str
    slots: int = 0
    load_path: str = "/load"


class Shift(_Part, frozen=True):
    """Move a share of a service's clients from one region to another.

    Parameters
    ----------
    service, source, destination
        What moves, and from where to where.
    fraction
        Share of clients that should move, 0 to 1.
    cap_fraction
        Most that may move of the traffic of any window, 0 to 1.
    ramp_s
        Seconds from `start` until the whole fraction moves.
    start
        Wall-clock start, seconds since 1970-01-01 UTC; 0 for at once.
    salt
        Word that the hash of a client block is mixed with; the service and the source if empty, so
        that several rules for one source move blocks that do not overlap.
    """

    service: ServiceName
    source: RegionName
    destination: RegionName
    fraction: float
    cap_fraction: float
    ramp_s: float = 60.0
    start: float = 0.0
    salt: str = ""


class Drain(_Part, frozen=True):
    """Take an upstream, an availability zone or a region out of service.

    Parameters
    ----------
    upstream, availability_zone, region
        What is drained; exactly one is named.
    service
        Limits the drain to one service; empty for all.
    start
        Wall-clock start, seconds since 1970-01-01 UTC; 0 for at once.
    ramp_s
        Seconds over which new work is taken away.
    """

    upstream: UpstreamId = UpstreamId("")
    availability_zone: ZoneName = ZoneName("")
    region: RegionName = RegionName("")
    service: ServiceName = ServiceName("")
    start: float = 0.0
    ramp_s: float = 0.0


class Limits(_Part, frozen=True):
    """Set the limits that hold for the whole system.

    Parameters
    ----------
    failover_fraction
        Most of a region's traffic that may fail over to another region, in any window.
    window_s
        Length of the windows in which caps are counted, in seconds.
    lookup_max_age_s
        Time for which callers may cache a look-up; seconds.
    lease_s
        Longest ownership lease, in seconds.
    zone_delay_ms, client_delay_ms
        One-way delay between availability zones of a region, and to clients; milliseconds.
    """

    failover_fraction: float = 1.0
    window_s: float = 1.0
    lookup_max_age_s: float = 5.0
    lease_s: float = 2.0
    zone_delay_ms: float = 5.0
    client_delay_ms: float = 8.0


class Config(_Part, frozen=True):
    """Hold one whole configuration, merged from its files.

    Parameters
    ----------
    version
        Number of the configuration; it only grows.
    regions, links, services, upstreams, shifts, drains
        The parts, by name.
    client_blocks
        Availability zone nearest to each block of clients, by CIDR text.
    limits
        Limits of the whole system.
    """

    version: ConfigVersion = ConfigVersion(0)
    regions: dict[RegionName, Region] = {}
    links: dict[str, Link] = {}
    services: dict[ServiceName, Service] = {}
    upstreams: dict[UpstreamId, Upstream] = {}
    shifts: dict[RuleName, Shift] = {}
    drains: dict[RuleName, Drain] = {}
    client_blocks: dict[str, ZoneName] = {}
    limits: Limits = Limits()


def region_of_zone(cfg: Config, zone: ZoneName) -> RegionName | None:
    """Return the region of an availability zone, or None if no region names it."""
    for name, region in cfg.regions.items():
        if zone in region.availability_zones:
            return name
    return None


def pools_of(cfg: Config) -> dict[PoolId, tuple[UpstreamId, ...]]:
    """Return every pool with its upstreams, in name order."""
    members: dict[tuple[ServiceName, ZoneName], list[UpstreamId]] = {}
    for name in sorted(cfg.upstreams):
        upstream = cfg.upstreams[name]
        members.setdefault((upstream.service, upstream.availability_zone), []).append(name)
    pools: dict[PoolId, tuple[UpstreamId, ...]] = {}
    for (service, zone), names in members.items():
        for first in range(0, len(names), MAX_POOL_UPSTREAMS):
            shard = first // MAX_POOL_UPSTREAMS
            pools[PoolId(service, zone, shard)] = tuple(names[first : first + MAX_POOL_UPSTREAMS])
    return pools


def slots_of(cfg: Config, upstream: UpstreamId) -> int:
    """Return how many requests an upstream may run at once."""
    entry = cfg.upstreams[upstream]
    return entry.slots or cfg.services[entry.service].slots
