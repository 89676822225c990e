"""Run nodes under a steady load in the zones of the user ``amt`` and measure callers' latencies."""

from __future__ import annotations

import random
from functools import partial

import msgspec

from gooseberryport_core.config import Config, Limits, Link, Region, Service, Upstream, slots_of
from gooseberryport_core.effects import SendMessage
from gooseberryport_core.messages import Heartbeat, encode_message
from gooseberryport_core.types import (
    ConfigVersion,
    Outcome,
    RegionName,
    ServiceName,
    UpstreamId,
    ZoneName,
)
from gooseberryport_standins.simulation import SimDaemon, config_publisher
from gooseberryport_standins.traffic import MEAN_SERVICE_TIME_S, SimNode, Stream, TrafficSimulation

SERVICE = ServiceName("dressing-registry")
SAME_ZONE_DELAY_S = 0.0005
ZONE_DELAY_S = 0.005
REGION_DELAY_S = 0.012
UPSTREAMS_PER_ZONE = {
    "bern-a": 3,
    "olten-b": 3,
    "lausanne-a": 3,
    "geneve-b": 2,
    "lugano-a": 3,
    "bellinzona-b": 2,
}
VMS_PER_ZONE = {
    "bern-a": 2,
    "olten-b": 1,
    "lausanne-a": 2,
    "geneve-b": 1,
    "lugano-a": 2,
    "bellinzona-b": 1,
}
ZONES_OF_REGION = {
    "mittelland": ("bern-a", "olten-b"),
    "romandie": ("lausanne-a", "geneve-b"),
    "ticino": ("lugano-a", "bellinzona-b"),
}
REGION_OF_ZONE = {zone: region for region, zones in ZONES_OF_REGION.items() for zone in zones}
HOT_VMS = ("bern-a-0", "geneve-b-0")
HOT_FACTOR = 3.0
TIMEOUT_S = 2.0
SETTLE_S = 8.0


class Case(msgspec.Struct, frozen=True):
    """A load and a failure that the benchmark runs.

    Parameters
    ----------
    load
        Arrival rate as a fraction of the capacity of all slots.
    uneven
        Whether two daemons receive three times as many requests as each of the others.
    failure
        What fails before the measured time: a zone, a region, ``figures`` (heartbeats arrive
        without loads) or ``datagrams`` (all are lost); empty if nothing fails.
    seconds
        Duration of the measurement; seconds.
    """

    load: float
    uneven: bool = False
    failure: str = ""
    seconds: float = 60.0


class Arrival(msgspec.Struct, frozen=True):
    """The time at which a request reaches a VM; seconds."""

    at: float
    vm: str


class CaseResult(msgspec.Struct, frozen=True):
    """The result of a policy in one case.

    Parameters
    ----------
    sent, in_time
        Requests sent in the measured time, and those answered within the timeout.
    p50_s, p99_s
        Latency of the answered requests; seconds.
    over_slots
        Largest number of requests at one upstream beyond its slots.
    """

    sent: int
    in_time: int
    p50_s: float
    p99_s: float
    over_slots: int


def policy_config() -> Config:
    """Return a configuration with the zones of the user ``amt`` and one service."""
    upstreams = {
        UpstreamId(f"{zone}-{number}"): Upstream(
            SERVICE, ZoneName(zone), f"10.0.{index}.{number + 1}:80"
        )
        for index, (zone, count) in enumerate(UPSTREAMS_PER_ZONE.items())
        for number in range(count)
    }
    regions = sorted(ZONES_OF_REGION)
    links = {
        f"{a}-{b}": Link(RegionName(a), RegionName(b), 280.0, delay_ms=1000 * REGION_DELAY_S)
        for a in regions
        for b in regions
        if a != b
    }
    return Config(
        version=ConfigVersion(1),
        regions={
            RegionName(region): Region(tuple(ZoneName(zone) for zone in zones))
            for region, zones in ZONES_OF_REGION.items()
        },
        links=links,
        services={SERVICE: Service(default_timeout_s=TIMEOUT_S)},
        upstreams=upstreams,
        limits=Limits(failover_fraction=1.0, zone_delay_ms=1000 * ZONE_DELAY_S),
    )


def places() -> dict[str, tuple[str, str]]:
    """Return the zone and region of each VM."""
    return {
        f"{zone}-{number}": (zone, REGION_OF_ZONE[zone])
        for zone, count in VMS_PER_ZONE.items()
        for number in range(count)
    }


