"""Long randomised runs of whole nodes under callers' requests and every failure.

``python -m gooseberryport_standins.traffic_soak --seed 7 --steps 200`` fails with a traceback as
soon as an invariant does not hold. It prints what it checked.
"""

from __future__ import annotations

import argparse
import random
from collections import Counter

from gooseberryport_core._invariants import raise_on_violation
from gooseberryport_core.config import slots_of
from gooseberryport_core.types import Outcome
from gooseberryport_standins.simulation import config_publisher
from gooseberryport_standins.soak import PLACES, FaultInjector, example_config
from gooseberryport_standins.traffic import SimNode, TrafficSimulation

STEPS = 100
REQUESTS_A_STEP = 25
RECOVERY_S = 30.0
SETTLE_S = 10.0


class Callers:
    """Send requests, and copies of requests, to whichever VMs run.

    Parameters
    ----------
    sim
        The simulation.
    rng
        Source of the choices.
    """

    def __init__(self, sim: TrafficSimulation, rng: random.Random) -> None:
        self.sim = sim
        self.rng = rng
        self.keys: list[str] = []

    def send(self, count: int, within_s: float) -> None:
        """Send requests at random moments of the time that comes."""
        for _ in range(count):
            self.sim.at(self.rng.uniform(0.0, within_s), self._send_one)

    def _send_one(self) -> None:
        vm = self.rng.choice(sorted(self.sim.daemons))
        service = self.rng.choice(sorted(self.sim.cfg.services))
        if self.rng.random() < 0.5:
            self.sim.send_request(vm, service)
            return
        self.sim.send_request(vm, service, method="POST", key=self._key())

    def _key(self) -> str:
        """Return no key, a new issued key, a new key of the caller's own, or one used before."""
        kind = self.rng.choice(("none", "issued", "own", "copy", "copy"))
        if kind == "none":
            return ""
        if kind == "copy" and self.keys:
            return self.rng.choice(self.keys[-5:])
        word = f"k{len(self.keys)}"
        if kind == "issued":
            daemon = self.sim.daemons[self.rng.choice(sorted(self.sim.daemons))]
            assert isinstance(daemon, SimNode)
            local_time = daemon.local_time(self.sim.now)
            word = daemon.node._claims.key_prefix(local_time) + word
        self.keys.append(word)
        return word


class SteadyLoad:
    """Send requests at a steady rate, each to a VM that a cached look-up names first.

    Services get their part of the rate by their slots.

    Parameters
    ----------
    sim
        The simulation.
    rate
        Requests a second.
    clients
        Number of clients; each keeps its answer for as long as the look-up allows.
    """

    def __init__(self, sim: TrafficSimulation, *, rate: float, clients: int = 20) -> None:
        self.sim = sim
        self.rate = rate
        self.clients = clients
        self.running = True
        self.sent: list[str] = []
        self._cached: dict[int, tuple[float, tuple[str, ...]]] = {}
        slots = Counter[str]()
        for name, upstream in sim.cfg.upstreams.items():
            slots[upstream.service] += slots_of(sim.cfg, name)
        self._services = sorted(slots)
        self._weights = [slots[service] for service in self._services]
        self._send()

    def stop(self) -> None:
        """Send no more."""
        self.running = False

    def _send(self) -> None:
        if not self.running:
            return
        rng = self.sim.rng
        vm = self._entry(rng.randrange(self.clients))
        (service,) = rng.choices(self._services, self._weights)
        self.sent.append(self.sim.send_request(vm, service, method=rng.choice(("GET", "POST"))))
        self.sim.at(rng.expovariate(self.rate), self._send)

    def _entry(self, client: int) -> str:
        """Return the VM that a client uses, asking again once its cached answer has ended."""
        until, vms = self._cached.get(client, (0.0, ()))
        if self.sim.now >= until or not self._running(vms):
            daemon = self.sim.daemons[self.sim.rng.choice(sorted(self.sim.daemons))]
            assert isinstance(daemon, SimNode)
            snapshot = daemon.node.lookup_snapshot(daemon.local_time(self.sim.now))
            until = self.sim.now + snapshot.max_age_s
            vms = tuple(entry.vm for entry in snapshot.rank("", f"10.0.{client}.1"))
            self._cached[client] = (until, vms)
        return (self._running(vms) or sorted(self.sim.daemons))[0]

    def _running(self, vms: tuple[str, ...]) -> list[str]:
        """Return the VMs whose daemon takes connections."""
        return [vm for vm in vms if vm in self.sim.daemons]


def run_traffic_soak(seed: int, steps: int) -> TrafficSimulation:
    """Break a serving fleet at random, then check every word that callers were told."""
    cfg = example_config()
    sim = TrafficSimulation(cfg=cfg, seed=seed, places=PLACES, publish=config_publisher(cfg))
    faults = FaultInjector(sim, random.Random(seed))
    callers = Callers(sim, random.Random(seed))
    with raise_on_violation():
        sim.run(SETTLE_S)
        for _ in range(steps):
            callers.send(REQUESTS_A_STEP, 2.0)
            faults.step()
        faults.recover()
        sim.run(RECOVERY_S)
        callers.send(REQUESTS_A_STEP, 1.0)
        sim.run(SETTLE_S)
        sim.check_outcomes()
    return sim


def summary(sim: TrafficSimulation) -> str:
    """Return one line that tells what a run checked."""
    words = Counter(end.outcome for end in sim.finished_requests.values())
    told = ", ".join(f"{word.value} {words[word]}" for word in Outcome)
    reasons = Counter(end.reason.value for end in sim.finished_requests.values() if end.reason)
    return (
        f"{sim.now:.0f} s simulated, {len(sim.callers)} requests: {told}; "
        f"{sum(sim.run_counts.values())} runs, most at one upstream "
        f"{max(sim.peak_running.values(), default=0)}; "
        f"reasons {dict(reasons.most_common())}"
    )


def main() -> None:
    """Run the soak that the command line asks for."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--steps", type=int, default=STEPS)
    args = parser.parse_args()
    print(f"seed {args.seed}: {summary(run_traffic_soak(args.seed, args.steps))}")


if __name__ == "__main__":
    main()
