"""Entry daemons run as processes, with their status pages."""

from __future__ import annotations

import signal
import subprocess
import sys
import threading
import time
from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import msgspec
import urllib3

from gooseberryport_core.status import StatusPage
from gooseberryport_standins.vm_list import VmListEntry

BINARY = "gooseberryportd"
SETTINGS_PATH = "/dev/stdin"
"""Where a daemon reads its settings, so that nothing is written to disk."""

LOG_LINES = 400
"""Newest log lines of a daemon that are kept."""

PAGE_TIMEOUT_S = 2.0
LOOK_PERIOD_S = 0.05
START_S = 30.0
"""Time in which a daemon must listen on a busy machine; seconds."""


class DaemonFailedError(Exception):
    """A daemon ended, or did not do in time what was waited for."""

    def __init__(self, *, vm: str, detail: str, log: list[str]) -> None:
        super().__init__(vm, detail)
        self.vm = vm
        self.detail = detail
        self.log = log

    def __str__(self) -> str:
        newest = "\n  ".join(self.log[-10:]) or "(no log lines)"
        return f"{self.vm}: {self.detail}. Its newest log lines:\n  {newest}"


class ServiceAddress(msgspec.Struct, frozen=True):
    """Where a service of the platform is."""

    address: str


class DaemonPlan(msgspec.Struct, frozen=True, omit_defaults=True):
    """Settings of a daemon, as its settings file names them.

    Parameters
    ----------
    options
        Further fields of the settings file.
    """

    vm: str
    availability_zone: str
    region: str
    store: ServiceAddress
    vm_list: ServiceAddress
    http_listen: str = "127.0.0.1:0"
    peer_listen: str = "127.0.0.1:0"
    peers: tuple[str, ...] = ()
    options: dict[str, Any] = {}

    def encoded(self) -> bytes:
        """Return the settings file's content."""
        fields = msgspec.to_builtins(self)
        fields.pop("options", None)
        return msgspec.json.encode({**fields, **self.options})


class _Addresses(msgspec.Struct, frozen=True):
    """Where a daemon listens."""

    http: str
    peer: str


class _Ready(msgspec.Struct, frozen=True):
    """The line that a daemon prints once it listens."""

    ready: _Addresses


class Daemon:
    """A daemon's process.

    Parameters
    ----------
    plan
        Its settings.
    process
        The process, just started.
    """

    def __init__(self, plan: DaemonPlan, process: subprocess.Popen[bytes]) -> None:
        self.plan = plan
        self.process = process
        self.http = ""
        self.peer = ""
        self._log: deque[str] = deque(maxlen=LOG_LINES)
        self._pages = urllib3.PoolManager(timeout=PAGE_TIMEOUT_S, retries=False)
        self._reader = threading.Thread(target=self._keep_log, daemon=True)
        self._reader.start()

    @property
    def log(self) -> list[str]:
        """The newest log lines."""
        return list(self._log)

    @property
    def vm_list_entry(self) -> VmListEntry:
        """Its line in the VM list."""
        return VmListEntry(self.plan.vm, self.plan.availability_zone, self.peer)

    def wait_until_listening(self) -> None:
        """Wait until it listens; raises `DaemonFailedError`."""
        assert self.process.stdout is not None
        line = self.process.stdout.readline()
        if not line:
            code = self.process.wait()
            self._reader.join(1.0)
            raise self.failed(f"it ended with code {code} before it listened")
        ready = msgspec.json.decode(line, type=_Ready).ready
        self.http, self.peer = ready.http, ready.peer

    def get(self, path: str) -> urllib3.BaseHTTPResponse:
        """Return a page."""
        return self._pages.request("GET", f"http://{self.http}{path}")

    def status(self) -> StatusPage:
        """Return its status page."""
        return msgspec.json.decode(self.get("/status").data, type=StatusPage)

    def is_ready(self) -> bool:
        """Return whether it serves callers."""
        return self.get("/readyz").status == 200

    def wait_until(
        self, what: str, holds: Callable[[Daemon], bool], *, seconds: float = START_S
    ) -> None:
        """Look at its pages again and again until something holds; raises `DaemonFailedError`."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            if self.process.poll() is not None:
                raise self.failed(f"it ended with code {self.process.returncode}")
            try:
                if holds(self):
                    return
            except (urllib3.exceptions.HTTPError, msgspec.MsgspecError):
                pass
            time.sleep(LOOK_PERIOD_S)
        raise self.failed(f"after {seconds:g} s it is not so that {what}")

    def terminate(self) -> None:
        """Ask it for a graceful stop."""
        self.process.send_signal(signal.SIGTERM)

    def kill(self) -> None:
        """End it at once, as a crash would."""
        self.process.kill()
        self.process.wait()

    def failed(self, detail: str) -> DaemonFailedError:
        """Return an error about this daemon."""
        return DaemonFailedError(vm=self.plan.vm, detail=detail, log=self.log)

    def close(self) -> None:
        """Kill it if it still runs, and end its connections."""
        self._pages.clear()
        self.kill()
        self._reader.join(1.0)
        for stream in (self.process.stdout, self.process.stderr):
            if stream is not None:
                stream.close()

    def _keep_log(self) -> None:
        assert self.process.stderr is not None
        for line in self.process.stderr:
            self._log.append(line.decode("utf-8", "replace").rstrip())


def start_daemon(plan: DaemonPlan) -> Daemon:
    """Start a daemon; call `Daemon.wait_until_listening` next and `Daemon.close` at the end."""
    command = [str(Path(sys.executable).with_name(BINARY)), SETTINGS_PATH]
    process = subprocess.Popen(
        command,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        start_new_session=True,
    )
    assert process.stdin is not None
    process.stdin.write(plan.encoded())
    process.stdin.close()
    return Daemon(plan, process)


@contextmanager
def running_daemons(plans: tuple[DaemonPlan, ...]) -> Iterator[dict[str, Daemon]]:
    """Run daemons until the context ends, which kills those that run; they listen at its begin."""
    daemons: dict[str, Daemon] = {}
    try:
        for plan in plans:
            daemons[plan.vm] = start_daemon(plan)
        for daemon in daemons.values():
            daemon.wait_until_listening()
        yield daemons
    finally:
        for daemon in daemons.values():
            daemon.close()
