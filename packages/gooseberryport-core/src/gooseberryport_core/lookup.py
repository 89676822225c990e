"""Look-up of the entry VMs that a caller should use."""

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
"""Maximum number of entry VMs in one reply."""

GROUP_QUOTAS = (2, 1, 1)
"""Number of entry VMs in a reply from each of the nearest groups of zones, so that some of them are
left when a zone is lost."""


MIX_MULTIPLIER_1 = np.uint64(0xBF58476D1CE4E5B9)
MIX_MULTIPLIER_2 = np.uint64(0x94D049BB133111EB)
MIX_SHIFT = np.uint64(31)
"""Multipliers and shift of a common 64-bit hash finaliser, which separates similar inputs."""


class LookupEntry(msgspec.Struct, frozen=True):
    """One entry VM in the reply to a look-up.

    Parameters
    ----------
    http_address
        ``IP:port`` for callers.
    key_prefix
        Prefix of the idempotency keys that this VM decides; the caller appends a unique suffix.
    """

    vm: VmId
    zone: ZoneName
    http_address: str
    key_prefix: str = ""


class ZoneOrder:
    """Order of all zones by their distance from each zone; computed once for each configuration.

    Parameters
    ----------
    cfg
        Configuration with the regions and the delays of the links between them.
    """

    def __init__(self, cfg: Config) -> None:
        self._groups = {
            zone: _zone_groups(cfg, zone, region)
            for region, entry in cfg.regions.items()
            for zone in entry.availability_zones
        }

    def groups(self, zone: ZoneName) -> tuple[tuple[ZoneName, ...], ...]:
        """Return groups of zones, nearest first.

        The first group is the zone itself, the second the other zones of its region; then follow
        the zones of each other region. Empty for an unknown zone.
        """
        return self._groups.get(zone, ())


def _zone_groups(cfg: Config, zone: ZoneName, home: RegionName) -> tuple[tuple[ZoneName, ...], ...]:
    delays = {link.destination: link.delay_ms for link in cfg.links.values() if link.source == home}

    def distance(region: RegionName) -> tuple[float, RegionName]:
        return (delays.get(region, float("inf")), region)

    same_region = tuple(other for other in cfg.regions[home].availability_zones if other != zone)
    others = sorted((region for region in cfg.regions if region != home), key=distance)
    return ((zone,), same_region, *(cfg.regions[region].availability_zones for region in others))


class _NearestVms(msgspec.Struct, frozen=True):
    """The entry VMs nearest to a zone, in consecutive groups of equal distance.

    Parameters
    ----------
    entries, seeds
        The VMs, and the hash seed of each.
    ends
        Index after the last VM of each group.
    """

    entries: tuple[LookupEntry, ...]
    seeds: NDArray[np.uint64]
    ends: tuple[int, ...]


class LookupSnapshot:
    """Answers look-ups from an immutable state; safe to use from any thread.

    Parameters
    ----------
    entries
        The live entry VMs that accept callers.
    max_age_s
        Time for which a caller may cache a reply; seconds.
    blocks
        Nearest zone of each client block.
    order
        Order of the zones by distance.
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
        self._by_distance: dict[ZoneName | None, _NearestVms] = {}

    def locate_client(self, client: str) -> ClientLocation:
        """Return the location of a client."""
        return self._blocks.find(client)

    def rank(self, service: str, client: str) -> tuple[LookupEntry, ...]:
        """Return entry VMs for a client, best first.

        The first two are in its nearest zone, the third is in another zone of its region, and the
        fourth in the region with the shortest link delay. Within each group, rendezvous hashing by
        the client's block spreads callers evenly and keeps them on their VM while other VMs join or
        leave. Clients that are in no block are spread over all VMs.
        """
        zone, key = self._blocks.find_zone_and_key(client)
        nearest = self._by_distance.get(zone)
        if nearest is None:
            nearest = self._by_distance[zone] = self._nearest(zone)
        block_hash = np.uint64(xxhash.xxh3_64_intdigest(str(key).encode()))
        return _choose_entries(nearest, block_hash)

    def _nearest(self, zone: ZoneName | None) -> _NearestVms:
        """Return the VMs of the nearest groups that have any, or all VMs if no group has one."""
        groups = self._order.groups(zone) if zone else ()
        groups_with_vms = [entries for entries in map(self._entries_in, groups) if entries]
        nearest = groups_with_vms[: len(GROUP_QUOTAS)] or [self._entries_in(sorted(self._by_zone))]
        entries = tuple(entry for members in nearest for entry in members)
        seeds = [xxhash.xxh3_64_intdigest(entry.vm.encode()) for entry in entries]
        ends = tuple(itertools.accumulate(len(members) for members in nearest))
        return _NearestVms(entries, np.array(seeds, dtype=np.uint64), ends)

    def _entries_in(self, zones: Iterable[ZoneName]) -> list[LookupEntry]:
        return [entry for zone in zones for entry in self._by_zone.get(zone, ())]


def _choose_entries(nearest: _NearestVms, block_hash: np.uint64) -> tuple[LookupEntry, ...]:
    """Return the VMs with the highest rendezvous weights; each group fills its quota first."""
    weights = _rendezvous_weights(nearest.seeds, block_hash)
    chosen: list[int] = []
    start = 0
    for quota, end in zip(GROUP_QUOTAS, nearest.ends, strict=False):
        for _ in range(min(quota, end - start)):
            chosen.append(start + int(weights[start:end].argmax()))
            weights[chosen[-1]] = 0
        start = end
    while len(chosen) < min(MAX_ENTRIES, len(nearest.entries)):
        chosen.append(int(weights.argmax()))
        weights[chosen[-1]] = 0
    return tuple(nearest.entries[index] for index in chosen)


def _rendezvous_weights(seeds: NDArray[np.uint64], block_hash: np.uint64) -> NDArray[np.uint64]:
    weights = (seeds ^ block_hash) * MIX_MULTIPLIER_1
    weights ^= weights >> MIX_SHIFT
    weights *= MIX_MULTIPLIER_2
    weights ^= weights >> MIX_SHIFT
    return weights


def home_region(cfg: Config, location: ClientLocation, default: RegionName) -> RegionName:
    """Return the region nearest to a client, or `default` if the client is in no block."""
    region = region_of_zone(cfg, location.zone) if location.zone else None
    return region or default
