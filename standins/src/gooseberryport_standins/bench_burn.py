"""Compare encodings of the burn history: ring buffers, zlib-compressed differences and Gorilla.

Gorilla is an encoding of time-series databases. It writes the delta of delta of times and the XOR
of each value with the value before it, both bit by bit.
"""

from __future__ import annotations

import itertools
import random
import struct
import time
from collections.abc import Callable

import numpy as np
from numpy.typing import NDArray

from gooseberryport_core._burn_history import (
    COUNTERS_PER_SERVICE,
    FINE_INTERVAL_S,
    MAX_FINE_SAMPLES,
    pack_columns,
    unpack_columns,
)
from gooseberryport_standins._bench_report import BenchReport, BenchRow

SERVICES = 20
REQUESTS_PER_STEP = 2_000
SLOW_FRACTION = 0.01
FAILED_FRACTION = 0.001
START_TIME_S = 1_764_800_000
REPEATS = 5
WORD_BITS = 64


def run(seed: int) -> BenchReport:
    """Run the benchmark and return its report."""
    rows = _counters(seed)
    size = f"{SERVICES} services, {MAX_FINE_SAMPLES} samples of {COUNTERS_PER_SERVICE} counters"
    measured = [
        *_measure("ring buffers (numpy int64)", size, rows, _to_plain, _from_plain),
        *_measure("differences, byte planes, zlib", size, rows, pack_columns, _from_packed),
        *_measure("Gorilla (Python)", size, rows, _to_gorilla, _from_gorilla),
    ]
    return BenchReport("burn", seed, tuple(measured))


def _counters(seed: int) -> NDArray[np.int64]:
    """Return a row of sample times, followed by a row for each counter."""
    rng = random.Random(seed)
    rows = [
        [START_TIME_S + FINE_INTERVAL_S * n + rng.randint(-2, 2) for n in range(MAX_FINE_SAMPLES)]
    ]
    for _ in range(SERVICES):
        for fraction in (1.0, SLOW_FRACTION, FAILED_FRACTION):
            mean = REQUESTS_PER_STEP * fraction
            total, row = 0, []
            for _ in range(MAX_FINE_SAMPLES):
                total += max(round(rng.gauss(mean, mean**0.5)), 0)
                row.append(total)
            rows.append(row)
    return np.array(rows, dtype=np.int64)


def _measure(
    what: str,
    size: str,
    rows: NDArray[np.int64],
    encode: Callable[[NDArray[np.int64]], bytes],
    decode: Callable[[bytes, int], NDArray[np.int64]],
) -> list[BenchRow]:
    encoded = encode(rows)
    assert np.array_equal(decode(encoded, len(rows)), rows)
    encode_s = min(_seconds(lambda: encode(rows)) for _ in range(REPEATS))
    decode_s = min(_seconds(lambda: decode(encoded, len(rows))) for _ in range(REPEATS))
    return [
        BenchRow(f"{what}, size", size, len(encoded) / rows.size, "bytes/figure"),
        BenchRow(f"{what}, encode", size, encode_s * 1e3, "ms"),
        BenchRow(f"{what}, read", size, decode_s * 1e3, "ms"),
    ]


def _seconds(action: Callable[[], object]) -> float:
    started = time.perf_counter()
    action()
    return time.perf_counter() - started


def _to_plain(rows: NDArray[np.int64]) -> bytes:
    return rows.tobytes()


def _from_plain(data: bytes, count: int) -> NDArray[np.int64]:
    return np.frombuffer(data, dtype=np.int64).reshape(count, -1)


def _from_packed(data: bytes, count: int) -> NDArray[np.int64]:
    return unpack_columns(data, count)


class _BitWriter:
    """Write unsigned integers of any bit width one after the other."""

    def __init__(self) -> None:
        self.value = 0
        self.bits = 0

    def put(self, number: int, width: int) -> None:
        self.value = (self.value << width) | number
        self.bits += width


