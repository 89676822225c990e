"""How a configuration lies in the key-value service, and how operators' changes merge.

The head key names every file of the newest version by the digest of its content. Contents lie in
parts under their digest and never change, so a change writes its new parts first, and then swaps
the head: that swap alone makes it the configuration. Each version's change is kept under a key of
its own, from which older versions can be read back.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Mapping

import msgspec
from returns.result import Failure, Result, Success

from gooseberryport_core.types import ConfigVersion

HEAD_KEY = "config/head"
PARTS_PREFIX = "config/part/"
CHANGES_PREFIX = "config/change/"

MAX_PART_BYTES = 500_000
"""Longest part; services of the usual kind hold values up to 512 KiB, ours up to a megabyte."""

DIGEST_BYTES = 16
VERSION_DIGITS = 12


class FileEntry(msgspec.Struct, frozen=True):
    """Name the content of a file.

    Parameters
    ----------
    digest
        Digest of the whole content.
    parts
        Digests of its parts, in order; joined they are the content.
    """

    digest: str
    parts: tuple[str, ...]


class FileChange(msgspec.Struct, frozen=True):
    """Tell how a file changed; None for a file that is absent before or after."""

    file: str
    before: FileEntry | None
    after: FileEntry | None


class Change(msgspec.Struct, frozen=True):
    """Tell what made a version out of the version before it.

    Parameters
    ----------
    version
        The version that it made.
    author, note
        Who published it, and why.
    at
        When, by the author's wall clock; seconds since 1970-01-01 UTC.
    files
        The files that changed.
    token
        Word that no other publication carries; it tells whether a swap whose answer was lost
        took effect.
    """

    version: ConfigVersion
    author: str
    note: str
    at: float
    files: tuple[FileChange, ...]
    token: str


class Head(msgspec.Struct, frozen=True):
    """Describe the newest version.

    Parameters
    ----------
    version
        Its number; 0 before the first.
    files
        Its files, by name.
    change
        The change that made it; None before the first.
    """

    version: ConfigVersion = ConfigVersion(0)
    files: dict[str, FileEntry] = {}
    change: Change | None = None


class PublicationPlan(msgspec.Struct, frozen=True):
    """Tell what must be written, in this order, to publish a version.

    Parameters
    ----------
    parts
        Values of the new parts, by key; each is created if it is absent.
    past_key, past
        Where the change that made the former version is kept, and its value; created if absent.
        Empty for the first version.
    head
        The new head, to be swapped in last for the head that the plan was made from.
    """

    parts: dict[str, bytes]
    past_key: str
    past: bytes
    head: Head


class FileConflict(msgspec.Struct, frozen=True):
    """Tell that a file was changed by two operators.

    Parameters
    ----------
    versions
        Versions in which others changed it since the base.
    authors
        Who made these.
    """

    file: str
    versions: tuple[ConfigVersion, ...]
    authors: tuple[str, ...]


class Draft(msgspec.Struct, frozen=True):
    """Hold what an operator wants published.

    Parameters
    ----------
    files
        New content of each file to be changed, by name; None deletes the file.
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
    """Return the key under which the change that made a version is kept."""
    return f"{CHANGES_PREFIX}{version:0{VERSION_DIGITS}d}"


def encode_head(head: Head) -> bytes:
    """Return the value of the head key."""
    return msgspec.json.encode(head)


def decode_head(value: bytes) -> Head:
    """Return the head in a value; an absent key's empty value is the head before any version.

    Raises `msgspec.DecodeError` if it is not a head.
    """
    return msgspec.json.decode(value, type=Head) if value else Head()


def decode_change(value: bytes) -> Change:
    """Return the change in a value; raises `msgspec.DecodeError` if it is not one."""
    return msgspec.json.decode(value, type=Change)


def make_file_entry(content: bytes) -> FileEntry:
    """Return the entry that names a file's content."""
    return FileEntry(_digest(content), tuple(_digest(part) for part in _cut(content)))


def parts_of(content: bytes) -> dict[str, bytes]:
    """Return the parts of a file's content, by key."""
    return {part_key(_digest(part)): part for part in _cut(content)}


def missing_parts(head: Head, known: Iterable[str]) -> tuple[str, ...]:
    """Return the digests of the head's parts that are not among the known ones, each once."""
    have = set(known)
    wanted = [part for name in sorted(head.files) for part in head.files[name].parts]
    return tuple(part for part in dict.fromkeys(wanted) if part not in have)


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
    """Return the files as they were before some changes.

    Parameters
    ----------
    changes
        The newest changes, without a gap, newest first.
    """
    files = dict(head.files)
    for change in changes:
        for each in change.files:
            if each.before is None:
                files.pop(each.file, None)
            else:
                files[each.file] = each.before
    return files


def plan_publication(
    head: Head, draft: Draft, others: Iterable[Change] = ()
) -> Result[PublicationPlan, tuple[FileConflict, ...]]:
    """Plan how a draft becomes the next version.

    Parameters
    ----------
    head
        The newest head, as just read.
    draft
        What should change. Files that it does not name stay as they are in the head.
    others
        Changes published since the version that the draft was made from.

    Returns
    -------
    Result
        What to write, or the files that the draft and others changed to different contents.
    """
    after = {
        name: make_file_entry(content) if content is not None else None
        for name, content in draft.files.items()
    }
    conflicts = _conflicts(head, after, tuple(others))
    if conflicts:
        return Failure(conflicts)
    changed = tuple(
        FileChange(name, head.files.get(name), after[name])
        for name in sorted(after)
        if head.files.get(name) != after[name]
    )
    version = ConfigVersion(head.version + 1)
    change = Change(version, draft.author, draft.note, draft.at, changed, draft.token)
    files = _apply(head.files, changed)
    past_key = change_key(head.version) if head.change else ""
    past = msgspec.json.encode(head.change) if head.change else b""
    new_head = Head(version, files, change)
    return Success(PublicationPlan(_new_parts(draft, changed), past_key, past, new_head))


def reverted_entries(change: Change) -> dict[str, FileEntry | None]:
    """Return the files that undo a change, and nothing else, when they are put back."""
    return {each.file: each.before for each in change.files}


def _conflicts(
    head: Head, after: Mapping[str, FileEntry | None], others: tuple[Change, ...]
) -> tuple[FileConflict, ...]:
    found = []
    for name in sorted(after):
        theirs = [c for c in others if any(each.file == name for each in c.files)]
        if theirs and head.files.get(name) != after[name]:
            versions = tuple(change.version for change in theirs)
            authors = tuple(dict.fromkeys(change.author for change in theirs))
            found.append(FileConflict(name, versions, authors))
    return tuple(found)


def _apply(files: Mapping[str, FileEntry], changed: tuple[FileChange, ...]) -> dict[str, FileEntry]:
    result = dict(files)
    for each in changed:
        if each.after is None:
            del result[each.file]
        else:
            result[each.file] = each.after
    return {name: result[name] for name in sorted(result)}


def _new_parts(draft: Draft, changed: tuple[FileChange, ...]) -> dict[str, bytes]:
    parts: dict[str, bytes] = {}
    for each in changed:
        content = draft.files[each.file]
        if content is not None:
            parts.update(parts_of(content))
    return parts


def _cut(content: bytes) -> list[bytes]:
    starts = range(0, max(len(content), 1), MAX_PART_BYTES)
    return [content[start : start + MAX_PART_BYTES] for start in starts]


def _digest(content: bytes) -> str:
    return hashlib.blake2b(content, digest_size=DIGEST_BYTES).hexdigest()
