import asyncio
import errno
import socket
import time

import pytest
from gateway_harness import (
    connect_client,
    header_value,
    make_config,
    make_request,
    make_response,
    run,
    start_gateway,
    start_upstream,
)
from hypothesis import given
from hypothesis import strategies as st

from gooseberryport_core.gateway.model import ClientLimits
from gooseberryport_gateway import _client_conn
from gooseberryport_gateway._client_conn import ClientConn, Reply
from gooseberryport_standins.samples import make_route


def test_pipelined_requests_run_concurrently_and_get_replies_in_order():
    async def main():
        async def script(head, count):
            await asyncio.sleep(0.3 if header_value(head, b"x-id") == b"r0" else 0.05)
            return make_response(head, body=header_value(head, b"x-id"))

        async with (
            start_upstream(lambda head, count: script(head, count)) as upstream,
            start_gateway(make_route(timeout_s=5.0)) as gateway,
            connect_client(gateway) as client,
        ):
            gateway.put_upstream("u1", upstream.port)
            start = asyncio.get_running_loop().time()
            client.send(b"".join(make_request(request_id=b"r%d" % index) for index in range(4)))
            bodies = [(await client.read_reply())[2] for _ in range(4)]
            assert bodies == [b"r0", b"r1", b"r2", b"r3"]
            assert asyncio.get_running_loop().time() - start < 0.45

    run(main())


def test_chunked_body_is_forwarded_completely():
    async def main():
        async with (
            start_upstream(lambda head, _: make_response(head)) as upstream,
            start_gateway(make_route()) as gateway,
            connect_client(gateway) as client,
        ):
            gateway.put_upstream("u1", upstream.port)
            client.send(
                b"POST /a/x HTTP/1.1\r\nHost: h.example\r\nX-Id: i\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n"
            )
            await asyncio.sleep(0.02)
            client.send(b"3\r\nefg\r\n0\r\n\r\n")
            assert (await client.read_reply())[0] == 200
            assert upstream.requests_received[0].endswith(b"\r\n\r\nabcdefg")

    run(main())


@pytest.mark.parametrize("size", [1, 2, 3, 7, 50])
def test_requests_may_be_split_at_any_byte(size):
    async def main():
        async with (
            start_upstream(lambda head, _: make_response(head)) as upstream,
            start_gateway(make_route()) as gateway,
            connect_client(gateway) as client,
        ):
            gateway.put_upstream("u1", upstream.port)
            data = make_request(method=b"POST", body=b"hello") + make_request(request_id=b"id2")
            for start in range(0, len(data), size):
                client.send(data[start : start + size])
                await asyncio.sleep(0)
            assert (await client.read_reply())[0] == 200
            assert (await client.read_reply())[0] == 200
            assert [header_value(head, b"x-id") for head in upstream.requests_received] == [
                b"id1",
                b"id2",
            ]

    run(main())


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"\x16\x03\x01 not http\r\n\r\n", 400),
        (b"GET /a/x HTTP/1.1\r\nHost: h\r\nContent-Length: x\r\n\r\n", 400),
        (
            b"POST /a/x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            400,
        ),
        (b"GET /a/x HTTP/1.1\r\nHost: h\r\nX: " + b"y" * 3000 + b"\r\n\r\n", 431),
        (b"POST /a/x HTTP/1.1\r\nHost: h\r\nContent-Length: 9999\r\n\r\n", 413),
        (
            b"POST /a/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"800\r\n" + b"z" * 2048 + b"\r\n0\r\n\r\n",
            413,
        ),
        (b"GET /a/x HTTP/1.1\r\nHost: h\r\n", 408),
    ],
)
def test_invalid_requests_are_rejected_and_the_connection_is_closed(data, status):
    async def main():
        limits = ClientLimits(max_header_bytes=2000, max_body_bytes=1000, header_timeout_s=0.2)
        async with (
            start_gateway(make_route(), limits=limits) as gateway,
            connect_client(gateway) as client,
        ):
            client.send(data)
            reply_status, head, _ = await client.read_reply()
            assert reply_status == status
            assert header_value(head, b"connection") == b"close"
            assert await client.is_closed()

    run(main())


def test_request_smuggled_behind_a_rejected_one_is_not_run():
    async def main():
        async with (
            start_upstream(lambda head, _: make_response(head)) as upstream,
            start_gateway(make_route()) as gateway,
            connect_client(gateway) as client,
        ):
            gateway.put_upstream("u1", upstream.port)
            client.send(
                b"POST /a/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 5\r\n"
                b"Content-Length: 6\r\n\r\n" + make_request()
            )
            assert (await client.read_reply())[0] == 400
            assert await client.is_closed()
            assert upstream.requests_received == []

    run(main())


