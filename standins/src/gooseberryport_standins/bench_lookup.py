"""Measure the memory and speed of look-ups by the number of client blocks and their encoding."""

from __future__ import annotations

import gc
import json
import random
import subprocess
import sys
import time
from collections import Counter
from ipaddress import IPv4Address, IPv6Address

import msgspec
import numpy as np

from gooseberryport_core._client_block_ranges import (
    IPV4,
    IPV6,
    AddressFamily,
    BlockRows,
    encode_ranges,
    make_ranges,
    split_ranges,
)
from gooseberryport_core._views import Peer
from gooseberryport_core.config import Config, Link, Region
from gooseberryport_core.config_files import check_files
from gooseberryport_core.lookup import ClientBlockTable, LookupSnapshot, ZoneOrder
from gooseberryport_core.types import Incarnation, RegionName, VmId, VmState, ZoneName
from gooseberryport_standins._bench_report import BenchReport, BenchRow, resident_bytes
from gooseberryport_standins._bench_table import TableInput, TableMemory

TABLE_SIZES = (10_000, 430_000, 4_300_000)
V6_FRACTION = 0.25
V4_PREFIX_BITS = 24
V6_PREFIX_BITS = 48
REGIONS = 6
ZONES = 17
VMS = 420
LOOKUPS = 100_000
JSON_BLOCKS = 43_000
BYTES_PER_MB = 1e6


def run(seed: int) -> BenchReport:
    """Run the benchmark and return its report."""
    rows: list[BenchRow] = []
    rows.extend(_json_rows(seed))
    for count in TABLE_SIZES:
        rows.extend(_table_rows(count, seed))
    return BenchReport("lookup", seed, tuple(rows))


def _make_config() -> Config:
    zones = [ZoneName(f"zone-{n:02}") for n in range(ZONES)]
    names = [RegionName(f"region-{n}") for n in range(REGIONS)]
    regions = {name: Region(tuple(zones[n::REGIONS])) for n, name in enumerate(names)}
    links = {
        f"{a}-{b}": Link(a, b, 1000.0, delay_ms=10.0 + 3 * abs(n - m))
        for n, a in enumerate(names)
        for m, b in enumerate(names)
        if a != b
    }
    return Config(regions=regions, links=links)


def _peers(cfg: Config) -> tuple[Peer, ...]:
    places = [(z, name) for name, r in cfg.regions.items() for z in r.availability_zones]
    return tuple(
        Peer(
            VmId(f"vm-{n:03}"),
            Incarnation(1),
            *places[n % ZONES],
            VmState.LIVE,
            f"10.0.{n // 250}.{n % 250}:1",
            f"10.0.{n // 250}.{n % 250}:2",
            0.0,
        )
        for n in range(VMS)
    )


def _blocks(count: int, seed: int) -> tuple[BlockRows, BlockRows]:
    rng = np.random.default_rng(seed)
    v6_count = int(count * V6_FRACTION)
    return (
        _random_rows(rng, count - v6_count, V4_PREFIX_BITS, 32),
        _random_rows(rng, v6_count, V6_PREFIX_BITS, 64),
    )


def _random_rows(rng: np.random.Generator, count: int, length: int, bits: int) -> BlockRows:
    space = min(1 << length, 1 << 40)
    prefixes = np.unique(rng.integers(0, space, int(count * 1.25) + 16, dtype=np.uint64))
    starts = rng.permutation(prefixes)[:count] << np.uint64(bits - length)
    lengths = np.full(len(starts), length, np.uint8)
    return BlockRows(starts, lengths, rng.integers(0, ZONES, len(starts), dtype=np.uint8))


def _table_rows(count: int, seed: int) -> list[BenchRow]:
    size = f"{count:,} blocks"
    v4, v6 = _blocks(count, seed)
    encoded = [_encode(v4, IPV4), _encode(v6, IPV6)]
    clients = _clients(v4, v6, seed)
    block_count = len(v4.starts) + len(v6.starts)
    zones = tuple(ZoneName(f"zone-{n:02}") for n in range(ZONES))
    memory = _load_in_subprocess(TableInput(encoded[0], encoded[1], zones))
    table = ClientBlockTable.from_pieces(zones, *encoded)
    pieces = encoded[0] + encoded[1]
    cfg = _make_config()
    snapshot = LookupSnapshot(
        entries=_peers(cfg), max_age_s=5.0, blocks=table, order=ZoneOrder(cfg)
    )
    return [
        BenchRow("blocks made", size, block_count, "blocks"),
        BenchRow("table, arrays", size, table.nbytes / BYTES_PER_MB, "MB"),
        BenchRow("compact form", size, sum(map(len, pieces)) / BYTES_PER_MB, "MB"),
        BenchRow("pieces of it", size, len(pieces), "pieces"),
        BenchRow("load: decode and build", size, memory.load_s, "s"),
        BenchRow("process before loading", size, memory.before / BYTES_PER_MB, "MB resident"),
        BenchRow("process after loading", size, memory.after / BYTES_PER_MB, "MB resident"),
        BenchRow("process, peak while loading", size, memory.peak / BYTES_PER_MB, "MB resident"),
        *_speed_rows(snapshot, table, clients, size),
        BenchRow(
            "busiest VM of a zone / mean", size, _first_rank_imbalance(snapshot, clients), "ratio"
        ),
    ]


