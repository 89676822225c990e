"""How the newest configuration reaches this daemon, from the key-value service or from peers."""

from __future__ import annotations

import random

from returns.result import Failure

from gooseberryport_core._config_candidate import ConfigCandidate
from gooseberryport_core._config_head import HeadWatch, is_watcher
from gooseberryport_core._config_pieces import HEAD_DIGEST, PeerFetch, content_digest, make_reply
from gooseberryport_core._config_sources import PeerVersions, StorePartReader
from gooseberryport_core._invariants import Invariant, check
from gooseberryport_core._roster import heartbeats_in
from gooseberryport_core._views import Peers
from gooseberryport_core.config import Config
from gooseberryport_core.config_files import load_config
from gooseberryport_core.effects import ConfigChanged, Effect, LogEvent, LogLevel
from gooseberryport_core.events import Event, MessageArrived, Tick
from gooseberryport_core.log_events import LogNumber
from gooseberryport_core.messages import ConfigPiece, ConfigRequest
from gooseberryport_core.settings import NodeSettings
from gooseberryport_core.types import ConfigVersion

PARALLEL_FETCHES = 8
START_WINDOW_S = 1.0
"""Time in which a fresh daemon looks for the highest version while the service is silent."""

PEERS_FIRST_S = 2.0
"""Time for which parts are sought at peers before a daemon that does not watch reads them."""

SHOWN_PROBLEMS = 3


class ConfigSync:
    """Find and keep the newest configuration.

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
        self._rng = rng
        self._cfg = Config()
        self._head = b""
        self._parts: dict[str, bytes] = {}
        self._heard = PeerVersions(
            region=settings.region, timeout_s=settings.timing.peer_timeout_s, rng=rng
        )
        self._head_watch = HeadWatch(settings=settings, rng=rng)
        self._part_reads = StorePartReader()
        self._fetches: dict[str, PeerFetch] = {}
        self._candidate: ConfigCandidate | None = None
        self._refused = ConfigVersion(0)
        self._started_at: float | None = None

    @property
    def cfg(self) -> Config:
        """The configuration in force."""
        return self._cfg

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Handle an event; `ConfigChanged` among the effects tells of a newer configuration."""
        if isinstance(event, Tick):
            return self._tick(now)
        if isinstance(event, MessageArrived):
            return self._message(event, now)
        value = self._head_watch.handle(event, now)
        if value is not None:
            return self._offer_head(value.value, now)
        part = self._part_reads.handle(event)
        return self._offer_part(part, now) if part else []

    def _tick(self, now: float) -> list[Effect]:
        if self._started_at is None:
            self._started_at = now
        watcher = is_watcher(self._settings, self._heard.watcher_candidates(now))
        effects = self._head_watch.tick(watcher=watcher, now=now)
        highest = self._heard.highest_version(now)
        if highest > max(self._newest_known, self._refused):
            self._candidate = self._new_candidate(highest, now)
        effects.extend(self._fetch(watcher, now))
        effects.extend(self._try_to_load(now))
        return effects

    def _message(self, event: MessageArrived, now: float) -> list[Effect]:
        message = event.message
        self._heard.record_heartbeats(heartbeats_in(event), now)
        if isinstance(message, ConfigRequest):
            return make_reply(
                message,
                event.address,
                version=self._cfg.version,
                head=self._head,
                parts=self._parts,
            )
        if isinstance(message, ConfigPiece):
            return self._take_piece(message, event.address, now)
        return []

    @property
    def _newest_known(self) -> ConfigVersion:
        return self._candidate.version if self._candidate else self._cfg.version

    def _new_candidate(self, version: ConfigVersion, now: float) -> ConfigCandidate:
        self._fetches = {}
        known = self._candidate.parts if self._candidate else self._parts
        return ConfigCandidate(version=version, known=known, started_at=now)

    def _fetch(self, watcher: bool, now: float) -> list[Effect]:
        """Ask peers for what is missing; a watcher, or one that waited long, asks the service."""
        candidate = self._candidate
        if candidate is None:
            return []
        wanted = candidate.missing() if candidate.head else (HEAD_DIGEST,)
        holders = self._heard.holder_addresses(candidate.version, now)
        effects: list[Effect] = []
        for digest in wanted[:PARALLEL_FETCHES]:
            fetch = self._fetches.setdefault(digest, PeerFetch(digest=digest))
            effects.extend(fetch.tick(candidate.version, holders, self._rng, now))
        patience_s = PEERS_FIRST_S * (1.0 + self._heard.jitter)
        waited = now >= candidate.started_at + patience_s
        if candidate.head is None and waited:
            self._head_watch.request_read(now)
        elif candidate.head is not None and (waited or (watcher and not holders)):
            effects.extend(self._part_reads.start_reads(wanted, now))
        return effects

    def _take_piece(self, piece: ConfigPiece, address: str, now: float) -> list[Effect]:
        fetch = self._fetches.get(HEAD_DIGEST if piece.version else piece.digest)
        if fetch is None:
            return []
        effects = fetch.add(piece, address, now)
        value = fetch.value()
        if value is None:
            return effects
        del self._fetches[fetch.digest]
        if fetch.digest == HEAD_DIGEST:
            effects.extend(self._offer_head(value, now))
        else:
            effects.extend(self._offer_part(value, now))
        return effects

    def _offer_head(self, value: bytes, now: float) -> list[Effect]:
        """Take a head that the service or a peer has shown."""
        candidate = self._candidate
        if candidate is None or candidate.head is not None:
            candidate = self._new_candidate(ConfigVersion(self._newest_known + 1), now)
        if candidate.accept_head(value) and candidate.version > self._refused:
            self._candidate = candidate
        return self._try_to_load(now)

    def _offer_part(self, part: bytes, now: float) -> list[Effect]:
        if self._candidate is None:
            return []
        self._candidate.parts[content_digest(part)] = part
        return self._try_to_load(now)

    def _try_to_load(self, now: float) -> list[Effect]:
        candidate = self._candidate
        if candidate is None or candidate.missing() or not self._may_load(candidate, now):
            return []
        files = candidate.files()
        if files is None:
            return []
        self._candidate = None
        loaded = load_config(files, candidate.version)
        if isinstance(loaded, Failure):
            self._refused = candidate.version
            problems = [str(problem) for problem in loaded.failure()]
            return [_refusal(candidate.version, "; ".join(problems[:SHOWN_PROBLEMS]))]
        return self._put_in_force(candidate, loaded.unwrap())

    def _may_load(self, candidate: ConfigCandidate, now: float) -> bool:
        """Whether a fresh daemon has looked for a higher version everywhere it can."""
        if candidate.version <= self._cfg.version or candidate.head is None:
            return False
        started_at = now if self._started_at is None else self._started_at
        waited = now >= started_at + START_WINDOW_S
        return self._cfg.version > 0 or self._head_watch.has_reply or waited

    def _put_in_force(self, candidate: ConfigCandidate, cfg: Config) -> list[Effect]:
        rises = cfg.version > self._cfg.version
        detail = f"version {cfg.version} after {self._cfg.version}"
        effects = check(Invariant.CONFIG_VERSION, rises, detail)
        self._cfg = cfg
        self._head = candidate.encoded_head()
        self._parts = candidate.head_parts()
        return [*effects, ConfigChanged(cfg.version)]


def _refusal(version: ConfigVersion, detail: str) -> LogEvent:
    fields = {"version": str(version), "problems": detail}
    text = "a configuration is refused; the one before stays in force"
    return LogEvent(LogNumber.CONFIG_REFUSED, LogLevel.ERROR, text, fields)
