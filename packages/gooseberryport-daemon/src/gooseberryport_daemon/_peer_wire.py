"""Encodes and decodes the frames of the stream between an entry daemon and an owner."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import msgspec

from gooseberryport_core.decoding import InputError, decode_with
from gooseberryport_core.http_status import FINAL_STATUSES
from gooseberryport_core.messages import Ticket, TicketReply
from gooseberryport_core.types import AttemptOutcome
from gooseberryport_daemon import _peer_pb2 as pb
from gooseberryport_daemon._http_messages import AnswerHead, Headers, RequestHead

CHUNK_BYTES = 65_536
"""Maximum bytes of a body in one frame."""

_encoder = msgspec.msgpack.Encoder()
_ticket_decoder = msgspec.msgpack.Decoder(Ticket)
_reply_decoder: msgspec.msgpack.Decoder[TicketReply] = msgspec.msgpack.Decoder(TicketReply)


class FrameInvalidError(Exception):
    """A frame from another daemon violates the protocol."""


class AttemptEnd(msgspec.Struct, frozen=True):
    """How an attempt ended, as its owner reports."""

    outcome: AttemptOutcome
    status: int
    answer_bytes: int


def ticket_frames(
    vm: str, ticket: Ticket, inline: tuple[RequestHead, bytes] | None = None
) -> Iterator[pb.EntryFrame]:
    """Yield the frames that carry a ticket, together with its request if that is sent inline."""
    first = pb.EntryFrame(vm=vm, ticket=_encoder.encode(ticket))
    if inline is None:
        yield first
        return
    frames = request_frames(*inline)
    first.MergeFrom(next(frames))
    yield first
    yield from frames


def request_frames(head: RequestHead, body: bytes) -> Iterator[pb.EntryFrame]:
    """Yield the frames that carry a request after its grant."""
    first = body[:CHUNK_BYTES]
    yield pb.EntryFrame(
        head=pb.RequestHead(
            method=head.method,
            target=head.target,
            headers=_to_headers(head.headers),
            request_id=head.request_id,
        ),
        chunk=first,
        last=len(body) <= CHUNK_BYTES,
    )
    for start in range(CHUNK_BYTES, len(body), CHUNK_BYTES):
        end = start + CHUNK_BYTES
        yield pb.EntryFrame(chunk=body[start:end], last=end >= len(body))


def reply_frame(reply: TicketReply) -> pb.OwnerFrame:
    """Return the frame that carries a reply to a ticket."""
    return pb.OwnerFrame(reply=_encoder.encode(reply))


def answer_frames(head: AnswerHead | None, chunk: bytes) -> Iterator[pb.OwnerFrame]:
    """Yield the frames that carry a part of an answer."""
    first = pb.OwnerFrame(chunk=chunk[:CHUNK_BYTES])
    if head is not None:
        first.head.status = head.status
        first.head.reason = head.reason
        first.head.headers.extend(_to_headers(head.headers))
    yield first
    for start in range(CHUNK_BYTES, len(chunk), CHUNK_BYTES):
        yield pb.OwnerFrame(chunk=chunk[start : start + CHUNK_BYTES])


def add_end(frame: pb.OwnerFrame, end: AttemptEnd) -> None:
    """Make a frame the last one of its stream."""
    frame.end.outcome = end.outcome.value
    frame.end.status = end.status
    frame.end.answer_bytes = end.answer_bytes


def read_ticket(frame: pb.EntryFrame) -> Ticket:
    """Return the ticket in a frame; raises `FrameInvalidError`."""
    try:
        return decode_with(_ticket_decoder.decode, frame.ticket)
    except InputError as exc:
        raise FrameInvalidError(str(exc)) from exc


def read_reply(frame: pb.OwnerFrame) -> TicketReply:
    """Return the reply in a frame; raises `FrameInvalidError`."""
    try:
        return decode_with(_reply_decoder.decode, frame.reply)
    except InputError as exc:
        raise FrameInvalidError(str(exc)) from exc


def read_request_head(frame: pb.EntryFrame) -> RequestHead:
    """Return the request head in a frame; raises `FrameInvalidError`."""
    if not frame.HasField("head"):
        raise FrameInvalidError("the request's head is missing")
    head = frame.head
    return RequestHead(head.method, head.target, _from_headers(head.headers), head.request_id)


def read_answer_head(frame: pb.OwnerFrame) -> AnswerHead | None:
    """Return the answer head in a frame, or None; raises `FrameInvalidError`."""
    if not frame.HasField("head"):
        return None
    head = frame.head
    if head.status not in FINAL_STATUSES:
        raise FrameInvalidError(f"the answer's status is {head.status:03}")
    return AnswerHead(head.status, head.reason, _from_headers(head.headers))


def read_end(frame: pb.OwnerFrame) -> AttemptEnd | None:
    """Return the end of an attempt in a frame, or None; raises `FrameInvalidError`."""
    if not frame.HasField("end"):
        return None
    try:
        outcome = AttemptOutcome(frame.end.outcome)
    except ValueError as exc:
        raise FrameInvalidError(str(exc)) from exc
    return AttemptEnd(outcome, frame.end.status, frame.end.answer_bytes)


def _to_headers(headers: Headers) -> list[pb.Header]:
    return [pb.Header(name=name, value=value) for name, value in headers]


def _from_headers(headers: Iterable[pb.Header]) -> Headers:
    return tuple((header.name, header.value) for header in headers)
