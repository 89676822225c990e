import pytest

from gooseberryport_core.config import pools_of
from gooseberryport_core.types import PoolId
from gooseberryport_standins.simulation import Simulation, owners, publish_whole
from gooseberryport_standins.soak import PLACES, example_config, run_soak

CFG = example_config()
POOLS = sorted(pools_of(CFG))


def settled(seed: int, loss: float = 0.02) -> Simulation:
    sim = Simulation(seed=seed, places=PLACES, publish=publish_whole(CFG), loss=loss)
    sim.run_until(lambda: all_owned(sim), 10.0)
    sim.run(10.0)
    return sim


def all_owned(sim: Simulation) -> bool:
    return all(len(vms) == 1 for vms in owners(sim, POOLS).values())


def pools_held_by(sim: Simulation, vm: str) -> list[PoolId]:
    return [pool for pool, vms in owners(sim, POOLS).items() if vms == [vm]]


def usable(sim: Simulation, pools: list[PoolId]) -> bool:
    for pool in pools:
        holders = sim.holders(pool)
        if len(holders) != 1:
            return False
        now = holders[0].local(sim.now)
        holding = holders[0].ownership.holding(pool, now)
        if holding is None or holding.former_work_until > now:
            return False
    return True


@pytest.mark.parametrize("seed", range(5))
def test_capacity_of_a_killed_owner_is_in_use_again_within_five_seconds(seed: int) -> None:
    sim = settled(seed)
    vm = sorted(PLACES)[seed]
    lost = pools_held_by(sim, vm)
    assert lost
    sim.kill(vm)
    assert sim.run_until(lambda: usable(sim, lost), 30.0) < 5.0


def test_pools_are_owned_in_their_own_zone_and_no_member_has_two_more_than_another() -> None:
    sim = settled(1)
    assert sim.run_until(lambda: len(pools_held_by(sim, "vm-3")) == 1, 20.0) < 20.0
    for pool, vms in owners(sim, POOLS).items():
        assert PLACES[vms[0]][0] == pool.zone


@pytest.mark.parametrize("seed", range(4))
def test_invariants_hold_under_random_faults(seed: int) -> None:
    run_soak(seed, steps=60)
