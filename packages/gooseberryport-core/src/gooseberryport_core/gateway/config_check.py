"""Findings on a configuration that a gateway accepts, but that does not do what it says.

Failure pattern: a document is published, every gateway applies it, and only then do requests fail:
a route that no request reaches, a tenant whose keys identify nobody, a timeout of 0. The decoder
reports what it refuses or replaces; this module reports what has no effect or contradicts itself.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterator, Sequence

from gooseberryport_core.gateway.config_findings import (
    Code,
    Finding,
    Fingerprints,
    Location,
    Section,
    Severity,
)
from gooseberryport_core.gateway.model import (
    Route,
    RoutingConfig,
    Tenant,
    TenantName,
    UpstreamEntry,
    UpstreamState,
)
from gooseberryport_core.gateway.quotas import MIN_BURST
from gooseberryport_core.gateway.routing import RouteTable
from gooseberryport_core.gateway.tenants import parse_bearer
from gooseberryport_core.types import RegionName, ServiceName

MIN_HEADER_BYTES = 64
"""Size of the smallest usual request head: a target, a host and an id; bytes."""

REQUESTS_PER_SLOT_S = 20.0
"""Requests per second and slot that the sum of all quotas may reach without a finding: more would
need requests of 50 ms each, with all slots busy all the time."""

MAX_LISTED_NAMES = 5
"""Maximum names of tenants in the text of one finding."""

HOST_CHARS = frozenset("abcdefghijklmnopqrstuvwxyz0123456789.-_:[]")


def check_config(
    config: RoutingConfig,
    *,
    fingerprints: Fingerprints,
    upstreams: Sequence[UpstreamEntry] | None = None,
    max_held_body_bytes: int | None = None,
) -> list[Finding]:
    """Return the findings on a configuration.

    Parameters
    ----------
    config
        The configuration.
    fingerprints
        Names keys in the findings.
    upstreams
        Upstreams of all services; None if they are not known.
    max_held_body_bytes
        Largest request body that a gateway can hold; None if it is not known; bytes.
    """
    findings = [
        *_check_routes(config),
        *_check_services(config),
        *_check_regions(config),
        *_check_tenants(config),
        *_check_keys(config, fingerprints),
        *_check_limits(config, max_held_body_bytes),
    ]
    if upstreams is not None:
        findings.extend(_check_upstreams(config, upstreams))
    return findings


def _route(
    code: Code, severity: Severity, index: int, field: str, consequence: str, remedy: str
) -> Finding:
    return Finding(code, severity, Location(Section.ROUTES, index, field), consequence, remedy)


def _tenant(
    code: Code, severity: Severity, index: int, field: str, consequence: str, remedy: str
) -> Finding:
    return Finding(code, severity, Location(Section.TENANTS, index, field), consequence, remedy)


def _check_routes(config: RoutingConfig) -> Iterator[Finding]:
    if not config.routes:
        location = Location(Section.CONFIG, field="routes")
        consequence = "gateways answer every request with 404"
        yield Finding(Code.NO_ROUTES, Severity.WARNING, location, consequence, "add a route")
    table = RouteTable(config)
    last_of = {(route.host, route.prefix): index for index, route in enumerate(config.routes)}
    first_by_name: dict[str, int] = {}
    for index, route in enumerate(config.routes):
        yield from _check_matching(table, route, index, last_of[route.host, route.prefix])
        yield from _check_times(route, index)
        first = first_by_name.setdefault(route.name, index)
        if first != index:
            yield _route(
                Code.ROUTE_NAME_REPEATED,
                Severity.WARNING,
                index,
                "name",
                f"{route.name!r} is also the name of another route: metrics, measured times and"
                " the identities of objects are those of both together",
                "give each route a name of its own",
            )


def _check_matching(
    table: RouteTable, route: Route, index: int, last_index: int
) -> Iterator[Finding]:
    prefix = route.prefix
    if not set(route.host) <= HOST_CHARS or not route.host:
        yield _route(
            Code.HOST_UNUSABLE,
            Severity.WARNING,
            index,
            "host",
            f"only requests whose host field is literally {route.host!r} match; there are no"
            " patterns",
            "write a host name or an IP address",
        )
    if not prefix.startswith("/") or not prefix.endswith("/") or not _is_path(prefix):
        yield _route(
            Code.ROUTE_NEVER_MATCHES,
            Severity.ERROR,
            index,
            "prefix",
            f"no request matches {prefix!r}: gateways look for prefixes that begin and end with a"
            " slash and are plain ASCII without a query",
            "write a prefix such as /name/",
        )
    elif last_index != index:
        yield _route(
            Code.ROUTE_SHADOWED,
            Severity.ERROR,
            index,
            "prefix",
            f"gateways ignore this route: a later one has the same host and prefix {prefix!r}",
            "remove one of them",
        )
    elif table.find(host=route.host, path=prefix) is not route:
        yield _route(
            Code.ROUTE_SHADOWED,
            Severity.ERROR,
            index,
            "host",
            f"gateways ignore this route: {route.host!r} without its port is a host as well, and"
            " its routes are used for all ports",
            "remove the port, or the routes of the host without a port",
        )


def _is_path(prefix: str) -> bool:
    return prefix.isascii() and prefix.isprintable() and not set(prefix) & set(" ?#")


def _check_times(route: Route, index: int) -> Iterator[Finding]:
    if route.timeout_s <= 0.0:
        yield _route(
            Code.TIMEOUT_ZERO,
            Severity.ERROR,
            index,
            "timeout_s",
            "every request of the route is refused with 503, before it is sent to an upstream",
            "state how long a request may take",
        )
    elif route.objective_s > route.timeout_s:
        yield _route(
            Code.OBJECTIVE_ABOVE_TIMEOUT,
            Severity.WARNING,
            index,
            "objective_s",
            f"requests may wait for the objective of {route.objective_s:g} s, but end with 504"
            f" after {route.timeout_s:g} s",
            "state an objective (its default is 1 s) below the timeout",
        )
    if route.objective_s <= 0.0:
        yield _route(
            Code.OBJECTIVE_ZERO,
            Severity.WARNING,
            index,
            "objective_s",
            "each request counts as late when it arrives, and is refused as soon as upstreams have"
            " little more load than slots",
            "state a latency objective",
        )


def _check_services(config: RoutingConfig) -> Iterator[Finding]:
    used: set[ServiceName] = set()
    for index, route in enumerate(config.routes):
        services = dict.fromkeys(destination.service for destination in route.destinations)
        used.update(services)
        for service in services:
            if service not in config.services:
                yield _route(
                    Code.UNKNOWN_SERVICE,
                    Severity.ERROR,
                    index,
                    "destinations",
                    f"service {service!r} does not exist: requests are refused with 503 unless"
                    " upstreams register for that name, which get the default health check and no"
                    " requests while they are cold",
                    "add the service, or correct its name",
                )
    for service, spec in config.services.items():
        if service not in used:
            consequence = f"no route leads to {service!r}: its upstreams get no requests"
            location = Location(Section.SERVICES, service)
            remedy = "remove it, or add a route"
            yield Finding(Code.SERVICE_UNUSED, Severity.WARNING, location, consequence, remedy)
        if spec.cold_start_s > 0.0 and spec.cold_rate_per_s <= 0.0:
            consequence = (
                f"an upstream gets no requests for the {spec.cold_start_s:g} s in which it is"
                " cold, but for the slack of the settings"
            )
            location = Location(Section.SERVICES, service, "cold_rate_per_s")
            remedy = "state the rate that a cold upstream can handle"
            yield Finding(Code.COLD_RATE_ZERO, Severity.WARNING, location, consequence, remedy)


def _check_regions(config: RoutingConfig) -> Iterator[Finding]:
    """Find the routes that some tenants can't use; both lists are long, the sets of regions few."""
    holders: dict[frozenset[RegionName], list[TenantName]] = defaultdict(list)
    for tenant in config.tenants:
        if tenant.allowed_regions:
            holders[tenant.allowed_regions].append(tenant.name)
    excluded: dict[frozenset[RegionName], list[TenantName]] = {}
    for index, route in enumerate(config.routes):
        regions = route.allowed_regions
        if not regions:
            continue
        if regions not in excluded:
            excluded[regions] = [
                name
                for allowed, names in holders.items()
                if allowed.isdisjoint(regions)
                for name in names
            ]
        if excluded[regions]:
            yield _route(
                Code.REGIONS_DISJOINT,
                Severity.WARNING,
                index,
                "allowed_regions",
                f"requests of {_listed(excluded[regions])} are refused: route and tenant allow no"
                " region in common",
                "allow a common region, if these tenants are to use the route",
            )


