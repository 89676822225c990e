"""Data model of routes, services, upstreams and gateways."""

from __future__ import annotations

from enum import Enum
from typing import NewType

import msgspec

from gooseberryport_core.types import (
    ConfigVersion,
    RegionName,
    ServiceName,
    UpstreamId,
    VmId,
    ZoneName,
)

RouteName = NewType("RouteName", str)
TenantName = NewType("TenantName", str)
ObjectKey = NewType("ObjectKey", str)
"""Name of the object that a request is about; upstreams answer faster for recent objects."""

Address = tuple[str, int]
"""IP address and port."""

MIN_CLIENT_TIMEOUT_S = 0.1
"""Shortest header timeout and idle timeout that a configuration can set. With less, connections
close before a request over a network with round trips of 24 ms arrives, or at once; seconds."""


class Repeatability(Enum):
    """Whether a request may run more than once."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at-most-once"


class Destination(msgspec.Struct, frozen=True):
    """A service that a route leads to, and its share of the route's requests.

    Parameters
    ----------
    service
        Service that handles the requests.
    weight
        Share of the requests, relative to the weights of the route's other destinations.
    """

    service: ServiceName
    weight: float


class Route(msgspec.Struct, frozen=True):
    """Destinations and time limits of the requests that match a host and path prefix.

    Parameters
    ----------
    name
        Name in the configuration.
    host
        Host of the requests, in lower case and without a port.
    prefix
        Path prefix; it begins and ends with a slash.
    repeatability
        Whether a request may run more than once.
    destinations
        Services that handle the requests; their weights are positive.
    timeout_s
        Maximum time for which a request waits for its answer; seconds.
    objective_s
        Latency objective; seconds.
    max_attempts
        Maximum number of upstreams that one request is sent to.
    priority
        Rank among the routes of a service; 0 is the most urgent.
    object_affinity
        Whether upstreams are faster for objects that they handled recently.
    allowed_regions
        Regions whose upstreams may serve the route; empty for all regions.
    public
        Whether requests need no API key, if the configuration has tenants.
    """

    name: RouteName
    host: str
    prefix: str
    repeatability: Repeatability
    destinations: tuple[Destination, ...]
    timeout_s: float
    objective_s: float
    max_attempts: int
    priority: int
    object_affinity: bool
    allowed_regions: frozenset[RegionName]
    public: bool = False


class Tenant(msgspec.Struct, frozen=True):
    """A customer whose requests carry one of its API keys.

    Parameters
    ----------
    name
        Name in the configuration; upstreams get it with each request.
    api_keys
        Secrets that identify the tenant; never logged.
    priority
        Rank that goes before the rank of a request's route, 0 is the most urgent; None if the
        tenant has none.
    rate_per_s, burst
        Requests per second, and requests beyond that at once, of all gateways together. A rate of 0
        is no limit.
    allowed_regions
        Regions whose upstreams may serve the tenant; empty for all regions.
    """

    name: TenantName
    api_keys: frozenset[str]
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0
    allowed_regions: frozenset[RegionName] = frozenset()

    def __repr__(self) -> str:
        """Return a text without the keys."""
        return f"Tenant({self.name!r})"


class ServiceSpec(msgspec.Struct, frozen=True):
    """Configuration of a service's upstreams.

    Parameters
    ----------
    name
        Name of the service.
    health_path
        Path of the health check.
    cold_start_s
        Time for which an upstream is cold after its start; seconds.
    cold_rate_per_s
        Requests per second that a cold upstream can handle.
    """

    name: ServiceName
    health_path: str
    cold_start_s: float
    cold_rate_per_s: float


class ClientLimits(msgspec.Struct, frozen=True):
    """Limits on the size of a client's request and on the time to send it.

    Parameters
    ----------
    max_header_bytes, max_body_bytes
        Maximum sizes of a request's head and body; bytes.
    header_timeout_s
        Maximum time for a request's head to arrive; at least `MIN_CLIENT_TIMEOUT_S`; seconds.
    idle_timeout_s
        Time after which an idle connection is closed; at least `MIN_CLIENT_TIMEOUT_S`; seconds.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 67_108_864
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class RoutingConfig(msgspec.Struct, frozen=True):
    """One version of the operators' configuration.

    Parameters
    ----------
    version
        Number of the version.
    routes, services
        Routes, and the services that they lead to.
    limits
        Limits on what clients may send.
    tenants
        Tenants that can be used.
    skipped_tenants
        Number of malformed tenants, which were left out.
    notes
        What was left out of the tenants or is not used as stated, by position; contains no key.
    """

    version: ConfigVersion
    routes: tuple[Route, ...]
    services: dict[ServiceName, ServiceSpec]
    limits: ClientLimits
    tenants: tuple[Tenant, ...] = ()
    skipped_tenants: int = 0
    notes: tuple[str, ...] = ()

    @property
    def requires_keys(self) -> bool:
        """Whether requests need a key; also if every tenant is malformed, as none is known then."""
        return bool(self.tenants) or self.skipped_tenants > 0


class UpstreamState(Enum):
    """State that an upstream reports for itself."""

    READY = "ready"
    DRAINING = "draining"


class UpstreamEntry(msgspec.Struct, frozen=True):
    """Service discovery data of one upstream.

    Parameters
    ----------
    upstream
        Id of the upstream.
    service, zone
        Service and availability zone of the upstream.
    address
        Address at which it listens.
    slots
        Number of requests that it processes concurrently.
    state
        Whether it accepts new requests.
    cold_s
        Time for which it stays cold, counted from the report; seconds.
    started_ms
        Wall-clock time of its start, which identifies the incarnation; milliseconds, 0 if not
        reported.
    sequence
        Sequence number of the report within the incarnation.
    """

    upstream: UpstreamId
    service: ServiceName
    zone: ZoneName
    address: Address
    slots: int
    state: UpstreamState
    cold_s: float
    started_ms: int
    sequence: int


class Member(msgspec.Struct, frozen=True):
    """A gateway's entry in the store, through which other gateways find it.

    Parameters
    ----------
    vm
        VM on which it runs.
    zone, region
        Availability zone and region of the VM.
    front
        Address for clients, ``IP:port``.
    datagrams
        Address for datagrams from other gateways.
    incarnation
        Number that differs for every start of the gateway.
    control
        Address for HTTP requests of other gateways, ``IP:port``.
    capacity_per_s
        Requests per second that its VM can carry; 0 if it does not state this.
    store_delay_s
        Time of its first call to the store; 0 if it does not state this; seconds.
    """

    vm: VmId
    zone: ZoneName
    region: RegionName
    front: str
    datagrams: Address
    incarnation: int
    control: str = ""
    capacity_per_s: float = 0.0
    store_delay_s: float = 0.0
