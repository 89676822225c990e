"""The newest heartbeats of the region's other daemons, as ownership needs them."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from gooseberryport_core._lease_table import MemberId
from gooseberryport_core.events import Event, MessageArrived
from gooseberryport_core.messages import Heartbeat, ZoneSummary
from gooseberryport_core.types import RegionName, StoreReach, VmId, VmState, ZoneName


class DaemonStatus(msgspec.Struct, frozen=True):
    """What a daemon of the region reported in its newest heartbeat, and when that arrived."""

    id: MemberId
    zone: ZoneName
    address: str
    state: VmState
    store: StoreReach
    stamp: int
    table_revision: int
    received_at: float


def heartbeats_in(event: Event) -> tuple[Heartbeat, ...]:
    """Return the heartbeats that an event contains."""
    if not isinstance(event, MessageArrived):
        return ()
    if isinstance(event.message, Heartbeat):
        return (event.message,)
    if isinstance(event.message, ZoneSummary):
        return event.message.heartbeats
    return ()


class RegionPeers:
    """Track the other daemons of one region by their heartbeats.

    Parameters
    ----------
    region
        The region.
    own
        This daemon, which is left out.
    timeout_s
        Time without a heartbeat after which a daemon no longer counts as live; seconds.
    """

    def __init__(self, *, region: RegionName, own: VmId, timeout_s: float) -> None:
        self._region = region
        self._own = own
        self._timeout_s = timeout_s
        self._peers: dict[VmId, DaemonStatus] = {}

    def record_heartbeats(self, heartbeats: Iterable[Heartbeat], now: float) -> None:
        """Record heartbeats, keeping each daemon's newest stamp of its newest incarnation."""
        for heartbeat in heartbeats:
            known = self._peers.get(heartbeat.vm)
            if heartbeat.region != self._region or heartbeat.vm == self._own:
                continue
            if known and (known.id.incarnation, known.stamp) >= (
                heartbeat.incarnation,
                heartbeat.lease_stamp,
            ):
                continue
            self._peers[heartbeat.vm] = DaemonStatus(
                MemberId(heartbeat.vm, heartbeat.incarnation),
                heartbeat.zone,
                heartbeat.address,
                heartbeat.state,
                heartbeat.store,
                heartbeat.lease_stamp,
                heartbeat.table_revision,
                now,
            )

    def live(self, now: float) -> list[DaemonStatus]:
        """Return the daemons whose last heartbeat is within the timeout, sorted by VM."""
        oldest = now - self._timeout_s
        return [peer for _, peer in sorted(self._peers.items()) if peer.received_at >= oldest]

    @property
    def any_peer_reaches_store(self) -> bool:
        """Whether any daemon's newest heartbeat reports the store as reachable."""
        return any(peer.store == StoreReach.REACHABLE for peer in self._peers.values())

    def stamps(self, *, since: float) -> dict[MemberId, int]:
        """Return the newest stamp of every daemon with a heartbeat received at `since` or later."""
        recent = [peer for peer in self._peers.values() if peer.received_at >= since]
        return {peer.id: peer.stamp for peer in recent}
