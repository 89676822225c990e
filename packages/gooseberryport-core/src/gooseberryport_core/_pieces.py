"""Splitting of values longer than a datagram into pieces, and their reassembly."""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

PIECE_BYTES = 1_000
"""Length of a piece in bytes, so that its message fits into a datagram."""


class Piece(msgspec.Struct, frozen=True):
    """A part of a value; `total` is the length of the whole value in bytes."""

    offset: int
    total: int
    data: bytes


def split_value(value: bytes) -> Iterator[Piece]:
    """Split a value into pieces; an empty value yields one empty piece."""
    for offset in range(0, max(len(value), 1), PIECE_BYTES):
        yield Piece(offset, len(value), value[offset : offset + PIECE_BYTES])


class PieceBuffer:
    """Reassemble one value from its pieces.

    Parameters
    ----------
    total
        Length of the whole value in bytes.
    """

    def __init__(self, *, total: int) -> None:
        self.total = total
        self._pieces: dict[int, bytes] = {}

    def add(self, piece: Piece) -> None:
        """Add a piece; one with the wrong offset, length or total is dropped."""
        fits = piece.total == self.total and piece.offset % PIECE_BYTES == 0
        expected = min(PIECE_BYTES, self.total - piece.offset)
        if fits and piece.offset >= 0 and len(piece.data) == expected:
            self._pieces[piece.offset] = piece.data

    def missing(self) -> list[int]:
        """Return the offsets of the pieces that are still missing."""
        offsets = range(0, max(self.total, 1), PIECE_BYTES)
        return [offset for offset in offsets if offset not in self._pieces]

    def value(self) -> bytes | None:
        """Return the whole value, or None while a piece is missing."""
        if self.missing():
            return None
        return b"".join(self._pieces[offset] for offset in sorted(self._pieces))