def _encode(rows: BlockRows, family: AddressFamily) -> list[bytes]:
    return [encode_ranges(piece) for piece in split_ranges(make_ranges(rows, family))]


def _load_in_subprocess(data: TableInput) -> TableMemory:
    module = "gooseberryport_standins._bench_table"
    packed = msgspec.msgpack.encode(data)
    done = subprocess.run(
        [sys.executable, "-m", module], input=packed, stdout=subprocess.PIPE, check=True
    )
    return msgspec.json.decode(done.stdout, type=TableMemory)


def _clients(v4: BlockRows, v6: BlockRows, seed: int) -> list[str]:
    rng = random.Random(seed)
    clients = []
    for _ in range(LOOKUPS):
        if rng.random() < V6_FRACTION:
            start = int(v6.starts[rng.randrange(len(v6.starts))])
            clients.append(str(IPv6Address((start << 64) + rng.getrandbits(64))))
        else:
            start = int(v4.starts[rng.randrange(len(v4.starts))])
            clients.append(str(IPv4Address(start + rng.getrandbits(8))))
    return clients


def _speed_rows(
    snapshot: LookupSnapshot, table: ClientBlockTable, clients: list[str], size: str
) -> list[BenchRow]:
    started = time.process_time()
    for client in clients:
        table.find(client)
    found_s = (time.process_time() - started) / len(clients)
    started = time.process_time()
    for client in clients:
        snapshot.rank("service", client)
    ranked_s = (time.process_time() - started) / len(clients)
    return [
        BenchRow("find the zone", size, found_s * 1e6, "us"),
        BenchRow(f"whole look-up, {VMS} VMs", size, ranked_s * 1e6, "us"),
        BenchRow(f"look-ups on one core, {VMS} VMs", size, 1 / ranked_s, "1/s"),
    ]


def _first_rank_imbalance(snapshot: LookupSnapshot, clients: list[str]) -> float:
    """Return how often the busiest VM of a zone is ranked first, relative to the zone's mean.

    The zone with the highest ratio counts.
    """
    first = Counter(snapshot.rank("service", client)[0] for client in clients)
    worst = 0.0
    for zone in {entry.zone for entry in first}:
        shares = [count for entry, count in first.items() if entry.zone == zone]
        worst = max(worst, max(shares) / (sum(shares) / len(shares)))
    return worst


def _json_rows(seed: int) -> list[BenchRow]:
    """Measure the cost per block of client blocks in JSON configuration files."""
    v4, _ = _blocks(JSON_BLOCKS, seed)
    texts = {
        f"{IPv4Address(int(start))}/{V4_PREFIX_BITS}": f"zone-{int(zone):02}"
        for start, zone in zip(v4.starts, v4.zones, strict=True)
    }
    count = len(texts)
    regions = {"all": {"availability_zones": [f"zone-{n:02}" for n in range(ZONES)]}}
    content = json.dumps({"regions": regions, "client_blocks": texts}).encode()
    del texts
    gc.collect()
    before = resident_bytes()
    started = time.process_time()
    checked = check_files({"50-blocks.json": content})
    checked_s = time.process_time() - started
    assert checked.cfg is not None
    table = ClientBlockTable.from_texts(checked.cfg.client_blocks)
    added_bytes = resident_bytes() - before
    size = f"{count:,} blocks"
    return [
        BenchRow("JSON files", size, len(content) / count, "bytes/block"),
        BenchRow("JSON files, check", size, checked_s / count * 1e6, "us/block"),
        BenchRow("JSON files, resident memory", size, added_bytes / count, "bytes/block"),
        BenchRow("ranges made of them", size, table.count, "ranges"),
    ]
