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
from gooseberryport_standins.samples import make_route

ONCE = {"repeatability": Repeatability.AT_MOST_ONCE}


def test_request_and_answer_pass_unchanged():
    async def main():
        async with (
            start_upstream(lambda head, _: make_response(head, body=b"hello")) as up,
            start_gateway(make_route()) as gateway,
        ):
            gateway.put_upstream("u1", up.port)
            status, head, body = await send_request(
                gateway,
                make_request(method=b"POST", path=b"/a/x?q=1", body=b"data", extra=b"X-Own: 5"),
            )
            assert (status, body, header_value(head, b"x-signature")) == (200, b"hello", b"sig")
            sent = up.requests_received[0]
            assert sent.startswith(b"POST /a/x?q=1 HTTP/1.1\r\n")
            assert sent.endswith(b"\r\n\r\ndata")
            assert header_value(sent, b"x-own") == b"5"
            assert header_value(sent, b"x-expect") == b"u1"
            assert 0 < int(header_value(sent, b"x-deadline")) <= 900

    run(main())


def test_headers_of_one_connection_are_not_passed_on():
    async def main():
        async with (
            start_upstream(
                lambda head, _: make_response(head, extra=b"connection: x-hop\r\nx-hop: 1")
            ) as up,
            start_gateway(make_route()) as gateway,
        ):
            gateway.put_upstream("u1", up.port)
            _, head, _ = await send_request(
                gateway, make_request(extra=b"Connection: X-Mine\r\nX-Mine: 1\r\nTE: trailers")
            )
            assert header_value(head, b"x-hop") is None
            assert header_value(up.requests_received[0], b"x-mine") is None
            assert header_value(up.requests_received[0], b"te") is None

    run(main())


def test_before_a_configuration_is_known_nothing_is_said_of_routes():
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
    ("spoiled", "status"),
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
@pytest.mark.parametrize("kind", [{}, ONCE])
def test_spoiled_answer_is_never_a_success_or_a_denial(spoiled, status, kind):
    async def main():
        async with (
            start_upstream(lambda head, _: spoiled(head)) as up,
            start_gateway(make_route(max_attempts=1, **kind)) as gateway,
        ):
            gateway.put_upstream("u1", up.port)
            assert (await send_request(gateway, make_request(method=b"POST")))[0] == status
            assert len(up.requests_received) == 1

    run(main())


def test_answer_that_ends_with_its_connection_is_whole_unless_reset():
    async def main():
        async with (
            start_upstream(
                lambda head, _: (
                    b"HTTP/1.1 200 OK\r\nx-signature: s\r\nconnection: close\r\n\r\nwhole"
                )
            ) as up,
            start_gateway(make_route()) as gateway,
        ):
            gateway.put_upstream("u1", up.port)
            status, _, body = await send_request(gateway, make_request())
            assert (status, body) == (200, b"whole")

    run(main())


def test_answer_to_another_request_is_dropped():
    async def main():
        def script(head, count):
            late = make_response(head, body=b"old", request_id=b"other")
            return late + make_response(head, body=b"mine")

        async with start_upstream(script) as up, start_gateway(make_route()) as gateway:
            gateway.put_upstream("u1", up.port)
            assert (await send_request(gateway, make_request()))[2] == b"mine"

    run(main())


def test_second_answer_does_not_reach_the_next_request():
    async def main():
        def script(head, count):
            own = make_response(head, body=b"%d" % count)
            return own + make_response(head, body=b"extra") if count == 1 else own

        async with start_upstream(script) as up, start_gateway(make_route()) as gateway:
            gateway.put_upstream("u1", up.port)
            assert (await send_request(gateway, make_request(request_id=b"one")))[2] == b"1"
            assert (await send_request(gateway, make_request(request_id=b"two")))[2] == b"2"

    run(main())


