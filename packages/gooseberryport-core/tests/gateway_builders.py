"""Builders of upstreams, views, configurations and members for tests of the gateway's decisions."""

from gooseberryport_core.gateway.model import (
    ClientLimits,
    Member,
    RoutingConfig,
)
from gooseberryport_core.gateway.placement import PlacementView
from gooseberryport_core.gateway.upstreams import Upstream
from gooseberryport_standins.samples import make_entry

REGIONS = {"a1": "A", "a2": "A", "b1": "B", "b2": "B"}


def upstreams(count, *, zones=("a1",), slots=4):
    return [
        Upstream(entry=make_entry(f"u{index}", zone=zones[index % len(zones)], slots=slots))
        for index in range(count)
    ]


def view(
    *,
    loads=None,
    warm=(),
    unused=(),
    sendable=lambda upstream: True,
    zone="a1",
    objects=None,
    prefers_local=False,
    full=(),
):
    loads = loads or {}
    objects = objects or {}
    return PlacementView(
        zone=zone,
        region_of=lambda zone: REGIONS[zone],
        load_of=lambda upstream: loads.get(upstream.id, 0),
        can_send=sendable,
        is_warm=lambda upstream: upstream.id in warm,
        is_unused=lambda upstream: upstream.id in unused,
        objects_of=lambda upstream: objects.get(upstream.id, 0),
        has_room=lambda upstream: upstream.id not in full,
        prefers_local=prefers_local,
    )


def config(*routes, version=1, **tenants):
    return RoutingConfig(
        version=version, routes=routes, services={}, limits=ClientLimits(), **tenants
    )


def member(vm, *, zone="a1", incarnation=1):
    return Member(
        vm=vm,
        zone=zone,
        region=REGIONS[zone],
        front=f"{vm}:80",
        datagrams=(vm, 9),
        incarnation=incarnation,
    )
