"""The newest heartbeats of the own region's daemons, as ownership needs them."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from gooseberryport_core._lease_table import MemberId
from gooseberryport_core.events import Event, MessageArrived
from gooseberryport_core.messages import Heartbeat, ZoneSummary
from gooseberryport_core.types import RegionName, StoreReach, VmId, VmState, ZoneName


class DaemonStatus(msgspec.Struct, frozen=True):
    """What a daemon of the region told in its newest heartbeat, and when it arrived."""

    id: MemberId
    zone: ZoneName
    address: str
    state: VmState
    store: StoreReach
    stamp: int
    table_revision: int
    received_at: float


def heartbeats_in(event: Event) -> tuple[Heartbeat, ...]:
    """Return the heartbeats that an event carries."""
    if not isinstance(event, MessageArrived):
        return ()
    if isinstance(event.message, Heartbeat):
        return (event.message,)
    if isinstance(event.message, ZoneSummary):
        return event.message.heartbeats
    return ()


class RegionPeers:
    """Keep the daemons of one region that were heard.

    Parameters
    ----------
    region
        The region.
    own
        This daemon, which is left out.
    timeout_s
        Silence after which a daemon no longer counts as heard; seconds.
    """

    def __init__(self, *, region: RegionName, own: VmId, timeout_s: float) -> None:
        self._region = region
        self._own = own
        self._timeout_s = timeout_s
        self._peers: dict[VmId, DaemonStatus] = {}

    def record_heartbeats(self, heartbeats: Iterable[Heartbeat], now: float) -> None:
        """Take heartbeats; of each daemon the newest stamp of the newest incarnation counts."""
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
        """Return the daemons heard in time, by name."""
        oldest = now - self._timeout_s
        return [peer for _, peer in sorted(self._peers.items()) if peer.received_at >= oldest]

    @property
    def any_peer_reaches_store(self) -> bool:
        """Whether any daemon said in its newest heartbeat that it reaches the service."""
        return any(peer.store == StoreReach.REACHABLE for peer in self._peers.values())

    def stamps(self, *, since: float) -> dict[MemberId, int]:
        """Return the newest stamp of every daemon heard since then."""
        recent = [peer for peer in self._peers.values() if peer.received_at >= since]
        return {peer.id: peer.stamp for peer in recent}
