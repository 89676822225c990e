"""Requests of callers that wait for their answers, shared by the HTTP threads and the loop."""

from __future__ import annotations

import asyncio
import queue
from collections.abc import Callable

import msgspec

from gooseberryport_core.effects import FinishRequest
from gooseberryport_core.types import Outcome, RequestId, TicketId
from gooseberryport_daemon._http_messages import Answer, AnswerHead, CallerRequest, Refusal
from gooseberryport_daemon._pipe import Pipe

MAX_BUFFERED_ANSWER_BYTES = 1_048_576
"""Maximum size of an answer that is buffered until it is complete; longer ones are streamed."""


class StreamedAnswer(msgspec.Struct, frozen=True):
    """An answer whose body is still being received."""

    head: AnswerHead
    pipe: Pipe


RequestResult = Answer | StreamedAnswer | Refusal


class PendingRequest:
    """One caller's request and the queue that receives its result.

    Parameters
    ----------
    request
        What the caller sent.
    """

    def __init__(self, request: CallerRequest) -> None:
        self.request = request
        self._results: queue.SimpleQueue[RequestResult] = queue.SimpleQueue()

    def finish(self, result: RequestResult) -> None:
        """Deliver the result; called on the loop."""
        self._results.put(result)

    def wait(self, timeout_s: float) -> RequestResult | None:
        """Return the result, or None after a timeout; called in the caller's HTTP thread."""
        try:
            return self._results.get(timeout=timeout_s)
        except queue.Empty:
            return None


class _PartialAnswer:
    """The received part of one attempt's answer."""

    def __init__(self, request_id: RequestId) -> None:
        self.request_id = request_id
        self.head: AnswerHead | None = None
        self.chunks: list[bytes] = []
        self.size = 0
        self.pipe: Pipe | None = None


class Callers:
    """Keep the pending requests and collect the answers of their attempts; used on the loop.

    Parameters
    ----------
    loop
        Loop on which the answers are collected.
    on_answer_start
        Called with the ticket whose answer a caller is sent the beginning of.
    """

    def __init__(
        self, *, loop: asyncio.AbstractEventLoop, on_answer_start: Callable[[TicketId], None]
    ) -> None:
        self._loop = loop
        self._on_answer_start = on_answer_start
        self._pending: dict[RequestId, PendingRequest] = {}
        self._answers: dict[TicketId, _PartialAnswer] = {}

    def add(self, pending: PendingRequest) -> None:
        """Add a caller's pending request."""
        self._pending[pending.request.request_id] = pending

    def remove(self, request_id: RequestId) -> None:
        """Remove the request of a caller that no longer waits, and its answers."""
        self._pending.pop(request_id, None)
        for ticket_id, answer in list(self._answers.items()):
            if answer.request_id == request_id:
                self.discard_answer(ticket_id)

    def request(self, request_id: RequestId) -> CallerRequest | None:
        """Return the request of a caller that still waits, or None."""
        pending = self._pending.get(request_id)
        return pending.request if pending else None

    def waiting_count(self) -> int:
        """Return the number of callers that wait."""
        return len(self._pending)

    def expect_answer(self, ticket_id: TicketId, request_id: RequestId) -> None:
        """Start collecting the answer of an attempt."""
        self._answers[ticket_id] = _PartialAnswer(request_id)

    def is_answer_expected(self, ticket_id: TicketId) -> bool:
        """Return whether the answer of an attempt is being collected."""
        return ticket_id in self._answers

    async def collect(self, ticket_id: TicketId, head: AnswerHead | None, chunk: bytes) -> None:
        """Add a part of an attempt's answer; waits while its caller reads slowly."""
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
            await self._start_stream(ticket_id, answer)

    def streaming_request(self, ticket_id: TicketId) -> RequestId | None:
        """Return the id of the request whose caller is being sent the answer, or None."""
        answer = self._answers.get(ticket_id)
        return answer.request_id if answer and answer.pipe else None

    def discard_answer(self, ticket_id: TicketId) -> None:
        """Discard an attempt's answer; if it is being streamed, its caller's connection is cut."""
        answer = self._answers.pop(ticket_id, None)
        if answer is not None and answer.pipe is not None:
            answer.pipe.close(complete=False)

    def finish(self, effect: FinishRequest) -> None:
        """Deliver a request's result."""
        pending = self._pending.pop(effect.request_id, None)
        answer = self._answers.pop(effect.ticket_id, None)
        if pending is None:
            return
        if answer is not None and answer.pipe is not None:
            answer.pipe.close(complete=effect.outcome == Outcome.ANSWERED)
            return
        pending.finish(_result_of(effect, answer))

    async def _start_stream(self, ticket_id: TicketId, answer: _PartialAnswer) -> None:
        pending = self._pending.get(answer.request_id)
        if pending is None or answer.head is None:
            return
        answer.pipe = Pipe(loop=self._loop)
        pending.finish(StreamedAnswer(answer.head, answer.pipe))
        self._on_answer_start(ticket_id)
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
