"""The entry's side of a request: where it is tried, and what its caller is told."""

from __future__ import annotations

import random

import msgspec

from gooseberryport_core._routing import Router
from gooseberryport_core._views import Owners, Peers
from gooseberryport_core.config import Config, Service
from gooseberryport_core.effects import (
    CancelTicket,
    Effect,
    FinishRequest,
    SendBody,
    SendTicket,
)
from gooseberryport_core.events import (
    AttemptEnded,
    Event,
    PeerUnreachable,
    RequestArrived,
    RequestCancelled,
    Tick,
    TicketReplied,
)
from gooseberryport_core.messages import Granted, Moved, Refused, Ticket
from gooseberryport_core.settings import NodeSettings
from gooseberryport_core.types import (
    AttemptOutcome,
    Epoch,
    Outcome,
    PoolId,
    RefusalReason,
    RequestId,
    TicketId,
    UpstreamId,
    VmId,
)

MAX_OFFERS = 6
"""Most owners that one request asks before its caller is told that it did not run."""

DEADLINE_GRACE_S = 0.05
"""Time after the deadline that the owner's own word is waited for; seconds."""


class _Request(msgspec.Struct):
    """One caller's request at its entry."""

    event: RequestArrived
    deadline: float
    repeatable: bool
    pools: list[PoolId]
    ticket_id: TicketId = TicketId("")
    body_sent: bool = False
    offers: int = 0
    retries: int = 0
    reason: RefusalReason = RefusalReason.NO_OWNER
    retry_after_s: float = 0.0


