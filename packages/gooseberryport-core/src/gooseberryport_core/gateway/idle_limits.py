"""How long an idle connection may rest before it is not used again.

Load pattern: upstreams, or what stands between, forget idle connections much earlier than they
say, without a word; whatever is sent next on such a connection is reset. A request that may run
once at most is lost with it, so the first resets must be enough to learn from.
"""

from __future__ import annotations

import msgspec

from gooseberryport_core.types import ServiceName, UpstreamId

REST_SHARE = 0.5
"""Part of the shortest rest after which a connection was reset that others may rest."""

LEARNED_LIMIT_TTL_S = 10.0
"""How long a limit holds after the reset that it was learned from; seconds."""

SEVERAL = 2
"""Upstreams of a service that must forget connections before a limit holds for all of them."""


class _Limit(msgspec.Struct):
    rest_s: float
    until: float


class IdleLimits:
    """Learn from resets how long connections to upstreams may rest."""

    def __init__(self) -> None:
        self._limits: dict[ServiceName, dict[UpstreamId, _Limit]] = {}

    def record_reset(
        self, *, service: ServiceName, upstream: UpstreamId, idle_s: float, now: float
    ) -> None:
        """Note that a connection was reset at once when it was used after a rest."""
        limits = self._limits.setdefault(service, {})
        known = limits.get(upstream)
        rest_s = idle_s * REST_SHARE
        if known is not None and known.until > now:
            rest_s = min(rest_s, known.rest_s)
        limits[upstream] = _Limit(rest_s, now + LEARNED_LIMIT_TTL_S)

    def max_idle_s(self, *, service: ServiceName, upstream: UpstreamId, now: float) -> float:
        """Return the longest rest after which a connection may be used; infinite if not known.

        The shortest limit of the service counts if several of its upstreams forgot connections.
        """
        limits = self._limits.get(service)
        if not limits:
            return float("inf")
        for each in [name for name, limit in limits.items() if limit.until <= now]:
            del limits[each]
        if len(limits) >= SEVERAL:
            return min(limit.rest_s for limit in limits.values())
        own = limits.get(upstream)
        return own.rest_s if own is not None else float("inf")

    def forget(self, upstream: UpstreamId) -> None:
        """Drop what was learned of an upstream that is gone."""
        for limits in self._limits.values():
            limits.pop(upstream, None)
