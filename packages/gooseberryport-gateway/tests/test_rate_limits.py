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
    start_fleet,
    start_gateway,
    start_upstream,
)

from gooseberryport_gateway._logs import Log
from gooseberryport_gateway._peer_loads import upstream_hash
from gooseberryport_gateway._peers import Peers
from gooseberryport_standins.samples import make_route


def read_events(path, name):
    lines = [json.loads(line) for line in path.read_text().splitlines()]
    return [line for line in lines if line["event"] == name]


@pytest.mark.parametrize("invalid", [b"nan", b"-1", b"many", b"inf"])
def test_log_tells_when_an_upstream_states_a_limit_and_when_it_ends(tmp_path, invalid):
    stated = [b"2.5", b"2.5", invalid, b"", b""]

    def script(head, count):
        value = stated[count - 1]
        return make_response(head, extra=b"x-rate-limit: " + value if value else b"")

    async def main():
        async with start_upstream(script) as upstream, start_gateway(make_route()) as gateway:
            fd = os.open(tmp_path / "log", os.O_WRONLY | os.O_CREAT)
            gateway.state.log = gateway.state.statements._log = Log(vm="vm1", fd=fd)
            gateway.put_upstream("u1", upstream.port)
            for number in range(len(stated)):
                request_id = b"id%d" % number
                assert (await send_request(gateway, make_request(request_id=request_id)))[0] == 200
            gateway.state.log.flush()
            os.close(fd)

    run(main())
    events = read_events(tmp_path / "log", "gateway_upstream_rate_limited")
    assert [(event["request"], event["limit_per_s"], event["sent"]) for event in events] == [
        ("id0", 2.5, 1),
        ("id3", None, 4),
    ]


def test_refusal_that_states_no_limit_does_not_end_it():
    def script(head, count):
        if count == 1:
            return make_response(head, extra=b"x-rate-limit: 2.5")
        return make_response(head, status=b"503 Busy", signed=False, extra=b"x-not-run: 1")

    async def main():
        async with start_upstream(script) as upstream, start_gateway(make_route()) as gateway:
            gateway.put_upstream("u1", upstream.port)
            assert (await send_request(gateway, make_request(request_id=b"id1")))[0] == 200
            assert (await send_request(gateway, make_request(request_id=b"id2")))[0] == 503
            assert len(upstream.requests_received) > 1
            assert gateway.state.rate_limits.limit("u1") == 2.5

    run(main())


def test_gateways_together_send_an_upstream_no_more_than_the_rate_it_states():
    """The platform allows half more than the stated rate and five requests, in any 4 s."""
    rate_per_s, settling_s, window_s = 2.0, 3.0, 4.0
    allowed = 1.5 * rate_per_s * window_s + 5.0
    arrived, statuses = [], []

    def state_limit(head, _):
        now = asyncio.get_running_loop().time()
        arrived.append((now, header_value(head, b"x-id").split(b"-")[0]))
        return make_response(head, extra=b"x-rate-limit: %.1f" % rate_per_s)

    async def send_requests(vm, gateway):
        for number in range(120):
            vm_and_number = b"%s-%d" % (vm.encode(), number)
            request = make_request(request_id=vm_and_number, object_key=b"%d" % (number % 16))
            statuses.append((await send_request(gateway, request))[0])
            await asyncio.sleep(0.08)

    async def main():
        async with (
            start_upstream(state_limit) as limited,
            start_upstream(lambda head, _: make_response(head)) as other,
            start_fleet(4, make_route()) as gateways,
        ):
            for gateway in gateways.values():
                gateway.put_upstream("u1", limited.port)
                gateway.put_upstream("u2", other.port)
            await asyncio.gather(*(send_requests(vm, gw) for vm, gw in gateways.items()))

    run(main())
    told_at = {}
    for at, vm in arrived:
        told_at.setdefault(vm, at)
    counted = [at for at, vm in arrived if at > told_at[vm] + 0.5]
    starts = [at for at in counted if at >= arrived[0][0] + settling_s]
    assert starts
    assert max(sum(start <= at < start + window_s for at in counted) for start in starts) <= allowed
    assert set(statuses) == {200}


def test_burst_does_not_pass_the_cold_limit_while_connections_are_opened():
    """The platform allows a cold upstream half more than its rate and five requests, in any 1 s."""
    cold_rate_per_s = 4.0
    arrived = []

    async def serve_slowly(head, _):
        arrived.append(asyncio.get_running_loop().time())
        await asyncio.sleep(0.5)
        return make_response(head)

    async def main():
        async with (
            start_upstream(serve_slowly) as cold,
            start_gateway(make_route(max_attempts=1)) as gateway,
        ):
            gateway.put_upstream("u1", cold.port, cold_s=30.0, slots=40)
            requests = [
                send_request(gateway, make_request(request_id=b"id%d" % number))
                for number in range(40)
            ]
            assert {status for status, _, _ in await asyncio.gather(*requests)} == {200, 503}

    run(main())
    assert len(arrived) <= 1.5 * cold_rate_per_s + 5.0


@pytest.mark.parametrize(
    "report",
    [
        [1, float("nan"), 0.0, 1],
        [1, float("inf"), 0.0, 1],
        [1, -1.0, 0.0, 1],
        [1, 2.0, float("nan"), 1],
        [1, 2.0, -5.0, 1],
        [1, 2.0, 0.0, -2],
        [1, "many", 0.0, 1],
    ],
)
def test_report_with_an_impossible_rate_limit_is_ignored(report):
    async def main():
        async with start_fleet(2, make_route()) as gateways:
            state = gateways["vm1"].state
            gateways["vm1"].put_upstream("u1", 1)
            peers = Peers(state=state)
            datagram = ["vm2", 1, True, {}, [], True, True, 0.0, []]
            report[0] = upstream_hash("u1")
            peers.datagram_received(msgspec.msgpack.encode([*datagram, [report]]), ("peer", 1))
            assert state.rate_limits.limit("u1") is None
            report[1:] = [2.0, 0.0, 1]
            peers.datagram_received(msgspec.msgpack.encode([*datagram, [report]]), ("peer", 1))
            assert state.rate_limits.limit("u1") == 2.0

    run(main())


def test_huge_rate_limit_is_served():
    async def main():
        async with (
            start_upstream(lambda head, _: make_response(head, extra=b"x-rate-limit: 1e308")) as up,
            start_gateway(make_route()) as gateway,
        ):
            gateway.put_upstream("u1", up.port)
            for number in range(3):
                request = make_request(request_id=b"id%d" % number)
                assert (await send_request(gateway, request))[0] == 200

    run(main())
