"""Passes every event to the node and carries out the node's effects in their order."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Awaitable, Callable
from typing import Any

from gooseberryport_core import Node
from gooseberryport_core.effects import (
    CancelTicket,
    CancelUpstreamAttempt,
    ConfigChanged,
    CountMetric,
    Effect,
    Exit,
    FinishRequest,
    LogEvent,
    LogLevel,
    SendBody,
    SendMessage,
    SendTicket,
    SendTicketReply,
    StartUpstreamAttempt,
    StoreGet,
    StoreList,
    StoreSwap,
    StoreWatch,
)
from gooseberryport_core.events import (
    AnswerStarted,
    Event,
    RequestArrived,
    RequestCancelled,
    StopRequested,
    Tick,
    UpstreamAttemptEnded,
)
from gooseberryport_core.log_events import LogNumber
from gooseberryport_core.messages import Ticket
from gooseberryport_core.types import AttemptOutcome, RequestId, TicketId
from gooseberryport_daemon._callers import Callers, PendingRequest
from gooseberryport_daemon._datagrams import Datagrams
from gooseberryport_daemon._http_messages import AnswerHead
from gooseberryport_daemon._logs import WriteLog
from gooseberryport_daemon._metrics import Metrics
from gooseberryport_daemon._peer_client import PeerClient
from gooseberryport_daemon._peer_server import PeerServer
from gooseberryport_daemon._platform_calls import PlatformCalls
from gooseberryport_daemon._upstreams import AttemptFailure, UpstreamRequest, Upstreams
from gooseberryport_platform import ServiceError

FAILURE_LOG_INTERVAL_S = 10.0
"""Minimum interval between two log events about the same failing service; seconds."""


class Driver:
    """Run a node on the event loop.

    The node and the components that do input and output are set once, before the first event.

    Parameters
    ----------
    loop
        Event loop, whose clock the node uses.
    log, metrics
        Destinations of log events and metrics.
    """

    node: Node
    callers: Callers
    upstreams: Upstreams
    peer_client: PeerClient
    peer_server: PeerServer
    datagrams: Datagrams
    platform: PlatformCalls

    def __init__(self, *, loop: asyncio.AbstractEventLoop, log: WriteLog, metrics: Metrics) -> None:
        self.stopping = False
        self.done = asyncio.Event()
        self.on_config_changed: Callable[[], None] = lambda: None
        self._loop = loop
        self._log = log
        self._metrics = metrics
        self._event_queue: deque[Event] = deque()
        self._is_handling = False
        self._next_failure_log_at: dict[str, float] = {}
        self._arrived_at: dict[RequestId, float] = {}
        self._effect_handlers: dict[type[Effect], Callable[[Any], None]] = {
            SendTicket: lambda effect: self._send_ticket(effect),
            SendTicketReply: lambda effect: self.peer_server.reply(effect.reply),
            SendBody: lambda effect: self._send_granted_request(effect),
            CancelTicket: lambda effect: self._cancel_ticket(effect),
            StartUpstreamAttempt: lambda effect: self._start_upstream(effect),
            CancelUpstreamAttempt: lambda effect: self.upstreams.cancel(effect.ticket_id),
            FinishRequest: lambda effect: self._finish(effect),
            SendMessage: lambda effect: self.datagrams.send(effect),
            StoreGet: lambda effect: self.platform.run(effect),
            StoreList: lambda effect: self.platform.run(effect),
            StoreSwap: lambda effect: self.platform.run(effect),
            StoreWatch: lambda effect: self.platform.run(effect),
            LogEvent: lambda effect: self._log(effect),
            CountMetric: lambda effect: self._metrics.count(effect.name, effect.value),
            ConfigChanged: lambda effect: self._handle_config_change(effect),
            Exit: lambda effect: self.done.set(),
        }

    def handle_event(self, event: Event) -> None:
        """Pass an event to the node and carry out its effects, after those of earlier events."""
        self._event_queue.append(event)
        if self._is_handling:
            return
        self._is_handling = True
        try:
            while self._event_queue:
                self._process_event(self._event_queue.popleft())
        finally:
            self._is_handling = False

    def tick(self) -> None:
        """Send the node a tick with the current time."""
        started = time.perf_counter()
        self.handle_event(Tick(wall=time.time()))
        self._metrics.time("loop.tick", time.perf_counter() - started)

    def handle_request(self, pending: PendingRequest) -> None:
        """Pass a caller's request to the node."""
        request = pending.request
        self.callers.add(pending)
        self._arrived_at[request.request_id] = self._loop.time()
        self.handle_event(
            RequestArrived(
                request_id=request.request_id,
                service=request.service,
                client=request.client,
                method=request.head.method,
                timeout_s=request.timeout_s,
                key=request.key,
                body_bytes=len(request.body),
            )
        )

    def stop(self) -> None:
        """Request a graceful stop from the node; `done` is set once the node has finished."""
        if self.stopping:
            return
        self.stopping = True
        self.log(LogNumber.DAEMON_STOPPING, "daemon stopping", level=LogLevel.INFO)
        self.handle_event(StopRequested())

    def cancel_request(self, request_id: RequestId) -> None:
        """Cancel a request whose caller disconnected, was disconnected or no longer waits."""
        if self._arrived_at.pop(request_id, None) is None:
            return
        self._metrics.count("callers.gone")
        self.handle_event(RequestCancelled(request_id))
        self.callers.remove(request_id)

    def handle_attempt_end(self, event: UpstreamAttemptEnded) -> None:
        """Pass the end of an upstream attempt to the node, and to its entry daemon if remote."""
        self._metrics.count(f"attempt.{event.outcome.value}")
        self._metrics.time("attempt", event.duration_s)
        if event.outcome != AttemptOutcome.ANSWERED:
            self.handle_broken_answer(event.ticket_id)
        self.peer_server.finish(event)
        self.handle_event(event)

    def handle_answer_start(self, ticket_id: TicketId) -> None:
        """Tell the node that a caller is sent the beginning of an attempt's answer."""
        self.handle_event(AnswerStarted(ticket_id))

    def handle_broken_answer(self, ticket_id: TicketId) -> None:
        """Discard an incomplete answer; a caller that already has a part of it is disconnected."""
        request_id = self.callers.streaming_request(ticket_id)
        self.callers.discard_answer(ticket_id)
        if request_id is not None:
            self.log(
                LogNumber.ANSWER_CUT,
                "answer cut off: its source ended early",
                {"request_id": request_id},
            )
            self.cancel_request(request_id)

    def record_refused_datagram(self, sender: str) -> None:
        """Count and log a datagram that is not a valid message."""
        self._metrics.count("datagrams.refused")
        self.log(LogNumber.DATAGRAM_REFUSED, "datagram refused", {"sender": sender})

    def record_refusal(self, reason: str) -> None:
        """Count a request that was refused before it was passed to the node."""
        self._metrics.count(f"refused.{reason}")

    def record_failed_attempt(self, failure: AttemptFailure) -> None:
        """Log why an attempt at an upstream ended without an answer."""
        fields = {
            "ticket": failure.ticket_id,
            "upstream": failure.address,
            "outcome": failure.outcome.value,
            "cause": failure.cause,
            "duration_s": f"{failure.duration_s:.3f}",
            "timeout_s": f"{failure.timeout_s:.3f}",
        }
        self.log(LogNumber.ATTEMPT_FAILED, "attempt without an answer", fields)

    def handle_broken_stream(self, ticket_id: TicketId, cause: str, sent: bool) -> None:
        """Count and log a broken stream to an owner, and discard its answer."""
        self._metrics.count("streams.broken")
        fields = {"ticket": ticket_id, "cause": cause, "request_sent": str(sent).lower()}
        self.log(LogNumber.PEER_STREAM_BROKEN, "stream to an owner broke", fields)
        self.handle_broken_answer(ticket_id)

    def record_gauges(self) -> None:
        """Record the gauges and the control traffic since the last call."""
        self._metrics.gauge("callers.waiting", self.callers.waiting_count())
        self._metrics.gauge("attempts.running", self.upstreams.running())
        self._metrics.count("control.messages", self.datagrams.take_sent_count())
        self._metrics.count("control.bytes", self.datagrams.take_sent_bytes())

    def record_refused_stream(self, fault: str) -> None:
        """Count and log a peer's stream that violates the protocol."""
        self._metrics.count("streams.refused")
        self.log(LogNumber.PEER_FRAME_REFUSED, "peer stream refused", {"fault": fault})

    def reserve_link(self, ticket: Ticket, num_bytes: int) -> float | None:
        """Reserve link capacity to the entry daemon's region for bytes of an answer."""
        return self.node.reserve_link(ticket.pool, ticket.source, num_bytes, self._loop.time())

    def record_long_datagram(self, effect: SendMessage, length: int) -> None:
        """Log a message that was not sent because it exceeds a datagram."""
        kind = type(effect.message).__name__
        fields = {"message": kind, "bytes": str(length), "peer": effect.address}
        self.log(
            LogNumber.DATAGRAM_TOO_LONG, "message too long for a datagram", fields, LogLevel.ERROR
        )

    def record_platform_failure(self, error: ServiceError) -> None:
        """Count a failed read; log at most one per service and `FAILURE_LOG_INTERVAL_S`."""
        self._metrics.count("platform.failed")
        now = self._loop.time()
        if now < self._next_failure_log_at.get(error.address, now):
            return
        self._next_failure_log_at[error.address] = now + FAILURE_LOG_INTERVAL_S
        self.log(LogNumber.PLATFORM_CALL_FAILED, "platform call failed", {"error": str(error)})

    def log(
        self,
        number: LogNumber,
        text: str,
        fields: dict[str, str] | None = None,
        level: LogLevel = LogLevel.WARNING,
    ) -> None:
        """Write a log event of the daemon process, as opposed to the node."""
        self._log(LogEvent(number, level, text, fields or {}))

    def _process_event(self, event: Event) -> None:
        for effect in self.node.handle(event, self._loop.time()):
            self._effect_handlers[type(effect)](effect)

    def _handle_config_change(self, effect: ConfigChanged) -> None:
        fields = {"version": str(effect.version)}
        self.log(LogNumber.CONFIG_IN_FORCE, "configuration in force", fields, LogLevel.INFO)
        self.on_config_changed()

    def _send_ticket(self, effect: SendTicket) -> None:
        request = self.callers.request(effect.request_id) if effect.inline_body else None
        if effect.inline_body and request is None:
            return
        if request is not None:
            self.callers.expect_answer(effect.ticket.ticket_id, effect.request_id)
        self.peer_client.send_ticket(effect, request)

    def _send_granted_request(self, effect: SendBody) -> None:
        request = self.callers.request(effect.request_id)
        if request is None:
            self.peer_client.cancel(effect.ticket_id)
            return
        if not self.callers.is_answer_expected(effect.ticket_id):
            self.callers.expect_answer(effect.ticket_id, effect.request_id)
        self.peer_client.send_granted_request(effect.ticket_id, request)

    def _cancel_ticket(self, effect: CancelTicket) -> None:
        self.callers.discard_answer(effect.ticket_id)
        self.peer_client.cancel(effect.ticket_id)

    def _start_upstream(self, effect: StartUpstreamAttempt) -> None:
        request = self._upstream_request(effect)
        if request is None:
            self.handle_event(_not_sent_event(effect))
            return
        self.upstreams.start(effect, request)

    def _upstream_request(self, effect: StartUpstreamAttempt) -> UpstreamRequest | None:
        cfg = self.node.cfg
        upstream = cfg.upstreams.get(effect.upstream)
        service = cfg.services.get(upstream.service) if upstream else None
        if service is None:
            return None
        if effect.request_id:
            return self._local_request(effect, service.max_answer_bytes, service.connections)
        inbound = self.peer_server.request(effect.ticket_id)
        if inbound is None:
            return None
        return UpstreamRequest(
            inbound.head,
            inbound.body,
            _TicketSink(effect.ticket_id, self.peer_server.write_answer),
            service.max_answer_bytes,
            service.connections,
        )

    def _local_request(
        self, effect: StartUpstreamAttempt, max_answer_bytes: int, connections: int
    ) -> UpstreamRequest | None:
        request = self.callers.request(effect.request_id)
        if request is None:
            return None
        self.callers.expect_answer(effect.ticket_id, effect.request_id)
        return UpstreamRequest(
            request.head,
            request.body,
            _TicketSink(effect.ticket_id, self.callers.collect),
            max_answer_bytes,
            connections,
        )

    def _finish(self, effect: FinishRequest) -> None:
        arrived_at = self._arrived_at.pop(effect.request_id, None)
        if arrived_at is not None:
            duration_s = self._loop.time() - arrived_at
            self._metrics.time(f"request.{effect.outcome.value}", duration_s)
        if effect.reason is not None:
            self._metrics.count(f"refused.{effect.reason.value}")
        self.callers.finish(effect)


WriteAnswerPart = Callable[[TicketId, AnswerHead | None, bytes], Awaitable[None]]


class _TicketSink:
    """Pass the parts of one ticket's answer on, together with the ticket's identifier."""

    def __init__(self, ticket_id: TicketId, write: WriteAnswerPart) -> None:
        self._ticket_id = ticket_id
        self._write = write

    async def write(self, head: AnswerHead | None, chunk: bytes) -> None:
        """Pass a part of the answer on."""
        await self._write(self._ticket_id, head, chunk)


def _not_sent_event(effect: StartUpstreamAttempt) -> UpstreamAttemptEnded:
    return UpstreamAttemptEnded(effect.ticket_id, AttemptOutcome.NOT_SENT, 0, 0, 0.0)
