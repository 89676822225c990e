"""Long randomised runs of complete nodes under callers' requests with injected failures.

``python -m gooseberryport_standins.traffic_soak --seed 7 --steps 200`` fails with a traceback as
soon as an invariant does not hold. It prints a summary of what it checked.
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
REQUESTS_PER_STEP = 25
RECOVERY_S = 30.0
SETTLE_S = 10.0


class RandomLoad:
    """Send requests, and repeated requests, to random running VMs.

    Parameters
    ----------
    sim
        The simulation.
    rng
        Random source of the choices.
    """

    def __init__(self, sim: TrafficSimulation, rng: random.Random) -> None:
        self.sim = sim
        self.rng = rng
        self.keys: list[str] = []

    def send(self, count: int, within_s: float) -> None:
        """Send requests at random moments within the next `within_s` seconds."""
        for _ in range(count):
            self.sim.at(self.rng.uniform(0.0, within_s), self._send_one)

    def _send_one(self) -> None:
        vm = self.rng.choice(sorted(self.sim.daemons))
        service = self.rng.choice(sorted(self.sim.cfg.services))
        if self.rng.random() < 0.5:
            self.sim.send_request(vm, service)
            return
        self.sim.send_request(vm, service, method="POST", key=self._choose_key())

    def _choose_key(self) -> str:
        """Return an idempotency key at random.

        It is empty, new with a prefix that a daemon issued, new without a prefix, or one of the
        last five keys.
        """
        kind = self.rng.choice(("none", "issued", "own", "copy", "copy"))
        if kind == "none":
            return ""
        if kind == "copy" and self.keys:
            return self.rng.choice(self.keys[-5:])
        key = f"k{len(self.keys)}"
        if kind == "issued":
            daemon = self.sim.daemons[self.rng.choice(sorted(self.sim.daemons))]
            assert isinstance(daemon, SimNode)
            local_time = daemon.local_time(self.sim.now)
            key = daemon.node._claims.key_prefix(local_time) + key
        self.keys.append(key)
        return key


class SteadyLoad:
    """Send requests at a steady rate, each to the first running VM of a cached look-up.

    Each service receives a part of the rate in proportion to its slots.

    Parameters
    ----------
    sim
        The simulation.
    rate
        Requests per second.
    clients
        Number of clients; each caches its look-up for the maximum age that the look-up states.
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
        """Send no further requests."""
        self.running = False

    def _send(self) -> None:
        if not self.running:
            return
        rng = self.sim.rng
        vm = self._choose_vm(rng.randrange(self.clients))
        (service,) = rng.choices(self._services, self._weights)
        self.sent.append(self.sim.send_request(vm, service, method=rng.choice(("GET", "POST"))))
        self.sim.at(rng.expovariate(self.rate), self._send)

    def _choose_vm(self, client: int) -> str:
        """Return the VM that a client uses, with a new look-up if the cached one has expired."""
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
        """Return those of the VMs whose daemon is running."""
        return [vm for vm in vms if vm in self.sim.daemons]


def run_traffic_soak(seed: int, steps: int) -> TrafficSimulation:
    """Inject random failures into a serving fleet, then check every outcome of its requests."""
    cfg = example_config()
    sim = TrafficSimulation(cfg=cfg, seed=seed, places=PLACES, publish=config_publisher(cfg))
    faults = FaultInjector(sim, random.Random(seed))
    load = RandomLoad(sim, random.Random(seed))
    with raise_on_violation():
        sim.run(SETTLE_S)
        for _ in range(steps):
            load.send(REQUESTS_PER_STEP, 2.0)
            faults.step()
        faults.recover()
        sim.run(RECOVERY_S)
        load.send(REQUESTS_PER_STEP, 1.0)
        sim.run(SETTLE_S)
        sim.check_outcomes()
    return sim


def summary(sim: TrafficSimulation) -> str:
    """Return a one-line summary of what a run checked."""
    outcomes = Counter(end.outcome for end in sim.finished_requests.values())
    counts = ", ".join(f"{outcome.value} {outcomes[outcome]}" for outcome in Outcome)
    reasons = Counter(end.reason.value for end in sim.finished_requests.values() if end.reason)
    return (
        f"{sim.now:.0f} s simulated, {len(sim.callers)} requests: {counts}; "
        f"{sum(sim.run_counts.values())} runs, most at one upstream "
        f"{max(sim.peak_running.values(), default=0)}; "
        f"reasons {dict(reasons.most_common())}"
    )


def main() -> None:
    """Run the soak with the options of the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--steps", type=int, default=STEPS)
    args = parser.parse_args()
    print(f"seed {args.seed}: {summary(run_traffic_soak(args.seed, args.steps))}")


if __name__ == "__main__":
    main()
