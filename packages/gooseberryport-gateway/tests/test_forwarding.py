import asyncio

import pytest
from gateway_harness import (
    connect_client,
    header_value,
    make_config,
    make_request,
    make_response,
    run,
    send_request,
    start_gateway,
    start_upstream,
)

from gooseberryport_core.gateway.model import Repeatability
from gooseberryport_gateway._peer_loads import LOAD_REPORT_TTL_S, upstream_hash
from gooseberryport_standins.samples import make_route

AT_MOST_ONCE = {"repeatability": Repeatability.AT_MOST_ONCE}


def test_request_and_response_are_forwarded_unchanged():
    async def main():
        async with (
            start_upstream(lambda head, _: make_response(head, body=b"hello")) as upstream,
            start_gateway(make_route()) as gateway,
        ):
            gateway.put_upstream("u1", upstream.port)
            status, head, body = await send_request(
                gateway,
                make_request(method=b"POST", path=b"/a/x?q=1", body=b"data", extra=b"X-Own: 5"),
            )
            assert (status, body, header_value(head, b"x-signature")) == (200, b"hello", b"sig")
            sent = upstream.requests_received[0]
            assert sent.startswith(b"POST /a/x?q=1 HTTP/1.1\r\n")
            assert sent.endswith(b"\r\n\r\ndata")
            assert header_value(sent, b"x-own") == b"5"
            assert header_value(sent, b"x-expect") == b"u1"
            assert 0 < int(header_value(sent, b"x-deadline")) <= 900

    run(main())


def test_hop_by_hop_headers_are_not_forwarded():
    async def main():
        async with (
            start_upstream(
                lambda head, _: make_response(head, extra=b"connection: x-hop\r\nx-hop: 1")
            ) as upstream,
            start_gateway(make_route()) as gateway,
        ):
            gateway.put_upstream("u1", upstream.port)
            _, head, _ = await send_request(
                gateway, make_request(extra=b"Connection: X-Mine\r\nX-Mine: 1\r\nTE: trailers")
            )
            assert header_value(head, b"x-hop") is None
            assert header_value(upstream.requests_received[0], b"x-mine") is None
            assert header_value(upstream.requests_received[0], b"te") is None

    run(main())


def test_status_is_503_and_not_404_until_a_configuration_is_known():
    async def main():
        async with start_gateway() as gateway:
            status, head, _ = await send_request(gateway, make_request())
            assert status == 503
            assert header_value(head, b"retry-after") is not None
            gateway.state.apply_config(make_config(make_route()))
            assert (await send_request(gateway, make_request(path=b"/none/")))[0] == 404

    run(main())


def test_older_configuration_never_replaces_a_newer_one():
    async def main():
        async with start_gateway() as gateway:
            assert gateway.state.apply_config(make_config(make_route(), version=7))
            assert not gateway.state.apply_config(make_config(version=6))
            assert gateway.state.routes.config.version == 7

    run(main())


@pytest.mark.parametrize(
    ("invalid_response", "status"),
    [
        (lambda head: make_response(head, signed=False), 502),
        (lambda head: make_response(head, extra=b"content-encoding: gzip"), 502),
        (
            lambda head: b"HTTP/1.1 200 OK\r\ncontent-length: 50\r\nconnection: close\r\n\r\nhalf",
            502,
        ),
        (lambda head: b"garbage that is no answer\r\n\r\nconnection: close", 502),
        (lambda head: make_response(head, status=b"500 Oops", extra=b"connection: close"), 500),
        (lambda head: make_response(head, status=b"503 Busy"), 502),
    ],
)
@pytest.mark.parametrize("route_fields", [{}, AT_MOST_ONCE])
def test_invalid_response_is_never_reported_as_success_or_as_not_run(
    invalid_response, status, route_fields
):
    async def main():
        async with (
            start_upstream(lambda head, _: invalid_response(head)) as upstream,
            start_gateway(make_route(max_attempts=1, **route_fields)) as gateway,
        ):
            gateway.put_upstream("u1", upstream.port)
            assert (await send_request(gateway, make_request(method=b"POST")))[0] == status
            assert len(upstream.requests_received) == 1

    run(main())


