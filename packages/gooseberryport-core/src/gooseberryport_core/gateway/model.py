"""What a gateway knows of routes, services, upstreams and peers."""

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
ObjectKey = NewType("ObjectKey", str)
"""Name of the object that a request concerns; upstreams answer faster for recent objects."""

Address = tuple[str, int]
"""IP number and port."""


class Repeatability(Enum):
    """Whether a request may run more than once."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at-most-once"


class Destination(msgspec.Struct, frozen=True):
    """One destination of a route and its share of the route's requests.

    Parameters
    ----------
    service
        Service that runs the requests.
    weight
        Share, relative to the other parts of the route.
    """

    service: ServiceName
    weight: float


class Route(msgspec.Struct, frozen=True):
    """Describe which requests go where, and how long they may take.

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
    parts
        Destinations; their weights are positive.
    timeout_s
        Longest time that a request waits for its answer; seconds.
    objective_s
        Latency objective; seconds.
    max_attempts
        Most upstreams that one request is sent to.
    priority
        Rank among the routes of a service; 0 is the most urgent.
    keyed
        Whether upstreams are faster for objects that they handled lately.
    allowed_regions
        Regions that may serve the route; empty for all.
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


class ServiceSpec(msgspec.Struct, frozen=True):
    """Describe a service's upstreams as the configuration does.

    Parameters
    ----------
    name
        Name of the service.
    health_path
        Path of the health check.
    cold_start_s
        Time for which a started upstream is cold; seconds.
    cold_rate_per_s
        Requests a second that a cold upstream bears.
    """

    name: ServiceName
    health_path: str
    cold_start_s: float
    cold_rate_per_s: float


class ClientLimits(msgspec.Struct, frozen=True):
    """Bound what a client may send, and how long it may take.

    Parameters
    ----------
    max_header_bytes, max_body_bytes
        Largest request head and body; bytes.
    header_timeout_s
        Time for a request head to arrive; seconds.
    idle_timeout_s
        Time after which an idle connection is closed; seconds.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 67_108_864
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class RoutingConfig(msgspec.Struct, frozen=True):
    """One version of the operators' configuration."""

    version: ConfigVersion
    routes: tuple[Route, ...]
    services: dict[ServiceName, ServiceSpec]
    limits: ClientLimits


class UpstreamState(Enum):
    """What an upstream says of itself."""

    READY = "ready"
    DRAINING = "draining"


class UpstreamEntry(msgspec.Struct, frozen=True):
    """What the discovery data says of one upstream.

    Parameters
    ----------
    upstream
        Its id.
    service, zone
        What it serves, and where it is.
    address
        Where it listens.
    slots
        Requests that it runs at once.
    state
        Whether it takes new requests.
    cold_s
        How much longer it stays cold; seconds, from the moment of the report.
    started_ms
        Wall-clock time of its start, which tells incarnations apart; 0 if it isn't told.
    sequence
        Number of the report within the incarnation.
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
    """A gateway as the others know it.

    Parameters
    ----------
    vm
        Its VM.
    zone, region
        Where it is.
    front
        Address for clients, ``IP:port``.
    datagrams
        Address for datagrams of other gateways.
    incarnation
        Number that is new for every start.
    control
        Address for questions of other gateways, ``IP:port``.
    """

    vm: VmId
    zone: ZoneName
    region: RegionName
    front: str
    datagrams: Address
    incarnation: int
    control: str = ""
