"""Compare what the store says after it returned from a copy with what was known."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable, Mapping

import msgspec

from gooseberryport_core.decoding import InputError, decode_json
from gooseberryport_core.gateway.model import Member
from gooseberryport_core.gateway.store_epochs import (
    Decision,
    Difference,
    Holds,
    ItemKind,
    Stored,
    decide,
)
from gooseberryport_gateway._state import GatewayState
from gooseberryport_gateway.wire import Codec, StoreItem

MAX_LOGGED_KEYS = 20
"""Maximum keys that a log line names."""


class CopyReport(msgspec.Struct):
    """What is done about a copy.

    Parameters
    ----------
    changes
        Items and removals to apply.
    held
        Keys for which the earlier value holds for a time.
    kept
        Keys for which it holds until they are written again.
    missing
        Number of keys that the copy does not have.
    """

    changes: list[StoreItem]
    held: list[str]
    kept: list[str]
    missing: int

    def log_fields(self) -> dict[str, object]:
        """Return the fields of a log line."""
        return {
            "held": len(self.held),
            "held_keys": self.held[:MAX_LOGGED_KEYS],
            "kept": len(self.kept),
            "kept_keys": self.kept[:MAX_LOGGED_KEYS],
            "missing": self.missing,
            "changes": len(self.changes),
        }


class ReturnedStore:
    """Keeps what was acknowledged in force while the store has an older copy.

    Parameters
    ----------
    state
        State of the gateway.
    codec
        Decodes what other programs write to the store.
    """

    def __init__(self, *, state: GatewayState, codec: Codec) -> None:
        self._state = state
        self._codec = codec
        self._loop = asyncio.get_running_loop()
        self._holds: Holds[StoreItem] = Holds()

    @property
    def held(self) -> list[StoreItem]:
        """What the store says of the keys for which earlier values hold; removals without value."""
        return self._holds.items

    def hold(self, items: Iterable[StoreItem]) -> None:
        """Hold items that another gateway holds."""
        now = self._loop.time()
        for item in items:
            self._holds.hold(item.key, item, now=now)

    def record(self, item: StoreItem, *, known: StoreItem | None) -> None:
        """Record a change that is applied, and what was known of its key."""
        if item.value is not None:
            self._holds.record_written(item.key)
            return
        stored = None
        if known is not None and known.value is not None:
            stored = Stored(value=known.value, revision=known.revision)
        self._holds.record_removed(item.key, stored)

    def take_due(self) -> list[StoreItem]:
        """Return what the store says of the keys whose hold has ended."""
        return self._holds.take_due(now=self._loop.time())

    def compare(self, read: Iterable[StoreItem], *, known: Mapping[str, StoreItem]) -> CopyReport:
        """Compare a full read of the store with what was known, and hold what must not change yet.

        Parameters
        ----------
        read
            All items that the store has.
        known
            The items that were known, by key.
        """
        by_key = {item.key: item for item in read}
        removals = [StoreItem(key, None, 0) for key in known if key not in by_key]
        report = CopyReport(changes=[], held=[], kept=[], missing=len(removals))
        now = self._loop.time()
        for item in (*by_key.values(), *removals):
            decision = decide(self._kind(item.key), self._difference(item, known.get(item.key)))
            if decision is Decision.APPLY:
                report.changes.append(item)
            elif decision is Decision.HOLD:
                self._holds.hold(item.key, item, now=now)
                report.held.append(item.key)
            else:
                report.kept.append(item.key)
        return report

    def _kind(self, key: str) -> ItemKind:
        codec = self._codec
        if key.startswith(codec.upstream_prefix):
            return ItemKind.UPSTREAM
        if key.startswith(codec.member_prefix):
            return ItemKind.MEMBER
        if codec.evacuated_zone(key) is not None:
            return ItemKind.EVACUATION
        return ItemKind.CONFIG

    def _difference(self, item: StoreItem, known: StoreItem | None) -> Difference:
        if item.value is None:
            return Difference.MISSING
        if known is None:
            stored = Stored(value=item.value, revision=item.revision)
            is_removed = self._holds.is_removed(item.key, stored)
            return Difference.RETURNED if is_removed else Difference.CHANGED
        try:
            is_older = self._is_older(item, known)
        except InputError:
            # What is wrong with an item is logged where it is applied.
            is_older = False
        return Difference.OLDER if is_older else Difference.CHANGED

    def _is_older(self, item: StoreItem, known: StoreItem) -> bool:
        """Return whether an item precedes a known one; raises `InputError` if it is malformed."""
        kind = self._kind(item.key)
        if kind is ItemKind.CONFIG:
            routes = self._state.routes
            config = self._codec.config(item)
            if config is None or routes is None:
                return False
            return config.version < routes.config.version
        if kind is ItemKind.UPSTREAM:
            upstream = self._state.upstreams.get(self._codec.upstream_id(item.key))
            entry = self._codec.upstream(item)
            return upstream is not None and (entry.started_ms, entry.sequence) < (
                upstream.entry.started_ms,
                upstream.entry.sequence,
            )
        if kind is ItemKind.MEMBER:
            return _incarnation(item) < _incarnation(known)
        return False


def _incarnation(item: StoreItem) -> int:
    return decode_json(item.value or b"", expected_type=Member).incarnation
