"""Heads and parts of configurations passed between daemons in pieces."""

from __future__ import annotations

import random
from collections.abc import Mapping

from gooseberryport_core._pieces import PIECE_BYTES, Piece, PieceBuffer, cut
from gooseberryport_core.config_store import make_file_entry
from gooseberryport_core.effects import Effect, SendMessage
from gooseberryport_core.messages import ConfigPiece, ConfigRequest
from gooseberryport_core.types import ConfigVersion

WINDOW_PIECES = 16
"""Pieces sent for one request."""

RETRY_S = 0.25
"""Time without a new piece after which another peer is asked; seconds."""

HEAD_DIGEST = ""
"""Digest that stands for the head in a request."""


def content_digest(content: bytes) -> str:
    """Return the digest of a head or part."""
    return make_file_entry(content).digest


def make_reply(
    request: ConfigRequest,
    address: str,
    *,
    version: ConfigVersion,
    head: bytes,
    parts: Mapping[str, bytes],
) -> list[Effect]:
    """Return the pieces that a peer asks for; nothing if they are not here.

    Parameters
    ----------
    version, head
        The newest head here.
    parts
        Content of the parts here, by digest.
    """
    wants_head = request.digest == HEAD_DIGEST
    content = head if wants_head else parts.get(request.digest, b"")
    if (wants_head and version < request.version) or not content:
        return []
    digest = content_digest(content) if wants_head else request.digest
    last = request.offset + WINDOW_PIECES * PIECE_BYTES
    return [
        SendMessage(
            address,
            ConfigPiece(
                version=version if wants_head else ConfigVersion(0),
                digest=digest,
                offset=piece.offset,
                total=piece.total,
                data=piece.data,
            ),
        )
        for piece in cut(content)
        if request.offset <= piece.offset < last
    ]


class PeerFetch:
    """Fetch a head or a part from peers.

    Parameters
    ----------
    digest
        Digest of the part; `HEAD_DIGEST` for a head.
    """

    def __init__(self, *, digest: str) -> None:
        self.digest = digest
        self._buffer: PieceBuffer | None = None
        self._whole_digest = digest
        self._next_at = float("-inf")
        self._asked_up_to = 0

    def tick(
        self, version: ConfigVersion, peers: list[str], rng: random.Random, now: float
    ) -> list[Effect]:
        """Ask one of the peers if no piece has come for a while."""
        if now < self._next_at or not peers:
            return []
        return self._ask(version, rng.choice(peers), now)

    def add(self, piece: ConfigPiece, address: str, now: float) -> list[Effect]:
        """Take a piece, and ask for more where a window has ended."""
        if self._buffer is None or piece.digest != self._whole_digest:
            if self.digest != HEAD_DIGEST and piece.digest != self.digest:
                return []
            self._buffer = PieceBuffer(total=piece.total)
            self._whole_digest = piece.digest
        self._buffer.add(Piece(piece.offset, piece.total, piece.data))
        self._next_at = now + RETRY_S
        window_done = piece.offset + PIECE_BYTES >= self._asked_up_to
        if window_done and self._buffer.missing():
            return self._ask(piece.version, address, now)
        return []

    def value(self) -> bytes | None:
        """Return the whole content if it is here and sound."""
        value = self._buffer.value() if self._buffer else None
        if value is None:
            return None
        if content_digest(value) != self._whole_digest:
            self._buffer = None
            return None
        return value

    def _ask(self, version: ConfigVersion, address: str, now: float) -> list[Effect]:
        missing = self._buffer.missing() if self._buffer else [0]
        self._asked_up_to = missing[0] + WINDOW_PIECES * PIECE_BYTES
        self._next_at = now + RETRY_S
        return [SendMessage(address, ConfigRequest(version, missing[0], self.digest))]