def test_response_ended_by_the_close_of_its_connection_is_complete():
    async def main():
        async with (
            start_upstream(
                lambda head, _: (
                    b"HTTP/1.1 200 OK\r\nx-signature: s\r\nconnection: close\r\n\r\nwhole"
                )
            ) as upstream,
            start_gateway(make_route()) as gateway,
        ):
            gateway.put_upstream("u1", upstream.port)
            status, _, body = await send_request(gateway, make_request())
            assert (status, body) == (200, b"whole")

    run(main())


def test_response_to_another_request_is_dropped():
    async def main():
        def script(head, count):
            other_response = make_response(head, body=b"old", request_id=b"other")
            return other_response + make_response(head, body=b"mine")

        async with start_upstream(script) as upstream, start_gateway(make_route()) as gateway:
            gateway.put_upstream("u1", upstream.port)
            assert (await send_request(gateway, make_request()))[2] == b"mine"

    run(main())


def test_second_response_is_not_returned_for_the_next_request():
    async def main():
        def script(head, count):
            own = make_response(head, body=b"%d" % count)
            return own + make_response(head, body=b"extra") if count == 1 else own

        async with start_upstream(script) as upstream, start_gateway(make_route()) as gateway:
            gateway.put_upstream("u1", upstream.port)
            assert (await send_request(gateway, make_request(request_id=b"one")))[2] == b"1"
            assert (await send_request(gateway, make_request(request_id=b"two")))[2] == b"2"

    run(main())


def test_at_most_once_request_shed_by_one_upstream_is_sent_to_another():
    async def main():
        def full(head, _):
            return make_response(head, status=b"503 Busy", extra=b"x-not-run: 1\r\nx-load: 4,9,4")

        async with (
            start_upstream(full) as busy,
            start_upstream(lambda head, _: make_response(head)) as free,
            start_gateway(make_route(**AT_MOST_ONCE)) as gateway,
        ):
            gateway.put_upstream("u1", busy.port)
            gateway.put_upstream("u2", free.port)
            for index in range(6):
                status, _, _ = await send_request(
                    gateway, make_request(method=b"POST", request_id=b"r%d" % index)
                )
                assert status == 200
            assert len(free.requests_received) == 6

    run(main())


def test_upstream_that_sheds_at_random_is_retried():
    async def main():
        def script(head, count):
            if count % 2:
                return make_response(
                    head, status=b"503 Busy", extra=b"x-not-run: 1\r\nx-load: 1,0,4"
                )
            return make_response(head)

        async with start_upstream(script) as upstream, start_gateway(make_route()) as gateway:
            gateway.put_upstream("u1", upstream.port)
            assert (await send_request(gateway, make_request()))[0] == 200
            assert len(upstream.requests_received) == 2

    run(main())


def test_request_shed_by_all_upstreams_is_reported_as_not_run():
    async def main():
        def full(head, _):
            return make_response(head, status=b"503 Busy", extra=b"x-not-run: 1\r\nx-load: 4,9,4")

        async with (
            start_upstream(full) as upstream,
            start_gateway(make_route(**AT_MOST_ONCE)) as gateway,
        ):
            gateway.put_upstream("u1", upstream.port)
            status, head, _ = await send_request(gateway, make_request(method=b"POST"))
            assert status == 503
            assert float(header_value(head, b"retry-after")) > 0

    run(main())


@pytest.mark.parametrize(
    ("route_fields", "status", "sends"), [({}, 200, 2), (AT_MOST_ONCE, 502, 1)]
)
def test_request_whose_response_is_lost_is_retried_only_if_idempotent(route_fields, status, sends):
    async def main():
        received = []

        def script(head, _):
            received.append(head)
            if len(received) == 1:
                return b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\nconnection: close\r\n\r\nx"
            return make_response(head)

        async with (
            start_upstream(script) as first,
            start_upstream(script) as second,
            start_gateway(make_route(**route_fields)) as gateway,
        ):
            gateway.put_upstream("u1", first.port)
            gateway.put_upstream("u2", second.port)
            assert (await send_request(gateway, make_request(method=b"POST")))[0] == status
            assert len(received) == sends

    run(main())


