"""``make demo``: a small deployment that is steered through a drain and a crash, and checked."""

from __future__ import annotations

import signal
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Annotated

import cappa
import msgspec

from gooseberryport_cli.daemon_client import with_total_link_usage
from gooseberryport_core.config import Config
from gooseberryport_core.status import StatusPage
from gooseberryport_standins._drain_watch import DrainTimes, DrainWatch
from gooseberryport_standins._running_deployment import (
    CommandFailedError,
    RunningDeployment,
    running_deployment,
)
from gooseberryport_standins.caller import (
    CallResult,
    KeyKind,
    LoadPlan,
    LoadSummary,
    Traffic,
    run_load,
    summarise,
)
from gooseberryport_standins.checks import find_violations
from gooseberryport_standins.daemons import Daemon, DaemonFailedError

LOAD_S = 12.0
DRAIN_AT_S = 3.0
KILL_AT_S = 7.0
LIST_LAG_S = 1.5
"""Time after which the platform notices that a VM is gone; seconds."""

MOST_DRAIN_S = 2.0
"""Time after a drain is in force in which new work must have ended; seconds."""

STOP_S = 30.0
SERVICE_TIME_S = 0.04

BODY_BYTES = 600


class DemoResult(msgspec.Struct, frozen=True):
    """What a demo saw.

    Parameters
    ----------
    page
        One daemon's page under load, its links with the use that all daemons told.
    drain_in_force_s, stop_s
        Time until every daemon had the drain, and until every daemon had ended; seconds.
    broken
        What did not hold.
    """

    summary: LoadSummary
    page: StatusPage
    drain: DrainTimes
    drain_in_force_s: float
    killed: str
    stop_s: float
    broken: tuple[str, ...]


class Load:
    """A load that runs beside the demo's own steps.

    Parameters
    ----------
    plan
        The load.
    seeds
        ``IP:port`` of entry VMs.
    """

    def __init__(self, plan: LoadPlan, seeds: tuple[str, ...]) -> None:
        self._started = time.monotonic()
        self._results: list[CallResult] = []
        self._thread = threading.Thread(target=self._run, args=(plan, seeds), daemon=True)
        self._thread.start()

    def wait_until(self, seconds: float) -> None:
        """Wait until so many seconds from its start."""
        time.sleep(max(self._started + seconds - time.monotonic(), 0.0))

    def end(self) -> list[CallResult]:
        """Wait for its end and return how each request ended."""
        self._thread.join()
        return self._results

    def _run(self, plan: LoadPlan, seeds: tuple[str, ...]) -> None:
        self._results = run_load(plan, seeds, name="demo")


def _traffic(cfg: Config) -> tuple[Traffic, ...]:
    """Return reads of every service, and writes of the first with each kind of key."""
    first, *_ = services = sorted(cfg.services)
    reads = tuple(Traffic(name, "GET", "item", weight=3.0, timeout_s=5.0) for name in services)
    writes = tuple(
        Traffic(first, "POST", "filed", weight, key, body_bytes=BODY_BYTES)
        for key, weight in ((KeyKind.ISSUED, 1.5), (KeyKind.OWN, 0.5))
    )
    return reads + writes


def run_demo(world: RunningDeployment, *, rate: float, seed: int) -> DemoResult:
    """Steer a load through a drain and a crash, and check what came of it."""
    _say(f"publishing the folder for {len(world.daemons)} daemons")
    world.publish_folder()
    for daemon in world.running:
        daemon.wait_until("it is ready", Daemon.ready)
        daemon.wait_until("its region's pools have owners", _region_owned)
    plan = LoadPlan(
        _traffic(world.cfg),
        rate=rate,
        seconds=LOAD_S,
        blocks=tuple(world.cfg.client_blocks),
        seed=seed,
    )
    drained = min(world.cfg.upstreams)
    seeds = tuple(daemon.http for daemon in world.running)
    _say(f"{rate:g} requests/s for {LOAD_S:g} s through look-up and request")
    load = Load(plan, seeds)
    load.wait_until(DRAIN_AT_S)
    watch = DrainWatch(world, drained)
    ordered = time.monotonic()
    world.command("drain", drained)
    in_force_s = time.monotonic() - ordered
    _say(f"drain of {drained} in force everywhere after {in_force_s:.1f} s")
    load.wait_until(KILL_AT_S)
    killed = _kill_one(world, seed)
    page = _page_of_all(world)
    results = load.end()
    drain = watch.end()
    broken = find_violations(results, world.upstreams.runs(), world.upstreams.stats())
    broken += _late_work(drained, drain, in_force_s)
    _say("stopping the daemons")
    asked = time.monotonic()
    broken += _stop_all(world)
    stop_s = time.monotonic() - asked
    summary = summarise(results)
    return DemoResult(summary, page, drain, in_force_s, killed, stop_s, tuple(broken))


