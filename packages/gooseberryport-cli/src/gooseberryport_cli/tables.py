"""Renders results as tables for the terminal."""

from __future__ import annotations

import difflib
from collections.abc import Iterable

from rich.table import Table
from rich.text import Text

from gooseberryport_cli.times import format_age, format_time
from gooseberryport_core.config_files import ConfigProblem
from gooseberryport_core.config_store import Change, FileChange, Head
from gooseberryport_core.status import Explanation, StatusPage


def make_table(title: str, *columns: str) -> Table:
    """Return a table with a title and columns, and no rows."""
    table = Table(title=title, title_justify="left", box=None, pad_edge=False, min_width=len(title))
    for column in columns:
        table.add_column(column, overflow="fold")
    return table


def problems_table(problems: Iterable[ConfigProblem]) -> Table:
    """Return a table of the problems of a configuration."""
    table = make_table("Problems", "", "FILE", "FIELD", "VALUE", "WHAT", "REMEDY")
    for problem in problems:
        table.add_row(
            problem.severity.value,
            problem.file,
            problem.field,
            problem.value,
            problem.message,
            problem.remedy,
        )
    return table


def changes_table(title: str, files: Iterable[FileChange]) -> Table:
    """Return a table of the files that change."""
    table = make_table(title, "", "FILE")
    for change in files:
        table.add_row(change_sign(change), change.file)
    return table


def change_sign(change: FileChange) -> str:
    """Return ``+``, ``-`` or ``~`` for a file that is added, deleted or changed."""
    if change.before is None:
        return "+"
    return "-" if change.after is None else "~"


def history_table(changes: Iterable[Change]) -> Table:
    """Return a table of the history with one row for each version."""
    table = make_table("History", "VERSION", "WHEN", "WHO", "FILES", "NOTE")
    for change in changes:
        files = " ".join(f"{change_sign(file)}{file.file}" for file in change.files)
        table.add_row(
            str(change.version), format_time(change.at), change.author, files, change.note
        )
    return table


def head_table(head: Head) -> Table:
    """Return a table of the files of the newest version."""
    title = f"Version {head.version}"
    if head.change:
        title += f" by {head.change.author} at {format_time(head.change.at)}"
    table = make_table(title, "FILE", "DIGEST")
    for name, entry in head.files.items():
        table.add_row(name, entry.digest[:12])
    return table


def diff_text(name: str, before: bytes, after: bytes) -> Text:
    """Return the coloured unified diff of a file."""
    lines = difflib.unified_diff(
        before.decode(errors="replace").splitlines(),
        after.decode(errors="replace").splitlines(),
        f"published/{name}",
        f"folder/{name}",
        lineterm="",
    )
    styles = {"+": "green", "-": "red", "@": "cyan"}
    return Text("\n").join(Text(line, style=styles.get(line[:1], "")) for line in lines)


def status_tables(page: StatusPage) -> tuple[Table, ...]:
    """Return the tables of a daemon's view of the system."""
    return (
        _regions_table(page),
        _pools_table(page),
        _links_table(page),
        _vms_table(page),
        _drains_table(page),
    )


def _regions_table(page: StatusPage) -> Table:
    title = f"Regions, version {page.version} as seen by {page.vm}"
    table = make_table(title, "REGION", "CAP", "SLOTS", "BUSY", "WAITING", "HEADROOM", "AGE")
    for region in page.regions:
        figures = (region.cap, region.slots, region.busy, region.queued, region.headroom)
        table.add_row(region.region, *map(str, figures), format_age(region.age_s))
    return table


def _pools_table(page: StatusPage) -> Table:
    columns = ("SERVICE", "ZONE", "OWNER", "EPOCH", "SLOTS", "BUSY", "WAITING", "AGE")
    table = make_table("Upstreams by service and zone", *columns)
    for pool in page.pools:
        zone = f"{pool.zone}#{pool.shard}" if pool.shard else pool.zone
        slots = f"{pool.slots}/{pool.configured_slots}"
        figures = (slots, str(pool.busy), str(pool.queued), format_age(pool.age_s))
        table.add_row(pool.service, zone, pool.owner or "none", str(pool.epoch), *figures)
    return table


def _links_table(page: StatusPage) -> Table:
    table = make_table("Links", "LINK", "LIMIT Mbit/s", "USABLE", "USED", "AGE")
    for link in page.links:
        used = "-" if link.used_mbit_s < 0 else f"{link.used_mbit_s:.1f}"
        usable = f"{link.usable_mbit_s:.0f}"
        table.add_row(link.name, f"{link.limit_mbit_s:.0f}", usable, used, format_age(link.age_s))
    return table


def _vms_table(page: StatusPage) -> Table:
    table = make_table("VMs", "VM", "REGION", "ZONE", "STATE", "VERSION", "AGE")
    for vm in page.vms:
        version, age = str(vm.config_version), format_age(vm.age_s)
        table.add_row(vm.vm, vm.region, vm.zone, vm.state.value, version, age)
    return table


def _drains_table(page: StatusPage) -> Table:
    table = make_table("Drains", "DRAIN", "WHAT", "SERVICE", "START", "TAKEN AWAY")
    for drain in page.drains:
        service = drain.service or "all"
        table.add_row(
            drain.name, drain.what, service, format_time(drain.start), f"{drain.share:.0%}"
        )
    return table


def explanation_tables(explanation: Explanation) -> tuple[Table, ...]:
    """Return the tables that explain where a request of a client would be sent."""
    client = make_table("Client", "CLIENT", "BLOCK", "HOME", "SERVED IN", "SHIFT", "ENTRY VMS")
    entries = " ".join(explanation.entries)
    rule = explanation.rule or "none"
    client.add_row(
        explanation.client, explanation.block, explanation.home, explanation.region, rule, entries
    )
    pools = make_table(
        f"Candidates for {explanation.service}", "TRY", "ZONE", "REGION", "OWNER", "WHY"
    )
    for candidate in explanation.candidates:
        rank = str(candidate.rank) if candidate.rank else "-"
        pools.add_row(
            rank, candidate.zone, candidate.region, candidate.owner or "none", candidate.reason
        )
    return (client, pools)
