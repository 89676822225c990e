"""Follow the store's configuration, evacuations, upstreams and gateways with one paced watch."""

from __future__ import annotations

import asyncio
import zlib
from collections.abc import Iterable
from enum import Enum
from math import inf

import msgspec

from gooseberryport_core.decoding import InputError, decode_json, parse_address
from gooseberryport_core.gateway.model import Member
from gooseberryport_core.log_events import LogNumber
from gooseberryport_core.types import RegionName, VmId, ZoneName
from gooseberryport_gateway._peer_snapshots import (
    COMPRESSION_LEVEL,
    CachedSnapshot,
    FetchedSnapshot,
    fetch_snapshot,
)
from gooseberryport_gateway._relay import Relay, known_prefixes
from gooseberryport_gateway._state import GatewayState
from gooseberryport_gateway._warmth_store import WarmthStore, warmth_key_prefix
from gooseberryport_gateway.errors import (
    HistoryGoneError,
    LeaseGoneError,
    StoreError,
)
from gooseberryport_gateway.wire import (
    Codec,
    StoreClient,
    StoreItem,
    StoreSnapshot,
    shorten_unreadable,
)

WATCH_PAUSE_FRACTION = 0.4
"""Pause between watches, as a fraction of the time after which a draining upstream gets no more
requests: upstreams report continuously, each call is billed, and a slow call must fit as well."""

RELAYED_WATCH_PAUSE_FRACTION = 0.33
"""The same for a watcher whose state other gateways use, which adds the delay of their requests. It
pauses after every watch, so that the watches have a fixed rate."""

SHORT_WATCH_TIMEOUT_S = 0.1
"""The same as `WATCH_TIMEOUT_S` for such a watcher, since the age of its state, which other
gateways check, must not grow while nothing changes; and after a failed call, since a call that the
store lost in an outage is never answered and hides that the store is available again; seconds."""

WATCH_TIMEOUT_S = 2.0
"""How long the store may leave a watch unanswered while nothing changes; a watch that is unanswered
for longer shows that the connection is dead; seconds."""

LEASE_TTL_S = 15.0
"""Lease of a gateway's own entry; a killed gateway is listed no longer than that. Look-ups leave
out a silent one sooner; seconds."""

RENEW_INTERVAL_S = 5.0
"""Interval between renewals: a third of the lease, since each is billed; seconds."""

MIN_START_RETRY_DELAY_S = 0.1
MAX_START_RETRY_DELAY_S = 0.4
"""Bounds of the delay between two requests for another gateway's state; seconds."""

SNAPSHOT_CACHE_S = 0.3
"""Time for which an encoded snapshot is served again; seconds."""

MIN_RETRY_DELAY_S = 0.2
MAX_RETRY_DELAY_S = 0.5
"""Bounds of the delay after a failed call; seconds."""

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


