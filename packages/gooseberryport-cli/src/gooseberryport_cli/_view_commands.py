"""Commands that show the current state, and the shell completion script."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated

import cappa
from cappa.completion.shells import available_shells

from gooseberryport_cli.context import Context
from gooseberryport_cli.daemon_client import with_total_link_usage
from gooseberryport_cli.errors import UsageError
from gooseberryport_cli.tables import explanation_tables, status_tables

PROGRAM_NAME = "gooseberryport"


@dataclass
class Status:
    """Show regions, links, upstreams, VMs and drains, with the age of each value."""

    def run(self, ctx: Context) -> None:
        """Run the command."""
        daemon_client = ctx.daemon_client()
        status_page = daemon_client.status()
        addresses = [vm.http_address for vm in status_page.vms if vm.http_address]
        status_page = with_total_link_usage(status_page, daemon_client.status_pages(addresses))
        ctx.show(status_page, *status_tables(status_page))


@dataclass
class Explain:
    """Show where a request of a client would be sent, and why not elsewhere."""

    service: Annotated[str, cappa.Arg(value_name="SERVICE", help="Requested service")]
    client: Annotated[str, cappa.Arg(value_name="CLIENT", help="IP address of the client")]

    def run(self, ctx: Context) -> None:
        """Run the command."""
        explanation = ctx.daemon_client().explain(self.service, self.client)
        ctx.show(explanation, *explanation_tables(explanation))


@dataclass
class Completion:
    """Print a shell completion script."""

    shell: Annotated[str, cappa.Arg(value_name="SHELL", help="bash, zsh or fish")] = "bash"

    def run(self, ctx: Context) -> None:
        """Run the command."""
        shell = available_shells.get(self.shell)
        if shell is None:
            remedy = f"use one of {', '.join(sorted(available_shells))}"
            raise UsageError(message=f"unknown shell {self.shell!r}", remedy=remedy)
        arg: cappa.Arg[bool] = cappa.Arg(long=["--completion"])
        ctx.show_text(shell.backend_template(PROGRAM_NAME, arg))
