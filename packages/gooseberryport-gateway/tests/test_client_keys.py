import asyncio
import contextlib
import functools

import msgspec
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

from gooseberryport_core.gateway.model import Tenant
from gooseberryport_gateway._logs import Log
from gooseberryport_gateway._tenant_counts import MAX_LISTED_TENANTS, OTHER, TenantCounts
from gooseberryport_standins.samples import make_route

KEY = b"secret-key-1"
FIELD = b"Authorization: Bearer " + KEY
ACME = Tenant("acme", frozenset({KEY.decode()}))
BASALT = Tenant("basalt", frozenset({"secret-key-2"}))
ROUTES = (make_route(), make_route(name="open", prefix="/open/", public=True))


def in_loop(test):
    return functools.wraps(test)(lambda *args, **kwargs: run(test(*args, **kwargs)))


def keyed(key=KEY, **fields):
    return make_request(extra=b"Authorization: Bearer " + key, **fields)


@contextlib.asynccontextmanager
async def start_pair(*tenants, routes=ROUTES, script=lambda head, _: make_response(head)):
    async with start_upstream(script) as upstream, start_gateway() as gateway:
        gateway.put_upstream("u1", upstream.port)
        gateway.state.apply_config(make_config(*routes, tenants=tenants))
        yield gateway, upstream


async def statuses(gateway, *requests):
    return [(await send_request(gateway, request))[0] for request in requests]


def values(head, name):
    lines = [line.partition(b":") for line in head.split(b"\r\n")]
    return [value.strip() for field, _, value in lines if field.lower() == name]


# Guards against a key that reaches an upstream, a client that names its own tenant, and a public
# route that demands a key or forgets the tenant of a known one.
@in_loop
async def test_upstream_gets_the_tenant_and_neither_the_key_nor_the_clients_tenant_id():
    async with start_pair(ACME) as (gateway, upstream):
        spoofed = b"X-Tenant: basalt\r\nx-tenant: other"
        requests = [
            make_request(extra=spoofed + b"\r\nAuthorization: bearer  " + KEY),
            make_request(extra=spoofed, path=b"/open/x"),
            keyed(b"wrong", path=b"/open/x"),
            keyed(path=b"/open/x"),
        ]
        assert await statuses(gateway, *requests) == [200] * 4
        sent = upstream.requests_received
        assert [values(head, b"x-tenant") for head in sent] == [[b"acme"], [], [], [b"acme"]]
        assert not any(values(head, b"authorization") for head in sent)


# Guards against changes for deployments whose upstreams check the field themselves.
@in_loop
async def test_without_tenants_fields_are_forwarded_unchanged():
    async with start_pair() as (gateway, upstream):
        extra = b"Authorization: Basic eA==\r\nAuthorization: Bearer y\r\nX-Tenant: mine"
        assert await statuses(gateway, make_request(extra=extra)) == [200]
        assert extra.lower() in upstream.requests_received[0].lower()


# Guards against a revoked key that is accepted on a connection on which it was valid before, and
# against the loss of the requests that were received before it was revoked.
@in_loop
async def test_revoked_key_is_rejected_on_an_open_connection_behind_a_pipeline_in_flight():
    release = asyncio.Event()

    async def script(head, _):
        await release.wait()
        return make_response(head)

    async with start_pair(ACME, script=script) as (gateway, upstream):
        async with connect_client(gateway) as client:
            client.send(keyed(request_id=b"1") + keyed(request_id=b"2"))
            while len(upstream.requests_received) < 2:
                await asyncio.sleep(0.005)
            gateway.state.apply_config(make_config(*ROUTES, version=2, tenants=(BASALT,)))
            client.send(keyed(request_id=b"3") + keyed(b"secret-key-2", request_id=b"4"))
            release.set()
            replies = [await client.read_reply() for _ in range(4)]
        assert [status for status, _, _ in replies] == [200, 200, 401, 200]
        assert header_value(replies[2][1], b"www-authenticate") == b"bearer"
        assert header_value(replies[2][1], b"x-id") == b"3"
        # An older configuration does not make the key valid again.
        gateway.state.apply_config(make_config(*ROUTES, version=1, tenants=(ACME,)))
        assert await statuses(gateway, keyed()) == [401]
        assert len(upstream.requests_received) == 3


# Guards against a retry that sends the key on because tenants were removed meanwhile.
@in_loop
async def test_key_of_a_request_in_flight_is_not_forwarded_after_tenants_were_removed():
    def script(head, count):
        if count > 1:
            return make_response(head)
        gateway.state.apply_config(make_config(*ROUTES, version=2))
        return make_response(head, status=b"503 Busy", extra=b"x-not-run: 1")

    async with start_pair(ACME, script=script) as (gateway, upstream):
        assert await statuses(gateway, keyed()) == [200]
        assert len(upstream.requests_received) == 2
        assert all(KEY not in head for head in upstream.requests_received)


