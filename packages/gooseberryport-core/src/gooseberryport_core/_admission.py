"""Who may use a slot (thin form: first free slot, else wait in deadline order)."""

from __future__ import annotations

import random

import msgspec

from gooseberryport_core._views import Owners, Peers
from gooseberryport_core.config import Config, pools_of, slots_of
from gooseberryport_core.effects import CancelUpstream, Effect, SendTicketReply, StartUpstream
from gooseberryport_core.events import (
    BodyArrived,
    Event,
    Tick,
    TicketArrived,
    TicketCancelled,
    UpstreamFinished,
)
from gooseberryport_core.messages import Granted, PoolLoad, Refused, Ticket
from gooseberryport_core.settings import NodeSettings
from gooseberryport_core.types import PoolId, RefusalReason, RequestId, TicketId, UpstreamId, VmId


class _Entry(msgspec.Struct):
    """One ticket at this owner."""

    ticket: Ticket
    origin: VmId
    arrived_at: float
    deadline: float
    upstream: UpstreamId = UpstreamId("")
    running: bool = False


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
        self._pools: dict[PoolId, tuple[UpstreamId, ...]] = {}
        self._entries: dict[TicketId, _Entry] = {}

    def configure(self, cfg: Config, now: float) -> list[Effect]:
        """Take a newer configuration."""
        self._cfg = cfg
        self._pools = pools_of(cfg)
        return []

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Handle an event."""
        if isinstance(event, TicketArrived):
            return self._offer(event, now)
        if isinstance(event, BodyArrived):
            return self._start(event.ticket_id, now)
        if isinstance(event, TicketCancelled):
            return self._cancel(event.ticket_id, now)
        if isinstance(event, UpstreamFinished):
            self._entries.pop(event.ticket_id, None)
            return self._grant_waiting(now)
        if isinstance(event, Tick):
            return self._expire(now) + self._grant_waiting(now)
        return []

    def loads(self, now: float) -> tuple[PoolLoad, ...]:
        """Return the load of each pool that this daemon owns."""
        return tuple(
            PoolLoad(
                pool,
                holding.epoch,
                sum(slots_of(self._cfg, name) for name in self._pools.get(pool, ())),
                sum(self._in_use(name) for name in self._pools.get(pool, ())),
                len(self._waiting(pool)),
                0.0,
            )
            for pool, holding in self._owners.holdings(now).items()
        )

    @property
    def idle(self) -> bool:
        """Whether no ticket is held here."""
        return not self._entries

    def _in_use(self, upstream: UpstreamId) -> int:
        return sum(1 for entry in self._entries.values() if entry.upstream == upstream)

    def _waiting(self, pool: PoolId) -> list[_Entry]:
        found = [e for e in self._entries.values() if e.ticket.pool == pool and not e.upstream]
        return sorted(found, key=lambda entry: entry.deadline)

    def _free_upstream(self, pool: PoolId) -> UpstreamId | None:
        free = [u for u in self._pools.get(pool, ()) if self._in_use(u) < slots_of(self._cfg, u)]
        return min(free, key=self._in_use) if free else None

    def _offer(self, event: TicketArrived, now: float) -> list[Effect]:
        ticket = event.ticket
        if self._owners.holding(ticket.pool, now) is None:
            return [SendTicketReply(event.vm, Refused(ticket.ticket_id, RefusalReason.NOT_OWNER))]
        self._entries[ticket.ticket_id] = _Entry(ticket, event.vm, now, now + ticket.remaining_s)
        return self._grant_waiting(now)

    def _grant_waiting(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        for pool in {entry.ticket.pool for entry in self._entries.values() if not entry.upstream}:
            for entry in self._waiting(pool):
                upstream = self._free_upstream(pool)
                if upstream is None:
                    break
                entry.upstream = upstream
                granted = Granted(entry.ticket.ticket_id, upstream)
                effects.append(SendTicketReply(entry.origin, granted))
        return effects

    def _start(self, ticket_id: TicketId, now: float) -> list[Effect]:
        entry = self._entries.get(ticket_id)
        if entry is None:
            return []
        entry.running = True
        address = self._cfg.upstreams[entry.upstream].address
        timeout_s = max(entry.deadline - now, 0.001)
        fresh = not entry.ticket.repeatable
        return [StartUpstream(ticket_id, RequestId(""), entry.upstream, address, timeout_s, fresh)]

    def _cancel(self, ticket_id: TicketId, now: float) -> list[Effect]:
        entry = self._entries.get(ticket_id)
        if entry is None:
            return []
        if entry.running:
            return [CancelUpstream(ticket_id)]
        del self._entries[ticket_id]
        return self._grant_waiting(now)

    def _expire(self, now: float) -> list[Effect]:
        late = [e for e in self._entries.values() if not e.upstream and e.deadline <= now]
        effects: list[Effect] = []
        for entry in late:
            del self._entries[entry.ticket.ticket_id]
            refused = Refused(entry.ticket.ticket_id, RefusalReason.DEADLINE)
            effects.append(SendTicketReply(entry.origin, refused))
        return effects
