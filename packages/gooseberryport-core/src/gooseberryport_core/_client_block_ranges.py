"""Client blocks as disjoint address ranges, which are split into pieces and encoded."""

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
"""Zone index of the addresses that are in no block."""

MAX_RANGES_PER_PIECE = 65_536
"""Maximum number of ranges in one piece; an encoded piece stays far below the store's limit for a
value."""

COMPRESSION_LEVEL = 1

DAMAGED_PIECE = "damaged piece of a client block table"


class AddressFamily(msgspec.Struct, frozen=True):
    """Sizes of an IP address family.

    Parameters
    ----------
    bits
        Number of upper bits of an address that are used.
    hash_bits
        Length of the prefix by which clients are hashed to entry VMs; clients that share this
        prefix and their block use the same entry VMs.
    type
        NumPy type of an address.
    """

    bits: int
    hash_bits: int
    type: type[np.unsignedinteger[Any]]

    @property
    def last_address(self) -> int:
        """The highest address."""
        return (1 << self.bits) - 1


IPV4 = AddressFamily(bits=32, hash_bits=24, type=np.uint32)
IPV6 = AddressFamily(bits=64, hash_bits=48, type=np.uint64)


class BlockRows(msgspec.Struct, frozen=True):
    """Client blocks of one address family as columns, in any order.

    Parameters
    ----------
    starts
        First address of each block.
    lengths
        Prefix length of each block.
    zones
        Zone index of each block.
    """

    starts: Addresses
    lengths: NDArray[np.uint8]
    zones: ZoneIndices


class Ranges(msgspec.Struct, frozen=True):
    """Disjoint address ranges in ascending order.

    Each range ends where the next starts; gaps between blocks are ranges with `NO_ZONE`.
    """

    starts: Addresses
    zones: ZoneIndices


def make_ranges(rows: BlockRows, family: AddressFamily) -> Ranges:
    """Return the ranges of blocks; where blocks are nested, the longest prefix wins."""
    starts = rows.starts.astype(family.type)
    lengths, zones = rows.lengths, rows.zones
    if not len(starts):
        return Ranges(starts, zones.copy())
    order = np.lexsort((lengths, starts))
    starts, lengths, zones = starts[order], lengths[order], zones[order]
    last_addresses = _block_sizes_minus_one(family)[lengths]
    last_addresses += starts
    if bool(np.all(last_addresses[:-1] < starts[1:])):
        return _disjoint_ranges(starts, last_addresses, zones, family)
    return _nested_ranges(starts, last_addresses, zones, family)


def split_ranges(ranges: Ranges) -> Iterator[Ranges]:
    """Yield the ranges in pieces of at most `MAX_RANGES_PER_PIECE` ranges."""
    for first in range(0, len(ranges.starts), MAX_RANGES_PER_PIECE):
        last = first + MAX_RANGES_PER_PIECE
        yield Ranges(ranges.starts[first:last], ranges.zones[first:last])


def encode_ranges(ranges: Ranges) -> bytes:
    """Return a piece in compressed form.

    The starts are stored as differences, and bytes of equal significance are stored together, since
    that compresses well.
    """
    starts = ranges.starts.astype(np.uint64)
    deltas = np.diff(starts, prepend=np.uint64(0)).astype("<u8")
    planes = deltas.view(np.uint8).reshape(-1, 8).T
    return zlib.compress(planes.tobytes() + ranges.zones.tobytes(), COMPRESSION_LEVEL)


def decode_ranges(data: bytes, family: AddressFamily) -> Ranges:
    """Return the piece that `encode_ranges` encoded; raises `ValueError` if it is damaged."""
    try:
        columns = np.frombuffer(zlib.decompress(data), dtype=np.uint8)
    except zlib.error as exc:
        raise ValueError(f"{DAMAGED_PIECE}: {exc}") from exc
    count, remainder = divmod(len(columns), 9)
    if remainder:
        raise ValueError(f"{DAMAGED_PIECE}: columns of unequal length")
    planes = columns[: 8 * count].reshape(8, count)
    deltas = np.ascontiguousarray(planes.T).view("<u8").ravel()
    starts = np.cumsum(deltas, dtype=np.uint64)
    if count and int(starts[-1]) > family.last_address:
        raise ValueError(f"{DAMAGED_PIECE}: an address outside the address family")
    return Ranges(starts.astype(family.type), columns[8 * count :].copy())


def _block_sizes_minus_one(family: AddressFamily) -> Addresses:
    sizes = [(1 << (family.bits - length)) - 1 for length in range(family.bits + 1)]
    return np.array(sizes, dtype=family.type)


def _disjoint_ranges(
    starts: Addresses, last_addresses: Addresses, zones: ZoneIndices, family: AddressFamily
) -> Ranges:
    has_gap_after = np.empty(len(starts), dtype=np.bool_)
    has_gap_after[:-1] = last_addresses[:-1] + family.type(1) != starts[1:]
    has_gap_after[-1] = int(last_addresses[-1]) != family.last_address
    gap_starts = last_addresses[has_gap_after] + family.type(1)
    positions = np.flatnonzero(has_gap_after) + 1
    return Ranges(
        np.insert(starts, positions, gap_starts), np.insert(zones, positions, np.uint8(NO_ZONE))
    )


def _nested_ranges(
    starts: Addresses, last_addresses: Addresses, zones: ZoneIndices, family: AddressFamily
) -> Ranges:
    ranges: dict[int, int] = {}
    open_blocks: list[tuple[int, int]] = []

    def close_before(address: int) -> None:
        while open_blocks and open_blocks[-1][0] < address:
            last, _ = open_blocks.pop()
            if last < family.last_address:
                ranges[last + 1] = open_blocks[-1][1] if open_blocks else NO_ZONE

    for start, last, zone in zip(
        starts.tolist(), last_addresses.tolist(), zones.tolist(), strict=True
    ):
        close_before(start)
        ranges[start] = zone
        open_blocks.append((last, zone))
    close_before(family.last_address + 1)
    ordered = sorted(ranges)
    return Ranges(
        np.array(ordered, dtype=family.type),
        np.array([ranges[start] for start in ordered], dtype=np.uint8),
    )
