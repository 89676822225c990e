"""Load a client block table in a separate process and print the memory that it uses."""

from __future__ import annotations

import gc
import sys
import time

import msgspec

from gooseberryport_core.lookup import ClientBlockTable
from gooseberryport_core.types import ZoneName
from gooseberryport_standins._bench_report import peak_resident_bytes, resident_bytes


class TableInput(msgspec.Struct, frozen=True):
    """Encoded pieces of the IPv4 and IPv6 blocks, and the names of the zones."""

    v4: list[bytes]
    v6: list[bytes]
    zones: tuple[ZoneName, ...]


class TableMemory(msgspec.Struct, frozen=True):
    """Resident memory before, after and at the peak, in bytes, and the loading time in seconds."""

    before: int
    after: int
    peak: int
    load_s: float


def main() -> None:
    """Read a `TableInput` from standard input and print a `TableMemory` as JSON."""
    data = msgspec.msgpack.decode(sys.stdin.buffer.read(), type=TableInput)
    gc.collect()
    before = resident_bytes()
    started = time.perf_counter()
    table = ClientBlockTable.from_pieces(data.zones, data.v4, data.v6)
    load_s = time.perf_counter() - started
    gc.collect()
    memory = TableMemory(before, resident_bytes(), peak_resident_bytes(), load_s)
    assert table.count
    print(msgspec.json.encode(memory).decode())


if __name__ == "__main__":
    main()
