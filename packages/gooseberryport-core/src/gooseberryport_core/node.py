"""The node, which takes all decisions of one daemon: events in, effects out."""

from __future__ import annotations

import random

from gooseberryport_core._admission import Admission
from gooseberryport_core._claims import Claims
from gooseberryport_core._config_sync import ConfigSync
from gooseberryport_core._membership import Membership
from gooseberryport_core._ownership import Ownership
from gooseberryport_core._request import Home
from gooseberryport_core._requests import DEFAULT_RETRY_AFTER_S, Requests
from gooseberryport_core._routing import Router
from gooseberryport_core._shifts import moving_rule
from gooseberryport_core._status_queries import build_status, explain_pools
from gooseberryport_core._views import Component, HeartbeatFacts, Peer
from gooseberryport_core.burn import BurnCounters
from gooseberryport_core.config import Config, pools_of
from gooseberryport_core.effects import (
    CancelTicket,
    ConfigChanged,
    DispatchEvent,
    Effect,
    Exit,
    FinishRequest,
    SendBody,
    SendTicket,
    SendTicketReply,
    StartUpstreamAttempt,
)
from gooseberryport_core.events import (
    AttemptEnded,
    BodyArrived,
    Event,
    PeerUnreachable,
    RequestArrived,
    StopRequested,
    Tick,
    TicketArrived,
    TicketCancelled,
    TicketReplied,
    UpstreamAttemptEnded,
)
from gooseberryport_core.lookup import ClientBlockTable, LookupSnapshot, ZoneOrder, home_region
from gooseberryport_core.messages import Moved, Refused
from gooseberryport_core.settings import NodeSettings
from gooseberryport_core.status import Explanation, StatusPage
from gooseberryport_core.types import (
    Outcome,
    PoolId,
    RefusalReason,
    RegionName,
    RequestId,
    ServiceName,
    TicketId,
    UpstreamId,
    VmId,
    VmState,
)

LEAVING_NOTICE_PEER_TIMEOUTS = 2
"""Peer timeouts after which each peer of a stopping VM has received `VmState.LEAVING` from it or
counts it as unreachable."""

READY_TIMEOUT_S = 3.0
"""Longest time that a new daemon waits until the owners of all pools are known; seconds."""


