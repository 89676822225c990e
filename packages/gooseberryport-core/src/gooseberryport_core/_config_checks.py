"""Checks of a complete configuration: ranges, references, duplicates and missing capacity."""

from __future__ import annotations

import ipaddress
from collections.abc import Callable, Iterable, Iterator
from enum import Enum

import msgspec

from gooseberryport_core._config_schema import NUMBER_RANGES, SECTIONS
from gooseberryport_core._drains import drain_applies_to
from gooseberryport_core.config import Config, Drain, region_of_zone, slots_of
from gooseberryport_core.types import RegionName, ServiceName, UpstreamId, ZoneName

FRACTION_TOLERANCE = 1e-9
"""Rounding error by which a sum of fractions may exceed 1."""

RESERVED_PATHS = frozenset({"v1", "healthz", "readyz", "status", "explain"})
"""First path segments that a daemon serves itself, so that no service may have them as its name."""

MAX_PORT = 65_535
MAX_IPV6_PREFIX_BITS = 64


class Severity(Enum):
    """Whether a problem prevents a configuration from being applied."""

    ERROR = "error"
    WARNING = "warning"


class ConfigProblem(msgspec.Struct, frozen=True):
    """Problem of a configuration, and how to fix it.

    Parameters
    ----------
    file
        File that sets the value or contains the invalid entry.
    field
        Path of the field, with dots between its segments.
    value
        The invalid value as JSON; empty if there is none.
    message, remedy
        What is wrong, and how to fix it.
    severity
        Warnings do not prevent a configuration from being applied.
    """

    file: str
    field: str
    value: str
    message: str
    remedy: str
    severity: Severity = Severity.ERROR

    def __str__(self) -> str:
        value_text = f" = {self.value}" if self.value else ""
        return f"{self.file}: {self.field}{value_text}: {self.message}; {self.remedy}"


class Finding(msgspec.Struct, frozen=True):
    """Problem whose file is not looked up yet; the other fields are those of `ConfigProblem`."""

    path: tuple[str, ...]
    value: object
    message: str
    remedy: str
    severity: Severity = Severity.ERROR


def check_config(cfg: Config) -> Iterator[Finding]:
    """Yield all problems of a configuration whose entries have the right types."""
    for check in _CHECKS:
        yield from check(cfg)


def _warning(path: tuple[str, ...], value: object, message: str, remedy: str) -> Finding:
    return Finding(path, value, message, remedy, Severity.WARNING)


def _check_number_ranges(cfg: Config) -> Iterator[Finding]:
    for section in SECTIONS:
        for name, entry in getattr(cfg, section).items():
            yield from _check_entry_ranges((section, name), entry)
    yield from _check_entry_ranges(("limits",), cfg.limits)


def _check_entry_ranges(path: tuple[str, ...], entry: msgspec.Struct) -> Iterator[Finding]:
    for field, number_range in NUMBER_RANGES[type(entry)].items():
        value = getattr(entry, field)
        if not number_range.contains(value):
            yield Finding((*path, field), value, "out of range", f"give a number {number_range}")


def _check_regions(cfg: Config) -> Iterator[Finding]:
    seen: dict[ZoneName, RegionName] = {}
    for name, region in cfg.regions.items():
        path = ("regions", name, "availability_zones")
        if not region.availability_zones:
            yield Finding(
                path, [], "the region has no availability zones", "list its availability zones"
            )
        for zone in region.availability_zones:
            if zone in seen:
                message = f"availability zone {zone} is already in region {seen[zone]}"
                yield Finding(path, zone, message, "list it in one region only")
            seen.setdefault(zone, name)
        yield from _check_region_cap(cfg, name)


def _check_region_cap(cfg: Config, name: RegionName) -> Iterator[Finding]:
    region = cfg.regions[name]
    path = ("regions", name, "max_requests")
    slots = sum(
        slots_of(cfg, upstream)
        for upstream, entry in cfg.upstreams.items()
        if entry.availability_zone in region.availability_zones and entry.service in cfg.services
    )
    if region.max_requests == 0:
        message = f"no cap of its own, so the {slots} slots of its upstreams are the cap"
        yield _warning(
            path,
            0,
            message,
            "set max_requests to the number of requests that the region can run at once",
        )
    elif region.max_requests > slots:
        message = f"above the {slots} slots of the region's upstreams, so the cap has no effect"
        yield _warning(path, region.max_requests, message, f"set it to at most {slots}")


def _check_links(cfg: Config) -> Iterator[Finding]:
    pairs: dict[tuple[RegionName, RegionName], str] = {}
    for name, link in cfg.links.items():
        yield from _check_region_pair(cfg, "links", name, link.source, link.destination)
        pair = (link.source, link.destination)
        if pair in pairs:
            message = f"the same direction as link {pairs[pair]}"
            yield Finding(("links", name), "", message, "keep one link for each direction")
        pairs.setdefault(pair, name)
        if link.headroom_fraction == 0:
            message = "no headroom: an estimate that is too low fills the link"
            path = ("links", name, "headroom_fraction")
            yield _warning(path, 0, message, "leave some of the limit free, such as 0.1")
    for source in cfg.regions:
        for destination in cfg.regions:
            if source != destination and (source, destination) not in pairs:
                message = f"no link from {source} to {destination}"
                remedy = "add a link, or no request is steered in this direction"
                yield _warning(("links",), "", message, remedy)


