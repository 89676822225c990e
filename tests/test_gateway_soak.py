"""Short runs of the gateway's fault soak, including the seeds that failed before."""

import asyncio

import pytest
from gateway_soak import soak

SECONDS = 12.0

SEEDS = {
    1: "general run",
    3: "SIGTERM while Python was still importing modules killed the process",
    7: "SIGHUP while Python was still importing modules killed the process",
    10: "the store returns from older copies",
}


@pytest.mark.parametrize("seed", SEEDS)
def test_no_promise_is_broken_under_random_faults(seed, tmp_path):
    checker = asyncio.run(asyncio.wait_for(soak(seed=seed, seconds=SECONDS, folder=tmp_path), 90))
    assert checker.violations == []
    assert checker.counts["status 200"] > 100
