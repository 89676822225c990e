"""Fetch of the newest configuration, from the key-value store or from peers."""

from __future__ import annotations

import random

from returns.result import Failure

from gooseberryport_core._config_candidate import ConfigCandidate
from gooseberryport_core._config_head import HeadWatch, is_watcher
from gooseberryport_core._config_pieces import HEAD_DIGEST, PeerFetch, content_digest, make_reply
from gooseberryport_core._config_sources import PeerVersions, StorePartReader
from gooseberryport_core._invariants import Invariant, check
from gooseberryport_core._region_peers import heartbeats_in
from gooseberryport_core._views import Peers
from gooseberryport_core.config import Config
from gooseberryport_core.config_files import load_config
from gooseberryport_core.effects import ConfigChanged, Effect, LogEvent, LogLevel
from gooseberryport_core.events import Event, MessageArrived, Tick
from gooseberryport_core.log_events import LogNumber
from gooseberryport_core.messages import ConfigPiece, ConfigRequest
from gooseberryport_core.settings import NodeSettings
from gooseberryport_core.types import ConfigVersion

MAX_PARALLEL_FETCHES = 8
DISCOVERY_TIMEOUT_S = 1.0
"""Time for which a daemon after its start looks for the highest version among its peers before it
applies one, if the key-value store does not reply."""

PEER_FETCH_TIMEOUT_S = 2.0
"""Minimum time for which missing content is requested from peers only, before it is read from the
key-value store; jitter up to doubles it. A watcher reads parts at once if no peer holds them."""

MAX_LOGGED_PROBLEMS = 3


