"""Admission control at a pool's owner: which tickets get a slot, and when slots are free again."""

from __future__ import annotations

import random

from gooseberryport_core._drains import Drains
from gooseberryport_core._health import Evidence
from gooseberryport_core._held_tickets import HeldTicket, TicketState
from gooseberryport_core._load_estimates import DEFAULT_SERVICE_TIME_S
from gooseberryport_core._network_delays import NetworkDelays
from gooseberryport_core._pool import Pool
from gooseberryport_core._region_caps import region_shares
from gooseberryport_core._serving import Serving, Timer, TimerKind, refusal
from gooseberryport_core._views import Holding, Owners, Peers
from gooseberryport_core.config import Config, pools_of
from gooseberryport_core.effects import (
    CancelUpstreamAttempt,
    Effect,
    LogEvent,
    LogLevel,
    StartUpstreamAttempt,
)
from gooseberryport_core.events import (
    BodyArrived,
    Event,
    LoadReported,
    MessageArrived,
    Tick,
    TicketArrived,
    TicketCancelled,
    UpstreamAttemptEnded,
)
from gooseberryport_core.log_events import LogNumber
from gooseberryport_core.messages import PoolLoad, Pull, PullReply
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
    VmId,
)

UPSTREAM_STOP_GRACE_S = 0.05
"""Time after a request's deadline by which its upstream has stopped working on it; seconds."""

MIN_SERVER_ERROR_STATUS = 500
"""Lowest HTTP status that counts as a failure of the upstream."""

MIN_TIMEOUT_SERVICE_TIMES = 5.0
"""An attempt's timeout counts as a failure only if it was at least this many mean service times."""

MAX_REPORT_AGE_S = 10.0
"""Age from which an upstream's load report is ignored; seconds."""

LOAD_REFRESH_INTERVAL_S = 0.05
"""Time between two reads of the other daemons' pool loads; seconds."""

_OUTCOMES_NOT_RUNNING = (AttemptOutcome.ANSWERED, AttemptOutcome.SHED, AttemptOutcome.NOT_SENT)
"""Outcomes after which the upstream is certainly not running the request."""


