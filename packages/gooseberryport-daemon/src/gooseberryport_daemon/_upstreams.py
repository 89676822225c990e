"""Sends requests to upstreams: urllib3 in threads, results on the loop."""

from __future__ import annotations

import asyncio
import concurrent.futures
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from typing import Protocol

import msgspec
import urllib3
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError
from urllib3.util import SKIP_HEADER

from gooseberryport_core.effects import StartUpstreamAttempt
from gooseberryport_core.events import UpstreamAttemptEnded
from gooseberryport_core.types import AttemptOutcome, TicketId
from gooseberryport_daemon._attempt import (
    Attempt,
    AttemptCancelledError,
    AttemptConnectionPool,
    current,
)
from gooseberryport_daemon._http_messages import (
    NOT_RUN_HEADER,
    AnswerHead,
    RequestHead,
    end_to_end,
    states_not_run,
    without_not_run,
)
from gooseberryport_daemon._verdicts import judge
from gooseberryport_daemon.settings import parse_endpoint

READ_CHUNK_BYTES = 65_536
MAX_INLINE_ANSWER_BYTES = 65_536
"""Maximum size of an answer that is passed to the loop in one piece."""

MAX_CONNECTION_POOLS = 256
"""Maximum number of upstreams with a connection pool; the least recently used is closed."""

TIMEOUT_HEADER = "Request-Timeout"
REQUEST_ID_HEADER = "X-Request-Id"

MIN_TIMEOUT_S = 0.001

MAX_CAUSES = 3
"""Maximum number of exceptions that a log line names."""


class AnswerSink(Protocol):
    """Receives the parts of an answer, on the loop."""

    async def write(self, head: AnswerHead | None, chunk: bytes) -> None:
        """Add a part; waits while the reader is slow."""


class UpstreamRequest(msgspec.Struct, frozen=True):
    """A request to be sent to an upstream, its limits, and the sink of its answer."""

    head: RequestHead
    body: bytes
    sink: AnswerSink
    max_answer_bytes: int
    connections: int


class IncompleteAnswerError(Exception):
    """The answer ended early, is too long, or has no detectable end."""


class AttemptFailure(msgspec.Struct, frozen=True):
    """Why an attempt ended without an answer; times in seconds."""

    ticket_id: TicketId
    address: str
    outcome: AttemptOutcome
    cause: str
    duration_s: float
    timeout_s: float


class _Result(msgspec.Struct, frozen=True):
    """How a call ended; a short answer is included completely."""

    outcome: AttemptOutcome
    status: int = 0
    answer_bytes: int = 0
    head: AnswerHead | None = None
    body: bytes = b""
    connected: bool = True
    cause: str = ""


