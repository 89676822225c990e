"""Servers that send bytes that are no answer until the connection is closed."""

import asyncio
import itertools

import pytest
from gateway_harness import make_request, make_response, run, send_request, start_gateway
from test_wire_fuzz import FakeTransport

from gooseberryport_core.gateway.model import ClientLimits
from gooseberryport_gateway._byte_limits import (
    MAX_FIELDS,
    MAX_INTERIM_RESPONSES,
    MAX_OVERHEAD_BYTES,
    MAX_RESPONSE_BODY_BYTES,
    BufferBudget,
)
from gooseberryport_gateway._client_conn import ClientConn, Reply
from gooseberryport_gateway._http_conn import HttpConn
from gooseberryport_gateway.errors import ResponseLimitError
from gooseberryport_standins.samples import make_route
from gooseberryport_standins.streams import start_stream_server

BLOCK = 16_384
OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"

ENDLESS = {
    "status line": (b"HTTP/1.1 200 ", b"x" * BLOCK, MAX_OVERHEAD_BYTES),
    "header value": (OK + b"A: ", b"x" * BLOCK, MAX_OVERHEAD_BYTES),
    "header name": (OK, b"x" * BLOCK, MAX_OVERHEAD_BYTES),
    "header fields": (OK, b"a: b\r\n" * 1000, MAX_FIELDS * 6),
    "long header fields": (OK, (b"a: " + b"b" * 4000 + b"\r\n") * 4, MAX_OVERHEAD_BYTES),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 100, MAX_INTERIM_RESPONSES * 25),
    "interim fields": (b"", b"HTTP/1.1 103 Early\r\na: b\r\n\r\n" * 2, MAX_INTERIM_RESPONSES * 30),
    "chunk extension": (CHUNKED + b"5;", b"x" * BLOCK, MAX_OVERHEAD_BYTES),
    "trailers": (CHUNKED + b"0\r\n", b"a: b\r\n" * 1000, MAX_FIELDS * 6),
    "trailer value": (CHUNKED + b"0\r\nA: ", b"x" * BLOCK, MAX_OVERHEAD_BYTES),
    "body": (OK + b"\r\n", b"x" * BLOCK, MAX_RESPONSE_BODY_BYTES),
    "chunks": (CHUNKED, b"4000\r\n" + b"x" * BLOCK + b"\r\n", MAX_RESPONSE_BODY_BYTES * 1.1),
    "body with a length": (
        OK + b"Content-Length: 99999999999\r\n\r\n",
        b"x" * BLOCK,
        MAX_RESPONSE_BODY_BYTES,
    ),
}


async def feed(conn, first, block):
    """Return the number of bytes that a connection accepts before it gives the response up."""
    conn.connection_made(FakeTransport())
    task = asyncio.create_task(conn.request(b"GET / HTTP/1.1\r\n\r\n"))
    await asyncio.sleep(0)
    sent = 0
    for data in itertools.chain([first], itertools.repeat(block)):
        if conn.closed:
            break
        conn.data_received(data)
        sent += len(data)
        assert sent < 4 * MAX_RESPONSE_BODY_BYTES
    with pytest.raises(ResponseLimitError):
        await task
    return sent


@pytest.mark.parametrize("kind", sorted(ENDLESS))
def test_endless_response_is_given_up_at_its_limit(kind):
    first, block, limit = ENDLESS[kind]

    async def main():
        conn = HttpConn(budget=BufferBudget())
        sent = await feed(conn, first, block)
        assert sent <= limit + len(first) + 2 * len(block)
        assert conn._body == [] and len(conn._headers) <= MAX_FIELDS

    run(main())


def test_one_byte_chunks_are_accepted():
    body = b"x" * 30_000
    data = CHUNKED + b"".join(b"1\r\n%c\r\n" % byte for byte in body) + b"0\r\n\r\n"

    async def main():
        conn = HttpConn()
        conn.connection_made(FakeTransport())
        task = asyncio.create_task(conn.request(b"GET / HTTP/1.1\r\n\r\n"))
        await asyncio.sleep(0)
        for start in range(0, len(data), 1_000):
            conn.data_received(data[start : start + 1_000])
        assert (await task).body == body

    run(main())


