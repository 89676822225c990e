"""One HTTP/1.1 connection to an upstream or to the store, with one request at a time."""

from __future__ import annotations

import asyncio
import errno
from collections import deque
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager

import httptools

from gooseberryport_core.decoding import MAX_DURATION_S, parse_count
from gooseberryport_core.gateway.response_memory import HeldResponse
from gooseberryport_core.http_status import INTERIM_STATUSES, is_valid_status
from gooseberryport_gateway._byte_limits import (
    MAX_FIELDS,
    MAX_INTERIM_RESPONSES,
    BufferBudget,
    ResponseLimits,
)
from gooseberryport_gateway._headers import Headers, find_header
from gooseberryport_gateway._http_response import HttpResponse
from gooseberryport_gateway._liveness import HostCheck
from gooseberryport_gateway._progress import Transfer
from gooseberryport_gateway._receiving import READ_BUFFER, SHORT_READ_BUFFER, add_chunk, has_unread
from gooseberryport_gateway.errors import (
    LossCause,
    NotSentError,
    ResponseLimitError,
    ResponseLostError,
)

DEFAULT_IDLE_TIMEOUT_S = 5.0
"""Idle timeout assumed if the server sends no keep-alive timeout; seconds."""

IDLE_MARGIN_S = 1.0
"""How long before the server's idle timeout a connection is closed; seconds."""

UNREACHABLE_ERRORS = (errno.EHOSTUNREACH, errno.ENETUNREACH)
"""Errors by which the network says that a host does not answer."""

CONNECT_TIMEOUT_S = 0.5
"""Timeout for opening a connection: many times the longest round trip; seconds."""

HTTP_VERSIONS = ("1.0", "1.1")
"""Versions of HTTP that a response may state; the parser accepts others."""


