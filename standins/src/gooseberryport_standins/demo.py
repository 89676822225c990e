"""``make demo``: a small deployment under load, with a drain and a daemon crash, and checks."""

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
VM_LIST_DELAY_S = 1.5
"""Delay until the platform removes a crashed VM from its list; seconds."""

MAX_LATE_START_S = 2.0
"""Maximum time after a drain is in force at which an upstream may start a request; seconds."""

STOP_TIMEOUT_S = 30.0
SERVICE_TIME_S = 0.04

BODY_BYTES = 600


class DemoResult(msgspec.Struct, frozen=True):
    """Result of a demo.

    Parameters
    ----------
    page
        A daemon's status page under load; its links show the total usage reported by all daemons.
    drain_in_force_s, stop_s
        Time until every daemon had applied the drain, and until every daemon had exited; seconds.
    violations
        Descriptions of what was violated.
    """

    summary: LoadSummary
    page: StatusPage
    drain: DrainTimes
    drain_in_force_s: float
    killed: str
    stop_s: float
    violations: tuple[str, ...]


class BackgroundLoad:
    """A load that runs in a thread during the steps of the demo.

    Parameters
    ----------
    plan
        The load to generate.
    seeds
        ``IP:port`` of entry VMs.
    """

    def __init__(self, plan: LoadPlan, seeds: tuple[str, ...]) -> None:
        self._started = time.monotonic()
        self._results: list[CallResult] = []
        self._thread = threading.Thread(target=self._run, args=(plan, seeds), daemon=True)
        self._thread.start()

    def wait_until(self, seconds: float) -> None:
        """Wait until a number of seconds after its start."""
        time.sleep(max(self._started + seconds - time.monotonic(), 0.0))

    def end(self) -> list[CallResult]:
        """Wait until the load ends and return how each request ended."""
        self._thread.join()
        return self._results

    def _run(self, plan: LoadPlan, seeds: tuple[str, ...]) -> None:
        self._results = run_load(plan, seeds, name="demo")


def _traffic(cfg: Config) -> tuple[Traffic, ...]:
    """Return reads of every service, and writes to the first with each kind of idempotency key."""
    first, *_ = services = sorted(cfg.services)
    reads = tuple(Traffic(name, "GET", "item", weight=3.0, timeout_s=5.0) for name in services)
    writes = tuple(
        Traffic(first, "POST", "filed", weight, key, body_bytes=BODY_BYTES)
        for key, weight in ((KeyKind.ISSUED, 1.5), (KeyKind.OWN, 0.5))
    )
    return reads + writes


def run_demo(world: RunningDeployment, *, rate: float, seed: int) -> DemoResult:
    """Run a load during a drain and a daemon crash, and check how its requests ended."""
    _print_step(f"publishing the configuration folder for {len(world.daemons)} daemons")
    world.publish_folder()
    for daemon in world.running:
        daemon.wait_until("it is ready", Daemon.is_ready)
        daemon.wait_until("every pool of its region has an owner", _has_region_owners)
    plan = LoadPlan(
        _traffic(world.cfg),
        rate=rate,
        seconds=LOAD_S,
        blocks=tuple(world.cfg.client_blocks),
        seed=seed,
    )
    drained = min(world.cfg.upstreams)
    seeds = tuple(daemon.http for daemon in world.running)
    _print_step(f"{rate:g} requests/s for {LOAD_S:g} s through look-ups and entry daemons")
    load = BackgroundLoad(plan, seeds)
    load.wait_until(DRAIN_AT_S)
    drain_watch = DrainWatch(world, drained)
    drain_started = time.monotonic()
    world.command("drain", drained)
    in_force_s = time.monotonic() - drain_started
    _print_step(f"drain of {drained} in force at every daemon after {in_force_s:.1f} s")
    load.wait_until(KILL_AT_S)
    killed = _kill_pool_owner(world, seed)
    page = _page_with_total_usage(world)
    results = load.end()
    drain = drain_watch.end()
    violations = find_violations(results, world.upstreams.runs(), world.upstreams.stats())
    violations += _find_late_starts(drained, drain, in_force_s)
    _print_step("stopping the daemons")
    stop_started = time.monotonic()
    violations += _stop_all(world)
    stop_s = time.monotonic() - stop_started
    summary = summarise(results)
    return DemoResult(summary, page, drain, in_force_s, killed, stop_s, tuple(violations))


