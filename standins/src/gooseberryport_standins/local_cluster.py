"""A small local cluster for tests: stand-ins in this process, daemons as separate processes."""

from __future__ import annotations

import re
import time
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from typing import Any

import msgspec
import urllib3

from gooseberryport_core.config import Config, Limits, Region, Service, Upstream
from gooseberryport_core.log_events import LogNumber
from gooseberryport_core.types import RegionName, ServiceName, UpstreamId, ZoneName
from gooseberryport_platform import StoreSettings, open_store
from gooseberryport_standins._process import STOP_TIMEOUT_S
from gooseberryport_standins.caller import CallEnd, CallResult, LoadPlan, run_load
from gooseberryport_standins.checks import find_violations, raise_if_unsafe
from gooseberryport_standins.daemons import (
    Daemon,
    DaemonPlan,
    ServiceAddress,
    running_daemons,
    start_daemon,
)
from gooseberryport_standins.publish import publish_files
from gooseberryport_standins.store import StoreStandin, open_store_standin
from gooseberryport_standins.upstream import Fleet, UpstreamSpec, open_fleet
from gooseberryport_standins.vm_list import VmListStandin, open_vm_list_standin

REGION = RegionName("mittelland")
ZONES = (ZoneName("bern-a"), ZoneName("olten-b"))
SERVICE = ServiceName("registry")
UPSTREAMS = ("registry-1", "registry-2")

FAILURE_LINE = re.compile(
    rf'"number": ?({LogNumber.ATTEMPT_FAILED:d}|{LogNumber.PEER_STREAM_BROKEN:d})'
)
"""A log line that states why an attempt ended without an answer."""

LIMITS = Limits(lookup_max_age_s=1.0, lease_s=2.0)
SERVICE_RULES = Service(slots=4, max_attempt_s=1.0, max_body_bytes=100_000, slow_start_s=1.0)

OWNERS_TIMEOUT_S = 20.0
"""Time within which every pool must have an owner; seconds."""


class LocalCluster:
    """A running cluster: one region with two zones, one service, and an upstream in each zone.

    Parameters
    ----------
    store, vms, fleet
        The stand-ins; tests set their faults directly.
    daemons
        The daemons by name.
    """

    def __init__(
        self,
        *,
        store: StoreStandin,
        vms: VmListStandin,
        fleet: Fleet,
        daemons: dict[str, Daemon],
    ) -> None:
        self.store = store
        self.vms = vms
        self.fleet = fleet
        self.daemons = daemons

    @property
    def first(self) -> Daemon:
        """The first daemon."""
        return next(iter(self.daemons.values()))

    @property
    def addresses(self) -> tuple[str, ...]:
        """``IP:port`` of each daemon's HTTP port."""
        return tuple(daemon.http for daemon in self.daemons.values())

    def list_vms(self) -> None:
        """Set the VM list to the daemons that are running."""
        running = (d for d in self.daemons.values() if d.process.poll() is None)
        self.vms.set_vms(tuple(daemon.vm_list_entry for daemon in running))

    def plan(self, vm: str, **options: Any) -> DaemonPlan:
        """Return the settings of a daemon; `options` are further fields of its settings file."""
        return _plan(vm, self.store, self.vms, options)

    def add_daemon(self, vm: str, *, listed: bool = True, **options: Any) -> Daemon:
        """Start another daemon, wait until it listens and, if `listed`, add it to the VM list."""
        daemon = start_daemon(self.plan(vm, **options))
        self.daemons[vm] = daemon
        daemon.wait_until_listening()
        if listed:
            self.list_vms()
        return daemon

    def wait_until_pools_owned(self) -> None:
        """Wait until every running daemon has a running owner for every pool."""
        running = [d for d in self.daemons.values() if d.process.poll() is None]
        names = {daemon.plan.vm for daemon in running}

        def has_live_owners(daemon: Daemon) -> bool:
            pools = daemon.status().pools
            return bool(pools) and all(pool.owner in names for pool in pools)

        for daemon in running:
            daemon.wait_until(
                "every pool has an owner that is running", has_live_owners, seconds=OWNERS_TIMEOUT_S
            )

    def owner(self, number: int) -> Daemon:
        """Return the owner of the pool in one of the zones."""
        pools = self.first.status().pools
        zone = ZONES[number]
        return self.daemons[next(pool.owner for pool in pools if pool.zone == zone)]

    def load(self, plan: LoadPlan, *, name: str = "trial") -> list[CallResult]:
        """Generate a load through all daemons and return how each request ended."""
        results = run_load(plan, self.addresses, name=f"{name}-{time.monotonic_ns()}")
        if any(result.end is CallEnd.UNKNOWN for result in results):
            self._print_failed_attempts(results)
        return results

    def _print_failed_attempts(self, results: list[CallResult]) -> None:
        """Print why requests may be unknown; pytest shows it beside a failure."""
        for result in results:
            if result.end is CallEnd.UNKNOWN:
                print(result.plan.request_id, result.plan.method, result.status, result.reason)
        for daemon in self.daemons.values():
            for line in daemon.log:
                if FAILURE_LINE.search(line):
                    print(line)

    def violations(self, results: list[CallResult]) -> list[str]:
        """Return which requests were lost; raise `SafetyViolationError` for any other violation."""
        violations = find_violations(results, self.fleet.runs(), self.fleet.stats())
        raise_if_unsafe(violations)
        return violations

    def send_request(
        self,
        daemon: Daemon,
        method: str = "GET",
        path: str = f"/{SERVICE}/x",
        *,
        headers: dict[str, str] | None = None,
        body: bytes | None = None,
        timeout_s: float = 10.0,
    ) -> urllib3.BaseHTTPResponse:
        """Send one request to one daemon and return its response."""
        return urllib3.request(
            method,
            f"http://{daemon.http}{path}",
            headers=headers,
            body=body,
            timeout=timeout_s,
            retries=False,
        )


