"""Client of the streams between daemons, used by an entry daemon."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import msgspec
from grpclib.client import Channel, Stream
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from grpclib.protocol import H2Protocol

from gooseberryport_core.effects import SendTicket
from gooseberryport_core.events import AttemptEnded, Event, PeerUnreachable, TicketReplied
from gooseberryport_core.messages import Granted, TicketReply
from gooseberryport_core.types import AttemptOutcome, TicketId, VmId
from gooseberryport_daemon import _peer_pb2 as pb
from gooseberryport_daemon._http_messages import AnswerHead, CallerRequest
from gooseberryport_daemon._liveness import probe_peer
from gooseberryport_daemon._peer_grpc import PeerStub
from gooseberryport_daemon._peer_wire import (
    AttemptEnd,
    FrameInvalidError,
    read_answer_head,
    read_end,
    read_reply,
    request_frames,
    ticket_frames,
)
from gooseberryport_daemon.settings import parse_endpoint

CONNECT_TIMEOUT_S = 0.5
"""Timeout for connecting to an owner and opening a ticket's stream; seconds."""

PeerStream = Stream[pb.EntryFrame, pb.OwnerFrame]

STREAM_ERRORS = (
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
    FrameInvalidError,
    OSError,
    TimeoutError,
)


class _PeerChannel(Channel):
    """A channel whose connections are probed by the kernel."""

    async def _create_connection(self) -> H2Protocol:
        protocol = await super()._create_connection()
        probe_peer(protocol.connection._transport.get_extra_info("socket"))
        return protocol


class AnswerCallbacks(msgspec.Struct, frozen=True):
    """Callbacks for a part of an answer, an incomplete answer and a broken stream."""

    on_answer_part: Callable[[TicketId, AnswerHead | None, bytes], Awaitable[None]]
    on_broken_answer: Callable[[TicketId], None]
    on_broken_stream: Callable[[TicketId, str, bool], None]


class _OutboundStream:
    """One stream to an owner."""

    def __init__(self, effect: SendTicket, inline: CallerRequest | None) -> None:
        self.effect = effect
        self.inline = inline
        self.granted_request: asyncio.Future[CallerRequest] = (
            asyncio.get_running_loop().create_future()
        )
        self.request_sent = False
        self.end_reported = False
        self.task: asyncio.Task[None] | None = None


