"""Admission of requests by a gateway that is about to exit.

Invariant: a request that is accepted after the signal ends before the exit if work takes as long as
expected at most, however it is spread over the slots. If work takes longer, or other gateways send
more requests meanwhile than are allowed for, the upstream says in time that it has not begun the
request, or the client gets a final reply with 504, before its connection is closed.

Load pattern: a planned stop under full load. Clients that looked the gateway up before the stop
still send requests, and the queues of the upstreams are long. A request that is placed behind them
would still wait there when the gateway exits. It is refused at once instead, since another gateway
can serve it, and an upstream that has not begun it by then is told to drop it.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

from gooseberryport_core.gateway.model import Route, RouteName

STOP_ACCEPTING_FRACTION = 0.35
"""Fraction of the grace time for which a stopping gateway still accepts connections and requests.
Later ones might not end before the process does."""

MAX_ACCEPTING_S = 2.7
"""Longest time for which it accepts them, however long the grace time is. Callers of requests that
are sent later than 3 s after the signal count on an answer, whatever the work takes, and a busy
process sees the signal and closes its listener late; seconds."""

EXIT_MARGIN_S = 0.8
"""How long before the end of the grace time a stopping gateway gives its open requests their final
replies, and exits; seconds."""

GIVE_UP_FRACTION = 1 / 6
"""Last fraction of the grace time, before which no open request is given up."""

KEPT_DURATIONS = 64
"""Number of durations kept for each route."""

WORK_QUANTILE = 0.9
"""Quantile of the durations that a request is expected to take without waiting."""

UNSEEN_REQUESTS = 1
"""Requests of other gateways that may reach an upstream between its report and a request."""

MIN_WORK_S = 0.001
"""Shortest time that a request is assumed to take; seconds."""

ANSWER_MARGIN_S = 0.1
"""Time before the exit by which an upstream must have answered, so that its answer still reaches
the client: more than a round trip between regions; seconds."""


def accepting_time_s(grace_s: float) -> float:
    """Return for how long a stopping gateway accepts connections and requests; seconds."""
    return min(grace_s * STOP_ACCEPTING_FRACTION, MAX_ACCEPTING_S)


def serving_time_s(grace_s: float) -> float:
    """Return when a stopping gateway gives its open requests their final replies; seconds.

    The deadline that it passes on ends `ANSWER_MARGIN_S` before, in the last part of the grace time
    too.
    """
    last_part_s = grace_s * GIVE_UP_FRACTION - ANSWER_MARGIN_S
    return grace_s - min(EXIT_MARGIN_S, max(last_part_s, EXIT_MARGIN_S / 2))


class WorkTimes:
    """Durations of the latest requests that did not wait, for each route."""

    def __init__(self) -> None:
        self._durations: dict[RouteName, deque[float]] = {}
        # Quantiles of the durations, as far as they were asked for since the latest one.
        self._quantiles: dict[RouteName, float] = {}

    def record(self, route: Route, took_s: float) -> None:
        """Record the duration of a request that was sent to an upstream with a free slot."""
        durations = self._durations.get(route.name)
        if durations is None:
            durations = self._durations[route.name] = deque(maxlen=KEPT_DURATIONS)
        durations.append(took_s)
        self._quantiles.pop(route.name, None)

    def forget_other_than(self, routes: frozenset[RouteName]) -> None:
        """Drop the durations of routes that the configuration no longer contains."""
        for name in self._durations.keys() - routes:
            del self._durations[name]
            self._quantiles.pop(name, None)

    def longest_s(self, routes: Iterable[Route]) -> float:
        """Return the longest expected time of routes that were used; 0 if none was; seconds."""
        return max(
            (self.expected_s(route) for route in routes if route.name in self._durations),
            default=0.0,
        )

    def expected_s(self, route: Route) -> float:
        """Return how long a request without a wait takes at most, as far as known; seconds.

        Without a recorded duration it is the route's timeout.
        """
        durations = self._durations.get(route.name)
        if not durations:
            return route.timeout_s
        quantile = self._quantiles.get(route.name)
        if quantile is None:
            index = min(int(len(durations) * WORK_QUANTILE), len(durations) - 1)
            quantile = self._quantiles[route.name] = sorted(durations)[index]
        return min(quantile, route.timeout_s)


def stop_queue_factor(*, left_s: float, work_s: float, ahead_s: float = 0.0) -> float | None:
    """Return the load per slot up to which a request still ends before the exit.

    This holds even if what runs at the upstream has only just begun. It works in turns of as many
    requests as it has slots, so each turn that a request waits for counts in full.

    Parameters
    ----------
    left_s
        Time until the gateway exits; seconds.
    work_s
        Expected time of the request if it does not wait; seconds.
    ahead_s
        Expected time of requests that it may wait for, if that is longer; seconds.

    Returns
    -------
    float or None
        None if not even a request that finds a free slot ends in time.
    """
    usable_s = left_s - ANSWER_MARGIN_S
    if usable_s < work_s or usable_s <= 0.0:
        return None
    return 1.0 + (usable_s - work_s) // max(work_s, ahead_s, MIN_WORK_S)


def ends_before_exit(*, load: int, slots: int, queue_factor: float) -> bool:
    """Return whether a request that is sent to an upstream ends before the exit.

    A request that waits also ends in time if other gateways send `UNSEEN_REQUESTS` before it. A
    free slot is used without this allowance, since that would leave the last slot of each upstream
    unused: with work of 2.2 s and 3 slots, 13% fewer requests were served at usual load.

    Parameters
    ----------
    load
        Requests that run or wait at the upstream, as far as known.
    slots
        Requests that it runs at once.
    queue_factor
        Load per slot from `stop_queue_factor`.
    """
    return load < slots or load + UNSEEN_REQUESTS < slots * queue_factor
