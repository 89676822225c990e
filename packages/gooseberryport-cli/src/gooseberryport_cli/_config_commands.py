"""Commands on the whole configuration."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated

import cappa
import msgspec
from rich.text import Text

from gooseberryport_cli._publish_options import PublishOptions, publish_draft
from gooseberryport_cli.context import Context
from gooseberryport_cli.errors import BaseUnknownError, CheckFailedError, UsageError
from gooseberryport_cli.publishing import Publisher
from gooseberryport_cli.tables import (
    changes_table,
    diff_text,
    head_table,
    history_table,
    problems_table,
)
from gooseberryport_core.config import Config
from gooseberryport_core.config_files import (
    CheckedConfig,
    ConfigProblem,
    check_files,
    config_schema,
)
from gooseberryport_core.config_store import (
    Change,
    FileChange,
    FileEntry,
    Head,
    entries_before,
    entry_of,
    reverted_entries,
)
from gooseberryport_core.types import ConfigVersion

FolderPath = Annotated[str, cappa.Arg(value_name="DIR", help="Folder of JSON files")]
Base = Annotated[
    int | None,
    cappa.Arg(long=True, help="Version that the folder was made from, if it does not tell itself"),
]


class CheckReport(msgspec.Struct, frozen=True):
    """The result of `check`."""

    valid: bool
    problems: tuple[ConfigProblem, ...]


class DiffReport(msgspec.Struct, frozen=True):
    """The result of `diff`."""

    version: ConfigVersion
    files: tuple[FileChange, ...]


@dataclass
class Check:
    """Check a folder and tell every error and warning; nothing is published."""

    folder: FolderPath

    def run(self, ctx: Context) -> None:
        """Run the command; raises `CheckFailedError` after the errors were shown."""
        checked = check_files(ctx.environment.folder(self.folder).read())
        report = CheckReport(checked.cfg is not None, checked.problems)
        tables = [problems_table(checked.problems)] if checked.problems else []
        ctx.show(report, *tables, Text(_summary(checked)))
        if checked.cfg is None:
            raise CheckFailedError(count=len(checked.errors))


def _summary(checked: CheckedConfig) -> str:
    cfg = checked.cfg
    if cfg is None:
        return "not valid"
    parts = f"{len(cfg.regions)} regions, {len(cfg.services)} services"
    return f"valid: {parts}, {len(cfg.upstreams)} upstreams, {len(checked.warnings)} warnings"


@dataclass
class Diff:
    """Show what `apply` would change, file by file."""

    folder: FolderPath
    base: Base = None

    def run(self, ctx: Context) -> None:
        """Run the command."""
        with ctx.publisher() as publisher:
            head = publisher.head()
            edits, _ = _edits_of(ctx, publisher, head, self.folder, self.base, True)
            files = tuple(
                FileChange(name, head.files.get(name), _entry_or_none(content))
                for name, content in sorted(edits.items())
                if head.files.get(name) != _entry_or_none(content)
            )
            texts = [
                diff_text(
                    each.file,
                    publisher.content(each.before) if each.before else b"",
                    edits[each.file] or b"",
                )
                for each in files
            ]
        title = f"Against version {head.version}" if files else "Nothing to change"
        ctx.show(DiffReport(head.version, files), changes_table(title, files), *texts)


@dataclass
class Apply(PublishOptions):
    """Check a folder, publish it as the next version and wait until it is in force."""

    folder: FolderPath
    base: Base = None
    overwrite: Annotated[
        bool, cappa.Arg(long=True, help="Take the folder's side where nobody can tell who is newer")
    ] = False

    def run(self, ctx: Context) -> None:
        """Run the command."""
        folder = ctx.environment.folder(self.folder)
        checked = check_files(folder.read())
        for warning in checked.warnings:
            ctx.warn(f"warning: {warning}")
        with ctx.publisher() as publisher:
            head = publisher.head()
            edits, base = _edits_of(ctx, publisher, head, self.folder, self.base, self.overwrite)
            version = publish_draft(ctx, publisher, self, edits, base, "apply")
        if not self.dry_run:
            folder.record_base(version)


def _edits_of(
    ctx: Context,
    publisher: Publisher,
    head: Head,
    path: str,
    base_option: int | None,
    overwrite: bool,
) -> tuple[dict[str, bytes | None], ConfigVersion]:
    """Return what a folder changes, by file, and the version that it was made from."""
    folder = ctx.environment.folder(path)
    files = folder.read()
    base = ConfigVersion(base_option) if base_option is not None else folder.base()
    if base is not None and base > head.version:
        remedy = f"the newest version is {head.version}: give --base"
        raise UsageError(message=f"{path} was made from version {base}", remedy=remedy)
    if base is None:
        return _edits_without_base(files, head, overwrite), head.version
    before = entries_before(head, publisher.changes(head, base))
    edits: dict[str, bytes | None] = {
        name: content for name, content in files.items() if before.get(name) != entry_of(content)
    }
    edits.update({name: None for name in before if name not in files})
    return edits, base


def _edits_without_base(
    files: dict[str, bytes], head: Head, overwrite: bool
) -> dict[str, bytes | None]:
    edits: dict[str, bytes | None] = {
        name: content
        for name, content in files.items()
        if head.files.get(name) != entry_of(content)
    }
    unclear = sorted(name for name in edits if name in head.files)
    if unclear and not overwrite:
        raise BaseUnknownError(files=unclear, version=head.version)
    return edits


def _entry_or_none(content: bytes | None) -> FileEntry | None:
    return entry_of(content) if content is not None else None


@dataclass
class Show:
    """Show the newest version: its files, one file, or everything merged."""

    file: Annotated[str, cappa.Arg(value_name="FILE", help="Show this file's content")] = ""
    merged: Annotated[bool, cappa.Arg(long=True, help="Show the merged configuration")] = False
    save: Annotated[
        str, cappa.Arg(long=True, value_name="DIR", help="Make this folder hold the newest version")
    ] = ""

    def run(self, ctx: Context) -> None:
        """Run the command."""
        with ctx.publisher() as publisher:
            head = publisher.head()
            if self.file:
                ctx.show_text(self._content(publisher, head).decode(errors="replace"))
                return
            files = publisher.files(head.files) if self.merged or self.save else {}
        if self.save:
            folder = ctx.environment.folder(self.save)
            folder.write(files)
            folder.record_base(head.version)
        if self.merged:
            ctx.show_text(_merged_text(files, head.version))
            return
        ctx.show(head, head_table(head))

    def _content(self, publisher: Publisher, head: Head) -> bytes:
        if self.file not in head.files:
            names = ", ".join(head.files) or "none yet"
            raise UsageError(message=f"no file {self.file}", remedy=f"the files are: {names}")
        return publisher.content(head.files[self.file])


def _merged_text(files: dict[str, bytes], version: ConfigVersion) -> str:
    cfg = check_files(files, version).cfg or Config(version=version)
    return msgspec.json.format(msgspec.json.encode(cfg), indent=2).decode()


@dataclass
class History:
    """Show who changed which files, newest first."""

    limit: Annotated[int, cappa.Arg(long=True, help="Most versions to show")] = 20

    def run(self, ctx: Context) -> None:
        """Run the command."""
        with ctx.publisher() as publisher:
            head = publisher.head()
            after = ConfigVersion(max(head.version - self.limit, 0))
            changes: tuple[Change, ...] = publisher.changes(head, after)
        ctx.show(changes, history_table(changes))


@dataclass
class Revert(PublishOptions):
    """Undo what one version changed, as a new version; other files stay as they are."""

    version: Annotated[int, cappa.Arg(value_name="VERSION", help="Version to undo")]

    def run(self, ctx: Context) -> None:
        """Run the command."""
        with ctx.publisher() as publisher:
            head = publisher.head()
            version = ConfigVersion(self.version)
            entries = reverted_entries(publisher.change(head, version))
            edits = {
                name: publisher.content(entry) if entry else None for name, entry in entries.items()
            }
            publish_draft(ctx, publisher, self, edits, version, f"revert version {version}")


@dataclass
class Schema:
    """Print the JSON Schema of configuration files."""

    def run(self, ctx: Context) -> None:
        """Run the command."""
        ctx.show_text(msgspec.json.format(msgspec.json.encode(config_schema()), indent=2).decode())
