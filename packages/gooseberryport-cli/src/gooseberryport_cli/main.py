"""Entry point of `gooseberryport`: parses the command line, runs a command and prints errors."""

from __future__ import annotations

import io
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
from gooseberryport_cli._view_commands import PROGRAM_NAME, Completion, Explain, Status
from gooseberryport_cli.context import Context, Options
from gooseberryport_cli.environment import Environment, SystemEnvironment
from gooseberryport_cli.errors import CommandError, ExitCode

NON_TERMINAL_WIDTH = 160
"""Width in columns of output that is not written to a terminal."""

INTERRUPTED_EXIT_CODE = 130


@cappa.command(name=PROGRAM_NAME)
@dataclass
class _Root:
    """Steer traffic: publish configurations and show the current state."""

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
            help="IP:port of the key-value store",
        ),
    ] = ""
    daemon: Annotated[
        str,
        cappa.Arg(
            long=True,
            propagate=True,
            default=cappa.Env("GOOSEBERRYPORT_DAEMON", default=""),
            help="IP:port of any daemon's HTTP port for callers, or several separated by commas",
        ),
    ] = ""
    author: Annotated[
        str,
        cappa.Arg(
            long=True,
            propagate=True,
            default=cappa.Env("GOOSEBERRYPORT_AUTHOR", "USER", default=""),
            help="Author of published versions, for the history",
        ),
    ] = ""
    as_json: Annotated[
        bool, cappa.Arg(long="--json", propagate=True, help="Print the result as JSON")
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
        Arguments without the program name; those of the process if absent.
    environment
        Access to the store, daemons, folders and clocks; that of this machine if absent.
    out, err
        Streams for results and messages; the standard streams if absent.

    Returns
    -------
    int
        Exit code: 0 done, 1 failed, 2 invalid usage, 3 conflict with another operator.
    """
    out_console = _open_console(out or sys.stdout)
    err_console = _open_console(err or sys.stderr)
    output = cappa.Output(output_console=out_console, error_console=err_console)
    arguments = list(sys.argv[1:] if argv is None else argv)
    try:
        root = cappa.parse(_Root, argv=arguments, output=output)
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
        ctx.warn("interrupted; `gooseberryport history` shows whether anything was published")
        return INTERRUPTED_EXIT_CODE
    return ExitCode.DONE


def _open_console(file: TextIO) -> Console:
    if isinstance(file, io.TextIOWrapper):
        # A value of a configuration that no encoding has, such as half a surrogate pair.
        file.reconfigure(errors="backslashreplace")
    if file.isatty():
        return Console(file=file, theme=cappa.output.theme)
    return Console(file=file, theme=cappa.output.theme, width=NON_TERMINAL_WIDTH, no_color=True)
