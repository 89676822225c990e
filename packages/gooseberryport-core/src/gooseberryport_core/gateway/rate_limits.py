"""Rate limits that upstreams state in their responses."""

from __future__ import annotations

from gooseberryport_core.gateway.limits import SlidingWindow
from gooseberryport_core.types import UpstreamId

RATE_WINDOW_S = 4.0
"""Window in which requests to an upstream are counted; seconds."""


class UpstreamRateLimits:
    """Tracks the rate limits that upstreams state, and the requests sent to these upstreams."""

    def __init__(self) -> None:
        self._limits: dict[UpstreamId, float] = {}
        self._sent: dict[UpstreamId, SlidingWindow] = {}

    def __len__(self) -> int:
        return len(self._limits)

    def limit(self, upstream: UpstreamId) -> float | None:
        """Return the requests per second that an upstream accepts, or None if unlimited."""
        return self._limits.get(upstream)

    def record_stated(self, upstream: UpstreamId, *, per_s: float | None) -> bool:
        """Record what a response states; return whether the limit changed.

        Parameters
        ----------
        upstream
            Upstream that responded.
        per_s
            Requests per second that it accepts from all gateways; None for no limit.
        """
        if self._limits.get(upstream) == per_s:
            return False
        if per_s is None:
            del self._limits[upstream]
        else:
            self._limits[upstream] = per_s
        return True

    def record_sent(self, upstream: UpstreamId, *, now: float) -> None:
        """Record a request that is sent to an upstream, whether it states a limit or not."""
        window = self._sent.get(upstream)
        if window is None:
            window = self._sent[upstream] = SlidingWindow(length_s=RATE_WINDOW_S)
        window.add(now)

    def sent_count(self, upstream: UpstreamId, *, now: float) -> int:
        """Return the number of requests sent in the last `RATE_WINDOW_S`."""
        window = self._sent.get(upstream)
        return window.count(now) if window is not None else 0

    def forget(self, upstream: UpstreamId) -> None:
        """Drop what is known of an upstream that was removed."""
        self._limits.pop(upstream, None)
        self._sent.pop(upstream, None)