class Discovery:
    """Keep a gateway's state in sync with the store.

    Parameters
    ----------
    state
        State of the gateway, which is updated.
    store
        The platform's store.
    codec
        Decodes what other programs write to the store.
    """

    def __init__(self, *, state: GatewayState, store: StoreClient, codec: Codec) -> None:
        self._state = state
        self._store = store
        self._codec = codec
        self._prefixes = known_prefixes(codec)
        self._loop = asyncio.get_running_loop()
        self._evacuated: dict[str, ZoneName] = {}
        self._members: dict[str, Member] = {}
        self._items: dict[str, StoreItem] = {}
        # Why items are ignored, by key; each reason is logged once.
        self._ignored: dict[str, str] = {}
        self._revision = 0
        self._reachable: bool | None = None
        self._lease: int | None = None
        self._own_entry = b""
        self._is_listed = False
        self._warmth_restored = False
        self._has_state = False
        self._own_key = f"{codec.member_prefix}{state.me.vm}"
        self._entry_lost = asyncio.Event()
        self._listed: set[VmId] = set()
        self._snapshots: dict[RegionName, CachedSnapshot] = {}
        self._watcher: VmId | None = None
        self.relay = Relay(state=state, codec=codec)
        state.config_age_s = lambda: self.relay.state_age_s
        self.warmth_store = WarmthStore(
            state=state, store=store, prefix=codec.warmth_prefix, stored_keys=lambda: self._items
        )

    @property
    def synced(self) -> bool:
        """Whether the store has been read at all."""
        return self._state.routes is not None

    @property
    def _lease_ttl_s(self) -> float:
        return max(LEASE_TTL_S, self._state.settings.lease_min_ms / 1000.0)

    async def follow(self) -> None:
        """Read the store, then follow its changes, forever."""
        after: int | None = None
        pause_s = MIN_RETRY_DELAY_S
        after = await self._load_state_at_start()
        has_failed = False
        while True:
            try:
                if after is None:
                    after = await self._read_all()
                if await self._poll_watcher(after):
                    after = self._revision
                    continue
                is_used = self.relay.is_used
                wait_s = SHORT_WATCH_TIMEOUT_S if is_used or has_failed else WATCH_TIMEOUT_S
                page = await self._store.watch("", after=after, wait_s=wait_s)
                has_failed = False
                after = self._revision = page.revision
                self._record_store_reachable(reachable=True, reason="")
                self.relay.record_store_page(page)
                self._apply(page.items)
                pause_s = MIN_RETRY_DELAY_S
                drain_s = self._state.settings.bounds.drain_s
                if is_used:
                    await asyncio.sleep(drain_s * RELAYED_WATCH_PAUSE_FRACTION)
                elif page.items:
                    await asyncio.sleep(drain_s * WATCH_PAUSE_FRACTION)
            except HistoryGoneError:
                self._state.log.write(LogNumber.GATEWAY_STORE_HISTORY_GONE, after=after)
                after = None
            except StoreError as exc:
                has_failed = True
                self._record_store_reachable(reachable=False, reason=str(exc))
                if after is None and not self.synced:
                    after = (await self._load_peer_snapshot(max_age_s=inf)).revision
                await asyncio.sleep(
                    max(exc.retry_after_s, pause_s * (0.5 + self._state.rng.random()))
                )
                pause_s = min(pause_s * 2.0, MAX_RETRY_DELAY_S)

    async def _poll_watcher(self, after: int) -> bool:
        """Apply the changes, possibly none, that this gateway's watcher relays after a revision.

        Return False if there is no watcher, if the watcher is unreachable or refuses, or if its
        state is too old.
        """
        watcher = self.relay.watcher()
        name = watcher.vm if watcher is not None else None
        if name != self._watcher:
            self._watcher = name
            self._state.log.write(LogNumber.GATEWAY_WATCHER_CHANGED, watcher=name)
        if watcher is None:
            return False
        page = await self.relay.fetch(watcher, after=after)
        if page is None:
            return False
        state = self._state
        state.store_available_since = max(
            state.store_available_since, self._loop.time() - page.regained_s
        )
        self._revision = max(after, page.revision)
        self._record_store_reachable(reachable=True, reason="")
        self.relay.record_relayed_page(page)
        self._apply(page.items)
        return True

    def snapshot(self, *, region: RegionName) -> bytes | None:
        """Return this gateway's state for one that starts, compressed; None if it has none.

        Parameters
        ----------
        region
            Region of the gateway that starts.
        """
        if not self._has_state:
            return None
        now = self._loop.time()
        cached = self._snapshots.get(region)
        if cached is not None and now - cached.at < SNAPSHOT_CACHE_S:
            return cached.data
        data = zlib.compress(self.encode_snapshot(region=region), COMPRESSION_LEVEL)
        if region in self._state.settings.regions.values():
            self._snapshots[region] = CachedSnapshot(at=now, data=data)
        return data

    def encode_snapshot(self, *, region: RegionName) -> bytes:
        """Return this gateway's state for one that starts in a region."""
        same_region = region == self._state.me.region
        prefix = self._codec.warmth_prefix
        saved_prefix = warmth_key_prefix(prefix, region)
        return msgspec.msgpack.encode(
            StoreSnapshot(
                items=[
                    item
                    for key, item in self._items.items()
                    if not key.startswith(prefix)
                    or (not same_region and key.startswith(saved_prefix))
                ],
                revision=self._revision,
                age_s=self.relay.state_age_s,
                warmth=self._state.warmth_records() if same_region else {},
            )
        )

    async def _load_state_at_start(self) -> int | None:
        """Load another gateway's recent state, so that a start costs few calls to the store.

        Load pattern: all gateways start together, or many are added. Each would read every entry,
        while one that has read them is a few milliseconds away. A gateway that the settings name as
        a seed reads the store if the other seeds have no state; the others wait for the seeds.
        """
        started_at = self._loop.time()
        delay_s = MIN_START_RETRY_DELAY_S
        while True:
            loaded = await self._load_peer_snapshot(max_age_s=self.relay.max_age_s)
            if loaded.revision is not None:
                return loaded.revision
            if self._is_seed or self._loop.time() >= started_at + loaded.wait_s:
                return None
            await asyncio.sleep(delay_s * (0.5 + self._state.rng.random()))
            delay_s = min(delay_s * 2.0, MAX_START_RETRY_DELAY_S)

    @property
    def _is_seed(self) -> bool:
        return self._state.settings.control in self._state.settings.seeds

    async def _load_peer_snapshot(self, *, max_age_s: float) -> FetchedSnapshot:
        """Load the first state no older than `max_age_s` seconds that another gateway returns."""
        state = self._state
        fetched = await fetch_snapshot(
            state.peer_control_addresses(now=self._loop.time()),
            region=state.me.region,
            max_age_s=max_age_s,
            log=state.log,
        )
        if fetched.snapshot is not None:
            self._load_snapshot(fetched.snapshot, address=fetched.address)
        return fetched

    def _load_snapshot(self, snapshot: StoreSnapshot, *, address: str) -> None:
        self._revision = snapshot.revision
        self._has_state = True
        self._apply(snapshot.items, were_listed=True)
        self.relay.reset(snapshot.items, revision=snapshot.revision, age_s=snapshot.age_s)
        self.warmth_store.restore(snapshot.items)
        for upstream, record in snapshot.warmth.items():
            self._state.restore_warmth(upstream, record)
        self._warmth_restored = True
        self._state.log.write(
            LogNumber.GATEWAY_SNAPSHOT_LOADED,
            address=address,
            revision=snapshot.revision,
            age_s=round(snapshot.age_s, 3),
        )

    async def maintain_membership(self) -> None:
        """Keep this gateway's entry in the store, forever."""
        key = self._own_key
        while True:
            try:
                if self._lease is None:
                    started_at = self._loop.time()
                    self._lease = await self._store.grant_lease(ttl_s=self._lease_ttl_s)
                    entry = msgspec.structs.replace(
                        self._state.me, store_delay_s=round(self._loop.time() - started_at, 4)
                    )
                    self._own_entry = msgspec.json.encode(entry)
                    self._is_listed = False
                if self._is_listed:
                    await self._store.renew_lease(self._lease)
                else:
                    # The store may list the entry even if its answer is lost or not waited for.
                    await self._store.put(key, self._own_entry, lease=self._lease)
                    self._is_listed = True
                    self._state.log.write(LogNumber.GATEWAY_LEASE_TAKEN, lease=self._lease)
                await self._wait_for_entry_loss(RENEW_INTERVAL_S)
            except LeaseGoneError:
                self._state.log.write(LogNumber.GATEWAY_LEASE_LOST, lease=self._lease)
                self._lease = None
            except StoreError as exc:
                await asyncio.sleep(
                    max(exc.retry_after_s, MAX_RETRY_DELAY_S * (0.5 + self._state.rng.random()))
                )

    async def _wait_for_entry_loss(self, timeout_s: float) -> None:
        """Wait until this gateway's entry is removed, which ends its lease, or for a time."""
        self._entry_lost.clear()
        try:
            async with asyncio.timeout(timeout_s):
                await self._entry_lost.wait()
        except TimeoutError:
            return
        raise LeaseGoneError

    async def end_membership(self) -> None:
        """Remove this gateway's entry, so that lookups return other gateways."""
        if self._lease is None:
            return
        try:
            await self._store.end_lease(self._lease)
        except StoreError as exc:
            self._state.log.write(LogNumber.GATEWAY_LEASE_LOST, lease=self._lease, reason=str(exc))
        self._lease = None

    async def _read_all(self) -> int:
        codec = self._codec
        started_at = self._loop.time()
        config = await self._store.read_range(codec.config_prefix)
        upstreams = await self._store.read_range(codec.upstream_prefix)
        members = await self._store.read_range(codec.member_prefix)
        # The warmth saved before this gateway started is needed only once, for its first requests.
        # Gateways that start after a seed get what was saved for their region from it.
        warmth_prefix = codec.warmth_prefix if self._is_seed else self.warmth_store.prefix
        saved_warmth = (
            () if self._warmth_restored else (await self._store.read_range(warmth_prefix)).items
        )
        self._record_store_reachable(reachable=True, reason="")
        read = [*config.items, *upstreams.items, *members.items]
        known = {key for key in self._items if not key.startswith(codec.warmth_prefix)}
        missing_keys = known - {item.key for item in read}
        deletions = [StoreItem(key=key, value=None, revision=0) for key in missing_keys]
        self._apply([*read, *saved_warmth, *deletions], were_listed=not self._has_state)
        self._has_state = True
        if not self._warmth_restored:
            self.warmth_store.restore(saved_warmth)
            self._warmth_restored = True
        self._revision = min(config.revision, upstreams.revision, members.revision)
        age_s = self._loop.time() - started_at
        self.relay.reset(read, revision=self._revision, age_s=age_s)
        return self._revision

    def _apply(self, items: Iterable[StoreItem], *, were_listed: bool = False) -> None:
        members_changed = evacuations_changed = False
        for item in items:
            if not item.key.startswith(self._prefixes):
                continue
            if item.value is None:
                self._items.pop(item.key, None)
            else:
                self._items[item.key] = item
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
                self._state.apply_config(config)
        return _Change.NOTHING

    def _ignore(self, item: StoreItem, exc: Exception) -> None:
        """Ignore an item that can't be used; an upstream whose entry it is gets no requests."""
        reason = str(exc) if isinstance(exc, InputError) else repr(exc)
        codec = self._codec
        kind, event = "entry", LogNumber.GATEWAY_ENTRY_IGNORED
        if item.key.startswith(codec.upstream_prefix):
            self._items[item.key] = shorten_unreadable(item)
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
        self._state.fleet.set_listed(self._members.values(), now=now, were_listed=were_listed)
        listed = {member.vm for member in self._members.values()}
        self._state.log.write(
            LogNumber.GATEWAY_MEMBERS_CHANGED,
            listed=len(listed),
            joined=sorted(listed - self._listed)[:MAX_LOGGED_MEMBERS],
            left=sorted(self._listed - listed)[:MAX_LOGGED_MEMBERS],
        )
        self._listed = listed

    def expire(self) -> None:
        """Drop upstreams whose entries did not reappear after an outage."""
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
            self._members.pop(item.key, None)
            if item.key == self._own_key:
                self._entry_lost.set()
            return
        self._members[item.key] = _decode_member(item.value)

    def _record_store_reachable(self, *, reachable: bool, reason: str) -> None:
        if reachable == self._reachable:
            return
        if reachable:
            if self._reachable is False:
                self._state.store_available_since = self._loop.time()
            self._state.log.write(LogNumber.GATEWAY_STORE_BACK)
        else:
            self._state.follows_store = False
            self._state.log.write(LogNumber.GATEWAY_STORE_LOST, reason=reason)
            if self._reachable is None:
                return
        self._reachable = self._state.follows_store = reachable
