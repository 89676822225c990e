"""Server of the streams between daemons, used by an owner."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from typing import TYPE_CHECKING

import msgspec
from grpclib.const import Status
from grpclib.exceptions import GRPCError, StreamTerminatedError

from gooseberryport_core.events import (
    BodyArrived,
    Event,
    TicketArrived,
    TicketCancelled,
    UpstreamAttemptEnded,
)
from gooseberryport_core.messages import Granted, Ticket, TicketReply
from gooseberryport_core.types import TicketId, VmId
from gooseberryport_daemon import _peer_pb2 as pb
from gooseberryport_daemon._http_messages import AnswerHead, RequestHead
from gooseberryport_daemon._outbox import Outbox
from gooseberryport_daemon._pacing import Pacer, ReserveLink, unlimited
from gooseberryport_daemon._peer_grpc import PeerBase
from gooseberryport_daemon._peer_wire import (
    AttemptEnd,
    FrameInvalidError,
    answer_frames,
    read_reply,
    read_request_head,
    read_ticket,
    reply_frame,
)

if TYPE_CHECKING:
    from grpclib.server import Stream

    PeerStream = Stream[pb.EntryFrame, pb.OwnerFrame]


class InboundRequest(msgspec.Struct, frozen=True):
    """A complete request that was received with or after its ticket."""

    ticket: Ticket
    head: RequestHead
    body: bytes


class _InboundStream:
    """One stream from an entry daemon."""

    def __init__(self, ticket: Ticket) -> None:
        self.ticket = ticket
        self.outbox = Outbox()
        self.request: InboundRequest | None = None
        self.offered = False


class PeerServer(PeerBase):
    """Pass tickets of other daemons to the node, and its replies and the answers back.

    Parameters
    ----------
    handle_event
        Passes an event to the node.
    on_refused
        Called with the reason for which a stream was refused.
    reserve
        Reserves capacity on the link to the entry daemon's region.
    """

    def __init__(
        self,
        *,
        handle_event: Callable[[Event], None],
        on_refused: Callable[[str], None],
        reserve: ReserveLink = unlimited,
    ) -> None:
        self._handle_event = handle_event
        self._on_refused = on_refused
        self._reserve = reserve
        self._inbound: dict[TicketId, _InboundStream] = {}

    async def Forward(self, stream: PeerStream) -> None:  # noqa: N802
        """Serve one ticket from its arrival to its end."""
        try:
            await self._accept_ticket(stream)
        except FrameInvalidError as exc:
            self._on_refused(str(exc))
            raise GRPCError(Status.INVALID_ARGUMENT, str(exc)) from exc

    async def _accept_ticket(self, stream: PeerStream) -> None:
        first = await stream.recv_message()
        if first is None:
            return
        ticket = read_ticket(first)
        if ticket.ticket_id in self._inbound:
            raise FrameInvalidError(f"ticket {ticket.ticket_id} already has an open stream")
        inbound = _InboundStream(ticket)
        self._inbound[ticket.ticket_id] = inbound
        ended = False
        try:
            ended = await self._serve(stream, inbound, first)
            if ended:
                await _wait_for_receipt(stream, timeout_s=ticket.remaining_s)
        finally:
            del self._inbound[ticket.ticket_id]
            inbound.outbox.close()
            if not ended and inbound.offered:
                self._handle_event(TicketCancelled(ticket.ticket_id))

    def reply(self, reply: TicketReply) -> None:
        """Send a reply on its ticket's stream."""
        inbound = self._inbound.get(reply.ticket_id)
        if inbound is not None:
            inbound.outbox.add(reply_frame(reply))

    def request(self, ticket_id: TicketId) -> InboundRequest | None:
        """Return the request of a ticket, or None until it is complete."""
        inbound = self._inbound.get(ticket_id)
        return inbound.request if inbound else None

    def stream_count(self) -> int:
        """Return the number of open streams from entry daemons."""
        return len(self._inbound)

    async def write_answer(
        self, ticket_id: TicketId, head: AnswerHead | None, chunk: bytes
    ) -> None:
        """Send a part of an answer; waits while the entry daemon reads slowly."""
        inbound = self._inbound.get(ticket_id)
        if inbound is None:
            return
        for frame in answer_frames(head, chunk):
            await inbound.outbox.wait_for_room()
            inbound.outbox.add(frame)

    def finish(self, event: UpstreamAttemptEnded) -> None:
        """Send the end of an attempt."""
        inbound = self._inbound.get(event.ticket_id)
        if inbound is not None:
            end = AttemptEnd(event.outcome, event.status, event.answer_bytes)
            inbound.outbox.add_end(end)

    async def _serve(
        self, stream: PeerStream, inbound: _InboundStream, first: pb.EntryFrame
    ) -> bool:
        """Serve one stream; returns whether its refusal or the end of its attempt was sent."""
        inline = first.HasField("head")
        if inline:
            inbound.request = await _receive_request(stream, inbound.ticket, first)
        inbound.offered = True
        self._handle_event(TicketArrived(VmId(first.vm), inbound.ticket))
        reply_frame = await inbound.outbox.next()
        reply = read_reply(reply_frame)
        if not isinstance(reply, Granted):
            await stream.send_message(reply_frame)
            return True
        if inline:
            inbound.outbox.attach_reply(reply_frame)
        else:
            await stream.send_message(reply_frame)
            inbound.request = await _receive_request(stream, inbound.ticket, None)
        if inbound.request is None:
            return False
        pacer = Pacer(reserve=self._reserve, ticket=inbound.ticket)
        self._handle_event(BodyArrived(inbound.ticket.ticket_id))
        return await _send_answer(stream, inbound.outbox, pacer)


async def _wait_for_receipt(stream: PeerStream, *, timeout_s: float) -> None:
    """Wait until the entry daemon has read the last frame, after which it closes the stream.

    Until then a stopping daemon keeps running: bytes in its own buffers would be lost.
    """
    with contextlib.suppress(StreamTerminatedError, TimeoutError):
        async with asyncio.timeout(timeout_s):
            while await stream.recv_message() is not None:
                pass


async def _send_answer(stream: PeerStream, outbox: Outbox, pacer: Pacer) -> bool:
    """Send an answer; returns False if its link has no capacity before the deadline."""
    while True:
        frame = await outbox.next()
        if not await pacer.wait_for_room(frame.ByteSize()):
            return False
        await stream.send_message(frame)
        if _is_last(frame):
            return True


async def _receive_request(
    stream: PeerStream, ticket: Ticket, first: pb.EntryFrame | None
) -> InboundRequest | None:
    """Return the complete request, or None if its stream ended before."""
    frame = first or await stream.recv_message()
    if frame is None:
        return None
    head = read_request_head(frame)
    chunks = [frame.chunk]
    size = len(frame.chunk)
    while not frame.last:
        frame = await stream.recv_message()
        if frame is None:
            return None
        chunks.append(frame.chunk)
        size += len(frame.chunk)
        if size > ticket.body_bytes:
            raise FrameInvalidError(
                f"the body is longer than the {ticket.body_bytes} bytes that its ticket declares"
            )
    if size != ticket.body_bytes:
        raise FrameInvalidError(
            f"the body has {size} bytes, its ticket declares {ticket.body_bytes}"
        )
    return InboundRequest(ticket, head, b"".join(chunks))


def _is_last(frame: pb.OwnerFrame) -> bool:
    if frame.HasField("end"):
        return True
    return bool(frame.reply) and not isinstance(read_reply(frame), Granted)
