"""WSGI callables that serve callers; they run in the HTTP server's threads."""

from __future__ import annotations

import itertools
import math
import time
from collections.abc import Callable, Iterable, Iterator
from typing import Any
from urllib.parse import parse_qs

import msgspec

from gooseberryport_core.lookup import LookupSnapshot
from gooseberryport_core.types import Outcome, RefusalReason, RequestId, ServiceName
from gooseberryport_daemon._bodies import RequestRefusedError, read_body
from gooseberryport_daemon._caller_conn import CallerConnection
from gooseberryport_daemon._caller_limits import CallerLimits, CallerPermit, PermitReleasingBody
from gooseberryport_daemon._callers import PendingRequest, RequestResult, StreamedAnswer
from gooseberryport_daemon._http_messages import (
    Answer,
    AnswerHead,
    CallerRequest,
    Headers,
    Refusal,
    RequestHead,
    end_to_end,
)
from gooseberryport_daemon._metrics import SharedCounter
from gooseberryport_daemon._problems import (
    Problem,
    not_run_problem,
    problem_headers,
    refusal_problem,
)

Environ = dict[str, Any]
StartResponse = Callable[[str, list[tuple[str, str]]], Any]

CALLER_POLL_INTERVAL_S = 0.1
"""Interval at which a waiting caller's connection is checked; seconds."""

LOOP_GRACE_S = 5.0
"""Time past a request's deadline after which its caller is answered without the loop; seconds."""

MIN_RETRY_AFTER_S = 0.2
GOLDEN_RATIO = 0.618_033_988_749_895

OUTCOME_UNKNOWN = Refusal(Outcome.UNKNOWN, None, 0.0)

MAX_IDEMPOTENCY_KEY_LENGTH = 256
MAX_SERVICE_NAME_LENGTH = 128

JSON_TYPE = "application/json"

_json = msgspec.json.Encoder()


class ServiceLimits(msgspec.Struct, frozen=True):
    """Limits of a service that are enforced before a request is submitted."""

    max_body_bytes: int
    default_timeout_s: float
    max_timeout_s: float


class FrontendSnapshot(msgspec.Struct, frozen=True):
    """State that the HTTP threads read; the loop replaces it as a whole.

    Parameters
    ----------
    services
        The services in force, or None while there is no configuration.
    stopping
        Whether connections are closed after their answer.
    closed
        Whether new requests are refused.
    """

    lookup: LookupSnapshot
    services: dict[ServiceName, ServiceLimits] | None = None
    stopping: bool = False
    closed: bool = False


class LoopCallbacks(msgspec.Struct, frozen=True):
    """Functions that pass requests to the loop; safe to call from any thread."""

    submit: Callable[[PendingRequest], None]
    cancel: Callable[[RequestId], None]
    record_refusal: Callable[[str], None]


