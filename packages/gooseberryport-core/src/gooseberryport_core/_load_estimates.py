"""What an entry daemon believes of the wait in each pool, from figures that age."""

from __future__ import annotations

import math

import msgspec

from gooseberryport_core.messages import PoolLoad

DEFAULT_SERVICE_TIME_S = 0.1
"""Service time assumed before any measurement; seconds."""

FIGURE_LIFE_S = 0.5
"""Age at which a figure counts for a third of what it counted when new; seconds."""

UNKNOWN_BUSY = 0.5
"""Part of a pool's slots that is assumed busy without figures."""


class PoolLoadEstimate(msgspec.Struct):
    """Combine a pool's newest figure with what this daemon has sent there since.

    Parameters
    ----------
    configured_slots
        Slots by the configuration, which count once figures are too old.
    """

    configured_slots: int
    load: PoolLoad | None = None
    at: float = float("-inf")
    sent: float = 0.0
    sent_at: float = 0.0

    @property
    def slots(self) -> int:
        """Slots by the newest figure, or by the configuration."""
        return self.load.slots if self.load is not None else self.configured_slots

    @property
    def service_s(self) -> float:
        """Mean service time by the newest figure; seconds."""
        measured = self.load.service_s if self.load is not None else 0.0
        return measured or DEFAULT_SERVICE_TIME_S

    @property
    def failing(self) -> bool:
        """Whether the newest figure says that each upstream fails."""
        return self.load is not None and self.load.failing

    def record(self, load: PoolLoad, at: float) -> None:
        """Take a figure of the time `at`, if it is newer than the last."""
        if at <= self.at + 1e-6:
            return
        self.load = load
        self.at = at
        self.sent = 0.0
        self.sent_at = at

    def forget(self) -> None:
        """Forget a figure that is too old to mean anything."""
        self.load = None
        self.at = float("-inf")

    def record_sent(self, now: float) -> None:
        """Count a request that this daemon sends to the pool."""
        self.sent = self._still_sent(now) + 1.0
        self.sent_at = now

    def wait_s(self, now: float) -> float:
        """Return the expected wait of one more request; seconds, infinity if nothing is usable."""
        slots = self.slots
        if slots <= 0:
            return float("inf")
        age_s = max(0.0, now - self.at)
        trust = math.exp(-age_s / FIGURE_LIFE_S)
        unknown = -(1.0 - UNKNOWN_BUSY) * slots
        told = self.load.busy + self.load.queued - slots if self.load is not None else 0.0
        excess = trust * told + (1.0 - trust) * unknown + self._still_sent(now) + 1.0
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
    below = 0.5 * (1.0 + math.erf(ratio / math.sqrt(2.0)))
    return spread * density + mean * below
