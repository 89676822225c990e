"""Baseline policies for the same arrivals: an ideal queue, and two policies without pool owners."""

from __future__ import annotations

import heapq
import random
from collections import deque
from collections.abc import Callable
from functools import partial

from gooseberryport_standins._policy_model import (
    SAME_ZONE_DELAY_S,
    SERVICE,
    TIMEOUT_S,
    Arrival,
    Case,
    CaseResult,
    lost_zones,
    make_arrivals,
    one_way_s,
    places,
    policy_config,
    summarize,
)
from gooseberryport_standins.traffic import MEAN_SERVICE_TIME_S

REPORT_INTERVAL_S = 1.0

Action = Callable[[], None]


class Clock:
    """A simulated clock that runs scheduled actions in time order."""

    def __init__(self) -> None:
        self.now = 0.0
        self._heap: list[tuple[float, int, Action]] = []
        self._sequence = 0

    def at(self, delay: float, action: Action) -> None:
        """Schedule an action after a delay; seconds."""
        self._sequence += 1
        heapq.heappush(self._heap, (self.now + delay, self._sequence, action))

    def run(self) -> None:
        """Run all actions, also those scheduled meanwhile."""
        while self._heap:
            self.now, _, action = heapq.heappop(self._heap)
            action()


class QueueingUpstream:
    """An upstream with slots and a queue of its own."""

    def __init__(self, zone: str, slots: int) -> None:
        self.zone = zone
        self.slots = slots
        self.busy = 0
        self.waiting: deque[Action] = deque()
        self.reported_load = 0

    @property
    def load(self) -> int:
        """Number of requests that run or wait at this upstream."""
        return self.busy + len(self.waiting)


class BaselinePolicy:
    """Run the arrivals of a case under a baseline policy.

    Parameters
    ----------
    case
        The load and the failure.
    seed
        Seed of every random choice.
    """

    def __init__(self, case: Case, seed: int) -> None:
        self.case = case
        self.clock = Clock()
        self.rng = random.Random(f"{seed}/service")
        self.choice = random.Random(f"{seed}/choice")
        self.latencies: list[float] = []
        self.arrivals = make_arrivals(case, seed)
        cfg = policy_config()
        lost = lost_zones(case.failure)
        self.upstreams = [
            QueueingUpstream(upstream.availability_zone, cfg.services[SERVICE].slots)
            for upstream in cfg.upstreams.values()
            if upstream.availability_zone not in lost
        ]

    def run(self) -> CaseResult:
        """Run every arrival to its end and return the result."""
        for arrival in self.arrivals:
            self.clock.at(arrival.at, partial(self.arrive, arrival))
        self.clock.run()
        return summarize(len(self.arrivals), self.latencies, 0)

    def arrive(self, arrival: Arrival) -> None:
        """Handle the arrival of a request."""
        raise NotImplementedError

    def send(self, arrival: Arrival, upstream: QueueingUpstream) -> None:
        """Send a request to the queue of an upstream."""
        one_way_delay_s = one_way_s(places()[arrival.vm][0], upstream.zone) + SAME_ZONE_DELAY_S
        self.clock.at(one_way_delay_s, lambda: self._queue(arrival, upstream, one_way_delay_s))

    def serve(
        self, arrival: Arrival, upstream: QueueingUpstream, network_delay_s: float, on_free: Action
    ) -> None:
        """Run a request in a free slot and call `on_free` when the slot is free again.

        `network_delay_s` is added to the latency when the request ends.
        """
        upstream.busy += 1
        service_s = self.rng.expovariate(1.0 / MEAN_SERVICE_TIME_S)
        remaining_s = max(0.0, arrival.at + TIMEOUT_S - self.clock.now)

        def end() -> None:
            upstream.busy -= 1
            if service_s <= remaining_s:
                self.latencies.append(self.clock.now + network_delay_s - arrival.at)
            on_free()

        self.clock.at(min(service_s, remaining_s), end)

    def _queue(self, arrival: Arrival, upstream: QueueingUpstream, one_way_delay_s: float) -> None:
        upstream.waiting.append(
            lambda: self.serve(arrival, upstream, one_way_delay_s, lambda: _serve_next(upstream))
        )
        if upstream.busy < upstream.slots:
            upstream.waiting.popleft()()


def _serve_next(upstream: QueueingUpstream) -> None:
    if upstream.waiting and upstream.busy < upstream.slots:
        upstream.waiting.popleft()()


class IdealQueue(BaselinePolicy):
    """One queue for all slots, visible everywhere without delay; the nearest free slot serves."""

    def __init__(self, case: Case, seed: int) -> None:
        super().__init__(case, seed)
        self.waiting: deque[Arrival] = deque()

    def arrive(self, arrival: Arrival) -> None:
        """Run the request at the nearest free slot, or queue it."""
        self.waiting.append(arrival)
        self._serve_waiting()

    def _serve_waiting(self) -> None:
        while self.waiting:
            arrival = self.waiting[0]
            zone = places()[arrival.vm][0]
            free = [upstream for upstream in self.upstreams if upstream.busy < upstream.slots]
            if not free:
                return
            upstream = min(free, key=lambda upstream: one_way_s(zone, upstream.zone))
            self.waiting.popleft()
            one_way_delay_s = one_way_s(zone, upstream.zone) + SAME_ZONE_DELAY_S
            self.serve(arrival, upstream, 2 * one_way_delay_s, self._serve_waiting)


class RoundRobin(BaselinePolicy):
    """Each daemon sends its requests to all upstreams in turn."""

    def __init__(self, case: Case, seed: int) -> None:
        super().__init__(case, seed)
        self.next_index: dict[str, int] = {}

    def arrive(self, arrival: Arrival) -> None:
        """Send a request to the daemon's next upstream in turn."""
        next_index = self.next_index.get(arrival.vm, self.choice.randrange(len(self.upstreams)))
        self.next_index[arrival.vm] = next_index + 1
        self.send(arrival, self.upstreams[next_index % len(self.upstreams)])


class TwoChoices(BaselinePolicy):
    """Each daemon sends to the less loaded of two random upstreams.

    The loads are reported once per `REPORT_INTERVAL_S`.
    """

    def __init__(self, case: Case, seed: int) -> None:
        super().__init__(case, seed)
        self._report()

    def arrive(self, arrival: Arrival) -> None:
        """Send a request to that of two random upstreams with the lower reported_load load."""
        pair = self.choice.sample(self.upstreams, 2)
        self.send(arrival, min(pair, key=lambda upstream: upstream.reported_load))

    def _report(self) -> None:
        for upstream in self.upstreams:
            upstream.reported_load = upstream.load
        if self.case.failure != "figures" and self.clock.now < self.case.seconds:
            self.clock.at(REPORT_INTERVAL_S, self._report)
