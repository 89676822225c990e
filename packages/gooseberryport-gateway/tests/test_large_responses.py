"""Large responses beyond the memory of the process: who waits, and who loses what."""

import asyncio
import contextlib
import os
import socket
import zlib

import pytest
from gateway_harness import (
    connect_client,
    header_value,
    make_request,
    make_response,
    run,
    start_gateway,
    start_upstream,
)
from test_wire_fuzz import FakeTransport

from gooseberryport_core.gateway.model import ClientLimits, Repeatability
from gooseberryport_core.gateway.response_memory import (
    MAX_UNREAD_BYTES,
    READ_BYTES,
    SMALL_RESPONSE_BYTES,
    WRITING_FRACTION,
    ResponseMemory,
)
from gooseberryport_gateway import _client_conn
from gooseberryport_gateway._byte_limits import MAX_RESPONSE_BODY_BYTES
from gooseberryport_gateway._client_conn import MAX_PIPELINED_REQUESTS
from gooseberryport_gateway._http_conn import HttpConn
from gooseberryport_standins.samples import make_route
from gooseberryport_standins.streams import start_stream_server

MB = 1_000_000
PIECE = 262_144
BODY = os.urandom(MB) * 8
KERNEL_BYTES = 65_536
"""Size of the socket buffers in these tests, so that unread bytes stay in the gateway."""


@contextlib.asynccontextmanager
async def start_large_upstream(*, unread_s):
    """Serve bodies of the size that a request's path names, and close what stays unread.

    Yields its port, the responses that it closed, and the connections that it can't write on with,
    each with its request.
    """
    cut, unread = [], {}

    async def serve(reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                request_id = header_value(head, b"x-id")
                size = int(head.split(b" ")[1].rpartition(b"/")[2])
                writer.write(make_response(head, body=BODY[:size])[:-size])
                for start in range(0, size, PIECE):
                    writer.write(BODY[start : min(start + PIECE, size)])
                    unread[writer.transport] = request_id
                    async with asyncio.timeout(unread_s):
                        await writer.drain()
                    del unread[writer.transport]
        except TimeoutError:
            cut.append(1)
            writer.transport.abort()
        except (ConnectionError, asyncio.IncompleteReadError):
            return

    server = await start_stream_server(serve)
    server.sockets[0].setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, KERNEL_BYTES)
    try:
        yield server.sockets[0].getsockname()[1], cut, unread
    finally:
        server.close()


@contextlib.asynccontextmanager
async def start_small_gateway(*, process_bytes, idle_timeout_s=15.0, **changes):
    """Start a gateway with little memory and one upstream.

    Yields it, what the upstream cut, and what it can't write on with.
    """
    route = make_route(timeout_s=19.0, **changes)
    limits = ClientLimits(idle_timeout_s=idle_timeout_s)
    async with (
        start_large_upstream(unread_s=20.0) as (port, cut, unread),
        start_gateway(route, limits=limits) as gateway,
    ):
        gateway.listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, KERNEL_BYTES)
        gateway.response_memory = ResponseMemory(process_bytes=process_bytes)
        gateway.put_upstream("u1", port, slots=500)
        yield gateway, cut, unread


def request_for(size, *, number=0, extra=b""):
    return make_request(
        path=b"/a/%d" % size, request_id=b"i%d" % number, deadline_ms=19_000, extra=extra
    )


@contextlib.asynccontextmanager
async def connect_raw(gateway):
    """Connect a client with small socket buffers; what it does not read stays in the gateway."""
    loop = asyncio.get_running_loop()
    with contextlib.closing(socket.socket()) as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, KERNEL_BYTES)
        sock.setblocking(False)
        await loop.sock_connect(sock, ("127.0.0.1", gateway.port))
        yield sock


async def read_body(gateway, size, *, number=0):
    """Request one body on a connection of its own; return its status and whether it is whole."""
    async with connect_client(gateway) as client:
        client.send(request_for(size, number=number))
        head = await client._reader.readuntil(b"\r\n\r\n")
        left, crc = int(header_value(head, b"content-length")), 0
        while left:
            data = await client._reader.read(PIECE)
            assert data
            crc = zlib.crc32(data, crc)
            left -= len(data)
        return int(head.split(b" ")[1]), crc == zlib.crc32(BODY[:size])


async def until(condition):
    while not condition():
        await asyncio.sleep(0.01)