class HttpConn(asyncio.BufferedProtocol):
    """Send requests one at a time, and return complete responses only.

    A response with another request's id is dropped, and the connection is not used again. One whose
    status line is not valid HTTP/1 is no response, and the connection is closed.
    A response that exceeds a limit is given up at once, whichever part of it is too long.
    `unclaimed` is a response that was complete when the wait for it was cancelled, or None.
    `idle_s` is how long the connection was idle before its latest request, or 0, and `paused_s` how
    long its response was not read for lack of memory; seconds. `address` is where it was opened to.
    `host` finds out whether the server's host is gone.

    Parameters
    ----------
    id_header
        Header field that contains a request's id, in lower case.
    limits
        Limits on a response.
    budget
        Bounds the bodies that all connections hold, apart from those that a `HeldResponse` counts;
        None for no bound.
    """

    def __init__(
        self,
        *,
        id_header: bytes | None = None,
        limits: ResponseLimits | None = None,
        budget: BufferBudget | None = None,
    ) -> None:
        self._id_header = id_header
        self._limits = limits or ResponseLimits()
        self._budget = budget
        self._received_bytes = 0
        self._num_fields = 0
        self._num_interim = 0
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._response_future: asyncio.Future[HttpResponse] | None = None
        self._request_id: bytes | None = None
        self._headers: Headers = []
        self._body: list[bytes | bytearray] = []
        self._body_bytes = 0
        self._held: HeldResponse | None = None
        self._transfer: Transfer | None = None
        self._counted_bytes = 0
        self._paused_at: float | None = None
        self.paused_s = 0.0
        self._unsent: deque[bytes | bytearray] = deque()
        self._write_paused = False
        self._head_only = False
        self._in_body = False
        self._has_explicit_length = False
        self._unusable = False
        self._idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S
        self._idle_since = 0.0
        self._used = False
        self._answered = False
        self.idle_s = 0.0
        self.address: tuple[str, int] | None = None
        self.host: HostCheck | None = None
        self.closed = False
        self.closed_future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.has_response_bytes = False
        self.unclaimed: HttpResponse | None = None

    @property
    def usable(self) -> bool:
        """Whether another request may be sent."""
        return not self.closed and not self._unusable and self._response_future is None

    def idle_time_s(self, now: float) -> float:
        """Return for how long the connection has been idle; 0 before its first request; seconds."""
        return now - self._idle_since if self._used else 0.0

    def has_unread(self) -> bool:
        """Return whether the server has closed the idle connection, or sent what was not asked for.

        The event loop may not have read that yet, as it polls once an iteration.
        """
        return self._transport is not None and has_unread(self._transport)

    def expired(self, now: float) -> bool:
        """Return whether the server is about to close the idle connection."""
        return now - self._idle_since >= self._idle_timeout_s - IDLE_MARGIN_S

    async def request(
        self,
        data: bytes,
        *,
        body: Sequence[bytes | bytearray] = (),
        request_id: bytes | None = None,
        head_only: bool = False,
        held: HeldResponse | None = None,
        transfer: Transfer | None = None,
    ) -> HttpResponse:
        """Send a request and return its complete response.

        Parameters
        ----------
        data
            The request as bytes, or its head.
        body
            Chunks that follow; they are written no faster than the server reads.
        request_id
            Id that the response must have; the first one on a connection may have none.
        head_only
            Whether the response has no body, whatever its headers say.
        held
            Counts the response's bytes, and pauses reading when there is no memory for them.
        transfer
            Told when bytes of the response arrive.

        Raises
        ------
        NotSentError
            The connection was closed before any byte was sent.
        ResponseLostError
            The request may have been read, but no complete response was received.
        """
        transport = self._transport
        if transport is None or not self.usable:
            raise NotSentError("the connection is closed")
        loop = asyncio.get_running_loop()
        self.idle_s = self.idle_time_s(loop.time())
        self._used = True
        future: asyncio.Future[HttpResponse] = loop.create_future()
        self._response_future = future
        self.unclaimed = None
        self._request_id = request_id
        self._head_only = head_only
        self.has_response_bytes = False
        self._received_bytes = self._body_bytes = self._num_fields = self._num_interim = 0
        self._unsent = deque(body)
        self.paused_s = 0.0
        self._held = held
        self._transfer = transfer
        self._counted_bytes = 0
        if self.host is not None:
            self.host.expect_bytes(len(data) + sum(map(len, body)))
        transport.write(data)
        self._write_body()
        try:
            response = await future
            if transfer is not None:
                response.transfer_s = transfer.took_s
            return response
        except asyncio.CancelledError:
            if future.done() and not future.cancelled() and future.exception() is None:
                self.unclaimed = future.result()
            raise
        finally:
            unfinished = self._response_future is not None
            self._unsent.clear()
            self._transfer = None
            self._response_future = None
            self._free_body()
            if unfinished or self._unusable:
                self.close()

    def fail_unacknowledged(self) -> None:
        """Fail the request, since the server's host answers no more, and close the connection."""
        self._fail("connection unacknowledged", cause=LossCause.UNACKNOWLEDGED)
        self.close()

    def close(self) -> None:
        """Close the connection at once, dropping unsent bytes."""
        self.closed = True
        if self._transport is not None:
            self._transport.abort()

    def _write_body(self) -> None:
        while self._unsent and not self._write_paused and self._transport is not None:
            self._transport.write(self._unsent.popleft())

    def _pause_reading(self, paused: bool) -> None:
        """Stop or resume reading a response, as the memory for responses allows."""
        transport = self._transport
        if transport is None:
            return
        now = asyncio.get_running_loop().time()
        if paused:
            self._paused_at = now
            transport.pause_reading()
            return
        if self._paused_at is not None:
            self.paused_s += now - self._paused_at
            self._paused_at = None
        transport.resume_reading()

    # Callbacks from asyncio.

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return a buffer for the next read, a short one if the memory is used up."""
        if self._held is not None and self._held.client.memory.used_up:
            return SHORT_READ_BUFFER
        return READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Parse what was read."""
        self.data_received(READ_BUFFER[:nbytes])

    def pause_writing(self) -> None:
        """Write no more of a body until the server has read what is buffered."""
        self._write_paused = True

    def resume_writing(self) -> None:
        """Write more of a body."""
        self._write_paused = False
        self._write_body()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Prepare the socket."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self.host = HostCheck(transport)
        self._idle_since = asyncio.get_running_loop().time()

    def data_received(self, data: bytes | memoryview) -> None:
        """Feed the parser."""
        if self.closed:
            return
        if self._response_future is None and not self._in_body:
            self._mark_unusable()
            return
        self.has_response_bytes = True
        self._received_bytes += len(data)
        if self._transfer is not None:
            self._transfer.record_bytes()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as exc:
            if not self.closed:
                self._mark_unusable()
                self._fail(f"malformed response ({exc})")
        except httptools.HttpParserUpgrade:
            self._mark_unusable()
            self._fail("unexpected protocol upgrade")
        else:
            self._check_overhead()
        if self._held is not None and self._body_bytes > self._counted_bytes:
            # A response that is complete now is counted with its reply.
            self._held.add(self._body_bytes - self._counted_bytes, on_paused=self._pause_reading)
            self._counted_bytes = self._body_bytes

    def eof_received(self) -> bool:
        """Complete a response whose end is marked by the end of the connection."""
        if self._response_future is not None and self._in_body and not self._has_explicit_length:
            self._unusable = True
            if self._is_own_response():
                self._complete()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the request that waits for a response."""
        reason, cause = self._end_of(exc)
        self.closed = True
        self._fail(reason, cause=cause)
        if not self.closed_future.done():
            self.closed_future.set_result(None)

    def _end_of(self, exc: Exception | None) -> tuple[str, LossCause]:
        """Return why the connection ended, in words and as a cause."""
        if self.closed:
            return "connection given up", LossCause.GIVEN_UP
        if isinstance(exc, TimeoutError) or getattr(exc, "errno", None) in UNREACHABLE_ERRORS:
            return "connection unacknowledged", LossCause.UNACKNOWLEDGED
        if exc is not None:
            return "connection reset", LossCause.RESET
        return "connection closed", LossCause.CLOSED

    # Callbacks from the parser.

    def on_message_begin(self) -> None:
        """Start a response."""
        self._headers = []
        self._body = []
        self._has_explicit_length = False
        self._in_body = False
        if self._response_future is None or self._response_future.done():
            self._mark_unusable()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header field; trailer fields are counted only."""
        self._num_fields += 1
        if self._num_fields > MAX_FIELDS:
            self.discard(f"more than {MAX_FIELDS} header fields")
            raise ResponseLimitError("too many header fields")
        if not self._in_body:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Check the status line, and determine how the end of the response is marked."""
        status = self._parser.get_status_code()
        version = self._parser.get_http_version()
        if not is_valid_status(status) or version not in HTTP_VERSIONS:
            self._fail(f"malformed response (status {status:03} of HTTP/{version})")
            self.close()
            return
        self._in_body = True
        names = {name for name, _ in self._headers}
        self._has_explicit_length = b"content-length" in names or b"transfer-encoding" in names
        if self._head_only and status not in INTERIM_STATUSES:
            self._unusable = True
            if self._is_own_response():
                self._complete()
            else:
                self._fail("the response to another request")

    def on_body(self, data: bytes) -> None:
        """Collect a chunk of the body."""
        if self.closed:
            return
        self._body_bytes += len(data)
        if self._body_bytes > self._limits.max_body_bytes:
            self.discard(f"a body of more than {self._limits.max_body_bytes} bytes")
            return
        if self._held is not None:
            add_chunk(self._body, data)
            return
        self._body.append(data)
        if self._budget is not None:
            self._budget.add(self, len(data))

    def on_message_complete(self) -> None:
        """Complete the request, unless the response has another request's id."""
        if not self._in_body:
            return
        status = self._parser.get_status_code()
        if status in INTERIM_STATUSES:
            self._in_body = False
            self._num_interim += 1
            if self._num_interim > MAX_INTERIM_RESPONSES:
                self.discard(f"more than {MAX_INTERIM_RESPONSES} interim responses")
            return
        if not self._is_own_response():
            self._in_body = False
            self._unusable = True
            return
        if not self._parser.should_keep_alive():
            self._unusable = True
        self._complete()

    def _is_own_response(self) -> bool:
        """Return whether the response is to the current request; without an id, fail that."""
        if self._id_header is None or self._request_id is None:
            return True
        response_id = find_header(self._headers, self._id_header)
        if response_id is None and self._answered:
            # It may repeat the response to an earlier request.
            self._fail("a response without an id on a connection that had others")
            return False
        return response_id in (None, self._request_id)

    def _build_response(self) -> HttpResponse:
        is_held = self._held is not None
        return HttpResponse(
            status=self._parser.get_status_code(),
            headers=self._headers,
            body=b"" if is_held else b"".join(self._body),
            chunks=self._body if is_held else (),
        )

    def _complete(self) -> None:
        self._in_body = False
        self._answered = True
        future = self._response_future
        if future is None or future.done():
            return
        response = self._build_response()
        if self._held is not None:
            # Its bytes stay counted until they are written to the client.
            if self._counted_bytes:
                self._held.stop_receiving()
            self._held = None
        self._free_body()
        self._record_idle_timeout(response)
        transport = self._transport
        if self._unsent or (transport is not None and transport.get_write_buffer_size() > 0):
            self._unusable = True
        self._response_future = None
        future.set_result(response)

    def _record_idle_timeout(self, response: HttpResponse) -> None:
        self._idle_since = asyncio.get_running_loop().time()
        keep_alive = response.header(b"keep-alive")
        if keep_alive is None:
            return
        for part in keep_alive.split(b","):
            name, _, value = part.strip().partition(b"=")
            timeout_s = parse_count(value, max_count=int(MAX_DURATION_S))
            if name.lower() == b"timeout" and timeout_s is not None:
                self._idle_timeout_s = float(timeout_s)

    def discard(self, reason: str) -> None:
        """Give the response up because it exceeds a limit, and close the connection."""
        self._unusable = True
        self._free_body()
        future, self._response_future = self._response_future, None
        if future is not None and not future.done():
            future.set_exception(ResponseLimitError(reason))
        self.close()

    def _free_body(self) -> None:
        self._body = []
        if self._budget is not None:
            self._budget.release(self)
        if self._held is not None:
            held, self._held = self._held, None
            if self._counted_bytes:
                held.stop_receiving()
                held.settle(num_bytes=held.num_bytes - self._counted_bytes)

    def _check_overhead(self) -> None:
        """Give the response up if its parts other than the body are too long."""
        if self.closed or self._response_future is None:
            return
        overhead = self._received_bytes - self._body_bytes
        if overhead <= self._limits.overhead_allowed(body_bytes=self._body_bytes):
            return
        if self._in_body:
            self.discard(f"{overhead} bytes of chunk extensions or trailers")
        else:
            self.discard(f"{overhead} bytes without the end of the header")

    def _mark_unusable(self) -> None:
        self._unusable = True
        if self._response_future is None or self._response_future.done():
            self.close()

    def _fail(self, reason: str, *, cause: LossCause = LossCause.MALFORMED) -> None:
        future, self._response_future = self._response_future, None
        if future is not None and not future.done():
            if self.paused_s:
                reason += f" after it was not read for {self.paused_s:.1f} s for lack of memory"
            future.set_exception(ResponseLostError(reason, cause=cause))