def _listed(names: Sequence[str]) -> str:
    text = ", ".join(map(repr, names[:MAX_LISTED_NAMES]))
    hidden = len(names) - MAX_LISTED_NAMES
    return f"{text} and {hidden} more" if hidden > 0 else text


def _check_tenants(config: RoutingConfig) -> Iterator[Finding]:
    last_of = {tenant.name: index for index, tenant in enumerate(config.tenants)}
    for index, tenant in enumerate(config.tenants):
        if last_of[tenant.name] != index:
            yield _tenant(
                Code.TENANT_NAME_REPEATED,
                Severity.ERROR,
                index,
                "name",
                f"a later tenant is called {tenant.name!r} as well: one quota counts the requests"
                " of both, with the rate and burst of the last one that has a rate",
                "give each tenant a name of its own",
            )
        if tenant.rate_per_s > 0.0 and tenant.burst < MIN_BURST:
            yield _tenant(
                Code.BURST_BELOW_ONE,
                Severity.WARNING,
                index,
                "burst",
                f"gateways use a burst of {MIN_BURST:g} instead of {tenant.burst:g}: of several"
                " requests at once most are rejected",
                "state a burst of at least the requests that arrive at once",
            )
        if tenant.rate_per_s <= 0.0 < tenant.burst:
            yield _tenant(
                Code.BURST_WITHOUT_RATE,
                Severity.WARNING,
                index,
                "burst",
                "the burst is ignored: without a rate the tenant has no limit",
                "state a rate, or remove the burst",
            )


