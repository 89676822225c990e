"""Which entry VMs a caller should use."""

from __future__ import annotations

import itertools
from collections.abc import Iterable

import msgspec
import numpy as np
import xxhash
from numpy.typing import NDArray

from gooseberryport_core._client_blocks import ClientBlockTable, ClientLocation
from gooseberryport_core._views import Peer
from gooseberryport_core.config import Config, region_of_zone
from gooseberryport_core.types import RegionName, VmId, ZoneName

__all__ = [
    "ClientBlockTable",
    "ClientLocation",
    "LookupEntry",
    "LookupSnapshot",
    "ZoneOrder",
]

MAX_ENTRIES = 4
"""Most entry VMs in one answer."""

QUOTAS = (2, 1, 1)
"""Entry VMs of the nearest groups of zones in an answer, so that it outlives the loss of a zone."""


MIX_1 = np.uint64(0xBF58476D1CE4E5B9)
MIX_2 = np.uint64(0x94D049BB133111EB)
MIX_SHIFT = np.uint64(31)
"""Multipliers and shift of a common 64-bit finaliser, which scatters similar inputs."""


class LookupEntry(msgspec.Struct, frozen=True):
    """One entry VM of a look-up's answer.

    Parameters
    ----------
    http_address
        ``IP:port`` for callers.
    key_prefix
        Prefix of idempotency keys that this VM decides; the caller adds a word of its own.
    """

    vm: VmId
    zone: ZoneName
    http_address: str
    key_prefix: str = ""


class ZoneOrder:
    """Order the zones by their distance from each zone; made once for each configuration.

    Parameters
    ----------
    cfg
        Configuration with the regions and the delays of the links.
    """

    def __init__(self, cfg: Config) -> None:
        self._groups = {
            zone: _groups_of(cfg, zone, region)
            for region, entry in cfg.regions.items()
            for zone in entry.availability_zones
        }

    def groups(self, zone: ZoneName) -> tuple[tuple[ZoneName, ...], ...]:
        """Return the zone, the others of its region, then those of each region, nearest first."""
        return self._groups.get(zone, ())


def _groups_of(cfg: Config, zone: ZoneName, home: RegionName) -> tuple[tuple[ZoneName, ...], ...]:
    delays = {link.destination: link.delay_ms for link in cfg.links.values() if link.source == home}

    def distance(region: RegionName) -> tuple[float, RegionName]:
        return (delays.get(region, float("inf")), region)

    near = tuple(other for other in cfg.regions[home].availability_zones if other != zone)
    others = sorted((region for region in cfg.regions if region != home), key=distance)
    return ((zone,), near, *(cfg.regions[region].availability_zones for region in others))


class _Nearest(msgspec.Struct, frozen=True):
    """Hold the VMs nearest to a zone, in groups of equal distance one after the other.

    Parameters
    ----------
    entries, seeds
        The VMs, and the seed of each one's hash.
    ends
        Where each group ends.
    """

    entries: tuple[LookupEntry, ...]
    seeds: NDArray[np.uint64]
    ends: tuple[int, ...]


class LookupSnapshot:
    """Answer look-ups; what it says never changes, so any thread may ask it.

    Parameters
    ----------
    entries
        The live entry VMs that take callers.
    max_age_s
        Time for which a caller may cache an answer; seconds.
    blocks
        Nearest zone of each block of clients.
    order
        Distances between the zones.
    """

    def __init__(
        self,
        *,
        entries: tuple[Peer, ...],
        max_age_s: float,
        blocks: ClientBlockTable | None = None,
        order: ZoneOrder | None = None,
    ) -> None:
        self.max_age_s = max_age_s
        self._blocks = blocks or ClientBlockTable.from_texts({})
        self._order = order or ZoneOrder(Config())
        self._by_zone: dict[ZoneName, list[LookupEntry]] = {}
        for peer in entries:
            entry = LookupEntry(peer.vm, peer.zone, peer.http_address, peer.key_prefix)
            self._by_zone.setdefault(peer.zone, []).append(entry)
        self._by_distance: dict[ZoneName | None, _Nearest] = {}

    def place(self, client: str) -> ClientLocation:
        """Return where a client is."""
        return self._blocks.find(client)

    def rank(self, service: str, client: str) -> tuple[LookupEntry, ...]:
        """Return entry VMs for a client, best first.

        Two of its nearest zone come first, then one of its region, then one of the region with
        the shortest link. Within each, a rendezvous hash of the client's block spreads callers
        evenly and keeps them where they are while other VMs come and go. A client that no block
        holds is spread over all VMs.
        """
        zone, key = self._blocks.find_zone_and_key(client)
        nearest = self._by_distance.get(zone)
        if nearest is None:
            nearest = self._by_distance[zone] = self._nearest(zone)
        block_hash = np.uint64(xxhash.xxh3_64_intdigest(str(key).encode()))
        return _choose(nearest, block_hash)

    def _nearest(self, zone: ZoneName | None) -> _Nearest:
        """Return the VMs of the nearest groups of zones that have any, else all VMs."""
        groups = self._order.groups(zone) if zone else ()
        found = [members for members in map(self._members, groups) if members]
        nearest = found[: len(QUOTAS)] or [self._members(sorted(self._by_zone))]
        entries = tuple(entry for members in nearest for entry in members)
        seeds = [xxhash.xxh3_64_intdigest(entry.vm.encode()) for entry in entries]
        ends = tuple(itertools.accumulate(len(members) for members in nearest))
        return _Nearest(entries, np.array(seeds, dtype=np.uint64), ends)

    def _members(self, zones: Iterable[ZoneName]) -> list[LookupEntry]:
        return [entry for zone in zones for entry in self._by_zone.get(zone, ())]


def _choose(nearest: _Nearest, block_hash: np.uint64) -> tuple[LookupEntry, ...]:
    """Return the VMs with the highest rendezvous weights, each group up to its quota first."""
    weights = _weights(nearest.seeds, block_hash)
    chosen: list[int] = []
    start = 0
    for quota, end in zip(QUOTAS, nearest.ends, strict=False):
        for _ in range(min(quota, end - start)):
            chosen.append(start + int(weights[start:end].argmax()))
            weights[chosen[-1]] = 0
        start = end
    while len(chosen) < min(MAX_ENTRIES, len(nearest.entries)):
        chosen.append(int(weights.argmax()))
        weights[chosen[-1]] = 0
    return tuple(nearest.entries[index] for index in chosen)


def _weights(seeds: NDArray[np.uint64], block_hash: np.uint64) -> NDArray[np.uint64]:
    weights = (seeds ^ block_hash) * MIX_1
    weights ^= weights >> MIX_SHIFT
    weights *= MIX_2
    weights ^= weights >> MIX_SHIFT
    return weights


def home_region(cfg: Config, place: ClientLocation, otherwise: RegionName) -> RegionName:
    """Return the region nearest to a client, or `otherwise` if no block holds the client."""
    region = region_of_zone(cfg, place.zone) if place.zone else None
    return region or otherwise
