"""Commands that create reports for operators."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Annotated

import cappa
from rich.table import Table
from rich.text import Text

from gooseberryport_cli.burn_page import format_window, render_page
from gooseberryport_cli.context import Context
from gooseberryport_cli.errors import StoredValueInvalidError
from gooseberryport_cli.tables import make_table
from gooseberryport_cli.times import format_age
from gooseberryport_core.burn import (
    BURN_PREFIX,
    BurnHistory,
    BurnLine,
    BurnWindow,
    burn_lines,
    decode_burn_record,
)
from gooseberryport_core.types import RegionName


@dataclass
class Burn:
    """Show the error budget burn rate of each service, by region and window."""

    html: Annotated[
        str, cappa.Arg(long=True, value_name="FILE", help="Also write an HTML page with plots")
    ] = ""

    def run(self, ctx: Context) -> None:
        """Run the command."""
        with ctx.publisher() as publisher:
            head = publisher.head()
            cfg = publisher.config(head)
            values = publisher.values(BURN_PREFIX)
        wall_time = ctx.environment.wall_time()
        histories = _decode_histories(values)
        lines = burn_lines(cfg, histories, wall_time)
        if self.html:
            ctx.environment.write_file(self.html, render_page(cfg, lines, histories, wall_time))
        notes = [] if lines else [Text("nothing was counted yet")]
        ctx.show(lines, _burn_table(lines), *notes)


@dataclass
class Report:
    """Create a report."""

    command: cappa.Subcommands[Burn]

    def run(self, ctx: Context) -> None:
        """Run the selected report command."""
        self.command.run(ctx)


def _decode_histories(values: Mapping[str, bytes]) -> dict[RegionName, BurnHistory]:
    histories = {}
    for key, value in values.items():
        try:
            record = decode_burn_record(value)
            histories[record.region] = BurnHistory.decode(record.history)
        except ValueError as exc:
            raise StoredValueInvalidError(key=key, detail=str(exc)) from exc
    return histories


def _burn_table(lines: tuple[BurnLine, ...]) -> Table:
    windows = [format_window(window.window_s) for window in lines[0].windows] if lines else []
    columns = ("SERVICE", "REGION", "OBJECTIVE", "TARGET", *windows, "AGE", "ASKS FOR")
    table = make_table("Burn rate (1 uses exactly the error budget)", *columns)
    for line in lines:
        rates = [_format_rate(window) for window in line.windows]
        target = f"{line.target:.2%}"
        severity = line.severity.value
        table.add_row(
            line.service,
            line.region,
            line.objective.value,
            target,
            *rates,
            format_age(line.age_s),
            severity,
        )
    return table


def _format_rate(window: BurnWindow) -> str:
    if not window.total:
        return "-"
    marker = "" if window.covered_s >= 0.9 * window.window_s else "*"
    return f"{window.rate:.2f}{marker}"
