import asyncio
import itertools

import pytest
from gateway_harness import GatewayHarness, make_config, run

from gooseberryport_gateway import _supervisor
from gooseberryport_gateway._supervisor import Supervisor
from gooseberryport_standins.samples import make_route


@pytest.fixture
def short_delays(monkeypatch):
    monkeypatch.setattr(_supervisor, "MIN_RESTART_DELAY_S", 0.01)
    monkeypatch.setattr(_supervisor, "MAX_RESTART_DELAY_S", 0.04)


def failing_work(failures, starts):
    async def work():
        starts.append(asyncio.get_running_loop().time())
        if len(starts) <= failures:
            raise RuntimeError("odd input")
        await asyncio.sleep(60)

    return work


def ready_state():
    state = GatewayHarness().state
    state.apply_config(make_config(make_route()))
    return state


# Guards against one unexpected error that ends the process.
@pytest.mark.parametrize("essential", [True, False])
def test_failed_work_starts_again_and_the_gateway_is_not_ready_meanwhile(essential, short_delays):
    async def main():
        state, starts, was_ready = ready_state(), [], []
        supervisor = Supervisor(state=state)
        supervisor.start("work", failing_work(3, starts), essential=essential)
        async with asyncio.timeout(5):
            while len(starts) < 4:
                was_ready.append(state.ready)
                await asyncio.sleep(0.002)
        assert state.ready
        assert all(was_ready) is not essential
        assert state.metrics.task_failures.labels("work")._value.get() == 3
        supervisor.stop()
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert not supervisor._tasks

    run(main())


def test_the_delay_of_restarts_grows_to_its_bound(short_delays):
    async def main():
        starts = []
        supervisor = Supervisor(state=ready_state())
        supervisor.start("work", failing_work(6, starts))
        async with asyncio.timeout(5):
            while len(starts) < 7:
                await asyncio.sleep(0.002)
        delays = [after - before for before, after in itertools.pairwise(starts)]
        wanted = [0.01, 0.02, 0.04, 0.04, 0.04, 0.04]
        assert all(delay >= least for delay, least in zip(delays, wanted, strict=True))
        supervisor.stop()

    run(main())


def test_work_that_returns_is_not_started_again():
    async def main():
        starts = []

        async def work():
            starts.append(1)

        await Supervisor(state=ready_state()).start("work", work)
        assert starts == [1]

    run(main())
