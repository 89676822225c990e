"""Which entry VMs a caller should use."""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Iterator

import msgspec
import xxhash

from gooseberryport_core._blocks import BlockRows, BlockTable, ClientPlace
from gooseberryport_core._views import Peer
from gooseberryport_core.config import Config, region_of_zone
from gooseberryport_core.types import RegionName, VmId, ZoneName

__all__ = [
    "BlockRows",
    "BlockTable",
    "ClientPlace",
    "LookupEntry",
    "LookupSnapshot",
    "ZoneOrder",
]

MAX_ENTRIES = 4
"""Most entry VMs in one answer."""

QUOTAS = (2, 1, 1)
"""Entry VMs of the nearest groups of zones in an answer, so that it outlives the loss of a zone."""


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


class LookupSnapshot:
    """Answer look-ups; it never changes, so any thread may ask it.

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
        blocks: BlockTable | None = None,
        order: ZoneOrder | None = None,
    ) -> None:
        self.max_age_s = max_age_s
        self._blocks = blocks or BlockTable.from_texts({})
        self._order = order or ZoneOrder(Config())
        self._all = tuple(_Vm(peer) for peer in entries)
        self._by_zone: dict[ZoneName, list[_Vm]] = {}
        for vm in self._all:
            self._by_zone.setdefault(vm.entry.zone, []).append(vm)

    def place(self, client: str) -> ClientPlace:
        """Return where a client is."""
        return self._blocks.find(client)

    def rank(self, service: str, client: str) -> tuple[LookupEntry, ...]:
        """Return entry VMs for a client, best first.

        Two of its nearest zone come first, then one of its region, then one of the region with
        the shortest link. Within each, a rendezvous hash of the client's block spreads callers
        evenly and keeps them where they are while other VMs come and go. A client that no block
        holds is spread over all VMs.
        """
        place = self._blocks.find(client)
        block = place.block.encode()
        groups = self._order.groups(place.zone) if place.zone else ()
        chosen: list[_Vm] = []
        spare: list[_Vm] = []
        for quota, vms in zip(QUOTAS, self._nearest(groups), strict=False):
            found = _best(vms, block)
            chosen.extend(found[:quota])
            spare.extend(found[quota:])
        if not chosen:
            spare = _best(self._all, block)
        best = [*chosen, *spare][:MAX_ENTRIES]
        return tuple(vm.entry for vm in best)

    def _nearest(self, groups: Iterable[tuple[ZoneName, ...]]) -> Iterator[list[_Vm]]:
        """Yield the VMs of each group of zones that has any."""
        for zones in groups:
            vms = [vm for zone in zones for vm in self._by_zone.get(zone, ())]
            if vms:
                yield vms


class _Vm:
    """An entry VM with the seed of its hash."""

    def __init__(self, peer: Peer) -> None:
        self.entry = LookupEntry(peer.vm, peer.zone, peer.http_address, peer.key_prefix)
        self.seed = xxhash.xxh3_64_intdigest(peer.vm.encode())


def _best(vms: Iterable[_Vm], block: bytes) -> list[_Vm]:
    def weight(vm: _Vm) -> int:
        return xxhash.xxh3_64_intdigest(block, vm.seed)

    return heapq.nlargest(MAX_ENTRIES, vms, key=weight)


def home_region(cfg: Config, place: ClientPlace, otherwise: RegionName) -> RegionName:
    """Return the region nearest to a client, or `otherwise` if no block holds the client."""
    region = region_of_zone(cfg, place.zone) if place.zone else None
    return region or otherwise
