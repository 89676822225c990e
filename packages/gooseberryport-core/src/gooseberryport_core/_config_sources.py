"""Sources of a configuration's parts: the peers that hold a version, and the key-value store."""

from __future__ import annotations

import random
from collections.abc import Iterable

import msgspec

from gooseberryport_core._store_calls import CALL_IDS_PER_USER, StoreUser
from gooseberryport_core.config_store import part_key
from gooseberryport_core.effects import Effect, StoreGet
from gooseberryport_core.events import Event, StoreFailed, StoreGot
from gooseberryport_core.messages import Heartbeat
from gooseberryport_core.types import CallId, ConfigVersion, RegionName, StoreReach, VmId

MAX_PARALLEL_READS = 8
READ_RETRY_INTERVAL_S = 1.5
"""Time after which a part is read again if the read got no reply or the part was absent."""


class _PeerVersion(msgspec.Struct, frozen=True):
    version: ConfigVersion
    address: str
    region: RegionName
    store: StoreReach
    last_heartbeat_at: float


class PeerVersions:
    """Configuration version that each peer has applied, from its heartbeats.

    Parameters
    ----------
    region
        Region of this daemon.
    timeout_s
        Time without a heartbeat after which a peer is ignored; seconds.
    rng
        Source of jitter.
    """

    def __init__(self, *, region: RegionName, timeout_s: float, rng: random.Random) -> None:
        self._region = region
        self._timeout_s = timeout_s
        self._versions: dict[VmId, _PeerVersion] = {}
        self.jitter = rng.random()

    def record_heartbeats(self, heartbeats: Iterable[Heartbeat], now: float) -> None:
        """Record the versions that heartbeats carry."""
        for heartbeat in heartbeats:
            self._versions[heartbeat.vm] = _PeerVersion(
                heartbeat.config_version, heartbeat.address, heartbeat.region, heartbeat.store, now
            )

    def highest_version(self, now: float) -> ConfigVersion:
        """Return the highest version of the live peers; 0 if there are none."""
        return max((peer.version for peer in self._live_peers(now)), default=ConfigVersion(0))

    def holder_addresses(self, version: ConfigVersion, now: float) -> list[str]:
        """Return the addresses of peers that hold a version or a newer one.

        Only peers of this region are returned if any of them holds it.
        """
        holders = [peer for peer in self._live_peers(now) if peer.version >= version]
        nearby = [peer for peer in holders if peer.region == self._region]
        return sorted(peer.address for peer in nearby or holders)

    def watcher_candidates(self, now: float) -> list[VmId]:
        """Return the region's live daemons that don't report the key-value store unreachable."""
        return [
            vm
            for vm, peer in self._versions.items()
            if peer.region == self._region
            and peer.store != StoreReach.UNREACHABLE
            and peer.last_heartbeat_at >= now - self._timeout_s
        ]

    def _live_peers(self, now: float) -> list[_PeerVersion]:
        return [p for p in self._versions.values() if p.last_heartbeat_at >= now - self._timeout_s]


class StorePartReader:
    """Reads parts from the key-value store, a limited number at once."""

    def __init__(self) -> None:
        self._last_call = StoreUser.CONFIG * CALL_IDS_PER_USER
        self._pending: dict[CallId, str] = {}
        self._retry_at: dict[str, float] = {}

    def start_reads(self, digests: Iterable[str], now: float) -> list[Effect]:
        """Start reads of the parts that are neither being read nor were read a short time ago."""
        self._forget_overdue(now)
        effects: list[Effect] = []
        for digest in digests:
            if len(self._pending) >= MAX_PARALLEL_READS:
                break
            if now < self._retry_at.get(digest, now):
                continue
            self._last_call += 1
            self._pending[CallId(self._last_call)] = digest
            self._retry_at[digest] = now + READ_RETRY_INTERVAL_S
            effects.append(StoreGet(CallId(self._last_call), part_key(digest)))
        return effects

    def handle(self, event: Event) -> bytes | None:
        """Handle a store reply; return the part's content if the event carries it."""
        if not isinstance(event, StoreGot | StoreFailed):
            return None
        digest = self._pending.pop(event.call_id, None)
        if digest is None or isinstance(event, StoreFailed) or not event.values:
            return None
        return event.values[0].value or None

    def _forget_overdue(self, now: float) -> None:
        overdue = [call for call, digest in self._pending.items() if now >= self._retry_at[digest]]
        for call in overdue:
            del self._pending[call]
