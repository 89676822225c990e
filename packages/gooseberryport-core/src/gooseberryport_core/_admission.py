"""Who may use a slot: the owner's side of a request."""

from __future__ import annotations

import random
from enum import Enum

import msgspec

from gooseberryport_core._drains import Drains
from gooseberryport_core._health import Evidence
from gooseberryport_core._invariants import Invariant, check
from gooseberryport_core._links import Links
from gooseberryport_core._pool import Pool
from gooseberryport_core._pulls import RESERVATION_S, Pulls
from gooseberryport_core._region_caps import region_shares
from gooseberryport_core._tickets import Entry, TicketState
from gooseberryport_core._timers import Timers
from gooseberryport_core._views import Holding, Owners, Peers
from gooseberryport_core.config import Config, pools_of
from gooseberryport_core.effects import (
    CancelUpstream,
    Effect,
    LogEvent,
    LogLevel,
    SendTicketReply,
    StartUpstream,
)
from gooseberryport_core.events import (
    BodyArrived,
    Event,
    LoadReported,
    MessageArrived,
    Tick,
    TicketArrived,
    TicketCancelled,
    UpstreamFinished,
)
from gooseberryport_core.log_events import LogNumber
from gooseberryport_core.messages import Granted, Moved, PoolLoad, Pull, PullReply, Refused, Ticket
from gooseberryport_core.settings import NodeSettings
from gooseberryport_core.types import (
    AttemptOutcome,
    Epoch,
    PoolId,
    RefusalReason,
    RegionName,
    RequestId,
    ServiceName,
    TicketId,
    UpstreamId,
)

GRANT_TIMEOUT_S = 0.5
"""Time that a granted slot waits for the body; seconds."""

LINGER_GRACE_S = 0.05
"""Time after its deadline until an upstream has surely given a request up; seconds."""

RETRY_AFTER_FLOOR_S = 0.05
"""Shortest time after which asking again makes sense; seconds."""

SERVER_ERROR = 500
"""Lowest HTTP status that speaks against an upstream."""

HASTY_FACTOR = 5.0
"""Mean service times that an attempt must have had for its timeout to mean anything."""

REPORT_TIMEOUT_S = 10.0
"""Age at which an upstream's own report counts for nothing; seconds."""

FIGURES_PERIOD_S = 0.05
"""Time between two looks at the other daemons' load figures; seconds."""

_HARMLESS = (AttemptOutcome.ANSWERED, AttemptOutcome.SHED, AttemptOutcome.NOT_SENT)
"""Ends after which the upstream provably does not run the request."""


class _TimerKind(Enum):
    """What a timer is for."""

    GRANT = "grant"
    SLOT = "slot"
    ASK = "ask"


class _Timer(msgspec.Struct, frozen=True):
    """Something to do later for a ticket, an upstream of a pool or an ask."""

    kind: _TimerKind
    pool_id: PoolId
    upstream: UpstreamId
    ticket_id: TicketId = TicketId("")
    serial: int = 0


