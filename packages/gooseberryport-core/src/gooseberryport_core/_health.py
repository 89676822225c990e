"""Outlier ejection: health of a pool's upstreams, judged by the attempts of the pool's owner."""

from __future__ import annotations

import random
from enum import Enum

import msgspec

from gooseberryport_core.types import UpstreamId

UNHEALTHY_CONSECUTIVE_FAILURES = 3
"""Number of consecutive failures from which an upstream counts as unhealthy."""

FAILURE_FRACTION_WEIGHT = 0.1
"""Weight of the newest attempt in the moving average of an upstream's failure fraction."""

UNHEALTHY_FAILURE_FRACTION = 0.5
"""Failure fraction from which an upstream counts as unhealthy."""

MIN_ATTEMPTS = 10
"""Minimum number of attempts before an upstream's failure fraction is used."""

MAX_EJECTED_FRACTION = 0.5
"""Maximum fraction of a pool's upstreams that are ejected at once."""

INITIAL_EJECTION_S = 1.0
"""Duration of an upstream's first ejection; it doubles with each failed probe; seconds."""

MAX_EJECTION_S = 30.0
"""Maximum duration of an ejection, before jitter; seconds."""


class Evidence(Enum):
    """What an attempt shows about the health of its upstream."""

    GOOD = "good"
    FAILED = "failed"
    UNREACHABLE = "unreachable"
    """No connection could be made, so the upstream ran nothing."""


class _EjectionState(Enum):
    """Whether an upstream is ejected."""

    IN_USE = "in-use"
    EJECTED = "ejected"


class _UpstreamHealth(msgspec.Struct):
    """Observations of one upstream."""

    state: _EjectionState = _EjectionState.IN_USE
    consecutive_failures: int = 0
    unreachable: bool = False
    attempts: int = 0
    failure_fraction: float = 0.0
    ejected_until: float = 0.0
    ejection_s: float = INITIAL_EJECTION_S
    in_use_since: float = float("-inf")

    @property
    def fails_too_often(self) -> bool:
        fails_often = (
            self.attempts >= MIN_ATTEMPTS and self.failure_fraction >= UNHEALTHY_FAILURE_FRACTION
        )
        return self.consecutive_failures >= UNHEALTHY_CONSECUTIVE_FAILURES or fails_often


class PoolHealth:
    """Ejects upstreams that fail, probes them, and returns their slots by slow start.

    Failure pattern: if all upstreams look unhealthy, it is more likely that the measurements are
    wrong than that every upstream fails. So only a fraction of a pool is ejected, and the other
    upstreams keep serving within their slots. An unreachable upstream that must not be ejected
    gets one request at a time.

    Parameters
    ----------
    rng
        Source of jitter.
    """

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._health_of: dict[UpstreamId, _UpstreamHealth] = {}
        self._slow_start_s = 0.0

    def configure(self, upstreams: tuple[UpstreamId, ...], slow_start_s: float, now: float) -> None:
        """Set the pool's upstreams; those that join a known pool begin with slow start."""
        joined_at = now if self._health_of else float("-inf")
        self._slow_start_s = slow_start_s
        self._health_of = {
            name: self._health_of.get(name) or _UpstreamHealth(in_use_since=joined_at)
            for name in upstreams
        }

    def allowed_slots(self, upstream: UpstreamId, limit: int, now: float) -> int:
        """Return how many of `limit` slots an upstream may use now."""
        health = self._health_of.get(upstream)
        if health is None:
            return limit
        if health.state is not _EjectionState.IN_USE:
            return min(limit, 1) if now >= health.ejected_until else 0
        if health.fails_too_often and health.unreachable:
            return min(limit, 1)
        in_use_s = now - health.in_use_since
        if in_use_s >= self._slow_start_s:
            return limit
        return min(limit, 1 + int(limit * in_use_s / self._slow_start_s))

    def is_unhealthy(self, upstream: UpstreamId) -> bool:
        """Return whether an upstream is ejected or fails too often, so others are preferred."""
        health = self._health_of.get(upstream)
        return health is not None and (
            health.fails_too_often or health.state is not _EjectionState.IN_USE
        )

    @property
    def failing(self) -> bool:
        """Whether every upstream of the pool is unhealthy."""
        return bool(self._health_of) and all(self.is_unhealthy(name) for name in self._health_of)

    def record(self, upstream: UpstreamId, evidence: Evidence, now: float) -> None:
        """Record the evidence of an attempt; it may eject the upstream or end its ejection."""
        health = self._health_of.get(upstream)
        if health is None:
            return
        failed = evidence is not Evidence.GOOD
        health.attempts += 1
        health.failure_fraction += FAILURE_FRACTION_WEIGHT * (failed - health.failure_fraction)
        health.consecutive_failures = health.consecutive_failures + 1 if failed else 0
        health.unreachable = evidence is Evidence.UNREACHABLE
        if health.state is _EjectionState.IN_USE:
            if health.fails_too_often and self._may_eject():
                self._eject(health, now)
        elif now >= health.ejected_until:
            self._record_probe(health, failed, now)

    def _record_probe(self, health: _UpstreamHealth, failed: bool, now: float) -> None:
        if failed:
            health.ejection_s = min(2 * health.ejection_s, MAX_EJECTION_S)
            self._eject(health, now)
            return
        health.state = _EjectionState.IN_USE
        health.in_use_since = now
        health.attempts = 0
        health.failure_fraction = 0.0
        health.ejection_s = INITIAL_EJECTION_S

    def _may_eject(self) -> bool:
        num_ejected = sum(
            1 for health in self._health_of.values() if health.state is not _EjectionState.IN_USE
        )
        return num_ejected + 1 <= MAX_EJECTED_FRACTION * len(self._health_of)

    def _eject(self, health: _UpstreamHealth, now: float) -> None:
        health.state = _EjectionState.EJECTED
        health.ejected_until = now + health.ejection_s * self._rng.uniform(1.0, 1.25)
