"""Admission of requests by a gateway that is about to exit.

Load pattern: a planned stop under full load. Clients that looked the gateway up before the stop
still send requests, and the queues of the upstreams are long. A request that is placed behind them
would still wait there when the gateway exits. It is refused at once instead, since another gateway
can serve it, and an upstream that has not begun it by then is told to drop it.
"""

from __future__ import annotations

from collections import deque

from gooseberryport_core.gateway.model import Route, RouteName

KEPT_DURATIONS = 64
"""Number of durations kept for each route."""

WORK_QUANTILE = 0.9
"""Quantile of the durations that a request is expected to take without waiting."""

LOAD_MARGIN = 0.8
"""Fraction of the time left that may be used, since load reports are slightly stale."""

ANSWER_MARGIN_S = 0.1
"""Time before the exit by which an upstream must have answered, so that its answer still reaches
the client: more than a round trip between regions; seconds."""


class WorkTimes:
    """Durations of the latest requests that did not wait, for each route."""

    def __init__(self) -> None:
        self._durations: dict[RouteName, deque[float]] = {}

    def record(self, route: Route, took_s: float) -> None:
        """Record the duration of a request that was sent to an upstream with a free slot."""
        durations = self._durations.get(route.name)
        if durations is None:
            durations = self._durations[route.name] = deque(maxlen=KEPT_DURATIONS)
        durations.append(took_s)

    def forget_other_than(self, routes: frozenset[RouteName]) -> None:
        """Drop the durations of routes that the configuration no longer contains."""
        for name in self._durations.keys() - routes:
            del self._durations[name]

    def expected_s(self, route: Route) -> float:
        """Return how long a request without a wait takes at most, as far as known; seconds.

        Without a recorded duration it is the route's timeout.
        """
        durations = self._durations.get(route.name)
        if not durations:
            return route.timeout_s
        index = min(int(len(durations) * WORK_QUANTILE), len(durations) - 1)
        return min(sorted(durations)[index], route.timeout_s)


def stop_queue_factor(*, left_s: float, work_s: float) -> float | None:
    """Return the load per slot up to which a request still ends before the exit.

    Parameters
    ----------
    left_s
        Time until the gateway exits; seconds.
    work_s
        Expected time of a request that does not wait; seconds.

    Returns
    -------
    float or None
        None if not even a request that finds a free slot ends in time.
    """
    usable_s = (left_s - ANSWER_MARGIN_S) * LOAD_MARGIN
    if usable_s < work_s or usable_s <= 0.0:
        return None
    return usable_s / max(work_s, 0.001)
