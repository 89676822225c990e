"""Limits whose sum over all gateways is bounded: retries, and requests to cold upstreams.

Load pattern: a failure that all gateways meet at once. Each keeps to a share of the bound that
follows from the number of gateways it knows, so the sum holds with no message on a request's way.
"""

from __future__ import annotations

from collections import deque

from gooseberryport_core._hashing import rendezvous_weight
from gooseberryport_core.types import ServiceName, UpstreamId, VmId

COLD_SAFETY = 0.8
"""Part of a cold upstream's bound that is used; gateways may count each other differently."""

RETRY_BUDGET_FRACTION = 0.9
"""Part of the retry budget that is used; requests arrive a little later than they are counted."""

LESS_URGENT_SHARE = 0.5
"""Part of the budget beyond which only a service's most urgent requests are repeated."""

COLD_WINDOW_S = 1.0
"""Window of the bound on requests to a cold upstream; seconds."""


class _Window:
    """Count events of the last seconds."""

    def __init__(self, *, length_s: float) -> None:
        self.length_s = length_s
        self._times: deque[float] = deque()

    def count(self, now: float) -> int:
        """Return how many events lie in the window."""
        while self._times and self._times[0] <= now - self.length_s:
            self._times.popleft()
        return len(self._times)

    def add(self, now: float) -> None:
        """Count an event at `now`, and forget those that are out of the window."""
        self.count(now)
        self._times.append(now)

    def __len__(self) -> int:
        return len(self._times)


class RetryBudgetShare:
    """Allow this gateway's share of a service's retries.

    Parameters
    ----------
    ratio
        Retries allowed for each request of a window.
    slack
        Retries allowed in a window besides, summed over all gateways.
    window_s
        Length of the window; seconds.
    slack_from
        Monotonic time from which the slack counts. The process that ran here before may have used
        it up, so one that starts waits for a window; seconds.
    """

    def __init__(
        self, *, ratio: float, slack: float, window_s: float, slack_from: float = float("-inf")
    ) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._slack_from = slack_from
        self._requests: dict[ServiceName, _Window] = {}
        self._retries: dict[ServiceName, _Window] = {}

    def set_bounds(self, *, ratio: float, slack: float, window_s: float) -> None:
        """Change the bounds; what was counted stays counted."""
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        for window in (*self._requests.values(), *self._retries.values()):
            window.length_s = window_s

    def record_request(self, *, service: ServiceName, now: float) -> None:
        """Count a client's request."""
        self._window(self._requests, service).add(now)

    def take(self, *, service: ServiceName, gateways: int, now: float, urgent: bool = True) -> bool:
        """Take one retry; False if this gateway's share is used up.

        Load pattern: most upstreams refuse part of their requests, and there are more of these
        than the budget allows to repeat. What is scarce then goes to the most urgent requests.

        Parameters
        ----------
        service
            Service of the request.
        gateways
            Gateways that share the budget.
        now
            Monotonic time; seconds.
        urgent
            Whether no other requests of the service are more urgent.
        """
        requests = self._window(self._requests, service).count(now)
        retries = self._window(self._retries, service)
        slack = self._slack / max(gateways, 1) if now >= self._slack_from else 0.0
        share = (self._ratio * requests + slack) * RETRY_BUDGET_FRACTION
        if retries.count(now) + 1 > share * (1.0 if urgent else LESS_URGENT_SHARE):
            return False
        retries.add(now)
        return True

    def request_count(self, service: ServiceName) -> int:
        """Return how many of a service's requests are remembered."""
        return len(self._window(self._requests, service))

    def _window(self, windows: dict[ServiceName, _Window], service: ServiceName) -> _Window:
        window = windows.get(service)
        if window is None:
            window = windows[service] = _Window(length_s=self._window_s)
        return window


class ColdRateLimiter:
    """Allow this gateway's share of the requests that a cold upstream bears.

    Parameters
    ----------
    vm
        This gateway.
    overage, slack
        The bound is the upstream's cold rate times `overage`, plus `slack`; requests a second.
    """

    def __init__(self, *, vm: VmId, overage: float, slack: float) -> None:
        self._vm = vm
        self._overage = overage
        self._slack = slack
        self._sent: dict[UpstreamId, _Window] = {}

    def set_bounds(self, *, overage: float, slack: float) -> None:
        """Change the bounds; what was sent stays counted."""
        self._overage = overage
        self._slack = slack

    def allowance(
        self, *, upstream: UpstreamId, cold_rate_per_s: float, gateways: frozenset[VmId]
    ) -> int:
        """Return how many requests this gateway may send in any one second.

        With more gateways than requests, those that rank first for the upstream may send one each.
        """
        bound = int((cold_rate_per_s * self._overage + self._slack) * COLD_SAFETY)
        if len(gateways) <= bound:
            return bound // max(len(gateways), 1)
        mine = rendezvous_weight(self._vm, upstream)
        ahead = sum(rendezvous_weight(vm, upstream) > mine for vm in gateways)
        return 1 if ahead < bound else 0

    def can_send(
        self,
        *,
        upstream: UpstreamId,
        cold_rate_per_s: float,
        gateways: frozenset[VmId],
        now: float,
    ) -> bool:
        """Tell whether a request may be sent now."""
        window = self._sent.get(upstream)
        sent = window.count(now) if window is not None else 0
        return sent < self.allowance(
            upstream=upstream, cold_rate_per_s=cold_rate_per_s, gateways=gateways
        )

    def record_sent(self, *, upstream: UpstreamId, now: float) -> None:
        """Count a request that is sent to an upstream, cold or not."""
        window = self._sent.get(upstream)
        if window is None:
            window = self._sent[upstream] = _Window(length_s=COLD_WINDOW_S)
        window.add(now)

    def forget(self, upstream: UpstreamId) -> None:
        """Drop what is counted for an upstream that is gone."""
        self._sent.pop(upstream, None)
