"""Datagrams between gateways: liveness, readiness, load, and warm objects."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import cast

import msgspec

from gooseberryport_core.decoding import InputError, RatePerS, decode_with
from gooseberryport_core.gateway.quota_counts import QuotaReports
from gooseberryport_core.gateway.rate_limits import RateLimitReport
from gooseberryport_core.gateway.reporting import (
    DIGEST_PERIOD_ROUNDS,
    REPORT_INTERVAL_S,
    is_due,
    remote_period_rounds,
)
from gooseberryport_core.gateway.reports import Audience, Digests, ReportPlan, ZoneDigest
from gooseberryport_core.log_events import LogNumber
from gooseberryport_core.types import VmId
from gooseberryport_gateway._state import GatewayState

ACTIVE_UPDATE_AGE_S = 0.5
"""Age up to which newly warm objects are repeated to gateways with clients; seconds."""

UPDATE_DELAY_S = 0.01
"""Delay before an update is sent, so that several are combined; seconds."""


class PeerReport(msgspec.Struct, array_like=True):
    """What a gateway reports to the others.

    Parameters
    ----------
    vm, incarnation
        The gateway that reports.
    ready
        Whether it serves clients: it has a configuration and is not stopping.
    loads
        Requests in flight, keyed by the hash of the upstream's id.
    warm
        Pairs of upstream and object that became warm recently, and those that were used since the
        last regular report, in order of use, as short hashes.
    follows_store
        Whether the store replies to it.
    active
        Whether it serves clients, or expects to.
    demand_per_s
        Requests per second that it receives.
    digests
        What it knows of the gateways of availability zones, its own included.
    rate_limits
        Limited upstreams that it sends to.
    speeds
        Pairs of upstream, as a short hash, and the speed that it stated; percent.
    quotas
        Requests of tenants that it admitted; None if no tenant is limited.
    """

    vm: str
    incarnation: int
    ready: bool
    loads: dict[int, int]
    warm: list[tuple[int, int]] = []
    follows_store: bool = True
    active: bool = True
    demand_per_s: RatePerS = 0.0
    digests: list[ZoneDigest] = []
    rate_limits: list[RateLimitReport] = []
    speeds: list[tuple[int, int]] = []
    quotas: QuotaReports | None = None


class Peers(asyncio.DatagramProtocol):
    """Send this gateway's reports to other gateways, and receive theirs.

    Parameters
    ----------
    state
        State of this gateway, which the received reports update.
    """

    def __init__(self, *, state: GatewayState) -> None:
        self._state = state
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.DatagramTransport | None = None
        self._update_timer: asyncio.TimerHandle | None = None
        self._decoder = msgspec.msgpack.Decoder(PeerReport)
        self._round = state.rng.randrange(DIGEST_PERIOD_ROUNDS)
        self._greeted: set[tuple[VmId, int]] = set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Record a report of another gateway."""
        state = self._state
        try:
            report = decode_with(self._decoder.decode, data)
        except InputError as exc:
            state.metrics.ignored.labels("datagram").inc()
            state.log.write(LogNumber.GATEWAY_DATAGRAM_IGNORED, sender=addr[0], reason=str(exc))
            return
        now = self._loop.time()
        vm = VmId(report.vm)
        if not state.fleet.is_in_contact(vm, now=now):
            self._greeted.discard((vm, report.incarnation))
        state.record_sender_ip(addr[0], now=now)
        state.fleet.record_datagram(
            vm,
            incarnation=report.incarnation,
            ready=report.ready,
            follows_store=report.follows_store,
            active=report.active,
            demand_per_s=report.demand_per_s,
            now=now,
        )
        state.fleet.record_digests(report.digests, now=now)
        state.peer_loads.record(report.vm, report.loads, now=now)
        state.record_peer_warmth(report.warm, now=now)
        state.record_peer_speeds(report.speeds, now=now)
        state.record_peer_rate_limits(report.vm, report.rate_limits, now=now)
        state.quotas.record_peer_reports(report.vm, report.incarnation, report.quotas)

    def error_received(self, exc: Exception) -> None:
        """Ignore that a peer's port is closed: its missing reports show the same."""

    async def report(self) -> None:
        """Send reports periodically, forever."""
        self._state.on_warmth_update = self._schedule_update
        while True:
            self._round += 1
            self._state.quotas.sweep()
            self.send(round_number=self._round)
            await asyncio.sleep(REPORT_INTERVAL_S)

    def _schedule_update(self) -> None:
        if self._update_timer is None:
            self._update_timer = self._loop.call_later(UPDATE_DELAY_S, self._send_updates)

    def _send_updates(self) -> None:
        self._update_timer = None
        if self._transport is None:
            return
        plan = self._plan()
        data = self._encode_report(plan, audience=Audience.ACTIVE, digests=Digests.NONE)
        for listener in plan.listeners:
            if listener.audience is Audience.ACTIVE:
                self._transport.sendto(data, listener.member.datagrams)

    def _plan(self) -> ReportPlan:
        state = self._state
        now = self._loop.time()
        return state.fleet.report_plan(
            ready=state.ready,
            demand_per_s=state.request_rate.per_s(now=now),
            busy=state.is_busy(now=now),
            now=now,
        )

    def send(self, *, round_number: int = 0) -> None:
        """Send the reports of a round; in round 0, and to gateways that are new, all are due."""
        if self._transport is None:
            return
        plan = self._plan()
        nearby = sum(listener.audience is Audience.ACTIVE for listener in plan.listeners)
        used = self._state.take_used_objects(listeners=nearby)
        remote = sum(listener.audience is Audience.REMOTE_ACTIVE for listener in plan.listeners)
        remote_period = remote_period_rounds(remote_peers=remote)
        with_digests = round_number % DIGEST_PERIOD_ROUNDS == 0
        encoded: dict[tuple[Audience, Digests], bytes] = {}
        greeted: set[tuple[VmId, int]] = set()
        for listener in plan.listeners:
            identity = (listener.member.vm, listener.member.incarnation)
            is_new = identity not in self._greeted
            greeted.add(identity)
            if not is_new and not is_due(
                listener,
                round_number=round_number,
                active=plan.active,
                remote_period=remote_period,
            ):
                continue
            kind = (listener.audience, listener.digests if with_digests else Digests.NONE)
            if kind not in encoded:
                encoded[kind] = self._encode_report(
                    plan, audience=kind[0], digests=kind[1], used=used
                )
            if encoded[kind]:
                self._transport.sendto(encoded[kind], listener.member.datagrams)
        self._greeted = greeted

    def _encode_report(
        self,
        plan: ReportPlan,
        *,
        audience: Audience,
        digests: Digests,
        used: Sequence[tuple[int, int]] = (),
    ) -> bytes:
        """Return the report to an audience; empty if it would contain nothing new."""
        state = self._state
        now = self._loop.time()
        # Each object is requested in one region, so only that region's gateways need its warmth.
        warm: list[tuple[int, int]] = []
        if audience is Audience.ACTIVE:
            warm = [*state.warm_updates(now=now, max_age_s=ACTIVE_UPDATE_AGE_S), *used]
        elif audience in (Audience.ZONE, Audience.REGION):
            warm = state.warm_updates(now=now)
        if audience is Audience.REGION and not warm:
            return b""
        has_loads = audience in (Audience.ACTIVE, Audience.REMOTE_ACTIVE)
        demand_per_s = state.request_rate.per_s(now=now)
        included: list[ZoneDigest] = []
        if digests is Digests.OWN:
            included = [state.fleet.own_digest(demand_per_s=demand_per_s, now=now)]
        elif digests is Digests.RECEIVED:
            included = state.fleet.received_digests(now=now)
        return msgspec.msgpack.encode(
            PeerReport(
                vm=state.me.vm,
                incarnation=state.me.incarnation,
                ready=state.ready,
                loads=state.loads() if has_loads else {},
                warm=warm,
                follows_store=state.follows_store,
                active=plan.active,
                demand_per_s=round(demand_per_s),
                digests=included,
                rate_limits=state.statements.rate_limit_reports(now=now) if has_loads else [],
                speeds=state.speed_reports(now=now) if audience is Audience.ACTIVE else [],
                quotas=state.quotas.reports(audience),
            )
        )