async def open_conn(
    address: tuple[str, int],
    *,
    timeout_s: float = CONNECT_TIMEOUT_S,
    id_header: bytes | None = None,
    limits: ResponseLimits | None = None,
    budget: BufferBudget | None = None,
) -> HttpConn:
    """Open a connection; the parameters are those of `HttpConn`.

    Raises
    ------
    NotSentError
        The connection was refused, reset or not established in time.
    """
    loop = asyncio.get_running_loop()
    try:
        async with _running_timeout(timeout_s):
            _, conn = await loop.create_connection(
                lambda: HttpConn(id_header=id_header, limits=limits, budget=budget),
                host=address[0],
                port=address[1],
            )
    except (OSError, TimeoutError) as exc:
        raise NotSentError(f"no connection to {address[0]}:{address[1]}: {exc!r}") from exc
    conn.address = address
    return conn


@asynccontextmanager
async def _running_timeout(timeout_s: float) -> AsyncIterator[None]:
    """Limit a wait, once longer by the time for which this process did not run at its end.

    Timers run before the tasks that go on because of what arrived meanwhile.
    """
    loop = asyncio.get_running_loop()
    due = loop.time() + timeout_s
    async with asyncio.timeout(None) as timeout:
        handle = loop.call_at(due, lambda: timeout.reschedule(2 * loop.time() - due))
        try:
            yield
        finally:
            handle.cancel()