def test_idle_connection_is_closed():
    async def main():
        limits = ClientLimits(idle_timeout_s=0.2)
        async with (
            start_gateway(make_route(), limits=limits) as gateway,
            connect_client(gateway) as client,
        ):
            start = asyncio.get_running_loop().time()
            assert await client.is_closed()
            assert 0.15 < asyncio.get_running_loop().time() - start < 0.6

    run(main())


def test_request_that_arrives_after_the_idle_limit_is_served():
    async def main():
        limits = ClientLimits(idle_timeout_s=2.0)
        async with (
            start_upstream(lambda head, _: make_response(head)) as upstream,
            start_gateway(make_route(), limits=limits) as gateway,
            connect_client(gateway) as client,
        ):
            gateway.put_upstream("u1", upstream.port)
            client.send(make_request())
            assert (await client.read_reply())[0] == 200
            # Its client sent it within the limit, and the network was slow.
            await asyncio.sleep(limits.idle_timeout_s + 0.05)
            client.send(make_request())
            assert (await client.read_reply())[0] == 200

    run(main())


def test_connection_that_closes_when_idle_replies_first():
    async def main():
        async def script(head):
            await asyncio.sleep(0.2)
            return make_response(head)

        async with (
            start_upstream(lambda head, _: script(head)) as upstream,
            start_gateway(make_route()) as gateway,
            connect_client(gateway) as client,
        ):
            gateway.put_upstream("u1", upstream.port)
            client.send(make_request())
            while not upstream.requests_received:
                await asyncio.sleep(0.01)
            for conn in list(gateway.conns):
                conn.close_when_idle()
            status, head, _ = await client.read_reply()
            assert (status, header_value(head, b"connection")) == (200, b"close")
            assert await client.is_closed()

    run(main())


def test_requests_after_one_that_closes_the_connection_are_not_run():
    async def main():
        async with (
            start_upstream(lambda head, _: make_response(head)) as upstream,
            start_gateway(make_route()) as gateway,
            connect_client(gateway) as client,
        ):
            gateway.put_upstream("u1", upstream.port)
            client.send(
                make_request(extra=b"Connection: close") + make_request(request_id=b"behind")
            )
            assert (await client.read_reply())[0] == 200
            assert await client.is_closed()
            assert len(upstream.requests_received) == 1

    run(main())


class ResetTransport(asyncio.Transport):
    """A connection that the client has reset, which the event loop has not reported yet."""

    def __init__(self):
        super().__init__()
        self.aborted = False

    def pause_reading(self):
        pass

    def get_write_buffer_size(self):
        return 0

    def write(self, data):
        pass

    def write_eof(self):
        raise OSError(107, "Transport endpoint is not connected")

    def abort(self):
        self.aborted = True


def test_connection_reset_by_the_client_does_not_keep_the_gateway_from_stopping():
    async def main():
        conn = ClientConn(handler=None, limits=ClientLimits, conns=set())
        transport = ResetTransport()
        conn.connection_made(transport)
        conn.close_when_idle()
        assert transport.aborted

    run(main())


# Guards against a connection that stays unread after many requests at once (review/5).
def test_requests_after_many_at_once_are_read_and_answered():
    async def main():
        async def script(head):
            await asyncio.sleep(0.3 if header_value(head, b"x-id") == b"r0" else 0.01)
            return make_response(head)

        async with (
            start_upstream(lambda head, _: script(head)) as upstream,
            start_gateway(make_route(timeout_s=5.0)) as gateway,
            connect_client(gateway) as client,
        ):
            gateway.put_upstream("u1", upstream.port, slots=200)
            for count in (100, 20, 70, 1):
                # As long as the route's timeout: a test that is timed fails beside load.
                requests = [
                    make_request(request_id=b"r%d" % n, deadline_ms=5000) for n in range(count)
                ]
                client.send(b"".join(requests))
                statuses = [(await client.read_reply())[0] for _ in range(count)]
                assert statuses == [200] * count

    run(main())


MAX_OPEN = 4


class FakeTransport(asyncio.Transport):
    def __init__(self):
        super().__init__()
        self.reading = True

    def pause_reading(self):
        assert self.reading
        self.reading = False

    def resume_reading(self):
        assert not self.reading
        self.reading = True

    def write(self, data):
        pass

    def write_eof(self):
        pass

    def abort(self):
        pass


steps = st.lists(
    st.one_of(
        st.tuples(st.just("send"), st.integers(1, 6)),
        st.tuples(st.just("answer"), st.integers(0, 30)),
        st.tuples(st.sampled_from(["pause", "resume"]), st.just(0)),
    ),
    max_size=40,
)