def _page_with_total_usage(world: RunningDeployment) -> StatusPage:
    """Return a daemon's status page, with the total link usage reported by all daemons."""
    pages = [daemon.status() for daemon in world.running]
    return with_total_link_usage(pages[0], pages)


def _has_region_owners(daemon: Daemon) -> bool:
    pools = [p for p in daemon.status().pools if p.region == daemon.plan.region]
    return bool(pools) and all(pool.owner for pool in pools)


def _kill_pool_owner(world: RunningDeployment, seed: int) -> str:
    """Kill a daemon that owns pools; the VM list omits it after `VM_LIST_DELAY_S`."""
    owners = {pool.owner for pool in world.running[0].status().pools}
    names = sorted(name for name in world.daemons if name in owners)
    victim = world.daemons[names[seed % len(names)]]
    victim.kill()
    _print_step(f"killed {victim.plan.vm}")
    time.sleep(VM_LIST_DELAY_S)
    world.set_vm_list(tuple(daemon.vm_list_entry for daemon in world.running))
    return victim.plan.vm


def _find_late_starts(drained: str, drain: DrainTimes, in_force_s: float) -> list[str]:
    late_s = drain.last_new_s - in_force_s
    if late_s <= MAX_LATE_START_S:
        return []
    return [f"{drained} started a request {late_s:.1f} s after its drain was in force"]


def _stop_all(world: RunningDeployment) -> list[str]:
    """Stop every daemon gracefully and return which did not exit cleanly."""
    running = world.running
    for daemon in running:
        daemon.terminate()
    return [line for daemon in running for line in _find_unclean_exit(daemon)]


def _find_unclean_exit(daemon: Daemon) -> list[str]:
    try:
        code = daemon.process.wait(STOP_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        return [f"{daemon.plan.vm} has not exited {STOP_TIMEOUT_S:g} s after SIGTERM"]
    return [f"{daemon.plan.vm} exited with code {code}"] if code else []


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
    print(f"drained: last start   {result.drain.last_new_s:.2f} s, last request ended by")
    print(f"                      {result.drain.last_work_s:.2f} s after the drain command")
    print(f"killed                {result.killed}")
    print(f"all others exited     {result.stop_s:.1f} s after SIGTERM")
    for line in result.violations:
        print(f"VIOLATION             {line}")
    if not result.violations:
        print("no request was lost or run twice; no upstream exceeded its slots")


def _print_step(text: str) -> None:
    print(f"[{time.strftime('%H:%M:%S')}] {text}", flush=True)


@contextmanager
def _interrupt_on_sigterm() -> Iterator[None]:
    """Raise `KeyboardInterrupt` on SIGTERM too, so that all processes are stopped."""

    def interrupt(*_: object) -> None:
        raise KeyboardInterrupt

    previous = signal.signal(signal.SIGTERM, interrupt)
    try:
        yield
    finally:
        signal.signal(signal.SIGTERM, previous)


@dataclass
class DemoCommand:
    """Run the demo.

    Parameters
    ----------
    folder
        Name of the example folder.
    daemons
        Number of entry daemons.
    rate
        Requests per second.
    """

    folder: Annotated[str, cappa.Arg(long=True)] = "amt"
    daemons: Annotated[int, cappa.Arg(long=True)] = 9
    rate: Annotated[float, cappa.Arg(long=True)] = 120.0
    seed: Annotated[int, cappa.Arg(long=True)] = 1

    def __call__(self) -> int:
        """Run the demo and return the exit code."""
        try:
            with (
                _interrupt_on_sigterm(),
                running_deployment(
                    self.folder, daemons=self.daemons, service_time_s=SERVICE_TIME_S
                ) as world,
            ):
                result = run_demo(world, rate=self.rate, seed=self.seed)
        except (DaemonFailedError, CommandFailedError) as exc:
            print(f"demo failed: {exc}", file=sys.stderr)
            return 1
        except KeyboardInterrupt:
            print("interrupted; all processes were stopped", file=sys.stderr)
            return 130
        _print_result(result)
        return 1 if result.violations else 0


if __name__ == "__main__":
    sys.exit(cappa.invoke(DemoCommand))
