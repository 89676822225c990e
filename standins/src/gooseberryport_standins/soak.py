"""Long randomised runs of ownership, membership and configuration with injected failures.

``python -m gooseberryport_standins.soak --seed 7 --steps 200`` injects random failures into a
simulated fleet and fails with a traceback as soon as an invariant does not hold. It prints a
summary of what it checked.
"""

from __future__ import annotations

import argparse
import random
from collections import Counter
from collections.abc import Callable

import msgspec

from gooseberryport_core.config import Config, pools_of
from gooseberryport_standins.simulation import (
    APPLIED,
    LATE,
    LOST,
    STORE,
    Simulation,
    config_publisher,
    owners,
    publish_files,
)

PLACES = {
    "vm-1": ("bern-a", "mittelland"),
    "vm-2": ("olten-b", "mittelland"),
    "vm-3": ("bern-a", "mittelland"),
    "vm-4": ("lausanne-a", "romandie"),
    "vm-5": ("geneve-b", "romandie"),
    "vm-6": ("lugano-a", "ticino"),
}
ONE_LARGE_REGION = {
    "vm-1": ("bern-a", "mittelland"),
    "vm-2": ("olten-b", "mittelland"),
    "vm-3": ("bern-a", "mittelland"),
    "vm-4": ("olten-b", "mittelland"),
    "vm-5": ("bern-a", "mittelland"),
    "vm-6": ("lausanne-a", "romandie"),
    "vm-7": ("geneve-b", "romandie"),
    "vm-8": ("geneve-b", "romandie"),
    "vm-9": ("lugano-a", "ticino"),
}
LAYOUTS = (PLACES, ONE_LARGE_REGION)
ZONES = {
    "mittelland": ("bern-a", "olten-b"),
    "romandie": ("lausanne-a", "geneve-b"),
    "ticino": ("lugano-a",),
}
RECOVERY_TIMEOUT_S = 30.0
FIRST_PORT = 9_000
STEPS = 200


def example_config(version: int = 1) -> Config:
    """Return a small configuration with two services in every zone."""
    zones = [zone for names in ZONES.values() for zone in names]
    services = ("dressing-registry", "truing-archive-svc")
    names = [(s, z, n) for s in services for z in zones for n in range(2)]
    fields = {
        "version": version,
        "regions": {name: {"availability_zones": members} for name, members in ZONES.items()},
        "services": {name: {} for name in services},
        "upstreams": {
            f"{service}-{zone}-{number}": {
                "service": service,
                "availability_zone": zone,
                "address": f"127.0.0.1:{FIRST_PORT + position}",
            }
            for position, (service, zone, number) in enumerate(names)
        },
    }
    return msgspec.convert(fields, Config)


