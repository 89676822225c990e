"""Granting, refusing and moving the tickets of the owned pools, with the timers that this needs."""

from __future__ import annotations

import random
from enum import Enum

import msgspec

from gooseberryport_core._held_tickets import HeldTicket, TicketState
from gooseberryport_core._invariants import Invariant, check
from gooseberryport_core._links import Links
from gooseberryport_core._pool import Pool
from gooseberryport_core._pulls import RESERVATION_TTL_S, Pulls
from gooseberryport_core._timers import Timers
from gooseberryport_core._views import Holding, Owners, Peers
from gooseberryport_core.effects import Effect, SendTicketReply
from gooseberryport_core.messages import Granted, Moved, Pull, Refused, Ticket
from gooseberryport_core.settings import NodeSettings
from gooseberryport_core.types import Epoch, PoolId, RefusalReason, TicketId, UpstreamId

GRANT_TIMEOUT_S = 0.5
"""Time that a granted slot waits for the request's body; seconds."""

MIN_RETRY_AFTER_S = 0.05
"""Minimum time after which a refused caller may retry; seconds."""


class TimerKind(Enum):
    """Kind of timeout: of a granted ticket, a lingering slot or a reservation."""

    GRANT = "grant"
    SLOT = "slot"
    RESERVATION = "reservation"


class Timer(msgspec.Struct, frozen=True):
    """A timeout of a granted ticket, a lingering slot or a reservation."""

    kind: TimerKind
    pool_id: PoolId
    upstream: UpstreamId
    ticket_id: TicketId = TicketId("")
    serial: int = 0


def refusal(held: HeldTicket, reason: RefusalReason, retry_after_s: float = 0.0) -> SendTicketReply:
    """Return the reply that refuses a ticket; `retry_after_s` is in seconds."""
    return SendTicketReply(held.origin, Refused(held.ticket.ticket_id, reason, retry_after_s))


