"""Membership: which daemons are live, from heartbeats and the platform's VM list."""

from __future__ import annotations

import random
from collections.abc import Callable

import msgspec

from gooseberryport_core._views import HeartbeatFacts, Peer, RemoteLoad
from gooseberryport_core._vm_list import VmListing
from gooseberryport_core.config import Config, region_of_zone
from gooseberryport_core.effects import Effect, SendMessage
from gooseberryport_core.events import Event, MessageArrived, Tick, VmListArrived
from gooseberryport_core.messages import Heartbeat, PoolLoad
from gooseberryport_core.settings import NodeSettings
from gooseberryport_core.types import RegionName, VmId, VmState

NEVER = float("-inf")
"""Time of the last heartbeat of a VM that is only listed; earlier than every other time."""

MAX_HEARTBEAT_POOLS = 10
"""Maximum number of pools whose load one heartbeat reports, so that it fits into a datagram."""


class Membership:
    """Track the other daemons, and send them this daemon's heartbeats.

    Parameters
    ----------
    settings
        This daemon's identity and timing.
    rng
        Source of jitter.
    facts
        Returns what the other components report in a heartbeat sent at the given time.
    """

    def __init__(
        self,
        *,
        settings: NodeSettings,
        rng: random.Random,
        facts: Callable[[float], HeartbeatFacts],
    ) -> None:
        self._settings = settings
        self._rng = rng
        self._facts = facts
        self._cfg = Config()
        self._peers: dict[VmId, Peer] = {}
        self._listing = VmListing()
        self._loads: dict[VmId, tuple[PoolLoad, ...]] = {}
        self._reported_states: dict[VmId, VmState] = {}
        self._serial = 0
        self._next_send = NEVER

    def configure(self, cfg: Config, now: float) -> list[Effect]:
        """Apply a newer configuration, which determines the regions of listed VMs."""
        self._cfg = cfg
        self._add_listed_peers()
        return []

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Handle an event."""
        if isinstance(event, Tick):
            self._update_states(now)
            return self._send_heartbeats(now)
        if isinstance(event, VmListArrived):
            self._listing.record_listing(event.vms, now)
            self._add_listed_peers()
            self._update_states(now)
        if isinstance(event, MessageArrived) and isinstance(event.message, Heartbeat):
            self._record_heartbeat(event.message, now)
        return []

    def live(self, now: float) -> tuple[Peer, ...]:
        """Return the other daemons whose last heartbeat is within the peer timeout."""
        oldest = now - self._settings.timing.peer_timeout_s
        return tuple(peer for peer in self._peers.values() if peer.last_heartbeat_at >= oldest)

    def peer(self, vm: VmId) -> Peer | None:
        """Return what is known of a daemon, or None."""
        return self._peers.get(vm)

    def loads(self, now: float) -> tuple[RemoteLoad, ...]:
        """Return the pool loads that live daemons reported."""
        return tuple(
            RemoteLoad(peer.vm, load, now - peer.last_heartbeat_at)
            for peer in self.live(now)
            for load in self._loads.get(peer.vm, ())
        )

    def _add_listed_peers(self) -> None:
        """Add the listed VMs from which no heartbeat was received yet."""
        for entry in self._listing.entries():
            known = self._peers.get(entry.vm)
            if entry.vm == self._settings.vm or (known and known.last_heartbeat_at > NEVER):
                continue
            region = region_of_zone(self._cfg, entry.zone) or RegionName("")
            self._peers[entry.vm] = Peer(
                entry.vm,
                entry.incarnation,
                entry.zone,
                region,
                entry.state,
                entry.address,
                "",
                NEVER,
            )

    def _update_states(self, now: float) -> None:
        """Set each peer's state from its last heartbeat and the VM list."""
        for vm, peer in list(self._peers.items()):
            reported_state = self._reported_states.get(vm, VmState.LIVE)
            state = self._listing.state(
                vm, peer.incarnation, reported_state, peer.last_heartbeat_at, now
            )
            if state != peer.state:
                self._peers[vm] = msgspec.structs.replace(peer, state=state)

    def _record_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        known = self._peers.get(heartbeat.vm)
        if heartbeat.vm == self._settings.vm or (
            known and known.incarnation > heartbeat.incarnation
        ):
            return
        self._peers[heartbeat.vm] = Peer(
            heartbeat.vm,
            heartbeat.incarnation,
            heartbeat.zone,
            heartbeat.region,
            self._listing.state(heartbeat.vm, heartbeat.incarnation, heartbeat.state, now, now),
            heartbeat.address,
            heartbeat.http_address,
            now,
            heartbeat.key_prefix,
            heartbeat.table_shape,
            heartbeat.config_version,
        )
        self._reported_states[heartbeat.vm] = heartbeat.state
        self._loads[heartbeat.vm] = heartbeat.pools

    def _send_heartbeats(self, now: float) -> list[Effect]:
        if now < self._next_send:
            return []
        period = self._settings.timing.heartbeat_s
        self._next_send = now + period * self._rng.uniform(0.9, 1.1)
        self._serial += 1
        heartbeat = self._heartbeat(now)
        addresses = {peer.address for peer in self._peers.values() if peer.state != VmState.GONE}
        addresses.update(self._settings.peers)
        addresses.discard(self._settings.address)
        return [SendMessage(address, heartbeat) for address in sorted(addresses)]

    def _heartbeat(self, now: float) -> Heartbeat:
        me = self._settings
        facts = self._facts(now)
        pools = _rotate_pools(facts.pools, self._serial)
        return Heartbeat(
            vm=me.vm,
            incarnation=me.incarnation,
            zone=me.zone,
            region=me.region,
            state=facts.state,
            serial=self._serial,
            heard=(),
            store=facts.store,
            store_witness=facts.store_witness,
            lease_stamp=facts.lease_stamp,
            table_revision=facts.table_revision,
            config_version=facts.config_version,
            pools=pools,
            address=me.address,
            http_address=me.http_address if facts.ready else "",
            key_prefix=facts.key_prefix,
            table_shape=facts.table_shape,
        )


def _rotate_pools(pools: tuple[PoolLoad, ...], serial: int) -> tuple[PoolLoad, ...]:
    """Return as many pools as fit into a datagram, in rotation over successive heartbeats."""
    if len(pools) <= MAX_HEARTBEAT_POOLS:
        return pools
    first = serial * MAX_HEARTBEAT_POOLS % len(pools)
    return (*pools[first:], *pools[:first])[:MAX_HEARTBEAT_POOLS]
