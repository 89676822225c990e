"""Service-level counters that outlive the daemons, in one record for each region.

Each daemon counts its own callers' requests and tells two writers of its region, chosen by
rendezvous hash. The first writes the merged counters and their history to the key-value service,
the second does if it sees that nobody has. Neither the writes nor their size grow with requests.
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
    "BurnLine",
    "BurnRecord",
    "BurnWindow",
    "RequestCounts",
    "BurnHistory",
    "RegionCounts",
    "Sample",
    "BurnSeverity",
    "burn_lines",
    "burn_series",
    "decode_burn_record",
    "burn_record_key",
]

BURN_PREFIX = "burn/"

NOTICE_PERIOD_S = 10.0
"""Time between two notices of a daemon; a killed daemon's requests since the last are not
counted."""

WRITE_PERIOD_S = 60.0
"""Time between two writes of a region's record."""

STALE_AFTER_S = 150.0
"""Age of a record at which its second writer steps in."""

WRITERS = 2
COUNTS_IN_NOTICE = 16
"""Services in one notice, so that it fits into a datagram."""


class BurnRecord(msgspec.Struct):
    """What the key-value service keeps of a region.

    Parameters
    ----------
    written_at
        Wall clock of the writer; seconds since 1970-01-01 UTC.
    counts
        The counters.
    history
        Encoded `BurnHistory`.
    """

    region: RegionName
    written_at: float = 0.0
    counts: RegionCounts = msgspec.field(default_factory=RegionCounts)
    history: bytes = b""


def burn_record_key(region: RegionName) -> str:
    """Return the key of a region's record."""
    return BURN_PREFIX + region


def decode_burn_record(value: bytes) -> BurnRecord:
    """Return the record in a value; raises `msgspec.MsgspecError` if it is not one."""
    return msgspec.msgpack.decode(value, type=BurnRecord)


