"""What ends a request while its upstream works on it."""

import asyncio
import json
import os
import socket
import threading
import time

import pytest
from gateway_harness import (
    connect_client,
    header_value,
    make_request,
    make_response,
    run,
    send_request,
    start_gateway,
    start_upstream,
)

from gooseberryport_core.gateway.model import Repeatability
from gooseberryport_gateway._client_messages import ClientRequest
from gooseberryport_gateway._http_conn import CONNECT_TIMEOUT_S, open_conn
from gooseberryport_gateway._logs import Log
from gooseberryport_standins.samples import make_route
from gooseberryport_standins.streams import start_stream_server
from gooseberryport_standins.unreachable import drop_received


def read_events(gateway, path, name):
    gateway.state.log.flush()
    lines = (json.loads(line) for line in path.read_text().splitlines())
    return [line for line in lines if line["event"] == name]


def log_to(gateway, path):
    fd = os.open(path, os.O_WRONLY | os.O_CREAT)
    os.dup2(fd, gateway.log_fd)
    os.close(fd)
    gateway.state.log = Log(vm="vm1", fd=gateway.log_fd)


async def until(condition):
    while not condition():
        await asyncio.sleep(0.01)


@pytest.mark.parametrize(
    ("end", "cause"),
    [
        (lambda gateway, client: client.close(), "the client closed the connection"),
        (
            lambda gateway, client: [conn.abort() for conn in gateway.conns],
            "aborted by this gateway",
        ),
    ],
)
def test_line_of_a_request_without_a_reply_names_who_closed_its_connection(tmp_path, end, cause):
    async def main():
        async with (
            start_upstream(lambda head, _: None) as upstream,
            start_gateway(make_route(timeout_s=5.0)) as gateway,
        ):
            path = tmp_path / "log"
            log_to(gateway, path)
            gateway.put_upstream("u1", upstream.port)
            async with connect_client(gateway) as client:
                client.send(make_request(deadline_ms=5000))
                await until(lambda: upstream.requests_received)
                end(gateway, client)
                await until(lambda: not gateway.conns)
            (line,) = read_events(gateway, path, "gateway_request_cancelled")
            assert (line["cause"], line["phase"]) == (cause, "serving")

    run(main())


def test_line_of_a_lost_response_names_what_ended_its_connection(tmp_path):
    async def main():
        route = make_route(timeout_s=5.0, repeatability=Repeatability.AT_MOST_ONCE)
        async with (
            start_upstream(lambda head, _: b"") as upstream,
            start_gateway(route) as gateway,
        ):
            path = tmp_path / "log"
            log_to(gateway, path)
            gateway.put_upstream("u1", upstream.port)
            async with connect_client(gateway) as client:
                client.send(make_request(deadline_ms=5000))
                assert (await client.read_reply())[0] == 502
            (line,) = read_events(gateway, path, "gateway_attempt_failed")
            assert (line["reason"], line["phase"]) == ("connection closed", "serving")
            assert line["after_ms"] < 5000
            counter = gateway.state.metrics.lost_responses.labels("closed", "serving")
            assert counter._value.get() == 1

    run(main())


UNREAD_S = 5.5
"""Longer than bytes may stay unacknowledged by a host that is gone; seconds."""


@pytest.mark.parametrize("repeatability", [Repeatability.IDEMPOTENT, Repeatability.AT_MOST_ONCE])
def test_upload_that_its_upstream_leaves_unread_for_a_while_is_not_cut_off(repeatability):
    async def main():
        received = []

        async def serve(reader, writer):
            await asyncio.sleep(UNREAD_S)
            head = await reader.readuntil(b"\r\n\r\n")
            length = int(header_value(head, b"content-length"))
            received.append(len(await reader.readexactly(length)))
            writer.write(make_response(head))
            await reader.read()

        server = await start_stream_server(serve)
        server.sockets[0].setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32_768)
        route = make_route(timeout_s=9.0, repeatability=repeatability)
        async with start_gateway(route) as gateway:
            gateway.put_upstream("u1", server.sockets[0].getsockname()[1])
            request = make_request(method=b"POST", deadline_ms=9000, body=bytes(1_000_000))
            assert (await send_request(gateway, request))[0] == 200
            assert received == [1_000_000]
        server.close()

    run(main())


