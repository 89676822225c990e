"""Differences between two configurations in terms of what gateways do.

Failure pattern: a document is generated, so a comparison of its text shows nothing but reordered
lines, and the one weight, limit or lost key that changes the service is overlooked. Entries are
compared as gateways use them: routes by host and prefix, tenants by name, weights in percent.
"""

from __future__ import annotations

from collections.abc import Iterator
from enum import Enum

import msgspec

from gooseberryport_core.gateway.config_findings import (
    Code,
    Finding,
    Fingerprints,
    Location,
    Section,
    Severity,
)
from gooseberryport_core.gateway.model import Route, RoutingConfig, Tenant

NEXT_REQUEST = (
    "for requests that arrive after a gateway has read the version; those in flight go on"
)
"""When most changes take effect: a request keeps the route that it arrived with."""

MAX_LISTED_KEYS = 10
"""Maximum fingerprints in the text of one difference."""

ROUTE_UNITS = {
    "name": "",
    "repeatability": "",
    "timeout_s": " s",
    "objective_s": " s",
    "max_attempts": "",
    "priority": "",
    "object_affinity": "",
    "allowed_regions": "",
    "public": "",
}
"""Compared fields of a route, and their units."""

SERVICE_UNITS = {"health_path": "", "cold_start_s": " s", "cold_rate_per_s": " per s"}
LIMIT_UNITS = {
    "max_header_bytes": " bytes",
    "max_body_bytes": " bytes",
    "header_timeout_s": " s",
    "idle_timeout_s": " s",
}
TENANT_UNITS = {
    "priority": "",
    "rate_per_s": " per s",
    "burst": "",
    "allowed_regions": "",
}

FIELD_EFFECTS = {
    "health_path": "at the next health check of each upstream",
    "cold_rate_per_s": "at once, also for upstreams that are cold",
    "header_timeout_s": "for the next request on each connection",
    "idle_timeout_s": "when the next wait of each connection begins",
    "rate_per_s": "at once; tokens and counts of the quota stay",
    "burst": "at once; tokens beyond a lower burst are dropped",
}
"""When changes of single fields take effect, if not with the next request."""


class Kind(Enum):
    """How an entry or field differs."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"
    RAISED = "raised"
    LOWERED = "lowered"


class Difference(msgspec.Struct, frozen=True):
    """One difference between two configurations.

    Parameters
    ----------
    kind
        How the entry or field differs.
    location
        Where; the key is a name, since positions differ between the configurations.
    detail
        The values before and after; without any key.
    effect
        When it takes effect.
    """

    kind: Kind
    location: Location
    detail: str
    effect: str


def compare_configs(
    before: RoutingConfig, after: RoutingConfig, *, fingerprints: Fingerprints
) -> list[Difference]:
    """Return what changes when one configuration replaces another.

    Parameters
    ----------
    before, after
        The configuration in force and the one to be published.
    fingerprints
        Names keys in the differences.
    """
    return [
        *_compare_versions(before, after),
        *_compare_routes(before, after),
        *_compare_services(before, after),
        *_compare_fields(Location(Section.LIMITS), before.limits, after.limits, units=LIMIT_UNITS),
        *_compare_tenants(before, after, fingerprints),
    ]


def check_replacement(before: RoutingConfig, after: RoutingConfig) -> list[Finding]:
    """Return the findings on a configuration that replaces another one."""
    findings: list[Finding] = []
    if after.version <= before.version:
        findings.append(
            Finding(
                Code.VERSION_NOT_HIGHER,
                Severity.WARNING,
                Location(Section.CONFIG, field="version"),
                f"gateways ignore the whole document: version {before.version} is in force, and"
                f" {after.version} is not higher",
                f"state a version of at least {before.version + 1}",
            )
        )
    if before.requires_keys and not after.requires_keys:
        findings.append(
            Finding(
                Code.KEYS_NOT_REQUIRED,
                Severity.WARNING,
                Location(Section.CONFIG, field="tenants"),
                "without any tenant, requests need no key any longer, and quotas end",
                "keep the tenants, unless everyone may use every route",
            )
        )
    had_keys = {tenant.name for tenant in before.tenants if tenant.api_keys}
    has_keys = {tenant.name for tenant in after.tenants if tenant.api_keys}
    for index, tenant in enumerate(after.tenants):
        if tenant.name in had_keys - has_keys:
            findings.append(
                Finding(
                    Code.LAST_KEY_LOST,
                    Severity.WARNING,
                    Location(Section.TENANTS, index, "api_keys"),
                    f"tenant {tenant.name!r} loses its last key: all its requests are rejected with"
                    " 401",
                    "leave it a key until its clients have a new one",
                )
            )
    return findings


def _compare_versions(before: RoutingConfig, after: RoutingConfig) -> Iterator[Difference]:
    if before.version != after.version:
        detail = f"from {before.version} to {after.version}"
        kind = Kind.RAISED if after.version > before.version else Kind.LOWERED
        effect = "when a gateway reads it" if kind is Kind.RAISED else "never"
        yield Difference(kind, Location(Section.CONFIG, field="version"), detail, effect)


def _compare_routes(before: RoutingConfig, after: RoutingConfig) -> Iterator[Difference]:
    routes_before = {route.host + route.prefix: route for route in before.routes}
    routes_after = {route.host + route.prefix: route for route in after.routes}
    for name, route in routes_before.items():
        if name not in routes_after:
            yield Difference(
                Kind.REMOVED,
                Location(Section.ROUTES, name),
                f"led to {_shares_text(route)}; its requests get the route of a shorter prefix, or"
                " 404",
                NEXT_REQUEST,
            )
    for name, route in routes_after.items():
        location = Location(Section.ROUTES, name)
        known = routes_before.get(name)
        if known is None:
            detail = f"leads to {_shares_text(route)}"
            yield Difference(Kind.ADDED, location, detail, NEXT_REQUEST)
            continue
        yield from _compare_fields(location, known, route, units=ROUTE_UNITS)
        if _shares(known) != _shares(route):
            yield Difference(
                Kind.CHANGED,
                Location(Section.ROUTES, name, "destinations"),
                f"from {_shares_text(known)} to {_shares_text(route)}",
                NEXT_REQUEST,
            )


def _shares(route: Route) -> dict[str, float]:
    """Return the percentage of a route's requests that each service gets."""
    total = sum(destination.weight for destination in route.destinations)
    shares: dict[str, float] = {}
    for destination in route.destinations:
        share = round(100.0 * destination.weight / total, 2) if total > 0.0 else 0.0
        shares[destination.service] = shares.get(destination.service, 0.0) + share
    return shares


