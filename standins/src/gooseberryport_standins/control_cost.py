"""Measure the control plane's bytes, store calls and processor time by the size of the fleet.

``python -m gooseberryport_standins.control_cost --seed 1`` runs idle simulated fleets with
the daemon's own components and prints one line per size. The cost of sockets is not included.
"""

from __future__ import annotations

import argparse
import time
from collections import Counter

from gooseberryport_core.effects import Effect, SendMessage
from gooseberryport_core.events import Event
from gooseberryport_core.messages import encode_message
from gooseberryport_standins.simulation import (
    DATAGRAM_HEADER_BYTES,
    SimDaemon,
    Simulation,
    config_publisher,
)
from gooseberryport_standins.soak import ZONES, example_config

SIZES = (3, 6, 9, 18, 36)
WARM_UP_S = 5.0
MEASURED_S = 20.0


class MeasuringSimulation(Simulation):
    """A simulation that measures processor time and sent bytes and checks no invariants."""

    busy_s: float
    bytes_by_kind: Counter[str]

    def reset(self) -> None:
        """Reset the measurements."""
        self.busy_s = 0.0
        self.bytes_by_kind = Counter()

    def check(self) -> None:
        """Skip the checks, which would add to the measured processor time."""

    def _feed(self, daemon: SimDaemon, event: Event) -> None:
        started = time.process_time()
        super()._feed(daemon, event)
        self.busy_s += time.process_time() - started

    def _execute_effect(self, daemon: SimDaemon, effect: Effect) -> None:
        if isinstance(effect, SendMessage):
            kind = type(effect.message).__name__
            size = len(encode_message(effect.message)) + DATAGRAM_HEADER_BYTES
            self.bytes_by_kind[kind] += size
        super()._execute_effect(daemon, effect)


def places_of(size: int) -> dict[str, tuple[str, str]]:
    """Return the zone and region of daemon_s of `size` VMs, assigned to the zones in turn."""
    zones = [(zone, region) for region, names in ZONES.items() for zone in names]
    return {f"vm-{number:03d}": zones[number % len(zones)] for number in range(size)}


def measure(size: int, seed: int) -> str:
    """Run an idle fleet and return a line with the cost per daemon and second."""
    publisher = config_publisher(example_config())
    sim = MeasuringSimulation(seed=seed, places=places_of(size), publish=publisher, loss=0.0)
    sim.reset()
    sim.run(WARM_UP_S)
    sim.reset()
    calls = sim.store.calls
    sim.run(MEASURED_S)
    daemon_s = size * MEASURED_S
    kinds = ", ".join(
        f"{kind} {count / daemon_s:.0f}" for kind, count in sorted(sim.bytes_by_kind.items())
    )
    return (
        f"{size} daemons: {sum(sim.bytes_by_kind.values()) / daemon_s:.0f} B/s sent ({kinds}), "
        f"{(sim.store.calls - calls) / MEASURED_S:.1f} store calls/s for the fleet, "
        f"{sim.busy_s / daemon_s * 100:.2f}% of a core"
    )


def main() -> None:
    """Print the cost for every size of the fleet."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    for size in SIZES:
        print(measure(size, args.seed), flush=True)


if __name__ == "__main__":
    main()
