"""Running a stand-in as a separate process."""

from __future__ import annotations

import signal
import subprocess
import sys
import threading
from collections.abc import Iterator
from contextlib import contextmanager

import msgspec

STOP_TIMEOUT_S = 10.0
"""Time that a process is given to exit after SIGTERM; seconds."""


class Ready(msgspec.Struct, frozen=True):
    """The line that a stand-in prints once it listens.

    Parameters
    ----------
    ready
        ``IP:port``.
    control
        ``IP:port`` of the control server, which stays reachable during a simulated outage.
    addresses
        Address by name, for a stand-in that listens at several addresses.
    """

    ready: str
    control: str = ""
    addresses: dict[str, str] = {}


def print_ready_line(ready: Ready) -> None:
    """Print the ready line."""
    print(msgspec.json.encode(ready).decode(), flush=True)


def wait_for_stop() -> None:
    """Block until SIGTERM or SIGINT."""
    stop = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop.set())
    stop.wait()


@contextmanager
def run_standin(module: str, *args: str) -> Iterator[Ready]:
    """Run a stand-in as a process until the context exits."""
    command = [sys.executable, "-m", f"gooseberryport_standins.{module}", *args]
    with subprocess.Popen(command, stdout=subprocess.PIPE, start_new_session=True) as process:
        try:
            assert process.stdout is not None
            yield msgspec.json.decode(process.stdout.readline(), type=Ready)
        finally:
            stop_process(process)


def stop_process(process: subprocess.Popen[bytes], *, timeout_s: float = STOP_TIMEOUT_S) -> int:
    """Send SIGTERM, then SIGKILL after a timeout, and return the exit code."""
    if process.poll() is None:
        process.terminate()
    try:
        return process.wait(timeout_s)
    except subprocess.TimeoutExpired:
        process.kill()
        return process.wait()
