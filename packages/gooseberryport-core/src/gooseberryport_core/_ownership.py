"""Pool ownership: each region has one table of leases that says which daemon owns which pool."""

from __future__ import annotations

import random
from collections.abc import Callable

from gooseberryport_core._assignment import NO_MEMBER, region_pools
from gooseberryport_core._hashing import rendezvous_weight
from gooseberryport_core._holdings import Holdings
from gooseberryport_core._lease_clock import NEVER, LapseDetector, StampClock
from gooseberryport_core._lease_table import NO_VM, MemberId, StoredTable, Table, Witness
from gooseberryport_core._region_peers import DaemonStatus, RegionPeers, heartbeats_in
from gooseberryport_core._table_dissemination import TableDissemination, own_id
from gooseberryport_core._table_sync import TableSync
from gooseberryport_core._table_writer import RegionView, next_table, writer_of
from gooseberryport_core._views import Holding, Owner, Peers
from gooseberryport_core._witness_protocol import WitnessProtocol
from gooseberryport_core.config import Config
from gooseberryport_core.effects import Effect, LogEvent, LogLevel
from gooseberryport_core.events import Event, MessageArrived, StopRequested, StoreWritten, Tick
from gooseberryport_core.log_events import LogNumber
from gooseberryport_core.messages import LeaseAsk, TableNotice, TableRequest, TableStamps
from gooseberryport_core.settings import NodeSettings
from gooseberryport_core.types import Epoch, PoolId, RegionName, StoreReach, VmId, VmState

__all__ = ["Ownership", "rendezvous_weight"]

STAMPS_PER_HEARTBEAT = 2
"""Lease stamps issued per heartbeat interval."""

OWN_RENEWAL_FRACTION = 0.4
"""Fraction of its lease left when a member renews it itself because the region's writer did not."""

MAX_STAMP_AGE_HEARTBEATS = 3.0
"""Age, in heartbeat intervals, above which a peer's stamp is not written to the table.

An older stamp may belong to a daemon that has crashed.
"""

UNKNOWN_SERVICE_MAX_ATTEMPT_S = 30.0
"""How long an attempt may run at a service that the local configuration lacks; seconds."""

HANDOVER_TIMEOUT_S = 10.0
"""Time after a stop request until this daemon stops trying to hand its pools over; seconds.

The handover cannot finish while the store is unavailable.
"""


