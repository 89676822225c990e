"""Simpler policies under the same arrivals: an ideal one, and two that need no owners."""

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

REPORT_PERIOD_S = 1.0

Action = Callable[[], None]


class Clock:
    """Things to do in time order."""

    def __init__(self) -> None:
        self.now = 0.0
        self._heap: list[tuple[float, int, Action]] = []
        self._serial = 0

    def at(self, delay: float, action: Action) -> None:
        """Do something after a delay; seconds."""
        self._serial += 1
        heapq.heappush(self._heap, (self.now + delay, self._serial, action))

    def run(self) -> None:
        """Do everything."""
        while self._heap:
            self.now, _, action = heapq.heappop(self._heap)
            action()


class Server:
    """One upstream with slots and a queue of its own."""

    def __init__(self, zone: str, slots: int) -> None:
        self.zone = zone
        self.slots = slots
        self.busy = 0
        self.waiting: deque[Action] = deque()
        self.reported = 0

    @property
    def depth(self) -> int:
        """Requests that run or wait here."""
        return self.busy + len(self.waiting)


class Baseline:
    """Run arrivals against upstreams that queue by themselves.

    Parameters
    ----------
    case, seed
        What is run.
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
        self.servers = [
            Server(upstream.availability_zone, cfg.services[SERVICE].slots)
            for upstream in cfg.upstreams.values()
            if upstream.availability_zone not in lost
        ]

    def run(self) -> CaseResult:
        """Run every arrival to its end and return the figures."""
        for arrival in self.arrivals:
            self.clock.at(arrival.at, partial(self.arrive, arrival))
        self.clock.run()
        return summarize(len(self.arrivals), self.latencies, 0)

    def arrive(self, arrival: Arrival) -> None:
        """Take one arrival."""
        raise NotImplementedError

    def send(self, arrival: Arrival, server: Server) -> None:
        """Send a request to an upstream's own queue."""
        way_s = one_way_s(places()[arrival.vm][0], server.zone) + SAME_ZONE_DELAY_S
        self.clock.at(way_s, lambda: self._queue(arrival, server, way_s))

    def serve(self, arrival: Arrival, server: Server, way_s: float, after: Action) -> None:
        """Run a request in a free slot; `after` follows once the slot is free again."""
        server.busy += 1
        service_s = self.rng.expovariate(1.0 / MEAN_SERVICE_TIME_S)
        left_s = max(0.0, arrival.at + TIMEOUT_S - self.clock.now)

        def end() -> None:
            server.busy -= 1
            if service_s <= left_s:
                self.latencies.append(self.clock.now + way_s - arrival.at)
            after()

        self.clock.at(min(service_s, left_s), end)

    def _queue(self, arrival: Arrival, server: Server, way_s: float) -> None:
        server.waiting.append(lambda: self.serve(arrival, server, way_s, lambda: _next(server)))
        if server.busy < server.slots:
            server.waiting.popleft()()


def _next(server: Server) -> None:
    if server.waiting and server.busy < server.slots:
        server.waiting.popleft()()


class IdealQueue(Baseline):
    """One queue over all slots, known everywhere at once; requests travel to the nearest slot."""

    def __init__(self, case: Case, seed: int) -> None:
        super().__init__(case, seed)
        self.waiting: deque[Arrival] = deque()

    def arrive(self, arrival: Arrival) -> None:
        """Queue, or run at the nearest free slot."""
        self.waiting.append(arrival)
        self._serve_waiting()

    def _serve_waiting(self) -> None:
        while self.waiting:
            arrival = self.waiting[0]
            zone = places()[arrival.vm][0]
            free = [server for server in self.servers if server.busy < server.slots]
            if not free:
                return
            server = min(free, key=lambda server: one_way_s(zone, server.zone))
            self.waiting.popleft()
            way_s = one_way_s(zone, server.zone) + SAME_ZONE_DELAY_S
            self.serve(arrival, server, 2 * way_s, self._serve_waiting)


class RoundRobin(Baseline):
    """Each daemon sends to every upstream in turn."""

    def __init__(self, case: Case, seed: int) -> None:
        super().__init__(case, seed)
        self.turn: dict[str, int] = {}

    def arrive(self, arrival: Arrival) -> None:
        """Send to the next upstream of the daemon."""
        turn = self.turn.get(arrival.vm, self.choice.randrange(len(self.servers)))
        self.turn[arrival.vm] = turn + 1
        self.send(arrival, self.servers[turn % len(self.servers)])


class TwoChoices(Baseline):
    """Each daemon sends to the less loaded of two upstreams, by reports of the last second."""

    def __init__(self, case: Case, seed: int) -> None:
        super().__init__(case, seed)
        self._report()

    def arrive(self, arrival: Arrival) -> None:
        """Send to the one of two random upstreams that reported less."""
        pair = self.choice.sample(self.servers, 2)
        self.send(arrival, min(pair, key=lambda server: server.reported))

    def _report(self) -> None:
        for server in self.servers:
            server.reported = server.depth
        if self.case.failure != "figures" and self.clock.now < self.case.seconds:
            self.clock.at(REPORT_PERIOD_S, self._report)
