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
def test_whole_nodes_keep_their_word_under_random_faults(seed: int) -> None:
    sim = run_traffic_soak(seed, 25)
    words = [end.outcome for end in sim.finished_requests.values()]
    assert words.count(Outcome.ANSWERED) > 100
    assert max(sim.peak_running.values()) >= 2


def test_planned_stops_of_all_vms_in_turn_cost_no_caller_an_answer() -> None:
    cfg = example_config()
    sim = TrafficSimulation(
        cfg=cfg, seed=5, places=PLACES, publish=config_publisher(cfg), upstream_fault_fraction=0.0
    )
    sim.run(10.0)
    callers = SteadyLoad(sim, rate=40.0)
    for vm in PLACES:
        daemon = sim.daemons[vm]
        assert isinstance(daemon, SimNode)
        sim.stop(vm)
        sim.run_until(lambda daemon=daemon: daemon.exited, 20.0)
        sim.kill(vm)
        sim.run(1.0)
        sim.start(vm)
        sim.run(6.0)
    callers.stop()
    sim.run(5.0)
    words = {request_id: sim.finished_requests[request_id] for request_id in callers.sent}
    assert [end for end in words.values() if end.outcome != Outcome.ANSWERED] == []
    sim.check_outcomes()


def test_service_goes_on_while_every_datagram_is_lost() -> None:
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
    callers = SteadyLoad(sim, rate=40.0)
    sim.run(10.0)
    callers.stop()
    sim.run(5.0)
    assert {len(sim.holders(pool)) for pool in pools_of(cfg)} == {1}
    assert {sim.finished_requests[request_id].outcome for request_id in callers.sent} == {
        Outcome.ANSWERED
    }