class Ownership:
    """Acquire pools, renew their leases, and hand them over.

    Parameters
    ----------
    settings
        This daemon's identity and timing.
    peers
        The other daemons that membership knows.
    rng
        Source of jitter.
    is_busy
        Returns whether work is in flight in a pool. If no function is given, a pool that is handed
        over counts as busy until the longest possible attempt has ended.
    """

    def __init__(
        self,
        *,
        settings: NodeSettings,
        peers: Peers,
        rng: random.Random,
        is_busy: Callable[[PoolId], bool] | None = None,
    ) -> None:
        timing = settings.timing
        self._settings = settings
        self._peers = peers
        self._rng = rng
        self._own_id = own_id(settings)
        self._cfg = Config()
        self._pools: dict[PoolId, int] = {}
        self._stamps = StampClock()
        self._lapses = LapseDetector(margin_s=timing.lease_margin_s)
        self._region_peers = RegionPeers(
            region=settings.region, own=settings.vm, timeout_s=timing.peer_timeout_s
        )
        self._sync = TableSync(settings=settings, rng=rng)
        self._dissemination = TableDissemination(settings=settings)
        self._holdings = Holdings(own_id=self._own_id, is_busy=is_busy)
        self._witness_protocol = WitnessProtocol(
            settings=settings, peers=peers, stamps=self._stamps
        )
        self._owners: dict[RegionName, dict[PoolId, Owner]] = {}
        self._next_write = NEVER
        self._token_prefix = f"{settings.vm}.{settings.incarnation}."
        self._ticked_at = NEVER
        self._first_tick = NEVER
        self._stop_requested_at: float | None = None
        self._handover_timed_out = False

    def configure(self, cfg: Config, now: float) -> list[Effect]:
        """Apply a newer configuration."""
        self._cfg = cfg
        self._pools = region_pools(cfg, self._settings.region)
        return []

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Handle an event."""
        if isinstance(event, Tick):
            return self._tick(now)
        if isinstance(event, MessageArrived):
            return self._handle_message(event, now)
        if isinstance(event, StopRequested) and self._stop_requested_at is None:
            self._stop_requested_at = now
            return []
        return self._handle_store_reply(event, now)

    def owner_of(self, pool: PoolId) -> Owner | None:
        """Return a pool's owner according to the newest table known here, or None."""
        for owners in self._owners.values():
            if pool in owners:
                return owners[pool]
        return None

    def holding(self, pool: PoolId, now: float) -> Holding | None:
        """Return this daemon's valid holding of a pool, or None if it must not admit work."""
        return self._holdings.holding(pool, self._valid_until(), self._max_attempt_s(pool), now)

    def holdings(self, now: float) -> dict[PoolId, Holding]:
        """Return all valid holdings of this daemon."""
        found = {pool: self.holding(pool, now) for pool in self._holdings.pools}
        return {pool: holding for pool, holding in found.items() if holding}

    @property
    def store_reach(self) -> StoreReach:
        """Whether the key-value store is reachable from this daemon."""
        return self._sync.reach

    @property
    def store_witness(self) -> bool:
        """Whether the newest heartbeat of any peer in the region reports the store as reachable."""
        return self._region_peers.any_peer_reaches_store

    @property
    def lease_stamp(self) -> int:
        """The newest lease stamp that this daemon issued; 0 before the first."""
        return self._stamps.newest

    @property
    def table_revision(self) -> int:
        """Revision of the newest table of the region known here; 0 if there is none."""
        return self._sync.stored.revision if self._sync.stored else 0

    @property
    def table_shape(self) -> int:
        """Shape number of the newest table of the region known here; 0 if there is none."""
        return self._sync.stored.table.shape if self._sync.stored else 0

    @property
    def released(self) -> bool:
        """Whether every pool is handed over after `StopRequested`, or handing over timed out."""
        return len(self._holdings) == 0 or self._handover_timed_out

    def _tick(self, now: float) -> list[Effect]:
        self._detect_pause(now)
        step_s = self._settings.timing.heartbeat_s / STAMPS_PER_HEARTBEAT
        if now >= self._stamps.issued_at(self._stamps.newest) + step_s:
            self._stamps.issue(now)
        self._stop_admission(now)
        effects = self._witness_protocol.tick(
            self._sync.stored,
            cut_off=len(self._holdings) > 0 and self._sync.is_unresponsive(now),
            awaits_fence=self._awaits_fence,
            now=now,
        )
        self._activate()
        effects.extend(self._write(now))
        effects.extend(self._sync.tick(now))
        return effects

    def _detect_pause(self, now: float) -> None:
        """Reset the observed stamps if this process was paused, since it saw no renewals then."""
        if now > self._ticked_at + self._settings.timing.peer_timeout_s:
            self._lapses.reset()
        self._ticked_at = now
        if self._first_tick == NEVER:
            self._first_tick = now

    def _handle_store_reply(self, event: Event, now: float) -> list[Effect]:
        reach = self._sync.reach
        former = self._sync.stored
        newer = self._sync.handle(event, now)
        if newer and isinstance(event, StoreWritten) and not event.applied:
            self._next_write = now
        effects = self._log_reach(reach)
        if newer:
            effects.extend(self._apply_table(former, now, writer=self._writer_of_newest()))
        return effects

    def _writer_of_newest(self) -> VmId:
        """Return this daemon's VM if it wrote the newest table, else `NO_VM`."""
        stored = self._sync.stored
        is_own_write = stored is not None and stored.table.token.startswith(self._token_prefix)
        return self._own_id.vm if is_own_write else NO_VM

    def _handle_message(self, event: MessageArrived, now: float) -> list[Effect]:
        message = event.message
        effects: list[Effect] = []
        heartbeats = heartbeats_in(event)
        self._region_peers.record_heartbeats(heartbeats, now)
        for heartbeat in heartbeats:
            effects.extend(self._dissemination.request_if_newer(heartbeat, now))
        if isinstance(message, TableStamps):
            effects.extend(self._handle_stamps(message, event.address, now))
        elif isinstance(message, TableNotice):
            stored = self._dissemination.assemble_piece(message)
            effects.extend(self._accept_from_peer(stored, message.writer, now))
        elif isinstance(message, TableRequest):
            effects.extend(self._dissemination.reply(message, event.address))
        else:
            effects.extend(self._witness_protocol.handle_message(event, now))
            self._activate()
            if isinstance(message, LeaseAsk):
                newer = TableRequest(message.region, message.revision)
                effects.extend(self._dissemination.reply(newer, event.address))
        return effects

    def _handle_stamps(self, message: TableStamps, address: str, now: float) -> list[Effect]:
        stored = self._dissemination.apply_stamps(message)
        if stored is None:
            return self._dissemination.request(message.region, address, now)
        return self._accept_from_peer(stored, message.writer, now)

    def _accept_from_peer(
        self, stored: StoredTable | None, writer: VmId, now: float
    ) -> list[Effect]:
        """Accept a table of this or another region that a peer sent."""
        if stored is None:
            return []
        if stored.table.region != self._settings.region:
            self._keep_other_region(stored)
            return []
        former = self._sync.stored
        return (
            self._apply_table(former, now, writer=writer)
            if self._sync.accept_table(stored, now)
            else []
        )

    def _keep_other_region(self, stored: StoredTable) -> None:
        if self._dissemination.keep(stored):
            self._index_owners(stored.table)

    def _apply_table(self, former: StoredTable | None, now: float, *, writer: VmId) -> list[Effect]:
        """Apply a newer table of this region, and pass it on if its writer is known."""
        stored = self._sync.stored
        assert stored is not None
        self._dissemination.keep(stored)
        self._lapses.record_table(stored.table, now)
        self._witness_protocol.record_table(stored, now)
        before = self._holdings.epochs
        self._holdings.apply_table(stored, now)
        effects = self._log_changes(before)
        if former is None or former.table.shape != stored.table.shape:
            self._index_owners(stored.table)
        if writer:
            effects.extend(self._dissemination.send_table(stored, former, writer))
        if self._awaits_fence:
            effects.extend(self._witness_protocol.request_fence(stored, now))
        self._activate()
        return effects

    def _index_owners(self, table: Table) -> None:
        self._owners[table.region] = {
            grant.pool: Owner(grant.owner.vm, grant.epoch)
            for grant in table.grants
            if grant.owner != NO_MEMBER
        }

    @property
    def _awaits_fence(self) -> bool:
        """Whether this daemon waits for fence acknowledgements from witnesses."""
        stored = self._sync.stored
        has_former_witnesses = stored is not None and bool(stored.table.former_witnesses)
        return self._holdings.awaits_fence or has_former_witnesses

    def _activate(self) -> None:
        stored = self._sync.stored
        if stored is not None and self._holdings.awaits_fence:
            self._holdings.activate_fenced(
                lambda revision: self._witness_protocol.fenced_at(stored, revision)
            )

    def _valid_until(self) -> float:
        return self._witness_protocol.valid_until(self._sync.stored) if self._sync.stored else NEVER

    def _max_attempt_s(self, pool: PoolId) -> float:
        service = self._cfg.services.get(pool.service)
        return service.max_attempt_s if service else UNKNOWN_SERVICE_MAX_ATTEMPT_S

    def _stop_admission(self, now: float) -> None:
        """Stop admission to the pools that are to be handed over.

        After a stop request, callers may send requests here until their cached look-ups expire;
        pools without a successor are kept until then.
        """
        cached_lookups_expired = False
        if self._stop_requested_at is not None:
            cached_lookups_expired = (
                now >= self._stop_requested_at + self._cfg.limits.lookup_max_age_s
            )
            self._handover_timed_out = now >= self._stop_requested_at + HANDOVER_TIMEOUT_S
        self._holdings.stop_admission(
            lambda pool: cached_lookups_expired or self._is_unconfigured(pool),
            reachable=not self._sync.is_unresponsive(now),
        )

    def _is_unconfigured(self, pool: PoolId) -> bool:
        return bool(self._pools) and pool not in self._pools

    def _write(self, now: float) -> list[Effect]:
        stored = self._sync.stored
        if stored is None or not self._sync.can_write:
            return []
        releases = self._holdings.releases(self._max_attempt_s, now)
        view = self._region_view(now)
        if not releases and not self._is_write_due(stored, view, now):
            return []
        new_table = next_table(
            stored.table,
            view,
            lapses=self._lapses,
            releases=releases,
            former_witnesses_fenced=self._witness_protocol.former_witnesses_fenced(now),
            now=now,
        )
        self._next_write = now + self._settings.timing.renew_s
        if new_table == stored.table:
            return []
        self._holdings.mark_release_sent(releases)
        return self._sync.swap(new_table, now)

    def _is_write_due(self, stored: StoredTable, view: RegionView, now: float) -> bool:
        """Return whether this daemon should write the table now.

        It does so as the region's writer; otherwise only to join the table or to renew its own
        lease when the writer has not done so.
        """
        if now < self._next_write:
            return False
        if writer_of(self._settings.region, view.daemons) == self._own_id.vm:
            return True
        member = stored.table.member(self._own_id)
        if member is None:
            return self._stop_requested_at is None and now >= self._first_tick + view.lease_s
        left_s = self._witness_protocol.lease_until(stored) - now
        return left_s < member.lease_s * OWN_RENEWAL_FRACTION

    def _region_view(self, now: float) -> RegionView:
        me = self._settings
        own_status = DaemonStatus(
            id=self._own_id,
            zone=me.zone,
            address=me.address,
            state=VmState.LIVE if self._stop_requested_at is None else VmState.LEAVING,
            store=self._sync.reach,
            stamp=self._stamps.newest,
            table_revision=self.table_revision,
            received_at=now,
        )
        max_age_s = self._settings.timing.heartbeat_s * MAX_STAMP_AGE_HEARTBEATS
        stamps = self._region_peers.stamps(since=now - max_age_s)
        stamps[self._own_id] = self._stamps.newest
        return RegionView(
            own_status=own_status,
            peers=tuple(self._region_peers.live(now)),
            stamps=stamps,
            external_witnesses=self._external_witnesses(now),
            pools=self._pools,
            lease_s=self._cfg.limits.lease_s,
        )

    def _external_witnesses(self, now: float) -> tuple[Witness, ...]:
        live = sorted(self._peers.live(now), key=lambda peer: peer.vm)
        return tuple(
            Witness(MemberId(peer.vm, peer.incarnation), peer.address)
            for peer in live
            if peer.region != self._settings.region and peer.state == VmState.LIVE
        )

    def _log_reach(self, before: StoreReach) -> list[Effect]:
        reach = self._sync.reach
        if reach == before:
            return []
        if reach == StoreReach.UNREACHABLE:
            self._lapses.reset()
            text = "the key-value store is unreachable"
            return [LogEvent(LogNumber.STORE_LOST, LogLevel.WARNING, text)]
        if before == StoreReach.UNTRIED:
            return []
        return [
            LogEvent(LogNumber.STORE_BACK, LogLevel.INFO, "the key-value store is reachable again")
        ]

    def _log_changes(self, before: dict[PoolId, Epoch]) -> list[Effect]:
        after = self._holdings.epochs
        lost_pools = [pool for pool in before if pool not in after]
        acquired_pools = [pool for pool in after if before.get(pool) != after[pool]]
        effects: list[Effect] = []
        for pool in lost_pools:
            fields = {"pool": str(pool), "epoch": str(before[pool])}
            effects.append(
                _log(LogNumber.POOL_GIVEN_UP, "this daemon no longer owns the pool", fields)
            )
        for pool in acquired_pools:
            fields = {"pool": str(pool), "epoch": str(after[pool])}
            effects.append(_log(LogNumber.POOL_TAKEN, "this daemon now owns the pool", fields))
        return effects


def _log(number: LogNumber, text: str, fields: dict[str, str]) -> LogEvent:
    return LogEvent(number, LogLevel.INFO, text, fields)
