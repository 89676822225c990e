import asyncio
import json
import os

import msgspec
import pytest
from gateway_harness import (
    header_value,
    make_request,
    make_response,
    run,
    send_request,
    start_gateway,
    start_upstream,
)

from gooseberryport_gateway._logs import Log
from gooseberryport_gateway._peer_loads import upstream_hash
from gooseberryport_standins.samples import make_route

URGENT = make_route(name="urgent", priority=0, objective_s=0.8)
LATER = make_route(name="later", prefix="/b/", priority=2, objective_s=0.8)
PATHS = (b"/a/x", b"/b/x")


async def send_at_load(gateway, upstream, path, *, load, limited=True):
    """Send a request while other gateways report a load of the only upstream, with 4 slots."""
    state = gateway.state
    state.apply_settings(msgspec.structs.replace(state.settings, priority_limits=limited))
    gateway.put_upstream("u1", upstream.port)
    now = asyncio.get_running_loop().time()
    gateway.state.peer_loads.record("vm2", {upstream_hash("u1"): load}, now=now)
    # A load that the upstream stated takes precedence for a time.
    gateway.state.upstreams.get("u1").record_load(load, now=now)
    return await send_request(gateway, make_request(path=path))


def test_less_urgent_requests_are_rejected_at_a_load_that_the_most_urgent_may_add_to(tmp_path):
    # Guards against a queue that less urgent requests fill before urgent ones arrive.
    async def main():
        async with (
            start_upstream(lambda head, _: make_response(head)) as upstream,
            start_gateway(URGENT, LATER) as gateway,
        ):
            fd = os.open(tmp_path / "log", os.O_WRONLY | os.O_CREAT)
            gateway.state.log = Log(vm="vm1", fd=fd)
            replies = [await send_at_load(gateway, upstream, path, load=6) for path in PATHS]
            assert [status for status, _, _ in replies] == [200, 503]
            assert 0.1 <= float(header_value(replies[1][1], b"retry-after")) <= 0.34
            assert (await send_at_load(gateway, upstream, PATHS[1], load=4))[0] == 200
            # Without the setting, levels share the route's limit as before.
            reply = await send_at_load(gateway, upstream, PATHS[1], load=6, limited=False)
            assert reply[0] == 200
            gateway.state.log.flush()
            os.close(fd)
            text = gateway.state.metrics.text()
            assert b'gooseberryport_level_rejections_total{level="1",service="s"} 1.0' in text

    run(main())
    lines = [json.loads(line) for line in (tmp_path / "log").read_text().splitlines()]
    causes = [line["cause"] for line in lines if line["event"] == "gateway_request_refused"]
    assert len(causes) == 1
    assert "level 1 of 2, full from 1.25 a slot, load 6 of 4 slots" in causes[0]


@pytest.mark.parametrize(
    "routes",
    [(LATER,), (LATER, make_route(name="other", priority=2))],
    ids=["one route", "equal priorities"],
)
def test_service_with_one_priority_keeps_its_limit_and_its_retry_bounds(routes):
    # Guards against changed decisions where all requests are equally urgent.
    async def main():
        async with (
            start_upstream(lambda head, _: make_response(head)) as upstream,
            start_gateway(*routes) as gateway,
        ):
            assert (await send_at_load(gateway, upstream, PATHS[1], load=8))[0] == 200
            status, head, _ = await send_at_load(gateway, upstream, PATHS[1], load=16)
            assert status == 503
            assert 0.2 <= float(header_value(head, b"retry-after")) <= 0.5
            assert not len(gateway.state.level_shares)

    run(main())


def test_rejection_in_a_planned_stop_sends_the_client_to_another_gateway_at_once():
    # Guards against clients that wait for a slot's turn at a gateway that exits.
    async def main():
        async with (
            start_upstream(lambda head, _: make_response(head)) as upstream,
            start_gateway(URGENT, LATER) as gateway,
        ):
            gateway.state.stopping = True
            gateway.state.exits_at = asyncio.get_running_loop().time() + 30.0
            status, head, _ = await send_at_load(gateway, upstream, PATHS[1], load=16)
            assert status == 503
            assert float(header_value(head, b"retry-after")) == 0.0
            assert not upstream.requests_received

    run(main())