class Frontend:
    """Serve callers over HTTP.

    Parameters
    ----------
    name
        Prefix that makes request identifiers unique among all daemons.
    snapshot
        State at the start.
    loop
        Functions that pass requests to the loop.
    caller_limits
        Limits on the callers and body bytes held at once.
    """

    def __init__(
        self,
        *,
        name: str,
        snapshot: FrontendSnapshot,
        loop: LoopCallbacks,
        caller_limits: CallerLimits,
    ) -> None:
        self.snapshot = snapshot
        self.lookups = SharedCounter()
        self._name = name
        self._loop = loop
        self._caller_limits = caller_limits
        self._serials = itertools.count(1)

    @property
    def active_callers(self) -> int:
        """Number of callers that wait or are being answered."""
        return self._caller_limits.active_count

    def lookup(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        """Answer a look-up from the snapshot."""
        snapshot = self.snapshot
        self.lookups.add()
        if environ["REQUEST_METHOD"] not in ("GET", "HEAD"):
            problem = not_run_problem(405, RefusalReason.BAD_REQUEST, "Use GET.")
            return _send_problem(problem, start_response)
        query = parse_qs(environ.get("QUERY_STRING", ""))
        service = query.get("service", [""])[0]
        client = query.get("client", [""])[0] or environ.get("REMOTE_ADDR", "")
        if snapshot.services is not None and service not in snapshot.services:
            return _send_problem(
                not_run_problem(404, RefusalReason.UNKNOWN_SERVICE), start_response
            )
        body = _json.encode(snapshot.lookup.rank(service, client))
        headers = [
            ("Content-Type", JSON_TYPE),
            ("Content-Length", str(len(body))),
            ("Cache-Control", f"max-age={int(snapshot.lookup.max_age_s)}"),
        ]
        start_response("200 OK", headers)
        return [body]

    def request(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        """Forward a request to an upstream and return its answer or a problem document."""
        conn = CallerConnection(environ)
        if self.snapshot.stopping:
            conn.close_after_answer()
        permit = self._caller_limits.acquire()
        if permit is None or self.snapshot.closed:
            conn.close_after_answer()
            return self._refuse(self._admission_problem(permit), start_response)
        try:
            return PermitReleasingBody(self._serve(environ, conn, permit, start_response), permit)
        except RequestRefusedError as exc:
            conn.close_after_answer()
            return PermitReleasingBody(self._refuse(exc.problem, start_response), permit)
        except BaseException:
            permit.release()
            raise

    def _refuse(self, problem: Problem, start_response: StartResponse) -> Iterable[bytes]:
        self._loop.record_refusal(problem.reason)
        return _send_problem(problem, start_response)

    def _admission_problem(self, permit: CallerPermit | None) -> Problem:
        if permit is None:
            return not_run_problem(
                503, RefusalReason.QUEUE_FULL, retry_after_s=self._retry_after_s()
            )
        permit.release()
        return not_run_problem(503, RefusalReason.STOPPING, retry_after_s=self._retry_after_s())

    def _retry_after_s(self) -> float:
        """Return a retry delay that differs between callers, which spreads their retries."""
        return MIN_RETRY_AFTER_S + (next(self._serials) * GOLDEN_RATIO % 1.0)

    def _serve(
        self,
        environ: Environ,
        conn: CallerConnection,
        permit: CallerPermit,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        pending = PendingRequest(self._read_request(environ, permit))
        result = self._await_result(pending, conn)
        if result is None:
            conn.close_after_answer()
            return _send_problem(refusal_problem(OUTCOME_UNKNOWN), start_response)
        if isinstance(result, Answer):
            start_response(_status_line(result.head), _with_length(result))
            return [result.body]
        if isinstance(result, StreamedAnswer):
            start_response(_status_line(result.head), list(result.head.headers))
            return self._stream(pending.request.request_id, result)
        return _send_problem(refusal_problem(result), start_response)

    def _await_result(
        self, pending: PendingRequest, conn: CallerConnection
    ) -> RequestResult | None:
        """Return a request's result; None if its caller disconnected or the loop did not reply."""
        self._loop.submit(pending)
        timeout_s = pending.request.timeout_s or LOOP_GRACE_S
        deadline = time.monotonic() + timeout_s + LOOP_GRACE_S
        while (result := pending.wait(CALLER_POLL_INTERVAL_S)) is None:
            if conn.is_closed() or time.monotonic() > deadline:
                self._loop.cancel(pending.request.request_id)
                return None
        return result

    def _stream(self, request_id: RequestId, answer: StreamedAnswer) -> Iterator[bytes]:
        complete = False
        try:
            yield from answer.pipe.read()
            complete = True
        finally:
            if not complete:
                self._loop.cancel(request_id)

    def _read_request(self, environ: Environ, permit: CallerPermit) -> CallerRequest:
        started = time.monotonic()
        service = _service_name(environ["PATH_INFO"])
        limits = self._limits(service)
        timeout_s = _timeout_s(environ.get("HTTP_REQUEST_TIMEOUT"), limits)
        key = _idempotency_key(environ)
        body = read_body(environ, limits.max_body_bytes, permit)
        timeout_s -= time.monotonic() - started
        if timeout_s <= 0:
            raise RequestRefusedError(not_run_problem(504, RefusalReason.DEADLINE))
        request_id = RequestId(f"{self._name}-{next(self._serials)}")
        head = RequestHead(
            method=environ["REQUEST_METHOD"],
            target=environ["REQUEST_URI"],
            headers=end_to_end(_headers(environ)),
            request_id=environ.get("HTTP_X_REQUEST_ID", request_id),
        )
        client = environ.get("REMOTE_ADDR", "")
        return CallerRequest(request_id, service, client, head, body, timeout_s, key)

    def _limits(self, service: ServiceName) -> ServiceLimits:
        services = self.snapshot.services
        if services is None:
            detail = (
                "This entry VM has no configuration yet; try again, or look up another entry VM."
            )
            wait_s = self._retry_after_s()
            raise RequestRefusedError(
                not_run_problem(503, RefusalReason.NO_OWNER, detail, retry_after_s=wait_s)
            )
        limits = services.get(service)
        if limits is None:
            raise RequestRefusedError(not_run_problem(404, RefusalReason.UNKNOWN_SERVICE))
        return limits


def _service_name(path: str) -> ServiceName:
    name = path.lstrip("/").partition("/")[0]
    if not name or len(name) > MAX_SERVICE_NAME_LENGTH:
        raise RequestRefusedError(not_run_problem(404, RefusalReason.UNKNOWN_SERVICE))
    return ServiceName(name)


def _timeout_s(text: str | None, limits: ServiceLimits) -> float:
    """Return the timeout that a caller requests, limited to the service's maximum."""
    if text is None:
        return limits.default_timeout_s
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not math.isfinite(value) or value <= 0:
        detail = "Request-Timeout must be seconds above 0, as a decimal number such as 2.5."
        raise RequestRefusedError(not_run_problem(400, RefusalReason.BAD_REQUEST, detail))
    return min(value, limits.max_timeout_s)


def _idempotency_key(environ: Environ) -> str:
    key: str = environ.get("HTTP_IDEMPOTENCY_KEY", "")
    if len(key) > MAX_IDEMPOTENCY_KEY_LENGTH or not key.isprintable():
        detail = (
            f"The Idempotency-Key must be at most {MAX_IDEMPOTENCY_KEY_LENGTH} "
            "printable characters."
        )
        raise RequestRefusedError(not_run_problem(400, RefusalReason.BAD_REQUEST, detail))
    return key


def _headers(environ: Environ) -> Headers:
    found = [
        (name[5:].replace("_", "-").title(), value)
        for name, value in environ.items()
        if name.startswith("HTTP_")
    ]
    if "CONTENT_TYPE" in environ:
        found.append(("Content-Type", environ["CONTENT_TYPE"]))
    return tuple(found)


def _status_line(head: AnswerHead) -> str:
    return f"{head.status} {head.reason or 'Unnamed'}"


def _with_length(answer: Answer) -> list[tuple[str, str]]:
    headers = list(answer.head.headers)
    if answer.body and not any(name.lower() == "content-length" for name, _ in headers):
        headers.append(("Content-Length", str(len(answer.body))))
    return headers


def _send_problem(problem: Problem, start_response: StartResponse) -> Iterable[bytes]:
    body = _json.encode(problem)
    start_response(f"{problem.status} {problem.title}", problem_headers(problem, body))
    return [body]
