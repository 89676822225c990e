"""The loop: every event goes through the node, every effect is carried out in its order."""

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
from gooseberryport_daemon._callers import Callers, Exchange
from gooseberryport_daemon._datagrams import Datagrams
from gooseberryport_daemon._logs import WriteLog
from gooseberryport_daemon._metrics import Metrics
from gooseberryport_daemon._parts import AnswerHead
from gooseberryport_daemon._peer_client import PeerClient
from gooseberryport_daemon._peer_server import PeerServer
from gooseberryport_daemon._platform_calls import PlatformCalls
from gooseberryport_daemon._upstreams import UpstreamRequest, Upstreams
from gooseberryport_platform import ServiceError

QUIET_S = 10.0
"""Time between two log events of the same failing service; seconds."""


class Driver:
    """Drive a node on the loop's thread.

    The node and the parts that do input and output are set once, before the first event.

    Parameters
    ----------
    loop
        The loop whose clock is the node's.
    log, metrics
        Where log events and counts go.
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
        self.config_changed: Callable[[], None] = lambda: None
        self._loop = loop
        self._log = log
        self._metrics = metrics
        self._pending: deque[Event] = deque()
        self._feeding = False
        self._quiet_until: dict[str, float] = {}
        self._arrived_at: dict[RequestId, float] = {}
        self._carry: dict[type[Effect], Callable[[Any], None]] = {
            SendTicket: lambda effect: self._send_ticket(effect),
            SendTicketReply: lambda effect: self.peer_server.reply(effect.reply),
            SendBody: lambda effect: self._send_body(effect),
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
            ConfigChanged: lambda effect: self._take_config(effect),
            Exit: lambda effect: self.done.set(),
        }

    def feed(self, event: Event) -> None:
        """Hand an event to the node and carry its effects out, after those under way."""
        self._pending.append(event)
        if self._feeding:
            return
        self._feeding = True
        try:
            while self._pending:
                self._handle(self._pending.popleft())
        finally:
            self._feeding = False

    def tick(self) -> None:
        """Let time pass in the node."""
        started = time.perf_counter()
        self.feed(Tick(wall=time.time()))
        self._metrics.time("loop.tick", time.perf_counter() - started)

    def admit(self, exchange: Exchange) -> None:
        """Take in a caller's request."""
        request = exchange.request
        self.callers.add(exchange)
        self._arrived_at[request.request_id] = self._loop.time()
        self.feed(
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
        """Ask the node for a graceful stop; `done` is set once nothing is left to do."""
        if self.stopping:
            return
        self.stopping = True
        self.log(LogNumber.DAEMON_STOPPING, "daemon stopping", level=LogLevel.INFO)
        self.feed(StopRequested())

    def caller_gone(self, request_id: RequestId) -> None:
        """Drop a caller that has closed its connection."""
        if self._arrived_at.pop(request_id, None) is None:
            return
        self._metrics.count("callers.gone")
        self.feed(RequestCancelled(request_id))
        self.callers.drop(request_id)

    def upstream_finished(self, event: UpstreamAttemptEnded) -> None:
        """Take in the end of an attempt at an upstream."""
        self._metrics.count(f"attempt.{event.outcome.value}")
        self._metrics.time("attempt", event.duration_s)
        if event.outcome != AttemptOutcome.ANSWERED:
            self.answer_broken(event.ticket_id)
        self.peer_server.finish(event)
        self.feed(event)

    def answer_broken(self, ticket_id: TicketId) -> None:
        """Forget an answer that broke off; a caller that has a part of it already is cut off."""
        request_id = self.callers.streams(ticket_id)
        self.callers.discard(ticket_id)
        if request_id is not None:
            self.log(LogNumber.ANSWER_CUT, "answer broke off", {"request_id": request_id})
            self.caller_gone(request_id)

    def datagram_refused(self, sender: str) -> None:
        """Note a datagram that is not a message of ours."""
        self._metrics.count("datagrams.refused")
        self.log(LogNumber.DATAGRAM_REFUSED, "datagram refused", {"sender": sender})

    def refused_at_door(self, reason: str) -> None:
        """Count a request that was refused before the node saw it."""
        self._metrics.count(f"refused.{reason}")

    def stream_broken(self, ticket_id: TicketId) -> None:
        """Note a stream to an owner that broke, and its answer with it."""
        self._metrics.count("streams.broken")
        self.answer_broken(ticket_id)

    def measure(self) -> None:
        """Set the gauges."""
        self._metrics.gauge("callers.waiting", self.callers.waiting())
        self._metrics.gauge("attempts.running", self.upstreams.running())
        self._metrics.count("control.messages", self.datagrams.take_sent())
        self._metrics.count("control.bytes", self.datagrams.take_sent_bytes())

    def frame_refused(self, fault: str) -> None:
        """Note a peer's stream that is not of the agreed form."""
        self._metrics.count("streams.refused")
        self.log(LogNumber.PEER_FRAME_REFUSED, "peer stream refused", {"fault": fault})

    def reserve_link(self, ticket: Ticket, num_bytes: int) -> float | None:
        """Reserve room for bytes of an answer on the link to its entry daemon's region."""
        return self.node.reserve_link(ticket.pool, ticket.source, num_bytes, self._loop.time())

    def datagram_too_long(self, effect: SendMessage, length: int) -> None:
        """Note a message that could not be sent."""
        kind = type(effect.message).__name__
        fields = {"message": kind, "bytes": str(length), "peer": effect.address}
        self.log(LogNumber.DATAGRAM_TOO_LONG, "message too long", fields, LogLevel.ERROR)

    def platform_failed(self, error: ServiceError) -> None:
        """Note a failed read; of one service at most one log event in a while."""
        self._metrics.count("platform.failed")
        now = self._loop.time()
        if now < self._quiet_until.get(error.address, now):
            return
        self._quiet_until[error.address] = now + QUIET_S
        self.log(LogNumber.PLATFORM_CALL_FAILED, "platform call failed", {"error": str(error)})

    def log(
        self,
        number: LogNumber,
        text: str,
        fields: dict[str, str] | None = None,
        level: LogLevel = LogLevel.WARNING,
    ) -> None:
        """Write a log event of the process itself."""
        self._log(LogEvent(number, level, text, fields or {}))

    def _handle(self, event: Event) -> None:
        for effect in self.node.handle(event, self._loop.time()):
            self._carry[type(effect)](effect)

    def _take_config(self, effect: ConfigChanged) -> None:
        fields = {"version": str(effect.version)}
        self.log(LogNumber.CONFIG_IN_FORCE, "configuration in force", fields, LogLevel.INFO)
        self.config_changed()

    def _send_ticket(self, effect: SendTicket) -> None:
        request = self.callers.request(effect.request_id) if effect.inline_body else None
        if effect.inline_body and request is None:
            return
        if request is not None:
            self.callers.expect(effect.ticket.ticket_id, effect.request_id)
        self.peer_client.send_ticket(effect, request)

    def _send_body(self, effect: SendBody) -> None:
        request = self.callers.request(effect.request_id)
        if request is None:
            self.peer_client.cancel(effect.ticket_id)
            return
        if not self.callers.expects(effect.ticket_id):
            self.callers.expect(effect.ticket_id, effect.request_id)
        self.peer_client.send_body(effect.ticket_id, request)

    def _cancel_ticket(self, effect: CancelTicket) -> None:
        self.callers.discard(effect.ticket_id)
        self.peer_client.cancel(effect.ticket_id)

    def _start_upstream(self, effect: StartUpstreamAttempt) -> None:
        request = self._upstream_request(effect)
        if request is None:
            self.feed(_not_sent(effect))
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
            _Sink(effect.ticket_id, self.peer_server.take),
            service.max_answer_bytes,
            service.connections,
        )

    def _local_request(
        self, effect: StartUpstreamAttempt, max_answer_bytes: int, connections: int
    ) -> UpstreamRequest | None:
        request = self.callers.request(effect.request_id)
        if request is None:
            return None
        self.callers.expect(effect.ticket_id, effect.request_id)
        return UpstreamRequest(
            request.head,
            request.body,
            _Sink(effect.ticket_id, self.callers.collect),
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


TakePart = Callable[[TicketId, AnswerHead | None, bytes], Awaitable[None]]


class _Sink:
    """Carry the parts of one ticket's answer to where they go."""

    def __init__(self, ticket_id: TicketId, take: TakePart) -> None:
        self._ticket_id = ticket_id
        self._take = take

    async def take(self, head: AnswerHead | None, chunk: bytes) -> None:
        """Take a part."""
        await self._take(self._ticket_id, head, chunk)


def _not_sent(effect: StartUpstreamAttempt) -> UpstreamAttemptEnded:
    return UpstreamAttemptEnded(effect.ticket_id, AttemptOutcome.NOT_SENT, 0, 0, 0.0)
