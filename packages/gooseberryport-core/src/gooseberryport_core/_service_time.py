"""How long a ticket would wait, by the service times seen so far."""

from __future__ import annotations

SMOOTHING = 0.05
"""Weight of the newest service time in the mean."""


class ServiceTime:
    """Keep a moving mean of the time that a pool's upstreams take for one request."""

    def __init__(self) -> None:
        self._mean_s = 0.0

    @property
    def mean_s(self) -> float:
        """The mean, in seconds; 0 before the first measurement."""
        return self._mean_s

    def add(self, duration_s: float) -> None:
        """Take a measured service time into the mean; seconds."""
        if self._mean_s == 0.0:
            self._mean_s = duration_s
        else:
            self._mean_s += SMOOTHING * (duration_s - self._mean_s)

    def wait_s(self, ahead: int, slots: int) -> float:
        """Return the expected wait of a ticket behind `ahead` others at busy slots; seconds."""
        if slots == 0:
            return float("inf")
        return (ahead + 1) * self._mean_s / slots
