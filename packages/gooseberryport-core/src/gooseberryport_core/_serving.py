"""The owned pools at work: grants, refusals, reservations and what happens later."""

from __future__ import annotations

import random
from enum import Enum

import msgspec

from gooseberryport_core._invariants import Invariant, check
from gooseberryport_core._links import Links
from gooseberryport_core._pool import Pool
from gooseberryport_core._pulls import RESERVATION_S, Pulls
from gooseberryport_core._tickets import Entry, TicketState
from gooseberryport_core._timers import Timers
from gooseberryport_core._views import Holding, Owners, Peers
from gooseberryport_core.effects import Effect, SendTicketReply
from gooseberryport_core.messages import Granted, Moved, Pull, Refused, Ticket
from gooseberryport_core.settings import NodeSettings
from gooseberryport_core.types import Epoch, PoolId, RefusalReason, TicketId, UpstreamId

GRANT_TIMEOUT_S = 0.5
"""Time that a granted slot waits for the body; seconds."""

RETRY_AFTER_FLOOR_S = 0.05
"""Shortest time after which asking again makes sense; seconds."""


class TimerKind(Enum):
    """What a timer is for."""

    GRANT = "grant"
    SLOT = "slot"
    ASK = "ask"


class Timer(msgspec.Struct, frozen=True):
    """Something to do later for a ticket, an upstream of a pool or an ask."""

    kind: TimerKind
    pool_id: PoolId
    upstream: UpstreamId
    ticket_id: TicketId = TicketId("")
    serial: int = 0


def refusal(entry: Entry, reason: RefusalReason, retry_after_s: float = 0.0) -> SendTicketReply:
    """Return the reply that refuses a ticket; seconds."""
    return SendTicketReply(entry.origin, Refused(entry.ticket.ticket_id, reason, retry_after_s))


