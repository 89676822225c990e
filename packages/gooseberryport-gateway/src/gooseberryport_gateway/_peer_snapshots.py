"""State of a gateway for another one that starts, so that a start costs few calls to the store."""

from __future__ import annotations

import asyncio
import zlib
from collections.abc import Sequence
from enum import Enum
from urllib.parse import urlencode

import msgspec

from gooseberryport_core.decoding import InputError, decode_with, parse_address
from gooseberryport_core.gateway.store_epochs import StorePosition
from gooseberryport_core.log_events import LogNumber
from gooseberryport_core.types import RegionName
from gooseberryport_gateway._byte_limits import SERVICE_BUDGET, SERVICE_LIMITS
from gooseberryport_gateway._http_conn import open_conn
from gooseberryport_gateway._http_response import HttpResponse
from gooseberryport_gateway._logs import Log
from gooseberryport_gateway.errors import NotSentError, ResponseLostError
from gooseberryport_gateway.wire import StoreSnapshot

SNAPSHOT_PATH = "/v1/snapshot"

SNAPSHOT_TIMEOUT_S = 0.5
"""Timeout for fetching another gateway's snapshot: many times a round trip; seconds."""

SNAPSHOT_CONNECT_TIMEOUT_S = 0.1
"""Timeout for connecting to another gateway at a start, after a loss of power to many: longer than
a round trip between regions, and short compared with a start; seconds."""

START_WAIT_S = 2.5
"""Time for which a starting gateway waits for another one's state if others answer that they have
none yet; a start of all gateways must not read all entries once for each; seconds."""

REFUSED_WAIT_S = 1.0
"""The same if no gateway listens yet on the seeds' VMs, which start together: longer than a
process takes to start on a small VM; seconds."""

MAX_SNAPSHOT_REQUESTS = 8
"""Maximum gateways that are asked for their state at once."""

COMPRESSED = b"deflate"
COMPRESSION_LEVEL = 1

MAX_SNAPSHOT_BYTES = 33_554_432
"""Maximum size of a decompressed snapshot, many times that of the largest fleet."""


class CachedSnapshot(msgspec.Struct, frozen=True):
    """An encoded snapshot for one region, and when it was made; monotonic seconds."""

    at: float
    data: bytes


class PeerState(Enum):
    """What a request for another gateway's state has shown."""

    LOADED = "loaded"
    STARTING = "starting"
    """The gateway answers, but has no recent state."""

    REFUSED = "refused"
    """Its VM is up, but no gateway listens there."""

    SILENT = "silent"


class FetchedSnapshot(msgspec.Struct, frozen=True):
    """The state that was fetched, or None, and what the gateways' answers show.

    Parameters
    ----------
    states
        What each of the gateways that answered has shown.
    snapshot, address
        The state, and the gateway that returned it.
    """

    states: frozenset[PeerState]
    snapshot: StoreSnapshot | None = None
    address: str = ""

    @property
    def position(self) -> StorePosition | None:
        """Position in the store's history that the state corresponds to; None without a state."""
        return self.snapshot.position if self.snapshot is not None else None

    @property
    def wait_s(self) -> float:
        """How long after the start it is worth to ask again; seconds."""
        if PeerState.STARTING in self.states:
            return START_WAIT_S
        return REFUSED_WAIT_S if PeerState.REFUSED in self.states else 0.0


class _Answer(msgspec.Struct, frozen=True):
    """Result of a request for a gateway's state; `snapshot` is None if it has none."""

    address: str
    state: PeerState
    snapshot: StoreSnapshot | None = None


_decoder = msgspec.msgpack.Decoder(StoreSnapshot)


async def fetch_snapshot(
    addresses: Sequence[str], *, region: RegionName, max_age_s: float, min_epoch: int, log: Log
) -> FetchedSnapshot:
    """Return the first recent state that another gateway returns.

    Parameters
    ----------
    addresses
        Control addresses of the gateways, of which the first few are asked.
    region
        Region of this gateway.
    max_age_s
        Maximum age of the state; seconds.
    min_epoch
        Epoch of the store in which the state must be, or a later one.
    log
        Where gateways are logged that don't answer.
    """
    loop = asyncio.get_running_loop()
    requests = [
        loop.create_task(_request(address, region=region, log=log))
        for address in addresses[:MAX_SNAPSHOT_REQUESTS]
    ]
    states: set[PeerState] = set()
    try:
        for request in asyncio.as_completed(requests):
            answer = await request
            states.add(answer.state)
            snapshot = answer.snapshot
            if snapshot is None or snapshot.epoch < min_epoch:
                continue
            if snapshot.age_s <= max_age_s:
                return FetchedSnapshot(
                    states=frozenset(states), snapshot=snapshot, address=answer.address
                )
    finally:
        for task in requests:
            task.cancel()
    return FetchedSnapshot(states=frozenset(states))


async def _request(address: str, *, region: RegionName, log: Log) -> _Answer:
    """Request the state of the gateway at an address."""
    query = urlencode({"region": region})
    request = (
        f"GET {SNAPSHOT_PATH}?{query} HTTP/1.1\r\nhost: {address}\r\n"
        f"accept-encoding: {COMPRESSED.decode()}\r\n\r\n"
    )
    try:
        async with asyncio.timeout(SNAPSHOT_TIMEOUT_S):
            conn = await open_conn(
                parse_address(address),
                timeout_s=SNAPSHOT_CONNECT_TIMEOUT_S,
                limits=SERVICE_LIMITS,
                budget=SERVICE_BUDGET,
            )
            try:
                response = await conn.request(request.encode())
            finally:
                conn.close()
        snapshot = _decode(response) if response.status == 200 else None
    except (NotSentError, ResponseLostError, TimeoutError, InputError, zlib.error) as exc:
        log.write(LogNumber.GATEWAY_PEER_SILENT, address=address, reason=repr(exc))
        refused = isinstance(exc.__cause__, ConnectionRefusedError)
        return _Answer(address=address, state=PeerState.REFUSED if refused else PeerState.SILENT)
    state = PeerState.STARTING if snapshot is None else PeerState.LOADED
    return _Answer(address=address, state=state, snapshot=snapshot)


def _decode(response: HttpResponse) -> StoreSnapshot:
    body = response.body
    if response.header(b"content-encoding") == COMPRESSED:
        body = zlib.decompressobj().decompress(body, MAX_SNAPSHOT_BYTES)
    return decode_with(_decoder.decode, body)
