"""Options and steps that all publishing commands share."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Annotated

import cappa
import msgspec
from rich.text import Text

from gooseberryport_cli.context import Context
from gooseberryport_cli.errors import UsageError
from gooseberryport_cli.in_force import wait_until_in_force
from gooseberryport_cli.publishing import Publisher
from gooseberryport_cli.tables import changes_table
from gooseberryport_core.config_store import Draft, FileChange
from gooseberryport_core.types import ConfigVersion

DEFAULT_WAIT_S = 30.0


class PublishReport(msgspec.Struct, frozen=True):
    """The result of a command that publishes.

    Parameters
    ----------
    version
        The version that was published or, in a dry run, would be; the newest version if nothing
        changes.
    published
        Whether a version was published.
    in_force
        Whether the version was observed in force in every daemon; None if no daemon was queried.
    files
        The files that the version changes.
    """

    version: ConfigVersion
    published: bool
    in_force: bool | None
    files: tuple[FileChange, ...]


@dataclass(kw_only=True)
class PublishOptions:
    """Options of a publishing command."""

    dry_run: Annotated[
        bool, cappa.Arg(long=True, help="Check and compare, but publish nothing")
    ] = False
    note: Annotated[str, cappa.Arg(long=True, help="Reason, for the history")] = ""
    wait: Annotated[
        float,
        cappa.Arg(
            long=True, help="Maximum seconds to wait until the version is in force; 0 to not wait"
        ),
    ] = DEFAULT_WAIT_S


def publish_draft(
    ctx: Context,
    publisher: Publisher,
    options: PublishOptions,
    edits: Mapping[str, bytes | None],
    base: ConfigVersion,
    note: str,
) -> ConfigVersion:
    """Publish edits of files, wait until the version is in force and show the result.

    Parameters
    ----------
    edits
        New content by file name; None deletes the file.
    base
        Version that the edits are based on.
    note
        Note for the history if the operator gave none.

    Returns
    -------
    ConfigVersion
        The version that holds the edits.
    """
    draft = Draft(
        files=dict(edits),
        author=_author(ctx),
        note=options.note or note,
        at=ctx.environment.wall_time(),
        token=ctx.environment.token(),
    )
    planned = publisher.plan(draft, base) if options.dry_run else publisher.publish(draft, base)
    change = planned.change
    if not change.files:
        version = ConfigVersion(change.version - 1)
        report = PublishReport(version, False, None, ())
        ctx.show(report, Text(f"version {version} already has this content, nothing to change"))
        return version
    if options.dry_run:
        title = f"Version {change.version} would change (nothing was published)"
        report = PublishReport(change.version, False, None, change.files)
        ctx.show(report, changes_table(title, change.files))
        return change.version
    in_force = _wait_if_requested(ctx, change.version, options.wait)
    suffix = " and in force in every daemon" if in_force else ", did not wait until it is in force"
    report = PublishReport(change.version, True, in_force, change.files)
    title = f"Version {change.version} is published{suffix}"
    ctx.show(report, changes_table(title, change.files))
    return change.version


def _author(ctx: Context) -> str:
    if not ctx.options.author:
        remedy = "give --author or set GOOSEBERRYPORT_AUTHOR"
        raise UsageError(message="no author was given", remedy=remedy)
    return ctx.options.author


def _wait_if_requested(ctx: Context, version: ConfigVersion, wait_s: float) -> bool | None:
    if wait_s <= 0 or not ctx.has_daemon:
        return None
    wait_until_in_force(ctx, version, wait_s)
    return True
