"""Run a complete deployment as processes: daemons, and stand-ins of the platform and upstreams."""

from __future__ import annotations

import subprocess
import sys
import tempfile
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from pathlib import Path
from typing import TypeVar

import msgspec
import urllib3

from gooseberryport_core.config import Config
from gooseberryport_standins._process import Ready, run_standin
from gooseberryport_standins.daemons import Daemon, running_daemons
from gooseberryport_standins.deployment import (
    Deployment,
    daemon_plans,
    read_deployment,
    upstream_specs,
    with_addresses,
)
from gooseberryport_standins.faults import STATS_PATH
from gooseberryport_standins.upstream import RUNS_PATH, Run, UpstreamSpec, UpstreamStats
from gooseberryport_standins.vm_list import VMS_PATH, VmListEntry

T = TypeVar("T")

COMMAND = "gooseberryport"
COMMAND_TIMEOUT_S = 60.0
UPSTREAM_PROCESS_COUNT = 4


class CommandFailedError(Exception):
    """An operators' command exited with a code other than 0."""

    def __init__(self, *, arguments: tuple[str, ...], code: int, output: str) -> None:
        super().__init__(arguments, code)
        self.arguments = arguments
        self.code = code
        self.output = output

    def __str__(self) -> str:
        return (
            f"{COMMAND} {' '.join(self.arguments)} failed with exit code {self.code}: {self.output}"
        )


class Upstreams:
    """The stand-ins of the upstreams, which run in several processes.

    Parameters
    ----------
    processes
        What each process printed when it was ready.
    """

    def __init__(self, processes: list[Ready]) -> None:
        self._processes = processes
        self._http = urllib3.PoolManager(timeout=5.0, retries=False)

    @property
    def addresses(self) -> dict[str, str]:
        """``IP:port`` of each upstream, by name."""
        return {
            name: address
            for process in self._processes
            for name, address in process.addresses.items()
        }

    def stats(self) -> list[UpstreamStats]:
        """Return the statistics of every upstream."""
        return [
            stats
            for process in self._processes
            for stats in self._get(process, STATS_PATH, UpstreamStats)
        ]

    def stats_of(self, name: str) -> UpstreamStats:
        """Return the statistics of one upstream."""
        process = next(process for process in self._processes if name in process.addresses)
        found = self._get(process, STATS_PATH, UpstreamStats)
        return next(stats for stats in found if stats.name == name)

    def runs(self) -> list[Run]:
        """Return every request that any upstream started."""
        return [run for process in self._processes for run in self._get(process, RUNS_PATH, Run)]

    def close(self) -> None:
        """Close the connections."""
        self._http.clear()

    def _get(self, process: Ready, path: str, kind: type[T]) -> list[T]:
        resp = self._http.request("GET", f"http://{process.control}{path}")
        return msgspec.json.decode(resp.data, type=list[kind])  # type: ignore[valid-type]


class RunningDeployment:
    """The processes of a running deployment.

    Parameters
    ----------
    deployment
        The example deployment that runs.
    store, vm_list
        The stand-ins of the key-value store and of the platform's VM list.
    upstreams, daemons
        The stand-ins of the upstreams, and the daemons by name.
    """

    def __init__(
        self,
        *,
        deployment: Deployment,
        store: Ready,
        vm_list: Ready,
        upstreams: Upstreams,
        daemons: dict[str, Daemon],
    ) -> None:
        self.deployment = deployment
        self.store = store
        self.upstreams = upstreams
        self.daemons = daemons
        self._vm_list = vm_list

    @property
    def cfg(self) -> Config:
        """The deployment's configuration."""
        return self.deployment.cfg

    @property
    def running(self) -> list[Daemon]:
        """The daemons whose processes run."""
        return [daemon for daemon in self.daemons.values() if daemon.process.poll() is None]

    def set_vm_list(self, lines: tuple[VmListEntry, ...]) -> None:
        """Set the platform's VM list."""
        body = msgspec.json.encode(lines)
        urllib3.request("PUT", f"http://{self._vm_list.control}{VMS_PATH}", body=body)

    def publish_folder(self) -> str:
        """Publish the example folder, with the upstreams' addresses, by the ``apply`` command."""
        files = with_addresses(self.deployment.files, self.upstreams.addresses)
        with tempfile.TemporaryDirectory(prefix="gooseberryport-demo-") as folder:
            for name, content in files.items():
                Path(folder, name).write_bytes(content)
            return self.command("apply", folder)

    def command(self, *arguments: str) -> str:
        """Run an operators' command and return its output.

        Raises
        ------
        CommandFailedError
            If it exits with a code other than 0.
        """
        daemons = ",".join(daemon.http for daemon in self.running)
        options = ["--store", self.store.ready, "--daemon", daemons, "--author", "demo"]
        binary = str(Path(sys.executable).with_name(COMMAND))
        done = subprocess.run(
            [binary, arguments[0], *options, *arguments[1:]],
            capture_output=True,
            text=True,
            timeout=COMMAND_TIMEOUT_S,
            check=False,
            start_new_session=True,
        )
        if done.returncode:
            output = (done.stderr or done.stdout).strip()
            raise CommandFailedError(arguments=arguments, code=done.returncode, output=output)
        return done.stdout


@contextmanager
def running_deployment(
    name: str, *, daemons: int, service_time_s: float
) -> Iterator[RunningDeployment]:
    """Run a deployment whose daemons listen but have no configuration yet.

    Parameters
    ----------
    name
        Example folder, such as ``amt``.
    daemons
        Number of entry daemons.
    service_time_s
        Mean service time of a request at an upstream; seconds.
    """
    deployment = read_deployment(name)
    specs = upstream_specs(deployment.cfg, service_time_s=service_time_s)
    with ExitStack() as stack:
        store = stack.enter_context(run_standin("store"))
        vm_list = stack.enter_context(run_standin("vm_list"))
        shares = [specs[first::UPSTREAM_PROCESS_COUNT] for first in range(UPSTREAM_PROCESS_COUNT)]
        processes = [
            stack.enter_context(run_standin("upstream", "--specs", _encoded(share)))
            for share in shares
        ]
        upstreams = Upstreams(processes)
        stack.callback(upstreams.close)
        plans = daemon_plans(deployment.cfg, daemons, store=store.ready, vm_list=vm_list.ready)
        running = stack.enter_context(running_daemons(plans))
        deployment_processes = RunningDeployment(
            deployment=deployment,
            store=store,
            vm_list=vm_list,
            upstreams=upstreams,
            daemons=running,
        )
        deployment_processes.set_vm_list(tuple(daemon.vm_list_entry for daemon in running.values()))
        yield deployment_processes


def _encoded(specs: tuple[UpstreamSpec, ...]) -> str:
    return msgspec.json.encode(specs).decode()
