"""A whole deployment as processes: stand-ins of the platform and of upstreams, and daemons."""

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
COMMAND_S = 60.0
UPSTREAM_PROCESSES = 4


class CommandFailedError(Exception):
    """An operators' command did not do what it was asked."""

    def __init__(self, *, words: tuple[str, ...], code: int, output: str) -> None:
        super().__init__(words, code)
        self.words = words
        self.code = code
        self.output = output

    def __str__(self) -> str:
        return f"{COMMAND} {' '.join(self.words)} ended with code {self.code}: {self.output}"


class Upstreams:
    """Upstreams in several processes.

    Parameters
    ----------
    parts
        The ready line of each process.
    """

    def __init__(self, parts: list[Ready]) -> None:
        self._parts = parts
        self._http = urllib3.PoolManager(timeout=5.0, retries=False)

    @property
    def addresses(self) -> dict[str, str]:
        """``IP:port`` of each upstream, by name."""
        return {name: address for part in self._parts for name, address in part.addresses.items()}

    def stats(self) -> list[UpstreamStats]:
        """Return the counts of every upstream."""
        return [each for part in self._parts for each in self._get(part, STATS_PATH, UpstreamStats)]

    def stats_of(self, name: str) -> UpstreamStats:
        """Return the counts of one upstream."""
        part = next(part for part in self._parts if name in part.addresses)
        found = self._get(part, STATS_PATH, UpstreamStats)
        return next(each for each in found if each.name == name)

    def runs(self) -> list[Run]:
        """Return every request that was started, at any upstream."""
        return [run for part in self._parts for run in self._get(part, RUNS_PATH, Run)]

    def close(self) -> None:
        """Close the connections."""
        self._http.clear()

    def _get(self, part: Ready, path: str, kind: type[T]) -> list[T]:
        resp = self._http.request("GET", f"http://{part.control}{path}")
        return msgspec.json.decode(resp.data, type=list[kind])  # type: ignore[valid-type]


class World:
    """A running deployment.

    Parameters
    ----------
    deployment
        What it was made from.
    store, vm_list
        The platform's stand-ins.
    upstreams, daemons
        Upstreams, and daemons by name.
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

    def list_vms(self, lines: tuple[VmListEntry, ...]) -> None:
        """Set the platform's VM list."""
        body = msgspec.json.encode(lines)
        urllib3.request("PUT", f"http://{self._vm_list.control}{VMS_PATH}", body=body)

    def publish_folder(self) -> str:
        """Publish the example folder, with the upstreams' addresses, by the real command."""
        files = with_addresses(self.deployment.files, self.upstreams.addresses)
        with tempfile.TemporaryDirectory(prefix="gooseberryport-demo-") as folder:
            for name, content in files.items():
                Path(folder, name).write_bytes(content)
            return self.command("apply", folder)

    def command(self, *words: str) -> str:
        """Run an operators' command and return what it prints; raises `CommandFailedError`."""
        daemons = ",".join(daemon.http for daemon in self.running)
        options = ["--store", self.store.ready, "--daemon", daemons, "--author", "demo"]
        binary = str(Path(sys.executable).with_name(COMMAND))
        done = subprocess.run(
            [binary, words[0], *options, *words[1:]],
            capture_output=True,
            text=True,
            timeout=COMMAND_S,
            check=False,
            start_new_session=True,
        )
        if done.returncode:
            output = (done.stderr or done.stdout).strip()
            raise CommandFailedError(words=words, code=done.returncode, output=output)
        return done.stdout


@contextmanager
def running_world(name: str, *, daemons: int, service_time_s: float) -> Iterator[World]:
    """Start a deployment whose daemons listen and have no configuration yet.

    Parameters
    ----------
    name
        Example folder, such as ``amt``.
    daemons
        Number of entry daemons.
    service_time_s
        Mean time that an upstream takes for a request; seconds.
    """
    deployment = read_deployment(name)
    specs = upstream_specs(deployment.cfg, service_time_s=service_time_s)
    with ExitStack() as stack:
        store = stack.enter_context(run_standin("store"))
        vm_list = stack.enter_context(run_standin("vm_list"))
        shares = [specs[first::UPSTREAM_PROCESSES] for first in range(UPSTREAM_PROCESSES)]
        parts = [
            stack.enter_context(run_standin("upstream", "--specs", _encoded(share)))
            for share in shares
        ]
        upstreams = Upstreams(parts)
        stack.callback(upstreams.close)
        plans = daemon_plans(deployment.cfg, daemons, store=store.ready, vm_list=vm_list.ready)
        running = stack.enter_context(running_daemons(plans))
        world = World(
            deployment=deployment,
            store=store,
            vm_list=vm_list,
            upstreams=upstreams,
            daemons=running,
        )
        world.list_vms(tuple(daemon.vm_list_entry for daemon in running.values()))
        yield world


def _encoded(specs: tuple[UpstreamSpec, ...]) -> str:
    return msgspec.json.encode(specs).decode()
