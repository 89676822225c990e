"""Client of load reports in Prometheus's text exposition format."""

from __future__ import annotations

import math
import threading
import time
from email.utils import parsedate_to_datetime

from returns.result import Failure, Result, Success

from gooseberryport_core.events import LoadReported
from gooseberryport_core.types import UpstreamId
from gooseberryport_platform._http import Answer, Call, Clock, HttpCaller
from gooseberryport_platform.calls import CallCounter, CallKind
from gooseberryport_platform.errors import AnswerMalformedError, ServiceError, ServiceFailedError
from gooseberryport_platform.load_report import LoadReportSettings

MAX_ANSWER_BYTES = 262_144

IN_FLIGHT_METRIC = "requests_in_flight"
LEAVING_METRIC = "leaving"
TIMESTAMP_METRIC = "report_timestamp_seconds"


class PrometheusLoadReports:
    """Client of load reports in Prometheus's text exposition format.

    Parameters
    ----------
    settings
        Format and timeout of the reads.
    counter
        Counts every call.
    clock
        Wall clock, used if an answer has no ``Date`` header.
    """

    def __init__(
        self, *, settings: LoadReportSettings, counter: CallCounter, clock: Clock = time.time
    ) -> None:
        self._settings = settings
        self._counter = counter
        self._clock = clock
        self._lock = threading.Lock()
        self._callers: dict[str, HttpCaller] = {}

    def close(self) -> None:
        """Close the connections."""
        with self._lock:
            for caller in self._callers.values():
                caller.close()
            self._callers.clear()

    def read(
        self, upstream: UpstreamId, address: str, path: str
    ) -> Result[LoadReported, ServiceError]:
        """Read the load report of one upstream."""
        call = Call(CallKind.LOAD_REPORT, "GET", path, self._settings.timeout_s)
        answer = self._caller(address).call(call)
        return answer.bind(lambda received: self._decode_report(upstream, address, received))

    def _caller(self, address: str) -> HttpCaller:
        with self._lock:
            if address not in self._callers:
                self._callers[address] = HttpCaller(
                    address=address,
                    connections=1,
                    max_answer_bytes=MAX_ANSWER_BYTES,
                    counter=self._counter,
                )
            return self._callers[address]

    def _decode_report(
        self, upstream: UpstreamId, address: str, answer: Answer
    ) -> Result[LoadReported, ServiceError]:
        if answer.status != 200:
            detail = f"the load report answered {answer.status}"
            return Failure(ServiceFailedError(address=address, detail=detail))
        gauges = _gauges(answer.body)
        in_flight = gauges.get(IN_FLIGHT_METRIC, math.nan)
        if not math.isfinite(in_flight) or in_flight < 0:
            detail = f"the load report has no valid {IN_FLIGHT_METRIC}"
            return Failure(AnswerMalformedError(address=address, detail=detail))
        age_s = self._age_s(answer, gauges.get(TIMESTAMP_METRIC))
        leaving = gauges.get(LEAVING_METRIC, 0.0) > 0
        return Success(LoadReported(upstream, int(in_flight), leaving, age_s))

    def _age_s(self, answer: Answer, reported_at: float | None) -> float:
        """Return the report's age in seconds, or 0 if the report has no timestamp.

        The age is relative to the ``Date`` header of the answer, which is on the upstream's own
        clock, or else to the local wall clock.
        """
        if reported_at is None or not math.isfinite(reported_at):
            return 0.0
        try:
            now = parsedate_to_datetime(answer.headers.get("Date", "")).timestamp()
        except ValueError:
            now = self._clock()
        return max(now - reported_at, 0.0)


def _gauges(body: bytes) -> dict[str, float]:
    """Return the samples by metric name; labels are ignored, and the last sample of a name wins."""
    gauges: dict[str, float] = {}
    for line in body.decode("utf-8", "replace").splitlines():
        name, _, rest = line.strip().partition(" ")
        if not rest or name.startswith("#"):
            continue
        try:
            gauges[name.partition("{")[0]] = float(rest.split()[0])
        except (ValueError, IndexError):
            continue
    return gauges
