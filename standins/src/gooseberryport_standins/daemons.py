"""Running entry daemons as processes, and reading their status pages."""

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
"""Path from which a daemon reads its settings, so that nothing is written to disk."""

MAX_LOG_LINES = 400
"""Number of newest log lines kept for each daemon."""

PAGE_TIMEOUT_S = 2.0
POLL_INTERVAL_S = 0.05
START_TIMEOUT_S = 30.0
"""Time within which a daemon must start listening, even on a busy machine; seconds."""


class DaemonFailedError(Exception):
    """A daemon exited unexpectedly, or did not reach an expected state in time."""

    def __init__(self, *, vm: str, detail: str, log: list[str]) -> None:
        super().__init__(vm, detail)
        self.vm = vm
        self.detail = detail
        self.log = log

    def __str__(self) -> str:
        newest = "\n  ".join(self.log[-10:]) or "(no log lines)"
        return f"{self.vm}: {self.detail}; newest log lines:\n  {newest}"


class ServiceAddress(msgspec.Struct, frozen=True):
    """``IP:port`` of a service of the platform."""

    address: str


class DaemonPlan(msgspec.Struct, frozen=True, omit_defaults=True):
    """Settings of a daemon, with the field names of its settings file.

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
        """Return the content of the settings file."""
        fields = msgspec.to_builtins(self)
        fields.pop("options", None)
        return msgspec.json.encode({**fields, **self.options})


class _Addresses(msgspec.Struct, frozen=True):
    """Addresses on which a daemon listens."""

    http: str
    peer: str


class _Ready(msgspec.Struct, frozen=True):
    """The line that a daemon prints once it is listening."""

    ready: _Addresses


class Daemon:
    """A daemon that runs as a process.

    Parameters
    ----------
    plan
        Its settings.
    process
        The process, which has just been started.
    """

    def __init__(self, plan: DaemonPlan, process: subprocess.Popen[bytes]) -> None:
        self.plan = plan
        self.process = process
        self.http = ""
        self.peer = ""
        self._log: deque[str] = deque(maxlen=MAX_LOG_LINES)
        self._http_pool = urllib3.PoolManager(timeout=PAGE_TIMEOUT_S, retries=False)
        self._log_reader = threading.Thread(target=self._read_log, daemon=True)
        self._log_reader.start()

    @property
    def log(self) -> list[str]:
        """The newest log lines."""
        return list(self._log)

    @property
    def vm_list_entry(self) -> VmListEntry:
        """Its entry in the VM list."""
        return VmListEntry(self.plan.vm, self.plan.availability_zone, self.peer)

    def wait_until_listening(self) -> None:
        """Wait until it is listening; raises `DaemonFailedError`."""
        assert self.process.stdout is not None
        line = self.process.stdout.readline()
        if not line:
            code = self.process.wait()
            self._log_reader.join(1.0)
            raise self.error(f"exited with code {code} before it was listening")
        ready = msgspec.json.decode(line, type=_Ready).ready
        self.http, self.peer = ready.http, ready.peer

    def get(self, path: str) -> urllib3.BaseHTTPResponse:
        """Request a page and return the response."""
        return self._http_pool.request("GET", f"http://{self.http}{path}")

    def status(self) -> StatusPage:
        """Return its status page."""
        return msgspec.json.decode(self.get("/status").data, type=StatusPage)

    def is_ready(self) -> bool:
        """Return whether it is ready to serve callers."""
        return self.get("/readyz").status == 200

    def wait_until(
        self, condition: str, holds: Callable[[Daemon], bool], *, seconds: float = START_TIMEOUT_S
    ) -> None:
        """Poll until `holds` returns True; raises `DaemonFailedError` on exit or timeout."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            if self.process.poll() is not None:
                raise self.error(f"exited with code {self.process.returncode}")
            try:
                if holds(self):
                    return
            except (urllib3.exceptions.HTTPError, msgspec.MsgspecError):
                pass
            time.sleep(POLL_INTERVAL_S)
        raise self.error(f"after {seconds:g} s this does not hold: {condition}")

    def terminate(self) -> None:
        """Request a graceful stop with SIGTERM."""
        self.process.send_signal(signal.SIGTERM)

    def kill(self) -> None:
        """Kill it with SIGKILL, as a crash would."""
        self.process.kill()
        self.process.wait()

    def error(self, detail: str) -> DaemonFailedError:
        """Return an error about this daemon."""
        return DaemonFailedError(vm=self.plan.vm, detail=detail, log=self.log)

    def close(self) -> None:
        """Kill it if it is still running, and close its connections and streams."""
        self._http_pool.clear()
        self.kill()
        self._log_reader.join(1.0)
        for stream in (self.process.stdout, self.process.stderr):
            if stream is not None:
                stream.close()

    def _read_log(self) -> None:
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
    """Run daemons, which are listening when the context is entered and killed when it exits."""
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
