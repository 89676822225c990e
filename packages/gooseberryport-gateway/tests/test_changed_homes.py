"""Requests that wait for a connection or are sent again while what they were placed by changes."""

import asyncio
import contextlib
import functools
import gc
import weakref

import msgspec
import pytest
from gateway_harness import (
    make_config,
    make_request,
    make_response,
    run,
    send_request,
    start_gateway,
    start_upstream,
)

from gooseberryport_core.gateway.model import Repeatability, Tenant, UpstreamState
from gooseberryport_standins.samples import make_entry, make_route

KEY = "secret-key-1"


def in_loop(test):
    return functools.wraps(test)(lambda *args, **kwargs: run(test(*args, **kwargs)))


def home_config(region, *, version, limit):
    """Return a configuration whose route or tenant may be served in one region only."""
    regions = frozenset({region})
    route = make_route(
        allowed_regions=regions if limit == "route" else frozenset(),
        repeatability=Repeatability.AT_MOST_ONCE,
        max_attempts=3,
        timeout_s=5.0,
    )
    tenant = Tenant("acme", frozenset({KEY}))
    if limit == "tenant":
        tenant = msgspec.structs.replace(tenant, allowed_regions=regions)
    return make_config(route, version=version, tenants=(tenant,))


@contextlib.asynccontextmanager
async def start_two_regions(limit, *, script_a=lambda head, _: make_response(head)):
    async with (
        start_upstream(script_a) as in_a,
        start_upstream(lambda head, _: make_response(head)) as in_b,
        start_gateway() as gateway,
    ):
        gateway.put_upstream("ua", in_a.port, zone="a1")
        gateway.put_upstream("ub", in_b.port, zone="b1")
        gateway.state.apply_config(home_config("A", version=1, limit=limit))
        yield gateway, in_a, in_b


def delay_connections(gateway, change):
    """Call `change` while a connection is being opened."""
    connect = gateway.pool.connect

    async def connect_later(*args):
        conn = await connect(*args)
        await asyncio.sleep(0.05)
        change()
        gateway.pool.connect = connect
        return conn

    gateway.pool.connect = connect_later


async def post(gateway):
    extra = b"Authorization: Bearer " + KEY.encode()
    return (await send_request(gateway, make_request(method=b"POST", extra=extra)))[0]


# Guards against a request that runs outside its home region, since that changed while it waited.
@pytest.mark.parametrize("limit", ["route", "tenant"])
@in_loop
async def test_request_follows_homes_that_change_while_a_connection_opens(limit):
    async with start_two_regions(limit) as (gateway, in_a, in_b):
        newer = home_config("B", version=2, limit=limit)
        delay_connections(gateway, lambda: gateway.state.apply_config(newer))
        assert await post(gateway) == 200
        assert (len(in_a.requests_received), len(in_b.requests_received)) == (0, 1)


# Guards against a second send to a region that is no longer a home.
@pytest.mark.parametrize("limit", ["route", "tenant"])
@in_loop
async def test_further_sends_follow_homes_that_changed(limit):
    gateways = []

    def refuse_and_change(head, _):
        gateways[0].state.apply_config(home_config("B", version=2, limit=limit))
        status = b"503 Service Unavailable"
        full = b"x-not-run: 1\r\nx-load: 4,0,4"
        return make_response(head, status=status, signed=False, extra=full)

    async with (
        start_two_regions(limit, script_a=refuse_and_change) as (gateway, in_a, in_b),
        start_upstream(lambda head, _: make_response(head)) as also_in_a,
    ):
        gateways.append(gateway)
        gateway.state.remove_upstream("ua", reason="test", now=0.0)
        gateway.put_upstream("ua2", also_in_a.port, zone="a1")
        # A kept connection leads to it: no wait for a new one comes before a send there.
        assert await post(gateway) == 200
        gateway.put_upstream("ua", in_a.port, zone="a1")
        gateway.state.upstreams.get("ua2").in_flight = 3
        assert await post(gateway) == 200
        assert len(also_in_a.requests_received) == 1
        assert (len(in_a.requests_received), len(in_b.requests_received)) == (1, 1)


