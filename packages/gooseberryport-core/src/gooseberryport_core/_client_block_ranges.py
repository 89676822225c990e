"""Blocks of clients as columns: made disjoint, cut into pieces, and encoded compactly."""

from __future__ import annotations

import zlib
from collections.abc import Iterator
from typing import Any

import msgspec
import numpy as np
from numpy.typing import NDArray

Addresses = NDArray[np.unsignedinteger[Any]]
ZoneIndices = NDArray[np.uint8]

NO_ZONE = 255
"""Index of the zone of addresses that no block holds."""

PIECE_RANGES = 65_536
"""Most ranges in one piece; an encoded piece is far below the longest value of the store."""

COMPRESSION_LEVEL = 1

DAMAGED = "damaged piece of a block table"


class AddressFamily(msgspec.Struct, frozen=True):
    """Give the sizes of an address family.

    Parameters
    ----------
    bits
        Bits of an address that are looked at; the upper ones.
    hash_bits
        Longest prefix that shares its callers' entry VMs; larger blocks are cut into these.
    type
        Type that holds an address.
    """

    bits: int
    hash_bits: int
    type: type[np.unsignedinteger[Any]]

    @property
    def top(self) -> int:
        """The last address."""
        return (1 << self.bits) - 1


IPV4 = AddressFamily(bits=32, hash_bits=24, type=np.uint32)
IPV6 = AddressFamily(bits=64, hash_bits=48, type=np.uint64)


class BlockRows(msgspec.Struct, frozen=True):
    """Hold blocks of one address family as columns, in any order.

    Parameters
    ----------
    starts
        First address of each block.
    lengths
        Prefix length of each block.
    zones
        Index of each block's zone.
    """

    starts: Addresses
    lengths: NDArray[np.uint8]
    zones: ZoneIndices


class Ranges(msgspec.Struct, frozen=True):
    """Hold disjoint ranges in order; each lasts until the next starts, gaps have `NO_ZONE`."""

    starts: Addresses
    zones: ZoneIndices


def make_ranges(rows: BlockRows, family: AddressFamily) -> Ranges:
    """Return the ranges of blocks; where blocks lie inside others, the longer prefix wins."""
    starts = rows.starts.astype(family.type)
    lengths, zones = rows.lengths, rows.zones
    if not len(starts):
        return Ranges(starts, zones.copy())
    order = np.lexsort((lengths, starts))
    starts, lengths, zones = starts[order], lengths[order], zones[order]
    lasts = _sizes_less_one(family)[lengths]
    lasts += starts
    if bool(np.all(lasts[:-1] < starts[1:])):
        return _disjoint_ranges(starts, lasts, zones, family)
    return _nested_ranges(starts, lasts, zones, family)


def split_ranges(ranges: Ranges) -> Iterator[Ranges]:
    """Yield the ranges in pieces of at most `PIECE_RANGES`."""
    for first in range(0, len(ranges.starts), PIECE_RANGES):
        last = first + PIECE_RANGES
        yield Ranges(ranges.starts[first:last], ranges.zones[first:last])


def encode_ranges(ranges: Ranges) -> bytes:
    """Return a piece in a compact form.

    Starts are kept as differences, and bytes of equal weight together, which compresses well.
    """
    starts = ranges.starts.astype(np.uint64)
    steps = np.diff(starts, prepend=np.uint64(0)).astype("<u8")
    planes = steps.view(np.uint8).reshape(-1, 8).T
    return zlib.compress(planes.tobytes() + ranges.zones.tobytes(), COMPRESSION_LEVEL)


def decode_ranges(data: bytes, family: AddressFamily) -> Ranges:
    """Return the piece that `encode_ranges` encoded; raises `ValueError` if it is damaged."""
    try:
        columns = np.frombuffer(zlib.decompress(data), dtype=np.uint8)
    except zlib.error as exc:
        raise ValueError(f"{DAMAGED}: {exc}") from exc
    count, rest = divmod(len(columns), 9)
    if rest:
        raise ValueError(f"{DAMAGED}: columns of unequal lengths")
    planes = columns[: 8 * count].reshape(8, count)
    steps = np.ascontiguousarray(planes.T).view("<u8").ravel()
    starts = np.cumsum(steps, dtype=np.uint64)
    if count and int(starts[-1]) > family.top:
        raise ValueError(f"{DAMAGED}: addresses of another family")
    return Ranges(starts.astype(family.type), columns[8 * count :].copy())


def _sizes_less_one(family: AddressFamily) -> Addresses:
    sizes = [(1 << (family.bits - length)) - 1 for length in range(family.bits + 1)]
    return np.array(sizes, dtype=family.type)


def _disjoint_ranges(
    starts: Addresses, lasts: Addresses, zones: ZoneIndices, family: AddressFamily
) -> Ranges:
    before_gap = np.empty(len(starts), dtype=np.bool_)
    before_gap[:-1] = lasts[:-1] + family.type(1) != starts[1:]
    before_gap[-1] = int(lasts[-1]) != family.top
    gaps = lasts[before_gap] + family.type(1)
    where = np.flatnonzero(before_gap) + 1
    return Ranges(np.insert(starts, where, gaps), np.insert(zones, where, np.uint8(NO_ZONE)))


def _nested_ranges(
    starts: Addresses, lasts: Addresses, zones: ZoneIndices, family: AddressFamily
) -> Ranges:
    ranges: dict[int, int] = {}
    open_blocks: list[tuple[int, int]] = []

    def close_before(address: int) -> None:
        while open_blocks and open_blocks[-1][0] < address:
            last, _ = open_blocks.pop()
            if last < family.top:
                ranges[last + 1] = open_blocks[-1][1] if open_blocks else NO_ZONE

    for start, last, zone in zip(starts.tolist(), lasts.tolist(), zones.tolist(), strict=True):
        close_before(start)
        ranges[start] = zone
        open_blocks.append((last, zone))
    close_before(family.top + 1)
    ordered = sorted(ranges)
    return Ranges(
        np.array(ordered, dtype=family.type),
        np.array([ranges[start] for start in ordered], dtype=np.uint8),
    )
