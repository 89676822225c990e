"""Where the parts of a configuration can be had: which peers hold a version, and the service."""

from __future__ import annotations

import random
from collections.abc import Iterable

import msgspec

from gooseberryport_core._store_calls import CALLS_OF_ONE_USER, StoreUser
from gooseberryport_core.config_store import part_key
from gooseberryport_core.effects import Effect, StoreGet
from gooseberryport_core.events import Event, StoreFailed, StoreGot
from gooseberryport_core.messages import Heartbeat
from gooseberryport_core.types import CallId, ConfigVersion, RegionName, StoreReach, VmId

PARALLEL_READS = 8
REPEAT_S = 1.5
"""Time after which a read without an answer, or of an absent part, is repeated; seconds."""


class _Word(msgspec.Struct, frozen=True):
    version: ConfigVersion
    address: str
    region: RegionName
    store: StoreReach
    heard_at: float


class PeerVersions:
    """Keep which version each peer has in force.

    Parameters
    ----------
    region
        This daemon's region.
    timeout_s
        Silence after which a peer no longer counts; seconds.
    rng
        Source of jitter.
    """

    def __init__(self, *, region: RegionName, timeout_s: float, rng: random.Random) -> None:
        self._region = region
        self._timeout_s = timeout_s
        self._words: dict[VmId, _Word] = {}
        self.jitter = rng.random()

    def record_heartbeats(self, beats: Iterable[Heartbeat], now: float) -> None:
        """Take heartbeats."""
        for beat in beats:
            self._words[beat.vm] = _Word(
                beat.config_version, beat.address, beat.region, beat.store, now
            )

    def highest_version(self, now: float) -> ConfigVersion:
        """Return the highest version that a peer told of late; 0 if none did."""
        return max((word.version for word in self._fresh(now)), default=ConfigVersion(0))

    def holder_addresses(self, version: ConfigVersion, now: float) -> list[str]:
        """Return the peers that hold a version or a newer one, those of the region if any do."""
        fresh = [word for word in self._fresh(now) if word.version >= version]
        near = [word for word in fresh if word.region == self._region]
        return sorted(word.address for word in near or fresh)

    def watcher_candidates(self, now: float) -> list[VmId]:
        """Return the region's daemons heard of late that may reach the service."""
        return [
            vm
            for vm, word in self._words.items()
            if word.region == self._region
            and word.store != StoreReach.UNREACHABLE
            and word.heard_at >= now - self._timeout_s
        ]

    def _fresh(self, now: float) -> list[_Word]:
        return [w for w in self._words.values() if w.heard_at >= now - self._timeout_s]


class StorePartReader:
    """Read parts from the key-value service, a few at once."""

    def __init__(self) -> None:
        self._number = StoreUser.CONFIG * CALLS_OF_ONE_USER
        self._pending: dict[CallId, str] = {}
        self._repeat_at: dict[str, float] = {}

    def start_reads(self, digests: Iterable[str], now: float) -> list[Effect]:
        """Return reads of parts that are not being read."""
        self._forget_late(now)
        effects: list[Effect] = []
        for digest in digests:
            if len(self._pending) >= PARALLEL_READS:
                break
            if now < self._repeat_at.get(digest, now):
                continue
            self._number += 1
            self._pending[CallId(self._number)] = digest
            self._repeat_at[digest] = now + REPEAT_S
            effects.append(StoreGet(CallId(self._number), part_key(digest)))
        return effects

    def handle(self, event: Event) -> bytes | None:
        """Take an answer; return the part if this is one."""
        if not isinstance(event, StoreGot | StoreFailed):
            return None
        digest = self._pending.pop(event.call_id, None)
        if digest is None or isinstance(event, StoreFailed) or not event.values:
            return None
        return event.values[0].value or None

    def _forget_late(self, now: float) -> None:
        late = [call for call, digest in self._pending.items() if now >= self._repeat_at[digest]]
        for call in late:
            del self._pending[call]