# Guards against a request that is sent by homes that its gateway knows to be gone.
@in_loop
async def test_request_without_a_home_left_is_refused_as_not_run():
    async with start_two_regions("route") as (gateway, in_a, in_b):
        newer = home_config("C", version=2, limit="route")
        delay_connections(gateway, lambda: gateway.state.apply_config(newer))
        assert await post(gateway) == 503
        assert in_a.requests_received == in_b.requests_received == []


def change_entry(gateway_state, **changes):
    known = gateway_state.upstreams.get("ua").entry
    entry = msgspec.structs.replace(known, sequence=9, **changes)
    gateway_state.put_upstream(entry, now=asyncio.get_running_loop().time())


CHANGES = {
    "evacuated": lambda state: state.set_evacuated(["a1"]),
    "draining": lambda state: change_entry(state, state=UpstreamState.DRAINING),
    "removed": lambda state: state.remove_upstream("ua", reason="test", now=0.0),
    "moved": lambda state: change_entry(state, address=("127.0.0.1", 1), started_ms=2000),
}


# Guards against a send to an upstream that left, or whose zone was evacuated, during the wait.
@pytest.mark.parametrize("change", CHANGES)
@in_loop
async def test_request_is_placed_anew_if_its_upstream_changes_while_a_connection_opens(change):
    async with (
        start_upstream(lambda head, _: make_response(head)) as chosen,
        start_upstream(lambda head, _: make_response(head)) as other,
        start_gateway(make_route(max_attempts=1, timeout_s=5.0)) as gateway,
    ):
        gateway.put_upstream("ua", chosen.port, zone="a1")
        gateway.put_upstream("ub", other.port, zone="b1")
        gateway.state.upstreams.get("ub").in_flight = 2
        delay_connections(gateway, lambda: CHANGES[change](gateway.state))
        assert await post(gateway) == 200
        assert (len(chosen.requests_received), len(other.requests_received)) == (0, 1)


@in_loop
async def test_entry_that_only_reports_anew_changes_nothing():
    async with start_two_regions("route") as (gateway, in_a, _):
        state = gateway.state
        delay_connections(gateway, lambda: change_entry(state))
        assert await post(gateway) == 200
        assert len(in_a.requests_received) == 1
        assert state.upstreams.get("ua").entry.sequence == make_entry("ua", sequence=9).sequence


# Guards against a kept connection that leads to the former address of an upstream.
@pytest.mark.parametrize("while_opening", [True, False])
@in_loop
async def test_connection_to_a_former_address_is_not_used(while_opening):
    async with (
        start_upstream(lambda head, _: make_response(head)) as former,
        start_upstream(lambda head, _: make_response(head)) as present,
        start_gateway(make_route(max_attempts=3, timeout_s=5.0)) as gateway,
    ):
        gateway.put_upstream("ua", former.port, zone="a1")

        def move():
            address = ("127.0.0.1", present.port)
            change_entry(gateway.state, address=address, started_ms=2000)

        if while_opening:
            delay_connections(gateway, move)
            await post(gateway)
        else:
            assert await post(gateway) == 200
            move()
        received = len(former.requests_received)
        assert await post(gateway) == 200
        assert len(former.requests_received) == received
        assert len(present.requests_received) == 1


# Guards against a process that runs out of memory while large configurations follow each other.
@in_loop
async def test_requests_in_flight_keep_no_former_configuration():
    async with start_two_regions("route", script_a=lambda head, _: None) as (gateway, in_a, _):
        former = weakref.ref(gateway.state.routes)
        task = asyncio.create_task(post(gateway))
        while not in_a.requests_received:
            await asyncio.sleep(0.01)
        gateway.state.apply_config(home_config("B", version=2, limit="route"))
        gc.collect()
        assert former() is None
        task.cancel()
