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
"""Maximum number of upstreams in one pool; the upstreams of a larger zone are split into shards."""


class _ConfigStruct(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base class of the configuration's types; unknown fields are errors."""


class Region(_ConfigStruct, frozen=True):
    """Region with its availability zones.

    Parameters
    ----------
    availability_zones
        Names of its availability zones.
    max_requests
        Region cap: maximum number of requests in flight to the region's upstreams, over all
        services; 0 for the sum of their slots.
    """

    availability_zones: tuple[ZoneName, ...]
    max_requests: int = 0


class Link(_ConfigStruct, frozen=True):
    """Network link from one region to another, in one direction.

    Parameters
    ----------
    source, destination
        Regions between which bytes flow, from source to destination.
    limit_mbit_s
        Hard limit, in megabits per second.
    headroom_fraction
        Fraction of the limit that is kept free.
    delay_ms
        One-way delay, in milliseconds.
    """

    source: RegionName
    destination: RegionName
    limit_mbit_s: float
    headroom_fraction: float = 0.1
    delay_ms: float = 12.0


class Service(_ConfigStruct, frozen=True):
    """Service that runs on upstreams.

    Parameters
    ----------
    slots
        Number of requests that one upstream runs at once, unless the upstream sets its own.
    connections
        Maximum number of connections to one upstream.
    default_timeout_s, max_timeout_s
        Timeout of a request whose caller sets none, and the longest that is accepted; seconds.
    max_attempt_s
        Longest time that one attempt may run at an upstream; seconds. A new owner of a pool waits
        this long before it assumes that the former owner's attempts have ended.
    max_body_bytes, max_answer_bytes
        Maximum size of a request's body and of an answer's body.
    answer_bytes
        Initial estimate of an answer's size, for the link budgets.
    idempotent_methods
        HTTP methods whose requests may be retried.
    queue_limit
        Maximum number of requests queued in one pool.
    retry_fraction
        Retry budget: number of retries allowed for each first attempt.
    slow_start_s
        Slow start: time over which an upstream that is reachable again regains its slots; seconds.
    latency_objective_s, latency_objective_fraction, success_objective_fraction
        Service-level objectives: the fraction of requests that must be answered within
        `latency_objective_s` seconds, and the fraction that must be answered at all.
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


class Upstream(_ConfigStruct, frozen=True):
    """Upstream of a service.

    Parameters
    ----------
    service, availability_zone
        Service that the upstream runs, and its location.
    address
        ``IP:port``.
    slots
        Number of requests that it runs at once; 0 for the number that the service sets.
    load_path
        HTTP path of its load report; empty if it has none.
    """

    service: ServiceName
    availability_zone: ZoneName
    address: str
    slots: int = 0
    load_path: str = "/load"


class Shift(_ConfigStruct, frozen=True):
    """Move a share of a service's clients from one region to another.

    Parameters
    ----------
    service, source, destination
        Service whose clients move, and the regions from and to which they move.
    fraction
        Fraction of the clients that should move, 0 to 1.
    cap_fraction
        Maximum fraction of the traffic that may move in any window, 0 to 1.
    ramp_s
        Time from `start` until the whole fraction moves; seconds. No ramp if `start` is 0.
    start
        Wall-clock start, seconds since 1970-01-01 UTC; 0 for at once.
    salt
        Salt of the hash that selects client blocks. If empty, the service and the source are used:
        all shifts of one service and source then share one hash, of which each takes an interval
        of its own, so no block is moved by two of them.
    """

    service: ServiceName
    source: RegionName
    destination: RegionName
    fraction: float
    cap_fraction: float
    ramp_s: float = 60.0
    start: float = 0.0
    salt: str = ""


class Drain(_ConfigStruct, frozen=True):
    """Take an upstream, an availability zone or a region out of service.

    Parameters
    ----------
    upstream, availability_zone, region
        The upstream, zone or region that is drained; exactly one is set.
    service
        Service that the drain is limited to; empty for all services.
    start
        Wall-clock start, seconds since 1970-01-01 UTC; 0 for at once.
    ramp_s
        Time over which new requests are moved away; seconds.
    """

    upstream: UpstreamId = UpstreamId("")
    availability_zone: ZoneName = ZoneName("")
    region: RegionName = RegionName("")
    service: ServiceName = ServiceName("")
    start: float = 0.0
    ramp_s: float = 0.0


class Limits(_ConfigStruct, frozen=True):
    """Limits and delays that apply to the whole system.

    Parameters
    ----------
    failover_fraction
        Maximum fraction of a region's traffic that may fail over to another region in any window.
    window_s
        Length of the windows over which caps are counted; seconds.
    lookup_max_age_s
        Time for which callers may cache the reply to a look-up; seconds.
    lease_s
        Maximum duration of an ownership lease; seconds.
    zone_delay_ms, client_delay_ms
        One-way delay between availability zones of a region, and to clients; milliseconds.
    """

    failover_fraction: float = 1.0
    window_s: float = 1.0
    lookup_max_age_s: float = 5.0
    lease_s: float = 2.0
    zone_delay_ms: float = 5.0
    client_delay_ms: float = 8.0


class Config(_ConfigStruct, frozen=True):
    """Complete configuration, merged from its files.

    Parameters
    ----------
    version
        Version number; it only increases.
    regions, links, services, upstreams, shifts, drains
        The entries of each section, by name.
    client_blocks
        Availability zone nearest to each block of clients, by the block in CIDR notation.
    limits
        Limits that apply to the whole system.
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
    """Return the region of an availability zone, or None if it is in no region."""
    for name, region in cfg.regions.items():
        if zone in region.availability_zones:
            return name
    return None


def pools_of(cfg: Config) -> dict[PoolId, tuple[UpstreamId, ...]]:
    """Return all pools, each with its upstreams in order of their names."""
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
    """Return the number of requests that an upstream may run at once."""
    entry = cfg.upstreams[upstream]
    return entry.slots or cfg.services[entry.service].slots