class Node:
    """Take every decision of one daemon.

    A node opens no socket, reads no clock and starts no thread: the daemon, or a bench, passes in
    events with a time and carries out the returned effects in their order.

    Parameters
    ----------
    settings
        Identity, place and addresses of the daemon.
    rng
        Seeded random source for all random choices.
    """

    def __init__(self, *, settings: NodeSettings, rng: random.Random) -> None:
        self.settings = settings
        self._refuse_from = float("inf")
        self._stopping = False
        self._ready = False
        self._configured_at = float("inf")
        self._local_tickets: dict[TicketId, RequestId] = {}
        self._client_blocks = ClientBlockTable.from_texts({})
        self._zone_order = ZoneOrder(Config())
        self._pools: dict[PoolId, tuple[UpstreamId, ...]] = {}
        self._membership = Membership(settings=settings, rng=rng, facts=self._heartbeat_facts)
        self._ownership = Ownership(
            settings=settings, peers=self._membership, rng=rng, is_busy=self._has_taken_slots
        )
        self._config = ConfigSync(settings=settings, peers=self._membership, rng=rng)
        self._admission = Admission(
            settings=settings, owners=self._ownership, peers=self._membership, rng=rng
        )
        self._claims = Claims(settings=settings, peers=self._membership, rng=rng)
        router = Router(
            settings=settings,
            owners=self._ownership,
            peers=self._membership,
            rng=rng,
            own_loads=self._admission.loads,
        )
        self._requests = Requests(
            settings=settings,
            owners=self._ownership,
            peers=self._membership,
            router=router,
            claims=self._claims,
            home_of=self._home_of,
            rng=rng,
        )
        burn_rng = random.Random(f"{settings.vm}.{settings.incarnation}")
        self._burn = BurnCounters(settings=settings, peers=self._membership, rng=burn_rng)
        self._components: tuple[Component, ...] = (
            self._membership,
            self._ownership,
            self._admission,
            self._claims,
            self._burn,
            self._requests,
        )

    @property
    def cfg(self) -> Config:
        """The configuration in force."""
        return self._config.cfg

    @property
    def ready(self) -> bool:
        """Whether this daemon can serve callers, because it knows where each service runs."""
        return self._ready

    def reserve_link(
        self, pool: PoolId, destination: RegionName, num_bytes: int, now: float
    ) -> float | None:
        """Reserve bandwidth for a piece of an answer on the link to another region.

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
            Seconds to wait before the piece is sent; None if no bandwidth is free in time.
        """
        return self._admission.reserve_link(pool, destination, num_bytes, now)

    def lookup_snapshot(self, now: float) -> LookupSnapshot:
        """Return the snapshot from which look-ups are answered until the next one."""
        peers = [peer for peer in self._membership.live(now) if peer.state == VmState.LIVE]
        if not self._stopping and self.ready:
            peers.append(self._self_peer(now))
        return LookupSnapshot(
            entries=tuple(peer for peer in peers if peer.http_address),
            max_age_s=self.cfg.limits.lookup_max_age_s,
            blocks=self._client_blocks,
            order=self._zone_order,
        )

    def owned_upstreams(self, now: float) -> tuple[UpstreamId, ...]:
        """Return the upstreams of the pools that this daemon owns."""
        holdings = self._ownership.holdings(now)
        return tuple(name for pool in holdings for name in self._pools.get(pool, ()))

    def status(self, now: float, wall: float) -> StatusPage:
        """Return this daemon's view of the system, for operators.

        Parameters
        ----------
        now, wall
            Seconds on the monotonic clock, and since 1970-01-01 UTC.
        """
        return build_status(
            me=self._self_peer(now),
            cfg=self.cfg,
            peers=self._membership,
            listed=self._membership.live(now),
            owners=self._ownership,
            own_loads=self._admission.loads(now),
            link_bytes=self._admission.link_bytes,
            now=now,
            wall=wall,
        )

    def explain(self, service: ServiceName, client: str, now: float, wall: float) -> Explanation:
        """Return how this daemon would steer a client's request, and why, without counting it.

        Parameters
        ----------
        now, wall
            Seconds on the monotonic clock, and since 1970-01-01 UTC.
        """
        home = self._home_of(client)
        rules = [
            name
            for name in sorted(self.cfg.shifts)
            if self.cfg.shifts[name].service == service
            and self.cfg.shifts[name].source == home.region
        ]
        rule = moving_rule(self.cfg, rules, home.hash_key, wall)
        region = self.cfg.shifts[rule].destination if rule else home.region
        router = Router(
            settings=self.settings,
            owners=self._ownership,
            peers=self._membership,
            rng=random.Random(0),
        )
        router.configure(self.cfg, now)
        entries = self.lookup_snapshot(now).rank(service, client)
        return Explanation(
            service=service,
            client=client,
            home=home.region,
            block=home.hash_key,
            region=region,
            rule=rule,
            entries=tuple(entry.vm for entry in entries),
            candidates=explain_pools(
                cfg=self.cfg,
                service=service,
                region=region,
                ranked=router.rank(service, region, now),
                owners=self._ownership,
                peers=self._membership,
                own_loads=self._admission.loads(now),
                now=now,
                wall=wall,
            ),
        )

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Handle an event.

        Parameters
        ----------
        event
            The event.
        now
            Time of the event in seconds on a monotonic clock; never less than at the previous call.

        Returns
        -------
        list of Effect
            Effects to carry out now, in this order.
        """
        if isinstance(event, RequestArrived) and now >= self._refuse_from:
            return [_refuse_stopping(event)]
        effects = self._apply_config_changes(self._config.handle(event, now), now)
        if isinstance(event, StopRequested) and not self._stopping:
            self._stopping = True
            announced_by = now + LEAVING_NOTICE_PEER_TIMEOUTS * self.settings.timing.peer_timeout_s
            self._refuse_from = announced_by + self.cfg.limits.lookup_max_age_s
        for component in self._components:
            effects.extend(component.handle(event, now))
        if isinstance(event, UpstreamAttemptEnded):
            effects.extend(self._end_local_attempt(event, now))
        effects = self._handle_internal_effects(effects, now)
        self._burn.record_finished_requests(effects, now)
        if isinstance(event, Tick) and not self._ready:
            self._ready = self._is_ready(now)
        if isinstance(event, Tick) and self._can_exit(now):
            effects.append(Exit())
        return effects

    def _apply_config_changes(self, effects: list[Effect], now: float) -> list[Effect]:
        all_effects: list[Effect] = []
        for effect in effects:
            all_effects.append(effect)
            if isinstance(effect, ConfigChanged):
                self._client_blocks = ClientBlockTable.from_texts(self.cfg.client_blocks)
                self._zone_order = ZoneOrder(self.cfg)
                self._pools = pools_of(self.cfg)
                for component in self._components:
                    all_effects.extend(component.configure(self.cfg, now))
        return all_effects

    def _handle_internal_effects(self, effects: list[Effect], now: float) -> list[Effect]:
        """Carry out the effects that stay within this daemon and return all others."""
        external: list[Effect] = []
        pending = list(effects)
        while pending:
            effect = pending.pop(0)
            followups = self._handle_internal_effect(effect, now)
            if followups is None:
                external.append(effect)
            else:
                pending = followups + pending
        return external

    def _handle_internal_effect(self, effect: Effect, now: float) -> list[Effect] | None:
        me = self.settings.vm
        if isinstance(effect, SendTicket) and effect.vm == me:
            self._local_tickets[effect.ticket.ticket_id] = RequestId("")
            return self._admission.handle(TicketArrived(me, effect.ticket), now)
        if isinstance(effect, SendTicket) and not effect.address:
            unreachable = PeerUnreachable(effect.vm, effect.ticket.ticket_id)
            return self._requests.handle(unreachable, now)
        if isinstance(effect, SendTicketReply) and effect.vm == me:
            if isinstance(effect.reply, Refused | Moved):
                self._local_tickets.pop(effect.reply.ticket_id, None)
            return self._requests.handle(TicketReplied(me, effect.reply), now)
        if isinstance(effect, SendBody) and effect.ticket_id in self._local_tickets:
            self._local_tickets[effect.ticket_id] = effect.request_id
            return self._admission.handle(BodyArrived(effect.ticket_id), now)
        if isinstance(effect, CancelTicket) and effect.ticket_id in self._local_tickets:
            if not self._local_tickets[effect.ticket_id]:
                del self._local_tickets[effect.ticket_id]
            return self._admission.handle(TicketCancelled(effect.ticket_id), now)
        if isinstance(effect, StartUpstreamAttempt) and not effect.request_id:
            return self._set_request_id(effect)
        if isinstance(effect, DispatchEvent):
            return self._requests.handle(effect.event, now)
        return None

    def _set_request_id(self, effect: StartUpstreamAttempt) -> list[Effect] | None:
        request_id = self._local_tickets.get(effect.ticket_id)
        if not request_id:
            return None
        with_request_id = StartUpstreamAttempt(
            effect.ticket_id,
            request_id,
            effect.upstream,
            effect.address,
            effect.timeout_s,
            effect.fresh,
        )
        return [with_request_id]

    def _end_local_attempt(self, event: UpstreamAttemptEnded, now: float) -> list[Effect]:
        if self._local_tickets.pop(event.ticket_id, None) is None:
            return []
        ended = AttemptEnded(event.ticket_id, event.outcome, event.status, event.answer_bytes)
        return self._requests.handle(ended, now)

    def _is_ready(self, now: float) -> bool:
        """Return whether every pool has a known owner or `READY_TIMEOUT_S` has passed."""
        if self.cfg.version == 0:
            return False
        self._configured_at = min(self._configured_at, now)
        if now - self._configured_at >= READY_TIMEOUT_S:
            return True
        return all(self._ownership.owner_of(pool) for pool in self._pools)

    def _can_exit(self, now: float) -> bool:
        has_no_work = self._admission.idle and self._requests.idle and self._ownership.released
        return self._stopping and now >= self._refuse_from and has_no_work

    def _heartbeat_facts(self, now: float) -> HeartbeatFacts:
        return HeartbeatFacts(
            state=VmState.LEAVING if self._stopping else VmState.LIVE,
            store=self._ownership.store_reach,
            store_witness=self._ownership.store_witness,
            lease_stamp=self._ownership.lease_stamp,
            table_revision=self._ownership.table_revision,
            table_shape=self._ownership.table_shape,
            config_version=self.cfg.version,
            pools=self._admission.loads(now),
            key_prefix=self._claims.key_prefix(now),
            ready=self._ready,
        )

    def _has_taken_slots(self, pool: PoolId) -> bool:
        return self._admission.has_taken_slots(pool)

    def _home_of(self, client: str) -> Home:
        location = self._client_blocks.find(client)
        return Home(home_region(self.cfg, location, self.settings.region), location.hash_key)

    def _self_peer(self, now: float) -> Peer:
        me = self.settings
        return Peer(
            VmId(me.vm),
            me.incarnation,
            me.zone,
            me.region,
            VmState.LIVE,
            me.address,
            me.http_address,
            now,
            config_version=self.cfg.version,
            key_prefix=self._claims.key_prefix(now),
        )


def _refuse_stopping(event: RequestArrived) -> FinishRequest:
    return FinishRequest(
        event.request_id,
        Outcome.NOT_RUN,
        TicketId(""),
        RefusalReason.STOPPING,
        DEFAULT_RETRY_AFTER_S,
    )
