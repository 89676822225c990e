import pytest

from gooseberryport_core import _witnesses
from gooseberryport_core._holdings import Holdings
from gooseberryport_core._lease_clock import NEVER, LapseWatch, StampClock
from gooseberryport_core._outage import OutageRule
from gooseberryport_core._ownership import Ownership
from gooseberryport_core._table_writer import Release
from gooseberryport_core._witnesses import FenceVotes, WitnessBook
from gooseberryport_core.config import pools_of
from gooseberryport_core.types import PoolId
from gooseberryport_standins.simulation import Simulation, owners, publish_whole
from gooseberryport_standins.soak import PLACES, example_config, run_soak

CFG = example_config()
MOST_SEEDS = 10
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
    run_soak(seed, steps=40)


def busy_pools_too(holdings: Holdings, max_attempt_s: object, now: float) -> list[Release]:
    holdings._busy = lambda _: False
    return UNGUARDED_RELEASES(holdings, max_attempt_s, now)


UNGUARDED_RELEASES = Holdings.releases
GUARDS = {
    "a lapse is waited out": (LapseWatch, "lapsed", lambda self, m, now: m.id in self._seen),
    "a holder stops when its lease ends": (Ownership, "_valid_until", lambda self: float("inf")),
    "a lease counts from its own stamp": (
        StampClock,
        "issued_at",
        lambda self, stamp: self._issued_at.get(self._newest, NEVER),
    ),
    "a witness refuses older tables": (WitnessBook, "allows", lambda self, region, revision: True),
    "a yes that was given is waited out": (
        WitnessBook,
        "yes_left",
        lambda self, region, now: NEVER,
    ),
    "a new owner waits for promises": (FenceVotes, "clear_at", lambda self, sets, revision: NEVER),
    "promises come from enough witnesses": (_witnesses, "fence_quorum", lambda count: 1),
    "a majority lets a holder go on": (_witnesses, "extension_quorum", lambda count: 1),
    "former witnesses are asked": (OutageRule, "witnesses_settled", lambda self, now: True),
    "former work is waited out": (Ownership, "_max_attempt_s", lambda self, pool: 0.0),
    "a busy pool is not handed over": (Holdings, "releases", busy_pools_too),
}


@pytest.mark.parametrize("guard", GUARDS)
def test_invariants_break_without_each_guard(guard: str, monkeypatch: pytest.MonkeyPatch) -> None:
    owner, name, replacement = GUARDS[guard]
    monkeypatch.setattr(owner, name, replacement)
    broken = []
    for seed in range(MOST_SEEDS):
        try:
            run_soak(seed, steps=40)
        except AssertionError as exc:
            broken.append(str(exc))
        if any(word in text for text in broken for word in ("two owners", "fell", "has work")):
            return
    pytest.fail(f"no invariant broke: {broken}")
