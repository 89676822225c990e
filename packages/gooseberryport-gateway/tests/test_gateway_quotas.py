import asyncio
import contextlib
import json
import os

import msgspec
import pytest
from gateway_harness import (
    SETTINGS,
    connect_client,
    header_value,
    make_config,
    make_response,
    run,
    send_request,
    start_fleet,
    start_gateway,
    start_upstream,
)
from gateway_harness import make_request as plain_request

from gooseberryport_core.gateway.model import Tenant
from gooseberryport_core.gateway.quota_counts import QuotaReport, QuotaReports
from gooseberryport_gateway._logs import Log
from gooseberryport_gateway._peers import PeerReport
from gooseberryport_standins.samples import make_route

BOUNDS = msgspec.structs.replace(
    SETTINGS.bounds, quota_window_s=5.0, quota_overage=0.1, quota_slack=2.0
)


def make_tenant(*, rate, burst):
    return Tenant("t", frozenset({"key"}), rate_per_s=rate, burst=burst)


def set_tenant(gateway, tenant, *, idle_s=60.0):
    """Give a gateway one tenant, whose bucket had time to fill, for all requests."""
    state = gateway.state
    clock = state.quotas._clock
    state.apply_settings(msgspec.structs.replace(SETTINGS, bounds=BOUNDS))
    state.quotas._clock = lambda: clock() - idle_s
    config = make_config(make_route(), version=2)
    state.apply_config(msgspec.structs.replace(config, tenants=(tenant,)))
    state.quotas._clock = clock


def make_request(**parts):
    return plain_request(extra=b"Authorization: Bearer key", **parts)


async def statuses(gateway, count):
    return [(await send_request(gateway, make_request()))[0] for _ in range(count)]


def test_rejection_says_when_to_retry_and_why(tmp_path):
    """Guards against rejections that operators can't explain, or that reach an upstream."""

    async def main():
        async with (
            start_upstream(lambda head, _: make_response(head)) as upstream,
            start_gateway(make_route()) as gateway,
        ):
            gateway.put_upstream("u1", upstream.port)
            fd = os.open(tmp_path / "log", os.O_WRONLY | os.O_CREAT)
            gateway.state.quotas._log = log = Log(vm="vm1", fd=fd)
            set_tenant(gateway, make_tenant(rate=0.1, burst=2.0))
            for _ in range(6):
                _, head, _ = await send_request(gateway, make_request())
            log.flush()
            os.close(fd)
            assert b"429 too many requests" in head
            assert float(header_value(head, b"retry-after")) > 0.5
            assert len(upstream.requests_received) < 6
            metrics = gateway.state.metrics.text().decode()
            assert 'gooseberryport_quota_rejections_total{tenant="t"}' in metrics
            assert 'gooseberryport_requests_total{outcome="429",route="r"}' in metrics

    run(main())
    line = json.loads((tmp_path / "log").read_text().splitlines()[-1])
    assert (line["number"], line["request"], line["tenant"]) == (1117, "id1", "t")
    assert {"level", "share_per_s", "demand_per_s", "retry_s"} <= line.keys()
    assert "key" not in json.dumps(line)


@pytest.mark.parametrize("refusal", [b"503 Busy", b"421 Misdirected"])
def test_requests_that_did_not_run_use_up_nothing(refusal):
    """Guards against a tenant that is locked out because upstreams refuse its requests."""

    def script(head, count):
        return make_response(head, status=refusal, signed=False, extra=b"x-not-run: 1")

    async def main():
        async with start_upstream(script) as upstream, start_gateway(make_route()) as gateway:
            set_tenant(gateway, make_tenant(rate=0.1, burst=2.0))
            assert await statuses(gateway, 8) == [503] * 8
            gateway.put_upstream("u1", upstream.port)
            assert await statuses(gateway, 8) == [503] * 8
            assert not gateway.state.quotas._charged

    run(main())


