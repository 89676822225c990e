"""What a stopping gateway sends, and how it closes its connections."""

import asyncio

import pytest
from gateway_harness import (
    connect_client,
    make_request,
    make_response,
    run,
    send_request,
    start_gateway,
    start_upstream,
)

from gooseberryport_core.gateway.model import ClientLimits
from gooseberryport_gateway import _client_conn
from gooseberryport_standins.samples import make_route


# Guards against a request that is sent to the end of a long queue just before the exit, because its
# upstream has no objects yet and gets its first one whatever its load.
@pytest.mark.parametrize(("load", "sent"), [(0, True), (3, True), (4, False), (9, False)])
def test_an_upstream_without_objects_gets_no_request_that_would_end_after_the_exit(load, sent):
    async def main():
        route = make_route(timeout_s=5.0)
        async with (
            start_upstream(lambda head, _: make_response(head)) as first,
            start_upstream(lambda head, _: make_response(head)) as unused,
            start_gateway(route) as gateway,
        ):
            gateway.put_upstream("u1", first.port, slots=4)
            assert (await send_request(gateway, make_request()))[0] == 200
            gateway.put_upstream("u2", unused.port, slots=4)
            for name, in_flight in (("u1", 4), ("u2", load)):
                gateway.state.upstreams.get(name).in_flight = in_flight
            gateway.state.stopping = True
            gateway.state.exits_at = asyncio.get_running_loop().time() + 5.0
            gateway.state.work_times.expected_s = lambda route: 3.0
            status, _, _ = await send_request(gateway, make_request())
            assert status == (200 if sent else 503)
            assert len(unused.requests_received) == sent

    run(main())


# Guards against a last response that is cut because its client takes longer to read it than the
# connection stays open for unread requests, and against a client that never reads it.
@pytest.mark.parametrize("reads", [True, False])
def test_the_last_response_of_a_connection_is_written_whole_to_a_slow_client(reads, monkeypatch):
    monkeypatch.setattr(_client_conn, "CLOSE_DELAY_S", 0.1)

    async def main():
        body = bytes(8_000_000)
        limits = ClientLimits(idle_timeout_s=2.0)
        async with (
            start_upstream(lambda head, _: make_response(head, body=body)) as upstream,
            start_gateway(make_route(timeout_s=5.0), limits=limits) as gateway,
            connect_client(gateway) as client,
        ):
            gateway.put_upstream("u1", upstream.port)
            client.send(make_request(extra=b"Connection: close"))
            while not any(conn._closing for conn in gateway.conns):
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.3)
            if reads:
                assert len((await client.read_reply())[2]) == len(body)
            while gateway.conns:
                await asyncio.sleep(0.01)

    run(main())
