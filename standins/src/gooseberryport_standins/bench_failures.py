"""What callers see of each failure: whole nodes under one user's load in a simulated fleet.

``python -m gooseberryport_standins.bench_failures --seed 1 --user amt`` prints a row for each
scenario. Service times are exponential with a mean of 100 ms; delays are the user's.
"""

from __future__ import annotations

import argparse
import math
from collections.abc import Callable
from typing import NamedTuple

import msgspec

from gooseberryport_core._invariants import raise_on_violation
from gooseberryport_core.config import Config, slots_of
from gooseberryport_core.types import Outcome
from gooseberryport_standins.deployment import read_deployment
from gooseberryport_standins.simulation import config_publisher
from gooseberryport_standins.traffic import MEAN_SERVICE_TIME_S, SimNode, TrafficSimulation
from gooseberryport_standins.traffic_soak import SteadyLoad

WARM_UP_S = 8.0
FAILURE_S = 12.0
RECOVERY_S = 8.0
IN_TIME_S = 2.0
LOAD = 0.6


class User(msgspec.Struct, frozen=True):
    """One user's entry VMs and delays.

    Parameters
    ----------
    folder
        Its example folder.
    vms
        Entry VMs of each zone.
    zone_delay_s, region_delay_s
        One-way delays; seconds.
    """

    folder: str
    vms: dict[str, int]
    zone_delay_s: float
    region_delay_s: float


USERS = {
    "amt": User(
        "amt",
        {
            "bern-a": 2,
            "olten-b": 1,
            "lausanne-a": 2,
            "geneve-b": 1,
            "lugano-a": 2,
            "bellinzona-b": 1,
        },
        0.005,
        0.012,
    ),
    "blue-mahoe": User(
        "blue-mahoe",
        {"kgn-a": 2, "kgn-b": 1, "mbj-a": 2, "mbj-b": 1, "mdv-a": 1, "mdv-b": 1},
        0.004,
        0.020,
    ),
}


class Row(NamedTuple):
    """One scenario's figures; the failure's part only, but for `drops_after`.

    `recovered_s` is the end of the last second with a caller that got no answer, from the start
    of the failure.
    """

    scenario: str
    sent: int
    answered: int
    in_time: int
    not_run: int
    unknown: int
    p50_ms: float
    p99_ms: float
    recovered_s: float
    peak_over_slots: int


def places_of(user: User, cfg: Config) -> dict[str, tuple[str, str]]:
    """Return zone and region of each entry VM, by name."""
    places: dict[str, tuple[str, str]] = {}
    for region, part in cfg.regions.items():
        for zone in part.availability_zones:
            for number in range(user.vms[zone]):
                places[f"{zone}-{number}"] = (zone, region)
    return places


def kill_one(sim: TrafficSimulation) -> None:
    """Kill one daemon."""
    sim.kill(sorted(sim.daemons)[0])


def pause_one(sim: TrafficSimulation) -> None:
    """Pause one daemon for longer than its lease."""
    sim.pause(sorted(sim.daemons)[0], 6.0)


def lose_zone(sim: TrafficSimulation) -> None:
    """Lose a zone with its daemons and upstreams."""
    sim.lose_zone(sorted(zone for zone, _ in sim.places.values())[0])


def lose_region(sim: TrafficSimulation) -> None:
    """Lose all zones of a region."""
    region = sorted(region for _, region in sim.places.values())[0]
    for zone in sorted({zone for zone, name in sim.places.values() if name == region}):
        sim.lose_zone(zone)


def stop_store(sim: TrafficSimulation) -> None:
    """Take the store away."""
    sim.store.available = False


def stop_store_and_kill(sim: TrafficSimulation) -> None:
    """Take the store away and kill a daemon two seconds later."""
    stop_store(sim)
    sim.at(2.0, lambda: kill_one(sim))


def stop_heartbeats(sim: TrafficSimulation) -> None:
    """Lose every datagram while streams go on."""
    sim.loss = 1.0


def do_nothing(sim: TrafficSimulation) -> None:
    """Leave the fleet alone."""


