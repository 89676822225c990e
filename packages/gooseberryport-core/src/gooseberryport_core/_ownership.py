"""Which daemon owns which pool (thin form: a rendezvous hash over the live daemons)."""

from __future__ import annotations

import random

import xxhash

from gooseberryport_core._views import Holding, Owner, Peers
from gooseberryport_core.config import Config, pools_of, region_of_zone
from gooseberryport_core.effects import Effect
from gooseberryport_core.events import Event, Tick
from gooseberryport_core.settings import NodeSettings
from gooseberryport_core.types import Epoch, PoolId, StoreReach, VmId, VmState


def rendezvous_weight(vm: VmId, name: str) -> int:
    """Return a VM's weight for a name; the VM with the highest weight is chosen."""
    return xxhash.xxh3_64_intdigest(f"{vm}|{name}".encode())


class Ownership:
    """Hold and give up pools.

    Parameters
    ----------
    settings
        Who this daemon is.
    peers
        What membership knows.
    rng
        Source of jitter.
    """

    def __init__(self, *, settings: NodeSettings, peers: Peers, rng: random.Random) -> None:
        self._settings = settings
        self._peers = peers
        self._cfg = Config()
        self._owners: dict[PoolId, Owner] = {}

    def configure(self, cfg: Config, now: float) -> list[Effect]:
        """Take a newer configuration."""
        self._cfg = cfg
        return []

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Handle an event."""
        if isinstance(event, Tick):
            self._owners = {pool: self._choose(pool, now) for pool in pools_of(self._cfg)}
        return []

    def owner_of(self, pool: PoolId) -> Owner | None:
        """Return the owner of a pool."""
        return self._owners.get(pool)

    def holding(self, pool: PoolId, now: float) -> Holding | None:
        """Return this daemon's valid holding of a pool."""
        owner = self._owners.get(pool)
        if owner is None or owner.vm != self._settings.vm:
            return None
        return Holding(owner.epoch, now + 1.0, 0.0)

    def holdings(self, now: float) -> dict[PoolId, Holding]:
        """Return all valid holdings of this daemon."""
        found = {pool: self.holding(pool, now) for pool in self._owners}
        return {pool: holding for pool, holding in found.items() if holding}

    @property
    def store_reach(self) -> StoreReach:
        """Whether the key-value service answers."""
        return StoreReach.UNTRIED

    @property
    def store_witness(self) -> bool:
        """Whether any member heard says that it reaches the service."""
        return False

    @property
    def lease_stamp(self) -> int:
        """Number of the newest renewal asked for."""
        return 0

    @property
    def table_revision(self) -> int:
        """Newest revision of the region's table seen."""
        return 0

    @property
    def released(self) -> bool:
        """Whether, after `StopRequested`, every pool is handed over."""
        return True

    def _choose(self, pool: PoolId, now: float) -> Owner:
        me = self._settings
        near = {me.vm: (me.zone, me.region)}
        for peer in self._peers.live(now):
            if peer.state == VmState.LIVE:
                near[peer.vm] = (peer.zone, peer.region)
        region = region_of_zone(self._cfg, pool.zone)

        def rank(vm: VmId) -> tuple[bool, bool, int]:
            zone, vm_region = near[vm]
            same_zone = zone == pool.zone
            return (vm_region == region, same_zone, rendezvous_weight(vm, str(pool)))

        return Owner(max(near, key=rank), Epoch(1))
