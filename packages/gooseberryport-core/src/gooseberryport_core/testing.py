"""Test doubles of a node's components, for tests and benches that run one component alone."""

from __future__ import annotations

import msgspec

from gooseberryport_core._views import Holding, Owner, Peer, RemoteLoad
from gooseberryport_core.settings import NodeSettings
from gooseberryport_core.types import (
    Incarnation,
    PoolId,
    RegionName,
    VmId,
    VmState,
    ZoneName,
)


def make_settings(vm: str = "vm-1", *, zone: str = "bern-a", region: str = "") -> NodeSettings:
    """Return the settings of a daemon with made-up addresses."""
    return NodeSettings(
        vm=VmId(vm),
        incarnation=Incarnation(1),
        zone=ZoneName(zone),
        region=RegionName(region or "mittelland"),
        address=f"{vm}:peer",
        http_address=f"{vm}:http",
    )


def make_peer(settings: NodeSettings, *, last_heartbeat_at: float = float("inf")) -> Peer:
    """Return the daemon with these settings as its peers see it.

    By default its last heartbeat never becomes too old.
    """
    return Peer(
        settings.vm,
        settings.incarnation,
        settings.zone,
        settings.region,
        VmState.LIVE,
        settings.address,
        settings.http_address,
        last_heartbeat_at,
    )


class FixedPeers(msgspec.Struct):
    """Implementation of `Peers` with a fixed set of peers and loads."""

    peers: dict[VmId, Peer] = msgspec.field(default_factory=dict)
    remote_loads: tuple[RemoteLoad, ...] = ()

    def live(self, now: float) -> tuple[Peer, ...]:
        """Return all peers."""
        return tuple(self.peers.values())

    def peer(self, vm: VmId) -> Peer | None:
        """Return a peer, or None if it is not in the set."""
        return self.peers.get(vm)

    def loads(self, now: float) -> tuple[RemoteLoad, ...]:
        """Return the given loads."""
        return self.remote_loads


class FixedOwners(msgspec.Struct):
    """Implementation of `Owners` with fixed owners, as seen by one daemon."""

    vm: VmId
    owners: dict[PoolId, Owner] = msgspec.field(default_factory=dict)
    valid_until: float = float("inf")
    former_work_until: float = float("-inf")

    def owner_of(self, pool: PoolId) -> Owner | None:
        """Return the given owner of a pool, or None."""
        return self.owners.get(pool)

    def holding(self, pool: PoolId, now: float) -> Holding | None:
        """Return this daemon's holding of a pool if it is valid, or None."""
        owner = self.owners.get(pool)
        if owner is None or owner.vm != self.vm or now >= self.valid_until:
            return None
        return Holding(owner.epoch, self.valid_until, self.former_work_until)

    def holdings(self, now: float) -> dict[PoolId, Holding]:
        """Return this daemon's valid holdings."""
        held = {pool: self.holding(pool, now) for pool in self.owners}
        return {pool: holding for pool, holding in held.items() if holding is not None}