def _check_region_pair(
    cfg: Config, section: str, name: str, source: RegionName, destination: RegionName
) -> Iterator[Finding]:
    for field, region in (("source", source), ("destination", destination)):
        if region not in cfg.regions:
            yield _unknown_reference((section, name, field), region, "region", cfg.regions)
    if source == destination:
        path = (section, name, "destination")
        yield Finding(path, destination, "the same region as the source", "name another region")


def _unknown_reference(
    path: tuple[str, ...], value: str, kind: str, known_names: Iterable[str]
) -> Finding:
    names = ", ".join(sorted(known_names)) or "none"
    return Finding(path, value, f"unknown {kind}", f"use a known {kind} ({names}) or add it")


def _configured_zones(cfg: Config) -> set[str]:
    return {zone for region in cfg.regions.values() for zone in region.availability_zones}


def _check_services(cfg: Config) -> Iterator[Finding]:
    served_services = {upstream.service for upstream in cfg.upstreams.values()}
    for name, service in cfg.services.items():
        path = ("services", name)
        if name in RESERVED_PATHS or "/" in name:
            message = (
                "invalid service name: it is reserved for a path of the daemon, or contains a slash"
            )
            yield Finding(path, name, message, "choose another name")
        if service.default_timeout_s > service.max_timeout_s:
            field = (*path, "default_timeout_s")
            message = f"longer than max_timeout_s ({service.max_timeout_s:g} s)"
            yield Finding(
                field, service.default_timeout_s, message, "lower it or raise max_timeout_s"
            )
        if service.answer_bytes > service.max_answer_bytes:
            field = (*path, "answer_bytes")
            message = f"more than max_answer_bytes ({service.max_answer_bytes})"
            yield Finding(
                field, service.answer_bytes, message, "lower it or raise max_answer_bytes"
            )
        if name not in served_services:
            yield _warning(path, "", "no upstream serves it", "add upstreams or delete the service")


def _check_upstreams(cfg: Config) -> Iterator[Finding]:
    zones = _configured_zones(cfg)
    names_by_address: dict[str, list[UpstreamId]] = {}
    for name, upstream in cfg.upstreams.items():
        if upstream.service not in cfg.services:
            path = ("upstreams", name, "service")
            yield _unknown_reference(path, upstream.service, "service", cfg.services)
        if upstream.availability_zone not in zones:
            path = ("upstreams", name, "availability_zone")
            yield _unknown_reference(path, upstream.availability_zone, "availability zone", zones)
        path = ("upstreams", name, "address")
        if not is_address(upstream.address):
            remedy = "give an IP address and a port, such as 10.0.0.7:8080 or [fd00::7]:8080"
            yield Finding(path, upstream.address, "not IP:port", remedy)
        names_by_address.setdefault(upstream.address, []).append(name)
    for address, names in names_by_address.items():
        for name in names if len(names) > 1 else ():
            others = ", ".join(other for other in names if other != name)
            path = ("upstreams", name, "address")
            message = f"also the address of {others}"
            yield Finding(path, address, message, "give each upstream its own address")


def is_address(text: str) -> bool:
    """Return whether a text is an IP address and a port; an IPv6 address must be in brackets."""
    host, colon, port = text.rpartition(":")
    if not (colon and port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT):
        return False
    bracketed = host.startswith("[") and host.endswith("]")
    try:
        ip = ipaddress.ip_address(host[1:-1] if bracketed else host)
    except ValueError:
        return False
    return bracketed == (ip.version == 6)


def _check_shifts(cfg: Config) -> Iterator[Finding]:
    moved_fractions: dict[tuple[ServiceName, RegionName], float] = {}
    for name, shift in cfg.shifts.items():
        path = ("shifts", name)
        if shift.service not in cfg.services:
            yield _unknown_reference((*path, "service"), shift.service, "service", cfg.services)
        yield from _check_region_pair(cfg, "shifts", name, shift.source, shift.destination)
        if shift.cap_fraction < shift.fraction:
            message = f"below the fraction that should move ({shift.fraction:g})"
            field = (*path, "cap_fraction")
            yield Finding(field, shift.cap_fraction, message, "raise the cap or lower the fraction")
        if not _remaining_slots(cfg, shift.service, [], region=shift.destination):
            message = f"region {shift.destination} has no upstream of {shift.service}"
            yield Finding((*path, "destination"), shift.destination, message, "name another region")
        key = (shift.service, shift.source)
        moved_fractions[key] = moved_fractions.get(key, 0.0) + shift.fraction
        if moved_fractions[key] > 1 + FRACTION_TOLERANCE:
            message = (
                f"shifts of {shift.service} out of {shift.source} sum to {moved_fractions[key]:g}"
            )
            yield Finding(
                (*path, "fraction"), shift.fraction, message, "keep the sum at 1 or below"
            )