class FaultInjector:
    """Inject random failures into a simulation and repair them again.

    Parameters
    ----------
    sim
        The simulation.
    rng
        Random source of the choices.
    """

    def __init__(self, sim: Simulation, rng: random.Random) -> None:
        self.sim = sim
        self.rng = rng
        self.counts: Counter[str] = Counter()
        self._actions: tuple[Callable[[], None], ...] = (
            self.kill,
            self.restart,
            self.pause,
            self.cut,
            self.cut_one_way,
            self.cut_store,
            self.partition,
            self.partition,
            self.publish,
            self.recover,
            self.heal,
            self.store_down,
            self.store_up,
            self.stop,
            self.lossy_writes,
            self.sound_writes,
        )

    def step(self) -> None:
        """Inject or repair one failure at random, then run for up to 6 seconds."""
        action = self.rng.choice(self._actions)
        self.counts[action.__name__] += 1
        action()
        self.sim.run(self.rng.choice((0.05, 0.3, 1.0, 2.5, 6.0)) * self.rng.random())

    def recover(self) -> None:
        """Repair every failure and start the daemons that are not running."""
        self.heal()
        self.store_up()
        self.sound_writes()
        for vm in self.sim.places:
            if vm not in self.sim.daemons:
                self.sim.start(vm)

    def kill(self) -> None:
        """End a daemon at once."""
        if len(self.sim.daemons) > 2:
            self.sim.kill(self._any_vm())

    def restart(self) -> None:
        """Start a daemon that is not running, or replace one by a new incarnation."""
        vm = self.rng.choice(sorted(self.sim.places))
        self.sim.kill(vm)
        self.sim.start(vm)

    def pause(self) -> None:
        """Suspend a daemon's process for up to 8 seconds."""
        self.sim.pause(self._any_vm(), self.rng.uniform(0.1, 8.0))

    def cut(self) -> None:
        """Block traffic in both directions between two VMs."""
        one, other = self.rng.sample(sorted(self.sim.places), 2)
        self.sim.cut(one, other)

    def cut_one_way(self) -> None:
        """Block traffic from one VM to another but not back."""
        source, target = self.rng.sample(sorted(self.sim.places), 2)
        self.sim.cut_one_way(source, target)

    def partition(self) -> None:
        """Split the VMs and the store into two groups at random and run for 2 to 8 seconds."""
        names = [*sorted(self.sim.places), STORE]
        in_first_group = {name: self.rng.random() < 0.5 for name in names}
        for one in names:
            for other in names:
                if in_first_group[one] != in_first_group[other]:
                    self.sim.cut_one_way(one, other)
        self.sim.run(self.rng.uniform(2.0, 8.0))

    def publish(self) -> None:
        """Publish a configuration with another lease duration."""
        limits = {"limits": {"lease_s": self.rng.choice((1.5, 2.0, 3.0))}}
        publish_files(self.sim.store, {"limits.json": msgspec.json.encode(limits)})

    def cut_store(self) -> None:
        """Block traffic between a VM and the store."""
        self.sim.cut(self._any_vm(), STORE)

    def heal(self) -> None:
        """Restore every blocked link."""
        self.sim.cut_links.clear()

    def store_down(self) -> None:
        """Make the store unavailable."""
        self.sim.store.available = False

    def store_up(self) -> None:
        """Make the store available again."""
        self.sim.store.available = True

    def stop(self) -> None:
        """Request a planned stop of a daemon and restart it 1 to 20 seconds later."""
        vm = self._any_vm()
        daemon = self.sim.daemons[vm]
        self.sim.stop(vm)
        self.sim.at(self.rng.uniform(1.0, 20.0), lambda: self._restart_if_same(vm, daemon))

    def lossy_writes(self) -> None:
        """Let writes fail without an answer at random: applied at once, applied late or lost."""
        outcomes = (APPLIED, "unanswered", LATE, LOST)
        self.sim.swap_outcome = lambda: self.rng.choice(outcomes)

    def sound_writes(self) -> None:
        """Apply and answer every write."""
        self.sim.swap_outcome = lambda: APPLIED

    def _any_vm(self) -> str:
        return self.rng.choice(sorted(self.sim.daemons))

    def _restart_if_same(self, vm: str, daemon: object) -> None:
        if self.sim.daemons.get(vm) is daemon:
            self.sim.kill(vm)
            self.sim.start(vm)


def run_soak(seed: int, steps: int) -> Simulation:
    """Inject random failures into a fleet, then check that it recovers.

    Raises AssertionError if an invariant is violated or the fleet does not recover in time.
    """
    cfg = example_config()
    places = LAYOUTS[seed % len(LAYOUTS)]
    sim = Simulation(seed=seed, places=places, publish=config_publisher(cfg))
    faults = FaultInjector(sim, random.Random(seed))
    for _ in range(steps):
        faults.step()
    faults.recover()
    pools = sorted(pools_of(cfg))
    sim.run_until(
        lambda: all(len(vms) == 1 for vms in owners(sim, pools).values()), RECOVERY_TIMEOUT_S
    )
    faults_seen = ", ".join(f"{name} {count}" for name, count in sorted(faults.counts.items()))
    print(
        f"seed {seed}: {steps} steps, {sim.now:.0f} s simulated, {sim.check_count} checks, "
        f"{len(sim.epochs)} pools, highest epoch {max(sim.epochs.values())}; {faults_seen}"
    )
    return sim


def main() -> None:
    """Run the soak with the options of the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--steps", type=int, default=STEPS)
    args = parser.parse_args()
    run_soak(args.seed, args.steps)


if __name__ == "__main__":
    main()
