"""Interfaces of a node's components, and the read-only views that they have of one another."""

from __future__ import annotations

from typing import Protocol

import msgspec

from gooseberryport_core.config import Config
from gooseberryport_core.effects import Effect
from gooseberryport_core.events import Event
from gooseberryport_core.messages import PoolLoad
from gooseberryport_core.types import (
    ConfigVersion,
    Epoch,
    Incarnation,
    PoolId,
    RegionName,
    StoreReach,
    VmId,
    VmState,
    ZoneName,
)


class Peer(msgspec.Struct, frozen=True):
    """Another daemon, as known to this one.

    Parameters
    ----------
    last_heartbeat_at
        When its newest heartbeat was received; seconds, monotonic. Minus infinity if the daemon is
        only known from the VM list.
    key_prefix
        Prefix of the idempotency keys whose claims it decides.
    config_version
        Version of the configuration in force there at its newest heartbeat.
    """

    vm: VmId
    incarnation: Incarnation
    zone: ZoneName
    region: RegionName
    state: VmState
    address: str
    http_address: str
    last_heartbeat_at: float
    key_prefix: str = ""
    table_shape: int = 0
    config_version: ConfigVersion = ConfigVersion(0)


class Owner(msgspec.Struct, frozen=True):
    """The owner of a pool and its epoch, by the newest ownership table that this daemon knows."""

    vm: VmId
    epoch: Epoch


class Holding(msgspec.Struct, frozen=True):
    """A pool that this daemon owns.

    Parameters
    ----------
    epoch
        Epoch of the ownership.
    valid_until
        End of the lease less the margin, on this daemon's monotonic clock; seconds.
    former_work_until
        Time until which work of a former owner may still occupy every slot; seconds, monotonic.
    """

    epoch: Epoch
    valid_until: float
    former_work_until: float


class RemoteLoad(msgspec.Struct, frozen=True):
    """The load of another daemon's pool, with the age of the report in seconds."""

    vm: VmId
    load: PoolLoad
    age_s: float


class Component(Protocol):
    """A component of a node, which receives every event and returns effects to carry out."""

    def configure(self, cfg: Config, now: float) -> list[Effect]:
        """Apply a newer configuration."""

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Handle an event at `now`, seconds on the monotonic clock."""


class Peers(Protocol):
    """Membership's view of the other daemons."""

    def live(self, now: float) -> tuple[Peer, ...]:
        """Return the other daemons whose heartbeat was received within the peer timeout."""

    def peer(self, vm: VmId) -> Peer | None:
        """Return a daemon by its VM's name, or None if it is unknown."""

    def loads(self, now: float) -> tuple[RemoteLoad, ...]:
        """Return the loads that other daemons reported, without stale reports."""


class Owners(Protocol):
    """Ownership's view of the pools and their owners."""

    def owner_of(self, pool: PoolId) -> Owner | None:
        """Return the owner of a pool by the newest ownership table known, or None."""

    def holding(self, pool: PoolId, now: float) -> Holding | None:
        """Return this daemon's valid holding of a pool, or None if it must not admit."""

    def holdings(self, now: float) -> dict[PoolId, Holding]:
        """Return all valid holdings of this daemon."""


class HeartbeatFacts(msgspec.Struct, frozen=True):
    """Contents of a heartbeat that other components than membership provide.

    Parameters
    ----------
    ready
        Whether the sender can serve callers; look-ups return it only then.
    """

    state: VmState
    store: StoreReach
    store_witness: bool
    lease_stamp: int
    table_revision: int
    config_version: ConfigVersion
    pools: tuple[PoolLoad, ...]
    key_prefix: str = ""
    table_shape: int = 0
    ready: bool = True
