"""Small worlds for the tests of a gateway's decisions."""

from gooseberryport_core.gateway.model import (
    ClientLimits,
    Member,
    Part,
    Repeatability,
    Route,
    RoutingConfig,
    UpstreamEntry,
    UpstreamState,
)
from gooseberryport_core.gateway.placement import View
from gooseberryport_core.gateway.upstreams import Upstream

REGIONS = {"a1": "A", "a2": "A", "b1": "B", "b2": "B"}


def entry(name="u1", **changes):
    fields = {
        "upstream": name,
        "service": "s",
        "zone": "a1",
        "address": ("10.0.0.1", 80),
        "slots": 4,
        "state": UpstreamState.READY,
        "cold_s": 0.0,
        "started_ms": 1000,
        "sequence": 1,
    }
    return UpstreamEntry(**(fields | changes))


def upstreams(count, *, zones=("a1",), slots=4):
    return [
        Upstream(entry=entry(f"u{index}", zone=zones[index % len(zones)], slots=slots))
        for index in range(count)
    ]


def view(*, loads=None, warm=(), unused=(), startable=lambda each: True, zone="a1"):
    loads = loads or {}
    return View(
        zone=zone,
        region_of=lambda zone: REGIONS[zone],
        load_of=lambda each: loads.get(each.id, 0),
        may_start=startable,
        warm=lambda each: each.id in warm,
        unused=lambda each: each.id in unused,
    )


def route(**changes):
    fields = {
        "name": "r",
        "host": "h.example",
        "prefix": "/a/",
        "repeatability": Repeatability.IDEMPOTENT,
        "parts": (Part("s", 1.0),),
        "timeout_s": 1.5,
        "objective_s": 0.4,
        "max_attempts": 2,
        "priority": 1,
        "keyed": True,
        "allowed_regions": frozenset(),
    }
    return Route(**(fields | changes))


def config(*routes, version=1):
    return RoutingConfig(version=version, routes=routes, services={}, limits=ClientLimits())


def member(vm, *, zone="a1", incarnation=1):
    return Member(
        vm=vm,
        zone=zone,
        region=REGIONS[zone],
        front=f"{vm}:80",
        datagrams=(vm, 9),
        incarnation=incarnation,
    )