def test_cancelled_request_that_was_sent_keeps_its_token_spent():
    """Guards against clients that evade their quota by closing the connection."""

    async def main():
        async with (
            start_upstream(lambda head, _: None) as upstream,
            start_gateway(make_route()) as gateway,
        ):
            gateway.put_upstream("u1", upstream.port)
            set_tenant(gateway, make_tenant(rate=0.1, burst=2.0))
            for sent in range(2):
                async with connect_client(gateway) as client:
                    client.send(make_request())
                    while len(upstream.requests_received) <= sent:
                        await asyncio.sleep(0.01)
            while gateway.state.quotas._charged:
                await asyncio.sleep(0.01)
            decision = gateway.state.quotas._quotas.decide(
                "t", fraction=1.0, now=asyncio.get_running_loop().time()
            )
            assert decision.level < 1.0

    run(main())


def test_quota_holds_through_three_gateways_at_a_multiple_of_it():
    """Guards against gateways that each admit the whole quota of a tenant."""
    tenant = make_tenant(rate=20.0, burst=10.0)
    duration_s = 3.0

    async def main():
        async with contextlib.AsyncExitStack() as stack:
            upstream = await stack.enter_async_context(
                start_upstream(lambda head, _: make_response(head))
            )
            fleet = await stack.enter_async_context(start_fleet(3, make_route()))
            for gateway in fleet.values():
                gateway.put_upstream("u1", upstream.port, slots=1000)
                set_tenant(gateway, tenant)
            await asyncio.sleep(0.5)
            loop = asyncio.get_running_loop()
            ends_at = loop.time() + duration_s
            served = rejected = 0
            while loop.time() < ends_at:
                replies = [statuses(gateway, 1) for gateway in fleet.values()]
                for [status] in await asyncio.gather(*replies):
                    served += status == 200
                    rejected += status == 429
                await asyncio.sleep(0.03)
            elapsed_s = loop.time() - ends_at + duration_s
        quota = tenant.rate_per_s * elapsed_s + tenant.burst
        allowed = (tenant.rate_per_s * 5.0 + tenant.burst) * 0.1 + 2.0
        assert rejected > 0
        # How much of a quota is usable is tested by a model; a pause of the machine loses tokens.
        assert tenant.burst <= served <= quota + allowed

    run(main())


def test_older_and_newer_gateways_understand_each_others_reports():
    """Guards against a rolling update in which gateways lose sight of each other."""

    class OlderReport(msgspec.Struct, array_like=True):
        vm: str
        incarnation: int
        ready: bool
        loads: dict[int, int]

    quotas = QuotaReports(sequence=1, tenants=[QuotaReport(1, 2, 3, 4)])
    encoded = msgspec.msgpack.encode(PeerReport("vm2", 1, True, {}, quotas=quotas))
    assert msgspec.msgpack.decode(encoded, type=OlderReport).vm == "vm2"
    assert msgspec.msgpack.decode(encoded, type=PeerReport).quotas == quotas
    older = msgspec.msgpack.encode(OlderReport("vm2", 1, True, {}))
    assert msgspec.msgpack.decode(older, type=PeerReport).quotas is None


class OlderReports(msgspec.Struct, array_like=True):
    """`QuotaReports` of gateways that do not state when a report was sent."""

    sequence: int
    tenants: list[QuotaReport]


def test_reports_with_and_without_time_of_sending_are_understood():
    """Guards against gateways of two versions that ignore each other's counts."""
    report = QuotaReport(1, 2, 3, 4)
    newer = msgspec.msgpack.encode(QuotaReports(sequence=1, tenants=[report], sent_ms=5))
    assert msgspec.msgpack.decode(newer, type=OlderReports) == OlderReports(1, [report])
    older = msgspec.msgpack.encode(OlderReports(1, [report]))
    assert msgspec.msgpack.decode(older, type=QuotaReports) == QuotaReports(1, [report], None)