def test_refusal_by_one_upstream_moves_the_request_on_even_if_it_may_run_once_only():
    async def main():
        def full(head, _):
            return make_response(head, status=b"503 Busy", extra=b"x-not-run: 1\r\nx-load: 4,9,4")

        async with (
            start_upstream(full) as busy,
            start_upstream(lambda head, _: make_response(head)) as free,
            start_gateway(make_route(**ONCE)) as gateway,
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


def test_upstream_that_refuses_at_random_is_asked_again():
    async def main():
        def script(head, count):
            if count % 2:
                return make_response(
                    head, status=b"503 Busy", extra=b"x-not-run: 1\r\nx-load: 1,0,4"
                )
            return make_response(head)

        async with start_upstream(script) as up, start_gateway(make_route()) as gateway:
            gateway.put_upstream("u1", up.port)
            assert (await send_request(gateway, make_request()))[0] == 200
            assert len(up.requests_received) == 2

    run(main())


def test_refusal_by_all_is_told_as_not_run():
    async def main():
        def full(head, _):
            return make_response(head, status=b"503 Busy", extra=b"x-not-run: 1\r\nx-load: 4,9,4")

        async with start_upstream(full) as up, start_gateway(make_route(**ONCE)) as gateway:
            gateway.put_upstream("u1", up.port)
            status, head, _ = await send_request(gateway, make_request(method=b"POST"))
            assert status == 503
            assert float(header_value(head, b"retry-after")) > 0

    run(main())


@pytest.mark.parametrize(("kind", "status", "sends"), [({}, 200, 2), (ONCE, 502, 1)])
def test_lost_answer_is_asked_for_again_only_if_the_request_is_idempotent(kind, status, sends):
    async def main():
        total = []

        def script(head, _):
            total.append(head)
            if len(total) == 1:
                return b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\nconnection: close\r\n\r\nx"
            return make_response(head)

        async with (
            start_upstream(script) as first,
            start_upstream(script) as second,
            start_gateway(make_route(**kind)) as gateway,
        ):
            gateway.put_upstream("u1", first.port)
            gateway.put_upstream("u2", second.port)
            assert (await send_request(gateway, make_request(method=b"POST")))[0] == status
            assert len(total) == sends

    run(main())


def test_another_upstream_at_the_address_is_left_alone():
    async def main():
        def moved(head, _):
            return make_response(head, status=b"421 Misdirected Request")

        async with (
            start_upstream(moved) as other,
            start_upstream(lambda head, _: make_response(head)) as right,
            start_gateway(make_route(**ONCE)) as gateway,
        ):
            gateway.put_upstream("u1", other.port)
            gateway.put_upstream("u2", right.port)
            for index in range(6):
                await send_request(gateway, make_request(method=b"POST", request_id=b"r%d" % index))
            assert len(right.requests_received) == 6
            assert len(other.requests_received) <= 1

    run(main())


@pytest.mark.parametrize("kind", [{}, ONCE])
def test_request_that_lasts_too_long_is_answered_at_the_routes_timeout(kind):
    async def main():
        loop = asyncio.get_running_loop()
        async with (
            start_upstream(lambda head, _: None) as up,
            start_gateway(make_route(timeout_s=0.3, **kind)) as gateway,
        ):
            gateway.put_upstream("u1", up.port)
            start = loop.time()
            assert (await send_request(gateway, make_request(deadline_ms=5000)))[0] == 504
            assert 0.25 < loop.time() - start < 0.6
            await asyncio.wait_for(up.disconnected.wait(), 0.5)

    run(main())


def test_client_that_leaves_ends_the_work_at_the_upstream():
    async def main():
        async with (
            start_upstream(lambda head, _: None) as up,
            start_gateway(make_route(timeout_s=9.0)) as gateway,
        ):
            gateway.put_upstream("u1", up.port)
            async with connect_client(gateway) as leaving:
                leaving.send(make_request(deadline_ms=9000))
                while not up.requests_received:
                    await asyncio.sleep(0.01)
            await asyncio.wait_for(up.disconnected.wait(), 0.5)

    run(main())


def test_unreachable_upstream_costs_no_request():
    async def main():
        async with (
            start_upstream(lambda head, _: make_response(head)) as up,
            start_gateway(make_route(**ONCE)) as gateway,
        ):
            gateway.put_upstream("dead", 1)
            gateway.put_upstream("u2", up.port)
            for index in range(4):
                status, _, _ = await send_request(
                    gateway, make_request(method=b"POST", request_id=b"r%d" % index)
                )
                assert status == 200

    run(main())


def test_regions_that_may_not_serve_a_route_never_see_it():
    async def main():
        async with (
            start_upstream(lambda head, _: make_response(head)) as far,
            start_gateway(make_route(allowed_regions=frozenset({"A"}))) as gateway,
        ):
            gateway.put_upstream("u1", far.port, zone="b1")
            assert (await send_request(gateway, make_request()))[0] == 503
            assert far.requests_received == []

    run(main())


def test_idle_connections_that_all_break_are_reported():
    async def main():
        broken = []
        ended = asyncio.Event()

        async def script(head):
            asyncio.get_running_loop().call_later(0.1, ended.set)
            return make_response(head)

        async with (
            start_upstream(lambda head, _: script(head)) as up,
            start_gateway(make_route()) as gateway,
        ):
            gateway.pool.on_last_closed = broken.append
            gateway.put_upstream("u1", up.port)
            assert (await send_request(gateway, make_request()))[0] == 200
            await ended.wait()
            assert broken == []
            up.close_connections()
            await asyncio.sleep(0.05)
            assert broken == ["u1"]

    run(main())


@pytest.mark.parametrize(("kind", "status"), [({}, 200), (ONCE, 502)])
def test_connection_that_an_upstream_forgot_is_learned_from(kind, status):
    async def main():
        forgetting = True

        def script(head, count):
            if forgetting and count == 2:
                return b""
            return make_response(head)

        async with (
            start_upstream(script) as up,
            start_gateway(make_route(**kind)) as gateway,
        ):
            gateway.put_upstream("u1", up.port)
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
    ("delay_s", "spoiled"), [(0.15, b""), (0.0, b"garbage that is no answer\r\n\r\n")]
)
def test_answer_lost_in_the_midst_of_work_or_spoiled_says_nothing_of_rest(delay_s, spoiled):
    async def main():
        async def script(head, count):
            if count == 2:
                await asyncio.sleep(delay_s)
                return spoiled
            return make_response(head)

        async with start_upstream(script) as up, start_gateway(make_route(**ONCE)) as gateway:
            gateway.put_upstream("u1", up.port)
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


