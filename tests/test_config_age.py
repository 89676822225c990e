"""Gateways that new connections reach apply a configuration in time, whichever source fails."""

import asyncio
import contextlib

import msgspec
import pytest
from store_standin import store_standin
from test_relay import region
from test_site_discovery import ENTRY, config, entry, wait_until

from gooseberryport_gateway.errors import StoreError

BOUND_S = 2.0
"""Time within which a configuration must be in force, the shortest of the sites; seconds."""


def run_region(scenario, *, size, tmp_path):
    """Run a scenario beside a report of an upstream each 0.1 s, with the pace of a real site."""

    async def report(standin):
        number = 10
        while True:
            await standin.put("servers/u1", entry(sequence=number))
            number += 1
            await asyncio.sleep(0.1)

    async def main():
        with (tmp_path / "log").open("wb") as log:
            async with store_standin() as (standin, _):
                await standin.put("servers/u1", ENTRY)
                await standin.put("op/config", config(1))
                async with region(standin, log, size=size) as gateways:
                    for gateway in gateways:
                        settings = gateway.state.settings
                        bounds = msgspec.structs.replace(settings.bounds, drain_s=BOUND_S)
                        gateway.state.settings = msgspec.structs.replace(settings, bounds=bounds)
                    reports = asyncio.create_task(report(standin))
                    try:
                        await wait_until(lambda: all(gateway.state.ready for gateway in gateways))
                        await asyncio.sleep(1.0)
                        await scenario(standin, gateways)
                    finally:
                        reports.cancel()

    asyncio.run(asyncio.wait_for(main(), 30))


async def time_to_apply(standin, gateway, *, version=2):
    """Write a configuration, and return how long a gateway takes to apply it; seconds."""
    loop = asyncio.get_running_loop()
    await standin.put("op/config", config(version))
    written_at = loop.time()
    await wait_until(lambda: gateway.state.routes.config.version == version, within_s=9.0)
    return loop.time() - written_at


def reject(gateway, *, retry_after_s):
    """Let the store reject a gateway's watches; return the times of the rejected calls."""
    loop = asyncio.get_running_loop()
    rejected_at = []

    async def watch(prefix, **kwargs):
        rejected_at.append(loop.time())
        raise StoreError("status 503", retry_after_s=retry_after_s)

    gateway.discovery._store.watch = watch
    return rejected_at


def accept(gateway):
    with contextlib.suppress(AttributeError):
        del gateway.discovery._store.watch


def test_connections_to_the_store_that_go_silent(tmp_path):
    async def scenario(standin, gateways):
        gateways[0].store_link.silence_connections()
        assert await time_to_apply(standin, gateways[0]) < BOUND_S

    run_region(scenario, size=1, tmp_path=tmp_path)


def test_store_that_rejects_one_gateway_of_a_small_region(tmp_path):
    async def scenario(standin, gateways):
        rejected_at = reject(gateways[0], retry_after_s=10.0)
        await wait_until(lambda: rejected_at)
        assert await time_to_apply(standin, gateways[0]) < BOUND_S
        assert len(rejected_at) == 1
        # Failure: the other gateways' changes end once the first pause has been spent.
        assert await time_to_apply(standin, gateways[0], version=3) < BOUND_S

    run_region(scenario, size=3, tmp_path=tmp_path)


def test_store_that_rejects_a_gateway_whose_watchers_are_silent(tmp_path):
    async def scenario(standin, gateways):
        follower = next(gateway for gateway in gateways if gateway.discovery._watcher)
        watchers = [gateway for gateway in gateways if gateway.discovery._watcher is None]
        reject(follower, retry_after_s=10.0)
        for watcher in watchers:
            watcher.silent = True
        assert await time_to_apply(standin, follower) < BOUND_S

    run_region(scenario, size=6, tmp_path=tmp_path)


@pytest.mark.parametrize("retry_after_s", [0.5, 10.0])
def test_rejection_of_all_gateways_that_ends(retry_after_s, tmp_path):
    async def scenario(standin, gateways):
        rejected_at = [reject(gateway, retry_after_s=retry_after_s) for gateway in gateways]
        await asyncio.sleep(4.0)
        for gateway in gateways:
            accept(gateway)
        assert await time_to_apply(standin, gateways[0]) < BOUND_S
        assert max(map(len, rejected_at)) < 8

    run_region(scenario, size=2, tmp_path=tmp_path)


def test_configurations_missed_during_a_rejection_that_exceed_one_answer(tmp_path):
    async def scenario(standin, gateways):
        rejected_at = reject(gateways[0], retry_after_s=0.0)
        await wait_until(lambda: rejected_at)
        filler = "x" * 600_000
        for version in range(2, 40):
            await standin.put("op/config", config(version) | {"filler": filler})
        accept(gateways[0])
        assert await time_to_apply(standin, gateways[0], version=40) < 2 * BOUND_S

    run_region(scenario, size=1, tmp_path=tmp_path)
