"""A newer configuration on its way into force."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from gooseberryport_core.config_store import (
    Head,
    decode_head,
    encode_head,
    join_files,
    missing_parts,
)
from gooseberryport_core.types import ConfigVersion


class ConfigCandidate:
    """Collect the head and the parts of a version.

    Parameters
    ----------
    version
        The version, or a lower bound of it while the head is not here.
    known
        Parts that are here already, by digest.
    started_at
        Seconds, monotonic.
    """

    def __init__(
        self, *, version: ConfigVersion, known: Mapping[str, bytes], started_at: float
    ) -> None:
        self.version = version
        self.started_at = started_at
        self.head: Head | None = None
        self.parts = dict(known)

    def accept_head(self, value: bytes) -> bool:
        """Take the head's value; whether it is one of this version or a newer one."""
        try:
            head = decode_head(value)
        except msgspec.MsgspecError:
            return False
        if head.version < self.version:
            return False
        self.head = head
        self.version = head.version
        return True

    def missing(self) -> tuple[str, ...]:
        """Return the digests of the parts that are not here."""
        return missing_parts(self.head, self.parts) if self.head else ()

    def files(self) -> dict[str, bytes] | None:
        """Return the files if all of them are here and sound."""
        return join_files(self.head, self.parts) if self.head else None

    def head_parts(self) -> dict[str, bytes]:
        """Return the parts that the head names."""
        if self.head is None:
            return {}
        names = {part for entry in self.head.files.values() for part in entry.parts}
        return {digest: self.parts[digest] for digest in sorted(names)}

    def encoded_head(self) -> bytes:
        """Return the head's value."""
        return encode_head(self.head) if self.head else b""
