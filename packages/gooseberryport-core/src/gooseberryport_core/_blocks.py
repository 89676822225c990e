"""From a client's address to its nearest availability zone: sorted arrays and a binary search."""

from __future__ import annotations

import ipaddress
import zlib
from collections.abc import Mapping

import msgspec
import numpy as np
from numpy.typing import NDArray

from gooseberryport_core.types import ZoneName

V4_BITS = 32
V6_BITS = 64
"""Bits of an IPv6 address that are looked at; blocks are not longer than /64."""

V4_HASH_BITS = 24
V6_HASH_BITS = 48
"""Longest prefixes that share their callers' entry VMs; larger blocks are cut into these."""

NO_ZONE = 255
"""Index of the zone of addresses that no block holds."""

MAX_ZONES = NO_ZONE

COMPRESSION_LEVEL = 1


class ClientPlace(msgspec.Struct, frozen=True):
    """Tell where a client is.

    Parameters
    ----------
    zone
        Nearest availability zone; None if no block holds the client.
    block
        Name of the client's block, for hashes: the same for clients that are steered alike.
    """

    zone: ZoneName | None
    block: str


class BlockRows(msgspec.Struct, frozen=True):
    """Hold blocks of one address family as columns, in any order.

    Parameters
    ----------
    starts
        First address of each block; the upper 64 bits of it for IPv6.
    lengths
        Prefix length of each block.
    zones
        Index of each block's zone.
    """

    starts: NDArray[np.uint64]
    lengths: NDArray[np.uint8]
    zones: NDArray[np.uint8]


class _Ranges:
    """Disjoint ranges of one address family in order; each lasts until the next one starts."""

    def __init__(self, rows: BlockRows, *, bits: int, hash_bits: int) -> None:
        self._type = np.uint32 if bits == V4_BITS else np.uint64
        self._hash_mask = ((1 << hash_bits) - 1) << (bits - hash_bits)
        starts, zones = _flatten(rows, bits)
        self._starts = starts.astype(self._type)
        self._zones = zones
        self._starts.flags.writeable = False
        self._zones.flags.writeable = False

    @property
    def count(self) -> int:
        return len(self._starts)

    @property
    def nbytes(self) -> int:
        return int(self._starts.nbytes + self._zones.nbytes)

    def find(self, address: int) -> tuple[int, int]:
        """Return the index of an address's zone, and the first address that is steered alike."""
        piece = address & self._hash_mask
        row = int(self._starts.searchsorted(self._type(address), side="right")) - 1
        if row < 0:
            return NO_ZONE, piece
        return int(self._zones[row]), max(piece, int(self._starts[row]))


class BlockTable:
    """Find the zone of a client; it never changes, so any thread may ask it.

    Parameters
    ----------
    zones
        Names of the zones that the rows' indices mean.
    v4, v6
        Blocks; where blocks lie inside others, the longer prefix wins.
    """

    def __init__(self, *, zones: tuple[ZoneName, ...], v4: BlockRows, v6: BlockRows) -> None:
        if len(zones) > MAX_ZONES:
            raise ValueError(f"{len(zones)} zones, at most {MAX_ZONES} have an index")
        self._zones = zones
        self._v4 = _Ranges(v4, bits=V4_BITS, hash_bits=V4_HASH_BITS)
        self._v6 = _Ranges(v6, bits=V6_BITS, hash_bits=V6_HASH_BITS)

    @classmethod
    def from_texts(cls, blocks: Mapping[str, ZoneName]) -> BlockTable:
        """Return the table of blocks that are given as CIDR texts."""
        zones = tuple(sorted(set(blocks.values())))
        index = {zone: number for number, zone in enumerate(zones)}
        v4: list[tuple[int, int, int]] = []
        v6: list[tuple[int, int, int]] = []
        for text, zone in blocks.items():
            network = ipaddress.ip_network(text, strict=False)
            first = int(network.network_address)
            if network.version == 4:
                v4.append((first, network.prefixlen, index[zone]))
            else:
                v6.append((first >> V6_BITS, min(network.prefixlen, V6_BITS), index[zone]))
        return cls(zones=zones, v4=_rows(v4), v6=_rows(v6))

    @property
    def count(self) -> int:
        """Ranges held, gaps between blocks among them."""
        return self._v4.count + self._v6.count

    @property
    def nbytes(self) -> int:
        """Memory of the arrays; bytes."""
        return self._v4.nbytes + self._v6.nbytes

    def find(self, client: str) -> ClientPlace:
        """Return where a client is; a text that is no IP address is a block of its own."""
        try:
            address = ipaddress.ip_address(client)
        except ValueError:
            return ClientPlace(None, client)
        if isinstance(address, ipaddress.IPv6Address) and address.ipv4_mapped:
            address = address.ipv4_mapped
        if isinstance(address, ipaddress.IPv4Address):
            zone, first = self._v4.find(int(address))
            block = str(ipaddress.IPv4Address(first))
        else:
            zone, first = self._v6.find(int(address) >> V6_BITS)
            block = str(ipaddress.IPv6Address(first << V6_BITS))
        return ClientPlace(None if zone == NO_ZONE else self._zones[zone], block)


