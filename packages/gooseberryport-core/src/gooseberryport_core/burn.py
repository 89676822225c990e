"""Service-level counters that outlive the daemons, in one burn record for each region.

Each daemon counts its own callers' requests and reports the counters to two writers of its region,
chosen by rendezvous hashing. The first writer merges them and writes them with their history to the
key-value store; the second does so only if the record is stale. Neither the number of writes nor
their size grows with the number of requests.
"""

from __future__ import annotations

import random

import msgspec

from gooseberryport_core._burn_counts import (
    RegionCounts,
    RequestCounts,
    RunCounts,
    make_service_counts,
)
from gooseberryport_core._burn_history import BurnHistory, Sample
from gooseberryport_core._burn_report import (
    BurnLine,
    BurnSeverity,
    BurnWindow,
    burn_lines,
    burn_series,
)
from gooseberryport_core._hashing import rendezvous_weight
from gooseberryport_core._store_calls import StoreCall, StoreUser
from gooseberryport_core._views import Peers
from gooseberryport_core.config import Config
from gooseberryport_core.decoding import InputError, decode_msgpack
from gooseberryport_core.effects import Effect, FinishRequest, SendMessage, StoreGet, StoreSwap
from gooseberryport_core.events import (
    Event,
    MessageArrived,
    RequestArrived,
    RequestCancelled,
    StoreGot,
    StoreWritten,
    Tick,
)
from gooseberryport_core.messages import CountNotice, ServiceCount
from gooseberryport_core.settings import NodeSettings
from gooseberryport_core.types import (
    Incarnation,
    Outcome,
    RegionName,
    RequestId,
    Revision,
    ServiceName,
    VmId,
)

__all__ = [
    "BURN_PREFIX",
    "BurnCounters",
    "BurnHistory",
    "BurnLine",
    "BurnRecord",
    "BurnSeverity",
    "BurnWindow",
    "RegionCounts",
    "RequestCounts",
    "Sample",
    "burn_lines",
    "burn_record_key",
    "burn_series",
    "decode_burn_record",
]

BURN_PREFIX = "burn/"

NOTICE_INTERVAL_S = 10.0
"""Time between two reports of a daemon to the writers. Requests that a daemon ended after its last
report are not counted if it crashes."""

WRITE_INTERVAL_S = 60.0
"""Time between two writes of a region's burn record."""

STALE_RECORD_TIMEOUT_S = 150.0
"""Age of a burn record from which the second writer writes it too."""

WRITERS_PER_REGION = 2
MAX_COUNTS_PER_NOTICE = 16
"""Maximum number of services in one `CountNotice`, so that it fits into a datagram."""


class BurnRecord(msgspec.Struct):
    """Value that the key-value store holds for a region.

    Parameters
    ----------
    written_at
        Wall clock of the writer at the write; seconds since 1970-01-01 UTC.
    counts
        Counters of the region's daemons.
    history
        Encoded `BurnHistory`.
    """

    region: RegionName
    written_at: float = 0.0
    counts: RegionCounts = msgspec.field(default_factory=RegionCounts)
    history: bytes = b""


def burn_record_key(region: RegionName) -> str:
    """Return the key of a region's burn record."""
    return BURN_PREFIX + region


def decode_burn_record(value: bytes) -> BurnRecord:
    """Return the burn record in a value; raises `InputError` if it is not one."""
    return decode_msgpack(value, expected_type=BurnRecord)