class Upstreams:
    """Send requests to upstreams.

    Parameters
    ----------
    loop
        Loop on which `start` and `cancel` are called and results arrive.
    executor
        Threads that make the calls.
    on_finished
        Called on the loop with the end of each attempt, after its answer was passed to its sink.
    on_failure
        Called before that if the attempt ended without an answer.
    """

    def __init__(
        self,
        *,
        loop: asyncio.AbstractEventLoop,
        executor: ThreadPoolExecutor,
        on_finished: Callable[[UpstreamAttemptEnded], None],
        on_failure: Callable[[AttemptFailure], None],
    ) -> None:
        self._loop = loop
        self._executor = executor
        self._on_finished = on_finished
        self._on_failure = on_failure
        self._attempts: dict[TicketId, Attempt] = {}
        self._connection_pools: dict[str, AttemptConnectionPool] = {}

    def start(self, effect: StartUpstreamAttempt, request: UpstreamRequest) -> None:
        """Start an attempt."""
        attempt = Attempt(timeout_s=effect.timeout_s, fresh=effect.fresh)
        self._attempts[effect.ticket_id] = attempt
        connection_pool = self._connection_pool(effect.address, request.connections)
        self._loop.create_task(self._run(effect, attempt, connection_pool, request))

    def cancel(self, ticket_id: TicketId) -> None:
        """Cancel an attempt; its end is still reported."""
        attempt = self._attempts.get(ticket_id)
        if attempt is not None:
            attempt.cancel()

    def running(self) -> int:
        """Return the number of running attempts."""
        return len(self._attempts)

    def close(self) -> None:
        """Cancel every attempt and close the connections."""
        for attempt in self._attempts.values():
            attempt.cancel()
        for connection_pool in self._connection_pools.values():
            connection_pool.close()
        self._connection_pools.clear()

    async def _run(
        self,
        effect: StartUpstreamAttempt,
        attempt: Attempt,
        connection_pool: AttemptConnectionPool,
        request: UpstreamRequest,
    ) -> None:
        ticket_id = effect.ticket_id
        timer = self._loop.call_later(attempt.remaining_s, attempt.cancel)
        call = _Call(
            attempt=attempt, connection_pool=connection_pool, request=request, loop=self._loop
        )
        result = await self._loop.run_in_executor(self._executor, call.run)
        timer.cancel()
        del self._attempts[ticket_id]
        if result.outcome is not AttemptOutcome.ANSWERED:
            self._on_failure(
                AttemptFailure(
                    ticket_id,
                    effect.address,
                    result.outcome,
                    result.cause,
                    attempt.duration_s,
                    effect.timeout_s,
                )
            )
        if result.head is not None:
            await request.sink.write(result.head, result.body)
        self._on_finished(
            UpstreamAttemptEnded(
                ticket_id=ticket_id,
                outcome=result.outcome,
                status=result.status,
                answer_bytes=result.answer_bytes,
                duration_s=attempt.duration_s,
                connected=result.connected,
            )
        )

    def _connection_pool(self, address: str, connections: int) -> AttemptConnectionPool:
        connection_pool = self._connection_pools.pop(address, None)
        if connection_pool is None:
            endpoint = parse_endpoint(address, field="address")
            connection_pool = AttemptConnectionPool(
                endpoint.ip, endpoint.port, maxsize=connections, block=False, retries=False
            )
        self._connection_pools[address] = connection_pool
        while len(self._connection_pools) > MAX_CONNECTION_POOLS:
            oldest = next(iter(self._connection_pools))
            self._connection_pools.pop(oldest).close()
        return connection_pool


@contextmanager
def open_upstreams(
    *,
    threads: int,
    loop: asyncio.AbstractEventLoop,
    on_finished: Callable[[UpstreamAttemptEnded], None],
    on_failure: Callable[[AttemptFailure], None],
) -> Iterator[Upstreams]:
    """Open the connection pools of upstreams and the threads that use them."""
    executor = ThreadPoolExecutor(threads, thread_name_prefix="upstream")
    upstreams = Upstreams(
        loop=loop, executor=executor, on_finished=on_finished, on_failure=on_failure
    )
    try:
        yield upstreams
    finally:
        upstreams.close()
        executor.shutdown(wait=False, cancel_futures=True)


