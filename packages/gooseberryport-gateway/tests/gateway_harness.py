"""A gateway in one event loop, with scripted upstreams and clients on loopback."""

import asyncio
import contextlib
import os
import socket

from gooseberryport_core.gateway.model import (
    ClientLimits,
    Member,
    RoutingConfig,
    ServiceSpec,
)
from gooseberryport_gateway._client_conn import ClientConn
from gooseberryport_gateway._forwarder import Forwarder
from gooseberryport_gateway._logs import Log
from gooseberryport_gateway._metrics import Metrics
from gooseberryport_gateway._peers import Peers
from gooseberryport_gateway._pool import ConnPool
from gooseberryport_gateway._state import GatewayState
from gooseberryport_gateway.wire import Bounds, GatewaySettings, HeaderNames
from gooseberryport_standins.samples import make_entry
from gooseberryport_standins.streams import open_stream, start_stream_server
from gooseberryport_standins.unreachable import drop_received

HEADER_NAMES = HeaderNames(
    request_id=b"x-id",
    deadline_ms=b"x-deadline",
    expected_upstream=b"x-expect",
    upstream=b"x-upstream",
    signature=b"x-signature",
    not_executed=b"x-not-run",
    load=b"x-load",
    rate_limit=b"x-rate-limit",
    cold_ms=b"x-cold",
    object_cookie=b"Object",
)

SETTINGS = GatewaySettings(
    vm="vm1",
    zone="a1",
    region="A",
    regions={"a1": "A", "b1": "B"},
    ip="127.0.0.1",
    front="127.0.0.1:0",
    ready="",
    lookup="",
    control="",
    peer_port=0,
    seeds=(),
    store="127.0.0.1:1",
    lease_min_ms=1000,
    bounds=Bounds(
        retry_ratio=0.2,
        retry_slack=50.0,
        retry_window_s=10.0,
        cold_overage=1.5,
        cold_slack=5.0,
        drain_s=2.0,
        grace_s=6.0,
        max_lookup_ttl_s=5.0,
    ),
)


def run(coroutine):
    return asyncio.run(asyncio.wait_for(coroutine, 20))


def make_config(*routes, version=1, limits=None, **tenants):
    spec = ServiceSpec("s", "/health", 3.0, 4.0)
    return RoutingConfig(
        version=version,
        routes=routes,
        services={"s": spec},
        limits=limits or ClientLimits(),
        **tenants,
    )


class ScriptedUpstream:
    """Responds to requests with the bytes that a script returns for the head and the request count.

    If the script returns None, no response is sent; empty bytes close the connection.
    """

    def __init__(self, script):
        self._script = script
        self.requests_received = []
        self.open_connections = 0
        self.disconnected = asyncio.Event()
        self._writers = set()
        self.port = 0

    async def serve(self, reader, writer):
        self.open_connections += 1
        self._writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = header_value(head, b"content-length")
                body = await reader.readexactly(int(length or 0))
                self.requests_received.append(head + body)
                response = self._script(head, len(self.requests_received))
                if asyncio.iscoroutine(response):
                    response = await response
                if response is None:
                    await reader.read()
                    return
                if not response:
                    return
                writer.write(response)
                await writer.drain()
                if b"connection: close" in response.lower():
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            self.open_connections -= 1
            self.disconnected.set()
            self._writers.discard(writer)

    def stop_listening(self):
        self.server.close()

    def drop_received(self):
        """Drop what arrives on its connections, as if its host had lost power."""
        for writer in self._writers:
            drop_received(writer.get_extra_info("socket"))

    def close_connections(self):
        for writer in list(self._writers):
            writer.close()


def header_value(head, name):
    for line in head.split(b"\r\n"):
        if line.lower().startswith(name.lower() + b":"):
            return line.partition(b":")[2].strip()
    return None


def make_response(head, *, status=b"200 OK", body=b"ok", signed=True, extra=b"", request_id=None):
    lines = [b"HTTP/1.1 " + status, b"content-length: %d" % len(body)]
    lines.append(b"x-id: " + (request_id or header_value(head, b"x-id") or b""))
    if signed:
        lines.append(b"x-signature: sig")
    if extra:
        lines.append(extra)
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


@contextlib.asynccontextmanager
async def start_upstream(script):
    scripted = ScriptedUpstream(script)
    server = await start_stream_server(scripted.serve)
    scripted.server = server
    scripted.port = server.sockets[0].getsockname()[1]
    try:
        yield scripted
    finally:
        server.close()


