"""Commands that check, publish and show the whole configuration."""

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
    make_file_entry,
    reverted_entries,
)
from gooseberryport_core.types import ConfigVersion

FolderPath = Annotated[str, cappa.Arg(value_name="DIR", help="Folder of JSON files")]
BaseVersion = Annotated[
    int | None,
    cappa.Arg(
        long=True, help="Version that the folder is based on, if the folder does not record it"
    ),
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
    """Check a folder or file and show all errors and warnings, without publishing."""

    folder: Annotated[
        str,
        cappa.Arg(value_name="DIR", help="Folder of JSON files, one file, or - (standard input)"),
    ]

    def run(self, ctx: Context) -> None:
        """Run the command; raises `CheckFailedError` after it has shown the errors."""
        checked = check_files(ctx.environment.read_files(self.folder))
        report = CheckReport(checked.cfg is not None, checked.problems)
        tables = [problems_table(checked.problems)] if checked.problems else []
        ctx.show(report, *tables, Text(_check_summary(checked)))
        if checked.cfg is None:
            raise CheckFailedError(count=len(checked.errors))


def _check_summary(checked: CheckedConfig) -> str:
    cfg = checked.cfg
    if cfg is None:
        return "not valid"
    parts = f"{len(cfg.regions)} regions, {len(cfg.services)} services"
    return f"valid: {parts}, {len(cfg.upstreams)} upstreams, {len(checked.warnings)} warnings"


@dataclass
class Diff:
    """Show what `apply` would change, file by file."""

    folder: FolderPath
    base: BaseVersion = None

    def run(self, ctx: Context) -> None:
        """Run the command."""
        with ctx.publisher() as publisher:
            head = publisher.head()
            edits, _ = _read_edits(ctx, publisher, head, self.folder, self.base, True)
            files = tuple(
                FileChange(name, head.files.get(name), _entry_or_none(content))
                for name, content in sorted(edits.items())
                if head.files.get(name) != _entry_or_none(content)
            )
            texts = [
                diff_text(
                    change.file,
                    publisher.content(change.before) if change.before else b"",
                    edits[change.file] or b"",
                )
                for change in files
            ]
        title = f"Against version {head.version}" if files else "Nothing to change"
        ctx.show(DiffReport(head.version, files), changes_table(title, files), *texts)


@dataclass
class Apply(PublishOptions):
    """Check a folder, publish it as the next version and wait until it is in force."""

    folder: FolderPath
    base: BaseVersion = None
    overwrite: Annotated[
        bool,
        cappa.Arg(
            long=True,
            help="Use the folder's version of files where it is unknown which version is newer",
        ),
    ] = False

    def run(self, ctx: Context) -> None:
        """Run the command."""
        folder = ctx.environment.folder(self.folder)
        checked = check_files(folder.read())
        for warning in checked.warnings:
            ctx.warn(f"warning: {warning}")
        with ctx.publisher() as publisher:
            head = publisher.head()
            edits, base = _read_edits(ctx, publisher, head, self.folder, self.base, self.overwrite)
            version = publish_draft(ctx, publisher, self, edits, base, "apply")
        if not self.dry_run:
            folder.record_base(version)


def _read_edits(
    ctx: Context,
    publisher: Publisher,
    head: Head,
    path: str,
    base_option: int | None,
    overwrite: bool,
) -> tuple[dict[str, bytes | None], ConfigVersion]:
    """Return the edits in a folder by file name, and the version that the folder is based on."""
    folder = ctx.environment.folder(path)
    files = folder.read()
    base = ConfigVersion(base_option) if base_option is not None else folder.base()
    if base is not None and base > head.version:
        remedy = f"the newest version is {head.version}: give the version with --base"
        raise UsageError(
            message=f"{path} is based on version {base}, which does not exist", remedy=remedy
        )
    if base is None:
        return _edits_without_base(files, head, overwrite), head.version
    before = entries_before(head, publisher.changes(head, base))
    edits: dict[str, bytes | None] = {
        name: content
        for name, content in files.items()
        if before.get(name) != make_file_entry(content)
    }
    edits.update({name: None for name in before if name not in files})
    return edits, base


def _edits_without_base(
    files: dict[str, bytes], head: Head, overwrite: bool
) -> dict[str, bytes | None]:
    edits: dict[str, bytes | None] = {
        name: content
        for name, content in files.items()
        if head.files.get(name) != make_file_entry(content)
    }
    ambiguous = sorted(name for name in edits if name in head.files)
    if ambiguous and not overwrite:
        raise BaseUnknownError(files=ambiguous, version=head.version)
    return edits


def _entry_or_none(content: bytes | None) -> FileEntry | None:
    return make_file_entry(content) if content is not None else None


@dataclass
class Show:
    """Show the newest version: its files, one file, or the merged configuration."""

    file: Annotated[str, cappa.Arg(value_name="FILE", help="Show this file's content")] = ""
    merged: Annotated[bool, cappa.Arg(long=True, help="Show the merged configuration")] = False
    save: Annotated[
        str, cappa.Arg(long=True, value_name="DIR", help="Write the newest version to this folder")
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
    """Show who changed which files, newest version first."""

    limit: Annotated[int, cappa.Arg(long=True, help="Maximum number of versions to show")] = 20

    def run(self, ctx: Context) -> None:
        """Run the command."""
        with ctx.publisher() as publisher:
            head = publisher.head()
            after = ConfigVersion(max(head.version - self.limit, 0))
            changes: tuple[Change, ...] = publisher.changes(head, after)
        ctx.show(changes, history_table(changes))


@dataclass
class Revert(PublishOptions):
    """Undo the changes of one version in a new version; other files stay unchanged."""

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