def test_longest_body_is_given_up_if_all_exceed_the_memory_for_them():
    async def main():
        budget = BufferBudget(max_bytes=1_000_000)
        conns, tasks = [], []
        for _ in range(5):
            conn = HttpConn(budget=budget)
            conn.connection_made(FakeTransport())
            tasks.append(asyncio.create_task(conn.request(b"GET / HTTP/1.1\r\n\r\n")))
            conns.append(conn)
        await asyncio.sleep(0)
        for conn, size in zip(conns, (900, 10, 30, 400_000, 50), strict=True):
            conn.data_received(OK + b"Content-Length: 700000\r\n\r\n" + b"x" * size)
        conns[3].data_received(b"x" * 290_000)
        conns[2].data_received(b"x" * 320_000)
        with pytest.raises(ResponseLimitError):
            await tasks[3]
        assert [conn.closed for conn in conns] == [False, False, False, True, False]
        assert budget.total_bytes == 900 + 10 + 30 + 320_000 + 50
        for task in tasks:
            task.cancel()

    run(main())


@pytest.mark.parametrize("kind", ["header fields", "trailers", "interim responses", "body"])
def test_request_is_answered_by_another_upstream_and_the_endless_one_rests(kind):
    first, block, _ = ENDLESS[kind]

    async def main():
        received = []

        async def serve_endless(reader, writer):
            try:
                await reader.readuntil(b"\r\n\r\n")
                received.append(1)
                writer.write(first)
                while True:
                    writer.write(block)
                    await writer.drain()
            except (ConnectionError, asyncio.IncompleteReadError):
                return

        async def serve_good(reader, writer):
            try:
                while True:
                    head = await reader.readuntil(b"\r\n\r\n")
                    writer.write(make_response(head))
            except (ConnectionError, asyncio.IncompleteReadError):
                return

        endless = await start_stream_server(serve_endless)
        good = await start_stream_server(serve_good)
        async with start_gateway(make_route(max_attempts=2, objective_s=1.0)) as gateway:
            gateway.put_upstream("u1", endless.sockets[0].getsockname()[1])
            gateway.put_upstream("u2", good.sockets[0].getsockname()[1])
            for number in range(12):
                data = make_request(request_id=b"id%d" % number, deadline_ms=3000)
                status, _, _ = await send_request(gateway, data)
                assert status == 200
            assert len(received) <= 2
        endless.close()
        good.close()

    run(main())


CLIENT_HEAD = b"POST /a/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"


def client_conn(*, limits=None):
    async def handler(req):
        return Reply(status=200, headers=[])

    conn = ClientConn(handler=handler, limits=lambda: limits or ClientLimits(), conns=set())
    transport = FakeTransport()
    conn.connection_made(transport)
    return conn, transport


@pytest.mark.parametrize(
    ("first", "block"),
    [
        (CLIENT_HEAD + b"5;", b"x" * 4_096),
        (CLIENT_HEAD + b"0\r\nA: ", b"x" * 4_096),
        (CLIENT_HEAD + b"0\r\n", b"a: b\r\n" * 600),
        (b"POST / HTTP/1.1\r\nA: ", b"x" * 4_096),
        (b"POST / HTTP/1.1\r\n", b"a: b\r\n" * 600),
        (b"GET /", b"x" * 4_096),
    ],
)
def test_endless_request_is_rejected_at_its_limit(first, block):
    async def main():
        conn, transport = client_conn()
        conn.data_received(first)
        for _ in range(8):
            conn.data_received(block)
        assert transport.written.startswith(b"HTTP/1.1 431")
        assert len(conn._headers) < 4_200

    run(main())


def test_chunked_request_in_small_chunks_is_accepted():
    async def main():
        conn, transport = client_conn()
        body = b"".join(b"1\r\nx\r\n" for _ in range(20_000))
        data = CLIENT_HEAD + body + b"0\r\n\r\n"
        for start in range(0, len(data), 1_000):
            conn.data_received(data[start : start + 1_000])
        await asyncio.sleep(0.01)
        assert transport.written.startswith(b"HTTP/1.1 200")

    run(main())