# Guards against large responses that are given up, though clients read them: 48 of 60 got a 502.
def test_large_responses_at_once_are_all_delivered_and_stay_within_the_memory():
    async def main():
        async with start_small_gateway(process_bytes=200 * MB) as (gateway, *_):
            memory, peak = gateway.response_memory, 0

            async def watch():
                nonlocal peak
                while True:
                    peak = max(peak, memory.total_bytes)
                    await asyncio.sleep(0)

            watcher = asyncio.create_task(watch())
            results = await asyncio.gather(
                *(read_body(gateway, 7 * MB, number=number) for number in range(60))
            )
            watcher.cancel()
            assert results == [(200, True)] * 60
            most = 25 * MB * (1 + WRITING_FRACTION) + MAX_RESPONSE_BODY_BYTES
            assert 20 * MB < peak <= most + 60 * 2 * SMALL_RESPONSE_BYTES
            assert memory.total_bytes == memory.paused_responses == 0

    run(main())


# Guards against a client that reads nothing, whose replies take the memory of all others.
def test_client_that_stops_reading_loses_only_its_own_responses():
    async def main():
        async with start_small_gateway(process_bytes=24 * MB, idle_timeout_s=0.5) as (
            gateway,
            cut,
            _,
        ):
            memory = gateway.response_memory
            async with connect_raw(gateway) as stalled:
                stalled.send(b"".join(request_for(2 * MB, number=n) for n in range(8)))
                await until(lambda: memory.writing_bytes > MB)
                for _ in range(3):
                    results = await asyncio.gather(
                        *(read_body(gateway, 2 * MB, number=100 + n) for n in range(8))
                    )
                    assert results == [(200, True)] * 8
                await until(lambda: gateway.slow_clients)
                assert len(gateway.slow_clients) == 1
                assert gateway.slow_clients[0].unread_bytes > MB
            await until(lambda: not gateway.conns)
            assert memory.total_bytes == 0
            assert cut == []

    run(main())


# Guards against memory that stays counted for clients that have closed their connections.
def test_client_that_leaves_frees_its_memory():
    async def main():
        async with start_small_gateway(process_bytes=24 * MB) as (gateway, *_):
            memory = gateway.response_memory
            async with contextlib.AsyncExitStack() as clients:
                for number in range(4):
                    client = await clients.enter_async_context(connect_raw(gateway))
                    client.send(request_for(2 * MB, number=number))
                await until(lambda: memory.paused_responses)
                waiting = asyncio.create_task(read_body(gateway, 2 * MB))
                await asyncio.sleep(0.05)
                assert not waiting.done()
                # A reply is passed to the transport no faster than the client reads it.
                buffered = [conn._transport.get_write_buffer_size() for conn in gateway.conns]
                assert 0 < max(buffered) < 4 * READ_BYTES
            assert await waiting == (200, True)
            await until(lambda: not gateway.conns)
            assert memory.total_bytes == memory.paused_responses == 0

    run(main())


# Guards against small responses that wait for large ones, and against large ones starved by them.
def test_small_responses_pass_while_the_memory_is_used_up():
    async def main():
        async with start_small_gateway(process_bytes=24 * MB) as (gateway, *_):
            memory = gateway.response_memory
            async with contextlib.AsyncExitStack() as clients:
                for number in range(4):
                    client = await clients.enter_async_context(connect_raw(gateway))
                    client.send(request_for(2 * MB, number=number))
                await until(lambda: memory.paused_responses)
                start = asyncio.get_running_loop().time()
                for size in (2_000, SMALL_RESPONSE_BYTES):
                    results = await asyncio.gather(
                        *(read_body(gateway, size, number=100 + n) for n in range(100))
                    )
                    assert results == [(200, True)] * 100
                assert asyncio.get_running_loop().time() - start < 2.0
                assert memory.paused_responses

    run(main())


# Guards against a response that an upstream cut off while it waited, and that is called "not run"
# or costs other requests.
@pytest.mark.parametrize("repeatability", [Repeatability.AT_MOST_ONCE, Repeatability.IDEMPOTENT])
def test_paused_response_that_the_upstream_cuts_off_ends_with_502(repeatability):
    async def main():
        async with start_small_gateway(
            process_bytes=24 * MB, repeatability=repeatability, max_attempts=1
        ) as (gateway, _, unread):
            memory = gateway.response_memory
            async with contextlib.AsyncExitStack() as clients:
                for number in range(4):
                    client = await clients.enter_async_context(connect_raw(gateway))
                    client.send(request_for(2 * MB, number=number))
                # One is complete and not read by its client, so the others wait.
                await until(lambda: memory.writing_bytes > MB and memory.paused_responses == 3)
                # Larger than the buffers of the sockets.
                waiting = asyncio.create_task(read_body(gateway, 7 * MB, number=7))
                await until(lambda: memory.paused_responses == 4 and b"i7" in unread.values())
                for transport in unread:
                    transport.abort()
            assert (await waiting)[0] == 502
            upstream = gateway.state.upstreams.get("u1")
            assert upstream.failure_fraction == 0.0
            assert await read_body(gateway, 2 * MB, number=8) == (200, True)

    run(main())