class ConfigSync:
    """Finds, fetches and applies the newest configuration.

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
        self._rng = rng
        self._cfg = Config()
        self._head = b""
        self._parts: dict[str, bytes] = {}
        self._peer_versions = PeerVersions(
            region=settings.region, timeout_s=settings.timing.peer_timeout_s, rng=rng
        )
        self._head_watch = HeadWatch(settings=settings, rng=rng)
        self._part_reads = StorePartReader()
        self._fetches: dict[str, PeerFetch] = {}
        self._candidate: ConfigCandidate | None = None
        self._rejected_version = ConfigVersion(0)
        self._started_at: float | None = None

    @property
    def cfg(self) -> Config:
        """The configuration that is applied."""
        return self._cfg

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Handle an event; `ConfigChanged` among the effects means that a newer one was applied."""
        if isinstance(event, Tick):
            return self._tick(now)
        if isinstance(event, MessageArrived):
            return self._handle_message(event, now)
        value = self._head_watch.handle(event, now)
        if value is not None:
            return self._handle_head(value.value, now)
        part = self._part_reads.handle(event)
        return self._handle_part(part, now) if part else []

    def _tick(self, now: float) -> list[Effect]:
        if self._started_at is None:
            self._started_at = now
        watcher = is_watcher(self._settings, self._peer_versions.watcher_candidates(now))
        effects = self._head_watch.tick(watcher=watcher, now=now)
        highest = self._peer_versions.highest_version(now)
        if highest > max(self._newest_known_version, self._rejected_version):
            self._candidate = self._new_candidate(highest, now)
        effects.extend(self._fetch_missing(watcher, now))
        effects.extend(self._load_if_complete(now))
        return effects

    def _handle_message(self, event: MessageArrived, now: float) -> list[Effect]:
        message = event.message
        self._peer_versions.record_heartbeats(heartbeats_in(event), now)
        if isinstance(message, ConfigRequest):
            return make_reply(
                message,
                event.address,
                version=self._cfg.version,
                head=self._head,
                parts=self._parts,
            )
        if isinstance(message, ConfigPiece):
            return self._handle_piece(message, event.address, now)
        return []

    @property
    def _newest_known_version(self) -> ConfigVersion:
        return self._candidate.version if self._candidate else self._cfg.version

    def _new_candidate(self, version: ConfigVersion, now: float) -> ConfigCandidate:
        self._fetches = {}
        known = self._candidate.parts if self._candidate else self._parts
        return ConfigCandidate(version=version, known=known, started_at=now)

    def _fetch_missing(self, watcher: bool, now: float) -> list[Effect]:
        """Request what is missing from peers, or after a timeout from the key-value store.

        A watcher reads parts from the store at once if no peer holds them.
        """
        candidate = self._candidate
        if candidate is None:
            return []
        wanted = candidate.missing() if candidate.head else (HEAD_DIGEST,)
        holders = self._peer_versions.holder_addresses(candidate.version, now)
        effects: list[Effect] = []
        for digest in wanted[:MAX_PARALLEL_FETCHES]:
            fetch = self._fetches.setdefault(digest, PeerFetch(digest=digest))
            effects.extend(fetch.tick(candidate.version, holders, self._rng, now))
        peer_timeout_s = PEER_FETCH_TIMEOUT_S * (1.0 + self._peer_versions.jitter)
        timed_out = now >= candidate.started_at + peer_timeout_s
        if candidate.head is None and timed_out:
            self._head_watch.request_read(now)
        elif candidate.head is not None and (timed_out or (watcher and not holders)):
            effects.extend(self._part_reads.start_reads(wanted, now))
        return effects

    def _handle_piece(self, piece: ConfigPiece, address: str, now: float) -> list[Effect]:
        fetch = self._fetches.get(HEAD_DIGEST if piece.version else piece.digest)
        if fetch is None:
            return []
        effects = fetch.add(piece, address, now)
        value = fetch.value()
        if value is None:
            return effects
        del self._fetches[fetch.digest]
        if fetch.digest == HEAD_DIGEST:
            effects.extend(self._handle_head(value, now))
        else:
            effects.extend(self._handle_part(value, now))
        return effects

    def _handle_head(self, value: bytes, now: float) -> list[Effect]:
        """Handle an encoded head from the key-value store or a peer."""
        candidate = self._candidate
        if candidate is None or candidate.head is not None:
            candidate = self._new_candidate(ConfigVersion(self._newest_known_version + 1), now)
        if candidate.accept_head(value) and candidate.version > self._rejected_version:
            self._candidate = candidate
        return self._load_if_complete(now)

    def _handle_part(self, part: bytes, now: float) -> list[Effect]:
        if self._candidate is None:
            return []
        self._candidate.parts[content_digest(part)] = part
        return self._load_if_complete(now)

    def _load_if_complete(self, now: float) -> list[Effect]:
        candidate = self._candidate
        if candidate is None or candidate.missing() or not self._can_load(candidate, now):
            return []
        files = candidate.files()
        if files is None:
            return []
        self._candidate = None
        loaded = load_config(files, candidate.version)
        if isinstance(loaded, Failure):
            self._rejected_version = candidate.version
            problems = [str(problem) for problem in loaded.failure()]
            return [_rejected_event(candidate.version, "; ".join(problems[:MAX_LOGGED_PROBLEMS]))]
        return self._apply(candidate, loaded.unwrap())

    def _can_load(self, candidate: ConfigCandidate, now: float) -> bool:
        """Return whether a candidate may be loaded.

        A daemon that has no configuration yet first waits for the key-value store to reply, or
        for `DISCOVERY_TIMEOUT_S`, so that it starts with the highest version.
        """
        if candidate.version <= self._cfg.version or candidate.head is None:
            return False
        started_at = now if self._started_at is None else self._started_at
        timed_out = now >= started_at + DISCOVERY_TIMEOUT_S
        return self._cfg.version > 0 or self._head_watch.has_reply or timed_out

    def _apply(self, candidate: ConfigCandidate, cfg: Config) -> list[Effect]:
        is_newer = cfg.version > self._cfg.version
        detail = f"version {cfg.version} after {self._cfg.version}"
        effects = check(Invariant.CONFIG_VERSION, is_newer, detail)
        self._cfg = cfg
        self._head = candidate.encoded_head()
        self._parts = candidate.head_parts()
        return [*effects, ConfigChanged(cfg.version)]


def _rejected_event(version: ConfigVersion, detail: str) -> LogEvent:
    fields = {"version": str(version), "problems": detail}
    text = "configuration rejected; the previous version stays in force"
    return LogEvent(LogNumber.CONFIG_REFUSED, LogLevel.ERROR, text, fields)
