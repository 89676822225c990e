"""Requests at their entry daemon: which owners are tried, and the outcome that is reported."""

from __future__ import annotations

import random
from collections.abc import Callable

from gooseberryport_core._claims import Claims
from gooseberryport_core._invariants import Invariant, check
from gooseberryport_core._request import EntryRequest, Home, not_run, timeout_of
from gooseberryport_core._retries import RetryBudget
from gooseberryport_core._routing import Router
from gooseberryport_core._shifts import Shifts
from gooseberryport_core._views import Owner, Owners, Peers
from gooseberryport_core.config import Config, region_of_zone
from gooseberryport_core.effects import (
    CancelTicket,
    CountMetric,
    Effect,
    FinishRequest,
    SendBody,
    SendTicket,
)
from gooseberryport_core.events import (
    AnswerStarted,
    AttemptEnded,
    ClaimDecided,
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
    ClaimVerdict,
    Outcome,
    PoolId,
    RefusalReason,
    RegionName,
    RequestId,
    ServiceName,
    TicketId,
    UpstreamId,
    VmId,
    ZoneName,
)

MAX_OFFERS = 6
"""Maximum number of owners that one request is offered to before it ends as not run."""

OWNER_REPLY_GRACE_S = 0.05
"""Time after the deadline in which the owner may still report the outcome; seconds."""

MAX_INLINE_BODY_BYTES = 16_384
"""Maximum size of a body that is sent with a repeatable request's ticket, to save a round trip."""

HANDOVER_REASONS = frozenset({RefusalReason.NOT_OWNER, RefusalReason.LEASE_LAPSED})
"""Refusals that occur while a pool is handed over; its next owner will be known soon."""

HANDOVER_RETRY_INTERVAL_S = 0.1
"""Time between two rounds of offers while pools are being handed over; seconds."""

MAX_HANDOVER_WAIT_S = 1.5
"""Maximum time that a request waits for handovers; seconds."""

DEFAULT_RETRY_AFTER_S = 0.2
"""Minimum time after which a caller may retry if no owner stated one; seconds."""


