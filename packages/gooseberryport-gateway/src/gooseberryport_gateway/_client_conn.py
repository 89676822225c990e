"""Read clients' requests from a connection, and write answers in the order of the requests."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable

import httptools
import msgspec

from gooseberryport_core.gateway.model import ClientLimits
from gooseberryport_gateway._headers import Headers, find_header

MAX_PIPELINED = 64
"""Requests of one connection that are worked on at once; reading pauses beyond that."""

CLOSE_DELAY_S = 1.0
"""How long a closing connection is read from, so that the last answer is not reset; seconds."""

REASONS = {
    100: b"Continue",
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


class ClientRequest(msgspec.Struct, eq=False):
    """A whole request of a client.

    Parameters
    ----------
    method, target
        Method and target as they were sent.
    path
        Target without the query.
    headers
        Header fields, names in lower case, in their order.
    body
        The body, without any transfer coding.
    arrived_at
        Monotonic time of its last byte; seconds.
    """

    method: bytes
    target: bytes
    path: str
    headers: Headers
    body: bytes
    arrived_at: float

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header field, by its name in lower case."""
        return find_header(self.headers, name)


class Reply(msgspec.Struct):
    """What a client is answered."""

    status: int
    headers: Headers
    body: bytes = b""
    reason: bytes | None = None


Handler = Callable[[ClientRequest], Awaitable[Reply]]


class _Pending(msgspec.Struct, eq=False):
    keep_alive: bool
    head_only: bool
    task: asyncio.Task[Reply] | None = None
    reply: Reply | None = None


