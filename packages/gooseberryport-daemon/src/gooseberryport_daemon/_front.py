"""The callers' doors as WSGI callables; they run in the HTTP server's threads."""

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
from gooseberryport_daemon._bodies import RefusedError, read_body
from gooseberryport_daemon._caller_conn import CallerConnection
from gooseberryport_daemon._callers import CallerEnd, Exchange, StreamedAnswer
from gooseberryport_daemon._metrics import SharedCounter
from gooseberryport_daemon._parts import (
    Answer,
    AnswerHead,
    CallerRequest,
    Headers,
    Refusal,
    RequestHead,
    end_to_end,
)
from gooseberryport_daemon._places import HeldBody, Place, Places
from gooseberryport_daemon._problems import Problem, not_run, problem_headers, problem_of

Environ = dict[str, Any]
StartResponse = Callable[[str, list[tuple[str, str]]], Any]

POLL_S = 0.1
"""Time between two looks at whether a waiting caller is still there; seconds."""

MAX_SILENCE_S = 5.0
"""Time past a request's deadline after which a caller no longer waits for the loop; seconds."""

LEAST_WAIT_S = 0.2
GOLDEN_RATIO = 0.618_033_988_749_895

NO_WORD = Refusal(Outcome.UNKNOWN, None, 0.0)

MAX_KEY_LENGTH = 256
MAX_SERVICE_LENGTH = 128

JSON_TYPE = "application/json"

_json = msgspec.json.Encoder()


class ServiceLimits(msgspec.Struct, frozen=True):
    """What the door must know of a service."""

    max_body_bytes: int
    default_timeout_s: float
    max_timeout_s: float


class FrontView(msgspec.Struct, frozen=True):
    """What the doors know; the loop replaces it whole.

    Parameters
    ----------
    services
        The services in force, or None while there is no configuration.
    stopping
        Whether callers should not keep their connections.
    closed
        Whether no new request is taken.
    """

    lookup: LookupSnapshot
    services: dict[ServiceName, ServiceLimits] | None = None
    stopping: bool = False
    closed: bool = False


class Loop(msgspec.Struct, frozen=True):
    """How a door reaches the loop, from any thread."""

    submit: Callable[[Exchange], None]
    gone: Callable[[RequestId], None]
    refused: Callable[[str], None]