def _check_keys(config: RoutingConfig, fingerprints: Fingerprints) -> Iterator[Finding]:
    holders: dict[str, list[int]] = defaultdict(list)
    for index, tenant in enumerate(config.tenants):
        yield from _check_own_keys(tenant, index, fingerprints)
        for key in tenant.api_keys:
            holders[key].append(index)
    shared: dict[tuple[int, int], list[str]] = defaultdict(list)
    for key, indexes in holders.items():
        for index in indexes[1:]:
            shared[indexes[0], index].append(key)
    for (first, second), keys in sorted(shared.items()):
        texts = sorted(fingerprints.of(key) for key in keys)
        yield _tenant(
            Code.SHARED_KEY,
            Severity.ERROR,
            first,
            "api_keys",
            f"{len(keys)} of its keys ({_listed(texts)}) also belong to"
            f" {config.tenants[second].name!r}: requests with them are rejected with 401",
            "give each tenant keys of its own",
        )
    if not config.requires_keys:
        return
    if not any(len(indexes) == 1 and _is_token(key) for key, indexes in holders.items()):
        yield Finding(
            Code.NO_USABLE_KEY,
            Severity.ERROR,
            Location(Section.CONFIG, field="tenants"),
            "no key identifies a tenant: all requests but those of public routes are rejected with"
            " 401",
            "correct the keys; without any tenant, requests need no key",
        )


