"""A short run of the fault soak, and every seed that ever failed."""

import asyncio

import pytest
from gateway_soak import soak

SECONDS = 12.0

SEEDS = {
    1: "a first short run",
    3: "asked to stop while it still imported: the process was killed by the signal",
    7: "SIGHUP while it still imported: the process was killed by the signal",
}


@pytest.mark.parametrize("seed", SEEDS)
def test_no_promise_is_broken_under_random_faults(seed, tmp_path):
    checker = asyncio.run(asyncio.wait_for(soak(seed=seed, seconds=SECONDS, folder=tmp_path), 90))
    assert checker.violations == []
    assert checker.counts["status 200"] > 100
