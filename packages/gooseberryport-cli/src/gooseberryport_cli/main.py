"""Entry point of `gooseberryport`: reads the command line, runs a command, renders errors."""

from __future__ import annotations

import sys
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Annotated, TextIO

import cappa
from rich.console import Console

from gooseberryport_cli._config_commands import (
    Apply,
    Check,
    Diff,
    History,
    Revert,
    Schema,
    Show,
)
from gooseberryport_cli._report_commands import Report
from gooseberryport_cli._rule_commands import DrainCommand, ShiftCommand, Undrain, Unshift
from gooseberryport_cli._view_commands import PROGRAM, Completion, Explain, Status
from gooseberryport_cli.context import Context, Options
from gooseberryport_cli.environment import Environment, SystemEnvironment
from gooseberryport_cli.errors import CommandError, ExitCode

PLAIN_WIDTH = 160
"""Columns of a table that does not go to a terminal."""

INTERRUPTED = 130


@cappa.command(name=PROGRAM)
@dataclass
class _Root:
    """Steer traffic: publish configurations and look at how things stand."""

    command: cappa.Subcommands[
        Check
        | Diff
        | Apply
        | Show
        | History
        | Revert
        | DrainCommand
        | Undrain
        | ShiftCommand
        | Unshift
        | Status
        | Explain
        | Report
        | Schema
        | Completion
    ]
    store: Annotated[
        str,
        cappa.Arg(
            long=True,
            propagate=True,
            default=cappa.Env("GOOSEBERRYPORT_STORE", default=""),
            help="IP:port of the key-value service",
        ),
    ] = ""
    daemon: Annotated[
        str,
        cappa.Arg(
            long=True,
            propagate=True,
            default=cappa.Env("GOOSEBERRYPORT_DAEMON", default=""),
            help="IP:port of the callers' port of any daemon, or several with commas",
        ),
    ] = ""
    author: Annotated[
        str,
        cappa.Arg(
            long=True,
            propagate=True,
            default=cappa.Env("GOOSEBERRYPORT_AUTHOR", "USER", default=""),
            help="Who publishes, for the history",
        ),
    ] = ""
    as_json: Annotated[
        bool, cappa.Arg(long="--json", propagate=True, help="Print JSON for programs")
    ] = False


def main(
    argv: Sequence[str] | None = None,
    *,
    environment: Environment | None = None,
    out: TextIO | None = None,
    err: TextIO | None = None,
) -> int:
    """Run the command line.

    Parameters
    ----------
    argv
        Arguments after the program's name; the process's own if absent.
    environment
        The store, daemons, folders and clocks; the real ones if absent.
    out, err
        Where results and messages go; the standard streams if absent.

    Returns
    -------
    int
        0 done, 1 failed, 2 wrong use, 3 conflict with another operator.
    """
    out_console = _console(out or sys.stdout)
    err_console = _console(err or sys.stderr)
    output = cappa.Output(output_console=out_console, error_console=err_console)
    words = list(sys.argv[1:] if argv is None else argv)
    try:
        root = cappa.parse(_Root, argv=words, output=output)
    except cappa.Exit as exc:
        return int(exc.code or 0)
    options = Options(root.store, root.daemon, root.author, root.as_json)
    ctx = Context(
        options=options,
        environment=environment or SystemEnvironment(),
        out=out_console,
        err=err_console,
    )
    try:
        root.command.run(ctx)
    except CommandError as exc:
        ctx.warn(f"error: {exc}")
        return exc.code
    except KeyboardInterrupt:
        ctx.warn("interrupted; `gooseberryport history` tells whether anything was published")
        return INTERRUPTED
    return ExitCode.DONE


def _console(file: TextIO) -> Console:
    if file.isatty():
        return Console(file=file, theme=cappa.output.theme)
    return Console(file=file, theme=cappa.output.theme, width=PLAIN_WIDTH, no_color=True)