@contextmanager
def open_local_cluster(
    *,
    daemons: int = 2,
    service_time_s: float = 0.02,
    service: Service = SERVICE_RULES,
    specs: tuple[UpstreamSpec, ...] = (),
) -> Iterator[LocalCluster]:
    """Run a cluster, all of whose pools have owners when the context is entered.

    Parameters
    ----------
    daemons
        Number of daemons; they are placed in the zones in turn, starting with the first.
    service_time_s
        Mean service time of the upstreams; seconds.
    service
        Rules of the service.
    specs
        Specifications of the upstreams, if they differ from the default.
    """
    specs = specs or tuple(
        UpstreamSpec(name, slots=service.slots, service_time_s=service_time_s, seed=seed)
        for seed, name in enumerate(UPSTREAMS)
    )
    with ExitStack() as stack:
        store = stack.enter_context(open_store_standin())
        vms = stack.enter_context(open_vm_list_standin())
        fleet = stack.enter_context(open_fleet(specs))
        _publish(store, fleet, service)
        plans = tuple(_plan(f"vm-{number}", store, vms, {}) for number in range(daemons))
        running = stack.enter_context(running_daemons(plans))
        cluster = LocalCluster(store=store, vms=vms, fleet=fleet, daemons=running)
        cluster.list_vms()
        cluster.wait_until_pools_owned()
        yield cluster


def _plan(vm: str, store: StoreStandin, vms: VmListStandin, options: dict[str, Any]) -> DaemonPlan:
    assert store.server is not None
    assert vms.server is not None
    number = int(vm.rpartition("-")[2])
    return DaemonPlan(
        vm=vm,
        availability_zone=ZONES[number % len(ZONES)],
        region=REGION,
        store=ServiceAddress(store.server.address),
        vm_list=ServiceAddress(vms.server.address),
        options={"vm_list_period_s": 0.2, "load_report_period_s": 0.2, **options},
    )


def _publish(store: StoreStandin, fleet: Fleet, service: Service) -> None:
    upstreams = {
        UpstreamId(name): Upstream(SERVICE, ZONES[number % len(ZONES)], address)
        for number, (name, address) in enumerate(fleet.addresses.items())
    }
    cfg = Config(
        regions={REGION: Region(ZONES)},
        services={SERVICE: service},
        upstreams=upstreams,
        client_blocks={"10.0.0.0/9": ZONES[0], "10.128.0.0/9": ZONES[1]},
        limits=LIMITS,
    )
    fields = msgspec.to_builtins(cfg)
    del fields["version"]
    assert store.server is not None
    with open_store(StoreSettings(store.server.address, timeout_s=STOP_TIMEOUT_S)) as client:
        publish_files(client, {"10-all.json": msgspec.json.encode(fields)})