class GatewayHarness:
    """A gateway's state and forwarder; `start_gateway` adds a listener on loopback."""

    def __init__(self, *, vm="vm1", datagrams=("127.0.0.1", 1)):
        self.log_fd = os.open(os.devnull, os.O_WRONLY)
        member = Member(vm, "a1", "A", "127.0.0.1:1", datagrams, 1)
        self.state = GatewayState(
            settings=SETTINGS, me=member, log=Log(vm=vm, fd=self.log_fd), metrics=Metrics()
        )
        self.pool = ConnPool(id_header=HEADER_NAMES.request_id, on_last_closed=lambda _: None)
        self.forwarder = Forwarder(state=self.state, pool=self.pool, names=HEADER_NAMES)
        self.conns = set()
        self.memory = None
        self.response_memory = None
        self.slow_clients = []
        self.port = 0

    async def check_response_memory(self):
        while True:
            if self.response_memory is not None:
                now = asyncio.get_running_loop().time()
                idle_timeout_s = self.state.limits.idle_timeout_s
                self.slow_clients += self.response_memory.check(
                    now=now, idle_timeout_s=idle_timeout_s
                )
            await asyncio.sleep(0.1)

    def put_upstream(self, name, port, **changes):
        entry = make_entry(name, address=("127.0.0.1", port), **changes)
        self.state.put_upstream(entry, now=asyncio.get_running_loop().time())


@contextlib.asynccontextmanager
async def start_gateway(*routes, limits=None, **location):
    gateway = GatewayHarness(**location)
    if routes:
        gateway.state.apply_config(make_config(*routes, limits=limits))
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        lambda: ClientConn(
            handler=gateway.forwarder.handle,
            limits=lambda: gateway.state.limits,
            conns=gateway.conns,
            memory=gateway.memory,
            response_memory=gateway.response_memory,
        ),
        "127.0.0.1",
        0,
    )
    gateway.listener = server.sockets[0]
    gateway.port = server.sockets[0].getsockname()[1]
    checks = loop.create_task(gateway.check_response_memory())
    try:
        yield gateway
    finally:
        checks.cancel()
        server.close()
        for conn in list(gateway.conns):
            conn.abort()
        os.close(gateway.log_fd)


@contextlib.asynccontextmanager
async def start_fleet(count, *routes):
    """Start gateways that send each other datagrams; yield them by the names of their VMs."""
    loop = asyncio.get_running_loop()
    async with contextlib.AsyncExitStack() as stack:
        gateways = {}
        for number in range(1, count + 1):
            with contextlib.closing(socket.socket(socket.AF_INET, socket.SOCK_DGRAM)) as probe:
                probe.bind(("127.0.0.1", 0))
                address = probe.getsockname()
            vm = f"vm{number}"
            gateways[vm] = await stack.enter_async_context(
                start_gateway(*routes, vm=vm, datagrams=address)
            )
        members = [gateway.state.me for gateway in gateways.values()]
        for gateway in gateways.values():
            gateway.state.fleet.set_listed(members, now=loop.time())
            peers = Peers(state=gateway.state)
            transport, _ = await loop.create_datagram_endpoint(
                lambda peers=peers: peers, local_addr=gateway.state.me.datagrams
            )
            stack.callback(transport.close)
            stack.callback(loop.create_task(peers.report()).cancel)
        yield gateways


def make_request(
    *,
    method=b"GET",
    path=b"/a/x",
    request_id=b"id1",
    object_key=b"7",
    deadline_ms=900,
    body=b"",
    extra=b"",
):
    lines = [method + b" " + path + b" HTTP/1.1", b"Host: h.example", b"X-Id: " + request_id]
    lines.append(b"X-Deadline: %d" % deadline_ms)
    lines.append(b"Cookie: Object=" + object_key)
    if body or method == b"POST":
        lines.append(b"Content-Length: %d" % len(body))
    if extra:
        lines.append(extra)
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


class Client:
    """A client's connection: sends bytes and reads complete replies."""

    def __init__(self, reader, writer):
        self._reader = reader
        self.writer = writer

    def send(self, data):
        self.writer.write(data)

    async def read_reply(self):
        head = await self._reader.readuntil(b"\r\n\r\n")
        body = await self._reader.readexactly(int(header_value(head, b"content-length") or 0))
        return int(head.split(b" ")[1]), head.lower(), body

    async def is_closed(self):
        return await self._reader.read() == b""

    def close(self):
        self.writer.close()


@contextlib.asynccontextmanager
async def connect_client(gateway):
    async with open_stream(gateway.port) as (reader, writer):
        yield Client(reader, writer)


async def send_request(gateway, data):
    async with connect_client(gateway) as client:
        client.send(data)
        return await client.read_reply()
