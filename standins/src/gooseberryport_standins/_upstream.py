"""A stand-in for one upstream."""

from __future__ import annotations

import random
import threading
import time
from collections import deque
from enum import Enum

import msgspec

from gooseberryport_standins._server import Exchange, RestartableServer
from gooseberryport_standins.faults import Outage, UpstreamFaults

LOAD_PATH = "/load"
NOT_RUN_HEADER = "X-Not-Run"
REQUEST_ID_HEADER = "X-Request-Id"
KEY_HEADER = "Idempotency-Key"
TIMEOUT_HEADER = "Request-Timeout"
MAX_HANG_S = 3_600.0
MAX_LOAD_HISTORY = 4_096
"""Newest changes of the load kept for load reports that are deliberately out of date."""


class Distribution(Enum):
    """Probability distribution of service times around their mean."""

    FIXED = "fixed"
    EXPONENTIAL = "exponential"


class UpstreamSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Describes a stand-in for an upstream.

    Parameters
    ----------
    name, host
        Its name and the IP address on which it listens.
    slots
        Number of requests that it runs concurrently; it sheds any above that.
    service_time_s, spread
        Mean service time in seconds, and its distribution.
    answer_bytes
        Length of the body of an answer.
    cold_runs, cold_factor
        Number of requests after its start that take longer, and the factor for the first one; the
        factor falls linearly to 1.
    seed
        Random seed of the service times.
    """

    name: str
    host: str = "127.0.0.1"
    slots: int = 4
    service_time_s: float = 0.05
    spread: Distribution = Distribution.EXPONENTIAL
    answer_bytes: int = 2_000
    cold_runs: int = 0
    cold_factor: float = 1.0
    seed: int = 1


class RunEnd(Enum):
    """How a run of a request ended."""

    RUNNING = "running"
    DONE = "done"
    CANCELLED = "cancelled"
    LATE = "late"


class Run(msgspec.Struct):
    """A request that was started at this upstream."""

    upstream: str
    request_id: str
    key: str
    method: str
    end: RunEnd = RunEnd.RUNNING


class UpstreamStats(msgspec.Struct):
    """Counts since the start.

    Parameters
    ----------
    ran, cancelled, late
        Requests started; of these, those cancelled by the client, and those stopped at their
        deadline.
    shed
        Requests shed because of the fault `UpstreamFaults.shed`.
    over_slots
        Requests shed because every slot was in use.
    running, most_at_once
        Requests running now, and the highest number that ran concurrently.
    """

    name: str
    slots: int
    ran: int = 0
    cancelled: int = 0
    late: int = 0
    shed: int = 0
    over_slots: int = 0
    running: int = 0
    most_at_once: int = 0


class UpstreamStandin:
    """Answers requests as an upstream would, with injected faults.

    Parameters
    ----------
    spec
        Properties of the upstream.
    """

    def __init__(self, spec: UpstreamSpec) -> None:
        self.spec = spec
        self.server: RestartableServer | None = None
        self._rng = random.Random(spec.seed)
        self._lock = threading.Lock()
        self._faults = UpstreamFaults()
        self._stats = UpstreamStats(spec.name, spec.slots)
        self._runs: list[Run] = []
        self._running: dict[int, Exchange] = {}
        self._history: deque[tuple[float, int]] = deque([(time.time(), 0)], MAX_LOAD_HISTORY)

    @property
    def address(self) -> str:
        """``IP:port``."""
        assert self.server is not None
        return self.server.address

    def set_faults(self, faults: UpstreamFaults) -> None:
        """Replace the injected faults by these."""
        self._faults = faults
        if self.server is None:
            return
        if faults.outage == Outage.REFUSE:
            self.server.close()
        else:
            self.server.open()

    def stats(self) -> UpstreamStats:
        """Return the counts."""
        with self._lock:
            return msgspec.structs.replace(self._stats)

    def runs(self) -> list[Run]:
        """Return the run of every request that was started."""
        with self._lock:
            return list(self._runs)

    def serve(self, exchange: Exchange) -> None:
        """Answer one request."""
        faults = self._faults
        if faults.outage == Outage.HANG:
            exchange.wait_for_disconnect(MAX_HANG_S)
            exchange.drop_connection()
        elif faults.outage == Outage.ERROR:
            exchange.answer(503, b"out of order")
        elif exchange.target == LOAD_PATH:
            exchange.answer(200, self._load_report(), {"Content-Type": "text/plain; version=0.0.4"})
        elif faults.cut_unread:
            exchange.drop_connection()
        elif faults.shed:
            with self._lock:
                self._stats.shed += 1
            _answer_shed(exchange)
        else:
            self._serve_request(exchange)

    def _serve_request(self, exchange: Exchange) -> None:
        run = self._start(exchange)
        if run is None:
            _answer_shed(exchange)
            return
        work_s = self._draw_service_time_s()
        limit_s = _timeout_s(exchange)
        if exchange.wait_for_disconnect(min(work_s, limit_s)):
            self._end(exchange, run, RunEnd.CANCELLED)
            exchange.drop_connection()
        elif work_s > limit_s:
            self._end(exchange, run, RunEnd.LATE)
            exchange.answer(504, b"deadline passed")
        else:
            self._end(exchange, run, RunEnd.DONE)
            self._send_answer(exchange, run)

    def _send_answer(self, exchange: Exchange, run: Run) -> None:
        if self._faults.cut:
            exchange.drop_connection()
            return
        body = f"{run.request_id} {self.spec.name} ".encode()
        body += b"." * (self.spec.answer_bytes - len(body))
        headers = {REQUEST_ID_HEADER: run.request_id, "X-Upstream": self.spec.name}
        exchange.answer(200, body, headers, sent_fraction=0.5 if self._faults.half_answer else 1.0)

    def _start(self, exchange: Exchange) -> Run | None:
        run = Run(
            self.spec.name,
            exchange.headers.get(REQUEST_ID_HEADER, ""),
            exchange.headers.get(KEY_HEADER, ""),
            exchange.command,
        )
        with self._lock:
            if len(self._running) >= self.spec.slots:
                self._free_closed_slots()
            if len(self._running) >= self.spec.slots:
                self._stats.over_slots += 1
                return None
            self._running[id(run)] = exchange
            self._runs.append(run)
            self._stats.ran += 1
            self._record_load()
        return run

    def _free_closed_slots(self) -> None:
        """Free the slots of closed connections whose threads have not noticed the closing yet."""
        closed = [
            number for number, exchange in self._running.items() if exchange.is_disconnected()
        ]
        for number in closed:
            del self._running[number]

    def _end(self, exchange: Exchange, run: Run, end: RunEnd) -> None:
        with self._lock:
            self._running.pop(id(run), None)
            run.end = end
            self._stats.cancelled += end == RunEnd.CANCELLED
            self._stats.late += end == RunEnd.LATE
            self._record_load()

    def _record_load(self) -> None:
        load = len(self._running)
        self._stats.running = load
        self._stats.most_at_once = max(self._stats.most_at_once, load)
        self._history.append((time.time(), load))

    def _draw_service_time_s(self) -> float:
        spec = self.spec
        with self._lock:
            mean_s = spec.service_time_s * self._faults.slowdown
            cold_left = max(spec.cold_runs - self._stats.ran, 0) / max(spec.cold_runs, 1)
            mean_s *= 1 + (spec.cold_factor - 1) * cold_left
            if spec.spread == Distribution.FIXED:
                return mean_s
            return self._rng.expovariate(1 / mean_s)

    def _load_report(self) -> bytes:
        faults = self._faults
        stamp = time.time() - faults.load_lag_s
        with self._lock:
            known = [load for at, load in self._history if at <= stamp]
        load = known[-1] if known else 0
        if faults.load_value >= 0:
            load = faults.load_value
        return (
            "# TYPE requests_in_flight gauge\n"
            f"requests_in_flight {load}\n"
            "# TYPE leaving gauge\n"
            f"leaving {int(faults.leaving)}\n"
            "# TYPE report_timestamp_seconds gauge\n"
            f"report_timestamp_seconds {stamp:.3f}\n"
        ).encode()


def _answer_shed(exchange: Exchange) -> None:
    exchange.answer(503, b"not run", {NOT_RUN_HEADER: "1", "Retry-After": "1"})


def _timeout_s(exchange: Exchange) -> float:
    try:
        return float(exchange.headers.get(TIMEOUT_HEADER) or MAX_HANG_S)
    except ValueError:
        return MAX_HANG_S
