"""Look-up of a client's nearest availability zone by binary search in sorted address ranges."""

from __future__ import annotations

import ipaddress
from collections.abc import Iterable, Mapping

import msgspec
import numpy as np

from gooseberryport_core._client_block_ranges import (
    IPV4,
    IPV6,
    NO_ZONE,
    AddressFamily,
    BlockRows,
    Ranges,
    decode_ranges,
    make_ranges,
    split_ranges,
)
from gooseberryport_core.types import ZoneName

IPV6_HOST_BITS = 64
"""Number of lower bits of an IPv6 address, which are ignored."""

MAX_ZONES = NO_ZONE


class ClientLocation(msgspec.Struct, frozen=True):
    """Location of a client.

    Parameters
    ----------
    zone
        Nearest availability zone; None if the client is in no block.
    hash_key
        First address of the part of the client's block that is hashed as one: all clients with the
        same key get the same entry VMs. The client's text if that is no IP address.
    """

    zone: ZoneName | None
    hash_key: str


class _FamilyTable:
    """The ranges of one address family, in pieces with arrays of their own."""

    def __init__(self, pieces: Iterable[Ranges], family: AddressFamily) -> None:
        self._type = family.type
        self._hash_mask = ((1 << family.hash_bits) - 1) << (family.bits - family.hash_bits)
        self._pieces = [piece for piece in pieces if len(piece.starts)]
        firsts = [int(piece.starts[0]) for piece in self._pieces]
        self._firsts = np.array(firsts, dtype=family.type)
        if bool(np.any(self._firsts[:-1] >= self._firsts[1:])):
            raise ValueError("pieces of a client block table are not in ascending order")

    @property
    def count(self) -> int:
        return sum(len(piece.starts) for piece in self._pieces)

    @property
    def nbytes(self) -> int:
        return sum(int(piece.starts.nbytes + piece.zones.nbytes) for piece in self._pieces)

    def find(self, address: int) -> tuple[int, int]:
        """Return the zone index of an address, and the first address with the same hash key."""
        prefix_start = address & self._hash_mask
        key = self._type(address)
        piece_index = int(self._firsts.searchsorted(key, "right")) - 1
        if piece_index < 0:
            return NO_ZONE, prefix_start
        piece = self._pieces[piece_index]
        row = int(piece.starts.searchsorted(key, "right")) - 1
        return int(piece.zones[row]), max(prefix_start, int(piece.starts[row]))


class ClientBlockTable:
    """Immutable table of the zone nearest to each client; safe to use from any thread.

    Parameters
    ----------
    zones
        Zone names, by the zone index of the ranges.
    v4, v6
        Pieces of the IPv4 and IPv6 ranges in ascending order.
    """

    def __init__(
        self, *, zones: tuple[ZoneName, ...], v4: Iterable[Ranges], v6: Iterable[Ranges]
    ) -> None:
        if len(zones) > MAX_ZONES:
            raise ValueError(
                f"{len(zones)} zones in a client block table, at most {MAX_ZONES} are possible"
            )
        self._zones = zones
        self._v4 = _FamilyTable(v4, IPV4)
        self._v6 = _FamilyTable(v6, IPV6)

    @classmethod
    def from_texts(cls, blocks: Mapping[str, ZoneName]) -> ClientBlockTable:
        """Return the table of blocks that are given in CIDR notation."""
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
                length = min(network.prefixlen, IPV6.bits)
                v6.append((first >> IPV6_HOST_BITS, length, index[zone]))
        return cls(zones=zones, v4=_split_blocks(v4, IPV4), v6=_split_blocks(v6, IPV6))

    @classmethod
    def from_pieces(
        cls, zones: tuple[ZoneName, ...], v4: Iterable[bytes], v6: Iterable[bytes]
    ) -> ClientBlockTable:
        """Return the table of encoded pieces in ascending order.

        Raises `ValueError` if a piece is damaged.
        """
        return cls(
            zones=zones,
            v4=(decode_ranges(data, IPV4) for data in v4),
            v6=(decode_ranges(data, IPV6) for data in v6),
        )

    @property
    def count(self) -> int:
        """Number of ranges, including those of the gaps between blocks."""
        return self._v4.count + self._v6.count

    @property
    def nbytes(self) -> int:
        """Memory size of the arrays in bytes."""
        return self._v4.nbytes + self._v6.nbytes

    def find(self, client: str) -> ClientLocation:
        """Return the location of a client; a text that is no IP address is its own hash key."""
        zone, key = self.find_zone_and_key(client)
        if isinstance(key, str):
            return ClientLocation(None, key)
        if ":" in client and ipaddress.IPv6Address(client).ipv4_mapped is None:
            return ClientLocation(zone, str(ipaddress.IPv6Address(key << IPV6_HOST_BITS)))
        return ClientLocation(zone, str(ipaddress.IPv4Address(key)))

    def find_zone_and_key(self, client: str) -> tuple[ZoneName | None, int | str]:
        """Return a client's zone, and its hash key as a number; cheaper than `find`."""
        try:
            zone_index, key = self._search(client)
        except ValueError:
            return None, client
        return (None if zone_index == NO_ZONE else self._zones[zone_index]), key

    def _search(self, client: str) -> tuple[int, int]:
        if ":" not in client:
            return self._v4.find(int(ipaddress.IPv4Address(client)))
        address = ipaddress.IPv6Address(client)
        mapped = address.ipv4_mapped
        if mapped is not None:
            return self._v4.find(int(mapped))
        return self._v6.find(int(address) >> IPV6_HOST_BITS)


def _split_blocks(rows: list[tuple[int, int, int]], family: AddressFamily) -> Iterable[Ranges]:
    columns = BlockRows(
        np.array([row[0] for row in rows], dtype=family.type),
        np.array([row[1] for row in rows], dtype=np.uint8),
        np.array([row[2] for row in rows], dtype=np.uint8),
    )
    return split_ranges(make_ranges(columns, family))
