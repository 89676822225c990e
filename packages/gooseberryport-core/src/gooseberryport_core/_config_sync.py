"""How the newest configuration reaches this daemon (thin form: one key read again and again)."""

from __future__ import annotations

import random

import msgspec

from gooseberryport_core._views import Peers
from gooseberryport_core.config import Config
from gooseberryport_core.effects import ConfigChanged, Effect, StoreGet
from gooseberryport_core.events import Event, StoreFailed, StoreGot, Tick
from gooseberryport_core.settings import NodeSettings
from gooseberryport_core.types import CallId

WHOLE_KEY = "config/whole"
READ_PERIOD_S = 1.0


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
        self._cfg = Config()
        self._next_read = float("-inf")
        self._call = CallId(-1)

    @property
    def cfg(self) -> Config:
        """The newest configuration."""
        return self._cfg

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Handle an event; `ConfigChanged` among the effects tells of a newer configuration."""
        if isinstance(event, Tick) and now >= self._next_read:
            self._next_read = now + READ_PERIOD_S
            return [StoreGet(self._call, WHOLE_KEY)]
        if isinstance(event, StoreGot) and event.call_id == self._call:
            return self._take(event)
        if isinstance(event, StoreFailed) and event.call_id == self._call:
            self._next_read = now + READ_PERIOD_S
        return []

    def _take(self, event: StoreGot) -> list[Effect]:
        if not event.values or event.values[0].revision == 0:
            return []
        cfg = msgspec.json.decode(event.values[0].value, type=Config)
        if cfg.version <= self._cfg.version:
            return []
        self._cfg = cfg
        return [ConfigChanged(cfg.version)]
