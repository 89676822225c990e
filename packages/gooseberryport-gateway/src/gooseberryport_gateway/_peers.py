"""Datagrams between gateways: who is alive, who leaves, and what each has in flight."""

from __future__ import annotations

import asyncio
from typing import cast

import msgspec

from gooseberryport_core.log_events import LogNumber
from gooseberryport_core.types import VmId
from gooseberryport_gateway._state import GatewayState

NEAR_EVERY_S = 0.2
"""Pause between datagrams in a region: the time of a warm request; seconds."""

MIN_REMOTE_PERIOD_ROUNDS = 2
MAX_REMOTE_PERIOD_ROUNDS = 4
"""Datagrams in a region for each one to other regions, where bytes are dear: the fewest, and the
most, since loads and gateways are believed for some seconds only."""

FEW_FAR_PEERS = 8
"""Gateways of other regions up to which they get the most datagrams; the sum then stays."""

UPDATE_DELAY_S = 0.01
"""How long an update waits for more before it is sent; seconds."""


def remote_period_rounds(*, remote_peers: int) -> int:
    """Return the datagrams in a region for each one to other regions.

    Load pattern: a large fleet, in which all gateways tell those of other regions of their loads,
    so that these bytes grow with the square of its size.
    """
    return min(
        MAX_REMOTE_PERIOD_ROUNDS,
        max(MIN_REMOTE_PERIOD_ROUNDS, MIN_REMOTE_PERIOD_ROUNDS * remote_peers // FEW_FAR_PEERS),
    )


class PeerReport(msgspec.Struct, array_like=True):
    """What a gateway tells the others.

    Parameters
    ----------
    vm, incarnation
        Who reports.
    ready
        Whether it serves clients: it knows a configuration and is not about to stop.
    loads
        Requests in flight by the hash of the upstream's id.
    warm
        Pairs of upstream and object that became warm lately, as short hashes.
    follows_store
        Whether the store answers it.
    """

    vm: str
    incarnation: int
    ready: bool
    loads: dict[int, int]
    warm: list[tuple[int, int]] = []
    follows_store: bool = True


class Peers(asyncio.DatagramProtocol):
    """Send and take reports.

    Parameters
    ----------
    state
        State that reports change.
    """

    def __init__(self, *, state: GatewayState) -> None:
        self._state = state
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.DatagramTransport | None = None
        self._soon: asyncio.TimerHandle | None = None
        self._decoder = msgspec.msgpack.Decoder(PeerReport)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take a report in."""
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
        self._state.fleet.note_heard(
            VmId(report.vm),
            incarnation=report.incarnation,
            ready=report.ready,
            follows_store=report.follows_store,
            now=now,
        )
        self._state.record_peer_loads(report.vm, report.loads, now=now)
        self._state.record_peer_warmth(report.warm, now=now)

    def error_received(self, exc: Exception) -> None:
        """Ignore that a peer's port is closed: its silence tells the same."""

    async def report(self) -> None:
        """Send reports, for ever."""
        self._state.on_warmth_update = self._send_soon
        since_far = 0
        while True:
            since_far += 1
            far = since_far >= self._far_every()
            if far:
                since_far = 0
            self.send(far=far)
            await asyncio.sleep(NEAR_EVERY_S)

    def _far_every(self) -> int:
        peers = self._state.fleet.peers(now=self._loop.time())
        remote_peers = sum(peer.region != self._state.me.region for peer in peers)
        return remote_period_rounds(remote_peers=remote_peers)

    def _send_soon(self) -> None:
        if self._soon is None:
            self._soon = self._loop.call_later(UPDATE_DELAY_S, self._send_updates)

    def _send_updates(self) -> None:
        self._soon = None
        self.send(far=False)

    def send(self, *, far: bool = True) -> None:
        """Send one report to every peer of the region, and to those of others if `far`."""
        if self._transport is None:
            return
        state = self._state
        now = self._loop.time()
        loads = state.loads()
        # Objects are asked for from one region, so only its gateways need to know of them.
        near_data = msgspec.msgpack.encode(
            self._report(loads=loads, warm=state.warm_updates(now=now))
        )
        far_data = msgspec.msgpack.encode(self._report(loads=loads, warm=[])) if far else b""
        for peer in state.fleet.peers(now=now):
            if peer.region == state.me.region:
                self._transport.sendto(near_data, peer.datagrams)
            elif far:
                self._transport.sendto(far_data, peer.datagrams)

    def _report(self, *, loads: dict[int, int], warm: list[tuple[int, int]]) -> PeerReport:
        return PeerReport(
            vm=self._state.me.vm,
            incarnation=self._state.me.incarnation,
            ready=self._state.ready,
            loads=loads,
            warm=warm,
            follows_store=self._state.follows_store,
        )
