"""Mean service time of a pool and the queueing delay that follows from it."""

from __future__ import annotations

NEWEST_WEIGHT = 0.05
"""Weight of the newest service time in the moving mean."""


class ServiceTime:
    """Keeps an exponential moving mean of the time that a pool's upstreams take for a request."""

    def __init__(self) -> None:
        self._mean_s = 0.0

    @property
    def mean_s(self) -> float:
        """The mean, in seconds; 0 before the first measurement."""
        return self._mean_s

    def add(self, duration_s: float) -> None:
        """Add a measured service time to the mean; seconds."""
        if self._mean_s == 0.0:
            self._mean_s = duration_s
        else:
            self._mean_s += NEWEST_WEIGHT * (duration_s - self._mean_s)

    def wait_s(self, ahead: int, slots: int) -> float:
        """Return the expected wait of a ticket behind `ahead` others, all slots busy; seconds."""
        if slots == 0:
            return float("inf")
        return (ahead + 1) * self._mean_s / slots