class Admission:
    """Grant slots of the owned pools, each to one request at a time.

    Parameters
    ----------
    settings
        Who this daemon is.
    owners
        What ownership knows.
    peers
        What membership knows.
    rng
        Source of random choices.
    """

    def __init__(
        self, *, settings: NodeSettings, owners: Owners, peers: Peers, rng: random.Random
    ) -> None:
        self._settings = settings
        self._owners = owners
        self._peers = peers
        self._rng = rng
        self._cfg = Config()
        self._pools: dict[PoolId, Pool] = {}
        self._entries: dict[TicketId, Entry] = {}
        self._timers: Timers[_Timer] = Timers()
        self._pulls = Pulls(settings=settings, owners=owners, peers=peers, rng=rng)
        self._links = Links()
        self._epochs: dict[PoolId, Epoch] = {}
        self._figures_at = float("-inf")
        self._wall_offset = 0.0
        self._drains = Drains(Config())
        self._warned: tuple[ServiceName, ...] = ()

    def configure(self, cfg: Config, now: float) -> list[Effect]:
        """Take a newer configuration; what runs goes on, also where slots were lowered."""
        self._cfg = cfg
        self._pulls.configure(cfg)
        self._links.configure(cfg, now)
        members = pools_of(cfg)
        shares = region_shares(cfg)
        self._drains = Drains(cfg)
        for pool_id in members:
            self._pools.setdefault(pool_id, Pool(pool_id=pool_id, rng=self._rng))
        effects: list[Effect] = []
        for pool_id, pool in self._pools.items():
            pool.configure(cfg, members.get(pool_id, ()), shares.get(pool_id, 0), self._drains, now)
            effects.extend(self._serve(pool, now))
        return effects

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Handle an event."""
        effects = self._run_timers(now)
        if isinstance(event, TicketArrived):
            effects.extend(self._offer(event, now))
        elif isinstance(event, BodyArrived):
            effects.extend(self._start(event.ticket_id, now))
        elif isinstance(event, TicketCancelled):
            effects.extend(self._cancel(event.ticket_id, now))
        elif isinstance(event, UpstreamFinished):
            effects.extend(self._finish(event, now))
        elif isinstance(event, MessageArrived) and isinstance(event.message, Pull):
            effects.extend(self._asked(event.message, now))
        elif isinstance(event, MessageArrived) and isinstance(event.message, PullReply):
            self._pulls.take_reply(event.message, now)
            effects.extend(self._end_ask(event.message.serial, now))
        elif isinstance(event, LoadReported):
            effects.extend(self._take_report(event, now))
        elif isinstance(event, Tick):
            self._wall_offset = event.wall - now
            effects.extend(self._tick(now))
        return effects

    def reserve_link(
        self, pool: PoolId, destination: RegionName, num_bytes: int, now: float
    ) -> float | None:
        """Reserve room for a piece of an answer that leaves the pool's region.

        Parameters
        ----------
        pool
            Pool that the answer comes from.
        destination
            Region of the entry daemon.
        num_bytes
            Length of the piece.
        now
            Seconds, monotonic.

        Returns
        -------
        float or None
            Seconds to wait before the piece is sent; None if there is no room in time.
        """
        return self._links.reserve(pool, destination, num_bytes, now)

    def loads(self, now: float) -> tuple[PoolLoad, ...]:
        """Return the load of each pool that this daemon owns."""
        found: list[PoolLoad] = []
        for pool_id, holding in self._owners.holdings(now).items():
            pool = self._pools.get(pool_id)
            if pool is not None:
                found.append(_load(pool, holding, now, self._wall(now)))
        return tuple(found)

    def busy(self, pool_id: PoolId) -> bool:
        """Return whether a pool's slots are taken here, or may still be by what was cut off."""
        pool = self._pools.get(pool_id)
        return pool is not None and pool.slots.total > 0

    @property
    def idle(self) -> bool:
        """Whether no ticket is held here."""
        return not self._entries

    def _tick(self, now: float) -> list[Effect]:
        if now >= self._figures_at + FIGURES_PERIOD_S:
            self._figures_at = now
            self._pulls.take_figures(now)
        for pool_id, holding in self._owners.holdings(now).items():
            if self._epochs.get(pool_id) != holding.epoch:
                self._epochs[pool_id] = holding.epoch
                self._links.open_pool(pool_id, now)
        effects = self._warn_of_drains(now)
        for pool in self._pools.values():
            effects.extend(self._serve(pool, now))
        return effects

    def _wall(self, now: float) -> float:
        return now + self._wall_offset

    def _warn_of_drains(self, now: float) -> list[Effect]:
        """Return a warning for each service whose last upstream has just been drained."""
        drained = self._drains.services_without_upstreams(self._wall(now))
        new = [service for service in drained if service not in self._warned]
        self._warned = drained
        return [
            LogEvent(
                LogNumber.SERVICE_DRAINED,
                LogLevel.WARNING,
                "drains leave a service no upstream",
                {"service": service},
            )
            for service in new
        ]

    def _take_report(self, event: LoadReported, now: float) -> list[Effect]:
        """Take an upstream's word that it leaves; the rest of a report weighs nothing here."""
        upstream = self._cfg.upstreams.get(event.upstream)
        if upstream is None or event.age_s > REPORT_TIMEOUT_S:
            return []
        effects: list[Effect] = []
        for pool in self._pools.values():
            if pool.address(event.upstream) is None:
                continue
            if event.leaving:
                pool.leaving.add(event.upstream)
            else:
                pool.leaving.discard(event.upstream)
            effects.extend(self._serve(pool, now))
        return effects

    def _holding(self, pool: Pool, now: float) -> Holding | None:
        holding = self._owners.holding(pool.pool_id, now)
        if holding is None or now >= holding.valid_until:
            return None
        return holding

    def _offer(self, event: TicketArrived, now: float) -> list[Effect]:
        ticket = event.ticket
        if ticket.ticket_id in self._entries:
            return []
        entry = Entry(ticket, event.vm, now, now + ticket.remaining_s)
        pool = self._pools.get(ticket.pool)
        holding = self._holding(pool, now) if pool is not None else None
        if pool is None or holding is None or holding.epoch != ticket.epoch:
            return [_refusal(entry, RefusalReason.NOT_OWNER)]
        if not self._promise(ticket, now):
            return [_refusal(entry, RefusalReason.LINK_FULL, self._retry_after_s(0.0))]
        if self._pulls.redeem(ticket.pool, ticket.reserved):
            self._entries[ticket.ticket_id] = entry
            return self._grant(pool, entry, ticket.reserved, now)
        refusal = self._refuse_early(pool, holding, entry, now)
        if refusal is not None:
            self._settle(ticket, now)
            return [refusal]
        effects = self._make_room(pool, now)
        self._entries[ticket.ticket_id] = entry
        pool.queue.push(entry)
        effects.extend(self._serve(pool, now))
        return effects

    def _promise(self, ticket: Ticket, now: float) -> bool:
        """Count a ticket's bytes on the links; return whether there is room for them."""
        sizes = (ticket.body_bytes, ticket.answer_bytes)
        return self._links.promise(ticket.pool, ticket.source, *sizes, now)

    def _settle(self, ticket: Ticket, now: float) -> None:
        sizes = (ticket.body_bytes, ticket.answer_bytes)
        self._links.settle(ticket.pool, ticket.source, *sizes, now)

    def _forget(self, entry: Entry, now: float) -> None:
        """Let a ticket go that has ended here."""
        del self._entries[entry.ticket.ticket_id]
        self._settle(entry.ticket, now)

    def _refuse_early(
        self, pool: Pool, holding: Holding, entry: Entry, now: float
    ) -> Effect | None:
        """Return the refusal of a ticket that would wait in vain, or None."""
        usable = pool.usable(now, self._wall(now))
        if usable == 0:
            return _refusal(entry, RefusalReason.NO_UPSTREAM)
        wait_s = max(0.0, holding.former_work_until - now)
        if pool.queue or pool.free_upstream(now, self._wall(now)) is None:
            wait_s += pool.service_time.wait_s(pool.queue.rank(entry), usable)
        late_s = wait_s + pool.service_time.mean_s - (entry.deadline - now)
        if late_s >= 0:
            return _refusal(entry, RefusalReason.DEADLINE, self._retry_after_s(late_s))
        first_try = entry.ticket.first_try
        if pool.queue.full and not (first_try and pool.queue.has_retry):
            return _refusal(entry, RefusalReason.QUEUE_FULL, self._retry_after_s(wait_s))
        return None

    def _make_room(self, pool: Pool, now: float) -> list[Effect]:
        if not pool.queue.full:
            return []
        retry = pool.queue.pop_retry()
        assert retry is not None
        return self._refuse(retry, RefusalReason.QUEUE_FULL, pool.service_time.mean_s, now)

    def _retry_after_s(self, wait_s: float) -> float:
        return max(RETRY_AFTER_FLOOR_S, wait_s) * self._rng.uniform(1.0, 1.5)

    def _serve(self, pool: Pool, now: float) -> list[Effect]:
        """Grant free slots to the tickets that wait; refuse those that wait in vain."""
        if not pool.queue and pool.free_upstream(now, self._wall(now)) is None:
            return []
        holding = self._holding(pool, now)
        if holding is None:
            return self._refuse_all(pool, RefusalReason.LEASE_LAPSED, now)
        if pool.usable(now, self._wall(now)) == 0:
            return self._refuse_all(pool, RefusalReason.NO_UPSTREAM, now)
        effects: list[Effect] = []
        for entry in pool.queue.pop_expired(now):
            effects.extend(self._refuse(entry, RefusalReason.DEADLINE, 0.0, now))
        if now < holding.former_work_until:
            return effects
        while pool.queue:
            head = pool.queue.head
            assert head is not None
            upstream = self._free_upstream(pool, head.ticket.avoid, now)
            if upstream is None:
                break
            entry = pool.queue.pop()
            if entry.ticket.epoch != holding.epoch:
                effects.extend(self._refuse(entry, RefusalReason.NOT_OWNER, 0.0, now))
                continue
            pool.slots.take(upstream)
            effects.extend(self._grant(pool, entry, upstream, now))
        if not pool.queue:
            effects.extend(self._ask(pool, holding, now))
        return effects

    def _free_upstream(
        self, pool: Pool, avoid: tuple[UpstreamId, ...], now: float
    ) -> UpstreamId | None:
        """Return a free upstream, taking a slot back that is kept for an unanswered ask."""
        upstream = pool.free_upstream(now, self._wall(now), avoid)
        if upstream is not None:
            return upstream
        ask = self._pulls.pop_unanswered(pool.pool_id)
        if ask is None:
            return None
        pool.slots.release(ask.upstream)
        return pool.free_upstream(now, self._wall(now))

    def _ask(self, pool: Pool, holding: Holding, now: float) -> list[Effect]:
        """Ask others for work, once for each free slot and request believed to wait."""
        effects: list[Effect] = []
        while (upstream := pool.free_upstream(now, self._wall(now))) is not None:
            if pool.health.looks_bad(upstream):
                break
            own = self._own_behind(pool)
            target = own.pool_id if own is not None else self._pulls.target(pool.pool_id, now)
            if target is None:
                break
            pool.slots.take(upstream)
            serial = self._pulls.keep(pool.pool_id, upstream, target, now)
            timer = _Timer(_TimerKind.ASK, pool.pool_id, upstream, serial=serial)
            self._timers.add(now + RESERVATION_S, timer)
            if own is None:
                effects.extend(self._pulls.send_ask(serial, holding.epoch))
                continue
            effects.append(self._move(own.queue.pop(), pool.pool_id, holding.epoch, upstream, now))
        return effects

    def _own_behind(self, pool: Pool) -> Pool | None:
        """Return another pool of this daemon whose queue is the longest, or None."""
        behind = [
            other
            for pool_id, other in self._pools.items()
            if pool_id.service == pool.pool_id.service and other is not pool and other.queue
        ]
        return max(behind, key=lambda other: len(other.queue)) if behind else None

    def _move(
        self, entry: Entry, offer: PoolId, epoch: Epoch, upstream: UpstreamId, now: float
    ) -> Effect:
        """Send a waiting ticket to a slot that is kept for it elsewhere."""
        ticket_id = entry.ticket.ticket_id
        self._forget(entry, now)
        owner = self._owners.owner_of(offer)
        assert owner is not None
        moved = Moved(ticket_id, owner.vm, offer, epoch, upstream)
        return SendTicketReply(entry.origin, moved)

    def _asked(self, pull: Pull, now: float) -> list[Effect]:
        """Answer an ask with the earliest ticket that gains from the move, or with nothing."""
        pool = self._pools.get(pull.pool)
        owner = self._owners.owner_of(pull.offer_pool)
        known = owner is not None and owner.epoch == pull.offer_epoch
        nothing = TicketId("")
        if pool is None or not known or not self._pulls.is_new(pull):
            return self._pulls.reply(pull, nothing, 0)
        place = self._pulls.gain_rank(
            pull, pool.service_time.mean_s, pool.usable(now, self._wall(now))
        )
        entry = pool.queue.peek(place)
        if entry is None or entry.deadline <= now:
            return self._pulls.reply(pull, nothing, 0)
        ticket_id = entry.ticket.ticket_id
        pool.queue.remove(ticket_id)
        moved = self._move(entry, pull.offer_pool, pull.offer_epoch, pull.upstream, now)
        return [moved, *self._pulls.reply(pull, ticket_id, len(pool.queue))]

    def _end_ask(self, serial: int, now: float) -> list[Effect]:
        ask = self._pulls.pop_ended(serial, now)
        if ask is None:
            return []
        pool = self._pools[ask.pool]
        pool.slots.release(ask.upstream)
        return self._serve(pool, now)

    def _grant(self, pool: Pool, entry: Entry, upstream: UpstreamId, now: float) -> list[Effect]:
        ticket_id = entry.ticket.ticket_id
        entry.state = TicketState.GRANTED
        entry.upstream = upstream
        timer = _Timer(_TimerKind.GRANT, pool.pool_id, upstream, ticket_id)
        self._timers.add(min(now + GRANT_TIMEOUT_S, entry.deadline), timer)
        effects = self._check_slots(pool, upstream)
        effects.append(SendTicketReply(entry.origin, Granted(ticket_id, upstream)))
        return effects

    def _check_slots(self, pool: Pool, upstream: UpstreamId) -> list[Effect]:
        taken = pool.slots.taken(upstream)
        limit = pool.limit(upstream)
        detail = f"{upstream} has {taken} requests in {limit} slots"
        return check(Invariant.SLOTS, taken <= limit, detail)

    def _start(self, ticket_id: TicketId, now: float) -> list[Effect]:
        entry = self._entries.get(ticket_id)
        if entry is None or entry.state is not TicketState.GRANTED:
            return []
        pool = self._pools[entry.ticket.pool]
        service = self._cfg.services.get(entry.ticket.pool.service)
        address = pool.address(entry.upstream)
        if service is None or address is None or not pool.fits(entry.upstream, self._wall(now)):
            return self._withdraw(pool, entry, RefusalReason.NO_UPSTREAM, now)
        timeout_s = min(entry.deadline - now, service.max_attempt_s)
        if timeout_s <= 0:
            return self._withdraw(pool, entry, RefusalReason.DEADLINE, now)
        holding = self._holding(pool, now)
        if holding is None or holding.epoch != entry.ticket.epoch:
            return self._withdraw(pool, entry, RefusalReason.LEASE_LAPSED, now)
        entry.state = TicketState.RUNNING
        entry.started_at = now
        entry.expires_at = now + timeout_s
        fresh = not entry.ticket.repeatable
        return [StartUpstream(ticket_id, RequestId(""), entry.upstream, address, timeout_s, fresh)]

    def _withdraw(
        self, pool: Pool, entry: Entry, reason: RefusalReason, now: float
    ) -> list[Effect]:
        """Take a grant back before anything ran."""
        pool.slots.release(entry.upstream)
        return self._refuse(entry, reason, 0.0, now) + self._serve(pool, now)

    def _cancel(self, ticket_id: TicketId, now: float) -> list[Effect]:
        entry = self._entries.get(ticket_id)
        if entry is None:
            return []
        pool = self._pools[entry.ticket.pool]
        if entry.state is TicketState.RUNNING:
            entry.cancelled_at = min(now, entry.cancelled_at)
            return [CancelUpstream(ticket_id)]
        self._forget(entry, now)
        if entry.state is TicketState.WAITING:
            pool.queue.remove(ticket_id)
            return []
        pool.slots.release(entry.upstream)
        return self._serve(pool, now)

    def _finish(self, event: UpstreamFinished, now: float) -> list[Effect]:
        entry = self._entries.get(event.ticket_id)
        if entry is None or entry.state is not TicketState.RUNNING:
            return []
        self._forget(entry, now)
        pool = self._pools[entry.ticket.pool]
        if event.outcome is AttemptOutcome.ANSWERED and event.status < SERVER_ERROR:
            pool.service_time.add(event.duration_s)
            pool.slots.prove(entry.upstream, entry.started_at)
        evidence = self._evidence(pool, event, entry)
        if evidence is not None:
            pool.health.record(entry.upstream, evidence, now)
        if event.outcome not in _HARMLESS:
            since = min(now, entry.cancelled_at)
            self._linger(pool, entry, since, entry.expires_at + LINGER_GRACE_S)
            return self._serve(pool, now)
        usual_end = entry.started_at + pool.service_time.mean_s
        if evidence is Evidence.GOOD or usual_end <= now:
            pool.slots.release(entry.upstream)
        else:
            self._linger(pool, entry, float("inf"), usual_end)
        return self._serve(pool, now)

    def _evidence(self, pool: Pool, event: UpstreamFinished, entry: Entry) -> Evidence | None:
        """Return what an attempt's end tells of its upstream, or None for nothing."""
        if not event.connected:
            return Evidence.UNREACHABLE
        if event.outcome is AttemptOutcome.ANSWERED:
            return Evidence.FAILED if event.status >= SERVER_ERROR else Evidence.GOOD
        if event.outcome is AttemptOutcome.SHED:
            return Evidence.FAILED
        allowed_s = entry.expires_at - entry.started_at
        cancelled = entry.cancelled_at < entry.expires_at
        hasty = allowed_s < HASTY_FACTOR * pool.service_time.mean_s
        if event.outcome is AttemptOutcome.UNKNOWN and not cancelled and not hasty:
            return Evidence.FAILED
        return None

    def _linger(self, pool: Pool, entry: Entry, since: float, until: float) -> None:
        """Keep a slot taken for a while: the request may run on, or it failed too fast.

        A failure that comes faster than an answer keeps its slot for the usual time, so that it
        draws no more work than an answer does.
        """
        pool.slots.linger(entry.upstream, since, until)
        timer = _Timer(_TimerKind.SLOT, pool.pool_id, entry.upstream)
        self._timers.add(until, timer)

    def _run_timers(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        while (timer := self._timers.pop_due(now)) is not None:
            pool = self._pools[timer.pool_id]
            if timer.kind is _TimerKind.SLOT:
                pool.slots.settle(timer.upstream, now)
                effects.extend(self._serve(pool, now))
                continue
            if timer.kind is _TimerKind.ASK:
                effects.extend(self._end_ask(timer.serial, now))
                continue
            entry = self._entries.get(timer.ticket_id)
            if entry is not None and entry.state is TicketState.GRANTED:
                effects.extend(self._withdraw(pool, entry, RefusalReason.CANCELLED, now))
        return effects

    def _refuse(
        self, entry: Entry, reason: RefusalReason, wait_s: float, now: float
    ) -> list[Effect]:
        self._forget(entry, now)
        return [_refusal(entry, reason, self._retry_after_s(wait_s))]

    def _refuse_all(self, pool: Pool, reason: RefusalReason, now: float) -> list[Effect]:
        effects: list[Effect] = []
        for entry in pool.queue.pop_all():
            effects.extend(self._refuse(entry, reason, 0.0, now))
        return effects


def _refusal(entry: Entry, reason: RefusalReason, retry_after_s: float = 0.0) -> SendTicketReply:
    return SendTicketReply(entry.origin, Refused(entry.ticket.ticket_id, reason, retry_after_s))


def _load(pool: Pool, holding: Holding, now: float, wall: float) -> PoolLoad:
    usable = pool.usable(now, wall)
    head = pool.queue.head
    return PoolLoad(
        pool=pool.pool_id,
        epoch=holding.epoch,
        slots=usable,
        busy=usable if now < holding.former_work_until else pool.slots.total,
        queued=len(pool.queue),
        oldest_s=now - head.arrived_at if head else 0.0,
        service_s=pool.service_time.mean_s,
    )