class Front:
    """Serve callers.

    Parameters
    ----------
    name
        Word that makes request identifiers unique in the fleet.
    view
        What is known at the start.
    loop
        How requests reach the loop.
    places
        Bounds on what callers hold.
    """

    def __init__(self, *, name: str, view: FrontView, loop: Loop, places: Places) -> None:
        self.view = view
        self.lookups = SharedCounter()
        self._name = name
        self._loop = loop
        self._places = places
        self._serials = itertools.count(1)

    @property
    def held(self) -> int:
        """How many callers wait or are being answered."""
        return self._places.held

    def lookup(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        """Answer a look-up from the snapshot."""
        view = self.view
        self.lookups.add()
        if environ["REQUEST_METHOD"] not in ("GET", "HEAD"):
            problem = not_run(405, RefusalReason.BAD_REQUEST, "Use GET.")
            return _send_problem(problem, start_response)
        query = parse_qs(environ.get("QUERY_STRING", ""))
        service = query.get("service", [""])[0]
        client = query.get("client", [""])[0] or environ.get("REMOTE_ADDR", "")
        if view.services is not None and service not in view.services:
            return _send_problem(not_run(404, RefusalReason.UNKNOWN_SERVICE), start_response)
        body = _json.encode(view.lookup.rank(service, client))
        headers = [
            ("Content-Type", JSON_TYPE),
            ("Content-Length", str(len(body))),
            ("Cache-Control", f"max-age={int(view.lookup.max_age_s)}"),
        ]
        start_response("200 OK", headers)
        return [body]

    def request(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        """Carry a request to an upstream and return its whole answer or a problem."""
        conn = CallerConnection(environ)
        if self.view.stopping:
            conn.close_after_answer()
        place = self._places.take()
        if place is None or self.view.closed:
            conn.close_after_answer()
            return self._refuse(self._no_place(place), start_response)
        try:
            return HeldBody(self._serve(environ, conn, place, start_response), place)
        except RefusedError as exc:
            conn.close_after_answer()
            return HeldBody(self._refuse(exc.problem, start_response), place)
        except BaseException:
            place.release()
            raise

    def _refuse(self, problem: Problem, start_response: StartResponse) -> Iterable[bytes]:
        self._loop.refused(problem.reason)
        return _send_problem(problem, start_response)

    def _no_place(self, place: Place | None) -> Problem:
        if place is None:
            return not_run(503, RefusalReason.QUEUE_FULL, retry_after_s=self._jitter_s())
        place.release()
        return not_run(503, RefusalReason.STOPPING, retry_after_s=self._jitter_s())

    def _jitter_s(self) -> float:
        """Return a waiting time that differs from caller to caller."""
        return LEAST_WAIT_S + (next(self._serials) * GOLDEN_RATIO % 1.0)

    def _serve(
        self, environ: Environ, conn: CallerConnection, place: Place, start_response: StartResponse
    ) -> Iterable[bytes]:
        exchange = Exchange(self._read_request(environ, place))
        end = self._await_end(exchange, conn)
        if end is None:
            conn.close_after_answer()
            return _send_problem(problem_of(NO_WORD), start_response)
        if isinstance(end, Answer):
            start_response(_status_line(end.head), _with_length(end))
            return [end.body]
        if isinstance(end, StreamedAnswer):
            start_response(_status_line(end.head), list(end.head.headers))
            return self._stream(exchange.request.request_id, end)
        return _send_problem(problem_of(end), start_response)

    def _await_end(self, exchange: Exchange, conn: CallerConnection) -> CallerEnd | None:
        """Return a request's end, or None if its caller has gone or the loop gives no word."""
        self._loop.submit(exchange)
        patience_s = exchange.request.timeout_s or MAX_SILENCE_S
        deadline = time.monotonic() + patience_s + MAX_SILENCE_S
        while (end := exchange.wait(POLL_S)) is None:
            if conn.gone() or time.monotonic() > deadline:
                self._loop.gone(exchange.request.request_id)
                return None
        return end

    def _stream(self, request_id: RequestId, answer: StreamedAnswer) -> Iterator[bytes]:
        whole = False
        try:
            yield from answer.pipe.read()
            whole = True
        finally:
            if not whole:
                self._loop.gone(request_id)

    def _read_request(self, environ: Environ, place: Place) -> CallerRequest:
        started = time.monotonic()
        service = _service_name(environ["PATH_INFO"])
        limits = self._limits(service)
        timeout_s = _timeout_s(environ.get("HTTP_REQUEST_TIMEOUT"), limits)
        key = _idempotency_key(environ)
        body = read_body(environ, limits.max_body_bytes, place)
        timeout_s -= time.monotonic() - started
        if timeout_s <= 0:
            raise RefusedError(not_run(504, RefusalReason.DEADLINE))
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
        services = self.view.services
        if services is None:
            detail = "This entry VM has no configuration yet; try again, or look up another one."
            wait_s = self._jitter_s()
            raise RefusedError(not_run(503, RefusalReason.NO_OWNER, detail, retry_after_s=wait_s))
        limits = services.get(service)
        if limits is None:
            raise RefusedError(not_run(404, RefusalReason.UNKNOWN_SERVICE))
        return limits


def _service_name(path: str) -> ServiceName:
    name = path.lstrip("/").partition("/")[0]
    if not name or len(name) > MAX_SERVICE_LENGTH:
        raise RefusedError(not_run(404, RefusalReason.UNKNOWN_SERVICE))
    return ServiceName(name)


def _timeout_s(text: str | None, limits: ServiceLimits) -> float:
    """Return the time that a caller allows, within the service's bounds."""
    if text is None:
        return limits.default_timeout_s
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not math.isfinite(value) or value <= 0:
        detail = "Request-Timeout must be seconds above 0, as a decimal number such as 2.5."
        raise RefusedError(not_run(400, RefusalReason.BAD_REQUEST, detail))
    return min(value, limits.max_timeout_s)


def _idempotency_key(environ: Environ) -> str:
    key: str = environ.get("HTTP_IDEMPOTENCY_KEY", "")
    if len(key) > MAX_KEY_LENGTH or not key.isprintable():
        detail = f"The Idempotency-Key must be at most {MAX_KEY_LENGTH} printable characters."
        raise RefusedError(not_run(400, RefusalReason.BAD_REQUEST, detail))
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