def encode_rows(rows: BlockRows) -> bytes:
    """Return blocks in a compact form, for tables too large for JSON.

    Sorted starts are kept as differences, byte by byte of equal weight, which compresses well.
    """
    order = np.argsort(rows.starts, kind="stable")
    starts = rows.starts[order]
    steps = np.diff(starts, prepend=np.uint64(0)).astype("<u8")
    planes = steps.view(np.uint8).reshape(-1, 8).T
    columns = [planes.tobytes(), rows.lengths[order].tobytes(), rows.zones[order].tobytes()]
    return zlib.compress(b"".join(columns), COMPRESSION_LEVEL)


def decode_rows(data: bytes) -> BlockRows:
    """Return the blocks that `encode_rows` encoded; raises `ValueError` if they are damaged."""
    try:
        columns = np.frombuffer(zlib.decompress(data), dtype=np.uint8)
    except zlib.error as exc:
        raise ValueError(f"damaged block table: {exc}") from exc
    count, rest = divmod(len(columns), 10)
    if rest:
        raise ValueError("damaged block table: columns of unequal lengths")
    steps = np.ascontiguousarray(columns[: 8 * count].reshape(8, count).T).view("<u8").ravel()
    starts = np.cumsum(steps, dtype=np.uint64)
    return BlockRows(starts, columns[8 * count : 9 * count], columns[9 * count :])


def _rows(rows: list[tuple[int, int, int]]) -> BlockRows:
    return BlockRows(
        np.array([row[0] for row in rows], dtype=np.uint64),
        np.array([row[1] for row in rows], dtype=np.uint8),
        np.array([row[2] for row in rows], dtype=np.uint8),
    )


def _flatten(rows: BlockRows, bits: int) -> tuple[NDArray[np.uint64], NDArray[np.uint8]]:
    """Return the starts and zones of disjoint ranges; gaps are ranges of `NO_ZONE`."""
    if not len(rows.starts):
        return np.zeros(0, np.uint64), np.zeros(0, np.uint8)
    order = np.lexsort((rows.lengths, rows.starts))
    starts = rows.starts[order]
    zones = rows.zones[order]
    lasts = starts + _sizes_less_one(rows.lengths[order], bits)
    if bool(np.all(lasts[:-1] < starts[1:])):
        return _flatten_disjoint(starts, lasts, zones, bits)
    return _flatten_nested(starts, lasts, zones, bits)


def _sizes_less_one(lengths: NDArray[np.uint8], bits: int) -> NDArray[np.uint64]:
    by_length = np.array([(1 << (bits - length)) - 1 for length in range(bits + 1)], np.uint64)
    return by_length[lengths]


def _flatten_disjoint(
    starts: NDArray[np.uint64], lasts: NDArray[np.uint64], zones: NDArray[np.uint8], bits: int
) -> tuple[NDArray[np.uint64], NDArray[np.uint8]]:
    top = np.uint64((1 << bits) - 1)
    following = np.append(starts[1:], top)
    followed_by_gap = lasts != following - np.uint64(1)
    followed_by_gap[-1] = bool(lasts[-1] != top)
    gaps = lasts[followed_by_gap] + np.uint64(1)
    where = np.flatnonzero(followed_by_gap) + 1
    return np.insert(starts, where, gaps), np.insert(zones, where, np.uint8(NO_ZONE))


def _flatten_nested(
    starts: NDArray[np.uint64], lasts: NDArray[np.uint64], zones: NDArray[np.uint8], bits: int
) -> tuple[NDArray[np.uint64], NDArray[np.uint8]]:
    top = (1 << bits) - 1
    ranges: dict[int, int] = {}
    open_blocks: list[tuple[int, int]] = []

    def close_before(address: int) -> None:
        while open_blocks and open_blocks[-1][0] < address:
            last, _ = open_blocks.pop()
            if last < top:
                ranges[last + 1] = open_blocks[-1][1] if open_blocks else NO_ZONE

    for start, last, zone in zip(starts.tolist(), lasts.tolist(), zones.tolist(), strict=True):
        close_before(start)
        ranges[start] = zone
        open_blocks.append((last, zone))
    close_before(top + 1)
    ordered = sorted(ranges)
    return (
        np.array(ordered, dtype=np.uint64),
        np.array([ranges[start] for start in ordered], dtype=np.uint8),
    )
