"""Which upstreams of a pool look well, by what their owner saw."""

from __future__ import annotations

import random
from enum import Enum

import msgspec

from gooseberryport_core.types import UpstreamId

MAX_CONSECUTIVE_FAILURES = 3
"""Failures one after another that make an upstream look bad."""

FAILURE_SMOOTHING = 0.1
"""Weight of the newest attempt in an upstream's share of failures."""

BAD_SHARE = 0.5
"""Share of failures from which an upstream looks bad."""

LEAST_ATTEMPTS = 10
"""Attempts before an upstream's share of failures counts."""

MAX_EJECTED_FRACTION = 0.5
"""Most of a pool's upstreams that are ejected at once."""

FIRST_EJECTION_S = 1.0
"""Length of an upstream's first ejection; each later one in a row is twice as long; seconds."""

MAX_EJECTION_S = 30.0
"""Longest ejection; seconds."""


class Evidence(Enum):
    """What an attempt told of its upstream."""

    GOOD = "good"
    FAILED = "failed"
    UNREACHABLE = "unreachable"
    """No connection could be made: the upstream runs nothing for us."""


class _State(Enum):
    """Whether an upstream gets work."""

    IN_USE = "in-use"
    EJECTED = "ejected"


class _Record(msgspec.Struct):
    """What was seen of one upstream."""

    state: _State = _State.IN_USE
    in_a_row: int = 0
    unreachable: bool = False
    attempts: int = 0
    failed_share: float = 0.0
    ejected_until: float = 0.0
    ejection_s: float = FIRST_EJECTION_S
    returned_at: float = float("-inf")

    @property
    def bad(self) -> bool:
        often = self.attempts >= LEAST_ATTEMPTS and self.failed_share >= BAD_SHARE
        return self.in_a_row >= MAX_CONSECUTIVE_FAILURES or often


class PoolHealth:
    """Eject upstreams that fail, probe them, and give them their slots back slowly.

    Never more than a part of the pool is ejected: if all look bad, the measurements are likelier
    to be wrong than every upstream, and the rest serves on within its slots. An upstream that
    can't be reached at all and may not be ejected is tried one request at a time.

    Parameters
    ----------
    rng
        Source of jitter.
    """

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._records: dict[UpstreamId, _Record] = {}
        self._slow_start_s = 0.0

    def configure(self, upstreams: tuple[UpstreamId, ...], slow_start_s: float, now: float) -> None:
        """Take the pool's upstreams; those that join a pool already known start slowly."""
        joined_at = now if self._records else float("-inf")
        self._slow_start_s = slow_start_s
        self._records = {
            name: self._records.get(name) or _Record(returned_at=joined_at) for name in upstreams
        }

    def allowed_slots(self, upstream: UpstreamId, limit: int, now: float) -> int:
        """Return how many of `limit` slots an upstream may use now."""
        record = self._records.get(upstream)
        if record is None:
            return limit
        if record.state is not _State.IN_USE:
            return min(limit, 1) if now >= record.ejected_until else 0
        if record.bad and record.unreachable:
            return min(limit, 1)
        since_s = now - record.returned_at
        if since_s >= self._slow_start_s:
            return limit
        return min(limit, 1 + int(limit * since_s / self._slow_start_s))

    def is_unhealthy(self, upstream: UpstreamId) -> bool:
        """Return whether other upstreams should be preferred."""
        record = self._records.get(upstream)
        return record is not None and (record.bad or record.state is not _State.IN_USE)

    @property
    def failing(self) -> bool:
        """Whether each upstream looks bad."""
        return bool(self._records) and all(self.is_unhealthy(name) for name in self._records)

    def record(self, upstream: UpstreamId, evidence: Evidence, now: float) -> None:
        """Take what an attempt told."""
        record = self._records.get(upstream)
        if record is None:
            return
        failed = evidence is not Evidence.GOOD
        record.attempts += 1
        record.failed_share += FAILURE_SMOOTHING * (failed - record.failed_share)
        record.in_a_row = record.in_a_row + 1 if failed else 0
        record.unreachable = evidence is Evidence.UNREACHABLE
        if record.state is _State.IN_USE:
            if record.bad and self._may_eject():
                self._eject(record, now)
        elif now >= record.ejected_until:
            self._take_probe(record, failed, now)

    def _take_probe(self, record: _Record, failed: bool, now: float) -> None:
        if failed:
            record.ejection_s = min(2 * record.ejection_s, MAX_EJECTION_S)
            self._eject(record, now)
            return
        record.state = _State.IN_USE
        record.returned_at = now
        record.attempts = 0
        record.failed_share = 0.0
        record.ejection_s = FIRST_EJECTION_S

    def _may_eject(self) -> bool:
        out = sum(1 for record in self._records.values() if record.state is not _State.IN_USE)
        return out + 1 <= MAX_EJECTED_FRACTION * len(self._records)

    def _eject(self, record: _Record, now: float) -> None:
        record.state = _State.EJECTED
        record.ejected_until = now + record.ejection_s * self._rng.uniform(1.0, 1.25)