# Guards against pipelined requests that run although their client does not read the replies.
def test_requests_behind_many_unread_replies_are_started_when_these_are_read():
    size, requests = 20_000, 150

    async def main():
        async with (
            start_upstream(lambda head, _: make_response(head, body=BODY[:size])) as upstream,
            start_gateway(make_route(timeout_s=15.0)) as gateway,
        ):
            gateway.listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, KERNEL_BYTES)
            memory = gateway.response_memory = ResponseMemory(process_bytes=200 * MB)
            gateway.put_upstream("u1", upstream.port, slots=500)
            async with connect_raw(gateway) as sock:
                sock.send(
                    b"".join(
                        make_request(request_id=b"i%d" % number, deadline_ms=9000)
                        for number in range(requests)
                    )
                )
                await until(lambda: memory.total_bytes > (MAX_PIPELINED_REQUESTS - 20) * size)
                await asyncio.sleep(0.1)
                # The others replace ones whose replies fit into the sockets' buffers or the limit.
                read = 4 * KERNEL_BYTES + MAX_UNREAD_BYTES
                started = len(upstream.requests_received)
                assert started <= MAX_PIPELINED_REQUESTS + read // size + 1 < requests
                loop, received = asyncio.get_running_loop(), 0
                while received < requests * size:
                    received += len(await loop.sock_recv(sock, PIECE))
                assert len(upstream.requests_received) == requests

    run(main())


# Guards against a last reply that is cut off while its client still reads it, more slowly than the
# delay after which connections are closed and longer than the idle timeout.
@pytest.mark.parametrize("extra", [b"", b"Connection: close"])
def test_client_that_reads_slowly_gets_the_whole_reply(extra, monkeypatch):
    monkeypatch.setattr(_client_conn, "CLOSE_DELAY_S", 0.05)

    async def main():
        async with start_small_gateway(process_bytes=200 * MB, idle_timeout_s=0.3) as (gateway, *_):
            async with connect_raw(gateway) as sock:
                loop, size, received = asyncio.get_running_loop(), 3 * MB, 0
                sock.send(request_for(size, extra=extra))
                start = loop.time()
                while data := await loop.sock_recv(sock, 65_536):
                    received += len(data)
                    await asyncio.sleep(0.02)
                assert loop.time() - start > 0.8
            assert received > size
            assert gateway.response_memory.total_bytes == 0

    run(main())


# Guards against a reply that is cut off because its client, which sends no more, closes its side.
@pytest.mark.parametrize("extra", [b"", b"Connection: close"])
def test_client_that_closes_its_side_while_it_reads_gets_the_whole_reply(extra):
    async def main():
        async with start_small_gateway(process_bytes=200 * MB) as (gateway, *_):
            async with connect_raw(gateway) as sock:
                loop, size, received = asyncio.get_running_loop(), 3 * MB, 0
                sock.send(request_for(size, extra=extra))
                await until(lambda: gateway.response_memory.writing_bytes)
                sock.shutdown(socket.SHUT_WR)
                await asyncio.sleep(0.1)
                while data := await loop.sock_recv(sock, PIECE):
                    received += len(data)
            assert received > size
            await until(lambda: not gateway.conns)
            assert gateway.response_memory.total_bytes == 0

    run(main())


# Guards against a body in tiny pieces that needs many times its size, and miscounted bytes.
def test_counted_body_in_tiny_chunks_is_held_in_large_ones_and_counted_once():
    body = BODY[:100_000]
    data = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    data += b"".join(b"1\r\n%c\r\n" % byte for byte in body) + b"0\r\n\r\n"

    async def main():
        memory = ResponseMemory(process_bytes=200 * MB)
        client = memory.new_client(on_disconnect=lambda: None, poll=lambda: None)
        held = client.new_response()
        conn = HttpConn()
        conn.connection_made(FakeTransport())
        task = asyncio.create_task(conn.request(b"GET / HTTP/1.1\r\n\r\n", held=held))
        await asyncio.sleep(0)
        for start in range(0, len(data), 6_000):
            conn.data_received(data[start : start + 6_000])
            if not task.done() and start + 6_000 < len(data):
                assert memory.total_bytes == sum(map(len, conn._body))
        response = await task
        assert b"".join(response.chunks) == body and len(response.chunks) == 2
        # As the client's connection does for a reply that waits for an earlier one.
        held.settle(num_bytes=response.body_bytes, finished=True)
        assert memory.total_bytes == client.unread_bytes == response.body_bytes == len(body)
        assert conn.usable

    run(main())