class Serving:
    """Holds the pools and tickets of one owner and grants slots to the tickets.

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
        self.held_tickets: dict[TicketId, HeldTicket] = {}
        self.timers: Timers[Timer] = Timers()
        self.pulls = Pulls(settings=settings, owners=owners, peers=peers, rng=rng)
        self.links = Links()
        self.wall_offset = 0.0

    def holding(self, pool: Pool, now: float) -> Holding | None:
        """Return the holding of a pool if its lease is valid at `now`, else None."""
        holding = self._owners.holding(pool.pool_id, now)
        if holding is None or now >= holding.valid_until:
            return None
        return holding

    def wall(self, now: float) -> float:
        """Return the wall clock; seconds since 1970-01-01 UTC."""
        return now + self.wall_offset

    def reserve_link_bytes(self, ticket: Ticket, now: float) -> bool:
        """Reserve link capacity for a ticket's body and answer; return whether there was enough."""
        sizes = (ticket.body_bytes, ticket.answer_bytes)
        return self.links.reserve_expected(ticket.pool, ticket.source, *sizes, now)

    def release_link_bytes(self, ticket: Ticket, now: float) -> None:
        """Release the link capacity that was reserved for a ticket."""
        sizes = (ticket.body_bytes, ticket.answer_bytes)
        self.links.release_expected(ticket.pool, ticket.source, *sizes, now)

    def forget(self, held: HeldTicket, now: float) -> None:
        """Remove a ticket that has ended at this owner, and release its link capacity."""
        del self.held_tickets[held.ticket.ticket_id]
        self.release_link_bytes(held.ticket, now)

    def retry_after_s(self, wait_s: float) -> float:
        """Return how long a refused caller should wait before a retry, with jitter; seconds."""
        return max(MIN_RETRY_AFTER_S, wait_s) * self._rng.uniform(1.0, 1.5)

    def serve(self, pool: Pool, now: float) -> list[Effect]:
        """Grant free slots to waiting tickets; refuse those that can no longer be served."""
        if not pool.queue and pool.free_upstream(now, self.wall(now)) is None:
            return []
        holding = self.holding(pool, now)
        if holding is None:
            return self.refuse_all(pool, RefusalReason.LEASE_LAPSED, now)
        if pool.usable_slots(now, self.wall(now)) == 0:
            return self.refuse_all(pool, RefusalReason.NO_UPSTREAM, now)
        effects: list[Effect] = []
        for held in pool.queue.pop_expired(now):
            effects.extend(self.refuse(held, RefusalReason.DEADLINE, 0.0, now))
        if now < holding.former_work_until:
            return effects
        while pool.queue:
            head = pool.queue.head
            assert head is not None
            upstream = self._choose_upstream(pool, head.ticket.avoid, now)
            if upstream is None:
                break
            held = pool.queue.pop()
            if held.ticket.epoch != holding.epoch:
                effects.extend(self.refuse(held, RefusalReason.NOT_OWNER, 0.0, now))
                continue
            pool.slots.take(upstream)
            effects.extend(self.grant(pool, held, upstream, now))
        if not pool.queue:
            effects.extend(self._pull_work(pool, holding, now))
        return effects

    def _choose_upstream(
        self, pool: Pool, avoid: tuple[UpstreamId, ...], now: float
    ) -> UpstreamId | None:
        """Return an upstream with a free slot, or None.

        If no slot is free, the reservation of a pull without a reply is ended to free one.
        """
        upstream = pool.free_upstream(now, self.wall(now), avoid)
        if upstream is not None:
            return upstream
        reservation = self.pulls.pop_unanswered_reservation(pool.pool_id)
        if reservation is None:
            return None
        pool.slots.release(reservation.upstream)
        return pool.free_upstream(now, self.wall(now))

    def _pull_work(self, pool: Pool, holding: Holding, now: float) -> list[Effect]:
        """Pull tickets from other pools, one for each free slot and estimated queued request."""
        effects: list[Effect] = []
        while (upstream := pool.free_upstream(now, self.wall(now))) is not None:
            if pool.health.is_unhealthy(upstream):
                break
            own_pool = self._longest_own_queue(pool)
            target = (
                own_pool.pool_id
                if own_pool is not None
                else self.pulls.choose_target(pool.pool_id, now)
            )
            if target is None:
                break
            pool.slots.take(upstream)
            serial = self.pulls.reserve(pool.pool_id, upstream, target, now)
            timer = Timer(TimerKind.RESERVATION, pool.pool_id, upstream, serial=serial)
            self.timers.add(now + RESERVATION_TTL_S, timer)
            if own_pool is None:
                effects.extend(self.pulls.send_pull(serial, holding.epoch))
                continue
            effects.append(
                self._move(own_pool.queue.pop(), pool.pool_id, holding.epoch, upstream, now)
            )
        return effects

    def _longest_own_queue(self, pool: Pool) -> Pool | None:
        """Return the other pool of this daemon and service with the longest queue, or None."""
        candidates = [
            other
            for pool_id, other in self.pools.items()
            if pool_id.service == pool.pool_id.service and other is not pool and other.queue
        ]
        return max(candidates, key=lambda other: len(other.queue)) if candidates else None

    def _move(
        self, held: HeldTicket, offer_pool: PoolId, epoch: Epoch, upstream: UpstreamId, now: float
    ) -> Effect:
        """Redirect a waiting ticket to a slot that is reserved for it in another pool."""
        ticket_id = held.ticket.ticket_id
        self.forget(held, now)
        owner = self._owners.owner_of(offer_pool)
        assert owner is not None
        moved = Moved(ticket_id, owner.vm, offer_pool, epoch, upstream)
        return SendTicketReply(held.origin, moved)

    def handle_pull(self, pull: Pull, now: float) -> list[Effect]:
        """Reply to a pull with the first queued ticket that gains time by moving, or with none."""
        pool = self.pools.get(pull.pool)
        owner = self._owners.owner_of(pull.offer_pool)
        is_offer_current = owner is not None and owner.epoch == pull.offer_epoch
        no_ticket = TicketId("")
        if pool is None or not is_offer_current or not self.pulls.is_new_pull(pull):
            return self.pulls.reply(pull, no_ticket, 0)
        index = self.pulls.first_gaining_index(
            pull, pool.service_time.mean_s, pool.usable_slots(now, self.wall(now))
        )
        held = pool.queue.peek(index)
        if held is None or held.deadline <= now:
            return self.pulls.reply(pull, no_ticket, 0)
        ticket_id = held.ticket.ticket_id
        pool.queue.remove(ticket_id)
        moved = self._move(held, pull.offer_pool, pull.offer_epoch, pull.upstream, now)
        return [moved, *self.pulls.reply(pull, ticket_id, len(pool.queue))]

    def end_reservation(self, serial: int, now: float) -> list[Effect]:
        """Free the slot of a reservation that has expired."""
        reservation = self.pulls.pop_expired_reservation(serial, now)
        if reservation is None:
            return []
        pool = self.pools[reservation.pool]
        pool.slots.release(reservation.upstream)
        return self.serve(pool, now)

    def grant(self, pool: Pool, held: HeldTicket, upstream: UpstreamId, now: float) -> list[Effect]:
        """Grant a ticket a slot that was taken for it."""
        ticket_id = held.ticket.ticket_id
        held.state = TicketState.GRANTED
        held.upstream = upstream
        timer = Timer(TimerKind.GRANT, pool.pool_id, upstream, ticket_id)
        self.timers.add(min(now + GRANT_TIMEOUT_S, held.deadline), timer)
        effects = self._check_slots(pool, upstream)
        effects.append(SendTicketReply(held.origin, Granted(ticket_id, upstream)))
        return effects

    def _check_slots(self, pool: Pool, upstream: UpstreamId) -> list[Effect]:
        taken = pool.slots.taken(upstream)
        configured_slots = pool.configured_slots(upstream)
        detail = f"{upstream} has {taken} requests in {configured_slots} slots"
        return check(Invariant.SLOTS, taken <= configured_slots, detail)

    def withdraw(
        self, pool: Pool, held: HeldTicket, reason: RefusalReason, now: float
    ) -> list[Effect]:
        """Revoke a grant before the request was started."""
        pool.slots.release(held.upstream)
        return self.refuse(held, reason, 0.0, now) + self.serve(pool, now)

    def run_timers(self, now: float) -> list[Effect]:
        """Run the timers that are due."""
        effects: list[Effect] = []
        while (timer := self.timers.pop_due(now)) is not None:
            pool = self.pools[timer.pool_id]
            if timer.kind is TimerKind.SLOT:
                pool.slots.release_expired(timer.upstream, now)
                effects.extend(self.serve(pool, now))
                continue
            if timer.kind is TimerKind.RESERVATION:
                effects.extend(self.end_reservation(timer.serial, now))
                continue
            held = self.held_tickets.get(timer.ticket_id)
            if held is not None and held.state is TicketState.GRANTED:
                effects.extend(self.withdraw(pool, held, RefusalReason.CANCELLED, now))
        return effects

    def refuse(
        self, held: HeldTicket, reason: RefusalReason, wait_s: float, now: float
    ) -> list[Effect]:
        """Refuse a ticket that this owner holds."""
        self.forget(held, now)
        return [refusal(held, reason, self.retry_after_s(wait_s))]

    def refuse_all(self, pool: Pool, reason: RefusalReason, now: float) -> list[Effect]:
        """Refuse every waiting ticket of a pool."""
        effects: list[Effect] = []
        for held in pool.queue.pop_all():
            effects.extend(self.refuse(held, reason, 0.0, now))
        return effects