def test_another_upstream_at_the_address_is_left_alone():
    async def main():
        def misdirect(head, _):
            return make_response(head, status=b"421 Misdirected Request", signed=False)

        async with (
            start_upstream(misdirect) as other,
            start_upstream(lambda head, _: make_response(head)) as right,
            start_gateway(make_route(**AT_MOST_ONCE)) as gateway,
        ):
            gateway.put_upstream("u1", other.port)
            gateway.put_upstream("u2", right.port)
            for index in range(6):
                await send_request(gateway, make_request(method=b"POST", request_id=b"r%d" % index))
            assert len(right.requests_received) == 6
            assert len(other.requests_received) <= 1

    run(main())


@pytest.mark.parametrize("route_fields", [{}, AT_MOST_ONCE])
def test_request_ends_with_504_at_the_timeout_of_its_route(route_fields):
    async def main():
        loop = asyncio.get_running_loop()
        async with (
            start_upstream(lambda head, _: None) as upstream,
            start_gateway(make_route(timeout_s=0.3, **route_fields)) as gateway,
        ):
            gateway.put_upstream("u1", upstream.port)
            start = loop.time()
            assert (await send_request(gateway, make_request(deadline_ms=5000)))[0] == 504
            assert 0.25 < loop.time() - start < 0.6
            await asyncio.wait_for(upstream.disconnected.wait(), 0.5)

    run(main())


def test_request_is_cancelled_at_the_upstream_when_its_client_disconnects():
    async def main():
        async with (
            start_upstream(lambda head, _: None) as upstream,
            start_gateway(make_route(timeout_s=9.0)) as gateway,
        ):
            gateway.put_upstream("u1", upstream.port)
            async with connect_client(gateway) as leaving_client:
                leaving_client.send(make_request(deadline_ms=9000))
                while not upstream.requests_received:
                    await asyncio.sleep(0.01)
            await asyncio.wait_for(upstream.disconnected.wait(), 0.5)

    run(main())


def test_unreachable_upstream_fails_no_request():
    async def main():
        async with (
            start_upstream(lambda head, _: make_response(head)) as upstream,
            start_gateway(make_route(**AT_MOST_ONCE)) as gateway,
        ):
            gateway.put_upstream("dead", 1)
            gateway.put_upstream("u2", upstream.port)
            for index in range(4):
                status, _, _ = await send_request(
                    gateway, make_request(method=b"POST", request_id=b"r%d" % index)
                )
                assert status == 200

    run(main())


def test_upstreams_outside_the_allowed_regions_get_no_requests():
    async def main():
        async with (
            start_upstream(lambda head, _: make_response(head)) as remote,
            start_gateway(make_route(allowed_regions=frozenset({"A"}))) as gateway,
        ):
            gateway.put_upstream("u1", remote.port, zone="b1")
            assert (await send_request(gateway, make_request()))[0] == 503
            assert remote.requests_received == []

    run(main())


def test_close_of_the_last_idle_connection_to_an_upstream_is_reported():
    async def main():
        reported = []
        after_reply = asyncio.Event()

        async def script(head):
            asyncio.get_running_loop().call_later(0.1, after_reply.set)
            return make_response(head)

        async with (
            start_upstream(lambda head, _: script(head)) as upstream,
            start_gateway(make_route()) as gateway,
        ):
            gateway.pool.on_last_closed = reported.append
            gateway.put_upstream("u1", upstream.port)
            assert (await send_request(gateway, make_request()))[0] == 200
            await after_reply.wait()
            assert reported == []
            upstream.close_connections()
            await asyncio.sleep(0.05)
            assert reported == ["u1"]

    run(main())


