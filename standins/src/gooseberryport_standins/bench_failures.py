"""Measure the effect of failures on callers: complete nodes under load in a simulated fleet.

``python -m gooseberryport_standins.bench_failures --seed 1 --user amt`` prints a row for each
scenario. Service times are exponential with a mean of 100 ms; network delays are those of the user.
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
FAILURE_DURATION_S = 12.0
RECOVERY_DURATION_S = 8.0
MAX_IN_TIME_LATENCY_S = 2.0
LOAD = 0.6


class User(msgspec.Struct, frozen=True):
    """The entry VMs and network delays of an example user.

    Parameters
    ----------
    folder
        Name of its example folder.
    vms
        Number of entry VMs of each zone.
    zone_delay_s, region_delay_s
        One-way delays of streams within a region and between regions; seconds.
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


class ScenarioResult(NamedTuple):
    """The results of one scenario for the requests that were sent after the failure began.

    `recovered_s` is the time from the start of the failure to the end of the last second in which
    a request was sent that was not answered; 0 if all were answered. `peak_over_slots` counts from
    the start of the run.
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
    """Return the zone and region of each entry VM, by name."""
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
    """Fail a zone with its daemons and upstreams."""
    sim.lose_zone(sorted(zone for zone, _ in sim.places.values())[0])


def lose_region(sim: TrafficSimulation) -> None:
    """Fail all zones of a region."""
    region = sorted(region for _, region in sim.places.values())[0]
    for zone in sorted({zone for zone, name in sim.places.values() if name == region}):
        sim.lose_zone(zone)


def stop_store(sim: TrafficSimulation) -> None:
    """Make the store unavailable."""
    sim.store.available = False


def stop_store_and_kill(sim: TrafficSimulation) -> None:
    """Make the store unavailable and kill a daemon two seconds later."""
    stop_store(sim)
    sim.at(2.0, lambda: kill_one(sim))


def stop_heartbeats(sim: TrafficSimulation) -> None:
    """Lose every datagram; streams go on."""
    sim.loss = 1.0


def do_nothing(sim: TrafficSimulation) -> None:
    """Inject no failure."""


def stop_one(sim: TrafficSimulation) -> None:
    """Request a planned stop of one daemon and end it when it has finished."""
    vm = sorted(sim.daemons)[0]
    daemon = sim.daemons[vm]
    assert isinstance(daemon, SimNode)
    sim.stop(vm)
    kill_when_stopped(sim, daemon)


def kill_when_stopped(sim: TrafficSimulation, daemon: SimNode) -> None:
    """End a daemon as soon as its planned stop is complete."""
    if daemon.exited:
        sim.kill(daemon.settings.vm)
    else:
        sim.at(0.1, lambda: kill_when_stopped(sim, daemon))


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


def run_scenario(user: User, scenario: str, seed: int) -> ScenarioResult:
    """Run one scenario and return its results."""
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
        load = SteadyLoad(sim, rate=LOAD * slots / MEAN_SERVICE_TIME_S, clients=200)
        sim.run(WARM_UP_S)
        started = sim.now
        SCENARIOS[scenario](sim)
        sim.run(FAILURE_DURATION_S)
        load.stop()
        sim.run(RECOVERY_DURATION_S)
        sim.check_outcomes()
    return _result_of(sim, scenario, started)


def _result_of(sim: TrafficSimulation, scenario: str, started: float) -> ScenarioResult:
    sent = [r for r, caller in sim.callers.items() if caller.sent_at >= started]
    ended = {r: sim.finished_requests[r] for r in sent if r in sim.finished_requests}
    outcomes = [end.outcome for end in ended.values()]
    served = [r for r, end in ended.items() if end.outcome == Outcome.ANSWERED]
    latencies = sorted(sim.latencies_s[r] for r in served)
    failed_at = [sim.callers[r].sent_at for r in sent if r not in served]
    recovered = math.ceil(max(failed_at) - started) if failed_at else 0
    over = max(sim.peak_running[name] - slots_of(sim.cfg, name) for name in sim.cfg.upstreams)
    return ScenarioResult(
        scenario,
        len(sent),
        len(served),
        sum(1 for latency in latencies if latency <= MAX_IN_TIME_LATENCY_S),
        outcomes.count(Outcome.NOT_RUN),
        len(sent) - len(served) - outcomes.count(Outcome.NOT_RUN),
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
        percent = 100 * row.in_time / row.sent
        print(
            f"| {row.scenario} | {row.sent} | {row.answered} | {percent:.2f}% | {row.not_run} |"
            f" {row.unknown} | {row.p50_ms:.0f} | {row.p99_ms:.0f} | {row.recovered_s:.0f} |"
            f" {row.peak_over_slots} |",
            flush=True,
        )


if __name__ == "__main__":
    main()
