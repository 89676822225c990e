"""The callers' doors as WSGI callables; they run in the HTTP server's threads."""

from __future__ import annotations

import itertools
import math
import threading
import time
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from typing import Any
from urllib.parse import parse_qs

import msgspec

from gooseberryport_core.lookup import LookupSnapshot
from gooseberryport_core.types import RefusalReason, RequestId, ServiceName
from gooseberryport_daemon._caller_conn import CallerConnection
from gooseberryport_daemon._callers import Exchange, StreamedAnswer
from gooseberryport_daemon._parts import (
    Answer,
    AnswerHead,
    CallerRequest,
    Headers,
    RequestHead,
    end_to_end,
)
from gooseberryport_daemon._problems import Problem, not_run, problem_headers, problem_of

Environ = dict[str, Any]
StartResponse = Callable[[str, list[tuple[str, str]]], Any]

POLL_S = 0.1
"""Time between two looks at whether a waiting caller is still there; seconds."""

READ_CHUNK_BYTES = 65_536
MAX_KEY_LENGTH = 256
MAX_SERVICE_LENGTH = 128

JSON_TYPE = "application/json"

_json = msgspec.json.Encoder()


class ServiceLimits(msgspec.Struct, frozen=True):
    """What the door must know of a service."""

    max_body_bytes: int
    max_timeout_s: float


class FrontView(msgspec.Struct, frozen=True):
    """What the doors know; the loop replaces it whole.

    Parameters
    ----------
    services
        The services in force, or None while there is no configuration.
    """

    lookup: LookupSnapshot
    services: dict[ServiceName, ServiceLimits] | None = None


class Loop(msgspec.Struct, frozen=True):
    """How a door reaches the loop, from any thread."""

    submit: Callable[[Exchange], None]
    gone: Callable[[RequestId], None]


