"""Limits that hold for the sum over all gateways: retries, and requests to cold upstreams.

Failure pattern: a failure affects all gateways at once, and each of them retries. Each gateway
keeps to its share of the limit, which follows from the number of gateways known to it, so the sum
stays within the limit without a message between gateways while a request is handled.
"""

from __future__ import annotations

from collections import deque

from gooseberryport_core._hashing import rendezvous_weight
from gooseberryport_core.types import ServiceName, UpstreamId, VmId

COLD_RATE_FRACTION = 0.8
"""Fraction of a cold upstream's limit that is used, since gateways may disagree on how many
gateways there are."""

RETRY_BUDGET_FRACTION = 0.9
"""Fraction of the retry budget that is used, since requests reach upstreams a little later than
they are counted here."""

LESS_URGENT_BUDGET_FRACTION = 0.5
"""Used fraction of the budget above which only a service's most urgent requests are retried."""

COLD_WINDOW_S = 1.0
"""Window of the limit on requests to a cold upstream; seconds."""


class SlidingWindow:
    """Counts the events of the last `length_s` seconds."""

    def __init__(self, *, length_s: float) -> None:
        self.length_s = length_s
        self._times: deque[float] = deque()

    def count(self, now: float) -> int:
        """Return the number of events in the window that ends at `now`."""
        while self._times and self._times[0] <= now - self.length_s:
            self._times.popleft()
        return len(self._times)

    def add(self, now: float) -> None:
        """Add an event at `now` and drop the events that have left the window."""
        self.count(now)
        self._times.append(now)

    def __len__(self) -> int:
        return len(self._times)


class RetryBudgetShare:
    """Limits retries to this gateway's share of each service's retry budget.

    Parameters
    ----------
    ratio
        Retries allowed per request in a window.
    slack
        Additional retries allowed in a window, summed over all gateways.
    window_s
        Length of the window; seconds.
    slack_from
        Monotonic time from which the slack may be used; seconds. The previous process on this VM
        may have used its slack, so a restarted gateway waits for one window.
    """

    def __init__(
        self, *, ratio: float, slack: float, window_s: float, slack_from: float = float("-inf")
    ) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._slack_from = slack_from
        self._requests: dict[ServiceName, SlidingWindow] = {}
        self._retries: dict[ServiceName, SlidingWindow] = {}

    def set_bounds(self, *, ratio: float, slack: float, window_s: float) -> None:
        """Change the bounds; the requests and retries counted so far still count."""
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        for window in (*self._requests.values(), *self._retries.values()):
            window.length_s = window_s

    def record_request(self, *, service: ServiceName, now: float) -> None:
        """Record a client's request."""
        self._window(self._requests, service).add(now)

    def take(self, *, service: ServiceName, gateways: int, now: float, urgent: bool = True) -> bool:
        """Take one retry from the budget; return False if this gateway's share is used up.

        Load pattern: most upstreams refuse part of their requests, more than the budget allows to
        retry. The remaining retries then go to the most urgent requests.

        Parameters
        ----------
        service
            Service of the request.
        gateways
            Number of gateways that share the budget.
        now
            Monotonic time; seconds.
        urgent
            Whether no route to the service is more urgent than the request's.
        """
        requests = self._window(self._requests, service).count(now)
        retries = self._window(self._retries, service)
        slack = self._slack / max(gateways, 1) if now >= self._slack_from else 0.0
        share = (self._ratio * requests + slack) * RETRY_BUDGET_FRACTION
        if retries.count(now) + 1 > share * (1.0 if urgent else LESS_URGENT_BUDGET_FRACTION):
            return False
        retries.add(now)
        return True

    def request_count(self, service: ServiceName) -> int:
        """Return the number of a service's requests in memory, expired ones included."""
        return len(self._window(self._requests, service))

    def _window(
        self, windows: dict[ServiceName, SlidingWindow], service: ServiceName
    ) -> SlidingWindow:
        window = windows.get(service)
        if window is None:
            window = windows[service] = SlidingWindow(length_s=self._window_s)
        return window


class ColdRateLimiter:
    """Limits requests to cold upstreams to this gateway's share of what they can handle.

    Parameters
    ----------
    vm
        This gateway.
    overage, slack
        The limit for all gateways is the upstream's cold rate times `overage`, plus `slack`;
        requests per second.
    """

    def __init__(self, *, vm: VmId, overage: float, slack: float) -> None:
        self._vm = vm
        self._overage = overage
        self._slack = slack
        self._sent: dict[UpstreamId, SlidingWindow] = {}
        self._allowances: dict[UpstreamId, tuple[float, frozenset[VmId], int]] = {}

    def set_bounds(self, *, overage: float, slack: float) -> None:
        """Change the bounds; the requests sent so far still count."""
        self._overage = overage
        self._slack = slack
        self._allowances.clear()

    def allowance(
        self, *, upstream: UpstreamId, cold_rate_per_s: float, gateways: frozenset[VmId]
    ) -> int:
        """Return the number of requests that this gateway may send in any one second.

        If there are more gateways than allowed requests, the gateways that rank highest for the
        upstream by rendezvous hashing may send one each.
        """
        known = self._allowances.get(upstream)
        if known is not None and known[0] == cold_rate_per_s and known[1] is gateways:
            return known[2]
        allowance = self._compute_allowance(upstream, cold_rate_per_s, gateways)
        self._allowances[upstream] = (cold_rate_per_s, gateways, allowance)
        return allowance

    def _compute_allowance(
        self, upstream: UpstreamId, cold_rate_per_s: float, gateways: frozenset[VmId]
    ) -> int:
        limit = int((cold_rate_per_s * self._overage + self._slack) * COLD_RATE_FRACTION)
        if len(gateways) <= limit:
            return limit // max(len(gateways), 1)
        own_weight = rendezvous_weight(self._vm, upstream)
        rank = sum(rendezvous_weight(vm, upstream) > own_weight for vm in gateways)
        return 1 if rank < limit else 0

    def can_send(
        self,
        *,
        upstream: UpstreamId,
        cold_rate_per_s: float,
        gateways: frozenset[VmId],
        now: float,
    ) -> bool:
        """Return whether a request may be sent to a cold upstream now."""
        window = self._sent.get(upstream)
        sent = window.count(now) if window is not None else 0
        return sent < self.allowance(
            upstream=upstream, cold_rate_per_s=cold_rate_per_s, gateways=gateways
        )

    def record_sent(self, *, upstream: UpstreamId, now: float) -> None:
        """Record a request that is sent to an upstream, whether it is cold or not."""
        window = self._sent.get(upstream)
        if window is None:
            window = self._sent[upstream] = SlidingWindow(length_s=COLD_WINDOW_S)
        window.add(now)

    def forget(self, upstream: UpstreamId) -> None:
        """Drop the counts of an upstream that was removed."""
        self._sent.pop(upstream, None)
        self._allowances.pop(upstream, None)
