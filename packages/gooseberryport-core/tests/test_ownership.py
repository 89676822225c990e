import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from gooseberryport_core import _witnesses
from gooseberryport_core._assignment import NO_MEMBER
from gooseberryport_core._holdings import Holdings
from gooseberryport_core._lease_clock import NEVER, LapseDetector, StampClock
from gooseberryport_core._lease_table import Grant, Member
from gooseberryport_core._ownership import Ownership
from gooseberryport_core._table_writer import Release
from gooseberryport_core._witness_protocol import WitnessProtocol
from gooseberryport_core._witnesses import FenceAcks, WitnessState
from gooseberryport_core.config import pools_of
from gooseberryport_core.types import PoolId
from gooseberryport_standins.simulation import (
    APPLIED,
    LATE,
    LOST,
    STORE,
    Simulation,
    config_publisher,
    owners,
)
from gooseberryport_standins.soak import PLACES, FaultInjector, example_config, run_soak

CFG = example_config()
MAX_SEEDS = 10
SMALL_FLEET = {vm: place for vm, place in PLACES.items() if place[1] == "mittelland"}
LINK_ENDS = [*sorted(SMALL_FLEET), STORE]
POOLS = sorted(pools_of(CFG))
MITTELLAND_POOLS = [pool for pool in POOLS if pool.zone in ("bern-a", "olten-b")]


def stable_simulation(seed: int, loss: float = 0.02) -> Simulation:
    sim = Simulation(seed=seed, places=PLACES, publish=config_publisher(CFG), loss=loss)
    sim.run_until(lambda: all_owned(sim), 10.0)
    sim.run(10.0)
    sim.run_until(lambda: not handovers(sim), 30.0)
    return sim


def handovers(sim: Simulation) -> list[Grant]:
    tables = [d.ownership._sync.stored.table for d in sim.running()]
    return [g for table in tables for g in table.grants if g.successor != NO_MEMBER]


def all_owned(sim: Simulation) -> bool:
    return all(len(vms) == 1 for vms in owners(sim, POOLS).values())


def pools_held_by(sim: Simulation, vm: str) -> list[PoolId]:
    return [pool for pool, vms in owners(sim, POOLS).items() if vms == [vm]]


def usable(sim: Simulation, pools: list[PoolId]) -> bool:
    for pool in pools:
        holders = sim.holders(pool)
        if len(holders) != 1:
            return False
        now = holders[0].local_time(sim.now)
        holding = holders[0].ownership.holding(pool, now)
        if holding is None or holding.former_work_until > now:
            return False
    return True


@pytest.mark.parametrize("seed", range(5))
def test_capacity_of_a_killed_owner_is_in_use_again_within_five_seconds(seed: int) -> None:
    sim = stable_simulation(seed)
    vm = sorted(PLACES)[seed]
    lost_pools = pools_held_by(sim, vm)
    assert lost_pools
    sim.kill(vm)
    assert sim.run_until(lambda: usable(sim, lost_pools), 30.0) < 5.0


def test_pools_are_owned_in_their_own_zone_and_no_member_has_two_more_than_another() -> None:
    sim = stable_simulation(1)
    assert sim.run_until(lambda: len(pools_held_by(sim, "vm-3")) == 1, 20.0) < 20.0
    for pool, vms in owners(sim, POOLS).items():
        assert PLACES[vms[0]][0] == pool.zone


def test_planned_stop_hands_over_without_waiting_for_a_lease() -> None:
    sim = stable_simulation(2)
    held_pools = pools_held_by(sim, "vm-1")
    assert held_pools
    sim.stop("vm-1")
    handover_s = sim.run_until(lambda: sim.daemons["vm-1"].ownership.released, 20.0)
    assert handover_s < sim.max_attempt_s + 1.0
    assert sim.run_until(lambda: usable(sim, held_pools), 20.0) < 0.5


@pytest.mark.parametrize("outage_s", [3.0, 30.0])
def test_owners_keep_their_pools_through_a_store_outage_and_a_crash_during_it(
    outage_s: float,
) -> None:
    sim = stable_simulation(3)
    owners_before = owners(sim, POOLS)
    sim.store.available = False
    sim.run(outage_s)
    assert owners(sim, POOLS) == owners_before
    lost_pools = pools_held_by(sim, "vm-1")
    sim.kill("vm-1")
    for _ in range(100):
        sim.run(outage_s / 100)
        kept_owners = {pool: vms for pool, vms in owners_before.items() if pool not in lost_pools}
        assert owners(sim, list(kept_owners)) == kept_owners
        assert all(not sim.holders(pool) for pool in lost_pools)
    sim.store.available = True
    assert sim.run_until(lambda: usable(sim, lost_pools), 30.0) < 10.0


