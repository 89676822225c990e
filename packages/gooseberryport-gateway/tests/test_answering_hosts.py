"""Requests that must go on, since the hosts of their upstreams answer."""

import asyncio
import socket

import pytest
from gateway_harness import (
    header_value,
    make_request,
    make_response,
    run,
    send_request,
    start_gateway,
)

from gooseberryport_core.gateway.model import Repeatability
from gooseberryport_standins.samples import make_route
from gooseberryport_standins.streams import start_stream_server
from gooseberryport_standins.unreachable import drop_received, receive_again

AT_MOST_ONCE = Repeatability.AT_MOST_ONCE
RECEIVE_BYTES = 32_768
"""Receive buffer of an upstream, smaller than the bodies here; bytes."""


# Guards against one lost packet that ends a request. Until its first bytes are acknowledged after
# more than 0.5 s, the limit for bytes stays in force for the probes too.
@pytest.mark.parametrize("is_late", [False, True])
def test_lost_probe_ends_no_request_whose_first_packets_were_lost(is_late):
    async def main():
        async def serve(reader, writer):
            sock = writer.get_extra_info("socket")
            writer.write(make_response(await reader.readuntil(b"\r\n\r\n")))
            if is_late:
                drop_received(sock)
                await asyncio.sleep(1.2)
                receive_again(sock)
            head = await reader.readuntil(b"\r\n\r\n")
            await asyncio.sleep(1.2)
            drop_received(sock)
            await asyncio.sleep(0.95)  # One probe is lost.
            receive_again(sock)
            await asyncio.sleep(1.5)
            writer.write(make_response(head))
            await reader.read()

        server = await start_stream_server(serve)
        route = make_route(timeout_s=9.0, repeatability=AT_MOST_ONCE)
        async with start_gateway(route) as gateway:
            gateway.put_upstream("u1", server.sockets[0].getsockname()[1])
            assert (await send_request(gateway, make_request(deadline_ms=9000)))[0] == 200
            await asyncio.sleep(0.3)
            request = make_request(request_id=b"id2", deadline_ms=9000)
            assert (await send_request(gateway, request))[0] == 200
        server.close()

    run(main())


# Guards against one lost probe of a closed window that ends an upload: the kernel sends the next
# one more than 4 s later, and the polls meanwhile count the same loss again and again.
def test_lost_probe_of_a_closed_window_ends_no_upload():
    async def main():
        async def serve(reader, writer):
            sock = writer.get_extra_info("socket")
            await asyncio.sleep(5.0)
            drop_received(sock)
            await asyncio.sleep(2.0)  # The probe after about 6.2 s is lost.
            receive_again(sock)
            await asyncio.sleep(5.0)
            head = await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(int(header_value(head, b"content-length")))
            writer.write(make_response(head))
            await reader.read()

        server = await start_stream_server(serve)
        server.sockets[0].setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        async with start_gateway(make_route(timeout_s=18.0, repeatability=AT_MOST_ONCE)) as gateway:
            gateway.put_upstream("u1", server.sockets[0].getsockname()[1])
            request = make_request(method=b"POST", deadline_ms=18_000, body=bytes(1_000_000))
            assert (await send_request(gateway, request))[0] == 200
        server.close()

    run(main())


# Guards against a request that is sent on a connection whose kernel still has an earlier body to
# send, and is cut off with it: that upstream has answered before it read the body.
def test_request_behind_a_body_that_is_read_late_is_answered():
    async def main():
        async def serve(reader, writer):
            head = await reader.readuntil(b"\r\n\r\n")
            writer.write(make_response(head))
            if header_value(head, b"content-length"):
                await asyncio.sleep(4.0)
                await reader.readexactly(int(header_value(head, b"content-length")))
                writer.write(make_response(await reader.readuntil(b"\r\n\r\n")))
            await reader.read()

        server = await start_stream_server(serve)
        server.sockets[0].setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        async with start_gateway(make_route(timeout_s=9.0, repeatability=AT_MOST_ONCE)) as gateway:
            gateway.put_upstream("u1", server.sockets[0].getsockname()[1])
            request = make_request(method=b"POST", deadline_ms=9000, body=bytes(400_000))
            assert (await send_request(gateway, request))[0] == 200
            await asyncio.sleep(0.3)
            request = make_request(request_id=b"id2", deadline_ms=9000)
            assert (await send_request(gateway, request))[0] == 200
        server.close()

    run(main())
