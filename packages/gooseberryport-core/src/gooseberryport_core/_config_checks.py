"""Checks of a configuration as a whole: references, overlaps, and capacities that can't be met."""

from __future__ import annotations

import ipaddress
from collections.abc import Callable, Iterable, Iterator
from enum import Enum

import msgspec

from gooseberryport_core._config_schema import BOUNDS, SECTIONS
from gooseberryport_core._drains import drain_applies_to
from gooseberryport_core.config import Config, Drain, region_of_zone, slots_of
from gooseberryport_core.types import RegionName, ServiceName, UpstreamId, ZoneName

FRACTION_ROUNDING = 1e-9
"""Sum of fractions above 1 that is put down to rounding."""

RESERVED_PATHS = frozenset({"v1", "healthz", "readyz", "status", "explain"})
"""First parts of paths that a daemon serves itself."""

MAX_PORT = 65_535
MAX_V6_PREFIX = 64


class Severity(Enum):
    """Whether a problem keeps a configuration from being applied."""

    ERROR = "error"
    WARNING = "warning"


class ConfigProblem(msgspec.Struct, frozen=True):
    """Tell one thing that is wrong with a configuration and what to do.

    Parameters
    ----------
    file
        File that set the value, or that holds the faulty part.
    field
        Path of the field, its parts joined by dots.
    value
        The value found, as JSON; empty for none.
    message, remedy
        What is wrong, and what mends it.
    severity
        Warnings don't keep a configuration from being applied.
    """

    file: str
    field: str
    value: str
    message: str
    remedy: str
    severity: Severity = Severity.ERROR

    def __str__(self) -> str:
        shown = f" = {self.value}" if self.value else ""
        return f"{self.file}: {self.field}{shown}: {self.message}; {self.remedy}"


class Finding(msgspec.Struct, frozen=True):
    """A problem before the file it stands in is looked up; the rest is as in `ConfigProblem`."""

    path: tuple[str, ...]
    value: object
    message: str
    remedy: str
    severity: Severity = Severity.ERROR


def check_config(cfg: Config) -> Iterator[Finding]:
    """Yield everything that is wrong with a configuration whose entries have the right types."""
    for check in _CHECKS:
        yield from check(cfg)


def _warning(path: tuple[str, ...], value: object, message: str, remedy: str) -> Finding:
    return Finding(path, value, message, remedy, Severity.WARNING)


def _check_bounds(cfg: Config) -> Iterator[Finding]:
    for section in SECTIONS:
        for name, entry in getattr(cfg, section).items():
            yield from _check_numbers((section, name), entry)
    yield from _check_numbers(("limits",), cfg.limits)


def _check_numbers(path: tuple[str, ...], entry: msgspec.Struct) -> Iterator[Finding]:
    for field, bound in BOUNDS[type(entry)].items():
        value = getattr(entry, field)
        if not bound.holds(value):
            yield Finding((*path, field), value, "out of range", f"give a number {bound}")


def _check_regions(cfg: Config) -> Iterator[Finding]:
    seen: dict[ZoneName, RegionName] = {}
    for name, region in cfg.regions.items():
        path = ("regions", name, "availability_zones")
        if not region.availability_zones:
            yield Finding(path, [], "a region without zones", "name its availability zones")
        for zone in region.availability_zones:
            if zone in seen:
                message = f"availability zone {zone} is already in region {seen[zone]}"
                yield Finding(path, zone, message, "keep it in one region")
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
        yield _warning(path, 0, message, "set max_requests to what the region can carry")
    elif region.max_requests > slots:
        message = f"above the {slots} slots of the region's upstreams, so it never binds"
        yield _warning(path, region.max_requests, message, f"set it to at most {slots}")


def _check_links(cfg: Config) -> Iterator[Finding]:
    pairs: dict[tuple[RegionName, RegionName], str] = {}
    for name, link in cfg.links.items():
        yield from _check_ends(cfg, "links", name, link.source, link.destination)
        pair = (link.source, link.destination)
        if pair in pairs:
            message = f"the same direction as link {pairs[pair]}"
            yield Finding(("links", name), "", message, "keep one link for each direction")
        pairs.setdefault(pair, name)
        if link.headroom_fraction == 0:
            message = "no headroom: an estimate that is too small fills the link"
            path = ("links", name, "headroom_fraction")
            yield _warning(path, 0, message, "leave some of the limit free, such as 0.1")
    for source in cfg.regions:
        for destination in cfg.regions:
            if source != destination and (source, destination) not in pairs:
                message = f"no link from {source} to {destination}"
                remedy = "add one, or nothing is steered that way"
                yield _warning(("links",), "", message, remedy)


