"""Follow the store's configuration, evacuations, upstreams and gateways with one paced watch."""

from __future__ import annotations

import asyncio
import zlib
from collections.abc import Mapping, Sequence
from math import inf

import msgspec

from gooseberryport_core.gateway.catching_up import reads_anew
from gooseberryport_core.gateway.model import Member
from gooseberryport_core.gateway.state_ages import StoreRetries
from gooseberryport_core.gateway.store_epochs import UNKNOWN_EPOCH, StorePosition
from gooseberryport_core.log_events import LogNumber
from gooseberryport_core.types import RegionName, VmId
from gooseberryport_gateway._membership import Membership
from gooseberryport_gateway._peer_snapshots import (
    COMPRESSION_LEVEL,
    CachedSnapshot,
    FetchedSnapshot,
    PeerState,
    fetch_snapshot,
)
from gooseberryport_gateway._relay import Relay
from gooseberryport_gateway._returned_store import ReturnedStore
from gooseberryport_gateway._state import GatewayState
from gooseberryport_gateway._stored_items import StoredItems
from gooseberryport_gateway._warmth_store import WarmthStore, warmth_key_prefix
from gooseberryport_gateway.errors import (
    EpochChangedError,
    HistoryGoneError,
    IncompleteAnswerError,
    StoreError,
)
from gooseberryport_gateway.wire import (
    Codec,
    StoreClient,
    StoreItem,
    StoreSnapshot,
)

MIN_START_RETRY_DELAY_S = 0.1
MAX_START_RETRY_DELAY_S = 0.4
"""Bounds of the delay between two requests for another gateway's state; seconds."""

SNAPSHOT_CACHE_S = 0.3
"""Time for which an encoded snapshot is served again; seconds."""

MAX_SUBSTITUTE_PAUSE_S = 0.1
"""Longest delay between two looks for a gateway that has what the store refuses; seconds."""

RETURN_WAIT_FRACTION = 0.25
"""How long a gateway waits for its watcher's state after the store returned from a copy, as a
fraction of the time within which a draining upstream must get no more requests."""

RETURN_SPREAD_S = 0.1
"""Longest delay between two requests for that state; seconds."""

