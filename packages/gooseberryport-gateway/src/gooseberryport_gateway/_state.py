"""State of one gateway, and the updates that affect several parts of it at once."""

from __future__ import annotations

import random
import secrets
from collections.abc import Callable, Iterable
from math import inf

import msgspec

from gooseberryport_core.gateway.announcements import Gate, UpstreamAnnouncements
from gooseberryport_core.gateway.entry_points import RequestRate
from gooseberryport_core.gateway.fleet import Fleet
from gooseberryport_core.gateway.idle_limits import IdleLimits
from gooseberryport_core.gateway.limits import ColdRateLimiter, RetryBudgetShare
from gooseberryport_core.gateway.lookups import Phase, StopTimes
from gooseberryport_core.gateway.model import (
    ClientLimits,
    Member,
    Route,
    RouteName,
    RoutingConfig,
    UpstreamEntry,
    UpstreamState,
)
from gooseberryport_core.gateway.placement import has_local_capacity, upstream_weight
from gooseberryport_core.gateway.ranking import ObjectRankings
from gooseberryport_core.gateway.rate_limits import RateLimitReport, UpstreamRateLimits
from gooseberryport_core.gateway.routing import RouteTable, TrafficSplitter
from gooseberryport_core.gateway.shortage import LevelShares
from gooseberryport_core.gateway.speeds import MAX_SPEED_CHANGES
from gooseberryport_core.gateway.stopping import WorkTimes, accepting_time_s
from gooseberryport_core.gateway.tenants import SECRET_BYTES, TenantDirectory
from gooseberryport_core.gateway.upstreams import Upstream, UpstreamTable
from gooseberryport_core.gateway.warmth import UPDATE_TTL_S, WarmthRecord, WarmthTracker
from gooseberryport_core.log_events import LogNumber
from gooseberryport_core.types import RegionName, ServiceName, UpstreamId, ZoneName
from gooseberryport_gateway._load_balancing import LoadBalancing
from gooseberryport_gateway._logs import Log
from gooseberryport_gateway._metrics import Metrics
from gooseberryport_gateway._peer_loads import PeerLoads, upstream_hash
from gooseberryport_gateway._quotas import QuotaGate
from gooseberryport_gateway._upstream_statements import UpstreamStatements
from gooseberryport_gateway._warm_objects import WarmObjects
from gooseberryport_gateway.wire import GatewaySettings

INITIAL_WARM_FRACTION = 0.5
"""Fraction of a route's latency objective assumed for warm requests until one was measured."""

WARM_SMOOTHING = 0.05
"""Weight of the newest request in a route's moving average of warm times."""

PEER_IP_TTL_S = 2.0
"""Age of a datagram up to which its sender is asked for a snapshot; seconds."""

REMOVED_UPSTREAM_TTL_S = 30.0
"""How long data about an upstream is kept after its entry was removed: longer than an outage in
which entries expire; seconds."""

CAPACITY_TTL_S = 0.5
"""Time for which a summary of a service's upstreams is kept; seconds."""

UNKNOWN_REGION_MARK = "\0"
"""First character of what stands for the region of an unknown availability zone."""

BUSY_TTL_S = 3.0
"""Time for which a gateway counts as serving clients after its last request; seconds."""


class _RemovedUpstream(msgspec.Struct, frozen=True):
    """An upstream whose entry was removed: when, and its incarnation."""

    at: float
    started_ms: int


class ServiceCapacity(msgspec.Struct, frozen=True):
    """A summary of a service's upstreams.

    Parameters
    ----------
    at
        When it was made; monotonic seconds.
    usable
        Number of upstreams that accept requests.
    is_local
        Whether this gateway's region has the capacity for its clients' requests.
    """

    at: float
    usable: int
    is_local: bool


