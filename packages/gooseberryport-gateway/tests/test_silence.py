import asyncio

import pytest
from gateway_harness import answer_to, ask, bench, request, run, upstream

from gooseberryport_core.gateway.model import Repeatability
from gooseberryport_core.gateway.upstreams import Reachability
from gooseberryport_standins.samples import make_route


@pytest.mark.parametrize(
    ("kind", "status", "within_s"),
    [(Repeatability.IDEMPOTENT, 200, 1.2), (Repeatability.AT_MOST_ONCE, 504, 2.5)],
)
def test_upstream_without_power_is_noticed_before_its_requests_time_out(kind, status, within_s):
    async def main():
        loop = asyncio.get_running_loop()
        answering = [True]

        def script(head, _):
            return answer_to(head) if answering[0] else None

        route = make_route(timeout_s=2.0, objective_s=0.2, repeatability=kind, object_affinity=True)
        async with (
            upstream(script) as dying,
            upstream(lambda head, _: answer_to(head)) as well,
            bench(route) as gateway,
        ):
            gateway.put("u1", dying.port)
            for index in range(4):
                first = request(request_id=b"w%d" % index, deadline_ms=5000)
                assert (await ask(gateway, first))[0] == 200
            gateway.put("u2", well.port, zone="b1")
            answering[0] = False
            dying.stop_listening()
            start = loop.time()
            got, _, _ = await ask(gateway, request(deadline_ms=5000))
            assert got == status
            assert loop.time() - start < within_s
            assert gateway.state.upstreams.get("u1").reachability is Reachability.UNPROVEN

    run(main())


def test_slow_upstream_keeps_its_requests():
    async def main():
        async def slow(head):
            await asyncio.sleep(0.9)
            return answer_to(head)

        route = make_route(timeout_s=2.0, objective_s=0.2)
        async with (
            upstream(lambda head, count: slow(head) if count > 1 else answer_to(head)) as up,
            bench(route) as gateway,
        ):
            gateway.put("u1", up.port)
            assert (await ask(gateway, request()))[0] == 200
            assert (await ask(gateway, request(request_id=b"id2", deadline_ms=5000)))[0] == 200
            assert len(up.heads) == 2
            assert gateway.state.upstreams.get("u1").reachability is Reachability.REACHABLE

    run(main())