MAX_READ_RESTARTS = 4
"""How often a full read starts again because the store returned from a copy."""


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
        self._loop = asyncio.get_running_loop()
        self._position = StorePosition(epoch=UNKNOWN_EPOCH, revision=0)
        self._reachable: bool | None = None
        self._warmth_restored = False
        self._has_state = False
        self._membership = Membership(
            state=state, store=store, key=f"{codec.member_prefix}{state.me.vm}"
        )
        self._returned_store = ReturnedStore(state=state, codec=codec)
        self._stored = StoredItems(
            state=state,
            codec=codec,
            epoch=store.epoch,
            returned_store=self._returned_store,
            own_key=self._membership.key,
            on_own_entry_lost=self._membership.record_entry_loss,
        )
        # When and from whom this gateway learned of the store's epoch.
        self._epoch_learned_at: float | None = None
        self._epoch_source = ""
        self._snapshots: dict[RegionName, CachedSnapshot] = {}
        self._watcher: VmId | None = None
        self._retries = StoreRetries()
        self.relay = Relay(state=state, codec=codec)
        state.config_age_s = lambda: self.relay.state_age_s
        self.warmth_store = WarmthStore(
            state=state,
            store=store,
            prefix=codec.warmth_prefix,
            stored_keys=lambda: self._stored.items,
        )

    @property
    def synced(self) -> bool:
        """Whether the store has been read at all."""
        return self._state.routes is not None

    async def follow(self) -> None:
        """Read the store, then follow its changes, forever."""
        after = await self._load_state_at_start()
        has_failed = was_incomplete = False
        paused_s = 0.0
        while True:
            try:
                if after is not None and after.epoch != self._store.epoch.current:
                    self._learn_epoch(self._store.epoch.current, source="store")
                    after = None
                if after is None:
                    after = await self._read_state()
                if await self._poll_watcher(self.relay.watcher(), after):
                    after = self._position
                    continue
                is_used = self.relay.is_used
                ages = self._state.settings.bounds.ages
                has_failed = has_failed or self._watcher is not None
                wait_s = ages.wait_s(is_used=is_used, has_failed=has_failed, paused_s=paused_s)
                page = await self._store.watch(
                    "", after=after, wait_s=wait_s, answer_s=ages.answer_s
                )
                has_failed = was_incomplete = False
                self._retries.record_success()
                after = self._position = page.position
                self._record_store_reachable(reachable=True, reason="")
                self.relay.record_store_page(page)
                self._stored.apply(page.items)
                sizes = [(item.key, len(item.value or b"")) for item in page.items]
                state_bytes = self._stored.num_bytes
                if reads_anew(sizes, transfer_s=page.transfer_s, state_bytes=state_bytes):
                    self._log_read_anew(f"{len(sizes)} changes in {page.transfer_s:.2f} s")
                    after = None
                    continue
                paused_s = ages.pause_s(is_used=is_used, has_changes=bool(page.items))
                # A slow answer is a pause as well.
                paused_s = max(paused_s - page.transfer_s, 0.0)
                await asyncio.sleep(paused_s)
            except EpochChangedError:
                continue
            except HistoryGoneError:
                self._state.log.write(
                    LogNumber.GATEWAY_STORE_HISTORY_GONE, after=self._position.revision
                )
                after = None
            except StoreError as exc:
                if isinstance(exc, IncompleteAnswerError) and after is not None:
                    self._log_read_anew(exc.reason)
                    after = None
                    if was_incomplete:
                        ages = self._state.settings.bounds.ages
                        await asyncio.sleep(
                            ages.pause_s(is_used=self.relay.is_used, has_changes=True)
                        )
                    was_incomplete = True
                    continue
                has_failed = True
                self._record_store_reachable(reachable=False, reason=str(exc))
                if after is None and not self.synced:
                    after = (await self._load_peer_snapshot(max_age_s=inf)).position
                self._retries.record_failure(
                    retry_after_s=exc.retry_after_s,
                    spread=0.5 + self._state.rng.random(),
                    now=self._loop.time(),
                )
                after = await self._wait_for_store(after)

    async def _wait_for_store(self, after: StorePosition | None) -> StorePosition | None:
        """Wait until the store may be called again, and get changes from other gateways meanwhile.

        Return the position up to which changes are known, or None if the state has to be read.
        """
        while True:
            ages = self._state.settings.bounds.ages
            age_s = self.relay.state_age_s
            left_s = self._retries.left_s(age_s=age_s, ages=ages, now=self._loop.time())
            if left_s <= 0.0:
                return after
            substitute = self.relay.substitute() if self._has_state else None
            if substitute is not None:
                # Changes are relayed within an epoch only; a later one begins with a whole state.
                if self._position.epoch != self._store.epoch.current:
                    is_applied = await self._take_over_from(substitute)
                else:
                    is_applied = await self._poll_watcher(
                        substitute, self._position, store_fails=True
                    )
                if is_applied:
                    after = self._position
                    continue
            await asyncio.sleep(min(left_s, MAX_SUBSTITUTE_PAUSE_S * self._state.rng.random()))

    def _log_read_anew(self, reason: str) -> None:
        self._state.log.write(LogNumber.GATEWAY_STORE_READ_ANEW, reason=reason)

    def _learn_epoch(self, epoch: int, *, source: str) -> None:
        """Record that the store has returned from a copy, and from whom this was learned."""
        if epoch != self._position.epoch and self._epoch_learned_at is None:
            self._epoch_learned_at = self._loop.time()
            self._epoch_source = source
        self._store.epoch.observe(epoch)

    async def _poll_watcher(
        self, watcher: Member | None, after: StorePosition, *, store_fails: bool = False
    ) -> bool:
        """Apply the changes, possibly none, that another gateway relays after a position.

        Return False if there is no such gateway, if it is unreachable or refuses, or if its state
        is too old.
        """
        name = watcher.vm if watcher is not None else None
        if name != self._watcher:
            self._watcher = name
            self._state.log.write(LogNumber.GATEWAY_WATCHER_CHANGED, watcher=name)
        if watcher is None:
            return False
        page = await self.relay.fetch(watcher, after=after)
        if page is None:
            return False
        if page.epoch != after.epoch:
            self._learn_epoch(page.epoch, source=watcher.vm)
            return True
        state = self._state
        state.store_available_since = max(
            state.store_available_since, self._loop.time() - page.regained_s
        )
        revision = max(after.revision, page.revision)
        self._position = StorePosition(epoch=after.epoch, revision=revision)
        if not store_fails:
            self._record_store_reachable(reachable=True, reason="")
        self.relay.record_relayed_page(page)
        self._stored.apply(page.items)
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
                    for key, item in self._stored.items.items()
                    if not key.startswith(prefix)
                    or (not same_region and key.startswith(saved_prefix))
                ],
                revision=self._position.revision,
                age_s=self.relay.state_age_s,
                warmth=self._state.warmth_records() if same_region else {},
                epoch=self._position.epoch,
                held=self._returned_store.held,
            )
        )

    async def _load_state_at_start(self) -> StorePosition | None:
        """Load another gateway's recent state, so that a start costs few calls to the store.

        Load pattern: all gateways start together, or many are added. Each would read every entry,
        while one that has read them is a few milliseconds away. A gateway that the settings name as
        a seed reads the store if the other seeds have no state; the others wait for the seeds.
        """
        started_at = self._loop.time()
        delay_s = MIN_START_RETRY_DELAY_S
        while True:
            loaded = await self._load_peer_snapshot(max_age_s=self.relay.max_age_s)
            if loaded.position is not None:
                return loaded.position
            if self._is_seed or self._loop.time() >= started_at + loaded.wait_s:
                return None
            await asyncio.sleep(delay_s * (0.5 + self._state.rng.random()))
            delay_s = min(delay_s * 2.0, MAX_START_RETRY_DELAY_S)

    @property
    def _is_seed(self) -> bool:
        return self._state.settings.control in self._state.settings.seeds

    async def _load_peer_snapshot(self, *, max_age_s: float) -> FetchedSnapshot:
        """Load the first state no older than `max_age_s` seconds that another gateway returns."""
        addresses = self._state.peer_control_addresses(now=self._loop.time())
        fetched = await self._fetch_snapshot(addresses, max_age_s=max_age_s)
        if fetched.snapshot is not None:
            self._load_snapshot(fetched.snapshot, address=fetched.address)
        return fetched

    async def _fetch_snapshot(
        self, addresses: Sequence[str], *, max_age_s: float
    ) -> FetchedSnapshot:
        return await fetch_snapshot(
            addresses,
            region=self._state.me.region,
            max_age_s=max_age_s,
            min_epoch=self._store.epoch.current,
            log=self._state.log,
        )

    def _load_snapshot(self, snapshot: StoreSnapshot, *, address: str) -> None:
        self._store.epoch.observe(snapshot.epoch)
        self._position = snapshot.position
        self._has_state = True
        self._stored.apply(snapshot.items, were_listed=True)
        self._returned_store.hold(snapshot.held)
        self.relay.reset(snapshot.items, position=snapshot.position, age_s=snapshot.age_s)
        self._state.metrics.store_epoch.set(snapshot.epoch)
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
        await self._membership.maintain()

    async def end_membership(self) -> None:
        """Remove this gateway's entry, so that lookups return other gateways."""
        await self._membership.end()

    async def _read_state(self) -> StorePosition:
        """Return the position after a full read.

        Load pattern: the store returns from a copy, and all gateways need what stands there now.
        Those that follow a watcher wait for its state, and read the store if it has none in time.
        """
        if self._has_state and self._position.epoch != self._store.epoch.current:
            position = await self._read_from_watcher()
            if position is not None:
                return position
        return await self._read_all()

    async def _read_from_watcher(self) -> StorePosition | None:
        """Return the position of the watcher's state in the store's epoch, or None without one."""
        state = self._state
        watcher = self.relay.watcher()
        deadline = self._loop.time() + state.settings.bounds.drain_s * RETURN_WAIT_FRACTION
        while watcher is not None and self._loop.time() < deadline:
            await asyncio.sleep(RETURN_SPREAD_S * state.rng.random())
            if await self._take_over_from(watcher):
                return self._position
        return None

    async def _take_over_from(self, member: Member) -> bool:
        """Take over another gateway's state in the store's epoch; return whether it has one."""
        fetched = await self._fetch_snapshot([member.control], max_age_s=self.relay.max_age_s)
        snapshot = fetched.snapshot
        if snapshot is None:
            if PeerState.LOADED not in fetched.states:
                self.relay.avoid(member, reason="no state")
            return False
        self._learn_epoch(snapshot.epoch, source=member.vm)
        self._take_over(snapshot.items, position=snapshot.position, age_s=snapshot.age_s)
        self._returned_store.hold(snapshot.held)
        return True

    async def _read_all(self) -> StorePosition:
        codec = self._codec
        # The warmth saved before this gateway started is needed only once, for its first requests.
        # Gateways that start after a seed get what was saved for their region from it.
        warmth_prefix = codec.warmth_prefix if self._is_seed else self.warmth_store.prefix
        prefixes = [codec.config_prefix, codec.upstream_prefix, codec.member_prefix]
        if not self._warmth_restored:
            prefixes.append(warmth_prefix)
        for _ in range(MAX_READ_RESTARTS):
            started_at = self._loop.time()
            pages = [await self._store.read_range(prefix) for prefix in prefixes]
            if len({page.position.epoch for page in pages}) == 1:
                break
        else:
            raise StoreError("the store returned from older copies again and again")
        self._record_store_reachable(reachable=True, reason="")
        revision = min(page.position.revision for page in pages[:3])
        position = StorePosition(epoch=pages[0].position.epoch, revision=revision)
        read = [item for page in pages[:3] for item in page.items]
        saved_warmth = pages[3].items if len(pages) > 3 else ()
        age_s = self._loop.time() - started_at
        self._take_over(read, position=position, age_s=age_s, saved_warmth=saved_warmth)
        if not self._warmth_restored:
            self.warmth_store.restore(saved_warmth)
            self._warmth_restored = True
        return position

    def _take_over(
        self,
        read: Sequence[StoreItem],
        *,
        position: StorePosition,
        age_s: float,
        saved_warmth: Sequence[StoreItem] = (),
    ) -> None:
        """Replace what is known by a full read, as far as nothing newer is known."""
        warmth_prefix = self._codec.warmth_prefix
        read = [item for item in read if not item.key.startswith(warmth_prefix)]
        known = {
            key: item
            for key, item in self._stored.items.items()
            if not key.startswith(warmth_prefix)
        }
        has_returned = self._has_state and position.epoch != self._position.epoch
        if has_returned:
            changes = self._compare_with_copy(read, known=known, position=position)
        else:
            missing = known.keys() - {item.key for item in read}
            removed = [StoreItem(key, value=None, revision=position.revision) for key in missing]
            changes = [*read, *removed]
        self._stored.apply(
            [*changes, *saved_warmth], were_listed=has_returned or not self._has_state
        )
        is_behind = position.revision < self.relay.log.revision
        if has_returned or is_behind or not self._has_state:
            self.relay.reset(read, position=position, age_s=age_s)
        else:
            self.relay.record_read(changes, position=position, age_s=age_s)
        self._has_state = True
        self._position = position
        self._state.metrics.store_epoch.set(position.epoch)

    def _compare_with_copy(
        self,
        read: Sequence[StoreItem],
        *,
        known: Mapping[str, StoreItem],
        position: StorePosition,
    ) -> list[StoreItem]:
        """Return what to apply of the store's copy; what this gateway wrote is written again."""
        now = self._loop.time()
        # Missing entries of upstreams are suspended as after an outage.
        self._state.store_available_since = now
        report = self._returned_store.compare(read, known=known)
        learned_at = self._epoch_learned_at if self._epoch_learned_at is not None else now
        self._state.log.write(
            LogNumber.GATEWAY_STORE_RETURNED,
            epoch=position.epoch,
            earlier_epoch=self._position.epoch,
            revision=position.revision,
            earlier_revision=self._position.revision,
            learned_from=self._epoch_source or "store",
            read_s=round(now - learned_at, 3),
            **report.log_fields(),
        )
        self._epoch_learned_at = None
        self._epoch_source = ""
        self._snapshots.clear()
        self._membership.record_entry_loss()
        self._state.warmth.mark_all_unsaved()
        return report.changes

    def expire(self) -> None:
        """Drop what did not reappear in time after an outage, or after a return from a copy."""
        self._stored.expire()

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