@pytest.mark.parametrize(("route_fields", "status"), [({}, 200), (AT_MOST_ONCE, 502)])
def test_idle_limit_is_learned_from_a_connection_that_was_stale(route_fields, status):
    async def main():
        closes_reused_connection = True

        def script(head, count):
            if closes_reused_connection and count == 2:
                return b""
            return make_response(head)

        async with (
            start_upstream(script) as upstream,
            start_gateway(make_route(**route_fields)) as gateway,
        ):
            gateway.put_upstream("u1", upstream.port)
            assert (await send_request(gateway, make_request(method=b"POST", request_id=b"r1")))[
                0
            ] == 200
            await asyncio.sleep(0.1)
            assert (await send_request(gateway, make_request(method=b"POST", request_id=b"r2")))[
                0
            ] == status
            opened = gateway.pool.opened
            for index in range(3):
                await asyncio.sleep(0.1)
                data = make_request(method=b"POST", request_id=b"s%d" % index)
                assert (await send_request(gateway, data))[0] == 200
            assert gateway.pool.opened >= opened + 2

    run(main())


@pytest.mark.parametrize(
    ("delay_s", "invalid_response"), [(0.15, b""), (0.0, b"garbage that is no answer\r\n\r\n")]
)
def test_response_lost_late_or_malformed_sets_no_idle_limit(delay_s, invalid_response):
    async def main():
        async def script(head, count):
            if count == 2:
                await asyncio.sleep(delay_s)
                return invalid_response
            return make_response(head)

        async with (
            start_upstream(script) as upstream,
            start_gateway(make_route(**AT_MOST_ONCE)) as gateway,
        ):
            gateway.put_upstream("u1", upstream.port)
            assert (await send_request(gateway, make_request(method=b"POST", request_id=b"r1")))[
                0
            ] == 200
            assert (await send_request(gateway, make_request(method=b"POST", request_id=b"r2")))[
                0
            ] == 502
            now = asyncio.get_running_loop().time()
            assert gateway.state.idle_limits.max_idle_s(
                service="s", upstream="u1", now=now
            ) == float("inf")

    run(main())


def test_client_whose_request_was_shed_at_random_may_retry_at_once():
    def shed(head, _):
        return make_response(head, status=b"503 Busy", extra=b"x-not-run: 1\r\nx-load: 1,0,4")

    async def main():
        async with start_upstream(shed) as upstream, start_gateway(make_route()) as gateway:
            gateway.put_upstream("u1", upstream.port)
            gateway.state.retries.set_bounds(ratio=0.0, slack=0.0, window_s=10.0)
            status, head, _ = await send_request(gateway, make_request())
            assert status == 503
            assert float(header_value(head, b"retry-after")) <= 0.1
            assert len(upstream.requests_received) == 1

    run(main())


def test_upstream_that_reported_a_long_queue_gets_no_requests_until_the_report_is_stale():
    def report_long_queue(head, _):
        return make_response(head, extra=b"x-load: 4,12,4")

    async def main():
        async with (
            start_upstream(report_long_queue) as upstream,
            start_gateway(make_route()) as gateway,
        ):
            gateway.put_upstream("u1", upstream.port)
            assert (await send_request(gateway, make_request(request_id=b"a")))[0] == 200
            status, head, _ = await send_request(gateway, make_request(request_id=b"b"))
            assert status == 503
            assert float(header_value(head, b"retry-after")) >= 0.2
            await asyncio.sleep(0.15)
            assert (await send_request(gateway, make_request(request_id=b"c")))[0] == 200

    run(main())


def test_loads_of_other_gateways_are_summed_and_expire():
    async def main():
        async with start_gateway(make_route()) as gateway:
            gateway.put_upstream("u1", 1)
            state = gateway.state
            upstream = state.upstreams.get("u1")
            short_hash = upstream_hash("u1")
            state.peer_loads.record("vm2", {short_hash: 2, 99: 1}, now=0.0)
            state.peer_loads.record("vm3", {short_hash: 3}, now=0.5)
            assert state.load_of(upstream, now=0.6) == 5
            state.peer_loads.record("vm2", {short_hash: 1}, now=0.7)
            assert state.load_of(upstream, now=0.8) == 4
            state.peer_loads.expire(now=0.5 + LOAD_REPORT_TTL_S)
            assert state.load_of(upstream, now=2.0) == 1
            state.peer_loads.record("vm2", {}, now=2.1)
            assert state.load_of(upstream, now=2.2) == 0

    run(main())