class PeerClient:
    """Exchange tickets, requests and answers with the owners.

    Parameters
    ----------
    vm
        Name of this daemon's VM.
    handle_event
        Passes an event to the node.
    callbacks
        Receive the answers and their failures.
    """

    def __init__(
        self, *, vm: VmId, handle_event: Callable[[Event], None], callbacks: AnswerCallbacks
    ) -> None:
        self._vm = vm
        self._handle_event = handle_event
        self._callbacks = callbacks
        self._outbound: dict[TicketId, _OutboundStream] = {}
        self._channels: dict[str, Channel] = {}

    def send_ticket(self, effect: SendTicket, inline: CallerRequest | None) -> None:
        """Open a stream and send a ticket, together with its request if that is sent inline."""
        outbound = _OutboundStream(effect, inline)
        self._outbound[effect.ticket.ticket_id] = outbound
        outbound.task = asyncio.get_running_loop().create_task(self._run(outbound))

    def send_granted_request(self, ticket_id: TicketId, request: CallerRequest) -> None:
        """Send the request of a granted ticket."""
        outbound = self._outbound.get(ticket_id)
        if outbound is not None and not outbound.granted_request.done():
            outbound.granted_request.set_result(request)

    def cancel(self, ticket_id: TicketId) -> None:
        """Cancel a ticket: its stream is reset and no further event of it is reported."""
        outbound = self._outbound.pop(ticket_id, None)
        if outbound is not None and outbound.task is not None:
            outbound.task.cancel()

    def stream_count(self) -> int:
        """Return the number of open streams to owners."""
        return len(self._outbound)

    async def close(self) -> None:
        """Reset every stream and close the connections."""
        tasks = [out.task for out in self._outbound.values() if out.task is not None]
        for ticket_id in list(self._outbound):
            self.cancel(ticket_id)
        await asyncio.gather(*tasks, return_exceptions=True)
        for channel in self._channels.values():
            channel.close()
        self._channels.clear()

    async def _run(self, outbound: _OutboundStream) -> None:
        ticket_id = outbound.effect.ticket.ticket_id
        try:
            await self._exchange_frames(outbound)
        except STREAM_ERRORS as exc:
            self._report_broken_stream(outbound, repr(exc))
        finally:
            if self._outbound.get(ticket_id) is outbound:
                del self._outbound[ticket_id]

    def _report_broken_stream(self, outbound: _OutboundStream, cause: str) -> None:
        """Report a broken stream to the node, as not run only if none of the request was sent."""
        ticket_id = outbound.effect.ticket.ticket_id
        if outbound.end_reported or self._outbound.get(ticket_id) is not outbound:
            return
        outbound.end_reported = True
        self._callbacks.on_broken_stream(ticket_id, cause, outbound.request_sent)
        if outbound.request_sent:
            self._handle_event(AttemptEnded(ticket_id, AttemptOutcome.UNKNOWN, 0, 0))
        else:
            self._handle_event(PeerUnreachable(outbound.effect.vm, ticket_id))

    async def _exchange_frames(self, outbound: _OutboundStream) -> None:
        effect = outbound.effect
        stub = PeerStub(self._channel(effect.address))
        async with stub.Forward.open() as stream:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await stream.send_request()
            inline = outbound.inline
            outbound.request_sent = inline is not None
            parts = (inline.head, inline.body) if inline else None
            for frame in ticket_frames(self._vm, effect.ticket, parts):
                await stream.send_message(frame)
            await self._receive(outbound, stream)

    async def _send_request(self, outbound: _OutboundStream, stream: PeerStream) -> None:
        request = await outbound.granted_request
        outbound.request_sent = True
        for frame in request_frames(request.head, request.body):
            await stream.send_message(frame)

    async def _receive(self, outbound: _OutboundStream, stream: PeerStream) -> None:
        """Receive replies and the answer, up to the refusal or the end that the owner sends."""
        ticket_id = outbound.effect.ticket.ticket_id
        size = 0
        while not outbound.end_reported:
            frame = _require_frame(await stream.recv_message())
            if frame.reply:
                await self._handle_reply(outbound, stream, read_reply(frame))
            head = read_answer_head(frame)
            if head is not None or frame.chunk:
                size += len(frame.chunk)
                await self._callbacks.on_answer_part(ticket_id, head, frame.chunk)
            end = read_end(frame)
            if end is not None:
                outbound.end_reported = True
                self._report_end(ticket_id, end, size)
        await stream.end()

    async def _handle_reply(
        self, outbound: _OutboundStream, stream: PeerStream, reply: TicketReply
    ) -> None:
        outbound.end_reported = not isinstance(reply, Granted)
        self._handle_event(TicketReplied(outbound.effect.vm, reply))
        if not outbound.end_reported and outbound.inline is None:
            await self._send_request(outbound, stream)

    def _report_end(self, ticket_id: TicketId, end: AttemptEnd, size: int) -> None:
        outcome = end.outcome
        if outcome == AttemptOutcome.ANSWERED and size != end.answer_bytes:
            outcome = AttemptOutcome.UNKNOWN
        if outcome != AttemptOutcome.ANSWERED:
            self._callbacks.on_broken_answer(ticket_id)
        self._handle_event(AttemptEnded(ticket_id, outcome, end.status, end.answer_bytes))

    def _channel(self, address: str) -> Channel:
        channel = self._channels.get(address)
        if channel is None:
            endpoint = parse_endpoint(address, field="address")
            channel = _PeerChannel(endpoint.ip, endpoint.port)
            self._channels[address] = channel
        return channel


def _require_frame(frame: pb.OwnerFrame | None) -> pb.OwnerFrame:
    if frame is None:
        raise FrameInvalidError("the stream was closed without a refusal or an end frame")
    return frame
