"""Large configurations in quick succession behind slow links."""

import asyncio

import pytest
from test_site_discovery import config, run_scenario, wait_until

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
