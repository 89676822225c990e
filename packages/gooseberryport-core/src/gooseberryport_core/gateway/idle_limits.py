"""The time for which a connection may be idle and still be reused.

Failure pattern: upstreams, or network devices on the path, drop idle connections without notice and
much earlier than they announce; the next request on such a connection is answered by a reset. A
request that may run at most once is lost with it, so the limit on the idle time is learned from the
first resets.
"""

from __future__ import annotations

import msgspec

from gooseberryport_core.types import ServiceName, UpstreamId

IDLE_LIMIT_FRACTION = 0.5
"""Limit on the idle time, as a fraction of the shortest idle time that led to a reset."""

LEARNED_LIMIT_TTL_S = 10.0
"""Time for which a limit holds after the reset that it was learned from; seconds."""

MIN_RESETTING_UPSTREAMS = 2
"""Upstreams of a service that must reset idle connections before a limit holds for all of them."""


class _Limit(msgspec.Struct):
    max_idle_s: float
    expires_at: float


class IdleLimits:
    """Learns from resets for how long connections to upstreams may be idle."""

    def __init__(self) -> None:
        self._limits: dict[ServiceName, dict[UpstreamId, _Limit]] = {}

    def record_reset(
        self, *, service: ServiceName, upstream: UpstreamId, idle_s: float, now: float
    ) -> None:
        """Record that an idle connection was reset as soon as it was reused."""
        limits = self._limits.setdefault(service, {})
        known_limit = limits.get(upstream)
        max_idle_s = idle_s * IDLE_LIMIT_FRACTION
        if known_limit is not None and known_limit.expires_at > now:
            max_idle_s = min(max_idle_s, known_limit.max_idle_s)
        limits[upstream] = _Limit(max_idle_s, now + LEARNED_LIMIT_TTL_S)

    def max_idle_s(self, *, service: ServiceName, upstream: UpstreamId, now: float) -> float:
        """Return the maximum idle time after which a connection may be reused; infinite if unknown.

        If several upstreams of the service reset idle connections, the lowest limit among them
        holds for all upstreams of the service.
        """
        limits = self._limits.get(service)
        if not limits:
            return float("inf")
        for upstream_id in [
            upstream_id for upstream_id, limit in limits.items() if limit.expires_at <= now
        ]:
            del limits[upstream_id]
        if len(limits) >= MIN_RESETTING_UPSTREAMS:
            return min(limit.max_idle_s for limit in limits.values())
        upstream_limit = limits.get(upstream)
        return upstream_limit.max_idle_s if upstream_limit is not None else float("inf")

    def forget(self, upstream: UpstreamId) -> None:
        """Drop the limit learned for an upstream that was removed."""
        for limits in self._limits.values():
            limits.pop(upstream, None)
