"""An entry daemon's estimates of the wait in each pool, from pool loads that become stale."""

from __future__ import annotations

import math

import msgspec

from gooseberryport_core.messages import PoolLoad

DEFAULT_SERVICE_TIME_S = 0.1
"""Service time assumed before any measurement; seconds."""

LOAD_DECAY_S = 0.5
"""Time constant of the decay of a load's weight, e^-1 at this age; seconds."""

DEFAULT_BUSY_FRACTION = 0.5
"""Fraction of a pool's slots that is assumed busy if its load is unknown."""


class PoolLoadEstimate(msgspec.Struct):
    """Combines a pool's newest load with the requests that this daemon has sent there since.

    Parameters
    ----------
    configured_slots
        Number of slots by the configuration, used if no current load is known.
    load, at
        The newest load, and when it was measured; seconds, monotonic.
    sent, sent_at
        Estimated number of the requests sent since then that are still there, and when that number
        was computed; seconds, monotonic.
    """

    configured_slots: int
    load: PoolLoad | None = None
    at: float = float("-inf")
    sent: float = 0.0
    sent_at: float = 0.0

    @property
    def slots(self) -> int:
        """Number of slots by the newest load, or else by the configuration."""
        return self.load.slots if self.load is not None else self.configured_slots

    @property
    def service_s(self) -> float:
        """Mean service time by the newest load, or else the default; seconds."""
        measured = self.load.service_s if self.load is not None else 0.0
        return measured or DEFAULT_SERVICE_TIME_S

    @property
    def failing(self) -> bool:
        """Whether the newest load reports that every upstream fails."""
        return self.load is not None and self.load.failing

    def record(self, load: PoolLoad, at: float) -> None:
        """Record a load measured at `at` if it is newer than the last one; seconds, monotonic."""
        if at <= self.at + 1e-6:
            return
        self.load = load
        self.at = at
        self.sent = 0.0
        self.sent_at = at

    def forget(self) -> None:
        """Forget the load, because it is too old."""
        self.load = None
        self.at = float("-inf")

    def record_sent(self, now: float) -> None:
        """Record that this daemon sends a request to the pool."""
        self.sent = self._still_sent(now) + 1.0
        self.sent_at = now

    def wait_s(self, now: float) -> float:
        """Return the expected wait of one more request; seconds, infinity if no slot is usable."""
        slots = self.slots
        if slots <= 0:
            return float("inf")
        age_s = max(0.0, now - self.at)
        trust = math.exp(-age_s / LOAD_DECAY_S)
        assumed_excess = -(1.0 - DEFAULT_BUSY_FRACTION) * slots
        reported_excess = (
            self.load.busy + self.load.queued - slots if self.load is not None else 0.0
        )
        excess = (
            trust * reported_excess + (1.0 - trust) * assumed_excess + self._still_sent(now) + 1.0
        )
        spread = math.sqrt(slots * min(1.0, age_s / self.service_s))
        return _positive_part(excess, spread) * self.service_s / slots

    def _still_sent(self, now: float) -> float:
        return self.sent * math.exp(-max(0.0, now - self.sent_at) / self.service_s)


def _positive_part(mean: float, spread: float) -> float:
    """Return the mean of the positive part of a normal variable."""
    if spread == 0.0:
        return max(0.0, mean)
    ratio = mean / spread
    density = math.exp(-0.5 * ratio * ratio) / math.sqrt(2 * math.pi)
    probability_positive = 0.5 * (1.0 + math.erf(ratio / math.sqrt(2.0)))
    return spread * density + mean * probability_positive