class Serving:
    """Hold the pools and tickets of one owner and serve them.

    Parameters
    ----------
    settings, owners, peers, rng
        As for `Admission`.
    """

    def __init__(
        self, *, settings: NodeSettings, owners: Owners, peers: Peers, rng: random.Random
    ) -> None:
        self._owners = owners
        self._rng = rng
        self.pools: dict[PoolId, Pool] = {}
        self.entries: dict[TicketId, Entry] = {}
        self.timers: Timers[Timer] = Timers()
        self.pulls = Pulls(settings=settings, owners=owners, peers=peers, rng=rng)
        self.links = Links()
        self.wall_offset = 0.0

    def holding(self, pool: Pool, now: float) -> Holding | None:
        """Return the holding of a pool if its lease is valid at this moment."""
        holding = self._owners.holding(pool.pool_id, now)
        if holding is None or now >= holding.valid_until:
            return None
        return holding

    def wall(self, now: float) -> float:
        """Return the wall clock; seconds since 1970-01-01 UTC."""
        return now + self.wall_offset

    def promise(self, ticket: Ticket, now: float) -> bool:
        """Count a ticket's bytes on the links; return whether there is room for them."""
        sizes = (ticket.body_bytes, ticket.answer_bytes)
        return self.links.promise(ticket.pool, ticket.source, *sizes, now)

    def settle(self, ticket: Ticket, now: float) -> None:
        """Take back what was counted on the links for a ticket."""
        sizes = (ticket.body_bytes, ticket.answer_bytes)
        self.links.settle(ticket.pool, ticket.source, *sizes, now)

    def forget(self, entry: Entry, now: float) -> None:
        """Let a ticket go that has ended here."""
        del self.entries[entry.ticket.ticket_id]
        self.settle(entry.ticket, now)

    def retry_after_s(self, wait_s: float) -> float:
        """Return after how long a refused caller should ask again, with jitter; seconds."""
        return max(RETRY_AFTER_FLOOR_S, wait_s) * self._rng.uniform(1.0, 1.5)

    def serve(self, pool: Pool, now: float) -> list[Effect]:
        """Grant free slots to the tickets that wait; refuse those that wait in vain."""
        if not pool.queue and pool.free_upstream(now, self.wall(now)) is None:
            return []
        holding = self.holding(pool, now)
        if holding is None:
            return self.refuse_all(pool, RefusalReason.LEASE_LAPSED, now)
        if pool.usable(now, self.wall(now)) == 0:
            return self.refuse_all(pool, RefusalReason.NO_UPSTREAM, now)
        effects: list[Effect] = []
        for entry in pool.queue.pop_expired(now):
            effects.extend(self.refuse(entry, RefusalReason.DEADLINE, 0.0, now))
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
                effects.extend(self.refuse(entry, RefusalReason.NOT_OWNER, 0.0, now))
                continue
            pool.slots.take(upstream)
            effects.extend(self.grant(pool, entry, upstream, now))
        if not pool.queue:
            effects.extend(self._ask(pool, holding, now))
        return effects

    def _free_upstream(
        self, pool: Pool, avoid: tuple[UpstreamId, ...], now: float
    ) -> UpstreamId | None:
        """Return a free upstream, taking a slot back that is kept for an unanswered ask."""
        upstream = pool.free_upstream(now, self.wall(now), avoid)
        if upstream is not None:
            return upstream
        ask = self.pulls.pop_unanswered(pool.pool_id)
        if ask is None:
            return None
        pool.slots.release(ask.upstream)
        return pool.free_upstream(now, self.wall(now))

    def _ask(self, pool: Pool, holding: Holding, now: float) -> list[Effect]:
        """Ask others for work, once for each free slot and request believed to wait."""
        effects: list[Effect] = []
        while (upstream := pool.free_upstream(now, self.wall(now))) is not None:
            if pool.health.looks_bad(upstream):
                break
            own = self._own_behind(pool)
            target = own.pool_id if own is not None else self.pulls.target(pool.pool_id, now)
            if target is None:
                break
            pool.slots.take(upstream)
            serial = self.pulls.keep(pool.pool_id, upstream, target, now)
            timer = Timer(TimerKind.ASK, pool.pool_id, upstream, serial=serial)
            self.timers.add(now + RESERVATION_S, timer)
            if own is None:
                effects.extend(self.pulls.send_ask(serial, holding.epoch))
                continue
            effects.append(self._move(own.queue.pop(), pool.pool_id, holding.epoch, upstream, now))
        return effects

    def _own_behind(self, pool: Pool) -> Pool | None:
        """Return another pool of this daemon whose queue is the longest, or None."""
        behind = [
            other
            for pool_id, other in self.pools.items()
            if pool_id.service == pool.pool_id.service and other is not pool and other.queue
        ]
        return max(behind, key=lambda other: len(other.queue)) if behind else None

    def _move(
        self, entry: Entry, offer: PoolId, epoch: Epoch, upstream: UpstreamId, now: float
    ) -> Effect:
        """Send a waiting ticket to a slot that is kept for it elsewhere."""
        ticket_id = entry.ticket.ticket_id
        self.forget(entry, now)
        owner = self._owners.owner_of(offer)
        assert owner is not None
        moved = Moved(ticket_id, owner.vm, offer, epoch, upstream)
        return SendTicketReply(entry.origin, moved)

    def answer_ask(self, pull: Pull, now: float) -> list[Effect]:
        """Answer an ask with the earliest ticket that gains from the move, or with nothing."""
        pool = self.pools.get(pull.pool)
        owner = self._owners.owner_of(pull.offer_pool)
        known = owner is not None and owner.epoch == pull.offer_epoch
        nothing = TicketId("")
        if pool is None or not known or not self.pulls.is_new(pull):
            return self.pulls.reply(pull, nothing, 0)
        place = self.pulls.gain_rank(
            pull, pool.service_time.mean_s, pool.usable(now, self.wall(now))
        )
        entry = pool.queue.peek(place)
        if entry is None or entry.deadline <= now:
            return self.pulls.reply(pull, nothing, 0)
        ticket_id = entry.ticket.ticket_id
        pool.queue.remove(ticket_id)
        moved = self._move(entry, pull.offer_pool, pull.offer_epoch, pull.upstream, now)
        return [moved, *self.pulls.reply(pull, ticket_id, len(pool.queue))]

    def end_ask(self, serial: int, now: float) -> list[Effect]:
        """Free the slot of a reservation that is over."""
        ask = self.pulls.pop_ended(serial, now)
        if ask is None:
            return []
        pool = self.pools[ask.pool]
        pool.slots.release(ask.upstream)
        return self.serve(pool, now)

    def grant(self, pool: Pool, entry: Entry, upstream: UpstreamId, now: float) -> list[Effect]:
        """Grant a ticket a slot that is taken for it."""
        ticket_id = entry.ticket.ticket_id
        entry.state = TicketState.GRANTED
        entry.upstream = upstream
        timer = Timer(TimerKind.GRANT, pool.pool_id, upstream, ticket_id)
        self.timers.add(min(now + GRANT_TIMEOUT_S, entry.deadline), timer)
        effects = self._check_slots(pool, upstream)
        effects.append(SendTicketReply(entry.origin, Granted(ticket_id, upstream)))
        return effects

    def _check_slots(self, pool: Pool, upstream: UpstreamId) -> list[Effect]:
        taken = pool.slots.taken(upstream)
        limit = pool.limit(upstream)
        detail = f"{upstream} has {taken} requests in {limit} slots"
        return check(Invariant.SLOTS, taken <= limit, detail)

    def withdraw(self, pool: Pool, entry: Entry, reason: RefusalReason, now: float) -> list[Effect]:
        """Take a grant back before anything ran."""
        pool.slots.release(entry.upstream)
        return self.refuse(entry, reason, 0.0, now) + self.serve(pool, now)

    def run_timers(self, now: float) -> list[Effect]:
        """Do what is due."""
        effects: list[Effect] = []
        while (timer := self.timers.pop_due(now)) is not None:
            pool = self.pools[timer.pool_id]
            if timer.kind is TimerKind.SLOT:
                pool.slots.settle(timer.upstream, now)
                effects.extend(self.serve(pool, now))
                continue
            if timer.kind is TimerKind.ASK:
                effects.extend(self.end_ask(timer.serial, now))
                continue
            entry = self.entries.get(timer.ticket_id)
            if entry is not None and entry.state is TicketState.GRANTED:
                effects.extend(self.withdraw(pool, entry, RefusalReason.CANCELLED, now))
        return effects

    def refuse(
        self, entry: Entry, reason: RefusalReason, wait_s: float, now: float
    ) -> list[Effect]:
        """Refuse a ticket that is held here."""
        self.forget(entry, now)
        return [refusal(entry, reason, self.retry_after_s(wait_s))]

    def refuse_all(self, pool: Pool, reason: RefusalReason, now: float) -> list[Effect]:
        """Refuse every ticket that waits in a pool."""
        effects: list[Effect] = []
        for entry in pool.queue.pop_all():
            effects.extend(self.refuse(entry, reason, 0.0, now))
        return effects