class BurnCounters:
    """Count this daemon's requests, and write its region's burn record if it is one of the writers.

    Parameters
    ----------
    settings
        Settings of this daemon.
    peers
        The daemons that membership knows.
    rng
        Source of jitter.
    """

    def __init__(self, *, settings: NodeSettings, peers: Peers, rng: random.Random) -> None:
        self._settings = settings
        self._peers = peers
        self._rng = rng
        self._cfg = Config()
        self._wall = 0.0
        self._own_counts: dict[ServiceName, RequestCounts] = {}
        self._requests: dict[RequestId, tuple[ServiceName, float]] = {}
        self._reported = RegionCounts()
        self._record_in_flight: BurnRecord | None = None
        self._call = StoreCall(user=StoreUser.BURN, timeout_s=settings.timing.store_timeout_s)
        self._next_notice_at = rng.uniform(0.0, NOTICE_INTERVAL_S)
        self._next_write_at = float("-inf")
        self._has_started = False

    def configure(self, cfg: Config, now: float) -> list[Effect]:
        """Apply a newer configuration."""
        self._cfg = cfg
        return []

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Handle an event."""
        if isinstance(event, RequestArrived):
            self._requests[event.request_id] = (event.service, now)
        elif isinstance(event, RequestCancelled):
            self._requests.pop(event.request_id, None)
        elif isinstance(event, MessageArrived) and isinstance(event.message, CountNotice):
            self._reported.record_notice(event.message, self._wall)
        elif isinstance(event, Tick):
            return self._tick(event, now)
        elif self._call.end(event):
            return self._handle_store_reply(event, now)
        return []

    def record_finished_requests(self, effects: list[Effect], now: float) -> None:
        """Count the requests that the effects end."""
        for effect in effects:
            if isinstance(effect, FinishRequest) and effect.request_id in self._requests:
                service, arrived_at = self._requests.pop(effect.request_id)
                failed = effect.outcome != Outcome.ANSWERED
                self.record(service, duration_s=now - arrived_at, failed=failed)

    def record(self, service: ServiceName, *, duration_s: float, failed: bool) -> None:
        """Count one request, if its service is configured.

        Parameters
        ----------
        duration_s
            Time from the request's arrival to its end; seconds.
        failed
            Whether the caller received no answer from an upstream.
        """
        entry = self._cfg.services.get(service)
        if entry is None:
            return
        slow = failed or duration_s > entry.latency_objective_s
        request = RequestCounts(1, int(slow), int(failed))
        self._own_counts[service] = self._own_counts.get(service, RequestCounts()).add(request)

    def own_counts(self) -> tuple[ServiceCount, ...]:
        """Return this daemon's counters since its start."""
        return tuple(make_service_counts(self._own_counts))

    def _tick(self, event: Tick, now: float) -> list[Effect]:
        self._wall = event.wall
        self._call.expire(now)
        if not self._has_started:
            self._has_started = True
            self._next_notice_at += now
            self._next_write_at = now + self._rng.uniform(0.5, 1.0) * WRITE_INTERVAL_S
        effects: list[Effect] = []
        if now >= self._next_notice_at:
            self._next_notice_at = now + NOTICE_INTERVAL_S * self._rng.uniform(0.9, 1.1)
            effects.extend(self._send_notices(now))
        if now >= self._next_write_at and not self._call.pending:
            self._next_write_at = now + WRITE_INTERVAL_S * self._rng.uniform(0.95, 1.05)
            if self._writer_rank(now) is not None:
                key = burn_record_key(self._settings.region)
                effects.append(StoreGet(self._call.begin(now), key))
        return effects

    def _send_notices(self, now: float) -> list[Effect]:
        notices = self._make_notices()
        own_vm = self._settings.vm
        effects: list[Effect] = []
        for vm in self._writers(now):
            if vm == own_vm:
                for notice in notices:
                    self._reported.record_notice(notice, self._wall)
                continue
            peer = self._peers.peer(vm)
            if peer is not None:
                effects.extend(SendMessage(peer.address, notice) for notice in notices)
        return effects

    def _make_notices(self) -> list[CountNotice]:
        settings = self._settings
        counts = self.own_counts()
        starts = range(0, len(counts), MAX_COUNTS_PER_NOTICE)
        return [
            CountNotice(
                settings.vm, settings.incarnation, counts[first : first + MAX_COUNTS_PER_NOTICE]
            )
            for first in starts
        ]

    def _writers(self, now: float) -> list[VmId]:
        """Return the daemons of this region that write its burn record, the first writer first."""
        region = self._settings.region
        members = [peer.vm for peer in self._peers.live(now) if peer.region == region]
        members.append(self._settings.vm)
        key = burn_record_key(region)
        members.sort(key=lambda vm: rendezvous_weight(vm, key), reverse=True)
        return members[:WRITERS_PER_REGION]

    def _writer_rank(self, now: float) -> int | None:
        writers = self._writers(now)
        return writers.index(self._settings.vm) if self._settings.vm in writers else None

    def _handle_store_reply(self, event: Event, now: float) -> list[Effect]:
        if isinstance(event, StoreGot) and event.values:
            return self._write_record(event.values[0].value, event.values[0].revision, now)
        if isinstance(event, StoreWritten) and event.applied and self._record_in_flight is not None:
            self._forget_written(self._record_in_flight)
        return []

    def _write_record(self, value: bytes, revision: Revision, now: float) -> list[Effect]:
        record = self._decode_or_new(value)
        rank = self._writer_rank(now)
        is_fresh = self._wall - record.written_at < STALE_RECORD_TIMEOUT_S
        if rank is None or (rank > 0 and is_fresh):
            return []
        counts = record.counts
        for run in self._reported.runs:
            counts.merge_run(run)
        counts.fold(self._wall)
        history = _decode_history(record)
        history.add(self._wall, counts.totals())
        self._record_in_flight = BurnRecord(
            self._settings.region, max(self._wall, record.written_at), counts, history.encode()
        )
        encoded = msgspec.msgpack.encode(self._record_in_flight)
        return [StoreSwap(self._call.begin(now), burn_record_key(record.region), encoded, revision)]

    def _decode_or_new(self, value: bytes) -> BurnRecord:
        """Return the stored record, or a new one if there is none or it is damaged."""
        try:
            return decode_burn_record(value) if value else BurnRecord(self._settings.region)
        except InputError:
            return BurnRecord(self._settings.region)

    def _forget_written(self, written: BurnRecord) -> None:
        """Forget the runs that are stored now, unless a newer report of them was received."""
        stored = {(run.vm, run.incarnation): run for run in written.counts.runs}
        self._reported.runs = [run for run in self._reported.runs if not _is_stored(run, stored)]


def _is_stored(run: RunCounts, stored: dict[tuple[VmId, Incarnation], RunCounts]) -> bool:
    written = stored.get((run.vm, run.incarnation))
    return (
        written is not None
        and written.counts == run.counts
        and written.last_report_at >= run.last_report_at
    )


def _decode_history(record: BurnRecord) -> BurnHistory:
    try:
        return BurnHistory.decode(record.history)
    except ValueError:
        return BurnHistory()