class ClientConn(asyncio.Protocol):
    """Serve one connection.

    Parameters
    ----------
    handler
        Answers one request. It is cancelled when the client closes its connection.
    limits
        Returns the bounds in force.
    conns
        Set of open connections that this one joins while it lives.
    """

    def __init__(
        self, *, handler: Handler, limits: Callable[[], ClientLimits], conns: set[ClientConn]
    ) -> None:
        self._handler = handler
        self._limits = limits
        self._conns = conns
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._pending: deque[_Pending] = deque()
        self._target = b""
        self._headers: Headers = []
        self._header_bytes = 0
        self._header_began = False
        self._headers_done = False
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._reading = False
        self._refusing = False
        self._closing = False
        self._timer: asyncio.TimerHandle | None = None
        self.leaving = False

    @property
    def busy(self) -> bool:
        """Whether a request is being read or answered."""
        return bool(self._pending) or self._reading

    def close_when_idle(self) -> None:
        """Close the connection as soon as no request waits."""
        self.leaving = True
        if not self.busy:
            self._finish()

    def abort(self) -> None:
        """Close the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    # asyncio's side

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start reading."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._conns.add(self)
        self._arm(self._limits().idle_timeout_s)

    def data_received(self, data: bytes) -> None:
        """Feed the parser."""
        if self._closing or self._refusing:
            return
        self._header_began = False
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if not self._refusing:
                self._refuse(400)
            return
        if self._reading and not self._refusing and not self._headers_done:
            # Requests before it may make up most of the bytes in which a head begins.
            self._header_bytes += 0 if self._header_began else len(data)
            if self._header_bytes > self._limits().max_header_bytes:
                self._refuse(431)

    def eof_received(self) -> bool:
        """Take the end of the client's bytes as its leaving."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel what the client no longer waits for."""
        self._conns.discard(self)
        self._closing = True
        self._disarm()
        self._cancel_pending()

    def pause_writing(self) -> None:
        """Stop reading from a client that does not read."""
        if self._transport is not None and not self._closing:
            self._transport.pause_reading()

    def resume_writing(self) -> None:
        """Read again."""
        if self._transport is not None and not self._closing:
            self._transport.resume_reading()

    # the parser's side

    def on_message_begin(self) -> None:
        """Start a request."""
        self._target = b""
        self._headers = []
        self._header_bytes = 0
        self._header_began = True
        self._body = []
        self._body_bytes = 0
        self._headers_done = False
        self._reading = True
        self._arm(self._limits().header_timeout_s)

    def on_url(self, url: bytes) -> None:
        """Collect the target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header field."""
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Check the head."""
        self._headers_done = True
        size = len(self._target) + sum(len(name) + len(value) + 4 for name, value in self._headers)
        limits = self._limits()
        if size > limits.max_header_bytes:
            self._refuse(431)
            return
        for name, value in self._headers:
            if name == b"content-length" and value.isdigit():
                if int(value) > limits.max_body_bytes:
                    self._refuse(413)
                    return
            elif name == b"expect" and value.lower() == b"100-continue" and not self._pending:
                self._write(b"HTTP/1.1 100 Continue\r\n\r\n")
        self._arm(limits.idle_timeout_s)

    def on_body(self, data: bytes) -> None:
        """Collect a piece of the body."""
        self._body_bytes += len(data)
        if self._body_bytes > self._limits().max_body_bytes:
            self._refuse(413)
            return
        self._body.append(data)
        self._arm(self._limits().idle_timeout_s)

    def on_message_complete(self) -> None:
        """Hand a whole request to the handler."""
        self._reading = False
        self._disarm()
        if self._refusing or self._closing:
            return
        try:
            path = self._target.partition(b"?")[0].decode("ascii")
        except UnicodeDecodeError:
            self._refuse(400)
            return
        method = self._parser.get_method()
        req = ClientRequest(
            method=method,
            target=self._target,
            path=path,
            headers=self._headers,
            body=b"".join(self._body),
            arrived_at=self._loop.time(),
        )
        pending = _Pending(keep_alive=self._parser.should_keep_alive(), head_only=method == b"HEAD")
        self._pending.append(pending)
        pending.task = self._loop.create_task(self._answer(req, pending))
        if len(self._pending) >= MAX_PIPELINED and self._transport is not None:
            self._transport.pause_reading()

    async def _answer(self, req: ClientRequest, pending: _Pending) -> Reply:
        reply = await self._handler(req)
        pending.reply = reply
        self._flush()
        return reply

    def _refuse(self, status: int) -> None:
        """Answer a request that is not read to its end, after those before it."""
        self._refusing = True
        self._reading = False
        self._disarm()
        reply = Reply(status=status, headers=[])
        self._pending.append(_Pending(keep_alive=False, head_only=False, reply=reply))
        self._flush()

    def _flush(self) -> None:
        while self._pending and self._pending[0].reply is not None and not self._closing:
            pending = self._pending.popleft()
            assert pending.reply is not None
            last = not pending.keep_alive or (
                self.leaving and not self._pending and not self._reading
            )
            self._write(_encode(pending.reply, last=last, head_only=pending.head_only))
            if last:
                self._finish()
                return
        if not self._pending and not self._reading and not self._closing:
            self._arm(self._limits().idle_timeout_s)
        if len(self._pending) == MAX_PIPELINED - 1 and self._transport is not None:
            self._transport.resume_reading()

    def _write(self, data: bytes) -> None:
        if self._transport is not None and not self._closing:
            self._transport.write(data)

    def _finish(self) -> None:
        """Send what waits and end; read on for a moment, since unread bytes reset a connection."""
        if self._closing:
            return
        self._closing = True
        self._disarm()
        self._cancel_pending()
        transport = self._transport
        if transport is None:
            return
        try:
            transport.write_eof()
        except OSError:
            # The client has reset the connection, which the loop will report.
            transport.abort()
            return
        self._loop.call_later(CLOSE_DELAY_S, transport.abort)

    def _cancel_pending(self) -> None:
        for each in self._pending:
            if each.task is not None:
                each.task.cancel()
        self._pending.clear()

    def _arm(self, delay_s: float) -> None:
        self._disarm()
        self._timer = self._loop.call_later(delay_s, self._on_timer)

    def _disarm(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_timer(self) -> None:
        self._timer = None
        if self._reading:
            self._refuse(408)
        elif not self._pending:
            self._finish()


def _encode(reply: Reply, *, last: bool, head_only: bool) -> bytes:
    reason = reply.reason or REASONS.get(reply.status, b"Status")
    lines = [b"HTTP/1.1 %d %s" % (reply.status, reason)]
    lines.extend(name + b": " + value for name, value in reply.headers)
    if reply.status not in (204, 304):
        lines.append(b"content-length: %d" % len(reply.body))
    if last:
        lines.append(b"connection: close")
    head = b"\r\n".join(lines) + b"\r\n\r\n"
    return head if head_only or reply.status in (204, 304) else head + reply.body