# Guards against the wrong order of checks: a client that gets 401 gives up, with 503 it retries.
@in_loop
async def test_configuration_and_route_are_checked_before_the_key():
    async with start_pair(ACME) as (gateway, upstream):
        repeated = make_request(extra=FIELD + b"\r\n" + FIELD)
        requests = (make_request(path=b"/none/"), make_request(), repeated)
        assert await statuses(gateway, *requests) == [404, 401, 401]
        gateway.state.accepting = False
        assert await statuses(gateway, make_request()) == [503]
        assert upstream.requests_received == []
    async with start_gateway() as gateway:
        assert await statuses(gateway, make_request(), keyed()) == [503, 503]


# Guards against requests that run where their tenant must not be served.
@pytest.mark.parametrize(
    ("route_regions", "tenant_regions", "status"),
    [("A", "B", 503), ("", "B", 503), ("AB", "B", 503), ("AB", "A", 200), ("", "AB", 200)],
)
@in_loop
async def test_regions_of_route_and_tenant_both_apply(route_regions, tenant_regions, status):
    route = make_route(allowed_regions=frozenset(route_regions))
    tenant = msgspec.structs.replace(ACME, allowed_regions=frozenset(tenant_regions))
    async with start_pair(tenant, routes=(route,)) as (gateway, upstream):
        assert await statuses(gateway, keyed()) == [status]
        assert len(upstream.requests_received) == (status == 200)


# Guards against service by revoked keys in a gateway that is cut off, if the settings forbid it.
@in_loop
async def test_strict_gateway_serves_keyed_routes_only_with_a_confirmed_configuration():
    async with start_pair(ACME) as (gateway, _):
        state = gateway.state
        bounds = msgspec.structs.replace(state.settings.bounds, strict_revoke=True, revoke_s=5.0)
        state.settings = msgspec.structs.replace(state.settings, bounds=bounds)
        assert await statuses(gateway, keyed(), keyed(path=b"/open/x")) == [503, 200]
        for age_s, status in ((5.1, 503), (5.0, 200)):
            state.config_age_s = lambda age_s=age_s: age_s
            assert await statuses(gateway, keyed(), keyed(path=b"/open/x")) == [status, 200]


# Guards against keys in the log or in metrics, and against a 401 that can't be explained.
@in_loop
async def test_log_and_metrics_name_tenants_and_reasons_but_no_key(tmp_path):
    path = tmp_path / "log"
    with path.open("wb") as file:
        async with start_pair(ACME) as (gateway, _):
            log = gateway.state.log = Log(vm="vm1", fd=file.fileno())
            config = make_config(*ROUTES, version=2, tenants=(ACME,), notes=("tenants[1]: x",))
            gateway.state.apply_config(config)
            requests = keyed(request_id=b"id7"), keyed(KEY + b"x", request_id=b"id8")
            assert await statuses(gateway, *requests) == [200, 401]
            log.flush()
            metrics = gateway.state.metrics.text().decode()
    _, note, ended, rejected = map(msgspec.json.decode, path.read_bytes().splitlines())
    assert (note["number"], note["reason"]) == (1121, "tenants[1]: x")
    assert (ended["request"], ended["tenant"]) == ("id7", "acme")
    assert (rejected["number"], rejected["request"], rejected["cause"]) == (1116, "id8", "unknown")
    assert 'gooseberryport_tenant_requests_total{outcome="2xx",tenant="acme"} 1.0' in metrics
    assert 'gooseberryport_rejected_keys_total{reason="unknown"} 1.0' in metrics
    assert "secret-key" not in metrics + path.read_text()


# Guards against a series for each of a thousand tenants, and against lost counts.
def test_largest_tenants_have_series_of_their_own_and_all_requests_are_counted():
    counts = TenantCounts()
    requests = [f"t{size}" for size in range(1000) for _ in range(size // 10)]
    for name in requests:
        counts.record(name, status=200)
    for _ in range(500):
        counts.record("late", status=429)
    total = len(requests) + 500

    def samples():
        (family,) = counts.collect()
        return {tuple(sample.labels.values()): sample.value for sample in family.samples}

    assert sum(samples().values()) == total
    assert len({name for name, _ in samples()}) == MAX_LISTED_TENANTS + 1
    # The series begins when the tenant is listed.
    assert 300 < samples()["late", "429"] <= 500
    counts.retain(["late"])
    assert {name for name, _ in samples()} == {"late", OTHER}
    assert sum(samples().values()) == total