def _check_ends(
    cfg: Config, section: str, name: str, source: RegionName, destination: RegionName
) -> Iterator[Finding]:
    for field, region in (("source", source), ("destination", destination)):
        if region not in cfg.regions:
            yield _unknown((section, name, field), region, "region", cfg.regions)
    if source == destination:
        path = (section, name, "destination")
        yield Finding(path, destination, "the same region as the source", "name another region")


def _unknown(path: tuple[str, ...], value: str, kind: str, known: Iterable[str]) -> Finding:
    names = ", ".join(sorted(known)) or "none"
    return Finding(path, value, f"unknown {kind}", f"use a known {kind} ({names}) or add it")


def _zones(cfg: Config) -> set[str]:
    return {zone for region in cfg.regions.values() for zone in region.availability_zones}


def _check_services(cfg: Config) -> Iterator[Finding]:
    served = {upstream.service for upstream in cfg.upstreams.values()}
    for name, service in cfg.services.items():
        path = ("services", name)
        if name in RESERVED_PATHS or "/" in name:
            message = "not a name for a service: a daemon's own pages use it, or it holds a slash"
            yield Finding(path, name, message, "choose another name")
        if service.default_timeout_s > service.max_timeout_s:
            field = (*path, "default_timeout_s")
            message = f"longer than max_timeout_s ({service.max_timeout_s:g} s)"
            yield Finding(field, service.default_timeout_s, message, "lower it or raise the other")
        if service.answer_bytes > service.max_answer_bytes:
            field = (*path, "answer_bytes")
            message = f"more than max_answer_bytes ({service.max_answer_bytes})"
            yield Finding(field, service.answer_bytes, message, "lower it or raise the other")
        if name not in served:
            yield _warning(path, "", "no upstream serves it", "add upstreams or delete the service")


def _check_upstreams(cfg: Config) -> Iterator[Finding]:
    zones = _zones(cfg)
    holders: dict[str, list[UpstreamId]] = {}
    for name, upstream in cfg.upstreams.items():
        if upstream.service not in cfg.services:
            path = ("upstreams", name, "service")
            yield _unknown(path, upstream.service, "service", cfg.services)
        if upstream.availability_zone not in zones:
            path = ("upstreams", name, "availability_zone")
            yield _unknown(path, upstream.availability_zone, "availability zone", zones)
        path = ("upstreams", name, "address")
        if not is_address(upstream.address):
            remedy = "give an IP number and a port, such as 10.0.0.7:8080 or [fd00::7]:8080"
            yield Finding(path, upstream.address, "not IP:port", remedy)
        holders.setdefault(upstream.address, []).append(name)
    for address, names in holders.items():
        for holder in names if len(names) > 1 else ():
            others = ", ".join(other for other in names if other != holder)
            path = ("upstreams", holder, "address")
            message = f"also the address of {others}"
            yield Finding(path, address, message, "give each upstream its own address")


def is_address(text: str) -> bool:
    """Return whether a text is an IP number and a port, IPv6 in brackets."""
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
    moved: dict[tuple[ServiceName, RegionName], float] = {}
    for name, shift in cfg.shifts.items():
        path = ("shifts", name)
        if shift.service not in cfg.services:
            yield _unknown((*path, "service"), shift.service, "service", cfg.services)
        yield from _check_ends(cfg, "shifts", name, shift.source, shift.destination)
        if shift.cap_fraction < shift.fraction:
            message = f"below the fraction that should move ({shift.fraction:g})"
            field = (*path, "cap_fraction")
            yield Finding(field, shift.cap_fraction, message, "raise the cap or lower the fraction")
        if not _capacity(cfg, shift.service, [], region=shift.destination):
            message = f"region {shift.destination} has no upstream of {shift.service}"
            yield Finding((*path, "destination"), shift.destination, message, "name another region")
        key = (shift.service, shift.source)
        moved[key] = moved.get(key, 0.0) + shift.fraction
        if moved[key] > 1 + FRACTION_ROUNDING:
            message = f"shifts of {shift.service} out of {shift.source} sum to {moved[key]:g}"
            yield Finding(
                (*path, "fraction"), shift.fraction, message, "keep the sum at 1 or below"
            )


