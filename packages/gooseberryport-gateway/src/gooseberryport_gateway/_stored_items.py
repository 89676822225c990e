"""What the store holds, as far as it is known, and what follows from it for the gateway."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from enum import Enum

from gooseberryport_core.decoding import InputError, decode_json, parse_address
from gooseberryport_core.gateway.model import Member, RoutingConfig
from gooseberryport_core.gateway.store_epochs import UNKNOWN_EPOCH, StoreEpoch
from gooseberryport_core.log_events import LogNumber
from gooseberryport_core.types import VmId, ZoneName
from gooseberryport_gateway._relay import known_prefixes
from gooseberryport_gateway._returned_store import ReturnedStore
from gooseberryport_gateway._state import GatewayState
from gooseberryport_gateway.wire import Codec, StoreItem, shorten_unreadable

MAX_LOGGED_MEMBERS = 20
"""Maximum names in a log line on changed members."""

OUTAGE_WINDOW_S = 2.5
"""Time after an outage in which removed entries are suspended instead of dropped; seconds."""


class _Change(Enum):
    """What must be updated after an item was applied."""

    NOTHING = "nothing"
    MEMBERS = "members"
    EVACUATIONS = "evacuations"


def _decode_member(value: bytes) -> Member:
    """Return a gateway's entry; raises `InputError` if it or an address in it is malformed."""
    member = decode_json(value, expected_type=Member)
    host, port = member.datagrams
    for address in (member.front, f"{host}:{port}", member.control):
        if address:
            parse_address(address)
    return member


