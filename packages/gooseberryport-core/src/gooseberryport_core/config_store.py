"""Storage of configurations in the key-value store, and merging of operators' changes.

The value of the head key lists all files of the newest version by the digest of their content. The
content is stored in immutable parts under their digests. A publication therefore writes its new
parts first and then replaces the head by compare-and-swap, which alone makes the new version
current. The change that made each version is kept under a key of its own, so that older versions
can be restored.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Mapping

import msgspec
from returns.result import Failure, Result, Success

from gooseberryport_core.decoding import decode_json
from gooseberryport_core.types import ConfigVersion

HEAD_KEY = "config/head"
PARTS_PREFIX = "config/part/"
CHANGES_PREFIX = "config/change/"

MAX_PART_BYTES = 500_000
"""Maximum length of a part. Common key-value stores store values of up to 512 KiB, the one used
here up to a megabyte."""

DIGEST_BYTES = 16
VERSION_DIGITS = 12


class FileEntry(msgspec.Struct, frozen=True):
    """Reference to the content of a file.

    Parameters
    ----------
    digest
        Digest of the whole content.
    parts
        Digests of its parts, in order; the content is their concatenation.
    """

    digest: str
    parts: tuple[str, ...]


class FileChange(msgspec.Struct, frozen=True):
    """Change of one file; `before` or `after` is None if the file does not exist then."""

    file: str
    before: FileEntry | None
    after: FileEntry | None


class Change(msgspec.Struct, frozen=True):
    """Change that made a version from the previous one.

    Parameters
    ----------
    version
        The version that the change made.
    author, note
        Who published the change, and why.
    at
        Wall clock of the author at the publication; seconds since 1970-01-01 UTC.
    files
        The files that changed.
    token
        Unique token of the publication, by which its author finds out whether a compare-and-swap
        whose reply was lost took effect.
    """

    version: ConfigVersion
    author: str
    note: str
    at: float
    files: tuple[FileChange, ...]
    token: str


class Head(msgspec.Struct, frozen=True):
    """Newest version of the configuration.

    Parameters
    ----------
    version
        Version number; 0 before the first version.
    files
        Files of the version, by name.
    change
        The change that made the version; None before the first version.
    """

    version: ConfigVersion = ConfigVersion(0)
    files: dict[str, FileEntry] = {}
    change: Change | None = None


class PublicationPlan(msgspec.Struct, frozen=True):
    """Writes that publish a version, in this order.

    Parameters
    ----------
    parts
        Values of the new parts, by key; each is created if it is absent.
    past_key, past
        Key and value of the change that made the previous version; created if it is absent.
        Empty for the first version.
    head
        The new head; it is written last, by compare-and-swap with the head that the plan was made
        from.
    """

    parts: dict[str, bytes]
    past_key: str
    past: bytes
    head: Head


class FileConflict(msgspec.Struct, frozen=True):
    """File that the draft changes and other operators have changed too.

    Parameters
    ----------
    versions
        Versions since the draft's base in which others changed the file.
    authors
        Authors of these versions.
    """

    file: str
    versions: tuple[ConfigVersion, ...]
    authors: tuple[str, ...]


class Draft(msgspec.Struct, frozen=True):
    """Changes that an operator wants to publish.

    Parameters
    ----------
    files
        New content of each file to change, by name; None deletes the file.
    author, note, at, token
        As in `Change`.
    """

    files: dict[str, bytes | None]
    author: str
    note: str
    at: float
    token: str


def part_key(digest: str) -> str:
    """Return the key of a part."""
    return PARTS_PREFIX + digest


def change_key(version: ConfigVersion) -> str:
    """Return the key of the change that made a version."""
    return f"{CHANGES_PREFIX}{version:0{VERSION_DIGITS}d}"


def encode_head(head: Head) -> bytes:
    """Return the encoded head, as it is stored."""
    return msgspec.json.encode(head)


def decode_head(value: bytes) -> Head:
    """Return the head in a stored value; an absent key's empty value is the head of version 0.

    Raises `InputError` if it is not a head.
    """
    return decode_json(value, expected_type=Head) if value else Head()


def decode_change(value: bytes) -> Change:
    """Return the change in a stored value; raises `InputError` if it is not one."""
    return decode_json(value, expected_type=Change)


def make_file_entry(content: bytes) -> FileEntry:
    """Return the entry that refers to a file's content."""
    return FileEntry(_digest(content), tuple(_digest(part) for part in _split(content)))


def parts_by_key(content: bytes) -> dict[str, bytes]:
    """Return the parts of a file's content, by key."""
    return {part_key(_digest(part)): part for part in _split(content)}


