"""Rate limits that upstreams state in their responses, kept by all gateways together.

Load pattern: an upstream in need accepts fewer requests per second than it receives, and many
gateways send to it, most requests coming from few of them. The stated rate is for their sum, so
each gateway keeps to a share: whole requests in a sliding window, divided by max-min fairness among
the gateways that want to send to the upstream. The shares of a window add up to no more than the
rate, even if all are used at the same moment.

Gateways report to each other which limited upstreams they want, with the limit that they know. A
gateway that joins sends only after the others had time to learn of it, since they would otherwise
use its share. A gateway that falls silent may still be sending, so its share is kept while it
counts as a member.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable, Iterator, Sequence
from typing import Annotated

import msgspec

from gooseberryport_core._hashing import rendezvous_weight
from gooseberryport_core.gateway.limits import SlidingWindow
from gooseberryport_core.types import UpstreamId, VmId

RATE_WINDOW_S = 4.0
"""Window in which requests to an upstream are counted; seconds."""

MAX_RATE_WINDOW_S = 10.0
"""Longest window, for rates below one request in `RATE_WINDOW_S`: a request now and then shows
whether the upstream still states the limit; seconds."""

WANTED_TTL_S = 8.0
"""Time for which a gateway wants to send to an upstream after a request that would have gone there;
seconds."""

JOIN_DELAY_S = 1.0
"""Time from the first report of a gateway that wants an upstream to its first request there: longer
than the interval of reports between regions; seconds."""

UNCONFIRMED_AFTER_S = 8.0
"""Age of the newest response from which each gateway may send one request in a window, so that the
end of a limit is noticed; seconds."""

NOT_REPORTED_TTL_S = 2.0
"""Time for which a gateway that no longer reports the upstream keeps its share; seconds."""

ENDED_TTL_S = 5.0
"""Time for which the end of a limit is reported; seconds."""

MAX_REPORTED = 256
"""Maximum upstreams in one report, which bounds its datagram to some 7 KB."""

MAX_RATE_PER_S = 1_000_000.0
"""Highest rate that is kept: far more than a gateway sends, and safe to compute with; requests per
second."""

MAX_REPORTED_AGE_S = 1_000_000.0
"""Maximum age in a report; seconds."""


class RateLimitReport(msgspec.Struct, frozen=True, array_like=True):
    """What a gateway reports about a limited upstream that it wants to send to.

    Parameters
    ----------
    upstream
        Short hash of the upstream's id.
    per_s
        Requests per second that the upstream accepts from all gateways; None if it stated that it
        has no limit any more.
    age_s
        Age of the response that stated it; seconds.
    demand
        Requests in the last `RATE_WINDOW_S` that would have gone to the upstream without a limit.
    """

    upstream: int
    per_s: Annotated[float, msgspec.Meta(ge=0.0, le=MAX_RATE_PER_S)] | None
    age_s: Annotated[float, msgspec.Meta(ge=0.0, le=MAX_REPORTED_AGE_S)]
    demand: Annotated[int, msgspec.Meta(ge=0)]


class _Other(msgspec.Struct):
    """Another gateway that wants an upstream.

    Parameters
    ----------
    weight
        Its rendezvous weight for the upstream.
    demand
        Its demand, as last reported.
    reported_at
        Time of that report; monotonic seconds.
    """

    weight: int
    demand: int
    reported_at: float


class _Limit(msgspec.Struct):
    """What is known of one upstream's limit.

    Parameters
    ----------
    per_s
        Requests per second; None if the limit has ended.
    stated_at
        Time of the newest response that is known of, of any gateway; monotonic seconds.
    wanted_at, wanted_since
        When this gateway last had a request that would have gone to the upstream, and since when
        it has had them; monotonic seconds.
    demand, reported_demand
        This gateway's requests that would have gone to the upstream, and their number in its last
        report, which the others use.
    others
        Other gateways that want the upstream.
    share, share_of
        This gateway's share of a window, and the members that it was computed for; None if it must
        be computed again.
    """

    per_s: float | None
    stated_at: float
    wanted_at: float = float("-inf")
    wanted_since: float = float("-inf")
    demand: SlidingWindow = msgspec.field(
        default_factory=lambda: SlidingWindow(length_s=RATE_WINDOW_S)
    )
    reported_demand: int = 0
    others: dict[VmId, _Other] = msgspec.field(default_factory=dict)
    share: int = 0
    share_of: frozenset[VmId] | None = None

    @property
    def window_s(self) -> float:
        """Length of the window in which at least one request is allowed; seconds."""
        if not self.per_s:
            return MAX_RATE_WINDOW_S
        return min(max(RATE_WINDOW_S, 1.0 / self.per_s), MAX_RATE_WINDOW_S)


class UpstreamRateLimits:
    """Limits requests to upstreams that state a rate limit to this gateway's share of it.

    Parameters
    ----------
    vm
        This gateway.
    """

    def __init__(self, *, vm: VmId) -> None:
        self._vm = vm
        self._limits: dict[UpstreamId, _Limit] = {}
        self._sent: dict[UpstreamId, SlidingWindow] = {}

    def __len__(self) -> int:
        return sum(1 for _ in self.limited())

    def limit(self, upstream: UpstreamId) -> float | None:
        """Return the requests per second that an upstream accepts, or None if unlimited."""
        known = self._limits.get(upstream)
        return known.per_s if known is not None else None

    def record_stated(self, upstream: UpstreamId, *, per_s: float | None, stated_at: float) -> bool:
        """Record what a response states; return whether the limit changed.

        Parameters
        ----------
        upstream
            Upstream that responded.
        per_s
            Requests per second that it accepts from all gateways, at least 0; None for no limit.
            Above `MAX_RATE_PER_S`, that is kept.
        stated_at
            Time of the response; monotonic seconds. If a newer one is known, nothing changes.
        """
        known = self._limits.get(upstream)
        if per_s is not None:
            per_s = min(per_s, MAX_RATE_PER_S)
        if known is None:
            if per_s is None:
                return False
            known = self._limits[upstream] = _Limit(per_s=None, stated_at=stated_at)
            if self.sent_count(upstream, now=stated_at):
                # Gateways that already send go on without the delay, with smaller and smaller
                # shares as they learn of each other.
                known.wanted_at = stated_at
        elif stated_at < known.stated_at:
            return False
        changed = known.per_s != per_s
        if changed:
            known.per_s = per_s
            known.share_of = None
        known.stated_at = stated_at
        return changed

    def record_reported(
        self, vm: VmId, reported: dict[UpstreamId, RateLimitReport], *, now: float
    ) -> list[UpstreamId]:
        """Record a report of another gateway; return the upstreams whose limit changed.

        Parameters
        ----------
        vm
            Gateway that reports.
        reported
            Its reports about upstreams.
        now
            Monotonic time; seconds.
        """
        changed = [
            upstream
            for upstream, report in reported.items()
            if self.record_stated(
                upstream, per_s=report.per_s, stated_at=now - max(report.age_s, 0.0)
            )
        ]
        for upstream, limit in self._limits.items():
            report, other = reported.get(upstream), limit.others.get(vm)
            if report is not None and other is None:
                weight = rendezvous_weight(vm, upstream)
                limit.others[vm] = _Other(weight=weight, demand=report.demand, reported_at=now)
                limit.share_of = None
            elif report is not None and other is not None:
                if other.demand != report.demand:
                    limit.share_of = None
                other.demand, other.reported_at = report.demand, now
            elif other is not None and now - other.reported_at > NOT_REPORTED_TTL_S:
                del limit.others[vm]
                limit.share_of = None
        return changed

    def reports(self, *, hash_of: Callable[[UpstreamId], int], now: float) -> list[RateLimitReport]:
        """Return what to report to other gateways.

        Parameters
        ----------
        hash_of
            Returns the short hash of an upstream's id.
        now
            Monotonic time; seconds.
        """
        wanted = (
            (upstream, limit)
            for upstream, limit in self._limits.items()
            if now - limit.wanted_at < WANTED_TTL_S
        )
        reports = []
        for upstream, limit in itertools.islice(wanted, MAX_REPORTED):
            demand = limit.demand.count(now)
            if demand != limit.reported_demand:
                limit.reported_demand = demand
                limit.share_of = None
            reports.append(
                RateLimitReport(
                    upstream=hash_of(upstream),
                    per_s=limit.per_s,
                    age_s=min(round(now - limit.stated_at, 3), MAX_REPORTED_AGE_S),
                    demand=demand,
                )
            )
        return reports

    def can_send(self, upstream: UpstreamId, *, gateways: frozenset[VmId], now: float) -> bool:
        """Return whether a request may be sent to an upstream now.

        Parameters
        ----------
        upstream
            Upstream to send to.
        gateways
            Gateways that count as members, this one included.
        now
            Monotonic time; seconds.
        """
        limit = self._limits.get(upstream)
        if limit is None or limit.per_s is None:
            return True
        if now - limit.wanted_at >= WANTED_TTL_S or now - limit.wanted_since < JOIN_DELAY_S:
            return False
        if limit.share_of is not gateways:
            limit.share = self._compute_share(upstream, limit, gateways)
            limit.share_of = gateways
        is_unconfirmed = now - limit.stated_at > UNCONFIRMED_AFTER_S
        allowed = max(limit.share, 1) if is_unconfirmed else limit.share
        return self.sent_count(upstream, now=now) < allowed

    def _compute_share(self, upstream: UpstreamId, limit: _Limit, gateways: frozenset[VmId]) -> int:
        """Return how many requests this gateway may send in one window."""
        limit.others = {vm: other for vm, other in limit.others.items() if vm in gateways}
        return fair_share(
            total=max(round((limit.per_s or 0.0) * limit.window_s), 1),
            own=(limit.reported_demand, rendezvous_weight(self._vm, upstream)),
            others=[(other.demand, other.weight) for other in limit.others.values()],
        )

    def limited(self) -> Iterator[UpstreamId]:
        """Yield the upstreams that state a limit."""
        for upstream, limit in self._limits.items():
            if limit.per_s is not None:
                yield upstream

    def record_wanted(self, upstream: UpstreamId, *, now: float, as_first: bool = True) -> None:
        """Record that a request would have gone to an upstream if that stated no limit.

        Parameters
        ----------
        upstream
            The upstream.
        now
            Monotonic time; seconds.
        as_first
            Whether it was the first choice. If it was not, the gateway gets a share of what the
            others leave, and no more.
        """
        limit = self._limits.get(upstream)
        if limit is None:
            return
        if now - limit.wanted_at >= WANTED_TTL_S:
            limit.wanted_since = now
        limit.wanted_at = now
        if as_first:
            limit.demand.add(now)

    def record_sent(self, upstream: UpstreamId, *, now: float) -> None:
        """Record a request that is sent to an upstream, whether it states a limit or not."""
        window = self._sent.get(upstream)
        if window is None:
            window = self._sent[upstream] = SlidingWindow(length_s=RATE_WINDOW_S)
        limit = self._limits.get(upstream)
        if limit is not None:
            window.length_s = limit.window_s if limit.per_s is not None else RATE_WINDOW_S
        window.add(now)

    def sent_count(self, upstream: UpstreamId, *, now: float) -> int:
        """Return the number of requests sent in the upstream's window."""
        window = self._sent.get(upstream)
        return window.count(now) if window is not None else 0

    def restart(self, upstream: UpstreamId, *, now: float) -> bool:
        """Drop the limit of an upstream that restarted; return whether it had one.

        Later reports about the time before the restart are ignored.
        """
        return self.record_stated(upstream, per_s=None, stated_at=now)

    def expire(self, *, now: float) -> None:
        """Drop limits whose end has been reported for long enough."""
        for upstream in [
            upstream
            for upstream, limit in self._limits.items()
            if limit.per_s is None and now - limit.stated_at > ENDED_TTL_S
        ]:
            del self._limits[upstream]

    def forget(self, upstream: UpstreamId) -> None:
        """Drop what is known of an upstream that was removed."""
        self._limits.pop(upstream, None)
        self._sent.pop(upstream, None)


def fair_share(*, total: int, own: tuple[int, int], others: Sequence[tuple[int, int]]) -> int:
    """Return this gateway's share of the requests that all gateways may send in a window.

    No gateway gets less than it wants while another one gets more than that. What nobody wants is
    divided in proportion to the demand, so that a burst is served at once.

    Parameters
    ----------
    total
        Requests that all gateways may send.
    own, others
        Demand and rendezvous weight of this gateway and of the others; the weights decide who gets
        the remainder of a division.
    """
    own_demand, own_weight = own
    demands = [own_demand, *(demand for demand, _ in others)]
    excess = total - sum(demands)
    if excess >= 0:
        parts = sum(demands) + len(demands)
        extra = [excess * (demand + 1) // parts for demand in demands]
        rank = sum(weight > own_weight for _, weight in others)
        return own_demand + extra[0] + (rank < excess - sum(extra))
    rest, waiting = total, len(others) + 1
    for demand in sorted(demands):
        level = rest // waiting
        if demand > level:
            break
        rest -= demand
        waiting -= 1
    if own_demand <= level:
        return own_demand
    rank = sum(weight > own_weight for demand, weight in others if demand > level)
    return level + (rank < rest - level * waiting)
