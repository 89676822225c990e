"""Transfer of configuration heads and parts between daemons, in pieces that fit into a datagram."""

from __future__ import annotations

import random
from collections.abc import Mapping

from gooseberryport_core._pieces import PIECE_BYTES, Piece, PieceBuffer, split_value
from gooseberryport_core.config_store import make_file_entry
from gooseberryport_core.effects import Effect, SendMessage
from gooseberryport_core.messages import ConfigPiece, ConfigRequest
from gooseberryport_core.types import ConfigVersion

PIECES_PER_REQUEST = 16
"""Maximum number of pieces sent for one `ConfigRequest`."""

RETRY_DELAY_S = 0.25
"""Time without a new piece after which the request is sent to another peer."""

HEAD_DIGEST = ""
"""Value of a request's digest field that requests the head."""


def content_digest(content: bytes) -> str:
    """Return the digest of a head's or part's content."""
    return make_file_entry(content).digest


def make_reply(
    request: ConfigRequest,
    address: str,
    *,
    version: ConfigVersion,
    head: bytes,
    parts: Mapping[str, bytes],
) -> list[Effect]:
    """Return messages with the pieces that a peer requests; none if this daemon lacks them.

    Parameters
    ----------
    version, head
        Version and encoded head of this daemon's configuration.
    parts
        Content of this daemon's parts, by digest.
    """
    is_head_request = request.digest == HEAD_DIGEST
    content = head if is_head_request else parts.get(request.digest, b"")
    if (is_head_request and version < request.version) or not content:
        return []
    digest = content_digest(content) if is_head_request else request.digest
    last = request.offset + PIECES_PER_REQUEST * PIECE_BYTES
    return [
        SendMessage(
            address,
            ConfigPiece(
                version=version if is_head_request else ConfigVersion(0),
                digest=digest,
                offset=piece.offset,
                total=piece.total,
                data=piece.data,
            ),
        )
        for piece in split_value(content)
        if request.offset <= piece.offset < last
    ]


class PeerFetch:
    """Fetches one head or one part from peers.

    Parameters
    ----------
    digest
        Digest of the part, or `HEAD_DIGEST` for the head.
    """

    def __init__(self, *, digest: str) -> None:
        self.digest = digest
        self._buffer: PieceBuffer | None = None
        self._content_digest = digest
        self._next_request_at = float("-inf")
        self._requested_up_to = 0

    def tick(
        self, version: ConfigVersion, peers: list[str], rng: random.Random, now: float
    ) -> list[Effect]:
        """Send a request to a random peer if no piece was received for `RETRY_DELAY_S`."""
        if now < self._next_request_at or not peers:
            return []
        return self._request_pieces(version, rng.choice(peers), now)

    def add(self, piece: ConfigPiece, address: str, now: float) -> list[Effect]:
        """Store a piece; if it is the last one requested, request the next from its sender."""
        if self._buffer is None or piece.digest != self._content_digest:
            if self.digest != HEAD_DIGEST and piece.digest != self.digest:
                return []
            self._buffer = PieceBuffer(total=piece.total)
            self._content_digest = piece.digest
        self._buffer.add(Piece(piece.offset, piece.total, piece.data))
        self._next_request_at = now + RETRY_DELAY_S
        is_last_requested = piece.offset + PIECE_BYTES >= self._requested_up_to
        if is_last_requested and self._buffer.missing():
            return self._request_pieces(piece.version, address, now)
        return []

    def value(self) -> bytes | None:
        """Return the complete content, or None if it is incomplete or damaged."""
        value = self._buffer.value() if self._buffer else None
        if value is None:
            return None
        if content_digest(value) != self._content_digest:
            self._buffer = None
            return None
        return value

    def _request_pieces(self, version: ConfigVersion, address: str, now: float) -> list[Effect]:
        missing = self._buffer.missing() if self._buffer else [0]
        self._requested_up_to = missing[0] + PIECES_PER_REQUEST * PIECE_BYTES
        self._next_request_at = now + RETRY_DELAY_S
        return [SendMessage(address, ConfigRequest(version, missing[0], self.digest))]