def total_slots() -> int:
    """Return the total number of slots of all upstreams."""
    cfg = policy_config()
    return sum(slots_of(cfg, name) for name in cfg.upstreams)


def one_way_s(one: str, other: str) -> float:
    """Return the one-way delay between two zones; seconds."""
    if one == other:
        return SAME_ZONE_DELAY_S
    same_region = REGION_OF_ZONE[one] == REGION_OF_ZONE[other]
    return ZONE_DELAY_S if same_region else REGION_DELAY_S


def make_arrivals(case: Case, seed: int) -> list[Arrival]:
    """Return the arrivals of a case in time order; none is at a VM in a lost zone."""
    rng = random.Random(f"{seed}/{case.load}/{case.uneven}")
    weights = {vm: HOT_FACTOR if case.uneven and vm in HOT_VMS else 1.0 for vm in places()}
    lost = lost_zones(case.failure)
    weights = {vm: w for vm, w in weights.items() if places()[vm][0] not in lost}
    rate = case.load * total_slots() / MEAN_SERVICE_TIME_S
    arrivals: list[Arrival] = []
    at = 0.0
    while at < case.seconds:
        at += rng.expovariate(rate)
        arrivals.append(Arrival(at, rng.choices(list(weights), list(weights.values()))[0]))
    return arrivals


def lost_zones(failure: str) -> tuple[str, ...]:
    """Return the zones that are lost in a failure."""
    return ZONES_OF_REGION.get(failure, (failure,) if failure in REGION_OF_ZONE else ())


class PolicySimulation(TrafficSimulation):
    """Complete nodes with the delays between zones, the same for datagrams as for streams."""

    drops_loads = False

    def _stream_delay_s(self, stream: Stream) -> float:
        return one_way_s(stream.source.settings.zone, stream.target.settings.zone)

    def check(self) -> None:
        """Skip the ownership checks, which the soaks make; slots are checked at each arrival."""

    def _send(self, daemon: SimDaemon, effect: SendMessage) -> None:
        if self.rng.random() < self.loss or effect.address not in self.places:
            return
        source = daemon.settings.address
        message = effect.message
        if isinstance(message, Heartbeat) and self.drops_loads:
            message = msgspec.structs.replace(message, pools=())
        data = encode_message(message)
        delay = one_way_s(self.places[source][0], self.places[effect.address][0])
        self.at(delay, lambda: self._deliver(source, effect.address, data))


def run_nodes(case: Case, seed: int) -> CaseResult:
    """Run a case with complete nodes and return its result."""
    cfg = policy_config()
    sim = PolicySimulation(
        cfg=cfg,
        seed=seed,
        places=places(),
        publish=config_publisher(cfg),
        upstream_fault_fraction=0.0,
        upstream_delay_s=SAME_ZONE_DELAY_S,
    )
    sim.loss = 0.0
    sim.run(SETTLE_S)
    _apply_failure(sim, case)
    for arrival in make_arrivals(case, seed):
        sim.at(arrival.at, partial(_send, sim, arrival.vm))
    sim.run(case.seconds + TIMEOUT_S + 1.0)
    latencies = [
        sim.latencies_s[name]
        for name, end in sim.finished_requests.items()
        if end.outcome == Outcome.ANSWERED
    ]
    over = max(sim.peak_running[name] - slots_of(cfg, name) for name in cfg.upstreams)
    return summarize(len(sim.callers), latencies, max(0, over))


def summarize(sent: int, latencies: list[float], over_slots: int) -> CaseResult:
    """Return the result of a run from the latencies of its answers; seconds."""
    ordered = sorted(latencies)
    in_time = sum(1 for latency in ordered if latency <= TIMEOUT_S)
    p50 = ordered[len(ordered) // 2]
    p99 = ordered[len(ordered) * 99 // 100]
    return CaseResult(sent, in_time, p50, p99, over_slots)


def _send(sim: PolicySimulation, vm: str) -> None:
    if isinstance(sim.daemons.get(vm), SimNode):
        sim.send_request(vm, SERVICE)


def _apply_failure(sim: PolicySimulation, case: Case) -> None:
    for zone in lost_zones(case.failure):
        sim.lose_zone(zone)
    sim.drops_loads = case.failure == "figures"
    if case.failure == "datagrams":
        sim.loss = 1.0
    if case.failure:
        sim.run(SETTLE_S)