def _page_of_all(world: RunningDeployment) -> StatusPage:
    """Return one daemon's page, its links with the use that all daemons tell."""
    pages = [daemon.status() for daemon in world.running]
    return with_total_link_usage(pages[0], pages)


def _region_owned(daemon: Daemon) -> bool:
    pools = [p for p in daemon.status().pools if p.region == daemon.plan.region]
    return bool(pools) and all(pool.owner for pool in pools)


def _kill_one(world: RunningDeployment, seed: int) -> str:
    """Kill a daemon that owns pools; the platform's list tells it a little later."""
    owners = {pool.owner for pool in world.running[0].status().pools}
    names = sorted(name for name in world.daemons if name in owners)
    victim = world.daemons[names[seed % len(names)]]
    victim.kill()
    _say(f"killed {victim.plan.vm}")
    time.sleep(LIST_LAG_S)
    world.set_vm_list(tuple(daemon.line for daemon in world.running))
    return victim.plan.vm


def _late_work(drained: str, drain: DrainTimes, in_force_s: float) -> list[str]:
    late_s = drain.last_new_s - in_force_s
    if late_s <= MOST_DRAIN_S:
        return []
    return [f"{drained} got new work {late_s:.1f} s after its drain was in force"]


def _stop_all(world: RunningDeployment) -> list[str]:
    """Stop every daemon gracefully and return what is wrong with that."""
    running = world.running
    for daemon in running:
        daemon.ask_to_stop()
    return [line for daemon in running for line in _ended_badly(daemon)]


def _ended_badly(daemon: Daemon) -> list[str]:
    try:
        code = daemon.process.wait(STOP_S)
    except subprocess.TimeoutExpired:
        return [f"{daemon.plan.vm} has not ended {STOP_S:g} s after SIGTERM"]
    return [f"{daemon.plan.vm} ended with code {code}"] if code else []


def _print_result(result: DemoResult) -> None:
    summary = result.summary
    ends = summary.ends
    print()
    print(f"latency p50 / p99     {summary.p50_ms:.0f} / {summary.p99_ms:.0f} ms")
    print(f"sent                  {summary.sent}")
    print(f"served                {ends.get('answered', 0)} ({summary.in_time:.2%} in time)")
    print(f"refused (not run)     {ends.get('not-run', 0)} {summary.reasons or ''}")
    print(f"unknown               {ends.get('unknown', 0)}")
    print(f"upstream errors       {ends.get('failed', 0)}")
    print(f"lost                  {ends.get('lost', 0)}")
    for region in result.page.regions:
        print(f"headroom {region.region:12} {region.headroom} of {region.cap}")
    for link in result.page.links:
        left = link.usable_mbit_s - link.used_mbit_s
        print(f"headroom {link.name:23} {left:.2f} of {link.usable_mbit_s:.0f} Mbit/s")
    print(f"drain in force after  {result.drain_in_force_s:.2f} s")
    print(f"drained: last new     {result.drain.last_new_s:.2f} s, last work ended by")
    print(f"                      {result.drain.last_work_s:.2f} s after the order")
    print(f"killed                {result.killed}")
    print(f"all others ended      {result.stop_s:.1f} s after they were asked to stop")
    for line in result.broken:
        print(f"BROKEN                {line}")
    if not result.broken:
        print("nothing was lost or run twice; no upstream was over its slots")


def _say(text: str) -> None:
    print(f"[{time.strftime('%H:%M:%S')}] {text}", flush=True)


@contextmanager
def _ending_on_sigterm() -> Iterator[None]:
    """Unwind on SIGTERM as on Ctrl-C, so that no process is left behind."""

    def interrupt(*_: object) -> None:
        raise KeyboardInterrupt

    former = signal.signal(signal.SIGTERM, interrupt)
    try:
        yield
    finally:
        signal.signal(signal.SIGTERM, former)


@dataclass
class DemoCommand:
    """Run the demo.

    Parameters
    ----------
    folder
        Example folder.
    daemons
        Number of entry daemons.
    rate
        Requests a second.
    """

    folder: Annotated[str, cappa.Arg(long=True)] = "amt"
    daemons: Annotated[int, cappa.Arg(long=True)] = 9
    rate: Annotated[float, cappa.Arg(long=True)] = 120.0
    seed: Annotated[int, cappa.Arg(long=True)] = 1

    def __call__(self) -> int:
        """Run it and return the exit code."""
        try:
            with (
                _ending_on_sigterm(),
                running_deployment(
                    self.folder, daemons=self.daemons, service_time_s=SERVICE_TIME_S
                ) as world,
            ):
                result = run_demo(world, rate=self.rate, seed=self.seed)
        except (DaemonFailedError, CommandFailedError) as exc:
            print(f"BROKEN {exc}", file=sys.stderr)
            return 1
        except KeyboardInterrupt:
            print("interrupted; every process was ended", file=sys.stderr)
            return 130
        _print_result(result)
        return 1 if result.broken else 0


if __name__ == "__main__":
    sys.exit(cappa.invoke(DemoCommand))