class _Call:
    """One call to an upstream, run in a thread."""

    def __init__(
        self,
        *,
        attempt: Attempt,
        connection_pool: AttemptConnectionPool,
        request: UpstreamRequest,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self._attempt = attempt
        self._connection_pool = connection_pool
        self._request = request
        self._loop = loop

    def run(self) -> _Result:
        """Make the call; failures are returned as results, not raised."""
        attempt = self._attempt
        current.attempt = attempt
        try:
            return self._send_request()
        except (NewConnectionError, ConnectTimeoutError) as exc:
            return _Result(AttemptOutcome.NOT_SENT, connected=False, cause=_cause(exc))
        except (
            HTTPError,
            OSError,
            AttemptCancelledError,
            IncompleteAnswerError,
            ValueError,
        ) as exc:
            outcome = AttemptOutcome.UNKNOWN if attempt.sent else AttemptOutcome.NOT_SENT
            return _Result(outcome, cause=_cause(exc))
        finally:
            attempt.detach_socket()

    def _send_request(self) -> _Result:
        attempt = self._attempt
        request = self._request
        timeout_s = max(attempt.remaining_s, MIN_TIMEOUT_S)
        resp = self._connection_pool.urlopen(
            request.head.method,
            request.head.target,
            body=request.body or None,
            headers=_upstream_headers(request, timeout_s),
            timeout=urllib3.Timeout(total=timeout_s),
            retries=False,
            redirect=False,
            preload_content=False,
            decode_content=False,
        )
        try:
            result = self._read(resp)
        except BaseException:
            resp.close()
            raise
        attempt.detach_socket()
        resp.release_conn()
        return result

    def _read(self, resp: urllib3.BaseHTTPResponse) -> _Result:
        not_run = states_not_run(resp.headers.get(NOT_RUN_HEADER))
        outcome = judge(status=resp.status, not_run=not_run)
        if outcome is not AttemptOutcome.ANSWERED:
            resp.close()
            return _Result(outcome, resp.status, cause=f"status {resp.status}")
        if not _has_detectable_end(resp, self._request.head.method):
            raise IncompleteAnswerError
        headers = without_not_run(end_to_end(tuple(resp.headers.items())))
        head = AnswerHead(resp.status, resp.reason or "", headers)
        chunks: list[bytes] = []
        size = 0
        is_forwarded = False
        for chunk in resp.stream(READ_CHUNK_BYTES, decode_content=False):
            size += len(chunk)
            # The end of the attempt's time shuts the socket down. What had arrived by then can
            # still be read, and is passed on if it is complete.
            if size > self._request.max_answer_bytes:
                raise IncompleteAnswerError
            chunks.append(chunk)
            if size > MAX_INLINE_ANSWER_BYTES:
                self._forward(None if is_forwarded else head, chunks)
                is_forwarded = True
                chunks = []
        if not is_forwarded:
            return _Result(AttemptOutcome.ANSWERED, resp.status, size, head, b"".join(chunks))
        return _Result(AttemptOutcome.ANSWERED, resp.status, size)

    def _forward(self, head: AnswerHead | None, chunks: list[bytes]) -> None:
        write = self._request.sink.write(head, b"".join(chunks))
        fut = asyncio.run_coroutine_threadsafe(write, self._loop)
        try:
            fut.result(max(self._attempt.remaining_s, 0.0))
        except concurrent.futures.TimeoutError as exc:
            fut.cancel()
            raise IncompleteAnswerError from exc


def _cause(exc: BaseException) -> str:
    """Return the types of an exception and those before it; texts may quote callers' headers."""
    names: list[str] = []
    found: BaseException | None = exc
    while found is not None and len(names) < MAX_CAUSES:
        names.append(type(found).__name__)
        found = found.__cause__ or found.__context__
    return ", after ".join(names)


def _has_detectable_end(resp: urllib3.BaseHTTPResponse, method: str) -> bool:
    """Return whether a truncated answer can be distinguished from a complete one."""
    if method == "HEAD" or resp.status in (204, 304):
        return True
    chunked = "chunked" in resp.headers.get("transfer-encoding", "").lower()
    return chunked or "content-length" in resp.headers


def _upstream_headers(request: UpstreamRequest, timeout_s: float) -> dict[str, str]:
    headers: dict[str, str] = {"accept-encoding": SKIP_HEADER, "user-agent": SKIP_HEADER}
    for name, value in request.head.headers:
        headers[name.lower()] = value
    headers.pop("content-length", None)
    headers[TIMEOUT_HEADER.lower()] = f"{timeout_s:.3f}"
    headers.setdefault(REQUEST_ID_HEADER.lower(), request.head.request_id)
    if request.body or request.head.method in ("POST", "PUT", "PATCH"):
        headers["content-length"] = str(len(request.body))
    return headers
