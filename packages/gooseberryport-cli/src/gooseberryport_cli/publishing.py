"""Reads and publishes configurations in the key-value store."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TypeVar

import msgspec
from returns.result import Failure, Result

from gooseberryport_cli.errors import (
    ConfigInvalidError,
    EditConflictError,
    PublishContentionError,
    StoredValueInvalidError,
    StoreError,
    UsageError,
)
from gooseberryport_core.config import Config
from gooseberryport_core.config_files import CheckedConfig, check_files
from gooseberryport_core.config_store import (
    HEAD_KEY,
    Change,
    Draft,
    FileEntry,
    Head,
    PublicationPlan,
    change_key,
    decode_change,
    decode_head,
    encode_head,
    join_file,
    part_key,
    plan_publication,
)
from gooseberryport_core.decoding import InputError
from gooseberryport_core.types import ConfigVersion, Revision
from gooseberryport_platform import ServiceError, Store, SwapOutcome, confirmed_swap

MAX_ATTEMPTS = 8
"""Maximum number of attempts to publish while others publish too."""

ABSENT = Revision(0)

Value = TypeVar("Value")


class CheckedPublication(msgspec.Struct, frozen=True):
    """A publication that has been checked, but not yet written."""

    publication: PublicationPlan
    checked: CheckedConfig
    revision: Revision

    @property
    def change(self) -> Change:
        """The change that the publication makes."""
        change = self.publication.head.change
        assert change is not None
        return change


class Publisher:
    """Publish configurations; the methods raise `StoreError` and `StoredValueInvalidError`.

    Parameters
    ----------
    store
        The key-value store.
    """

    def __init__(self, store: Store) -> None:
        self._store = store
        self._parts: dict[str, bytes] = {}

    def head(self) -> Head:
        """Return the newest head; its version is 0 if nothing has been published."""
        return self._read_head()[0]

    def changes(self, head: Head, after: ConfigVersion) -> tuple[Change, ...]:
        """Return the changes of the versions after `after`, newest first."""
        if head.change is None or head.version <= after:
            return ()
        older = range(head.version - 1, after, -1)
        return (head.change, *(self._read_change(ConfigVersion(version)) for version in older))

    def change(self, head: Head, version: ConfigVersion) -> Change:
        """Return the change of a version; raises `UsageError` if there is no such version."""
        if not 0 < version <= head.version:
            remedy = f"use 1 to {head.version}" if head.version else "apply a folder first"
            raise UsageError(message=f"there is no version {version}", remedy=remedy)
        if head.change is not None and version == head.version:
            return head.change
        return self._read_change(version)

    def files(self, entries: Mapping[str, FileEntry]) -> dict[str, bytes]:
        """Return the content of files, by name."""
        return {name: self.content(entry) for name, entry in entries.items()}

    def config(self, head: Head) -> Config:
        """Return the merged configuration; raises `UsageError` if none is published."""
        cfg = check_files(self.files(head.files), head.version).cfg
        if cfg is None or not head.version:
            remedy = "publish a folder with `apply` first"
            raise UsageError(message="no configuration is published", remedy=remedy)
        return cfg

    def values(self, prefix: str) -> dict[str, bytes]:
        """Return the values of all keys that start with a prefix."""
        return {entry.key: entry.value for entry in _unwrap(self._store.list_prefix(prefix))}

    def content(self, entry: FileEntry) -> bytes:
        """Return the content of one file."""
        for digest in entry.parts:
            if digest not in self._parts:
                self._parts[digest] = _unwrap(self._store.get(part_key(digest))).value
        content = join_file(entry, self._parts)
        if content is None:
            key = part_key(entry.parts[0])
            raise StoredValueInvalidError(key=key, detail="the content is missing or damaged")
        return content

    def plan(self, draft: Draft, base: ConfigVersion) -> CheckedPublication:
        """Return the checked publication of a draft without writing it.

        Parameters
        ----------
        draft
            The edits to publish.
        base
            Version that the draft is based on.

        Raises
        ------
        EditConflictError
            If others have changed the same files since the base version.
        ConfigInvalidError
            If the merged configuration has errors.
        """
        head, revision = self._read_head()
        planned = plan_publication(head, draft, self.changes(head, base))
        if isinstance(planned, Failure):
            raise EditConflictError(conflicts=planned.failure())
        publication = planned.unwrap()
        checked = check_files(self._merged(head, draft), publication.head.version)
        if checked.cfg is None:
            raise ConfigInvalidError(problems=checked.errors)
        return CheckedPublication(publication, checked, revision)

    def publish(self, draft: Draft, base: ConfigVersion) -> CheckedPublication:
        """Publish a draft as the next version.

        Raises `PublishContentionError`, and what `plan` raises.
        """
        for _ in range(MAX_ATTEMPTS):
            planned = self.plan(draft, base)
            if not planned.change.files or self._write(planned):
                return planned
        raise PublishContentionError(attempts=MAX_ATTEMPTS)

    def _write(self, planned: CheckedPublication) -> bool:
        publication = planned.publication
        for key, value in publication.parts.items():
            self._create(key, value)
        if publication.past_key:
            self._create(publication.past_key, publication.past)
        token = planned.change.token
        swapped = confirmed_swap(
            self._store,
            HEAD_KEY,
            encode_head(publication.head),
            planned.revision,
            proves_applied=lambda value: _change_token(value) == token,
        )
        outcome = _unwrap(swapped).outcome
        if outcome == SwapOutcome.OVERWRITTEN:
            return self._was_applied(planned.change)
        return outcome == SwapOutcome.APPLIED

    def _was_applied(self, change: Change) -> bool:
        """Return whether the history contains a change whose answer was lost."""
        head = self.head()
        if head.version < change.version:
            return False
        return self.change(head, change.version).token == change.token

    def _create(self, key: str, value: bytes) -> None:
        _unwrap(confirmed_swap(self._store, key, value, ABSENT))

    def _merged(self, head: Head, draft: Draft) -> dict[str, bytes]:
        kept = {name: entry for name, entry in head.files.items() if name not in draft.files}
        added = {name: content for name, content in draft.files.items() if content is not None}
        return {**self.files(kept), **added}

    def _read_head(self) -> tuple[Head, Revision]:
        current = _unwrap(self._store.get(HEAD_KEY))
        try:
            return decode_head(current.value), current.revision
        except InputError as exc:
            raise StoredValueInvalidError(key=HEAD_KEY, detail=str(exc)) from exc

    def _read_change(self, version: ConfigVersion) -> Change:
        key = change_key(version)
        current = _unwrap(self._store.get(key))
        try:
            return decode_change(current.value)
        except InputError as exc:
            raise StoredValueInvalidError(key=key, detail=str(exc)) from exc


def _change_token(value: bytes) -> str:
    try:
        change = decode_head(value).change
    except InputError:
        return ""
    return change.token if change else ""


def _unwrap(result: Result[Value, ServiceError]) -> Value:
    if isinstance(result, Failure):
        raise StoreError(cause=result.failure())
    return result.unwrap()
