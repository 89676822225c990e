"""Which daemons live: heartbeats and the platform's VM list."""

from __future__ import annotations

import random
from collections.abc import Callable

from gooseberryport_core._views import HeartbeatFacts, Peer, RemoteLoad
from gooseberryport_core.config import Config, region_of_zone
from gooseberryport_core.effects import Effect, SendMessage
from gooseberryport_core.events import Event, MessageArrived, Tick, VmListArrived
from gooseberryport_core.messages import Heartbeat, PoolLoad
from gooseberryport_core.settings import NodeSettings
from gooseberryport_core.types import RegionName, VmId, VmState

NEVER = float("-inf")


class Membership:
    """Keep the list of live daemons.

    Parameters
    ----------
    settings
        Who this daemon is.
    rng
        Source of jitter.
    facts
        Returns what the other parts want told in a heartbeat sent at the given time.
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
        self._loads: dict[VmId, tuple[PoolLoad, ...]] = {}
        self._serial = 0
        self._next_send = NEVER

    def configure(self, cfg: Config, now: float) -> list[Effect]:
        """Take a newer configuration."""
        self._cfg = cfg
        return []

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Handle an event."""
        if isinstance(event, Tick):
            return self._send_heartbeats(now)
        if isinstance(event, VmListArrived):
            self._take_list(event)
        if isinstance(event, MessageArrived) and isinstance(event.message, Heartbeat):
            self._take_heartbeat(event.message, now)
        return []

    def live(self, now: float) -> tuple[Peer, ...]:
        """Return the daemons, this one not among them, that were heard in time."""
        oldest = now - self._settings.timing.peer_timeout_s
        return tuple(peer for peer in self._peers.values() if peer.heard_at >= oldest)

    def peer(self, vm: VmId) -> Peer | None:
        """Return what is known of a daemon."""
        return self._peers.get(vm)

    def loads(self, now: float) -> tuple[RemoteLoad, ...]:
        """Return the loads that live daemons told."""
        return tuple(
            RemoteLoad(peer.vm, load, now - peer.heard_at)
            for peer in self.live(now)
            for load in self._loads.get(peer.vm, ())
        )

    def _take_list(self, event: VmListArrived) -> None:
        for line in event.vms:
            if line.vm == self._settings.vm or line.vm in self._peers:
                continue
            region = region_of_zone(self._cfg, line.zone) or RegionName("")
            self._peers[line.vm] = Peer(
                line.vm, line.incarnation, line.zone, region, line.state, line.address, "", NEVER
            )

    def _take_heartbeat(self, beat: Heartbeat, now: float) -> None:
        known = self._peers.get(beat.vm)
        if beat.vm == self._settings.vm or (known and known.incarnation > beat.incarnation):
            return
        self._peers[beat.vm] = Peer(
            beat.vm,
            beat.incarnation,
            beat.zone,
            beat.region,
            beat.state,
            beat.address,
            beat.http_address,
            now,
            beat.key_prefix,
            beat.table_shape,
            beat.config_version,
        )
        self._loads[beat.vm] = beat.pools

    def _send_heartbeats(self, now: float) -> list[Effect]:
        if now < self._next_send:
            return []
        period = self._settings.timing.heartbeat_s
        self._next_send = now + period * self._rng.uniform(0.9, 1.1)
        self._serial += 1
        beat = self._heartbeat(now)
        addresses = {peer.address for peer in self._peers.values() if peer.state != VmState.GONE}
        addresses.update(self._settings.peers)
        addresses.discard(self._settings.address)
        return [SendMessage(address, beat) for address in sorted(addresses)]

    def _heartbeat(self, now: float) -> Heartbeat:
        me = self._settings
        facts = self._facts(now)
        heard = tuple(peer.vm for peer in self.live(now) if peer.region == me.region)
        return Heartbeat(
            vm=me.vm,
            incarnation=me.incarnation,
            zone=me.zone,
            region=me.region,
            state=facts.state,
            serial=self._serial,
            heard=heard,
            store=facts.store,
            store_witness=facts.store_witness,
            lease_stamp=facts.lease_stamp,
            table_revision=facts.table_revision,
            config_version=facts.config_version,
            pools=facts.pools,
            address=me.address,
            http_address=me.http_address if facts.ready else "",
            key_prefix=facts.key_prefix,
            table_shape=facts.table_shape,
        )