def missing_parts(head: Head, known: Iterable[str]) -> tuple[str, ...]:
    """Return the digests of the head's parts that are not known, without duplicates."""
    known_digests = set(known)
    wanted = [part for name in sorted(head.files) for part in head.files[name].parts]
    return tuple(part for part in dict.fromkeys(wanted) if part not in known_digests)


def join_files(head: Head, parts: Mapping[str, bytes]) -> dict[str, bytes] | None:
    """Return the content of the head's files, or None if a part is missing or damaged.

    Parameters
    ----------
    parts
        Content of parts, by digest.
    """
    files: dict[str, bytes] = {}
    for name, entry in head.files.items():
        content = join_file(entry, parts)
        if content is None:
            return None
        files[name] = content
    return files


def join_file(entry: FileEntry, parts: Mapping[str, bytes]) -> bytes | None:
    """Return the content of a file, or None if a part is missing or damaged."""
    if any(part not in parts for part in entry.parts):
        return None
    content = b"".join(parts[part] for part in entry.parts)
    return content if _digest(content) == entry.digest else None


def entries_before(head: Head, changes: Iterable[Change]) -> dict[str, FileEntry]:
    """Return the files as they were before the given changes.

    Parameters
    ----------
    changes
        The most recent changes without a gap, newest first.
    """
    files = dict(head.files)
    for change in changes:
        for file_change in change.files:
            if file_change.before is None:
                files.pop(file_change.file, None)
            else:
                files[file_change.file] = file_change.before
    return files


def plan_publication(
    head: Head, draft: Draft, others: Iterable[Change] = ()
) -> Result[PublicationPlan, tuple[FileConflict, ...]]:
    """Plan the publication of a draft as the next version.

    Parameters
    ----------
    head
        The newest head, as it was just read.
    draft
        The changes to publish. Files that it does not name stay as they are in the head.
    others
        Changes published since the version that the draft was made from.

    Returns
    -------
    Result
        The writes, or the files that the draft and others changed to different contents.
    """
    after = {
        name: make_file_entry(content) if content is not None else None
        for name, content in draft.files.items()
    }
    conflicts = _find_conflicts(head, after, tuple(others))
    if conflicts:
        return Failure(conflicts)
    changed = tuple(
        FileChange(name, head.files.get(name), after[name])
        for name in sorted(after)
        if head.files.get(name) != after[name]
    )
    version = ConfigVersion(head.version + 1)
    change = Change(version, draft.author, draft.note, draft.at, changed, draft.token)
    files = _apply_changes(head.files, changed)
    past_key = change_key(head.version) if head.change else ""
    past = msgspec.json.encode(head.change) if head.change else b""
    new_head = Head(version, files, change)
    return Success(PublicationPlan(_new_parts(draft, changed), past_key, past, new_head))


def reverted_entries(change: Change) -> dict[str, FileEntry | None]:
    """Return the entries that undo a change: each file's entry before it, None for a new file."""
    return {file_change.file: file_change.before for file_change in change.files}


def _find_conflicts(
    head: Head, after: Mapping[str, FileEntry | None], others: tuple[Change, ...]
) -> tuple[FileConflict, ...]:
    conflicts = []
    for name in sorted(after):
        conflicting = [c for c in others if any(changed.file == name for changed in c.files)]
        if conflicting and head.files.get(name) != after[name]:
            versions = tuple(change.version for change in conflicting)
            authors = tuple(dict.fromkeys(change.author for change in conflicting))
            conflicts.append(FileConflict(name, versions, authors))
    return tuple(conflicts)


def _apply_changes(
    files: Mapping[str, FileEntry], changed: tuple[FileChange, ...]
) -> dict[str, FileEntry]:
    result = dict(files)
    for file_change in changed:
        if file_change.after is None:
            del result[file_change.file]
        else:
            result[file_change.file] = file_change.after
    return {name: result[name] for name in sorted(result)}


def _new_parts(draft: Draft, changed: tuple[FileChange, ...]) -> dict[str, bytes]:
    parts: dict[str, bytes] = {}
    for file_change in changed:
        content = draft.files[file_change.file]
        if content is not None:
            parts.update(parts_by_key(content))
    return parts


def _split(content: bytes) -> list[bytes]:
    starts = range(0, max(len(content), 1), MAX_PART_BYTES)
    return [content[start : start + MAX_PART_BYTES] for start in starts]


def _digest(content: bytes) -> str:
    return hashlib.blake2b(content, digest_size=DIGEST_BYTES).hexdigest()