def test_minority_with_the_store_does_not_take_over_from_a_majority_without_it() -> None:
    sim = stable_simulation(4)
    held_pools = pools_held_by(sim, "vm-1") + pools_held_by(sim, "vm-2")
    owners_before = owners(sim, held_pools)
    for vm in ("vm-1", "vm-2"):
        for other in (*(name for name in PLACES if name not in ("vm-1", "vm-2")), STORE):
            sim.cut(vm, other)
    sim.run(20.0)
    assert owners(sim, held_pools) == owners_before
    sim.cut_links.clear()
    assert sim.run_until(lambda: all_owned(sim), 20.0) < 10.0


def test_partitioned_owner_stops_and_its_successor_starts() -> None:
    sim = stable_simulation(5)
    lost_pools = pools_held_by(sim, "vm-2")
    for other in (*(name for name in PLACES if name != "vm-2"), STORE):
        sim.cut("vm-2", other)
    assert sim.run_until(lambda: usable(sim, lost_pools), 30.0) < 5.0


def test_pools_are_owned_after_a_rolling_replacement_and_after_the_loss_of_a_region() -> None:
    sim = stable_simulation(6)
    for vm in sorted(PLACES):
        sim.stop(vm)
        sim.run_until(lambda vm=vm: sim.daemons[vm].ownership.released, 20.0)
        sim.kill(vm)
        sim.start(vm)
        sim.run_until(lambda: all_owned(sim), 20.0)
        sim.run(5.0)
    for vm in ("vm-4", "vm-5"):
        sim.kill(vm)
    sim.run(10.0)
    others = [pool for pool in POOLS if pool.zone not in ("lausanne-a", "geneve-b")]
    assert all(len(vms) == 1 for vms in owners(sim, others).values())
    for vm in ("vm-4", "vm-5"):
        sim.start(vm)
    assert sim.run_until(lambda: all_owned(sim), 30.0) < 10.0


def test_owners_in_every_region_are_known_everywhere() -> None:
    sim = stable_simulation(7)
    sim.kill("vm-4")
    sim.run_until(lambda: all_owned(sim), 30.0)
    sim.run(2.0)
    for pool, (vm,) in owners(sim, POOLS).items():
        known = {d.ownership.owner_of(pool).vm for d in sim.running()}
        assert known == {vm}


@pytest.mark.parametrize("seed", [3, 4])
def test_invariants_hold_under_random_faults(seed: int) -> None:
    run_soak(seed, steps=40)


def release_busy_pools_too(holdings: Holdings, max_attempt_s: object, now: float) -> list[Release]:
    holdings._is_busy = lambda _: False
    return UNGUARDED_RELEASES(holdings, max_attempt_s, now)


UNGUARDED_RELEASES = Holdings.releases
GUARDS = {
    "a lapsed lease is waited for": (
        LapseDetector,
        "has_lapsed",
        lambda self, m, now: m.id in self._observed,
    ),
    "an owner stops when its lease ends": (Ownership, "_valid_until", lambda self: float("inf")),
    "a lease starts at the issue of its own stamp": (
        StampClock,
        "issued_at",
        lambda self, stamp: self._issued_at.get(self._newest, NEVER),
    ),
    "a witness does not vote for older tables": (
        WitnessState,
        "allows_extension",
        lambda self, region, revision: True,
    ),
    "a vote that was given is waited for until it expires": (
        WitnessState,
        "vote_left_s",
        lambda self, region, now: NEVER,
    ),
    "a new owner waits for fence acknowledgements": (
        FenceAcks,
        "fenced_at",
        lambda self, sets, revision: NEVER,
    ),
    "a fence quorum acknowledges": (_witnesses, "fence_quorum", lambda count: 1),
    "a lease extension needs a majority": (_witnesses, "extension_quorum", lambda count: 1),
    "former witnesses are fenced too": (
        WitnessProtocol,
        "former_witnesses_fenced",
        lambda self, now: True,
    ),
    "work of the former owner is waited for": (Ownership, "_max_attempt_s", lambda self, pool: 0.0),
    "a busy pool is not handed over": (Holdings, "releases", release_busy_pools_too),
}


def lapsed_without_margin(lapses: LapseDetector, member: Member, now: float) -> bool:
    known = lapses._observed.get(member.id)
    return known is not None and now >= known.unchanged_since + member.lease_s