# Guards against a connection that is paused though there is room, whatever ends first.
@given(steps)
def test_a_connection_is_read_whenever_there_is_room(events):
    async def main():
        open_requests = []

        async def handler(req):
            done = asyncio.get_running_loop().create_future()
            open_requests.append(done)
            return await done

        conn = ClientConn(handler=handler, limits=ClientLimits, conns=set())
        transport = FakeTransport()
        conn.connection_made(transport)
        write_paused = False

        async def check():
            for _ in range(4):
                await asyncio.sleep(0)
            has_room = len(conn._pending) < MAX_OPEN
            assert transport.reading is (has_room and not write_paused)

        for event, number in events:
            if event == "send" and transport.reading:
                conn.data_received(make_request() * number)
            elif event == "answer" and open_requests:
                open_requests.pop(number % len(open_requests)).set_result(Reply(200, []))
            elif event == "pause" and not write_paused:
                write_paused = True
                conn.pause_writing()
            elif event == "resume" and write_paused:
                write_paused = False
                conn.resume_writing()
            await check()
        for done in open_requests:
            done.set_result(Reply(200, []))
        open_requests.clear()
        if write_paused:
            write_paused = False
            conn.resume_writing()
        await check()
        assert transport.reading
        conn.connection_lost(None)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(_client_conn, "MAX_PIPELINED_REQUESTS", MAX_OPEN)
        run(main())


# Guards against a request that is read and dropped, since the connection that it came on was closed
# as idle: a loop that did not run for a while finds both due at once.
@pytest.mark.parametrize("begun", [b"", b"GET /a/x HTTP/1.1\r\nHost: h.ex"], ids=["idle", "head"])
def test_request_that_came_before_its_connection_timed_out_is_answered(begun):
    async def main():
        loop = asyncio.get_running_loop()
        limits = ClientLimits(idle_timeout_s=0.2, header_timeout_s=0.2)
        async with (
            start_upstream(lambda head, _: make_response(head)) as upstream,
            start_gateway(make_route(), limits=limits) as gateway,
            connect_client(gateway) as client,
        ):
            gateway.put_upstream("u1", upstream.port)
            while not gateway.conns:
                await asyncio.sleep(0.01)
            client.send(begun)
            await asyncio.sleep(0.05)
            loop.call_later(0.05, client.send, make_request()[len(begun) :])
            time.sleep(0.4)
            assert (await client.read_reply())[0] == 200

    run(main())


# As above, for connections that are closed as idle in a planned stop.
def test_request_that_came_before_its_idle_connection_is_closed_is_answered():
    async def main():
        async with (
            start_upstream(lambda head, _: make_response(head)) as upstream,
            start_gateway(make_route()) as gateway,
            connect_client(gateway) as client,
        ):
            gateway.put_upstream("u1", upstream.port)
            client.send(make_request())
            assert (await client.read_reply())[0] == 200
            (conn,) = gateway.conns
            client.send(make_request(request_id=b"id2"))
            conn.close_when_idle()
            status, head, _ = await client.read_reply()
            assert (status, header_value(head, b"connection")) == (200, b"close")
            assert await client.is_closed()

    run(main())


# Guards against a proper request that is rejected, because a configuration that comes into force
# while it is being sent allows less.
@pytest.mark.parametrize("sent", [b"GET", b"POST"])
def test_request_that_was_begun_is_judged_by_the_limits_of_then(sent):
    async def main():
        limits = ClientLimits(max_header_bytes=2000, max_body_bytes=1000)
        async with (
            start_upstream(lambda head, _: make_response(head)) as upstream,
            start_gateway(make_route(), limits=limits) as gateway,
            connect_client(gateway) as client,
        ):
            gateway.put_upstream("u1", upstream.port)
            body = bytes(900 if sent == b"POST" else 0)
            data = make_request(method=sent, body=body, extra=b"X: " + b"y" * 1500)
            client.send(data[:-30])
            await asyncio.sleep(0.05)
            less = ClientLimits(max_header_bytes=1000, max_body_bytes=500)
            gateway.state.apply_config(make_config(make_route(), version=2, limits=less))
            client.send(data[-30:])
            assert (await client.read_reply())[0] == 200
            client.send(data)
            assert (await client.read_reply())[0] == 431

    run(main())


# Guards against a request that crosses the close of its idle connection, and is read and dropped:
# if the close is lost on its way, its client waits in vain, and cannot know that it was not run.
@pytest.mark.parametrize("stops", [False, True])
def test_request_that_crosses_the_close_of_its_idle_connection_is_not_read(stops):
    async def main():
        loop = asyncio.get_running_loop()
        limits = ClientLimits(idle_timeout_s=10.0 if stops else 0.2)
        async with start_gateway(make_route(), limits=limits) as gateway:
            with socket.create_connection(("127.0.0.1", gateway.port)) as sock:
                sock.setblocking(False)
                while not gateway.conns:
                    await asyncio.sleep(0.01)
                for conn in list(gateway.conns):
                    if stops:
                        conn.close_when_idle()
                assert await loop.sock_recv(sock, 100) == b""
                sock.send(make_request())
                while gateway.conns:
                    await asyncio.sleep(0.01)
                # The kernel tells the client that its bytes were not read.
                assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == errno.EPIPE

    run(main())