def test_upload_to_a_host_without_power_fails_before_its_timeout():
    async def main():
        arrived = asyncio.Event()

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            drop_received(writer.get_extra_info("socket"))
            arrived.set()
            await asyncio.sleep(20)

        server = await start_stream_server(serve)
        server.sockets[0].setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32_768)
        route = make_route(timeout_s=15.0, repeatability=Repeatability.AT_MOST_ONCE)
        async with start_gateway(route) as gateway:
            gateway.put_upstream("u1", server.sockets[0].getsockname()[1])
            request = make_request(method=b"POST", deadline_ms=15_000, body=bytes(1_000_000))
            sent_at = asyncio.get_running_loop().time()
            assert (await send_request(gateway, request))[0] == 502
            assert asyncio.get_running_loop().time() - sent_at < 9.0
            assert arrived.is_set()
        server.close()

    run(main())


# Guards against a response that is thrown away because the time for it ends in the same iteration
# of the event loop, as after a pause of the process; its client got 504 though the request had run.
@pytest.mark.parametrize(
    ("response", "status"),
    [
        ({}, 200),
        ({"status": b"500 Failed"}, 500),
        ({"signed": False, "extra": b"x-not-run: 1"}, 503),
    ],
)
def test_response_that_came_while_the_process_was_paused_beyond_the_timeout_counts(
    response, status
):
    if status == 503:
        response = response | {"status": b"503 Full"}

    async def main():
        received, sent = threading.Event(), threading.Event()

        def answer():
            conn = listener.accept()[0]
            with conn:
                head = conn.recv(65_536)
                received.set()
                time.sleep(0.1)
                conn.sendall(make_response(head, **response))
                sent.set()
                conn.recv(1)

        with socket.create_server(("127.0.0.1", 0)) as listener:
            thread = threading.Thread(target=answer, daemon=True)
            thread.start()
            route = make_route(timeout_s=0.4, repeatability=Repeatability.AT_MOST_ONCE)
            async with start_gateway(route) as gateway, connect_client(gateway) as client:
                gateway.put_upstream("u1", listener.getsockname()[1])
                client.send(make_request(deadline_ms=5000))
                await until(received.is_set)
                assert sent.wait(5)
                time.sleep(0.4)
                assert (await client.read_reply())[0] == status
                gateway.pool.close()
            thread.join(5)
            assert not thread.is_alive()

    run(main())


# Guards against a request that is lost on a connection whose end waits to be read, since the event
# loop has not polled after the upstream closed it; it might have run, so it was not sent again.
def test_request_is_not_sent_on_a_connection_that_its_upstream_has_closed():
    async def main():
        route = make_route(timeout_s=5.0, repeatability=Repeatability.AT_MOST_ONCE)
        async with (
            start_upstream(lambda head, _: make_response(head)) as upstream,
            start_gateway(route) as gateway,
        ):
            gateway.put_upstream("u1", upstream.port)
            assert (await send_request(gateway, make_request()))[0] == 200
            (writer,) = upstream._writers
            writer.get_extra_info("socket").shutdown(socket.SHUT_RDWR)
            req = ClientRequest(
                method=b"GET",
                target=b"/a/x",
                path="/a/x",
                headers=[(b"host", b"h.example"), (b"x-id", b"id2")],
                body=(),
                arrived_at=asyncio.get_running_loop().time(),
            )
            assert (await gateway.forwarder.handle(req)).status == 200
            assert upstream.requests_received[1:] and gateway.pool.opened == 2

    run(main())


def test_connection_that_is_established_while_the_gateway_does_not_run_is_used():
    # Failure: an upstream counts as unreachable after a pause of the gateway's own process.
    async def main():
        async with start_upstream(lambda head, _: make_response(head)) as upstream:
            asyncio.get_running_loop().call_soon(time.sleep, 1.4 * CONNECT_TIMEOUT_S)
            conn = await open_conn(("127.0.0.1", upstream.port))
            assert conn.usable
            conn.close()

    run(main())
