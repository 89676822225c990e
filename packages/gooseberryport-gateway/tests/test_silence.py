import asyncio

import pytest
from gateway_harness import (
    make_request,
    make_response,
    run,
    send_request,
    start_gateway,
    start_upstream,
)

from gooseberryport_core.gateway.model import Repeatability
from gooseberryport_core.gateway.upstreams import Reachability
from gooseberryport_standins.samples import make_route


@pytest.mark.parametrize(
    ("repeatability", "status", "within_s"),
    [(Repeatability.IDEMPOTENT, 200, 1.2), (Repeatability.AT_MOST_ONCE, 504, 2.5)],
)
def test_upstream_without_power_is_detected_before_its_requests_time_out(
    repeatability, status, within_s
):
    async def main():
        loop = asyncio.get_running_loop()
        responding = [True]

        def script(head, _):
            return make_response(head) if responding[0] else None

        route = make_route(
            timeout_s=2.0, objective_s=0.2, repeatability=repeatability, object_affinity=True
        )
        async with (
            start_upstream(script) as failing,
            start_upstream(lambda head, _: make_response(head)) as healthy,
            start_gateway(route) as gateway,
        ):
            gateway.put_upstream("u1", failing.port)
            for index in range(4):
                first = make_request(request_id=b"w%d" % index, deadline_ms=5000)
                assert (await send_request(gateway, first))[0] == 200
            gateway.put_upstream("u2", healthy.port, zone="b1")
            responding[0] = False
            failing.stop_listening()
            start = loop.time()
            reply_status, _, _ = await send_request(gateway, make_request(deadline_ms=5000))
            assert reply_status == status
            assert loop.time() - start < within_s
            assert gateway.state.upstreams.get("u1").reachability is Reachability.UNPROVEN

    run(main())


def test_slow_upstream_keeps_its_requests():
    async def main():
        async def slow(head):
            await asyncio.sleep(0.9)
            return make_response(head)

        route = make_route(timeout_s=2.0, objective_s=0.2)
        async with (
            start_upstream(
                lambda head, count: slow(head) if count > 1 else make_response(head)
            ) as upstream,
            start_gateway(route) as gateway,
        ):
            gateway.put_upstream("u1", upstream.port)
            assert (await send_request(gateway, make_request()))[0] == 200
            assert (await send_request(gateway, make_request(request_id=b"id2", deadline_ms=5000)))[
                0
            ] == 200
            assert len(upstream.requests_received) == 2
            assert gateway.state.upstreams.get("u1").reachability is Reachability.REACHABLE

    run(main())
