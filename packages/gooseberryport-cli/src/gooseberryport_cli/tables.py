"""Tables for people."""

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
    """Return an empty table."""
    table = Table(title=title, title_justify="left", box=None, pad_edge=False, min_width=len(title))
    for column in columns:
        table.add_column(column, overflow="fold")
    return table


def problems_table(problems: Iterable[ConfigProblem]) -> Table:
    """Return the problems of a configuration."""
    table = make_table("Problems", "", "FILE", "FIELD", "VALUE", "WHAT", "REMEDY")
    for each in problems:
        table.add_row(
            each.severity.value, each.file, each.field, each.value, each.message, each.remedy
        )
    return table


def changes_table(title: str, files: Iterable[FileChange]) -> Table:
    """Return which files change."""
    table = make_table(title, "", "FILE")
    for each in files:
        table.add_row(sign_of(each), each.file)
    return table


def sign_of(change: FileChange) -> str:
    """Return ``+``, ``-`` or ``~`` for a file that is added, deleted or changed."""
    if change.before is None:
        return "+"
    return "-" if change.after is None else "~"


def history_table(changes: Iterable[Change]) -> Table:
    """Return the history, a line for each version."""
    table = make_table("History", "VERSION", "WHEN", "WHO", "FILES", "NOTE")
    for change in changes:
        files = " ".join(f"{sign_of(each)}{each.file}" for each in change.files)
        table.add_row(
            str(change.version), format_time(change.at), change.author, files, change.note
        )
    return table


def head_table(head: Head) -> Table:
    """Return the files of the newest version."""
    title = f"Version {head.version}"
    if head.change:
        title += f" by {head.change.author} at {format_time(head.change.at)}"
    table = make_table(title, "FILE", "DIGEST")
    for name, entry in head.files.items():
        table.add_row(name, entry.digest[:12])
    return table


def diff_text(name: str, before: bytes, after: bytes) -> Text:
    """Return how a file changes, line by line."""
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
    """Return what a daemon knows of the system."""
    return (
        _regions_table(page),
        _pools_table(page),
        _links_table(page),
        _vms_table(page),
        _drains_table(page),
    )


def _regions_table(page: StatusPage) -> Table:
    title = f"Regions, version {page.version} as {page.vm} knows it"
    table = make_table(title, "REGION", "CAP", "SLOTS", "BUSY", "WAITING", "HEADROOM", "AGE")
    for each in page.regions:
        figures = (each.cap, each.slots, each.busy, each.queued, each.headroom)
        table.add_row(each.region, *map(str, figures), format_age(each.age_s))
    return table


def _pools_table(page: StatusPage) -> Table:
    columns = ("SERVICE", "ZONE", "OWNER", "EPOCH", "SLOTS", "BUSY", "WAITING", "AGE")
    table = make_table("Upstreams by service and zone", *columns)
    for each in page.pools:
        zone = f"{each.zone}#{each.shard}" if each.shard else each.zone
        slots = f"{each.slots}/{each.configured_slots}"
        figures = (slots, str(each.busy), str(each.queued), format_age(each.age_s))
        table.add_row(each.service, zone, each.owner or "none", str(each.epoch), *figures)
    return table


def _links_table(page: StatusPage) -> Table:
    table = make_table("Links", "LINK", "LIMIT Mbit/s", "USABLE", "USED", "AGE")
    for each in page.links:
        used = "-" if each.used_mbit_s < 0 else f"{each.used_mbit_s:.1f}"
        usable = f"{each.usable_mbit_s:.0f}"
        table.add_row(each.name, f"{each.limit_mbit_s:.0f}", usable, used, format_age(each.age_s))
    return table


def _vms_table(page: StatusPage) -> Table:
    table = make_table("VMs", "VM", "REGION", "ZONE", "STATE", "VERSION", "AGE")
    for each in page.vms:
        version, age = str(each.config_version), format_age(each.age_s)
        table.add_row(each.vm, each.region, each.zone, each.state.value, version, age)
    return table


def _drains_table(page: StatusPage) -> Table:
    table = make_table("Drains", "DRAIN", "WHAT", "SERVICE", "START", "TAKEN AWAY")
    for each in page.drains:
        service = each.service or "all"
        table.add_row(each.name, each.what, service, format_time(each.start), f"{each.share:.0%}")
    return table


def explanation_tables(found: Explanation) -> tuple[Table, ...]:
    """Return how a client's request would be steered."""
    place = make_table("Client", "CLIENT", "BLOCK", "HOME", "SERVED IN", "SHIFT", "ENTRY VMS")
    entries = " ".join(found.entries)
    rule = found.rule or "none"
    place.add_row(found.client, found.block, found.home, found.region, rule, entries)
    pools = make_table(f"Candidates for {found.service}", "TRY", "ZONE", "REGION", "OWNER", "WHY")
    for each in found.candidates:
        rank = str(each.rank) if each.rank else "-"
        pools.add_row(rank, each.zone, each.region, each.owner or "none", each.reason)
    return (place, pools)
