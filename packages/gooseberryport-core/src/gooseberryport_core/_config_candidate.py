"""A newer configuration version that is being fetched and is not applied yet."""

from __future__ import annotations

from collections.abc import Mapping

from gooseberryport_core.config_store import (
    Head,
    decode_head,
    encode_head,
    join_files,
    missing_parts,
)
from gooseberryport_core.decoding import InputError
from gooseberryport_core.types import ConfigVersion


class ConfigCandidate:
    """Collects the head and the parts of one configuration version.

    Parameters
    ----------
    version
        At first the oldest version to accept; the version of the head once that is received.
    known
        Parts that this daemon already has, by digest.
    started_at
        Monotonic time at which the fetch of this version started; seconds.
    """

    def __init__(
        self, *, version: ConfigVersion, known: Mapping[str, bytes], started_at: float
    ) -> None:
        self.version = version
        self.started_at = started_at
        self.head: Head | None = None
        self.parts = dict(known)

    def accept_head(self, value: bytes) -> bool:
        """Accept an encoded head of this version or a newer one; return whether it was accepted."""
        try:
            head = decode_head(value)
        except InputError:
            return False
        if head.version < self.version:
            return False
        self.head = head
        self.version = head.version
        return True

    def missing(self) -> tuple[str, ...]:
        """Return the digests of the parts that are still missing."""
        return missing_parts(self.head, self.parts) if self.head else ()

    def files(self) -> dict[str, bytes] | None:
        """Return the files, or None if a part is missing or damaged."""
        return join_files(self.head, self.parts) if self.head else None

    def head_parts(self) -> dict[str, bytes]:
        """Return the parts that the head refers to, by digest."""
        if self.head is None:
            return {}
        digests = {part for entry in self.head.files.values() for part in entry.parts}
        return {digest: self.parts[digest] for digest in sorted(digests)}

    def encoded_head(self) -> bytes:
        """Return the encoded head; empty if it was not received."""
        return encode_head(self.head) if self.head else b""