class Requests:
    """Offers each caller's request to owners of its pools and reports its end to the caller.

    Parameters
    ----------
    settings
        Identity and settings of this daemon.
    owners
        View of pool ownership.
    peers
        View of the other daemons.
    router
        Ranks the pools of a service for a request.
    claims
        Decides which request holds an idempotency key.
    home_of
        Returns the home of a client's IP address.
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
        claims: Claims,
        home_of: Callable[[str], Home],
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._owners = owners
        self._peers = peers
        self._router = router
        self._claims = claims
        self._home_of = home_of
        self._rng = rng
        self._shifts = Shifts()
        self._cfg = Config()
        self._region_of_zone: dict[ZoneName, RegionName] = {}
        self._budgets: dict[ServiceName, RetryBudget] = {}
        self._requests: dict[RequestId, EntryRequest] = {}
        self._request_ids: dict[TicketId, RequestId] = {}
        self._serial = 0
        self._wall_offset = 0.0

    def configure(self, cfg: Config, now: float) -> list[Effect]:
        """Apply a newer configuration."""
        self._cfg = cfg
        self._router.configure(cfg, now)
        self._shifts.configure(cfg)
        zones = {zone for region in cfg.regions.values() for zone in region.availability_zones}
        self._region_of_zone = {zone: region_of_zone(cfg, zone) or RegionName("") for zone in zones}
        for name, service in cfg.services.items():
            self._budgets.setdefault(name, RetryBudget(fraction=service.retry_fraction))
        return []

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Handle an event."""
        if isinstance(event, RequestArrived):
            return self._handle_arrival(event, now)
        if isinstance(event, ClaimDecided):
            return self._handle_claim_decision(event, now)
        if isinstance(event, RequestCancelled):
            return self._cancel(event.request_id, now)
        if isinstance(event, TicketReplied):
            return self._handle_reply(event, now)
        if isinstance(event, PeerUnreachable):
            return self._handle_refusal(Refused(event.ticket_id, RefusalReason.UNREACHABLE), now)
        if isinstance(event, AttemptEnded):
            return self._handle_attempt_end(event, now)
        if isinstance(event, AnswerStarted):
            return self._handle_answer_start(event)
        if isinstance(event, Tick):
            self._wall_offset = event.wall - now
            return (
                self._finish_overdue(now)
                + self._reassign_silent_owners(now)
                + self._retry_after_handover(now)
            )
        return []

    @property
    def idle(self) -> bool:
        """Whether no request is open at this entry daemon."""
        return not self._requests

    def _handle_arrival(self, event: RequestArrived, now: float) -> list[Effect]:
        service = self._cfg.services.get(event.service)
        if self._cfg.version == 0:
            return [not_run(event.request_id, RefusalReason.NOT_READY)]
        if service is None:
            return [not_run(event.request_id, RefusalReason.UNKNOWN_SERVICE)]
        if event.body_bytes > service.max_body_bytes:
            return [not_run(event.request_id, RefusalReason.TOO_LARGE)]
        req = EntryRequest(
            event=event,
            arrived_at=now,
            deadline=now + timeout_of(event, service),
            repeatable=event.method in service.idempotent_methods,
            home=self._home_of(event.client),
        )
        self._requests[event.request_id] = req
        self._budgets[event.service].earn()
        if event.key and not req.repeatable:
            return self._claims.claim(event.key, event.request_id, now)
        return self._place(req, now)

    def _handle_claim_decision(self, event: ClaimDecided, now: float) -> list[Effect]:
        req = self._requests.get(event.request_id)
        if req is None:
            return []
        if event.verdict == ClaimVerdict.FIRST:
            req.claimed = True
            return self._place(req, now)
        claim_pending = event.verdict == ClaimVerdict.UNDECIDED
        reason = RefusalReason.CLAIM_UNDECIDED if claim_pending else RefusalReason.DUPLICATE
        return self._finish(req, Outcome.UNKNOWN, reason, now)

    def _place(self, req: EntryRequest, now: float) -> list[Effect]:
        service = req.event.service
        wall = now + self._wall_offset
        placement, effects = self._shifts.place(service, req.home.region, req.home.hash_key, wall)
        req.placement = placement
        req.pools = list(self._router.rank(service, placement.region, now))
        return effects + self._offer_next(req, now)

    def _offer_next(self, req: EntryRequest, now: float) -> list[Effect]:
        effects: list[Effect] = []
        while req.pools and req.offers < MAX_OFFERS:
            pool = self._pop_pool(req, now)
            owner = self._owners.owner_of(pool)
            if owner is None:
                continue
            may_leave, violation_effects = self._may_leave_region(req, pool, now)
            effects.extend(violation_effects)
            if may_leave:
                return effects + self._offer(req, pool, owner, UpstreamId(""), now)
            req.reason = RefusalReason.SHIFT_CAP
        if self._may_wait_for_handover(req, now):
            req.resume_at = now + HANDOVER_RETRY_INTERVAL_S
            return effects
        return effects + self._give_up(req, req.reason, now)

    def _may_wait_for_handover(self, req: EntryRequest, now: float) -> bool:
        """Return whether a request that every owner refused should wait for handovers."""
        give_up_at = min(req.deadline, req.arrived_at + MAX_HANDOVER_WAIT_S)
        return req.reason in HANDOVER_REASONS and now + HANDOVER_RETRY_INTERVAL_S < give_up_at

    def _retry_after_handover(self, now: float) -> list[Effect]:
        """Offer the requests whose wait for a handover is over again."""
        effects: list[Effect] = []
        for req in [req for req in self._requests.values() if req.resume_at <= now]:
            assert req.placement is not None
            req.resume_at = float("inf")
            req.offers = 0
            req.pools = list(self._router.rank(req.event.service, req.placement.region, now))
            effects.extend(self._offer_next(req, now))
        return effects

    def _pop_pool(self, req: EntryRequest, now: float) -> PoolId:
        """Remove and return the best pool whose owner is reachable; the best one if none is."""
        for pool in req.pools:
            owner = self._owners.owner_of(pool)
            if owner is not None and self._is_reachable(owner.vm, now):
                req.pools.remove(pool)
                return pool
        return req.pools.pop(0)

    def _is_reachable(self, vm: VmId, now: float) -> bool:
        if vm == self._settings.vm:
            return True
        peer = self._peers.peer(vm)
        return (
            peer is not None
            and now - peer.last_heartbeat_at <= self._settings.timing.peer_timeout_s
        )

    def _may_leave_region(
        self, req: EntryRequest, pool: PoolId, now: float
    ) -> tuple[bool, list[Effect]]:
        """Return whether a request may be offered to a pool; a failover is counted for its cap."""
        placement = req.placement
        assert placement is not None
        if req.failed_over or self._region_of_zone.get(pool.zone) == placement.region:
            return True, []
        wall = now + self._wall_offset
        req.failed_over, violation_effects = self._shifts.count_failover(
            req.event.service, placement, wall
        )
        return req.failed_over, violation_effects

    def _offer(
        self, req: EntryRequest, pool: PoolId, owner: Owner, reserved: UpstreamId, now: float
    ) -> list[Effect]:
        self._serial += 1
        req.offers += 1
        me = self._settings
        ticket_id = TicketId(f"{me.vm}.{me.incarnation}.{self._serial}")
        req.ticket_id = ticket_id
        req.pool = pool
        req.owner = owner.vm
        req.owner_was_reachable = self._is_reachable(owner.vm, now)
        req.upstream = UpstreamId("")
        self._request_ids[ticket_id] = req.event.request_id
        ticket = Ticket(
            ticket_id=ticket_id,
            pool=pool,
            epoch=owner.epoch,
            remaining_s=req.deadline - now,
            repeatable=req.repeatable,
            first_try=req.retries == 0,
            body_bytes=req.event.body_bytes,
            answer_bytes=self._cfg.services[req.event.service].answer_bytes,
            source=me.region,
            reserved=reserved,
            key=req.event.key,
            avoid=req.avoid,
        )
        peer = self._peers.peer(owner.vm)
        address = peer.address if peer else ""
        inline = req.repeatable and req.event.body_bytes <= MAX_INLINE_BODY_BYTES
        req.body_sent = inline and owner.vm != me.vm and bool(address)
        request_id = req.event.request_id
        return [SendTicket(owner.vm, address, ticket, req.body_sent, request_id)]

    def _handle_reply(self, event: TicketReplied, now: float) -> list[Effect]:
        reply = event.reply
        if isinstance(reply, Refused):
            return self._handle_refusal(reply, now)
        req = self._request(reply.ticket_id)
        if req is None:
            return [CancelTicket(reply.ticket_id)] if isinstance(reply, Granted) else []
        if reply.ticket_id in req.silent_tickets:
            if not isinstance(reply, Moved):
                return []
            return self._forget_silent_ticket(req, reply.ticket_id, ran=False, now=now)
        if isinstance(reply, Moved):
            return self._handle_move(req, reply, now)
        at_most_once = req.repeatable or not req.ran_before
        violation_effects = check(
            Invariant.AT_MOST_ONCE,
            at_most_once,
            f"{req.event.request_id} is sent again although it may have run",
        )
        req.body_sent = True
        req.upstream = reply.upstream
        return [*violation_effects, SendBody(req.event.request_id, reply.ticket_id)]

    def _handle_move(self, req: EntryRequest, reply: Moved, now: float) -> list[Effect]:
        """Offer a request to the owner that pulled its ticket, if the failover cap allows it."""
        self._forget_attempt(req, ran=False)
        may_leave, violation_effects = self._may_leave_region(req, reply.pool, now)
        if not may_leave:
            req.reason = RefusalReason.SHIFT_CAP
            return violation_effects + self._offer_next(req, now)
        owner = Owner(reply.vm, reply.epoch)
        return violation_effects + self._offer(req, reply.pool, owner, reply.upstream, now)

    def _handle_refusal(self, reply: Refused, now: float) -> list[Effect]:
        """Offer a request that an owner refused, and that did not run there, to the next pool."""
        req = self._request(reply.ticket_id)
        if req is None:
            return []
        if reply.ticket_id in req.silent_tickets:
            return self._forget_silent_ticket(req, reply.ticket_id, ran=False, now=now)
        self._forget_attempt(req, ran=False)
        req.reason = reply.reason
        req.retry_after_s = reply.retry_after_s
        if now >= req.deadline:
            return self._finish(req, self._refusal_outcome(req), RefusalReason.DEADLINE, now)
        return self._offer_next(req, now)

    def _handle_attempt_end(self, event: AttemptEnded, now: float) -> list[Effect]:
        req = self._request(event.ticket_id)
        if req is None:
            return []
        if event.outcome == AttemptOutcome.ANSWERED:
            return self._keep_only(req, event.ticket_id) + self._finish(
                req, Outcome.ANSWERED, None, now
            )
        if event.ticket_id in req.silent_tickets:
            ran = event.outcome == AttemptOutcome.UNKNOWN
            return self._forget_silent_ticket(req, event.ticket_id, ran=ran, now=now)
        ran = event.outcome == AttemptOutcome.UNKNOWN
        self._forget_attempt(req, ran=ran)
        req.failed_pools = (*req.failed_pools, req.pool)
        if ran and not req.repeatable:
            return self._finish(req, Outcome.UNKNOWN, None, now)
        return self._retry(req, now)

    def _retry(self, req: EntryRequest, now: float) -> list[Effect]:
        if now >= req.deadline:
            return self._finish(req, self._refusal_outcome(req), RefusalReason.DEADLINE, now)
        if not self._budgets[req.event.service].spend():
            return self._give_up(req, RefusalReason.RETRY_BUDGET, now)
        assert req.placement is not None
        req.retries += 1
        req.reason = RefusalReason.NO_UPSTREAM
        ranked = self._router.rank(req.event.service, req.placement.region, now)
        req.pools = sorted(ranked, key=lambda pool: self._retry_order(req, pool))
        return [CountMetric("retries"), *self._offer_next(req, now)]

    def _retry_order(self, req: EntryRequest, pool: PoolId) -> tuple[bool, bool]:
        """Return the sort key that puts pools with a failed attempt last within their region."""
        assert req.placement is not None
        in_other_region = self._region_of_zone.get(pool.zone) != req.placement.region
        return in_other_region, pool in req.failed_pools

    def _forget_attempt(self, req: EntryRequest, *, ran: bool) -> None:
        self._request_ids.pop(req.ticket_id, None)
        req.owner = VmId("")
        req.owner_was_reachable = False
        if req.upstream:
            req.avoid = (*req.avoid, req.upstream)
        req.body_sent = False
        req.ran_before = req.ran_before or ran

    def _cancel(self, request_id: RequestId, now: float) -> list[Effect]:
        req = self._requests.pop(request_id, None)
        if req is None:
            return []
        self._request_ids.pop(req.ticket_id, None)
        effects: list[Effect] = [CancelTicket(req.ticket_id)] if req.ticket_id else []
        may_have_run = req.may_have_run
        effects += self._cancel_silent_tickets(req)
        return effects + self._end_claim(req, ran=may_have_run, now=now)

    def _handle_answer_start(self, event: AnswerStarted) -> list[Effect]:
        """Cancel the other attempts of a request whose caller receives an answer from now on."""
        req = self._request(event.ticket_id)
        if req is None:
            return []
        req.answer_started = True
        return self._keep_only(req, event.ticket_id)

    def _keep_only(self, req: EntryRequest, ticket_id: TicketId) -> list[Effect]:
        """Cancel every attempt of a request but one, which becomes its current attempt."""
        effects: list[Effect] = []
        if ticket_id in req.silent_tickets:
            if self._request_ids.pop(req.ticket_id, None) is not None:
                effects.append(CancelTicket(req.ticket_id))
            req.silent_tickets = tuple(t for t in req.silent_tickets if t != ticket_id)
            req.ticket_id = ticket_id
            req.owner = VmId("")
            req.body_sent = True
            req.resume_at = float("inf")
            req.given_up_reason = None
        return effects + self._cancel_silent_tickets(req)

    def _cancel_silent_tickets(self, req: EntryRequest) -> list[Effect]:
        for ticket_id in req.silent_tickets:
            self._request_ids.pop(ticket_id, None)
        effects: list[Effect] = [CancelTicket(ticket_id) for ticket_id in req.silent_tickets]
        req.silent_tickets = ()
        return effects

    def _forget_silent_ticket(
        self, req: EntryRequest, ticket_id: TicketId, *, ran: bool, now: float
    ) -> list[Effect]:
        """Forget a silent owner's attempt that ended without an answer."""
        req.ran_before = req.ran_before or ran
        del self._request_ids[ticket_id]
        req.silent_tickets = tuple(t for t in req.silent_tickets if t != ticket_id)
        if req.given_up_reason is None or req.silent_tickets:
            return []
        return self._finish(req, self._refusal_outcome(req), req.given_up_reason, now)

    def _give_up(self, req: EntryRequest, reason: RefusalReason, now: float) -> list[Effect]:
        """Finish a request that is not offered again, unless a silent owner may still answer."""
        if req.silent_tickets and now < req.deadline:
            req.given_up_reason = reason
            return []
        return self._finish(req, self._refusal_outcome(req), reason, now)

    def _finish_overdue(self, now: float) -> list[Effect]:
        overdue = [r for r in self._requests.values() if now >= r.deadline + OWNER_REPLY_GRACE_S]
        effects: list[Effect] = []
        for req in overdue:
            if req.ticket_id:
                effects.append(CancelTicket(req.ticket_id))
            outcome = self._refusal_outcome(req)
            effects.extend(self._finish(req, outcome, RefusalReason.DEADLINE, now))
        return effects

    def _reassign_silent_owners(self, now: float) -> list[Effect]:
        """Offer the requests of owners whose heartbeats have stopped since the offer elsewhere.

        Heartbeats show nothing about a stream that is open, so a request that was sent stays with
        its owner as well: its answer may still arrive.
        """
        silent = {req.owner for req in self._requests.values() if req.owner_was_reachable}
        silent = {vm for vm in silent if not self._is_reachable(vm, now)}
        if not silent:
            return []
        effects: list[Effect] = []
        for req in [req for req in self._requests.values() if req.owner in silent]:
            if not req.owner_was_reachable or req.answer_started:
                continue
            if req.body_sent and req.repeatable:
                ticket_id = req.ticket_id
                self._forget_attempt(req, ran=False)
                self._request_ids[ticket_id] = req.event.request_id
                req.silent_tickets = (*req.silent_tickets, ticket_id)
                req.failed_pools = (*req.failed_pools, req.pool)
                effects.extend(self._retry(req, now))
            elif not req.body_sent:
                effects.append(CancelTicket(req.ticket_id))
                refused = Refused(req.ticket_id, RefusalReason.UNREACHABLE)
                effects.extend(self._handle_refusal(refused, now))
        return effects

    def _refusal_outcome(self, req: EntryRequest) -> Outcome:
        """Return the outcome of a request that is not offered again: not run, or unknown."""
        claim_pending = bool(req.event.key) and not req.repeatable and not req.claimed
        return Outcome.UNKNOWN if req.may_have_run or claim_pending else Outcome.NOT_RUN

    def _finish(
        self, req: EntryRequest, outcome: Outcome, reason: RefusalReason | None, now: float
    ) -> list[Effect]:
        request_id = req.event.request_id
        is_truthful = outcome != Outcome.NOT_RUN or not req.may_have_run
        effects = check(
            Invariant.NOT_RUN,
            is_truthful,
            f"{request_id} is reported as not run although it may have run",
        )
        effects += check(
            Invariant.ONE_END, request_id in self._requests, f"{request_id} is finished twice"
        )
        self._requests.pop(request_id, None)
        self._request_ids.pop(req.ticket_id, None)
        retry_after_s = 0.0
        if outcome != Outcome.ANSWERED:
            retry_after_s = (req.retry_after_s or DEFAULT_RETRY_AFTER_S) * self._rng.uniform(
                1.0, 1.5
            )
        effects.extend(self._cancel_silent_tickets(req))
        effects.append(FinishRequest(request_id, outcome, req.ticket_id, reason, retry_after_s))
        return effects + self._end_claim(req, ran=outcome != Outcome.NOT_RUN, now=now)

    def _end_claim(self, req: EntryRequest, *, ran: bool, now: float) -> list[Effect]:
        if not req.event.key or req.repeatable:
            return []
        ran = ran and req.claimed
        return self._claims.handle_request_end(req.event.key, req.event.request_id, ran, now)

    def _request(self, ticket_id: TicketId) -> EntryRequest | None:
        request_id = self._request_ids.get(ticket_id)
        return self._requests.get(request_id) if request_id is not None else None
