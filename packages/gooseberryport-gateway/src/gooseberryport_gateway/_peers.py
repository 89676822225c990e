"""Datagrams between gateways: liveness, readiness, and requests in flight."""

from __future__ import annotations

import asyncio
from typing import cast

import msgspec

from gooseberryport_core.log_events import LogNumber
from gooseberryport_core.types import VmId
from gooseberryport_gateway._state import GatewayState

REPORT_INTERVAL_S = 0.2
"""Interval between datagrams within a region: the time of a warm request; seconds."""

MIN_REMOTE_PERIOD_ROUNDS = 2
MAX_REMOTE_PERIOD_ROUNDS = 4
"""Bounds of the period of datagrams to other regions, counted in rounds within the region. Bytes to
other regions are costly, but load reports and gateways expire after a few seconds."""

MAX_PEERS_AT_MIN_REMOTE_PERIOD = 8
"""Number of gateways in other regions up to which the period is the minimum. Beyond it the period
grows with their number, so that the rate of datagrams that one gateway sends to other regions stays
about the same, until the period reaches `MAX_REMOTE_PERIOD_ROUNDS`."""

UPDATE_DELAY_S = 0.01
"""Delay before an update is sent, so that several are combined; seconds."""


def remote_period_rounds(*, remote_peers: int) -> int:
    """Return how many rounds within the region pass for each round to other regions.

    Load pattern: a large fleet, in which all gateways report their loads to those of other regions,
    so that this traffic grows with the square of the fleet's size.
    """
    return min(
        MAX_REMOTE_PERIOD_ROUNDS,
        max(
            MIN_REMOTE_PERIOD_ROUNDS,
            MIN_REMOTE_PERIOD_ROUNDS * remote_peers // MAX_PEERS_AT_MIN_REMOTE_PERIOD,
        ),
    )


class PeerReport(msgspec.Struct, array_like=True):
    """What a gateway reports to the others.

    Parameters
    ----------
    vm, incarnation
        The gateway that reports.
    ready
        Whether it serves clients: it has a configuration and is not stopping.
    loads
        Requests in flight, keyed by the hash of the upstream's id.
    warm
        Pairs of upstream and object that became warm recently, as short hashes.
    follows_store
        Whether the store replies to it.
    """

    vm: str
    incarnation: int
    ready: bool
    loads: dict[int, int]
    warm: list[tuple[int, int]] = []
    follows_store: bool = True


class Peers(asyncio.DatagramProtocol):
    """Send this gateway's reports to the other gateways, and receive theirs.

    Parameters
    ----------
    state
        State of this gateway, which the received reports update.
    """

    def __init__(self, *, state: GatewayState) -> None:
        self._state = state
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.DatagramTransport | None = None
        self._update_timer: asyncio.TimerHandle | None = None
        self._decoder = msgspec.msgpack.Decoder(PeerReport)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Record a report of another gateway."""
        try:
            report = self._decoder.decode(data)
        except msgspec.DecodeError as exc:
            self._state.metrics.ignored.labels("datagram").inc()
            self._state.log.write(
                LogNumber.GATEWAY_DATAGRAM_IGNORED, sender=addr[0], reason=str(exc)
            )
            return
        now = self._loop.time()
        self._state.record_sender_ip(addr[0], now=now)
        self._state.fleet.record_datagram(
            VmId(report.vm),
            incarnation=report.incarnation,
            ready=report.ready,
            follows_store=report.follows_store,
            now=now,
        )
        self._state.record_peer_loads(report.vm, report.loads, now=now)
        self._state.record_peer_warmth(report.warm, now=now)

    def error_received(self, exc: Exception) -> None:
        """Ignore that a peer's port is closed: its missing reports show the same."""

    async def report(self) -> None:
        """Send reports periodically, forever."""
        self._state.on_warmth_update = self._schedule_update
        rounds_since_remote = 0
        while True:
            rounds_since_remote += 1
            include_remote = rounds_since_remote >= self._remote_period_rounds()
            if include_remote:
                rounds_since_remote = 0
            self.send(include_remote=include_remote)
            await asyncio.sleep(REPORT_INTERVAL_S)

    def _remote_period_rounds(self) -> int:
        peers = self._state.fleet.peers(now=self._loop.time())
        remote_peers = sum(peer.region != self._state.me.region for peer in peers)
        return remote_period_rounds(remote_peers=remote_peers)

    def _schedule_update(self) -> None:
        if self._update_timer is None:
            self._update_timer = self._loop.call_later(UPDATE_DELAY_S, self._send_updates)

    def _send_updates(self) -> None:
        self._update_timer = None
        self.send(include_remote=False)

    def send(self, *, include_remote: bool = True) -> None:
        """Send a report to all peers of the region, and of other regions if `include_remote`."""
        if self._transport is None:
            return
        state = self._state
        now = self._loop.time()
        loads = state.loads()
        # Each object is requested in one region, so only that region's gateways need its warmth.
        local_data = msgspec.msgpack.encode(
            self._report(loads=loads, warm=state.warm_updates(now=now))
        )
        remote_data = (
            msgspec.msgpack.encode(self._report(loads=loads, warm=[])) if include_remote else b""
        )
        for peer in state.fleet.peers(now=now):
            if peer.region == state.me.region:
                self._transport.sendto(local_data, peer.datagrams)
            elif include_remote:
                self._transport.sendto(remote_data, peer.datagrams)

    def _report(self, *, loads: dict[int, int], warm: list[tuple[int, int]]) -> PeerReport:
        return PeerReport(
            vm=self._state.me.vm,
            incarnation=self._state.me.incarnation,
            ready=self._state.ready,
            loads=loads,
            warm=warm,
            follows_store=self._state.follows_store,
        )