def test_client_that_upstreams_turned_away_at_random_may_return_at_once():
    def refuse(head, _):
        return make_response(head, status=b"503 Busy", extra=b"x-not-run: 1\r\nx-load: 1,0,4")

    async def main():
        async with start_upstream(refuse) as up, start_gateway(make_route()) as gateway:
            gateway.put_upstream("u1", up.port)
            gateway.state.retries.set_bounds(ratio=0.0, slack=0.0, window_s=10.0)
            status, head, _ = await send_request(gateway, make_request())
            assert status == 503
            assert float(header_value(head, b"retry-after")) <= 0.1
            assert len(up.requests_received) == 1

    run(main())


def test_upstream_that_told_of_a_long_queue_gets_no_more():
    def tell(head, _):
        return make_response(head, extra=b"x-load: 4,12,4")

    async def main():
        async with start_upstream(tell) as up, start_gateway(make_route()) as gateway:
            gateway.put_upstream("u1", up.port)
            assert (await send_request(gateway, make_request(request_id=b"a")))[0] == 200
            status, head, _ = await send_request(gateway, make_request(request_id=b"b"))
            assert status == 503
            assert float(header_value(head, b"retry-after")) >= 0.2
            await asyncio.sleep(0.15)
            assert (await send_request(gateway, make_request(request_id=b"c")))[0] == 200

    run(main())
