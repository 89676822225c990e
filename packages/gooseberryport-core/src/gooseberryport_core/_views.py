"""What the parts of a node may ask one another: queries that change nothing."""

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
    """A daemon as this one knows it.

    Parameters
    ----------
    last_heartbeat_at
        When its newest heartbeat arrived; seconds, monotonic. Minus infinity if it is only listed.
    key_prefix
        Prefix of the idempotency keys that it decides.
    config_version
        Version of the configuration in force there when it was last heard.
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
    """The daemon that owns a pool, as the newest table known here says."""

    vm: VmId
    epoch: Epoch


class Holding(msgspec.Struct, frozen=True):
    """A pool that this daemon owns.

    Parameters
    ----------
    epoch
        Its epoch.
    valid_until
        End of the lease less the margin, on this daemon's monotonic clock; seconds.
    former_work_until
        Until then work of a former owner may still fill every slot; seconds, monotonic.
    """

    epoch: Epoch
    valid_until: float
    former_work_until: float


class RemoteLoad(msgspec.Struct, frozen=True):
    """The load of another daemon's pool, with the age of the figure in seconds."""

    vm: VmId
    load: PoolLoad
    age_s: float


class Component(Protocol):
    """A part of a node: fed every event, it returns the effects that it asks for."""

    def configure(self, cfg: Config, now: float) -> list[Effect]:
        """Take a newer configuration."""

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Handle an event at `now`, seconds on the monotonic clock."""


class Peers(Protocol):
    """What membership knows of the other daemons."""

    def live(self, now: float) -> tuple[Peer, ...]:
        """Return the daemons, this one not among them, that were heard or listed in time."""

    def peer(self, vm: VmId) -> Peer | None:
        """Return what is known of a daemon."""

    def loads(self, now: float) -> tuple[RemoteLoad, ...]:
        """Return the loads that other daemons told, oldest figures left out."""


class Owners(Protocol):
    """What is known of the ownership of pools."""

    def owner_of(self, pool: PoolId) -> Owner | None:
        """Return the owner of a pool by the newest table known here, or None."""

    def holding(self, pool: PoolId, now: float) -> Holding | None:
        """Return this daemon's valid holding of a pool, or None if it must not admit."""

    def holdings(self, now: float) -> dict[PoolId, Holding]:
        """Return all valid holdings of this daemon."""


class HeartbeatFacts(msgspec.Struct, frozen=True):
    """What a heartbeat tells besides membership's own facts.

    Parameters
    ----------
    ready
        Whether the sender can serve callers; look-ups name it only then.
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
