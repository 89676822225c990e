"""How a stand-in runs as a process of its own."""

from __future__ import annotations

import signal
import subprocess
import sys
import threading
from collections.abc import Iterator
from contextlib import contextmanager

import msgspec

STOP_TIMEOUT_S = 10.0
"""Time that a process is given to end after SIGTERM; seconds."""


class Ready(msgspec.Struct, frozen=True):
    """The line that a stand-in prints once it listens.

    Parameters
    ----------
    ready
        ``IP:port``.
    control
        ``IP:port`` of the control path, which stays open during an outage.
    addresses
        Address by name, of a stand-in that listens at several.
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
    """Run a stand-in as a process until the context ends."""
    command = [sys.executable, "-m", f"gooseberryport_standins.{module}", *args]
    with subprocess.Popen(command, stdout=subprocess.PIPE, start_new_session=True) as process:
        try:
            assert process.stdout is not None
            yield msgspec.json.decode(process.stdout.readline(), type=Ready)
        finally:
            stop_process(process)


def stop_process(process: subprocess.Popen[bytes], *, patience_s: float = STOP_TIMEOUT_S) -> int:
    """Ask a process to end, insist after a while, and return its exit code."""
    if process.poll() is None:
        process.terminate()
    try:
        return process.wait(patience_s)
    except subprocess.TimeoutExpired:
        process.kill()
        return process.wait()
