"""Large configurations in quick succession behind slow links."""

import asyncio

import msgspec
import pytest
from store_standin import store_standin
from test_site_discovery import config, entry, run_scenario, wait_until

from gooseberryport_core.gateway.catching_up import reads_anew, superseded_fraction
from gooseberryport_gateway._progress import transfer_timeout
from gooseberryport_gateway.errors import IncompleteAnswerError, StoreError

CONFIG_BYTES = 600_000
LINK_BYTES_PER_S = 1_250_000
STORM_VERSIONS = 12
STORM_INTERVAL_S = 0.33
APPLY_S = 3.0


def large_config(version):
    return config(version) | {"unused": "x" * CONFIG_BYTES}


@pytest.mark.timeout(60)
def test_configuration_is_in_force_in_time_after_a_storm_behind_a_slow_link(tmp_path, monkeypatch):
    # Failure: a gateway asks for all versions again and again, and sends where an old one allows.
    async def scenario(standin, state, _):
        await standin.put("op/config", large_config(1))
        await wait_until(lambda: state.routes is not None)
        standin.link_bytes_per_s = LINK_BYTES_PER_S
        for version in range(2, 2 + STORM_VERSIONS):
            await standin.put("op/config", large_config(version))
            await asyncio.sleep(STORM_INTERVAL_S)
        newest = STORM_VERSIONS + 1
        await wait_until(lambda: state.routes.config.version == newest, within_s=APPLY_S)

    run_scenario(scenario, tmp_path=tmp_path, monkeypatch=monkeypatch)


def test_changes_beyond_the_largest_answer_are_read_anew(tmp_path, monkeypatch):
    # Failure: a gateway that missed them asks for the same answer until the history is gone.
    async def scenario(standin, state, _):
        await standin.put("op/config", config(1))
        await wait_until(lambda: state.routes is not None)
        standin.fault = lambda method, target: "reset"
        await asyncio.sleep(0.2)
        for version in range(2, 32):
            await standin.put("op/config", large_config(version))
        standin.fault = lambda method, target: None
        await wait_until(lambda: state.routes.config.version == 31, within_s=APPLY_S)

    run_scenario(scenario, tmp_path=tmp_path, monkeypatch=monkeypatch)


async def stop_midway(writer, data):
    writer.write(data[:1000])
    await asyncio.sleep(60)


def test_answer_that_arrives_slowly_is_complete_and_one_that_stops_is_not():
    async def main():
        async with store_standin() as (standin, store):
            await standin.put("op/config", b"x" * 3_000_000)
            standin.link_bytes_per_s = 2_000_000
            page = await asyncio.wait_for(store.read_range("op/"), 10)
            assert len(page.items[0].value) == 3_000_000
            standin._send = stop_midway
            with pytest.raises(IncompleteAnswerError):
                await store.read_range("op/")
            standin.fault = lambda method, target: "silent"
            with pytest.raises(StoreError) as silent:
                await store.read_range("op/")
            assert not isinstance(silent.value, IncompleteAnswerError)

    asyncio.run(main())


def test_wait_for_a_response_ends_in_any_case(monkeypatch):
    monkeypatch.setattr("gooseberryport_gateway._progress.MAX_TRANSFER_S", 0.2)

    async def main():
        async with transfer_timeout(first_byte_s=0.1, stall_s=0.1) as transfer:
            while True:
                transfer.record_bytes()
                await asyncio.sleep(0.01)

    with pytest.raises(TimeoutError):
        asyncio.run(asyncio.wait_for(main(), 2))


@pytest.mark.parametrize(
    ("changes", "transfer_s", "anew"),
    [
        ([], 5.0, False),
        ([("op/config", 600_000)], 5.0, False),
        ([("op/config", 600_000)] * 3, 0.1, False),
        ([("op/config", 600_000)] * 3, 1.5, True),
        ([("servers/a", 300), ("servers/b", 300)], 5.0, False),
        ([("servers/a", 300)] * 200, 5.0, False),
        ([("servers/a", 300)] * 2 + [("op/config", 600_000)], 0.6, False),
    ],
)
def test_only_a_slow_answer_longer_than_a_full_read_leads_to_one(changes, transfer_s, anew):
    assert reads_anew(changes, transfer_s=transfer_s, state_bytes=700_000) is anew
    assert 0.0 <= superseded_fraction(changes) < 1.0


def test_watches_that_are_cut_again_and_again_do_not_lead_to_a_full_read_each(
    tmp_path, monkeypatch
):
    # Failure: a gateway reads the whole store again and again without a pause.
    async def scenario(standin, state, discovery):
        await standin.put("op/config", config(1))
        await wait_until(lambda: state.routes is not None)
        bounds = msgspec.structs.replace(state.settings.bounds, drain_s=APPLY_S)
        state.settings = msgspec.structs.replace(state.settings, bounds=bounds)
        send = standin._send

        async def cut_watches(writer, data):
            if b'"events"' not in data:
                await send(writer, data)
                return
            writer.write(data[:20])
            await writer.drain()
            writer.close()

        standin._send = cut_watches
        standin.calls.clear()
        for number in range(100):
            await standin.put("servers/u1", entry(sequence=10 + number))
            await asyncio.sleep(0.03)
        assert 3 <= sum("kv-range" in target for _, target in standin.calls) <= 12
        await standin.put("op/config", config(2))
        await wait_until(lambda: state.routes.config.version == 2, within_s=APPLY_S)

    run_scenario(scenario, tmp_path=tmp_path, monkeypatch=monkeypatch)
