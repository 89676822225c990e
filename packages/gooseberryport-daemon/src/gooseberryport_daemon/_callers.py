"""Callers that wait for their answers: the meeting point of the HTTP threads and the loop."""

from __future__ import annotations

import asyncio
import queue

import msgspec

from gooseberryport_core.effects import FinishRequest
from gooseberryport_core.types import Outcome, RequestId, TicketId
from gooseberryport_daemon._parts import Answer, AnswerHead, CallerRequest, Refusal
from gooseberryport_daemon._pipe import Pipe

BUFFERED_ANSWER_BYTES = 1_048_576
"""Longest answer that is delivered whole or not at all; longer ones are streamed."""


class StreamedAnswer(msgspec.Struct, frozen=True):
    """An answer whose body is still on its way."""

    head: AnswerHead
    pipe: Pipe


CallerEnd = Answer | StreamedAnswer | Refusal


class Exchange:
    """One caller's request and the place where its end is put.

    Parameters
    ----------
    request
        What the caller sent.
    """

    def __init__(self, request: CallerRequest) -> None:
        self.request = request
        self._ends: queue.SimpleQueue[CallerEnd] = queue.SimpleQueue()

    def finish(self, end: CallerEnd) -> None:
        """Put the end there, on the loop."""
        self._ends.put(end)

    def wait(self, timeout_s: float) -> CallerEnd | None:
        """Return the end, or None if it has not come in time; in the caller's thread."""
        try:
            return self._ends.get(timeout=timeout_s)
        except queue.Empty:
            return None


class _Collected:
    """What has arrived of one attempt's answer."""

    def __init__(self, request_id: RequestId) -> None:
        self.request_id = request_id
        self.head: AnswerHead | None = None
        self.chunks: list[bytes] = []
        self.size = 0
        self.pipe: Pipe | None = None


class Callers:
    """Keep the exchanges and collect the answers of their attempts, on the loop.

    Parameters
    ----------
    loop
        The loop.
    """

    def __init__(self, *, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._exchanges: dict[RequestId, Exchange] = {}
        self._collected: dict[TicketId, _Collected] = {}

    def add(self, exchange: Exchange) -> None:
        """Take in a caller's exchange."""
        self._exchanges[exchange.request.request_id] = exchange

    def drop(self, request_id: RequestId) -> None:
        """Forget a caller that has gone, and its answers."""
        self._exchanges.pop(request_id, None)
        for ticket_id, collected in list(self._collected.items()):
            if collected.request_id == request_id:
                self.discard(ticket_id)

    def request(self, request_id: RequestId) -> CallerRequest | None:
        """Return the request of a caller that still waits."""
        exchange = self._exchanges.get(request_id)
        return exchange.request if exchange else None

    def waiting(self) -> int:
        """Return how many callers wait."""
        return len(self._exchanges)

    def expect(self, ticket_id: TicketId, request_id: RequestId) -> None:
        """Make ready for the answer of an attempt."""
        self._collected[ticket_id] = _Collected(request_id)

    def expects(self, ticket_id: TicketId) -> bool:
        """Return whether an attempt's answer is expected."""
        return ticket_id in self._collected

    async def collect(self, ticket_id: TicketId, head: AnswerHead | None, chunk: bytes) -> None:
        """Take in a part of an attempt's answer; waits while its caller reads slowly."""
        collected = self._collected.get(ticket_id)
        if collected is None:
            return
        if head is not None:
            collected.head = head
        collected.size += len(chunk)
        if collected.pipe is not None:
            await collected.pipe.write(chunk)
            return
        collected.chunks.append(chunk)
        if collected.size > BUFFERED_ANSWER_BYTES:
            await self._start_stream(collected)

    def streams(self, ticket_id: TicketId) -> RequestId | None:
        """Return the request whose caller already receives this attempt's answer, or None."""
        collected = self._collected.get(ticket_id)
        return collected.request_id if collected and collected.pipe else None

    def discard(self, ticket_id: TicketId) -> None:
        """Forget an attempt; a caller that already receives its answer sees it break off."""
        collected = self._collected.pop(ticket_id, None)
        if collected is not None and collected.pipe is not None:
            collected.pipe.close(whole=False)

    def finish(self, effect: FinishRequest) -> None:
        """Deliver a request's end."""
        exchange = self._exchanges.pop(effect.request_id, None)
        collected = self._collected.pop(effect.ticket_id, None)
        if exchange is None:
            return
        if collected is not None and collected.pipe is not None:
            collected.pipe.close(whole=effect.outcome == Outcome.ANSWERED)
            return
        exchange.finish(_end_of(effect, collected))

    async def _start_stream(self, collected: _Collected) -> None:
        exchange = self._exchanges.get(collected.request_id)
        if exchange is None or collected.head is None:
            return
        collected.pipe = Pipe(loop=self._loop)
        exchange.finish(StreamedAnswer(collected.head, collected.pipe))
        chunks = collected.chunks
        collected.chunks = []
        for chunk in chunks:
            await collected.pipe.write(chunk)


def _end_of(effect: FinishRequest, collected: _Collected | None) -> CallerEnd:
    if effect.outcome != Outcome.ANSWERED:
        return Refusal(effect.outcome, effect.reason, effect.retry_after_s)
    if collected is None or collected.head is None:
        return Refusal(Outcome.UNKNOWN, None, 0.0)
    return Answer(collected.head, b"".join(collected.chunks))