class Requests:
    """Carry each caller's request to an owner and its end back to the caller.

    Parameters
    ----------
    settings
        Who this daemon is.
    owners
        What ownership knows.
    peers
        What membership knows.
    router
        Ranks the pools for a request.
    rng
        Source of jitter.
    """

    def __init__(
        self,
        *,
        settings: NodeSettings,
        owners: Owners,
        peers: Peers,
        router: Router,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._owners = owners
        self._peers = peers
        self._router = router
        self._rng = rng
        self._cfg = Config()
        self._requests: dict[RequestId, _Request] = {}
        self._tickets: dict[TicketId, RequestId] = {}
        self._serial = 0

    def configure(self, cfg: Config, now: float) -> list[Effect]:
        """Take a newer configuration."""
        self._cfg = cfg
        self._router.configure(cfg, now)
        return []

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Handle an event."""
        if isinstance(event, RequestArrived):
            return self._arrive(event, now)
        if isinstance(event, RequestCancelled):
            return self._cancel(event.request_id)
        if isinstance(event, TicketReplied):
            return self._replied(event, now)
        if isinstance(event, PeerUnreachable):
            return self._refused(Refused(event.ticket_id, RefusalReason.UNREACHABLE), now)
        if isinstance(event, AttemptEnded):
            return self._ended(event, now)
        if isinstance(event, Tick):
            return self._expire(now)
        return []

    @property
    def idle(self) -> bool:
        """Whether no caller waits here."""
        return not self._requests

    def _arrive(self, event: RequestArrived, now: float) -> list[Effect]:
        service = self._cfg.services.get(event.service)
        if service is None:
            return [_not_run(event.request_id, RefusalReason.UNKNOWN_SERVICE)]
        if event.body_bytes > service.max_body_bytes:
            return [_not_run(event.request_id, RefusalReason.TOO_LARGE)]
        pools = self._router.rank(event.service, self._settings.region, now)
        req = _Request(
            event=event,
            deadline=now + _timeout(event, service),
            repeatable=event.method in service.idempotent_methods,
            pools=list(pools),
        )
        self._requests[event.request_id] = req
        return self._offer_next(req, now)

    def _offer_next(self, req: _Request, now: float) -> list[Effect]:
        while req.pools and req.offers < MAX_OFFERS:
            pool = req.pools.pop(0)
            owner = self._owners.owner_of(pool)
            if owner is None:
                continue
            return self._offer(req, pool, owner.vm, owner.epoch, UpstreamId(""), now)
        return self._finish(req, Outcome.NOT_RUN, req.reason)

    def _offer(
        self,
        req: _Request,
        pool: PoolId,
        vm: VmId,
        epoch: Epoch,
        reserved: UpstreamId,
        now: float,
    ) -> list[Effect]:
        self._serial += 1
        req.offers += 1
        me = self._settings
        ticket_id = TicketId(f"{me.vm}.{me.incarnation}.{self._serial}")
        req.ticket_id = ticket_id
        self._tickets[ticket_id] = req.event.request_id
        service = self._cfg.services[req.event.service]
        ticket = Ticket(
            ticket_id=ticket_id,
            pool=pool,
            epoch=epoch,
            remaining_s=req.deadline - now,
            repeatable=req.repeatable,
            first_try=req.retries == 0,
            body_bytes=req.event.body_bytes,
            answer_bytes=service.answer_bytes,
            source=me.region,
            reserved=reserved,
            key=req.event.key,
        )
        peer = self._peers.peer(vm)
        address = peer.address if peer else ""
        return [SendTicket(vm, address, ticket)]

    def _replied(self, event: TicketReplied, now: float) -> list[Effect]:
        reply = event.reply
        if isinstance(reply, Refused):
            return self._refused(reply, now)
        req = self._request(reply.ticket_id)
        if req is None:
            return []
        if isinstance(reply, Moved):
            self._tickets.pop(reply.ticket_id, None)
            return self._offer(req, reply.pool, reply.vm, reply.epoch, reply.upstream, now)
        assert isinstance(reply, Granted)
        req.body_sent = True
        return [SendBody(req.event.request_id, reply.ticket_id)]

    def _refused(self, reply: Refused, now: float) -> list[Effect]:
        req = self._request(reply.ticket_id)
        if req is None:
            return []
        self._tickets.pop(reply.ticket_id, None)
        req.body_sent = False
        req.reason = reply.reason
        req.retry_after_s = reply.retry_after_s
        if now >= req.deadline:
            return self._finish(req, Outcome.NOT_RUN, RefusalReason.DEADLINE)
        return self._offer_next(req, now)

    def _ended(self, event: AttemptEnded, now: float) -> list[Effect]:
        req = self._request(event.ticket_id)
        if req is None:
            return []
        if event.outcome == AttemptOutcome.ANSWERED:
            return self._finish(req, Outcome.ANSWERED, None)
        ran = event.outcome == AttemptOutcome.UNKNOWN
        if ran and not req.repeatable:
            return self._finish(req, Outcome.UNKNOWN, None)
        if now >= req.deadline:
            outcome = Outcome.UNKNOWN if ran else Outcome.NOT_RUN
            return self._finish(req, outcome, RefusalReason.DEADLINE)
        self._tickets.pop(event.ticket_id, None)
        req.body_sent = False
        req.retries += 1
        req.reason = RefusalReason.NO_UPSTREAM
        return self._offer_next(req, now)

    def _cancel(self, request_id: RequestId) -> list[Effect]:
        req = self._requests.pop(request_id, None)
        if req is None:
            return []
        self._tickets.pop(req.ticket_id, None)
        return [CancelTicket(req.ticket_id)]

    def _expire(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        for req in list(self._requests.values()):
            if now < req.deadline + DEADLINE_GRACE_S:
                continue
            outcome = Outcome.UNKNOWN if req.body_sent else Outcome.NOT_RUN
            effects.append(CancelTicket(req.ticket_id))
            effects.extend(self._finish(req, outcome, RefusalReason.DEADLINE))
        return effects

    def _finish(
        self, req: _Request, outcome: Outcome, reason: RefusalReason | None
    ) -> list[Effect]:
        request_id = req.event.request_id
        del self._requests[request_id]
        self._tickets.pop(req.ticket_id, None)
        return [FinishRequest(request_id, outcome, req.ticket_id, reason, req.retry_after_s)]

    def _request(self, ticket_id: TicketId) -> _Request | None:
        request_id = self._tickets.get(ticket_id)
        return self._requests.get(request_id) if request_id is not None else None


def _timeout(event: RequestArrived, service: Service) -> float:
    wanted = event.timeout_s or service.default_timeout_s
    return min(wanted, service.max_timeout_s)


def _not_run(request_id: RequestId, reason: RefusalReason) -> FinishRequest:
    return FinishRequest(request_id, Outcome.NOT_RUN, TicketId(""), reason)