def _shares_text(route: Route) -> str:
    return ", ".join(f"{service!r} {share:.4g}%" for service, share in _shares(route).items())


def _compare_services(before: RoutingConfig, after: RoutingConfig) -> Iterator[Difference]:
    for name in before.services:
        if name not in after.services:
            location = Location(Section.SERVICES, name)
            yield Difference(Kind.REMOVED, location, "", NEXT_REQUEST)
    for name, service in after.services.items():
        location = Location(Section.SERVICES, name)
        if name not in before.services:
            detail = f"health checks at {service.health_path!r}"
            yield Difference(Kind.ADDED, location, detail, NEXT_REQUEST)
            continue
        yield from _compare_fields(location, before.services[name], service, units=SERVICE_UNITS)


def _compare_tenants(
    before: RoutingConfig, after: RoutingConfig, fingerprints: Fingerprints
) -> Iterator[Difference]:
    tenants_before = _merge_tenants(before)
    tenants_after = _merge_tenants(after)
    for name, tenant in tenants_before.items():
        if name not in tenants_after:
            detail = f"with {_keys_text(tenant.api_keys, fingerprints)}, which get 401"
            effect = f"{NEXT_REQUEST}; later at gateways that are cut off"
            yield Difference(Kind.REMOVED, Location(Section.TENANTS, name), detail, effect)
    for name, tenant in tenants_after.items():
        location = Location(Section.TENANTS, name)
        known = tenants_before.get(name)
        if known is None:
            detail = f"with {_keys_text(tenant.api_keys, fingerprints)}"
            effect = f"{NEXT_REQUEST}; its quota begins without tokens"
            yield Difference(Kind.ADDED, location, detail, effect)
            continue
        yield from _compare_fields(location, known, tenant, units=TENANT_UNITS)
        keys = Location(Section.TENANTS, name, "api_keys")
        if added := tenant.api_keys - known.api_keys:
            yield Difference(Kind.ADDED, keys, _keys_text(added, fingerprints), NEXT_REQUEST)
        if removed := known.api_keys - tenant.api_keys:
            effect = f"{NEXT_REQUEST}; later at gateways that are cut off"
            yield Difference(Kind.REMOVED, keys, _keys_text(removed, fingerprints), effect)


def _merge_tenants(config: RoutingConfig) -> dict[str, Tenant]:
    """Return the tenants by name; those of one name with the keys of all of them."""
    tenants: dict[str, Tenant] = {}
    for tenant in config.tenants:
        known = tenants.get(tenant.name)
        if known is not None:
            tenant = msgspec.structs.replace(tenant, api_keys=tenant.api_keys | known.api_keys)
        tenants[tenant.name] = tenant
    return tenants


def _keys_text(keys: frozenset[str], fingerprints: Fingerprints) -> str:
    texts = sorted(fingerprints.of(key) for key in keys)
    if not texts:
        return "no key"
    hidden = len(texts) - MAX_LISTED_KEYS
    more = f" and {hidden} more" if hidden > 0 else ""
    noun = "key" if len(texts) == 1 else "keys"
    return f"{len(texts)} {noun} ({', '.join(texts[:MAX_LISTED_KEYS])}{more})"


def _compare_fields(
    location: Location, before: object, after: object, *, units: dict[str, str]
) -> Iterator[Difference]:
    for field, unit in units.items():
        old, new = getattr(before, field), getattr(after, field)
        if old == new:
            continue
        kind = Kind.CHANGED
        if _is_number(old) and _is_number(new):
            kind = Kind.RAISED if new > old else Kind.LOWERED
        yield Difference(
            kind,
            msgspec.structs.replace(location, field=field),
            f"from {_value_text(old, unit)} to {_value_text(new, unit)}",
            FIELD_EFFECTS.get(field, NEXT_REQUEST),
        )


def _is_number(value: object) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool)


def _value_text(value: object, unit: str) -> str:
    if isinstance(value, Enum):
        return str(value.value)
    if isinstance(value, frozenset):
        return ", ".join(map(repr, sorted(value))) or "all"
    if isinstance(value, float):
        return f"{value:.10g}{unit}"
    if isinstance(value, str):
        return repr(value)
    return "none" if value is None else f"{value}{unit}"
