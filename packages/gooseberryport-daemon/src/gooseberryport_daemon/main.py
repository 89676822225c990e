"""Entry point of the `gooseberryportd` command."""

from __future__ import annotations

import contextlib
import os
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, NoReturn

import cappa

from gooseberryport_daemon.errors import DaemonError, SettingsInvalidError, SettingsUnreadableError
from gooseberryport_daemon.settings import load_settings

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2


@cappa.command(name="gooseberryportd", help="Run one entry daemon of gooseberryport.")
@dataclass
class Arguments:
    """Command line of the daemon."""

    settings: Annotated[Path, cappa.Arg(help="Settings file, JSON.")]
    check: Annotated[bool, cappa.Arg(long="--check", help="Check the settings file and exit.")] = (
        False
    )


def main() -> int:
    """Run the daemon and return its exit code."""
    arguments = cappa.parse(Arguments, completion=False)
    try:
        return _run(arguments)
    except (SettingsInvalidError, SettingsUnreadableError) as exc:
        print(f"gooseberryportd: {exc}", file=sys.stderr)
        return EXIT_USAGE
    except DaemonError as exc:
        print(f"gooseberryportd: {exc}", file=sys.stderr)
        return EXIT_FAILED


def _exit_immediately(code: int) -> NoReturn:
    """End the process without waiting for threads that still watch the key-value store."""
    for stream in (sys.stdout, sys.stderr):
        with contextlib.suppress(OSError, AttributeError):
            stream.flush()
    os._exit(code)


def _run(arguments: Arguments) -> int:
    settings = load_settings(arguments.settings)
    if arguments.check:
        return EXIT_OK
    from gooseberryport_daemon._daemon import run_daemon

    run_daemon(settings)
    _exit_immediately(EXIT_OK)


if __name__ == "__main__":
    sys.exit(main())