def _check_drains(cfg: Config) -> Iterator[Finding]:
    known: dict[str, set[str]] = {
        "upstream": set(cfg.upstreams),
        "availability_zone": _zones(cfg),
        "region": set(cfg.regions),
    }
    for name, drain in cfg.drains.items():
        named = {field: getattr(drain, field) for field in known if getattr(drain, field)}
        if len(named) != 1:
            remedy = "name exactly one of upstream, availability_zone and region"
            yield Finding(("drains", name), sorted(named), f"names {len(named)} things", remedy)
        for field, value in named.items():
            if value not in known[field]:
                yield _unknown(
                    ("drains", name, field), value, field.replace("_", " "), known[field]
                )
        if drain.service and drain.service not in cfg.services:
            path = ("drains", name, "service")
            yield _unknown(path, drain.service, "service", cfg.services)
    yield from _check_capacity_left(cfg)


def _check_capacity_left(cfg: Config) -> Iterator[Finding]:
    """Find the first drain, in order of their starts, that leaves a service without a slot."""
    ordered = sorted(cfg.drains, key=lambda name: (cfg.drains[name].start, name))
    for service in cfg.services:
        if not _capacity(cfg, service, []):
            continue
        for count in range(1, len(ordered) + 1):
            drains = [cfg.drains[name] for name in ordered[:count]]
            if not _capacity(cfg, service, drains):
                message = f"leaves {service} without capacity ({', '.join(ordered[:count])})"
                remedy = "drain less, or end another drain first"
                yield Finding(("drains", ordered[count - 1]), "", message, remedy)
                break


def _capacity(
    cfg: Config, service: ServiceName, drains: list[Drain], region: RegionName | None = None
) -> int:
    """Return the slots of a service, in one region or all, that no drain takes away."""
    if service not in cfg.services:
        return 0
    total = 0
    for name, upstream in cfg.upstreams.items():
        home = region_of_zone(cfg, upstream.availability_zone)
        if upstream.service != service or (region is not None and home != region):
            continue
        if not any(drain_applies_to(cfg, drain, name, upstream) for drain in drains):
            total += slots_of(cfg, name)
    return total


Network = ipaddress.IPv4Network | ipaddress.IPv6Network


def _check_blocks(cfg: Config) -> Iterator[Finding]:
    zones = _zones(cfg)
    seen: dict[Network, tuple[str, ZoneName]] = {}
    for text, zone in cfg.client_blocks.items():
        path = ("client_blocks", text)
        if zone not in zones:
            yield _unknown(path, zone, "availability zone", zones)
        try:
            network = ipaddress.ip_network(text, strict=False)
        except ValueError:
            remedy = "give a block such as 10.1.0.0/16 or fd00:1::/32"
            yield Finding(path, zone, "not a block of IP numbers", remedy)
            continue
        if network.version == 6 and network.prefixlen > MAX_V6_PREFIX:
            remedy = f"give a block of at most {MAX_V6_PREFIX} bits"
            yield Finding(path, zone, "too long a prefix for IPv6", remedy)
        if str(network) != text:
            remedy = f"write {network}"
            yield Finding(path, zone, "not the usual form of the block", remedy)
        other, other_zone = seen.setdefault(network, (text, zone))
        if other != text and other_zone != zone:
            message = f"the same block as {other}, which is given to {other_zone}"
            yield Finding(path, zone, message, "keep one of them")
    yield from _check_nesting(seen)


def _check_nesting(blocks: dict[Network, tuple[str, ZoneName]]) -> Iterator[Finding]:
    """Warn of blocks inside others that go elsewhere: the longer prefix wins there."""
    for network, (text, zone) in blocks.items():
        outer = network
        while outer.prefixlen > 0:
            outer = outer.supernet()
            if outer in blocks:
                outer_text, outer_zone = blocks[outer]
                if outer_zone != zone:
                    message = f"lies inside {outer_text}, which is given to {outer_zone}"
                    remedy = "nothing to do if meant: the longer prefix wins"
                    yield _warning(("client_blocks", text), zone, message, remedy)
                break


_CHECKS: tuple[Callable[[Config], Iterator[Finding]], ...] = (
    _check_bounds,
    _check_regions,
    _check_links,
    _check_services,
    _check_upstreams,
    _check_shifts,
    _check_drains,
    _check_blocks,
)