class GatewayState:
    """State of one gateway.

    `num_configs` is the number of configurations that were applied.

    Parameters
    ----------
    settings
        Settings of the gateway.
    me
        This gateway's entry as other gateways see it.
    log, metrics
        Where changes are logged and counted.
    started_at
        Monotonic time at which the process started; seconds.
    """

    def __init__(
        self,
        *,
        settings: GatewaySettings,
        me: Member,
        log: Log,
        metrics: Metrics,
        started_at: float = float("-inf"),
    ) -> None:
        bounds = settings.bounds
        self.settings = settings
        self.me = me
        self.log = log
        self.metrics = metrics
        self.rng = random.Random(f"{me.vm}|{me.incarnation}")
        self.routes: RouteTable | None = None
        self.num_configs = 0
        self._key_secret = secrets.token_bytes(SECRET_BYTES)
        self.tenants = TenantDirectory(None, secret=self._key_secret)
        self.upstreams = UpstreamTable()
        self.rankings = ObjectRankings(
            weight_of=lambda upstream: upstream_weight(upstream, local=self.is_local(upstream))
        )
        self.splits = TrafficSplitter()
        self.fleet = Fleet(me=me)
        self.retries = RetryBudgetShare(
            ratio=bounds.retry_ratio,
            slack=bounds.retry_slack,
            window_s=bounds.retry_window_s,
            slack_from=started_at + bounds.retry_window_s,
        )
        self.cold_rate_limiter = ColdRateLimiter(
            vm=me.vm, overage=bounds.cold_overage, slack=bounds.cold_slack
        )
        self.rate_limits = UpstreamRateLimits(vm=me.vm)
        self.quotas = QuotaGate(
            bounds=bounds, fleet=self.fleet, log=log, metrics=metrics, rng=self.rng
        )
        self.announcements = UpstreamAnnouncements()
        self.idle_limits = IdleLimits()
        self.warmth = WarmthTracker()
        self.warm_objects = WarmObjects(tracker=self.warmth, metrics=metrics)
        self.warm_times: dict[RouteName, float] = {}
        self.work_times = WorkTimes()
        self.level_shares = LevelShares()
        self.stopping = False
        self.accepting = True
        # Background tasks that are down, and without which this gateway must not get clients.
        self.failed_tasks: set[str] = set()
        # Monotonic time at which the process exits, in a planned stop; seconds.
        self.exits_at = inf
        self.follows_store = False
        self.store_available_since = float("-inf")
        self.on_warmth_update: Callable[[], None] = lambda: None
        # How long ago the store confirmed the configuration, directly or through other gateways;
        # infinite if that is not known; seconds.
        self.config_age_s: Callable[[], float] = lambda: inf
        self._removed: dict[UpstreamId, _RemovedUpstream] = {}
        self._sender_ips: dict[str, float] = {}
        self._ids_by_hash: dict[int, UpstreamId] = {}
        self.balancing = LoadBalancing(
            rng=self.rng,
            metrics=metrics,
            settings=lambda: self.settings,
            usable=self.upstreams.usable,
            reported_by_gateways=lambda upstream: self.peer_loads.count(upstream.id),
        )
        self.peer_loads = PeerLoads(report_times=self.balancing.peer_report_times)
        self.statements = UpstreamStatements(
            announcements=self.announcements,
            rate_limits=self.rate_limits,
            upstreams=self.upstreams,
            fleet=self.fleet,
            log=log,
            metrics=metrics,
            rng=self.rng,
        )
        self.request_rate = RequestRate()
        self._last_request_at = float("-inf")
        self._capacities: dict[ServiceName, ServiceCapacity] = {}

    @property
    def limits(self) -> ClientLimits:
        """Limits on what clients may send."""
        return self.routes.config.limits if self.routes is not None else ClientLimits()

    def region_of(self, zone: ZoneName) -> RegionName:
        """Return the region of an availability zone.

        A zone that the settings don't know is in a region of its own, which no home names.
        """
        return self.settings.regions.get(zone, RegionName(f"{UNKNOWN_REGION_MARK}{zone}"))

    def is_local(self, upstream: Upstream) -> bool:
        """Return whether an upstream is in this gateway's region."""
        return self.region_of(upstream.entry.zone) == self.me.region

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Apply changed settings."""
        bounds = settings.bounds
        self.rankings.clear()
        self.settings = settings
        self.retries.set_bounds(
            ratio=bounds.retry_ratio, slack=bounds.retry_slack, window_s=bounds.retry_window_s
        )
        self.cold_rate_limiter.set_bounds(overage=bounds.cold_overage, slack=bounds.cold_slack)
        self.quotas.set_bounds(bounds)

    def apply_config(self, config: RoutingConfig, *, replaces_same_version: bool = False) -> bool:
        """Apply a configuration if it is newer than the current one; return whether it is.

        Parameters
        ----------
        config
            The configuration.
        replaces_same_version
            Whether it also replaces one of the same version with other contents.
        """
        if self.routes is not None:
            current = self.routes.config
            is_other = replaces_same_version and config != current
            if config.version < current.version or (
                config.version == current.version and not is_other
            ):
                return False
        self.routes = RouteTable(config, previous=self.routes)
        self.num_configs += 1
        self.warm_objects.apply_routes(self.routes)
        self.tenants = TenantDirectory(config, secret=self._key_secret)
        self.metrics.tenant_requests.retain([tenant.name for tenant in config.tenants])
        self.level_shares.forget_all()
        self.quotas.apply_tenants(config.tenants)
        self.work_times.forget_other_than(frozenset(route.name for route in config.routes))
        self.metrics.config_version.set(config.version)
        self.log.write(
            LogNumber.GATEWAY_CONFIG_APPLIED, version=config.version, routes=len(config.routes)
        )
        for note in config.notes:
            self.log.write(
                LogNumber.GATEWAY_CONFIG_IGNORED, version=config.version, reason=note, part=True
            )
        if config.skipped_tenants:
            self.metrics.ignored.labels("tenant").inc(config.skipped_tenants)
        return True

    def put_upstream(self, entry: UpstreamEntry, *, now: float) -> None:
        """Record an upstream's report."""
        known = self.upstreams.get(entry.upstream)
        if self.announcements.is_leaving(entry.upstream, started_ms=entry.started_ms):
            entry = msgspec.structs.replace(entry, state=UpstreamState.DRAINING)
        before = known.entry if known is not None else None
        if not self.upstreams.put(entry, now=now):
            return
        self._update_rankings(before, entry)
        self._ids_by_hash[upstream_hash(entry.upstream)] = entry.upstream
        removed = self._removed.pop(entry.upstream, None)
        earlier = before or removed
        if earlier is not None and earlier.started_ms != entry.started_ms:
            self.warm_objects.forget(entry.upstream)
            self.statements.restart(entry.upstream, started_ms=entry.started_ms, now=now)
        if before is None or (before.state, before.started_ms) != (entry.state, entry.started_ms):
            self.log.write(
                LogNumber.GATEWAY_UPSTREAM_CHANGED,
                upstream=entry.upstream,
                service=entry.service,
                state=entry.state.value,
                cold_s=entry.cold_s,
                started_ms=entry.started_ms,
            )

    def _update_rankings(self, before: UpstreamEntry | None, entry: UpstreamEntry) -> None:
        if before is not None and (before.service, before.zone, before.slots) == (
            entry.service,
            entry.zone,
            entry.slots,
        ):
            return
        upstream = self.upstreams.get(entry.upstream)
        assert upstream is not None
        if before is not None:
            self.rankings.remove(Upstream(entry=before))
        self.rankings.add(upstream)

    def remove_upstream(self, upstream: UpstreamId, *, reason: str, now: float) -> None:
        """Remove an upstream; data about it is kept for a while in case it returns."""
        known = self.upstreams.get(upstream)
        if known is None:
            return
        self.upstreams.remove(upstream)
        self.rankings.remove(known)
        self._ids_by_hash.pop(upstream_hash(upstream), None)
        self._removed[upstream] = _RemovedUpstream(at=now, started_ms=known.entry.started_ms)
        self.log.write(LogNumber.GATEWAY_UPSTREAM_REMOVED, upstream=upstream, reason=reason)

    def expire_upstreams(self, *, now: float) -> None:
        """Remove upstreams whose entries did not reappear, and old data about removed ones."""
        for upstream in self.upstreams.expired(now=now):
            self.remove_upstream(upstream, reason="not back", now=now)
        for upstream in [
            name
            for name, removed in self._removed.items()
            if now - removed.at > REMOVED_UPSTREAM_TTL_S
        ]:
            self._forget(upstream)

    def is_known_or_recent(self, upstream: UpstreamId) -> bool:
        """Return whether an upstream is known or was removed recently."""
        return self.upstreams.get(upstream) is not None or upstream in self._removed

    def _forget(self, upstream: UpstreamId) -> None:
        self._removed.pop(upstream, None)
        self.warm_objects.forget(upstream)
        self.cold_rate_limiter.forget(upstream)
        self.statements.forget(upstream)
        self.metrics.limited_upstreams.set(len(self.rate_limits))
        self.idle_limits.forget(upstream)
        self.balancing.forget(upstream)

    def restore_warmth(self, upstream: UpstreamId, record: WarmthRecord) -> bool:
        """Restore an upstream's warmth; return False if it is unknown or has restarted since."""
        known = self.upstreams.get(upstream)
        if known is None or known.entry.started_ms != record.started_ms:
            return False
        self.warmth.restore(upstream, record.marks)
        return True

    def warmth_records(self) -> dict[UpstreamId, WarmthRecord]:
        """Return what the known upstreams are warm for."""
        return {
            upstream.id: WarmthRecord(started_ms=upstream.entry.started_ms, marks=marks)
            for upstream in self.upstreams
            if (marks := self.warmth.objects(upstream.id))
        }

    def record_unreachable(self, upstream: Upstream, *, reason: str, now: float) -> None:
        """Send an upstream no requests until a probe succeeds."""
        if upstream.record_unreachable(now):
            self.log.write(
                LogNumber.GATEWAY_UPSTREAM_UNREACHABLE, upstream=upstream.id, reason=reason
            )

    def set_evacuated(self, zones: Iterable[ZoneName]) -> None:
        """Replace the availability zones that get no requests."""
        wanted = frozenset(zones)
        if wanted != self.upstreams.evacuated:
            self.upstreams.set_evacuated(wanted)
            self.log.write(LogNumber.GATEWAY_ZONES_EVACUATED, zones=sorted(wanted))

    @property
    def ready(self) -> bool:
        """Whether the gateway serves clients."""
        return self.routes is not None and not self.stopping and not self.failed_tasks

    @property
    def phase(self) -> Phase:
        """Whether the gateway serves clients, or stops."""
        if self.ready:
            return Phase.SERVING
        if self.routes is None or not self.stopping:
            return Phase.GONE
        return Phase.CLOSING if self.accepting else Phase.ENDING

    @property
    def stop_times(self) -> StopTimes:
        """How long gateways work on after they have begun to stop."""
        grace_s = self.settings.bounds.grace_s
        return StopTimes(accepts_s=accepting_time_s(grace_s), ends_s=grace_s)

    def record_sender_ip(self, ip: str, *, now: float) -> None:
        """Record the address of a gateway that sent a datagram."""
        self._sender_ips[ip] = now

    def peer_control_addresses(self, *, now: float) -> list[str]:
        """Return control addresses of gateways that may have a snapshot of the store."""
        port = self.settings.control.rpartition(":")[2]
        senders = [
            f"{ip}:{port}" for ip, at in self._sender_ips.items() if now - at < PEER_IP_TTL_S
        ]
        own = self.settings.control
        return [
            address for address in dict.fromkeys([*senders, *self.settings.seeds]) if address != own
        ]

    def record_client_request(self, *, now: float) -> None:
        """Count a client's request."""
        self.request_rate.record(now=now)
        self._last_request_at = now

    def is_busy(self, *, now: float) -> bool:
        """Return whether this gateway received requests of clients lately."""
        return now - self._last_request_at < BUSY_TTL_S

    def record_peer_rate_limits(
        self, vm: str, reports: list[RateLimitReport], *, now: float
    ) -> None:
        """Record what another gateway reports of upstreams' rate limits."""
        self.statements.record_peer_rate_limits(vm, reports, ids_by_hash=self._ids_by_hash, now=now)

    def load_of(self, upstream: Upstream, *, now: float) -> int:
        """Return the requests of all gateways that run or wait at an upstream, as far as known."""
        same_region = self.region_of(upstream.entry.zone) == self.me.region
        reported = upstream.reported_other_requests(same_region=same_region, now=now)
        if reported is not None:
            return upstream.in_flight + reported
        return upstream.in_flight + self.peer_loads.count(upstream.id)

    def loads(self) -> dict[int, int]:
        """Return this gateway's requests in flight, keyed by the hash of the upstream's id."""
        return {
            upstream_hash(upstream.id): upstream.in_flight
            for upstream in self.upstreams
            if upstream.in_flight
        }

    def warm_updates(self, *, now: float, max_age_s: float = UPDATE_TTL_S) -> list[tuple[int, int]]:
        """Return pairs of upstream and object to report to other gateways, as short hashes."""
        return [
            (upstream_hash(upstream), mark)
            for upstream, mark in self.warmth.recent_updates(now=now, max_age_s=max_age_s)
        ]

    def take_used_objects(self, *, listeners: int) -> list[tuple[int, int]]:
        """Return the known pairs that were used since the last report, as short hashes."""
        return [
            (upstream_hash(upstream), mark)
            for upstream, mark in self.warm_objects.take_used(listeners=listeners)
        ]

    def record_peer_warmth(self, pairs: list[tuple[int, int]], *, now: float) -> None:
        """Record which upstreams handled which objects for other gateways."""
        for short_hash, mark in pairs:
            known = self._ids_by_hash.get(short_hash)
            if known is not None:
                self.warmth.record(known, mark, now=now, observed_here=False)

    def speed_reports(self, *, now: float) -> list[tuple[int, int]]:
        """Return pairs of upstream, as a short hash, and stated speed to report to the region."""
        return [
            (upstream_hash(upstream), speed)
            for upstream, speed in self.balancing.speed_changes(now=now)
        ]

    def record_peer_speeds(self, pairs: list[tuple[int, int]], *, now: float) -> None:
        """Record the speeds that upstreams stated to another gateway."""
        for short_hash, speed in pairs[:MAX_SPEED_CHANGES]:
            known = self.upstreams.get(self._ids_by_hash.get(short_hash, UpstreamId("")))
            if known is not None:
                self.balancing.record_peer_speed(known, speed, now=now)

    def service_capacity(self, service: ServiceName, *, now: float) -> ServiceCapacity:
        """Return what upstreams a service has; at most `CAPACITY_TTL_S` old."""
        known = self._capacities.get(service)
        if known is not None and now - known.at < CAPACITY_TTL_S:
            return known
        slots: dict[RegionName, int] = dict.fromkeys(self.settings.regions.values(), 0)
        usable = self.upstreams.usable(service)
        for upstream in usable:
            region = self.region_of(upstream.entry.zone)
            slots[region] = slots.get(region, 0) + upstream.entry.slots
        capacity = self._capacities[service] = ServiceCapacity(
            at=now,
            usable=len(usable),
            is_local=has_local_capacity(slots_by_region=slots, region=self.me.region),
        )
        return capacity

    def warm_s(self, route: Route) -> float:
        """Return how long a request of a route takes where its object is warm; seconds."""
        return self.warm_times.get(route.name, route.objective_s * INITIAL_WARM_FRACTION)

    def record_warm_duration(self, route: Route, took_s: float) -> None:
        """Record the time of a request that did not wait and whose object was warm."""
        known = self.warm_s(route)
        self.warm_times[route.name] = known + WARM_SMOOTHING * (took_s - known)

    def can_send(self, upstream: Upstream, *, now: float) -> bool:
        """Return whether an upstream may get a request now: cold and limited ones take few."""
        return self.can_send_unlimited(upstream, now=now) and self.can_send_limited(
            upstream, now=now
        )

    def can_send_unlimited(self, upstream: Upstream, *, now: float) -> bool:
        """Return whether an upstream may get a request now, but for a rate limit that it states."""
        return self.statements.gate(upstream) is Gate.OPEN and self.can_send_cold(upstream, now=now)

    def can_send_cold(self, upstream: Upstream, *, now: float) -> bool:
        """Return whether an upstream may get a request now, as far as it is cold."""
        if not upstream.is_cold(now) or self.routes is None:
            return True
        spec = self.routes.config.services.get(upstream.entry.service)
        return self.cold_rate_limiter.can_send(
            upstream=upstream.id,
            cold_rate_per_s=spec.cold_rate_per_s if spec is not None else 0.0,
            gateways=self.fleet.gateways_sharing_limits(now=now),
            now=now,
        )

    def can_send_limited(self, upstream: Upstream, *, now: float) -> bool:
        """Return whether an upstream may get a request now, as far as it states a rate limit."""
        if self.rate_limits.limit(upstream.id) is None:
            return True
        return self.rate_limits.can_send(
            upstream.id, gateways=self.fleet.gateways_sharing_limits(now=now), now=now
        )
