"""One HTTP/1.1 connection to an upstream or to the store, with one request at a time."""

from __future__ import annotations

import asyncio
import socket

import httptools
import msgspec

from gooseberryport_gateway._headers import Headers, find_header
from gooseberryport_gateway.errors import NotSentError, ResponseLostError

MAX_RESPONSE_BYTES = 67_108_864
"""Longest body that is taken from an upstream; a fifth of a small VM's memory."""

DEFAULT_IDLE_S = 5.0
"""How long an idle connection is kept if the other end does not say; seconds."""

IDLE_MARGIN_S = 1.0
"""How long before the other end's stated idle time a connection is closed; seconds."""

CONNECT_TIMEOUT_S = 0.5
"""Time for a connection to be established: many times the longest round trip; seconds."""

UNACKNOWLEDGED_MS = 2_000
"""Time after which unacknowledged bytes break a connection; milliseconds."""


class HttpResponse(msgspec.Struct):
    """A whole answer.

    Parameters
    ----------
    status
        Status code.
    headers
        Header fields, names in lower case, in their order.
    body
        The body, without any transfer coding.
    """

    status: int
    headers: Headers
    body: bytes

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header field, by its name in lower case."""
        return find_header(self.headers, name)


class HttpConn(asyncio.Protocol):
    """Send requests one after another, and take whole answers only.

    An answer that bears another request's id is dropped, and the connection is not used again.
    """

    def __init__(self, *, id_header: bytes | None = None) -> None:
        self._id_header = id_header
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._fut: asyncio.Future[HttpResponse] | None = None
        self._request_id: bytes | None = None
        self._headers: Headers = []
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._head_only = False
        self._in_body = False
        self._framed = False
        self._tainted = False
        self._idle_s = DEFAULT_IDLE_S
        self._idle_since = 0.0
        self._used = False
        self.rested_s = 0.0
        self.closed = False
        self.closed_future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.has_received = False

    @property
    def usable(self) -> bool:
        """Whether another request may be sent."""
        return not self.closed and not self._tainted and self._fut is None

    def idle_time_s(self, now: float) -> float:
        """Return how long no request has been under way; 0 before the first one, in seconds."""
        return now - self._idle_since if self._used else 0.0

    def expired(self, now: float) -> bool:
        """Tell whether the other end is about to close the idle connection."""
        return now - self._idle_since >= self._idle_s - IDLE_MARGIN_S

    async def request(
        self, data: bytes, *, request_id: bytes | None = None, head_only: bool = False
    ) -> HttpResponse:
        """Send a request and return its whole answer.

        Parameters
        ----------
        data
            The request as bytes.
        request_id
            Id that the answer must bear, if it bears one.
        head_only
            Whether the answer has no body whatever its headers say.

        Raises
        ------
        NotSentError
            The connection was closed before a byte was sent.
        ResponseLostError
            The request may have been read, and no whole answer came.
        """
        transport = self._transport
        if transport is None or not self.usable:
            raise NotSentError("the connection is closed")
        loop = asyncio.get_running_loop()
        self.rested_s = self.idle_time_s(loop.time())
        self._used = True
        self._fut = loop.create_future()
        self._request_id = request_id
        self._head_only = head_only
        self.has_received = False
        transport.write(data)
        try:
            return await self._fut
        finally:
            unfinished = self._fut is not None
            self._fut = None
            if unfinished or self._tainted:
                self.close()

    def close(self) -> None:
        """Close the connection at once; bytes that wait are dropped."""
        self.closed = True
        if self._transport is not None:
            self._transport.abort()

    # asyncio's side

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Prepare the socket."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None:
            configure_socket(sock)
        self._idle_since = asyncio.get_running_loop().time()

    def data_received(self, data: bytes) -> None:
        """Feed the parser."""
        if self._fut is None and not self._in_body:
            self._taint()
            return
        self.has_received = True
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as exc:
            self._taint()
            self._fail(f"bytes that are no answer ({exc})")
        except httptools.HttpParserUpgrade:
            self._taint()
            self._fail("an upgrade that was not asked for")

    def eof_received(self) -> bool:
        """Complete an answer that ends with its connection."""
        if self._fut is not None and self._in_body and not self._framed:
            self._tainted = True
            self._deliver()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the request that waits."""
        self.closed = True
        self._fail("connection reset" if exc is not None else "connection closed")
        if not self.closed_future.done():
            self.closed_future.set_result(None)

    # the parser's side

    def on_message_begin(self) -> None:
        """Start an answer."""
        self._headers = []
        self._body = []
        self._body_bytes = 0
        self._framed = False
        self._in_body = False
        if self._fut is None or self._fut.done():
            self._taint()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header field."""
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Find how the answer's end is told."""
        self._in_body = True
        names = {name for name, _ in self._headers}
        self._framed = b"content-length" in names or b"transfer-encoding" in names
        status = self._parser.get_status_code()
        if self._head_only and status >= 200:
            self._tainted = True
            self._deliver()

    def on_body(self, data: bytes) -> None:
        """Collect a piece of the body."""
        self._body_bytes += len(data)
        if self._body_bytes > MAX_RESPONSE_BYTES:
            self._taint()
            self._fail("an answer that is too long")
            return
        self._body.append(data)

    def on_message_complete(self) -> None:
        """Deliver an answer, unless it belongs to another request."""
        if not self._in_body:
            return
        status = self._parser.get_status_code()
        if 100 <= status < 200:
            self._in_body = False
            return
        if self._id_header is not None and self._request_id is not None:
            theirs = self._answer().header(self._id_header)
            if theirs is not None and theirs != self._request_id:
                self._in_body = False
                self._tainted = True
                return
        if not self._parser.should_keep_alive():
            self._tainted = True
        self._deliver()

    def _answer(self) -> HttpResponse:
        return HttpResponse(
            status=self._parser.get_status_code(),
            headers=self._headers,
            body=b"".join(self._body),
        )

    def _deliver(self) -> None:
        self._in_body = False
        fut = self._fut
        if fut is None or fut.done():
            return
        answer = self._answer()
        self._note_idle(answer)
        transport = self._transport
        if transport is not None and transport.get_write_buffer_size() > 0:
            self._tainted = True
        self._fut = None
        fut.set_result(answer)

    def _note_idle(self, answer: HttpResponse) -> None:
        self._idle_since = asyncio.get_running_loop().time()
        told = answer.header(b"keep-alive")
        if told is None:
            return
        for part in told.split(b","):
            name, _, value = part.strip().partition(b"=")
            if name.lower() == b"timeout" and value.isdigit():
                self._idle_s = float(value)

    def _taint(self) -> None:
        self._tainted = True
        if self._fut is None or self._fut.done():
            self.close()

    def _fail(self, reason: str) -> None:
        fut, self._fut = self._fut, None
        if fut is not None and not fut.done():
            fut.set_exception(ResponseLostError(reason))


def configure_socket(sock: socket.socket) -> None:
    """Send small writes at once, and break a connection whose bytes are not acknowledged."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)


async def open_conn(
    address: tuple[str, int],
    *,
    timeout_s: float = CONNECT_TIMEOUT_S,
    id_header: bytes | None = None,
) -> HttpConn:
    """Open a connection.

    Raises
    ------
    NotSentError
        It was refused, reset or not established in time.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, conn = await loop.create_connection(
                lambda: HttpConn(id_header=id_header), host=address[0], port=address[1]
            )
    except (OSError, TimeoutError) as exc:
        raise NotSentError(f"no connection to {address[0]}:{address[1]}: {exc!r}") from exc
    return conn
