"""Callers that wait for their answers: the meeting point of the HTTP threads and the loop."""

from __future__ import annotations

import asyncio
import queue

import msgspec

from gooseberryport_core.effects import FinishRequest
from gooseberryport_core.types import Outcome, RequestId, TicketId
from gooseberryport_daemon._http_messages import Answer, AnswerHead, CallerRequest, Refusal
from gooseberryport_daemon._pipe import Pipe

MAX_BUFFERED_ANSWER_BYTES = 1_048_576
"""Longest answer that is delivered whole or not at all; longer ones are streamed."""


class StreamedAnswer(msgspec.Struct, frozen=True):
    """An answer whose body is still on its way."""

    head: AnswerHead
    pipe: Pipe


RequestResult = Answer | StreamedAnswer | Refusal


class PendingRequest:
    """One caller's request and the place where its end is put.

    Parameters
    ----------
    request
        What the caller sent.
    """

    def __init__(self, request: CallerRequest) -> None:
        self.request = request
        self._results: queue.SimpleQueue[RequestResult] = queue.SimpleQueue()

    def finish(self, result: RequestResult) -> None:
        """Put the end there, on the loop."""
        self._results.put(result)

    def wait(self, timeout_s: float) -> RequestResult | None:
        """Return the end, or None if it has not come in time; in the caller's thread."""
        try:
            return self._results.get(timeout=timeout_s)
        except queue.Empty:
            return None


class _PartialAnswer:
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
        self._pending: dict[RequestId, PendingRequest] = {}
        self._answers: dict[TicketId, _PartialAnswer] = {}

    def add(self, pending: PendingRequest) -> None:
        """Take in a caller's exchange."""
        self._pending[pending.request.request_id] = pending

    def remove(self, request_id: RequestId) -> None:
        """Forget a caller that has gone, and its answers."""
        self._pending.pop(request_id, None)
        for ticket_id, answer in list(self._answers.items()):
            if answer.request_id == request_id:
                self.discard_answer(ticket_id)

    def request(self, request_id: RequestId) -> CallerRequest | None:
        """Return the request of a caller that still waits."""
        pending = self._pending.get(request_id)
        return pending.request if pending else None

    def waiting_count(self) -> int:
        """Return how many callers wait."""
        return len(self._pending)

    def expect_answer(self, ticket_id: TicketId, request_id: RequestId) -> None:
        """Make ready for the answer of an attempt."""
        self._answers[ticket_id] = _PartialAnswer(request_id)

    def is_answer_expected(self, ticket_id: TicketId) -> bool:
        """Return whether an attempt's answer is expected."""
        return ticket_id in self._answers

    async def collect(self, ticket_id: TicketId, head: AnswerHead | None, chunk: bytes) -> None:
        """Take in a part of an attempt's answer; waits while its caller reads slowly."""
        answer = self._answers.get(ticket_id)
        if answer is None:
            return
        if head is not None:
            answer.head = head
        answer.size += len(chunk)
        if answer.pipe is not None:
            await answer.pipe.write(chunk)
            return
        answer.chunks.append(chunk)
        if answer.size > MAX_BUFFERED_ANSWER_BYTES:
            await self._start_stream(answer)

    def streaming_request(self, ticket_id: TicketId) -> RequestId | None:
        """Return the request whose caller already receives this attempt's answer, or None."""
        answer = self._answers.get(ticket_id)
        return answer.request_id if answer and answer.pipe else None

    def discard_answer(self, ticket_id: TicketId) -> None:
        """Forget an attempt; a caller that already receives its answer sees it break off."""
        answer = self._answers.pop(ticket_id, None)
        if answer is not None and answer.pipe is not None:
            answer.pipe.close(complete=False)

    def finish(self, effect: FinishRequest) -> None:
        """Deliver a request's end."""
        pending = self._pending.pop(effect.request_id, None)
        answer = self._answers.pop(effect.ticket_id, None)
        if pending is None:
            return
        if answer is not None and answer.pipe is not None:
            answer.pipe.close(complete=effect.outcome == Outcome.ANSWERED)
            return
        pending.finish(_result_of(effect, answer))

    async def _start_stream(self, answer: _PartialAnswer) -> None:
        pending = self._pending.get(answer.request_id)
        if pending is None or answer.head is None:
            return
        answer.pipe = Pipe(loop=self._loop)
        pending.finish(StreamedAnswer(answer.head, answer.pipe))
        chunks = answer.chunks
        answer.chunks = []
        for chunk in chunks:
            await answer.pipe.write(chunk)


def _result_of(effect: FinishRequest, answer: _PartialAnswer | None) -> RequestResult:
    if effect.outcome != Outcome.ANSWERED:
        return Refusal(effect.outcome, effect.reason, effect.retry_after_s)
    if answer is None or answer.head is None:
        return Refusal(Outcome.UNKNOWN, None, 0.0)
    return Answer(answer.head, b"".join(answer.chunks))