class StoredItems:
    """Apply items of the store to a gateway's state, one by one.

    `items` are the known items by key, and `members` the gateways that they list.

    Parameters
    ----------
    state
        State of the gateway, which is updated.
    codec
        Decodes what other programs write to the store.
    epoch
        The store's latest known epoch.
    returned_store
        Told of each change, since what is written again holds no longer.
    own_key
        Key of this gateway's entry.
    on_own_entry_lost
        Called when that entry is removed.
    """

    def __init__(
        self,
        *,
        state: GatewayState,
        codec: Codec,
        epoch: StoreEpoch,
        returned_store: ReturnedStore,
        own_key: str,
        on_own_entry_lost: Callable[[], None],
    ) -> None:
        self._state = state
        self._codec = codec
        self._epoch = epoch
        self._returned_store = returned_store
        self._own_key = own_key
        self._on_own_entry_lost = on_own_entry_lost
        self._loop = asyncio.get_running_loop()
        self._prefixes = known_prefixes(codec)
        self.items: dict[str, StoreItem] = {}
        self.members: dict[str, Member] = {}
        self._evacuated: dict[str, ZoneName] = {}
        # Why items are ignored, by key; each reason is logged once.
        self._ignored: dict[str, str] = {}
        self._listed: set[VmId] = set()
        self._config_epoch = UNKNOWN_EPOCH

    @property
    def num_bytes(self) -> int:
        """Size of all known values; bytes."""
        return sum(len(item.value or b"") for item in self.items.values())

    def apply(self, items: Iterable[StoreItem], *, were_listed: bool = False) -> None:
        """Apply items and removals, whose value is None; those that can't be used are logged.

        Parameters
        ----------
        items
            Items in the order in which they were written.
        were_listed
            Whether the gateways that they list may have failed long ago.
        """
        members_changed = evacuations_changed = False
        for item in items:
            if not item.key.startswith(self._prefixes):
                continue
            self._returned_store.record(item, known=self.items.get(item.key))
            if item.value is None:
                self.items.pop(item.key, None)
            else:
                self.items[item.key] = item
            try:
                changed = self._apply_item(item)
            except Exception as exc:
                # One item that can't be used says nothing about the others.
                self._ignore(item, exc)
                changed = _Change.NOTHING
            else:
                self._ignored.pop(item.key, None)
            members_changed = members_changed or changed is _Change.MEMBERS
            evacuations_changed = evacuations_changed or changed is _Change.EVACUATIONS
        now = self._loop.time()
        if members_changed:
            self._set_members(now=now, were_listed=were_listed)
        if evacuations_changed:
            self._state.set_evacuated(self._evacuated.values())
        self.expire()

    def _apply_item(self, item: StoreItem) -> _Change:
        """Apply one item, and return what must be updated after all items of its page.

        Raises
        ------
        InputError
            The item can't be used.
        """
        codec = self._codec
        if item.key.startswith(codec.upstream_prefix):
            self._apply_upstream(item)
        elif item.key.startswith(codec.member_prefix):
            self._apply_member(item)
            return _Change.MEMBERS
        elif (zone := codec.evacuated_zone(item.key)) is not None:
            if item.value is None:
                self._evacuated.pop(item.key, None)
            else:
                self._evacuated[item.key] = zone
            return _Change.EVACUATIONS
        elif item.key.startswith(codec.config_prefix):
            config = codec.config(item)
            if config is not None:
                self._apply_config(config)
        return _Change.NOTHING

    def _apply_config(self, config: RoutingConfig) -> None:
        """Apply a configuration.

        Operators write each version once. If the store lost one and they wrote another with its
        number, that is what gateways read that start now, so all take it.
        """
        epoch = self._epoch.current
        replaces_same_version = epoch > self._config_epoch
        if self._state.apply_config(config, replaces_same_version=replaces_same_version):
            self._config_epoch = epoch

    def _ignore(self, item: StoreItem, exc: Exception) -> None:
        """Ignore an item that can't be used; an upstream whose entry it is gets no requests."""
        reason = str(exc) if isinstance(exc, InputError) else repr(exc)
        codec = self._codec
        kind, event = "entry", LogNumber.GATEWAY_ENTRY_IGNORED
        if item.key.startswith(codec.upstream_prefix):
            self.items[item.key] = shorten_unreadable(item)
            self._state.remove_upstream(
                codec.upstream_id(item.key), reason="unreadable entry", now=self._loop.time()
            )
        elif item.key.startswith(codec.member_prefix):
            kind = "member"
        elif item.key.startswith(codec.config_prefix):
            kind, event = "config", LogNumber.GATEWAY_CONFIG_IGNORED
            if not isinstance(exc, InputError):
                # The text of an unexpected error may contain a key.
                reason = type(exc).__name__
        self._state.metrics.ignored.labels(kind).inc()
        if self._ignored.get(item.key) != reason:
            self._ignored[item.key] = reason
            self._state.log.write(event, key=item.key, revision=item.revision, reason=reason)

    def _set_members(self, *, now: float, were_listed: bool) -> None:
        self._state.fleet.set_listed(self.members.values(), now=now, were_listed=were_listed)
        listed = {member.vm for member in self.members.values()}
        self._state.log.write(
            LogNumber.GATEWAY_MEMBERS_CHANGED,
            listed=len(listed),
            joined=sorted(listed - self._listed)[:MAX_LOGGED_MEMBERS],
            left=sorted(self._listed - listed)[:MAX_LOGGED_MEMBERS],
        )
        self._listed = listed

    def expire(self) -> None:
        """Drop what did not reappear in time after an outage, or after a return from a copy."""
        due = self._returned_store.take_due()
        if due:
            self.apply(due)
        self._state.metrics.held_items.set(len(self._returned_store.held))
        self._state.expire_upstreams(now=self._loop.time())

    def _apply_upstream(self, item: StoreItem) -> None:
        now = self._loop.time()
        upstream = self._codec.upstream_id(item.key)
        if item.value is None:
            if now - self._state.store_available_since < OUTAGE_WINDOW_S:
                self._state.upstreams.mark_missing(
                    upstream, store_available_at=self._state.store_available_since
                )
            else:
                self._state.remove_upstream(upstream, reason="entry removed", now=now)
            return
        self._state.put_upstream(self._codec.upstream(item), now=now)

    def _apply_member(self, item: StoreItem) -> None:
        if item.value is None:
            self.members.pop(item.key, None)
            if item.key == self._own_key:
                self._on_own_entry_lost()
            return
        self.members[item.key] = _decode_member(item.value)
