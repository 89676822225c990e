import ipaddress
from collections import Counter

import numpy as np
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gooseberryport_core._client_block_ranges import (
    IPV4,
    IPV6,
    BlockRows,
    Ranges,
    decode_ranges,
    encode_ranges,
    make_ranges,
)
from gooseberryport_core._views import Peer
from gooseberryport_core.config import Config, Link, Region
from gooseberryport_core.lookup import ClientBlockTable, LookupSnapshot, ZoneOrder
from gooseberryport_core.types import VmState

CFG = Config(
    regions={
        "mittelland": Region(("bern-a", "olten-b")),
        "romandie": Region(("lausanne-a", "geneve-b")),
        "ticino": Region(("lugano-a",)),
    },
    links={
        "m-r": Link("mittelland", "romandie", 280, delay_ms=20),
        "m-t": Link("mittelland", "ticino", 280, delay_ms=12),
    },
)
REGION_OF = {zone: name for name, r in CFG.regions.items() for zone in r.availability_zones}
BLOCKS = ClientBlockTable.from_texts({"10.0.0.0/16": "bern-a", "10.1.0.0/16": "lugano-a"})


def peer(vm: str, zone: str) -> Peer:
    return Peer(vm, 1, zone, REGION_OF[zone], VmState.LIVE, "", f"{vm}:80", 0.0)


def snapshot(vms: dict[str, str]) -> LookupSnapshot:
    entries = tuple(peer(vm, zone) for vm, zone in vms.items())
    return LookupSnapshot(entries=entries, max_age_s=5.0, blocks=BLOCKS, order=ZoneOrder(CFG))


VMS = {f"{zone}-{n}": zone for zone in REGION_OF for n in range(4)}


def reference_zone(blocks: dict[str, str], client: str) -> str | None:
    address = ipaddress.ip_address(client)
    networks = {ipaddress.ip_network(text, strict=False): zone for text, zone in blocks.items()}
    containing = [n for n in networks if n.version == address.version and address in n]
    return networks[max(containing, key=lambda n: n.prefixlen)] if containing else None


# Few distinct addresses, so that blocks are nested, adjacent or with gaps between them, up to both
# ends of the address space.
boundary_bytes = st.sampled_from([0, 1, 127, 128, 254, 255])
v4 = st.lists(boundary_bytes, min_size=4, max_size=4).map(lambda parts: ".".join(map(str, parts)))
v6 = st.lists(boundary_bytes, min_size=4, max_size=4).map(
    lambda p: f"{p[0]:x}:{p[1]:x}:{p[2]:x}:{p[3]:x}::1"
)
zones = st.sampled_from(["a", "b", "c"])
v4_blocks = st.tuples(v4, st.integers(0, 32)).map(lambda b: f"{b[0]}/{b[1]}")
v6_blocks = st.tuples(v6, st.integers(0, 64)).map(lambda b: f"{b[0]}/{b[1]}")


@settings(derandomize=True, deadline=None, database=None, max_examples=300)
@given(st.dictionaries(v4_blocks | v6_blocks, zones, max_size=12), st.lists(v4 | v6, min_size=1))
def test_zone_is_that_of_the_longest_prefix(blocks: dict[str, str], clients: list[str]) -> None:
    distinct_blocks = {
        str(ipaddress.ip_network(t, strict=False)): zone for t, zone in blocks.items()
    }
    table = ClientBlockTable.from_texts(distinct_blocks)
    for client in clients:
        assert table.find(client).zone == reference_zone(distinct_blocks, client)


@pytest.mark.parametrize(
    ("client", "zone", "block"),
    [
        ("10.0.3.9", "bern-a", "10.0.3.0"),
        ("::ffff:10.1.0.9", "lugano-a", "10.1.0.0"),
        ("11.0.0.1", None, "11.0.0.0"),
        ("2001:db8:1:2::3", None, "2001:db8:1::"),
        ("::1", None, "::"),
        ("no address", None, "no address"),
    ],
)
def test_location_of_a_client(client: str, zone: str | None, block: str) -> None:
    location = BLOCKS.find(client)
    assert (location.zone, location.hash_key) == (zone, block)


