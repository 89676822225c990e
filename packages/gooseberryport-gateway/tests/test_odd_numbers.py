"""Numbers in headers of clients and upstreams that no variable of their kind can hold."""

import asyncio

import pytest
from gateway_harness import (
    HEADER_NAMES,
    make_request,
    make_response,
    run,
    send_request,
    start_gateway,
    start_upstream,
)

from gooseberryport_core.gateway.upstreams import Reachability
from gooseberryport_gateway._prober import Prober
from gooseberryport_standins.samples import make_route

HUGE = [b"9" * 400, b"9" * 5_000]


# Guards against a load report that no weighing can use, after which no request is placed.
@pytest.mark.parametrize("number", HUGE)
@pytest.mark.parametrize("report", [b"%b,0,4", b"0,%b,4", b"1,%b"])
def test_a_huge_load_report_is_ignored(number, report):
    extra = b"x-load: " + report.replace(b"%b", number)

    async def main():
        async with (
            start_upstream(lambda head, _: make_response(head, extra=extra)) as upstream,
            start_gateway(make_route()) as gateway,
        ):
            gateway.put_upstream("u1", upstream.port)
            statuses = [(await send_request(gateway, make_request()))[0] for _ in range(3)]
            assert statuses == [200, 200, 200]

    run(main())


# Guards against a deadline that is answered with 500, as it can't be computed with.
@pytest.mark.parametrize("number", HUGE)
def test_a_huge_deadline_is_longer_than_the_route_timeout(number):
    async def main():
        async with (
            start_upstream(lambda head, _: make_response(head)) as upstream,
            start_gateway(make_route()) as gateway,
        ):
            gateway.put_upstream("u1", upstream.port)
            request = make_request(deadline_ms=1).replace(
                b"X-Deadline: 1", b"X-Deadline: " + number
            )
            assert (await send_request(gateway, request))[0] == 200

    run(main())


# Guards against an upstream that stays out of use because its health check can't be decoded.
@pytest.mark.parametrize("number", HUGE)
def test_a_huge_cold_time_in_a_health_check_is_ignored(number):
    def respond(head, _):
        return make_response(head, extra=b"x-cold: " + number + b"\r\nx-upstream: u1")

    async def main():
        async with start_upstream(respond) as upstream, start_gateway(make_route()) as gateway:
            gateway.put_upstream("u1", upstream.port)
            known = gateway.state.upstreams.get("u1")
            known.record_unreachable(0.0)
            prober = Prober(state=gateway.state, pool=gateway.pool, names=HEADER_NAMES)
            await prober._probe(known)
            assert known.reachability is Reachability.REACHABLE
            assert not known.is_cold(asyncio.get_running_loop().time())

    run(main())


@pytest.mark.parametrize("number", HUGE)
def test_a_huge_idle_timeout_is_ignored(number):
    extra = b"keep-alive: timeout=" + number

    async def main():
        async with (
            start_upstream(lambda head, _: make_response(head, extra=extra)) as upstream,
            start_gateway(make_route()) as gateway,
        ):
            gateway.put_upstream("u1", upstream.port)
            statuses = [(await send_request(gateway, make_request()))[0] for _ in range(2)]
            assert statuses == [200, 200]

    run(main())