class BurnCounters:
    """Count this daemon's requests, and take a writer's part for its region when chosen.

    Parameters
    ----------
    settings
        Who this daemon is.
    peers
        What membership knows.
    rng
        Source of jitter.
    """

    def __init__(self, *, settings: NodeSettings, peers: Peers, rng: random.Random) -> None:
        self._settings = settings
        self._peers = peers
        self._rng = rng
        self._cfg = Config()
        self._wall = 0.0
        self._own: dict[ServiceName, RequestCounts] = {}
        self._started: dict[RequestId, tuple[ServiceName, float]] = {}
        self._heard = RegionCounts()
        self._writing: BurnRecord | None = None
        self._call = StoreCall(user=StoreUser.BURN, limit_s=settings.timing.store_timeout_s)
        self._next_notice = rng.uniform(0.0, NOTICE_PERIOD_S)
        self._next_write = float("-inf")
        self._began = False

    def configure(self, cfg: Config, now: float) -> list[Effect]:
        """Take a newer configuration."""
        self._cfg = cfg
        return []

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Handle an event."""
        if isinstance(event, RequestArrived):
            self._started[event.request_id] = (event.service, now)
        elif isinstance(event, RequestCancelled):
            self._started.pop(event.request_id, None)
        elif isinstance(event, MessageArrived) and isinstance(event.message, CountNotice):
            self._heard.record_notice(event.message, self._wall)
        elif isinstance(event, Tick):
            return self._tick(event, now)
        elif self._call.end(event):
            return self._answered(event, now)
        return []

    def record_finished_requests(self, effects: list[Effect], now: float) -> None:
        """Count the requests that these effects end."""
        for effect in effects:
            if isinstance(effect, FinishRequest) and effect.request_id in self._started:
                service, arrived_at = self._started.pop(effect.request_id)
                failed = effect.outcome != Outcome.ANSWERED
                self.record(service, duration_s=now - arrived_at, failed=failed)

    def record(self, service: ServiceName, *, duration_s: float, failed: bool) -> None:
        """Count one request of a service that is configured.

        Parameters
        ----------
        duration_s
            Time from its arrival to its end; seconds.
        failed
            Whether its caller got no answer of an upstream.
        """
        entry = self._cfg.services.get(service)
        if entry is None:
            return
        slow = failed or duration_s > entry.latency_objective_s
        counted = RequestCounts(1, int(slow), int(failed))
        self._own[service] = self._own.get(service, RequestCounts()).add(counted)

    def own_counts(self) -> tuple[ServiceCount, ...]:
        """Return what this daemon has counted since its start."""
        return tuple(make_service_counts(self._own))

    def _tick(self, event: Tick, now: float) -> list[Effect]:
        self._wall = event.wall
        self._call.expire(now)
        if not self._began:
            self._began = True
            self._next_notice += now
            self._next_write = now + self._rng.uniform(0.5, 1.0) * WRITE_PERIOD_S
        effects: list[Effect] = []
        if now >= self._next_notice:
            self._next_notice = now + NOTICE_PERIOD_S * self._rng.uniform(0.9, 1.1)
            effects.extend(self._tell(now))
        if now >= self._next_write and not self._call.pending:
            self._next_write = now + WRITE_PERIOD_S * self._rng.uniform(0.95, 1.05)
            if self._rank(now) is not None:
                key = burn_record_key(self._settings.region)
                effects.append(StoreGet(self._call.begin(now), key))
        return effects

    def _tell(self, now: float) -> list[Effect]:
        notices = self._notices()
        me = self._settings.vm
        effects: list[Effect] = []
        for vm in self._writers(now):
            if vm == me:
                for notice in notices:
                    self._heard.record_notice(notice, self._wall)
                continue
            peer = self._peers.peer(vm)
            if peer is not None:
                effects.extend(SendMessage(peer.address, notice) for notice in notices)
        return effects

    def _notices(self) -> list[CountNotice]:
        me = self._settings
        counts = self.own_counts()
        starts = range(0, len(counts), COUNTS_IN_NOTICE)
        return [
            CountNotice(me.vm, me.incarnation, counts[first : first + COUNTS_IN_NOTICE])
            for first in starts
        ]

    def _writers(self, now: float) -> list[VmId]:
        """Return the daemons of this region that write its record, first choice first."""
        region = self._settings.region
        members = [peer.vm for peer in self._peers.live(now) if peer.region == region]
        members.append(self._settings.vm)
        record = burn_record_key(region)
        members.sort(key=lambda vm: rendezvous_weight(vm, record), reverse=True)
        return members[:WRITERS]

    def _rank(self, now: float) -> int | None:
        writers = self._writers(now)
        return writers.index(self._settings.vm) if self._settings.vm in writers else None

    def _answered(self, event: Event, now: float) -> list[Effect]:
        if isinstance(event, StoreGot) and event.values:
            return self._write(event.values[0].value, event.values[0].revision, now)
        if isinstance(event, StoreWritten) and event.applied and self._writing is not None:
            self._forget_written(self._writing)
        return []

    def _write(self, value: bytes, revision: Revision, now: float) -> list[Effect]:
        record = self._decode(value)
        rank = self._rank(now)
        fresh = self._wall - record.written_at < STALE_AFTER_S
        if rank is None or (rank > 0 and fresh):
            return []
        counts = record.counts
        for run in self._heard.runs:
            counts.merge_run(run)
        counts.fold(self._wall)
        history = _history_of(record)
        history.add(self._wall, counts.totals())
        self._writing = BurnRecord(
            self._settings.region, max(self._wall, record.written_at), counts, history.encode()
        )
        encoded = msgspec.msgpack.encode(self._writing)
        return [StoreSwap(self._call.begin(now), burn_record_key(record.region), encoded, revision)]

    def _decode(self, value: bytes) -> BurnRecord:
        """Return the record as it stands; a damaged one starts anew."""
        try:
            return decode_burn_record(value) if value else BurnRecord(self._settings.region)
        except msgspec.MsgspecError:
            return BurnRecord(self._settings.region)

    def _forget_written(self, written: BurnRecord) -> None:
        """Drop what the service holds now and nobody has told again since."""
        kept = {(run.vm, run.incarnation): run for run in written.counts.runs}
        self._heard.runs = [run for run in self._heard.runs if not _is_held(run, kept)]


def _is_held(run: RunCounts, kept: dict[tuple[VmId, Incarnation], RunCounts]) -> bool:
    held = kept.get((run.vm, run.incarnation))
    return (
        held is not None and held.counts == run.counts and held.last_report_at >= run.last_report_at
    )


def _history_of(record: BurnRecord) -> BurnHistory:
    try:
        return BurnHistory.decode(record.history)
    except ValueError:
        return BurnHistory()