def stop_one(sim: TrafficSimulation) -> None:
    """Ask one daemon for a planned stop."""
    vm = sorted(sim.daemons)[0]
    daemon = sim.daemons[vm]
    assert isinstance(daemon, SimNode)
    sim.stop(vm)
    end_when_done(sim, daemon)


def end_when_done(sim: TrafficSimulation, daemon: SimNode) -> None:
    """End a daemon's process once it has said that it may."""
    if daemon.exited:
        sim.kill(daemon.settings.vm)
    else:
        sim.at(0.1, lambda: end_when_done(sim, daemon))


SCENARIOS: dict[str, Callable[[TrafficSimulation], None]] = {
    "quiet": do_nothing,
    "planned stop of a VM": stop_one,
    "VM killed": kill_one,
    "VM paused 6 s": pause_one,
    "zone lost": lose_zone,
    "region lost": lose_region,
    "store down": stop_store,
    "store down, VM killed": stop_store_and_kill,
    "heartbeats lost": stop_heartbeats,
}


def run_scenario(user: User, scenario: str, seed: int) -> Row:
    """Run one scenario and return its figures."""
    cfg = read_deployment(user.folder).cfg
    cfg = msgspec.structs.replace(cfg, drains={}, shifts={})
    sim = TrafficSimulation(
        cfg=cfg,
        seed=seed,
        places=places_of(user, cfg),
        publish=config_publisher(cfg),
        upstream_fault_fraction=0.0,
        zone_delay_s=user.zone_delay_s,
        region_delay_s=user.region_delay_s,
    )
    slots = sum(slots_of(cfg, name) for name in cfg.upstreams)
    with raise_on_violation():
        sim.run(WARM_UP_S)
        callers = SteadyLoad(sim, rate=LOAD * slots / MEAN_SERVICE_TIME_S, clients=200)
        sim.run(WARM_UP_S)
        started = sim.now
        SCENARIOS[scenario](sim)
        sim.run(FAILURE_S)
        callers.stop()
        sim.run(RECOVERY_S)
        sim.check_outcomes()
    return _row(sim, scenario, started)


def _row(sim: TrafficSimulation, scenario: str, started: float) -> Row:
    sent = [r for r, caller in sim.callers.items() if caller.sent_at >= started]
    ended = {r: sim.finished_requests[r] for r in sent if r in sim.finished_requests}
    words = [end.outcome for end in ended.values()]
    served = [r for r, end in ended.items() if end.outcome == Outcome.ANSWERED]
    latencies = sorted(sim.latencies_s[r] for r in served)
    failed_at = [sim.callers[r].sent_at for r in sent if r not in served]
    recovered = math.ceil(max(failed_at) - started) if failed_at else 0
    over = max(sim.peak_running[name] - slots_of(sim.cfg, name) for name in sim.cfg.upstreams)
    return Row(
        scenario,
        len(sent),
        len(served),
        sum(1 for latency in latencies if latency <= IN_TIME_S),
        words.count(Outcome.NOT_RUN),
        len(sent) - len(served) - words.count(Outcome.NOT_RUN),
        1000 * latencies[len(latencies) // 2],
        1000 * latencies[len(latencies) * 99 // 100],
        recovered,
        max(over, 0),
    )


def main() -> None:
    """Print a row for each scenario."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--user", choices=sorted(USERS), default="amt")
    parser.add_argument("--scenario", choices=sorted(SCENARIOS), default="")
    args = parser.parse_args()
    print("| scenario | sent | answered | in time | not-run | unknown | p50 ms | p99 ms |", end="")
    print(" last failure s | over slots |\n|" + "---|" * 10)
    for scenario in [args.scenario] if args.scenario else SCENARIOS:
        row = run_scenario(USERS[args.user], scenario, args.seed)
        share = 100 * row.in_time / row.sent
        print(
            f"| {row.scenario} | {row.sent} | {row.answered} | {share:.2f}% | {row.not_run} |"
            f" {row.unknown} | {row.p50_ms:.0f} | {row.p99_ms:.0f} | {row.recovered_s:.0f} |"
            f" {row.peak_over_slots} |",
            flush=True,
        )


if __name__ == "__main__":
    main()