class RefusedError(Exception):
    """The request is refused at the door."""

    def __init__(self, problem: Problem) -> None:
        super().__init__(problem.detail)
        self.problem = problem


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
    most_waiting
        Most callers that may wait at once.
    """

    def __init__(self, *, name: str, view: FrontView, loop: Loop, most_waiting: int) -> None:
        self.view = view
        self._name = name
        self._loop = loop
        self._places = threading.BoundedSemaphore(most_waiting)
        self._serials = itertools.count(1)

    def lookup(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        """Answer a look-up from the snapshot."""
        snapshot = self.view.lookup
        query = parse_qs(environ.get("QUERY_STRING", ""))
        service = query.get("service", [""])[0]
        client = query.get("client", [""])[0] or environ.get("REMOTE_ADDR", "")
        if environ["REQUEST_METHOD"] not in ("GET", "HEAD"):
            problem = not_run(405, RefusalReason.BAD_REQUEST, "Use GET.")
            return _send_problem(problem, start_response)
        services = self.view.services
        if services is not None and service not in services:
            return _send_problem(not_run(404, RefusalReason.UNKNOWN_SERVICE), start_response)
        body = _json.encode(snapshot.rank(service, client))
        headers = [
            ("Content-Type", JSON_TYPE),
            ("Content-Length", str(len(body))),
            ("Cache-Control", f"max-age={int(snapshot.max_age_s)}"),
        ]
        start_response("200 OK", headers)
        return [body]

    def request(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        """Carry a request to an upstream and return its whole answer or a problem."""
        conn = CallerConnection(environ)
        try:
            with self._place():
                return self._serve(environ, conn, start_response)
        except RefusedError as exc:
            conn.close_after_answer()
            return _send_problem(exc.problem, start_response)

    @contextmanager
    def _place(self) -> Iterator[None]:
        """Hold one of the places for waiting callers."""
        if not self._places.acquire(blocking=False):
            raise RefusedError(not_run(503, RefusalReason.QUEUE_FULL))
        try:
            yield
        finally:
            self._places.release()

    def _serve(
        self, environ: Environ, conn: CallerConnection, start_response: StartResponse
    ) -> Iterable[bytes]:
        exchange = Exchange(self._read_request(environ))
        self._loop.submit(exchange)
        while (end := exchange.wait(POLL_S)) is None:
            if conn.gone():
                self._loop.gone(exchange.request.request_id)
                conn.close_after_answer()
                return _send_nothing(start_response)
        if isinstance(end, Answer):
            start_response(_status_line(end.head), _with_length(end))
            return [end.body]
        if isinstance(end, StreamedAnswer):
            start_response(_status_line(end.head), list(end.head.headers))
            return self._stream(exchange.request.request_id, end)
        return _send_problem(problem_of(end), start_response)

    def _stream(self, request_id: RequestId, answer: StreamedAnswer) -> Iterator[bytes]:
        whole = False
        try:
            yield from answer.pipe.read()
            whole = True
        finally:
            if not whole:
                self._loop.gone(request_id)

    def _read_request(self, environ: Environ) -> CallerRequest:
        started = time.monotonic()
        service = _service_name(environ["PATH_INFO"])
        limits = self._limits(service)
        timeout_s = _timeout_s(environ.get("HTTP_REQUEST_TIMEOUT"))
        timeout_s = min(timeout_s, limits.max_timeout_s)
        key = environ.get("HTTP_IDEMPOTENCY_KEY", "")
        if len(key) > MAX_KEY_LENGTH:
            detail = f"The Idempotency-Key is longer than {MAX_KEY_LENGTH} characters."
            raise RefusedError(not_run(400, RefusalReason.BAD_REQUEST, detail))
        body = _read_body(environ, limits.max_body_bytes)
        if timeout_s:
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
            raise RefusedError(not_run(503, RefusalReason.NO_OWNER, detail))
        limits = services.get(service)
        if limits is None:
            raise RefusedError(not_run(404, RefusalReason.UNKNOWN_SERVICE))
        return limits


def _service_name(path: str) -> ServiceName:
    name = path.lstrip("/").partition("/")[0]
    if not name or len(name) > MAX_SERVICE_LENGTH:
        raise RefusedError(not_run(404, RefusalReason.UNKNOWN_SERVICE))
    return ServiceName(name)


def _timeout_s(text: str | None) -> float:
    """Return the time that a caller allows, 0 if it names none; raises `RefusedError`."""
    if text is None:
        return 0.0
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not math.isfinite(value) or value <= 0:
        detail = "Request-Timeout must be seconds above 0, as a decimal number such as 2.5."
        raise RefusedError(not_run(400, RefusalReason.BAD_REQUEST, detail))
    return value


def _read_body(environ: Environ, limit: int) -> bytes:
    """Return the whole body; raises `RefusedError` if it is too long or not whole."""
    stream = environ["wsgi.input"]
    if environ.get("wsgi.input_terminated"):
        return _read_up_to(stream, limit)
    length = _content_length(environ.get("CONTENT_LENGTH", "0"))
    if length > limit:
        raise RefusedError(not_run(413, RefusalReason.TOO_LARGE))
    body = _read_up_to(stream, length) if length else b""
    if len(body) != length:
        detail = "The body is shorter than Content-Length says."
        raise RefusedError(not_run(400, RefusalReason.BAD_REQUEST, detail))
    return body


def _content_length(text: str) -> int:
    if not text.isascii() or not text.isdigit():
        detail = "Content-Length must be a number of bytes."
        raise RefusedError(not_run(400, RefusalReason.BAD_REQUEST, detail))
    return int(text)


def _read_up_to(stream: Any, limit: int) -> bytes:
    chunks: list[bytes] = []
    size = 0
    while chunk := _read_chunk(stream, limit - size):
        size += len(chunk)
        if size > limit:
            raise RefusedError(not_run(413, RefusalReason.TOO_LARGE))
        chunks.append(chunk)
    return b"".join(chunks)


def _read_chunk(stream: Any, left: int) -> bytes:
    try:
        chunk: bytes = stream.read(min(READ_CHUNK_BYTES, left + 1))
    except (OSError, ValueError) as exc:
        detail = "The body could not be read to its end; send it again."
        raise RefusedError(not_run(400, RefusalReason.BAD_REQUEST, detail)) from exc
    return chunk


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
    if not any(name.lower() == "content-length" for name, _ in headers) and answer.body:
        headers.append(("Content-Length", str(len(answer.body))))
    return headers


def _send_problem(problem: Problem, start_response: StartResponse) -> Iterable[bytes]:
    body = _json.encode(problem)
    start_response(f"{problem.status} {problem.title}", problem_headers(problem, body))
    return [body]


def _send_nothing(start_response: StartResponse) -> Iterable[bytes]:
    start_response("503 Service Unavailable", [("Content-Length", "0")])
    return []