def _check_own_keys(tenant: Tenant, index: int, fingerprints: Fingerprints) -> Iterator[Finding]:
    if not tenant.api_keys:
        yield _tenant(
            Code.TENANT_WITHOUT_KEY,
            Severity.WARNING,
            index,
            "api_keys",
            f"no request can be of tenant {tenant.name!r}: it has no key",
            "give it a key, or remove it",
        )
    unusable = sorted(fingerprints.of(key) for key in tenant.api_keys if not _is_token(key))
    if unusable:
        yield _tenant(
            Code.KEY_UNUSABLE,
            Severity.ERROR,
            index,
            "api_keys",
            f"{len(unusable)} of the keys of {tenant.name!r} ({_listed(unusable)}) can't be sent:"
            " they contain spaces or control characters, and requests with them are rejected with"
            " 401",
            "use keys without spaces and control characters",
        )
    if tenant.name in tenant.api_keys:
        yield _tenant(
            Code.KEY_IS_NAME,
            Severity.ERROR,
            index,
            "api_keys",
            "a key is equal to the tenant's name, which is in log lines, metrics and requests to"
            " upstreams: the key is no secret",
            "use a random key",
        )


def _is_token(key: str) -> bool:
    """Return whether a client can send a key; decided by the parser of the field itself."""
    token = key.encode()
    return parse_bearer(b"Bearer " + token) == token


def _check_limits(config: RoutingConfig, max_held_body_bytes: int | None) -> Iterator[Finding]:
    limits = config.limits
    if limits.max_header_bytes < MIN_HEADER_BYTES:
        yield Finding(
            Code.HEADER_LIMIT_SMALL,
            Severity.ERROR,
            Location(Section.LIMITS, field="max_header_bytes"),
            f"nearly every request is rejected with 431: its head exceeds"
            f" {limits.max_header_bytes} bytes",
            "state the size of the largest request head (the default is 16384)",
        )
    if max_held_body_bytes is not None and limits.max_body_bytes > max_held_body_bytes:
        yield Finding(
            Code.BODY_LIMIT_ABOVE_MEMORY,
            Severity.WARNING,
            Location(Section.LIMITS, field="max_body_bytes"),
            f"bodies of more than {max_held_body_bytes} bytes are refused with 503, since the"
            " memory of the process can't hold them, although"
            f" {limits.max_body_bytes} bytes are allowed",
            f"state at most {max_held_body_bytes}, or give the gateways more memory",
        )


def _check_upstreams(
    config: RoutingConfig, upstreams: Sequence[UpstreamEntry]
) -> Iterator[Finding]:
    ready = [entry for entry in upstreams if entry.state is UpstreamState.READY]
    counts = Counter(entry.service for entry in ready)
    for index, route in enumerate(config.routes):
        services = {destination.service for destination in route.destinations}
        count = sum(counts[service] for service in services)
        if 0 < count < route.max_attempts:
            yield _route(
                Code.ATTEMPTS_ABOVE_UPSTREAMS,
                Severity.WARNING,
                index,
                "max_attempts",
                f"{route.max_attempts} attempts go to different upstreams, but only {count} are"
                " ready",
                f"state at most {count}, or start more upstreams",
            )
    for service in config.services:
        if not counts[service]:
            yield Finding(
                Code.SERVICE_WITHOUT_UPSTREAMS,
                Severity.WARNING,
                Location(Section.SERVICES, service),
                f"no upstream of {service!r} is ready: its requests are refused with 503",
                "start upstreams of the service before routes lead to it",
            )
    slots = sum(entry.slots for entry in ready)
    rate_per_s = sum(tenant.rate_per_s for tenant in config.tenants)
    if rate_per_s > slots * REQUESTS_PER_SLOT_S:
        yield Finding(
            Code.QUOTAS_ABOVE_SLOTS,
            Severity.WARNING,
            Location(Section.CONFIG, field="tenants"),
            f"the rates of all tenants sum to {rate_per_s:g} requests per second, for {slots}"
            " slots: long before the quotas reject requests, upstreams are full",
            "lower the rates, or start more upstreams",
        )