def _check_drains(cfg: Config) -> Iterator[Finding]:
    known_names: dict[str, set[str]] = {
        "upstream": set(cfg.upstreams),
        "availability_zone": _configured_zones(cfg),
        "region": set(cfg.regions),
    }
    for name, drain in cfg.drains.items():
        targets = {field: getattr(drain, field) for field in known_names if getattr(drain, field)}
        if len(targets) != 1:
            remedy = "name exactly one of upstream, availability_zone and region"
            yield Finding(
                ("drains", name), sorted(targets), f"names {len(targets)} targets", remedy
            )
        for field, value in targets.items():
            if value not in known_names[field]:
                yield _unknown_reference(
                    ("drains", name, field), value, field.replace("_", " "), known_names[field]
                )
        if drain.service and drain.service not in cfg.services:
            path = ("drains", name, "service")
            yield _unknown_reference(path, drain.service, "service", cfg.services)
    yield from _check_remaining_capacity(cfg)


def _check_remaining_capacity(cfg: Config) -> Iterator[Finding]:
    """Find the first drain, in order of start time, that leaves a service without a slot."""
    ordered = sorted(cfg.drains, key=lambda name: (cfg.drains[name].start, name))
    for service in cfg.services:
        if not _remaining_slots(cfg, service, []):
            continue
        for count in range(1, len(ordered) + 1):
            drains = [cfg.drains[name] for name in ordered[:count]]
            if not _remaining_slots(cfg, service, drains):
                message = f"leaves {service} without capacity ({', '.join(ordered[:count])})"
                remedy = "drain less, or end another drain first"
                yield Finding(("drains", ordered[count - 1]), "", message, remedy)
                break


def _remaining_slots(
    cfg: Config, service: ServiceName, drains: list[Drain], region: RegionName | None = None
) -> int:
    """Return the number of a service's slots that are not drained, in one region or in all."""
    if service not in cfg.services:
        return 0
    total = 0
    for name, upstream in cfg.upstreams.items():
        upstream_region = region_of_zone(cfg, upstream.availability_zone)
        if upstream.service != service or (region is not None and upstream_region != region):
            continue
        if not any(drain_applies_to(cfg, drain, name, upstream) for drain in drains):
            total += slots_of(cfg, name)
    return total


Network = ipaddress.IPv4Network | ipaddress.IPv6Network


def _check_blocks(cfg: Config) -> Iterator[Finding]:
    zones = _configured_zones(cfg)
    seen: dict[Network, tuple[str, ZoneName]] = {}
    for text, zone in cfg.client_blocks.items():
        path = ("client_blocks", text)
        if zone not in zones:
            yield _unknown_reference(path, zone, "availability zone", zones)
        try:
            network = ipaddress.ip_network(text, strict=False)
        except ValueError:
            remedy = "give a block such as 10.1.0.0/16 or fd00:1::/32"
            yield Finding(path, zone, "not a block of IP addresses", remedy)
            continue
        if network.version == 6 and network.prefixlen > MAX_IPV6_PREFIX_BITS:
            remedy = f"give a prefix of at most {MAX_IPV6_PREFIX_BITS} bits"
            yield Finding(path, zone, "IPv6 prefix too long", remedy)
        if str(network) != text:
            remedy = f"write {network}"
            yield Finding(path, zone, "not the canonical form of the block", remedy)
        other, other_zone = seen.setdefault(network, (text, zone))
        if other != text and other_zone != zone:
            message = f"the same block as {other}, which is assigned to {other_zone}"
            yield Finding(path, zone, message, "keep one of them")
    yield from _check_nested_blocks(seen)


def _check_nested_blocks(blocks: dict[Network, tuple[str, ZoneName]]) -> Iterator[Finding]:
    """Warn of blocks nested in a block of another zone, since the longer prefix wins there."""
    for network, (text, zone) in blocks.items():
        outer = network
        while outer.prefixlen > 0:
            outer = outer.supernet()
            if outer in blocks:
                outer_text, outer_zone = blocks[outer]
                if outer_zone != zone:
                    message = f"nested in {outer_text}, which is assigned to {outer_zone}"
                    remedy = "none needed if this is intended: the longer prefix wins"
                    yield _warning(("client_blocks", text), zone, message, remedy)
                break


_CHECKS: tuple[Callable[[Config], Iterator[Finding]], ...] = (
    _check_number_ranges,
    _check_regions,
    _check_links,
    _check_services,
    _check_upstreams,
    _check_shifts,
    _check_drains,
    _check_blocks,
)