@settings(derandomize=True, deadline=None, database=None)
@given(st.dictionaries(v4_blocks | v6_blocks, zones, max_size=12), st.lists(v4 | v6, min_size=1))
def test_encoded_pieces_give_the_same_locations(blocks: dict[str, str], clients: list[str]) -> None:
    names = tuple(sorted(set(blocks.values())))
    pieces = {}
    for family, version in ((IPV4, 4), (IPV6, 6)):
        nets = {ipaddress.ip_network(t, strict=False): names.index(z) for t, z in blocks.items()}
        rows = [(n, z) for n, z in nets.items() if n.version == version]
        shift = 0 if version == 4 else 64
        columns = BlockRows(
            np.array([int(n.network_address) >> shift for n, _ in rows], family.type),
            np.array([n.prefixlen for n, _ in rows], np.uint8),
            np.array([z for _, z in rows], np.uint8),
        )
        ranges = make_ranges(columns, family)
        half = len(ranges.starts) // 2
        first_half = [column[:half] for column in (ranges.starts, ranges.zones)]
        second_half = [column[half:] for column in (ranges.starts, ranges.zones)]
        pieces[version] = [encode_ranges(Ranges(*first_half)), encode_ranges(Ranges(*second_half))]
    table = ClientBlockTable.from_pieces(names, pieces[4], pieces[6])
    distinct_blocks = {
        str(ipaddress.ip_network(t, strict=False)): zone for t, zone in blocks.items()
    }
    for client in clients:
        assert table.find(client) == ClientBlockTable.from_texts(distinct_blocks).find(client)


def test_damaged_piece_is_rejected() -> None:
    with pytest.raises(ValueError, match="damaged"):
        decode_ranges(b"nothing", IPV4)


def test_nearest_zone_comes_first_then_its_region_then_the_shortest_link() -> None:
    ranked = snapshot(VMS).rank("any", "10.0.0.1")
    assert [entry.zone for entry in ranked] == ["bern-a", "bern-a", "olten-b", "lugano-a"]


def test_lost_zone_is_replaced_by_another_zone_of_its_region() -> None:
    remaining_vms = {vm: zone for vm, zone in VMS.items() if zone != "bern-a"}
    ranked = snapshot(remaining_vms).rank("any", "10.0.0.1")
    assert [entry.zone for entry in ranked[:3]] == ["olten-b", "olten-b", "lugano-a"]


@pytest.mark.parametrize("vms", [{}, {"x": "geneve-b"}, {"x": "bern-a", "y": "geneve-b"}])
def test_all_vms_are_returned_if_there_are_few(vms: dict[str, str]) -> None:
    for client in ("10.0.0.1", "11.0.0.1", "junk"):
        assert {entry.vm for entry in snapshot(vms).rank("any", client)} == set(vms)


def test_callers_spread_evenly_and_move_only_from_a_removed_vm() -> None:
    clients = [f"10.0.{n // 8}.{n % 8}" for n in range(2048)]
    before = {client: snapshot(VMS).rank("any", client)[0].vm for client in clients}
    num_blocks_by_vm = Counter(
        {client.rpartition(".")[0]: before[client] for client in clients}.values()
    )
    assert sum(num_blocks_by_vm.values()) == 256
    assert max(num_blocks_by_vm.values()) < 1.3 * 256 / 4
    removed = "bern-a-2"
    remaining_vms = {vm: zone for vm, zone in VMS.items() if vm != removed}
    after = {client: snapshot(remaining_vms).rank("any", client)[0].vm for client in clients}
    moved = [client for client in clients if before[client] != after[client]]
    assert {before[client] for client in moved} == {removed}
