"""Estimates of how long work takes at each upstream, from what the upstreams state.

Load pattern: machines of one service differ by up to a factor of 2.5, and each states with its
responses how long work takes there now. Some are slow for good, others for less than a second at a
time. There are two estimates for that. The lasting one starts at the normal speed, each report
moves it by its share of the recent reports, and it returns to normal when the reports grow old. The
present one follows the newest report and returns to the lasting one within a second.

A gateway gets a response of one upstream every few seconds, too rarely for the present estimate.
Gateways of a region therefore report to each other which upstreams became slow or normal again.
"""

from __future__ import annotations

import math
from collections import deque

import msgspec

from gooseberryport_core.gateway.upstreams import Upstream
from gooseberryport_core.types import ServiceName, UpstreamId

NORMAL_SPEED = 100
"""Stated value of a machine on which work takes the usual time; percent of that time."""

MIN_STATED_SPEED = 25
MAX_STATED_SPEED = 400
"""Bounds to which a stated value is clamped: a false one must not attract all requests or keep an
upstream idle for long; percent."""

REPORT_MEMORY_S = 20.0
"""Time in which a report's weight falls to 37%. One of 100 gateways sees a response of an upstream
about once in 10 s; after 5 s its reports would count for a fifth only; seconds."""

PRIOR_REPORTS = 1.0
"""Weight of the normal speed, in new reports: the first report counts for half."""

NEWEST_MEMORY_S = 0.6
"""Time in which the weight of the newest report falls to 37%. Upstreams that share their machines
were measured to be slow for about 0.6 s at a time; seconds."""

SLOW_SPEED = 130
"""Stated value from which an upstream counts as slow and is reported to other gateways; percent."""

MAX_SPEED_CHANGES = 128
"""Reports that are kept for other gateways; they fit into one datagram."""

STATED_TTL_S = 10.0
"""Age of the newest stated speed from which a service counts as stating none; seconds."""

MAX_SERVICES = 1_000
"""Services of which it is known when a speed was last stated; from then on all are learnt anew."""


class _SpeedReports(msgspec.Struct):
    """The weighted reports of one incarnation of an upstream; weights are those at time `at`."""

    started_ms: int
    at: float
    weight: float = 0.0
    weighted_sum: float = 0.0
    newest: int = NORMAL_SPEED


class SpeedEstimates:
    """Holds the estimated time factors of the upstreams that state a speed.

    An upstream that states none is not held, and has the factor 1. Observations hold for one
    incarnation of an upstream. The caller forgets upstreams that were removed, which bounds the
    number of those held.
    """

    def __init__(self) -> None:
        self._reports: dict[UpstreamId, _SpeedReports] = {}
        self._stated_at: dict[ServiceName, float] = {}
        self._changes: deque[tuple[float, UpstreamId, int]] = deque(maxlen=MAX_SPEED_CHANGES)

    def __len__(self) -> int:
        return len(self._reports)

    def record(
        self, upstream: Upstream, speed: int, *, now: float, observed_here: bool = True
    ) -> None:
        """Record the speed that an upstream states.

        Parameters
        ----------
        upstream
            Upstream that responded.
        speed
            Time that work takes, 100 is normal; clamped to a plausible range; percent.
        now
            Monotonic time of the response; seconds. One before the newest known is ignored.
        observed_here
            Whether this gateway got the response itself, and reports it to others.
        """
        entry = upstream.entry
        known = self._reports.get(entry.upstream)
        if known is not None and now < known.at:
            return
        if known is None or known.started_ms != entry.started_ms:
            known = self._reports[entry.upstream] = _SpeedReports(
                started_ms=entry.started_ms, at=now
            )
        decay = _weight(now - known.at)
        known.weight = known.weight * decay + 1.0
        stated = min(max(speed, MIN_STATED_SPEED), MAX_STATED_SPEED)
        known.weighted_sum = known.weighted_sum * decay + stated
        if observed_here and max(stated, known.newest) >= SLOW_SPEED:
            self._changes.append((now, entry.upstream, stated))
        known.newest = stated
        known.at = now
        if entry.service not in self._stated_at and len(self._stated_at) >= MAX_SERVICES:
            self._stated_at.clear()
        self._stated_at[entry.service] = now

    def changes(self, *, now: float, max_age_s: float) -> list[tuple[UpstreamId, int]]:
        """Return the speeds to report: of upstreams that became slow or normal again."""
        return [(upstream, speed) for at, upstream, speed in self._changes if now - at <= max_age_s]

    def present_factor(self, upstream: Upstream, *, now: float) -> float:
        """Return how long work takes at an upstream now, relative to the usual time."""
        lasting = self.lasting_factor(upstream, now=now)
        known = self._reports.get(upstream.id)
        if known is None or known.started_ms != upstream.entry.started_ms:
            return lasting
        weight = math.exp(-max(now - known.at, 0.0) / NEWEST_MEMORY_S)
        return lasting + weight * (known.newest / NORMAL_SPEED - lasting)

    def lasting_factor(self, upstream: Upstream, *, now: float) -> float:
        """Return how long work takes at an upstream in the mean, relative to the usual time."""
        known = self._reports.get(upstream.id)
        if known is None or known.started_ms != upstream.entry.started_ms:
            return 1.0
        decay = _weight(now - known.at)
        total = PRIOR_REPORTS * NORMAL_SPEED + known.weighted_sum * decay
        return total / (PRIOR_REPORTS + known.weight * decay) / NORMAL_SPEED

    def is_stated(self, service: ServiceName, *, now: float) -> bool:
        """Return whether an upstream of a service stated a speed lately."""
        return now - self._stated_at.get(service, -math.inf) < STATED_TTL_S

    def forget(self, upstream: UpstreamId) -> None:
        """Forget an upstream that was removed."""
        self._reports.pop(upstream, None)


def _weight(age_s: float) -> float:
    return math.exp(-max(age_s, 0.0) / REPORT_MEMORY_S)
