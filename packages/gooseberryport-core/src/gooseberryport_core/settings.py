"""Settings of a node, and the time constants of its protocols."""

from __future__ import annotations

import msgspec

from gooseberryport_core.types import Incarnation, RegionName, VmId, ZoneName


class Timing(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Set the time constants of the control protocols; all in seconds.

    Parameters
    ----------
    heartbeat_s
        Interval between two heartbeats to a peer.
    peer_timeout_s
        Time without a heartbeat after which a peer counts as unreachable.
    renew_s
        Interval between two renewals of the region's leases.
    lease_margin_s
        Time before the end of a lease at which its holder stops using it, to allow for clock drift
        and delays.
    store_timeout_s
        Timeout of a call to the key-value store.
    watch_s
        Longest time that a watch waits before the key is read again.
    """

    heartbeat_s: float = 0.25
    peer_timeout_s: float = 1.0
    renew_s: float = 0.5
    lease_margin_s: float = 0.3
    store_timeout_s: float = 0.5
    watch_s: float = 5.0


class NodeSettings(msgspec.Struct, frozen=True):
    """Identity, place and addresses of a `Node`.

    Parameters
    ----------
    vm, incarnation, zone, region
        Identity and place of the daemon.
    address, http_address
        ``IP:port`` for peers, and for callers.
    peers
        Peer addresses to contact at the start, while the VM list can't be read.
    """

    vm: VmId
    incarnation: Incarnation
    zone: ZoneName
    region: RegionName
    address: str
    http_address: str
    peers: tuple[str, ...] = ()
    timing: Timing = Timing()