@pytest.mark.parametrize("seed", [0, 1, 5])
def test_leases_without_local_expiry_and_witnesses_fail_under_faults_that_the_protocol_survives(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    with monkeypatch.context() as naive:
        naive.setattr(Ownership, "_valid_until", lambda self: float("inf"))
        naive.setattr(LapseDetector, "has_lapsed", lapsed_without_margin)
        naive.setattr(FenceAcks, "fenced_at", lambda self, sets, revision: NEVER)
        with pytest.raises(AssertionError, match=r"two owners|epoch of .* fell|has work"):
            run_soak(seed, steps=40)
    run_soak(seed, steps=40)


@pytest.mark.parametrize("guard", GUARDS)
def test_invariants_break_without_each_guard(guard: str, monkeypatch: pytest.MonkeyPatch) -> None:
    owner, name, replacement = GUARDS[guard]
    monkeypatch.setattr(owner, name, replacement)
    broken = []
    for seed in range(MAX_SEEDS):
        try:
            run_soak(seed, steps=40)
        except AssertionError as exc:
            broken.append(str(exc))
        if any(word in text for text in broken for word in ("two owners", "fell", "has work")):
            return
    pytest.fail(f"no invariant broke: {broken}")


class OwnershipMachine(RuleBasedStateMachine):
    """Failures in random order; each step of the simulation checks the invariants."""

    def __init__(self) -> None:
        super().__init__()
        self.sim = Simulation(seed=9, places=SMALL_FLEET, publish=config_publisher(CFG))
        self.sim.run(4.0)
        self.stopping: set[str] = set()

    @rule(seconds=st.sampled_from([0.1, 0.5, 2.0, 5.0]))
    def let_time_pass(self, seconds: float) -> None:
        self.sim.run(seconds)

    @rule(vm=st.sampled_from(sorted(SMALL_FLEET)), seconds=st.sampled_from([0.3, 2.5, 6.0]))
    def pause(self, vm: str, seconds: float) -> None:
        if vm in self.sim.daemons:
            self.sim.pause(vm, seconds)

    @rule(vm=st.sampled_from(sorted(SMALL_FLEET)))
    def kill(self, vm: str) -> None:
        self.stopping.discard(vm)
        self.sim.kill(vm)

    @rule(vm=st.sampled_from(sorted(SMALL_FLEET)))
    def start(self, vm: str) -> None:
        self.stopping.discard(vm)
        self.sim.kill(vm)
        self.sim.start(vm)

    @rule(vm=st.sampled_from(sorted(SMALL_FLEET)))
    def stop(self, vm: str) -> None:
        if vm in self.sim.daemons:
            self.stopping.add(vm)
            self.sim.stop(vm)

    @rule(one=st.sampled_from(LINK_ENDS), other=st.sampled_from(LINK_ENDS))
    def cut_link(self, one: str, other: str) -> None:
        self.sim.cut(one, other)

    @rule(one=st.sampled_from(LINK_ENDS), other=st.sampled_from(LINK_ENDS))
    def mend_link(self, one: str, other: str) -> None:
        self.sim.cut_links -= {(one, other), (other, one)}

    @rule(available=st.booleans())
    def store_available(self, available: bool) -> None:
        self.sim.store.available = available

    @rule(outcome=st.sampled_from([APPLIED, LATE, LOST, "unanswered"]))
    def write_outcome(self, outcome: str) -> None:
        self.sim.swap_outcome = lambda: outcome

    def teardown(self) -> None:
        if self.stopping >= self.sim.daemons.keys():
            # Every running daemon was asked to stop, so none may own a pool: kill them to restart.
            for vm in self.stopping:
                self.sim.kill(vm)
        FaultInjector(self.sim, self.sim.rng).recover()
        self.sim.run_until(
            lambda: all(len(self.sim.holders(pool)) == 1 for pool in MITTELLAND_POOLS), 40.0
        )


def test_pools_are_owned_again_after_all_vms_were_stopped_during_a_store_outage():
    machine = OwnershipMachine()
    machine.pause(seconds=2.5, vm="vm-3")
    machine.pause(seconds=6.0, vm="vm-3")
    machine.stop(vm="vm-2")
    machine.store_available(available=False)
    machine.pause(seconds=0.3, vm="vm-1")
    machine.stop(vm="vm-1")
    machine.pause(seconds=2.5, vm="vm-2")
    machine.pause(seconds=0.3, vm="vm-3")
    machine.stop(vm="vm-1")
    machine.stop(vm="vm-3")
    machine.pause(seconds=2.5, vm="vm-1")
    machine.store_available(available=True)
    machine.pause(seconds=2.5, vm="vm-1")
    machine.pause(seconds=2.5, vm="vm-2")
    machine.pause(seconds=6.0, vm="vm-1")
    machine.teardown()


TestOwnershipMachine = OwnershipMachine.TestCase
TestOwnershipMachine.settings = settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=12,
    stateful_step_count=20,
    phases=[Phase.generate],
)
