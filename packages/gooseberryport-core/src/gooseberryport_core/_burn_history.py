"""Samples of a region's counters over time, fine for hours and coarse for days."""

from __future__ import annotations

import zlib
from bisect import bisect_right

import msgspec
import numpy as np
from numpy.typing import NDArray

from gooseberryport_core._burn_counts import RequestCounts
from gooseberryport_core.decoding import InputError, decode_with
from gooseberryport_core.types import ServiceName

FINE_INTERVAL_S = 60
MAX_FINE_SAMPLES = 420
"""Seven hours, for windows of up to six hours."""

COARSE_INTERVAL_S = 1_800
MAX_COARSE_SAMPLES = 168
"""Three and a half days, for windows of up to three days."""

COUNTERS_PER_SERVICE = 3
"""Counters of `RequestCounts`: total, slow and failed."""

COMPRESSION_LEVEL = 6


class Sample(msgspec.Struct, frozen=True):
    """The counters of a service at one time; seconds since 1970-01-01 UTC."""

    at: int
    count: RequestCounts


class _Ring(msgspec.Struct):
    """The newest samples at one resolution.

    Parameters
    ----------
    step_s
        Minimum time between two samples; seconds.
    size
        Maximum number of samples.
    times
        Time of each sample, ascending; seconds since 1970-01-01 UTC.
    rows
        Total, slow and failed requests of each service at each sample.
    """

    step_s: int
    size: int
    times: list[int] = msgspec.field(default_factory=list)
    rows: dict[ServiceName, list[tuple[int, int, int]]] = msgspec.field(default_factory=dict)

    def add(self, at: int, totals: dict[ServiceName, RequestCounts]) -> None:
        if self.times and at - self.times[-1] < self.step_s:
            return
        before = len(self.times)
        self.times.append(at)
        for service in totals:
            self.rows.setdefault(service, [(0, 0, 0)] * before)
        for service, rows in self.rows.items():
            count = totals.get(service, RequestCounts())
            rows.append((count.total, count.slow, count.failed))
        if len(self.times) > self.size:
            del self.times[0]
            for rows in self.rows.values():
                del rows[0]


class BurnHistory:
    """Past values of a region's counters, for the windows of the burn report."""

    def __init__(self) -> None:
        self._fine = _Ring(FINE_INTERVAL_S, MAX_FINE_SAMPLES)
        self._coarse = _Ring(COARSE_INTERVAL_S, MAX_COARSE_SAMPLES)

    def add(self, wall: float, totals: dict[ServiceName, RequestCounts]) -> None:
        """Add a sample of the counters, unless the last sample is less than a step old."""
        self._fine.add(int(wall), totals)
        self._coarse.add(int(wall), totals)

    @property
    def last_sample_at(self) -> int:
        """Time of the newest sample; seconds since 1970-01-01 UTC, 0 for none."""
        return self._fine.times[-1] if self._fine.times else 0

    def services(self) -> tuple[ServiceName, ...]:
        """Return the services that have samples."""
        return tuple(sorted({*self._fine.rows, *self._coarse.rows}))

    def sample_at(self, service: ServiceName, wall: float) -> Sample | None:
        """Return the newest sample of a service taken at `wall` or before, or None."""
        for ring in (self._fine, self._coarse):
            index = bisect_right(ring.times, wall) - 1
            if index >= 0 and service in ring.rows:
                return Sample(ring.times[index], RequestCounts(*ring.rows[service][index]))
        return None

    def oldest_sample(self, service: ServiceName) -> Sample | None:
        """Return the oldest sample of a service, or None."""
        rings = [ring for ring in (self._coarse, self._fine) if service in ring.rows]
        oldest = [Sample(ring.times[0], RequestCounts(*ring.rows[service][0])) for ring in rings]
        return min(oldest, key=lambda sample: sample.at) if oldest else None

    def fine_samples(self, service: ServiceName) -> list[Sample]:
        """Return the samples of a service at the fine resolution, oldest first."""
        rows = self._fine.rows.get(service, [])
        times = self._fine.times
        return [Sample(at, RequestCounts(*row)) for at, row in zip(times, rows, strict=bool(rows))]

    def encode(self) -> bytes:
        """Return the history as it is stored in the key-value store."""
        return msgspec.msgpack.encode([_encode_ring(self._fine), _encode_ring(self._coarse)])

    @classmethod
    def decode(cls, data: bytes) -> BurnHistory:
        """Return the history that `encode` encoded; raises `ValueError` if it is damaged."""
        history = cls()
        if not data:
            return history
        try:
            fine, coarse = decode_with(_rings_decoder.decode, data)
            history._fine = _decode_ring(fine, MAX_FINE_SAMPLES)
            history._coarse = _decode_ring(coarse, MAX_COARSE_SAMPLES)
        except (InputError, zlib.error) as exc:
            raise ValueError(f"damaged history: {exc}") from exc
        return history


class _EncodedRing(msgspec.Struct, frozen=True):
    """Stored form of a ring: differences between samples, compressed."""

    step_s: int
    services: tuple[ServiceName, ...]
    columns: bytes


_rings_decoder = msgspec.msgpack.Decoder(tuple[_EncodedRing, _EncodedRing])


def _encode_ring(ring: _Ring) -> _EncodedRing:
    services = tuple(sorted(ring.rows))
    rows = [ring.times]
    for service in services:
        rows.extend(list(column) for column in zip(*ring.rows[service], strict=True))
    if not ring.times:
        return _EncodedRing(ring.step_s, (), b"")
    return _EncodedRing(ring.step_s, services, pack_columns(np.array(rows, dtype=np.int64)))


def _decode_ring(form: _EncodedRing, size: int) -> _Ring:
    if not form.columns:
        return _Ring(form.step_s, size)
    rows = unpack_columns(form.columns, 1 + COUNTERS_PER_SERVICE * len(form.services))
    rows_by_service = {}
    for number, service in enumerate(form.services):
        first = 1 + COUNTERS_PER_SERVICE * number
        columns = rows[first : first + COUNTERS_PER_SERVICE].tolist()
        rows_by_service[service] = [tuple(row) for row in zip(*columns, strict=True)]
    return _Ring(form.step_s, size, rows[0].tolist(), rows_by_service)


def pack_columns(rows: NDArray[np.int64]) -> bytes:
    """Compress a table of which each row holds one counter's successive values, as differences."""
    deltas = np.diff(rows, axis=1, prepend=np.int64(0)).astype("<i8")
    planes = deltas.view(np.uint8).reshape(-1, 8).T
    return zlib.compress(planes.tobytes(), COMPRESSION_LEVEL)


def unpack_columns(data: bytes, rows: int) -> NDArray[np.int64]:
    """Return the counters that `pack_columns` packed; raises `ValueError` or `zlib.error`."""
    planes = np.frombuffer(zlib.decompress(data), dtype=np.uint8).reshape(8, -1)
    deltas = np.ascontiguousarray(planes.T).view("<i8").reshape(rows, -1)
    return np.cumsum(deltas, axis=1, dtype=np.int64)
