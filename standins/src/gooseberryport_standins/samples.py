"""A typical route and upstream entry, of which tests change the fields that they test."""

from __future__ import annotations

from typing import Any

from gooseberryport_core.gateway.model import (
    Destination,
    Repeatability,
    Route,
    UpstreamEntry,
    UpstreamState,
)
from gooseberryport_core.types import ServiceName

SERVICE = ServiceName("s")


def make_route(**changes: Any) -> Route:
    """Return a route for ``h.example/a/`` with some fields changed."""
    fields: dict[str, Any] = {
        "name": "r",
        "host": "h.example",
        "prefix": "/a/",
        "repeatability": Repeatability.IDEMPOTENT,
        "destinations": (Destination(SERVICE, 1.0),),
        "timeout_s": 1.0,
        "objective_s": 0.4,
        "max_attempts": 2,
        "priority": 1,
        "object_affinity": True,
        "allowed_regions": frozenset(),
    }
    return Route(**(fields | changes))


def make_entry(name: str = "u1", **changes: Any) -> UpstreamEntry:
    """Return the entry of a ready, warm upstream with some fields changed."""
    fields: dict[str, Any] = {
        "upstream": name,
        "service": SERVICE,
        "zone": "a1",
        "address": ("127.0.0.1", 80),
        "slots": 4,
        "state": UpstreamState.READY,
        "cold_s": 0.0,
        "started_ms": 1000,
        "sequence": 1,
    }
    return UpstreamEntry(**(fields | changes))
