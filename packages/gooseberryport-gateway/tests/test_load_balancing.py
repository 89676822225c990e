import asyncio
from types import SimpleNamespace

import msgspec
import pytest
from gateway_harness import (
    HEADER_NAMES,
    SETTINGS,
    make_request,
    make_response,
    run,
    send_request,
    start_gateway,
    start_upstream,
)

from gooseberryport_core.gateway.model import Member
from gooseberryport_gateway._attempts import ReportedLoad, reported_load
from gooseberryport_gateway._load_balancing import MAX_GAUGE_SERVICES
from gooseberryport_gateway._logs import Log
from gooseberryport_gateway._metrics import Metrics
from gooseberryport_gateway._peer_loads import upstream_hash
from gooseberryport_gateway._state import GatewayState
from gooseberryport_standins.samples import make_entry, make_route


def make_state(**settings):
    state = GatewayState(
        settings=SETTINGS,
        me=Member("vm1", "a1", "A", "127.0.0.1:1", ("127.0.0.1", 1), 1),
        log=Log(vm="vm1", fd=-1),
        metrics=Metrics(),
    )
    state.apply_settings(msgspec.structs.replace(SETTINGS, **settings))
    return state


@pytest.mark.parametrize(
    ("value", "expected"),
    [
        (b"2,1,4,250", ReportedLoad(running=2, waiting=1, speed=250)),
        (b"2, 1, 4, 250 ,x", ReportedLoad(running=2, waiting=1, speed=250)),
        (b"2,1,4", ReportedLoad(running=2, waiting=1)),
        (b"2,1,4,", ReportedLoad(running=2, waiting=1)),
        (b"2,1,4,0", ReportedLoad(running=2, waiting=1)),
        (b"2,1,4,-7", ReportedLoad(running=2, waiting=1)),
        (b"2,1,4,nan", ReportedLoad(running=2, waiting=1)),
        (b"2,1,4," + b"9" * 400, ReportedLoad(running=2, waiting=1)),
        (b"x,1,4,250", None),
    ],
)
def test_a_malformed_speed_counts_as_none_and_keeps_the_load(value, expected):
    # Failure: an odd fourth value discards the load, or is taken for a speed.
    response = SimpleNamespace(header=lambda name: value)
    assert reported_load(response, names=HEADER_NAMES) == expected


def test_speeds_that_upstreams_state_switch_estimates_on():
    # Failure: the fourth value of responses isn't used, or deployments without it are changed.
    async def scenario(extra):
        async with (
            start_upstream(lambda head, _: make_response(head, extra=extra)) as scripted,
            start_gateway(make_route()) as gateway,
        ):
            gateway.put_upstream("u1", scripted.port)
            now = asyncio.get_running_loop().time
            before = gateway.state.balancing.even_load("s", now=now())
            assert (await send_request(gateway, make_request()))[0] == 200
            return before, gateway.state.balancing.even_load("s", now=now()), gateway.state

    before, even, _ = run(scenario(b"x-load: 1,0,4"))
    assert (before, even) == (None, None)
    before, even, state = run(scenario(b"x-load: 1,0,4,250"))
    assert before is None
    assert 1.0 < even.lasting_factor_of(state.upstreams.get("u1")) < 2.5


def test_settings_switch_estimates_on():
    # Failure: quota bounds or the operator's choice have no effect, or are always in effect.
    bounds = msgspec.structs.replace(SETTINGS.bounds, quota_window_s=5.0)
    for changes, is_on in (({}, False), ({"even_load": True}, True), ({"bounds": bounds}, True)):
        state = make_state(**changes)
        assert (state.balancing.even_load("s", now=1.0) is not None) == is_on


def test_estimates_use_reports_of_gateways_and_of_the_current_incarnation():
    # Failure: a response of a predecessor counts for an upstream that restarted since.
    state = make_state(even_load=True)
    state.put_upstream(make_entry("u1"), now=0.0)
    upstream = state.upstreams.get("u1")
    state.peer_loads.record("vm2", {upstream_hash("u1"): 3}, now=10.0)

    def requests(now):
        return state.balancing.even_load("s", now=now).estimate_of(upstream).requests

    def respond(started_ms):
        state.balancing.record_response(
            upstream,
            ReportedLoad(running=4, waiting=3),
            started_ms=started_ms,
            ran=False,
            is_request=False,
            now=10.001,
        )

    respond(started_ms=999)
    assert requests(10.001) == pytest.approx(3.0, abs=0.1)
    respond(started_ms=1000)
    assert requests(10.001) == pytest.approx(7.0, abs=0.1)
    state.peer_loads.expire(now=20.0)
    assert state.balancing.peer_report_times.mean is None


def test_series_of_the_spread_are_bounded():
    # Failure: each service name in the store adds a series for good.
    state = make_state(even_load=True)
    for number in range(MAX_GAUGE_SERVICES + 5):
        service = f"s{number}"
        state.put_upstream(make_entry(f"u{number}", service=service), now=0.0)
        state.balancing.even_load(service, now=1.0)
    assert state.metrics.text().count(b"gooseberryport_load_spread{") == MAX_GAUGE_SERVICES
    state.remove_upstream("u0", reason="left", now=2.0)
    state.balancing.even_load("s0", now=2.0)
    assert state.metrics.text().count(b"gooseberryport_load_spread{") == MAX_GAUGE_SERVICES - 1


def test_load_and_speed_of_another_upstream_at_the_address_are_ignored():
    # Failure: a reused address gives an upstream the load and the speed of its successor.
    async def scenario(status):
        def respond(head, _):
            return make_response(head, status=status, extra=b"x-load: 4,3,4,400")

        async with (
            start_upstream(respond) as scripted,
            start_gateway(make_route(max_attempts=1)) as gateway,
        ):
            gateway.put_upstream("u1", scripted.port)
            await send_request(gateway, make_request())
            return gateway.state.balancing.even_load("s", now=asyncio.get_running_loop().time())

    assert run(scenario(b"200 OK")) is not None
    assert run(scenario(b"421 Misdirected Request")) is None
