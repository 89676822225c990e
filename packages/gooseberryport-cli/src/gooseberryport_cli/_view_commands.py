"""Commands that show how things stand."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated

import cappa
from cappa.completion.shells import available_shells

from gooseberryport_cli.context import Context
from gooseberryport_cli.daemon_client import with_total_link_usage
from gooseberryport_cli.errors import UsageError
from gooseberryport_cli.tables import explanation_tables, status_tables

PROGRAM = "gooseberryport"


@dataclass
class Status:
    """Show regions, links, upstreams, VMs and drains, with the age of each figure."""

    def run(self, ctx: Context) -> None:
        """Run the command."""
        daemon_client = ctx.daemon_client()
        page = daemon_client.status()
        addresses = [vm.http_address for vm in page.vms if vm.http_address]
        page = with_total_link_usage(page, daemon_client.status_pages(addresses))
        ctx.show(page, *status_tables(page))


@dataclass
class Explain:
    """Show where one client's request would go, and why not elsewhere."""

    service: Annotated[str, cappa.Arg(value_name="SERVICE", help="Service that is asked for")]
    client: Annotated[str, cappa.Arg(value_name="CLIENT", help="IP address of the client")]

    def run(self, ctx: Context) -> None:
        """Run the command."""
        found = ctx.daemon_client().explain(self.service, self.client)
        ctx.show(found, *explanation_tables(found))


@dataclass
class Completion:
    """Print the completion script of a shell."""

    shell: Annotated[str, cappa.Arg(value_name="SHELL", help="bash, zsh or fish")] = "bash"

    def run(self, ctx: Context) -> None:
        """Run the command."""
        shell = available_shells.get(self.shell)
        if shell is None:
            remedy = f"use one of {', '.join(sorted(available_shells))}"
            raise UsageError(message=f"unknown shell {self.shell!r}", remedy=remedy)
        arg: cappa.Arg[bool] = cappa.Arg(long=["--completion"])
        ctx.show_text(shell.backend_template(PROGRAM, arg))
