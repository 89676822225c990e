"""What a daemon is told at its start, and the time constants of its protocols."""

from __future__ import annotations

import msgspec

from gooseberryport_core.types import Incarnation, RegionName, VmId, ZoneName


class Timing(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Set the time constants of the control protocols; all in seconds.

    Parameters
    ----------
    heartbeat_s
        Time between two heartbeats to a peer.
    peer_timeout_s
        Silence after which a peer counts as unreachable.
    renew_s
        Time between two renewals of the region's leases.
    lease_margin_s
        Part of a lease that its holder leaves unused, against drift and delay.
    store_timeout_s
        Time that a call to the key-value service may take.
    watch_s
        Longest wait of a watch before the key is read again.
    """

    heartbeat_s: float = 0.25
    peer_timeout_s: float = 1.0
    renew_s: float = 0.5
    lease_margin_s: float = 0.3
    store_timeout_s: float = 0.5
    watch_s: float = 5.0


class NodeSettings(msgspec.Struct, frozen=True):
    """Tell a `Node` who and where it is.

    Parameters
    ----------
    vm, incarnation, zone, region
        Its identity and place.
    address, http_address
        ``IP:port`` that peers and callers use.
    peers
        Peer addresses to try at the start, while the VM list can't be read.
    """

    vm: VmId
    incarnation: Incarnation
    zone: ZoneName
    region: RegionName
    address: str
    http_address: str
    peers: tuple[str, ...] = ()
    timing: Timing = Timing()