class Admission:
    """Grants the slots of the owned pools, each to one request at a time.

    Parameters
    ----------
    settings
        Identity and settings of this daemon.
    owners
        View of pool ownership.
    peers
        View of the other daemons.
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
        self._network_delays = NetworkDelays(Config())
        self._serving = Serving(settings=settings, owners=owners, peers=peers, rng=rng)
        self._epochs: dict[PoolId, Epoch] = {}
        self._loads_refreshed_at = float("-inf")
        self._drains = Drains(Config())
        self._services_warned_of: tuple[ServiceName, ...] = ()

    def configure(self, cfg: Config, now: float) -> list[Effect]:
        """Apply a newer configuration; running requests continue, even if slots were lowered."""
        self._cfg = cfg
        self._network_delays = NetworkDelays(cfg)
        self._serving.pulls.configure(cfg)
        self._serving.links.configure(cfg, now)
        members = pools_of(cfg)
        shares = region_shares(cfg)
        self._drains = Drains(cfg)
        for pool_id in members:
            self._serving.pools.setdefault(pool_id, Pool(pool_id=pool_id, rng=self._rng))
        effects: list[Effect] = []
        for pool_id, pool in self._serving.pools.items():
            pool.configure(cfg, members.get(pool_id, ()), shares.get(pool_id, 0), self._drains, now)
            effects.extend(self._serving.serve(pool, now))
        return effects

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Handle an event."""
        effects = self._serving.run_timers(now)
        if isinstance(event, TicketArrived):
            effects.extend(self._offer(event, now))
        elif isinstance(event, BodyArrived):
            effects.extend(self._start(event.ticket_id, now))
        elif isinstance(event, TicketCancelled):
            effects.extend(self._cancel(event.ticket_id, now))
        elif isinstance(event, UpstreamAttemptEnded):
            effects.extend(self._finish(event, now))
        elif isinstance(event, MessageArrived) and isinstance(event.message, Pull):
            effects.extend(self._serving.handle_pull(event.message, now))
        elif isinstance(event, MessageArrived) and isinstance(event.message, PullReply):
            self._serving.pulls.handle_reply(event.message, now)
            effects.extend(self._serving.end_reservation(event.message.serial, now))
        elif isinstance(event, LoadReported):
            effects.extend(self._record_report(event, now))
        elif isinstance(event, Tick):
            self._serving.wall_offset = event.wall - now
            effects.extend(self._tick(now))
        return effects

    def reserve_link(
        self, pool: PoolId, destination: RegionName, num_bytes: int, now: float
    ) -> float | None:
        """Reserve link capacity for a chunk of an answer that leaves the pool's region.

        Parameters
        ----------
        pool
            Pool whose upstream answers.
        destination
            Region of the entry daemon.
        num_bytes
            Length of the chunk.
        now
            Seconds, monotonic.

        Returns
        -------
        float or None
            Seconds to wait before the chunk is sent; None if the wait would be too long.
        """
        return self._serving.links.reserve(pool, destination, num_bytes, now)

    def loads(self, now: float) -> tuple[PoolLoad, ...]:
        """Return the load of each pool that this daemon owns."""
        found: list[PoolLoad] = []
        for pool_id, holding in self._owners.holdings(now).items():
            pool = self._serving.pools.get(pool_id)
            if pool is not None:
                found.append(_load(pool, holding, now, self._serving.wall(now)))
        return tuple(found)

    def link_bytes(self, source: RegionName, destination: RegionName, now: float) -> int:
        """Return the bytes of answers that this daemon sent over a link in the last second."""
        return self._serving.links.used_bytes(source, destination, now)

    def has_taken_slots(self, pool_id: PoolId) -> bool:
        """Return whether any slot of a pool is taken here, also by attempts that were cut off."""
        pool = self._serving.pools.get(pool_id)
        return pool is not None and pool.slots.total_taken > 0

    @property
    def idle(self) -> bool:
        """Whether this daemon holds no ticket."""
        return not self._serving.held_tickets

    def _tick(self, now: float) -> list[Effect]:
        if now >= self._loads_refreshed_at + LOAD_REFRESH_INTERVAL_S:
            self._loads_refreshed_at = now
            self._serving.pulls.record_loads(now)
        holdings = self._owners.holdings(now)
        for pool_id, holding in holdings.items():
            if self._epochs.get(pool_id) != holding.epoch:
                self._epochs[pool_id] = holding.epoch
                self._serving.links.on_pool_acquired(pool_id, now)
        effects = self._warn_of_drains(now)
        for pool_id, pool in self._serving.pools.items():
            if pool.queue or pool_id in holdings:
                effects.extend(self._serving.serve(pool, now))
        return effects

    def _warn_of_drains(self, now: float) -> list[Effect]:
        """Return a warning for each service whose last upstream was drained since the last call."""
        drained = self._drains.services_without_upstreams(self._serving.wall(now))
        newly_drained = [service for service in drained if service not in self._services_warned_of]
        self._services_warned_of = drained
        return [
            LogEvent(
                LogNumber.SERVICE_DRAINED,
                LogLevel.WARNING,
                "all upstreams of the service are drained",
                {"service": service},
            )
            for service in newly_drained
        ]

    def _record_report(self, event: LoadReported, now: float) -> list[Effect]:
        """Record whether an upstream reports that it is leaving; the rest of a report is unused."""
        upstream = self._cfg.upstreams.get(event.upstream)
        if upstream is None or event.age_s > MAX_REPORT_AGE_S:
            return []
        effects: list[Effect] = []
        for pool in self._serving.pools.values():
            if pool.address(event.upstream) is None:
                continue
            if event.leaving:
                pool.leaving.add(event.upstream)
            else:
                pool.leaving.discard(event.upstream)
            effects.extend(self._serving.serve(pool, now))
        return effects

    def _offer(self, event: TicketArrived, now: float) -> list[Effect]:
        ticket = event.ticket
        if ticket.ticket_id in self._serving.held_tickets:
            return []
        deadline = now + ticket.remaining_s - self._round_trip_s(event.vm, ticket.pool)
        held = HeldTicket(ticket, event.vm, now, deadline)
        pool = self._serving.pools.get(ticket.pool)
        holding = self._serving.holding(pool, now) if pool is not None else None
        if pool is None or holding is None or holding.epoch != ticket.epoch:
            return [refusal(held, RefusalReason.NOT_OWNER)]
        if not self._serving.reserve_link_bytes(ticket, now):
            return [refusal(held, RefusalReason.LINK_FULL, self._serving.retry_after_s(0.0))]
        if self._serving.pulls.consume_reservation(ticket.pool, ticket.reserved):
            self._serving.held_tickets[ticket.ticket_id] = held
            return self._serving.grant(pool, held, ticket.reserved, now)
        refused = self._early_refusal(pool, holding, held, now)
        if refused is not None:
            self._serving.release_link_bytes(ticket, now)
            return [refused]
        effects = self._evict_retry(pool, now)
        self._serving.held_tickets[ticket.ticket_id] = held
        pool.queue.push(held)
        effects.extend(self._serving.serve(pool, now))
        return effects

    def _round_trip_s(self, vm: VmId, pool: PoolId) -> float:
        """Return the network delay of a ticket from its entry daemon and of the answer; seconds."""
        peer = self._peers.peer(vm)
        zone = peer.zone if peer is not None else self._settings.zone
        return 2 * self._network_delays.one_way_s(zone, pool.zone)

    def _early_refusal(
        self, pool: Pool, holding: Holding, held: HeldTicket, now: float
    ) -> Effect | None:
        """Return the refusal of a ticket that can't be served in time, or None."""
        usable = pool.usable_slots(now, self._serving.wall(now))
        if usable == 0:
            return refusal(held, RefusalReason.NO_UPSTREAM)
        wait_s = max(0.0, holding.former_work_until - now)
        if pool.queue or pool.free_upstream(now, self._serving.wall(now)) is None:
            wait_s += pool.service_time.wait_s(pool.queue.rank(held), usable)
        late_s = wait_s + pool.service_time.mean_s - (held.deadline - now)
        if late_s >= 0:
            return refusal(held, RefusalReason.DEADLINE, self._serving.retry_after_s(late_s))
        first_try = held.ticket.first_try
        if pool.queue.is_full and not (first_try and pool.queue.has_retry):
            return refusal(held, RefusalReason.QUEUE_FULL, self._serving.retry_after_s(wait_s))
        return None

    def _evict_retry(self, pool: Pool, now: float) -> list[Effect]:
        if not pool.queue.is_full:
            return []
        retry = pool.queue.pop_retry()
        assert retry is not None
        return self._serving.refuse(retry, RefusalReason.QUEUE_FULL, pool.service_time.mean_s, now)

    def _start(self, ticket_id: TicketId, now: float) -> list[Effect]:
        held = self._serving.held_tickets.get(ticket_id)
        if held is None or held.state is not TicketState.GRANTED:
            return []
        pool = self._serving.pools[held.ticket.pool]
        service = self._cfg.services.get(held.ticket.pool.service)
        address = pool.address(held.upstream)
        if (
            service is None
            or address is None
            or not pool.is_within_limits(held.upstream, self._serving.wall(now))
        ):
            return self._serving.withdraw(pool, held, RefusalReason.NO_UPSTREAM, now)
        timeout_s = min(held.deadline - now, service.max_attempt_s)
        if timeout_s <= 0:
            return self._serving.withdraw(pool, held, RefusalReason.DEADLINE, now)
        holding = self._serving.holding(pool, now)
        if holding is None or holding.epoch != held.ticket.epoch:
            return self._serving.withdraw(pool, held, RefusalReason.LEASE_LAPSED, now)
        held.state = TicketState.RUNNING
        held.started_at = now
        held.expires_at = now + timeout_s
        needs_fresh_connection = not held.ticket.repeatable
        return [
            StartUpstreamAttempt(
                ticket_id, RequestId(""), held.upstream, address, timeout_s, needs_fresh_connection
            )
        ]

    def _cancel(self, ticket_id: TicketId, now: float) -> list[Effect]:
        held = self._serving.held_tickets.get(ticket_id)
        if held is None:
            return []
        pool = self._serving.pools[held.ticket.pool]
        if held.state is TicketState.RUNNING:
            held.cancelled_at = min(now, held.cancelled_at)
            return [CancelUpstreamAttempt(ticket_id)]
        self._serving.forget(held, now)
        if held.state is TicketState.WAITING:
            pool.queue.remove(ticket_id)
            return []
        pool.slots.release(held.upstream)
        return self._serving.serve(pool, now)

    def _finish(self, event: UpstreamAttemptEnded, now: float) -> list[Effect]:
        held = self._serving.held_tickets.get(event.ticket_id)
        if held is None or held.state is not TicketState.RUNNING:
            return []
        self._serving.forget(held, now)
        pool = self._serving.pools[held.ticket.pool]
        if event.outcome is AttemptOutcome.ANSWERED and event.status < MIN_SERVER_ERROR_STATUS:
            pool.service_time.add(event.duration_s)
            pool.slots.release_cancelled_before(held.upstream, held.started_at)
        evidence = self._evidence(pool, event, held)
        if evidence is not None:
            pool.health.record(held.upstream, evidence, now)
        if event.outcome not in _OUTCOMES_NOT_RUNNING:
            since = min(now, held.cancelled_at)
            self._linger(pool, held, since, held.expires_at + UPSTREAM_STOP_GRACE_S)
            return self._serving.serve(pool, now)
        service_s = pool.service_time.mean_s or DEFAULT_SERVICE_TIME_S
        service_end = held.started_at + service_s
        if evidence is Evidence.GOOD or service_end <= now:
            pool.slots.release(held.upstream)
        else:
            self._linger(pool, held, float("inf"), service_end)
        return self._serving.serve(pool, now)

    def _evidence(
        self, pool: Pool, event: UpstreamAttemptEnded, held: HeldTicket
    ) -> Evidence | None:
        """Return the evidence that an attempt's end gives of its upstream's health, or None."""
        if not event.connected:
            return Evidence.UNREACHABLE
        if event.outcome is AttemptOutcome.ANSWERED:
            return Evidence.FAILED if event.status >= MIN_SERVER_ERROR_STATUS else Evidence.GOOD
        if event.outcome is AttemptOutcome.SHED:
            return Evidence.FAILED
        allowed_s = held.expires_at - held.started_at
        was_cancelled = held.cancelled_at < held.expires_at
        timeout_too_short = allowed_s < MIN_TIMEOUT_SERVICE_TIMES * pool.service_time.mean_s
        if event.outcome is AttemptOutcome.UNKNOWN and not was_cancelled and not timeout_too_short:
            return Evidence.FAILED
        return None

    def _linger(self, pool: Pool, held: HeldTicket, since: float, until: float) -> None:
        """Keep a slot taken after its attempt: the request may still run, or it failed too fast.

        An upstream that fails faster than it answers would otherwise free its slots sooner and
        attract more requests than a healthy one, so a failure keeps its slot for the mean service
        time.
        """
        pool.slots.linger(held.upstream, since, until)
        timer = Timer(TimerKind.SLOT, pool.pool_id, held.upstream)
        self._serving.timers.add(until, timer)


def _load(pool: Pool, holding: Holding, now: float, wall: float) -> PoolLoad:
    usable = pool.usable_slots(now, wall)
    head = pool.queue.head
    return PoolLoad(
        pool=pool.pool_id,
        epoch=holding.epoch,
        slots=usable,
        busy=usable if now < holding.former_work_until else pool.slots.total_taken,
        queued=len(pool.queue),
        oldest_s=now - head.arrived_at if head else 0.0,
        service_s=pool.service_time.mean_s,
        failing=pool.health.failing,
    )
