"""Read clients' requests from a connection, and write the replies in the same order."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

import httptools

from gooseberryport_core.gateway.model import ClientLimits
from gooseberryport_core.gateway.response_memory import (
    ClientResponses,
    ResponseMemory,
)
from gooseberryport_gateway._body_memory import BodyMemory, HeldBody
from gooseberryport_gateway._byte_limits import MAX_TRAILER_BYTES, OVERHEAD_PER_BODY_BYTE
from gooseberryport_gateway._client_messages import (
    ClientRequest,
    Handler,
    Pending,
    Reply,
    encode_reply,
)
from gooseberryport_gateway._headers import Headers
from gooseberryport_gateway._receiving import unacknowledged_bytes, unread_bytes
from gooseberryport_gateway._reply_writer import ReplyWriter
from gooseberryport_gateway.errors import BodyTooLargeError

MAX_PIPELINED_REQUESTS = 64
"""Maximum concurrent requests of one connection; at this limit reading pauses."""

CLOSE_DELAY_S = 1.0
"""How long a closing connection stays open once its last reply is written, as unread bytes would
reset it before the client has read the reply; seconds."""

LATE_REQUEST_MARGIN_S = 5.0
"""How much longer than the idle timeout an idle connection stays open, as its client counts from
when it got the reply, and on a full link that and the next request are late; seconds."""

MAX_LATE_REQUEST_FRACTION = 0.5
"""Maximum of that margin, as a fraction of the idle timeout."""

IDLE_CLOSE_DELAY_S = 0.25
"""The same for an idle connection, whose last reply was received before; seconds."""

FULL_RETRY_DELAY_S = 0.5
"""Delay after which a client retries whose body did not fit into memory; seconds."""


class ClientConn(asyncio.Protocol):
    """Serve one connection of a client.

    Parameters
    ----------
    handler
        Returns the reply to one request; cancelled when the client closes the connection.
    limits
        Returns the limits in force.
    conns
        Set of open connections, which contains this one while it is open.
    memory
        Bounds the bodies that all connections hold; by default this connection's alone.
    response_memory
        Bounds the responses that all connections hold; None for no bound.
    """

    def __init__(
        self,
        *,
        handler: Handler,
        limits: Callable[[], ClientLimits],
        conns: set[ClientConn],
        memory: BodyMemory | None = None,
        response_memory: ResponseMemory | None = None,
    ) -> None:
        self._handler = handler
        self._memory = memory or BodyMemory()
        self._framing_bytes = 0
        self._limits = limits
        # Those in force when the request began that is being read.
        self._request_limits = limits()
        self._conns = conns
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._writer: ReplyWriter | None = None
        self._responses: ClientResponses | None = None
        if response_memory is not None:
            self._responses = response_memory.new_client(
                on_disconnect=self._disconnect, poll=self._record_progress
            )
        self._parser = httptools.HttpRequestParser(self)
        self._pending: deque[Pending] = deque()
        self._unstarted: deque[tuple[ClientRequest, Pending]] = deque()
        self._target = b""
        self._headers: Headers = []
        self._header_bytes = 0
        self._head_began_in_data = False
        self._headers_complete = False
        self._body = self._new_body()
        self._reading = False
        self._rejecting = False
        self._closing = False
        self._write_paused = False
        self._read_paused = False
        self._aborted = False
        self._timer: asyncio.TimerHandle | None = None
        self.closing_when_idle = False

    @property
    def busy(self) -> bool:
        """Whether a request is being read or has no reply yet."""
        return bool(self._pending) or self._reading

    def close_when_idle(self) -> None:
        """Close the connection as soon as no request is being read or served.

        Requests that a client sends behind one without a reply are not read: the last reply closes
        the connection, and the client sends them again elsewhere.
        """
        self.closing_when_idle = True
        if not self.busy:
            self._end_unless_unread(self._close_idle)

    def reject_unread(self, *, retry_s: float) -> bool:
        """Refuse a request that has not been read to its end; return whether there is one.

        Parameters
        ----------
        retry_s
            Time after which the client should retry; seconds.
        """
        if not self._reading or self._closing:
            return False
        self._reject(503, headers=[(b"retry-after", b"%.2f" % retry_s)])
        return True

    def abort(self) -> None:
        """Close the connection at once."""
        self._aborted = True
        if self._transport is not None:
            self._transport.abort()

    def _disconnect(self) -> None:
        """Close the connection at once, as others need the memory of its replies."""
        self._closing = True
        self._cancel_timer()
        self._cancel_pending("disconnected, as others need the memory of its replies")
        self.abort()

    # Callbacks from asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start reading."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._writer = ReplyWriter(transport=transport, responses=self._responses)
        if self._responses is not None:
            self._responses.address = "{}:{}".format(
                *(transport.get_extra_info("peername") or ("", 0))[:2]
            )
        self._conns.add(self)
        self._start_idle_timer()

    def data_received(self, data: bytes) -> None:
        """Feed the parser."""
        if self._closing or self._rejecting:
            return
        self._head_began_in_data = False
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if not self._rejecting:
                self._reject(400)
            return
        if self._reading and not self._rejecting and not self._headers_complete:
            # Data in which a head begins may consist mostly of earlier requests.
            self._header_bytes += 0 if self._head_began_in_data else len(data)
            if self._header_bytes > self._request_limits.max_header_bytes:
                self._reject(431)
        elif self._reading and not self._rejecting and not self._head_began_in_data:
            self._check_framing(len(data))

    def _check_framing(self, num_bytes: int) -> None:
        """Reject a body that consists mostly of chunk extensions and trailers."""
        self._framing_bytes += num_bytes
        allowed = MAX_TRAILER_BYTES + (OVERHEAD_PER_BODY_BYTE + 1) * self._body.num_bytes
        if self._framing_bytes > allowed:
            self._reject(431)

    def eof_received(self) -> bool:
        """Close the connection when the client has closed its side."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the requests that the client no longer waits for."""
        self._conns.discard(self)
        self._closing = True
        self._body.release()
        self._cancel_timer()
        if self._aborted:
            self._cancel_pending("aborted by this gateway")
        elif exc is not None:
            self._cancel_pending("the client's connection broke")
        else:
            self._cancel_pending("the client closed the connection")
        if self._writer is not None:
            self._writer.discard()
        if self._responses is not None:
            self._responses.close()

    def pause_writing(self) -> None:
        """Pause reading from a client that does not read its replies."""
        self._write_paused = True
        if self._writer is not None:
            self._writer.pause()
        self._update_reading()

    def resume_writing(self) -> None:
        """Resume reading, unless too many requests are open."""
        self._write_paused = False
        if self._writer is not None:
            self._writer.resume()
        self._start_requests()
        self._update_reading()

    def _update_reading(self) -> None:
        """Read if and only if there is room for another request and for its reply.

        Called after each change of either; requests end in any order, and several at once.
        """
        if self._transport is None or self._closing:
            return
        wanted = (
            self._write_paused
            or self._body.paused
            or len(self._pending) >= MAX_PIPELINED_REQUESTS
            or (self._responses is not None and self._responses.is_full)
        )
        if wanted == self._read_paused:
            return
        self._read_paused = wanted
        if wanted:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    # Callbacks from the parser.

    def on_message_begin(self) -> None:
        """Start a request."""
        if self.closing_when_idle and self._pending:
            self._rejecting = True
            return
        self._request_limits = self._limits()
        self._target = b""
        self._headers = []
        self._header_bytes = 0
        self._head_began_in_data = True
        self._body = self._new_body()
        self._framing_bytes = 0
        self._headers_complete = False
        self._reading = True
        self._start_timer(self._request_limits.header_timeout_s)

    def on_url(self, url: bytes) -> None:
        """Collect the target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header field; trailer fields are dropped."""
        if not self._headers_complete:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Check the size limits, and send ``100 Continue`` if it is expected."""
        if self._rejecting:
            return
        self._headers_complete = True
        size = len(self._target) + sum(len(name) + len(value) + 4 for name, value in self._headers)
        limits = self._request_limits
        if size > limits.max_header_bytes:
            self._reject(431)
            return
        for name, value in self._headers:
            if name == b"content-length" and value.isdigit():
                if int(value) > limits.max_body_bytes:
                    self._reject(413)
                    return
                if not self._memory.accepts(body_bytes=int(value)):
                    self._reject_for_memory()
                    return
            elif name == b"expect" and value.lower() == b"100-continue" and not self._pending:
                self._write(b"HTTP/1.1 100 Continue\r\n\r\n")
        self._start_timer(limits.idle_timeout_s)

    def on_body(self, data: bytes) -> None:
        """Collect a chunk of the body."""
        if self._rejecting:
            return
        if self._body.num_bytes + len(data) > self._request_limits.max_body_bytes:
            self._reject(413)
            return
        try:
            self._body.add(data)
        except BodyTooLargeError:
            self._reject_for_memory()
            return
        self._start_timer(self._request_limits.idle_timeout_s)

    def on_message_complete(self) -> None:
        """Pass a complete request to the handler."""
        self._reading = False
        self._cancel_timer()
        if self._rejecting or self._closing:
            return
        body, self._body = self._body, self._new_body()
        # It has been read whole, so it does not stop the reading of what follows.
        body.on_paused = lambda _: None
        try:
            path = self._target.partition(b"?")[0].decode("ascii")
        except UnicodeDecodeError:
            body.release()
            self._reject(400)
            return
        method = self._parser.get_method()
        req = ClientRequest(
            method=method,
            target=self._target,
            path=path,
            headers=self._headers,
            body=body.chunks,
            arrived_at=self._loop.time(),
        )
        pending = self._add_pending(
            Pending(
                keep_alive=self._parser.should_keep_alive(), head_only=method == b"HEAD", body=body
            )
        )
        req.held = pending.held
        if self._responses is not None and (
            self._unstarted
            or self._responses.is_full
            or len(self._pending) > MAX_PIPELINED_REQUESTS
        ):
            self._unstarted.append((req, pending))
        else:
            pending.task = self._loop.create_task(self._handle(req, pending))
        self._update_reading()

    def _add_pending(self, pending: Pending) -> Pending:
        if self._responses is not None:
            pending.held = self._responses.new_response()
        self._pending.append(pending)
        return pending

    def _start_requests(self) -> None:
        """Pass requests to the handler that were not started, since earlier ones come first."""
        while (
            self._unstarted
            and self._responses is not None
            and not self._responses.is_full
            and len(self._pending) - len(self._unstarted) < MAX_PIPELINED_REQUESTS
        ):
            req, pending = self._unstarted.popleft()
            pending.task = self._loop.create_task(self._handle(req, pending))

    def _record_progress(self) -> None:
        """Record what the client has read, which the transport does not report."""
        if self._writer is not None:
            self._writer.record_progress()
            self._start_requests()
            self._update_reading()

    async def _handle(self, req: ClientRequest, pending: Pending) -> Reply:
        try:
            reply = await self._handler(req)
        finally:
            # A request that is kept by others must not keep the body.
            req.body = ()
            if pending.body is not None:
                pending.body.release()
        if pending.held is not None and self._pending and pending is not self._pending[0]:
            pending.held.settle(num_bytes=reply.body_bytes, finished=True)
        pending.reply = reply
        self._flush()
        return reply

    def _new_body(self) -> HeldBody:
        return HeldBody(memory=self._memory, on_paused=lambda _: self._on_body_paused())

    def _on_body_paused(self) -> None:
        """Stop or resume reading a body, as the memory for all bodies allows."""
        if self._reading:
            self._start_timer(self._request_limits.idle_timeout_s)
        self._update_reading()

    def _reject_for_memory(self) -> None:
        """Reply that a request has not run, because this process can't hold its body."""
        headers = [(b"retry-after", b"%.1f" % FULL_RETRY_DELAY_S)]
        self._reject(503, headers=headers)

    def _reject(self, status: int, *, headers: Headers | None = None) -> None:
        """Reply with an error, after the earlier replies, to a request that is not read further."""
        self._rejecting = True
        self._reading = False
        self._body.release()
        self._cancel_timer()
        reply = Reply(status=status, headers=headers or [])
        self._add_pending(Pending(keep_alive=False, head_only=False, reply=reply))
        self._flush()

    def _flush(self) -> None:
        while self._pending and self._pending[0].reply is not None and not self._closing:
            pending = self._pending.popleft()
            assert pending.reply is not None
            last = not pending.keep_alive or (
                self.closing_when_idle and not self._pending and not self._reading
            )
            head, chunks = encode_reply(pending.reply, last=last, head_only=pending.head_only)
            if self._writer is not None:
                self._writer.write_reply(head, chunks)
            if last:
                self._close()
                return
        if not self._pending and not self._reading and not self._closing:
            self._start_idle_timer()
        if self._unstarted:
            self._start_requests()
        self._update_reading()

    def _write(self, data: bytes) -> None:
        if self._writer is not None and not self._closing:
            self._writer.write(data)

    def _close_idle(self) -> None:
        """Close without reading on if replies were received: what crosses the close gets none.

        Unread bytes reset the connection in the end, so the client's kernel knows of them.
        """
        transport, writer = self._transport, self._writer
        if transport is None or writer is None or self._closing:
            return
        if writer.unsent_bytes or unacknowledged_bytes(transport):
            self._close()
            return
        transport.pause_reading()
        self._read_paused = False
        self._close(delay_s=IDLE_CLOSE_DELAY_S)

    def _close(self, *, delay_s: float | None = None) -> None:
        """Send buffered replies and close; read on briefly, as unread bytes reset a connection."""
        if self._closing:
            return
        self._closing = True
        self._cancel_timer()
        self._cancel_pending("behind a reply that closed the connection")
        transport, writer = self._transport, self._writer
        if transport is None or writer is None:
            return
        if self._read_paused:
            self._read_paused = False
            transport.resume_reading()
        try:
            writer.end()
        except OSError:
            # The client has reset the connection, and the event loop has not reported it yet.
            transport.abort()
            return
        writer.abort_when_read(
            delay_s=delay_s or CLOSE_DELAY_S, max_stall_s=lambda: self._limits().idle_timeout_s
        )

    def _cancel_pending(self, reason: str) -> None:
        for pending in self._pending:
            if pending.body is not None:
                pending.body.release()
            if pending.task is not None:
                pending.task.cancel(reason)
        self._pending.clear()
        self._unstarted.clear()
        if self._responses is not None:
            self._responses.discard()

    def _start_timer(self, delay_s: float) -> None:
        self._cancel_timer()
        self._timer = self._loop.call_later(delay_s, self._on_timer)

    def _start_idle_timer(self) -> None:
        """Wait for the next request.

        A request that crosses the close of its connection has no reply, and its client can't tell
        whether it has run.
        """
        timeout_s = self._limits().idle_timeout_s
        margin_s = min(LATE_REQUEST_MARGIN_S, MAX_LATE_REQUEST_FRACTION * timeout_s)
        self._start_timer(timeout_s + margin_s)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_timer(self) -> None:
        self._timer = None
        if self._reading and self._body.paused:
            self._reject_for_memory()
        elif self._reading:
            self._end_unless_unread(lambda: self._reject(408))
        elif not self._pending:
            timeout_s = self._limits().idle_timeout_s
            if (
                self.closing_when_idle
                or self._writer is None
                or self._writer.is_done(timeout_s=timeout_s)
            ):
                self._end_unless_unread(self._close_idle)
            else:
                self._start_timer(timeout_s)

    def _end_unless_unread(self, end: Callable[[], None]) -> None:
        """End what a client was waited for, or first read what it has sent by now.

        Bytes that came since the event loop last polled may be a request, which would be dropped.
        """
        if self._transport is not None and not self._read_paused and unread_bytes(self._transport):
            # The event loop polls, and reads, before it calls a timer.
            self._start_timer(0.0)
        else:
            end()