class _BitReader:
    """Read the integers that a `_BitWriter` wrote."""

    def __init__(self, value: int, bits: int) -> None:
        self._value = value
        self._left = bits

    def get(self, width: int) -> int:
        self._left -= width
        return (self._value >> self._left) & ((1 << width) - 1)


DELTA_CLASSES = ((0b10, 2, 7), (0b110, 3, 9), (0b1110, 4, 12), (0b1111, 4, 32))
"""Prefix, bits of the prefix, and bits of the delta of delta that follows, for each class."""


def _to_gorilla(rows: NDArray[np.int64]) -> bytes:
    streams = []
    for number, row in enumerate(rows.tolist()):
        writer = _BitWriter()
        (_put_times if number == 0 else _put_values)(writer, row)
        streams.append(_pack_stream(writer))
    return b"".join(streams)


def _pack_stream(writer: _BitWriter) -> bytes:
    size = (writer.bits + 7) // 8
    return struct.pack("<I", writer.bits) + writer.value.to_bytes(size, "big")


def _from_gorilla(data: bytes, count: int) -> NDArray[np.int64]:
    rows, offset = [], 0
    for number in range(count):
        (bits,) = struct.unpack_from("<I", data, offset)
        size = (bits + 7) // 8
        value = int.from_bytes(data[offset + 4 : offset + 4 + size], "big")
        offset += 4 + size
        reader = _BitReader(value, bits)
        rows.append(_get_times(reader) if number == 0 else _get_values(reader))
    return np.array(rows, dtype=np.int64)


def _put_times(writer: _BitWriter, times: list[int]) -> None:
    writer.put(times[0], WORD_BITS)
    delta = 0
    for before, after in itertools.pairwise(times):
        change = after - before - delta
        delta = after - before
        if change == 0:
            writer.put(0, 1)
            continue
        for prefix, prefix_bits, bits in DELTA_CLASSES:
            if -(1 << (bits - 1)) <= change < 1 << (bits - 1):
                writer.put(prefix, prefix_bits)
                writer.put(change & ((1 << bits) - 1), bits)
                break


def _get_times(reader: _BitReader) -> list[int]:
    times, delta = [reader.get(WORD_BITS)], 0
    while len(times) < MAX_FINE_SAMPLES:
        ones = 0
        while ones < 4 and reader.get(1):
            ones += 1
        if ones:
            bits = DELTA_CLASSES[ones - 1][2]
            change = reader.get(bits)
            delta += change - (1 << bits) if change >> (bits - 1) else change
        times.append(times[-1] + delta)
    return times


def _bits_of(value: int) -> int:
    return int(struct.unpack("<Q", struct.pack("<d", float(value)))[0])


def _put_values(writer: _BitWriter, row: list[int]) -> None:
    before = _bits_of(row[0])
    writer.put(before, WORD_BITS)
    lead, trail = WORD_BITS, 0
    for value in row[1:]:
        bits = _bits_of(value)
        xor = bits ^ before
        before = bits
        if xor == 0:
            writer.put(0, 1)
            continue
        new_lead = min(WORD_BITS - xor.bit_length(), 31)
        new_trail = (xor & -xor).bit_length() - 1
        if new_lead >= lead and new_trail >= trail:
            writer.put(0b10, 2)
        else:
            lead, trail = new_lead, new_trail
            writer.put(0b11, 2)
            writer.put(lead, 5)
            writer.put(WORD_BITS - lead - trail - 1, 6)
        writer.put(xor >> trail, WORD_BITS - lead - trail)


def _get_values(reader: _BitReader) -> list[int]:
    bits = reader.get(WORD_BITS)
    lead, trail = 0, 0
    row = [bits]
    while len(row) < MAX_FINE_SAMPLES:
        if reader.get(1):
            if reader.get(1):
                lead = reader.get(5)
                trail = WORD_BITS - lead - reader.get(6) - 1
            bits ^= reader.get(WORD_BITS - lead - trail) << trail
        row.append(bits)
    return [int(struct.unpack("<d", struct.pack("<Q", value_bits))[0]) for value_bits in row]
