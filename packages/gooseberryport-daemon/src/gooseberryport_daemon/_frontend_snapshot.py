"""Builds the HTTP frontend's snapshot from the node's state."""

from __future__ import annotations

from gooseberryport_core import Node
from gooseberryport_core.config import Config
from gooseberryport_core.types import ServiceName
from gooseberryport_daemon._frontend import FrontendSnapshot, ServiceLimits


def frontend_snapshot(node: Node, now: float, *, stopping: bool, closed: bool) -> FrontendSnapshot:
    """Return the node's state at `now` as the HTTP frontend needs it."""
    return FrontendSnapshot(
        lookup=node.lookup_snapshot(now),
        services=_limits(node.cfg),
        stopping=stopping,
        closed=closed,
    )


def _limits(cfg: Config) -> dict[ServiceName, ServiceLimits] | None:
    if cfg.version == 0:
        return None
    return {
        name: ServiceLimits(
            service.max_body_bytes, service.default_timeout_s, service.max_timeout_s
        )
        for name, service in cfg.services.items()
    }
