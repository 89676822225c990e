import pytest

from gooseberryport_core.config import pools_of
from gooseberryport_core.types import Outcome
from gooseberryport_standins.bench_failures import USERS, places_of
from gooseberryport_standins.deployment import read_deployment
from gooseberryport_standins.simulation import config_publisher
from gooseberryport_standins.soak import PLACES, example_config
from gooseberryport_standins.traffic import SimNode, TrafficSimulation
from gooseberryport_standins.traffic_soak import SteadyLoad, run_traffic_soak


@pytest.mark.parametrize("seed", [1, 2, 6])
def test_reported_outcomes_match_the_runs_under_random_failures(seed: int) -> None:
    sim = run_traffic_soak(seed, 25)
    outcomes = [end.outcome for end in sim.finished_requests.values()]
    assert outcomes.count(Outcome.ANSWERED) > 100
    assert max(sim.peak_running.values()) >= 2


def test_planned_stops_of_all_vms_in_turn_fail_no_request() -> None:
    cfg = example_config()
    sim = TrafficSimulation(
        cfg=cfg, seed=5, places=PLACES, publish=config_publisher(cfg), upstream_fault_fraction=0.0
    )
    sim.run(10.0)
    load = SteadyLoad(sim, rate=40.0)
    for vm in PLACES:
        daemon = sim.daemons[vm]
        assert isinstance(daemon, SimNode)
        sim.stop(vm)
        sim.run_until(lambda daemon=daemon: daemon.exited, 20.0)
        sim.kill(vm)
        sim.run(1.0)
        sim.start(vm)
        sim.run(6.0)
    load.stop()
    sim.run(5.0)
    ends = {request_id: sim.finished_requests[request_id] for request_id in load.sent}
    assert [end for end in ends.values() if end.outcome != Outcome.ANSWERED] == []
    sim.check_outcomes()


def test_requests_are_served_while_every_datagram_is_lost() -> None:
    user = USERS["amt"]
    cfg = read_deployment(user.folder).cfg
    sim = TrafficSimulation(
        cfg=cfg,
        seed=1,
        places=places_of(user, cfg),
        publish=config_publisher(cfg),
        upstream_fault_fraction=0.0,
    )
    sim.run(10.0)
    sim.loss = 1.0
    load = SteadyLoad(sim, rate=40.0)
    sim.run(10.0)
    load.stop()
    sim.run(5.0)
    assert {len(sim.holders(pool)) for pool in pools_of(cfg)} == {1}
    assert {sim.finished_requests[request_id].outcome for request_id in load.sent} == {
        Outcome.ANSWERED
    }
