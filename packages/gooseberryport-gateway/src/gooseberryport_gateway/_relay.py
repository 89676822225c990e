"""Relay changes of the store, so that a few gateways of a region watch it for all of them.

Load pattern: many gateways, and upstreams that report continuously. Each watch is a billed call
that sends every report to every gateway, though nearly all reports contain nothing new. Two
gateways of a large region watch the store; the others request the relevant changes from them, and
watch the store themselves while neither watcher is up to date.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections import deque
from collections.abc import Iterable
from urllib.parse import parse_qs

import msgspec

from gooseberryport_core._hashing import rendezvous_weight
from gooseberryport_core.decoding import (
    Count,
    InputError,
    Seconds,
    decode_with,
    parse_address,
    parse_count,
)
from gooseberryport_core.gateway.model import Member, UpstreamEntry
from gooseberryport_core.gateway.store_epochs import UNKNOWN_EPOCH, StorePosition
from gooseberryport_core.log_events import LogNumber
from gooseberryport_core.types import RegionName, VmId
from gooseberryport_gateway._byte_limits import SERVICE_BUDGET, SERVICE_LIMITS
from gooseberryport_gateway._client_messages import ClientRequest, Reply
from gooseberryport_gateway._http_conn import HttpConn, open_conn
from gooseberryport_gateway._progress import Transfer, transfer_timeout
from gooseberryport_gateway._state import GatewayState
from gooseberryport_gateway.errors import NotSentError, ResponseLostError
from gooseberryport_gateway.wire import Codec, StoreItem, StorePage, shorten_unreadable

CHANGES_PATH = "/v1/changes"

WATCH_TASK = "watch store"

WATCHERS = 2
"""Number of gateways of a region that watch the store, so that one may fail."""

MIN_GATEWAYS_FOR_RELAY = 5
"""Minimum gateways of a region for using watchers; with fewer the saving is small."""

LONG_POLL_MARGIN_S = 0.3
"""Time for the reply beyond that for which a watcher holds a request: many round trips within a
region; seconds."""

AVOID_WATCHER_WINDOW_S = 2.0
"""How long a watcher that did not reply is avoided; seconds."""

USED_TTL_S = 5.0
"""Time after a request for changes for which this gateway counts as a watcher for others; seconds.
"""

COLD_TOLERANCE_S = 0.5
"""A cold upstream's entry is relayed again if the time at which the upstream stops being cold moved
by this or more; seconds."""

MAX_CHANGES_KEPT = 4_096
"""Changes that a watcher keeps; a gateway that is further behind reads the store."""

MAX_CHANGE_BYTES_KEPT = 8_388_608
"""Maximum size of the values of the kept changes, some of which are large configurations; bytes."""


class RelayPage(msgspec.Struct, frozen=True, array_like=True):
    """Reply of a watcher.

    Parameters
    ----------
    items
        Relevant changes, in order.
    revision
        Revision of the store up to which the watcher has all changes.
    age_s
        How long ago the watcher received them from the store; seconds.
    regained_s
        For how long the store has been available again to the watcher; seconds.
    epoch
        Epoch of the store in which the revision was given out. If it is not the one that was asked
        for, there are no items, and the state has to be read anew.
    """

    items: list[StoreItem]
    revision: Count
    age_s: Seconds
    regained_s: float
    epoch: Count = UNKNOWN_EPOCH

    @property
    def position(self) -> StorePosition:
        """Position in the store's history up to which the watcher has all changes."""
        return StorePosition(epoch=self.epoch, revision=self.revision)


_page_decoder = msgspec.msgpack.Decoder(RelayPage)


def known_prefixes(codec: Codec) -> tuple[str, ...]:
    """Return the prefixes of the keys that gateways use; the store has keys of others as well."""
    return (
        codec.config_prefix,
        codec.upstream_prefix,
        codec.member_prefix,
        codec.warmth_prefix,
    )


class ChangeLog:
    """Keep the relevant changes, and drop reports that contain nothing new.

    Parameters
    ----------
    codec
        Decodes entries of upstreams.
    """

    def __init__(self, *, codec: Codec) -> None:
        self._codec = codec
        self._prefixes = known_prefixes(codec)
        self._changes: deque[StoreItem] = deque()
        self._change_bytes = 0
        # An upstream's entry and the time at which it stops being cold; None if it is unreadable.
        self._last_relayed: dict[str, tuple[UpstreamEntry, float] | None] = {}
        self._complete_from: int | None = None
        self.revision = 0
        self.epoch = UNKNOWN_EPOCH

    def reset(
        self, items: Iterable[StoreItem], *, revision: int, now: float, epoch: int = UNKNOWN_EPOCH
    ) -> None:
        """Restart from a full read of the store."""
        self.epoch = epoch
        self._changes.clear()
        self._change_bytes = 0
        self._last_relayed.clear()
        for item in items:
            self._relevant(item, now=now)
        self._complete_from = self.revision = revision

    def add(self, items: Iterable[StoreItem], *, revision: int, now: float) -> bool:
        """Add changes; return whether any of them is relevant."""
        has_relevant = False
        for item in items:
            relevant = self._relevant(item, now=now)
            if relevant is not None:
                has_relevant = True
                if relevant.key.startswith(self._codec.config_prefix):
                    self._drop_superseded(relevant.key)
                self._changes.append(relevant)
                self._change_bytes += len(relevant.value or b"")
        while self._changes and (
            len(self._changes) > MAX_CHANGES_KEPT or self._change_bytes > MAX_CHANGE_BYTES_KEPT
        ):
            oldest = self._changes.popleft()
            self._change_bytes -= len(oldest.value or b"")
            self._complete_from = oldest.revision
        self.revision = max(self.revision, revision)
        return has_relevant

    def _drop_superseded(self, key: str) -> None:
        kept = deque(item for item in self._changes if item.key != key)
        if len(kept) < len(self._changes):
            self._changes = kept
            self._change_bytes = sum(len(item.value or b"") for item in kept)

    def since(self, after: int) -> list[StoreItem] | None:
        """Return the changes after a revision, or None if some are no longer kept.

        Of each configuration, which may be large, only the newest version is returned.
        """
        if self._complete_from is None or after < self._complete_from:
            return None
        return [item for item in self._changes if item.revision > after]

    def _relevant(self, item: StoreItem, *, now: float) -> StoreItem | None:
        """Return what to relay of a change, or None; keep each upstream's last relayed entry."""
        codec = self._codec
        if not item.key.startswith(self._prefixes):
            return None
        if item.key.startswith(codec.warmth_prefix):
            # Only a starting gateway needs the warmth, and reads it from the store.
            return None
        if not item.key.startswith(codec.upstream_prefix):
            return item
        was_relayed = item.key in self._last_relayed
        last_relayed = self._last_relayed.pop(item.key, None)
        if item.value is None:
            return item
        try:
            entry = codec.upstream(item)
        except InputError:
            # The gateway that applies the entry logs what is wrong with it.
            self._last_relayed[item.key] = None
            if was_relayed and last_relayed is None:
                return None
            return shorten_unreadable(item)
        cold_until = now + entry.cold_s if entry.cold_s > 0 else 0.0
        if last_relayed is not None:
            last_entry, relayed_cold_until = last_relayed
            comparable = msgspec.structs.replace(
                entry, sequence=last_entry.sequence, cold_s=last_entry.cold_s
            )
            same_cold = cold_until == 0.0 or abs(cold_until - relayed_cold_until) < COLD_TOLERANCE_S
            if comparable == last_entry and same_cold:
                self._last_relayed[item.key] = last_relayed
                return None
        self._last_relayed[item.key] = (entry, cold_until)
        return item


class Relay:
    """Serve changes to other gateways, and fetch changes from watchers.

    Parameters
    ----------
    state
        State of this gateway.
    codec
        Decodes entries of upstreams.
    """

    def __init__(self, *, state: GatewayState, codec: Codec) -> None:
        self._state = state
        self._loop = asyncio.get_running_loop()
        self.log = ChangeLog(codec=codec)
        self._up_to_date_at = float("-inf")
        self._changed = asyncio.Event()
        self._conns: dict[str, HttpConn] = {}
        self._avoided: dict[VmId, float] = {}
        self._requested_at = float("-inf")

    @property
    def max_age_s(self) -> float:
        """Maximum age of another gateway's state that this one may use; seconds."""
        return self._state.settings.bounds.ages.max_age_s

    @property
    def is_used(self) -> bool:
        """Whether other gateways requested changes from this one lately."""
        return self._loop.time() - self._requested_at < USED_TTL_S

    @property
    def _long_poll_s(self) -> float:
        return self._state.settings.bounds.ages.long_poll_s

    @property
    def state_age_s(self) -> float:
        """How long ago the store confirmed this gateway's state; seconds."""
        return self._loop.time() - self._up_to_date_at

    def reset(self, items: Iterable[StoreItem], *, position: StorePosition, age_s: float) -> None:
        """Restart from a full read of the store, or from another gateway's snapshot.

        Parameters
        ----------
        items
            Items that were read.
        position
            Position in the store's history up to which they contain all changes.
        age_s
            How long ago the store confirmed them; seconds.
        """
        now = self._loop.time()
        was_in_epoch = self.log.epoch
        self.log.reset(items, revision=position.revision, now=now, epoch=position.epoch)
        self._up_to_date_at = now - age_s
        if position.epoch != was_in_epoch:
            self._wake_requests()

    def record_read(
        self, changes: Iterable[StoreItem], *, position: StorePosition, age_s: float
    ) -> None:
        """Record a full read of the store in the epoch of what is known.

        The gateways that request changes from this one get what the read has shown.

        Parameters
        ----------
        changes
            Items that were read, and removals of those that were known and are gone.
        position, age_s
            As in `reset`.
        """
        now = self._loop.time()
        known_to = self.log.revision
        newer = sorted(
            (item for item in changes if item.revision > known_to), key=lambda item: item.revision
        )
        has_relevant = self.log.add(newer, revision=position.revision, now=now)
        self._up_to_date_at = now - age_s
        if has_relevant:
            self._wake_requests()

    def record_store_page(self, page: StorePage) -> None:
        """Record a page that this gateway received from the store."""
        now = self._loop.time()
        has_relevant = self.log.add(page.items, revision=page.position.revision, now=now)
        self._up_to_date_at = now - page.transfer_s
        if has_relevant:
            self._wake_requests()

    def record_relayed_page(self, page: RelayPage) -> None:
        """Record a relayed page, for gateways that request changes from this one."""
        if self.log.add(page.items, revision=page.revision, now=self._loop.time()):
            self._wake_requests()

    def watcher(self) -> Member | None:
        """Return the gateway to fetch changes from, or None if this one watches the store.

        The watchers of the region near the store watch it; those of other regions fetch changes
        from them; and all other gateways fetch changes from the watchers of their region.
        """
        state = self._state
        watchers = self._watchers_of(state.me.region)
        if any(member.vm == state.me.vm for member in watchers):
            near = state.fleet.region_near_store()
            watchers = self._watchers_of(near) if near not in (None, state.me.region) else []
        return self._choose(watchers)

    def substitute(self) -> Member | None:
        """Return a gateway to fetch changes from while the store fails for this one, or None.

        Of its own region first, then of the region near the store, then of any other.
        """
        state = self._state
        near = state.fleet.region_near_store()
        preferred = [state.me.region] if near is None else [state.me.region, near]
        now = self._loop.time()
        for region in dict.fromkeys([*preferred, *state.settings.regions.values()]):
            candidates = state.fleet.assignees(
                WATCH_TASK,
                count=MIN_GATEWAYS_FOR_RELAY,
                follows_store=False,
                region=region,
                now=now,
            )
            chosen = self._choose(candidates)
            if chosen is not None:
                return chosen
        return None

    def _choose(self, gateways: list[Member]) -> Member | None:
        """Return the gateway to ask, of those that are not avoided."""
        now = self._loop.time()
        usable = [
            member
            for member in gateways
            if member.control and now >= self._avoided.get(member.vm, float("-inf"))
        ]
        # Rendezvous hashing spreads the requests and keeps each gateway at the same one.
        vm = self._state.me.vm
        return max(usable, key=lambda member: rendezvous_weight(member.vm, vm), default=None)

    def _watchers_of(self, region: RegionName | None) -> list[Member]:
        """Return the watchers of a region; none if it has too few gateways for a relay."""
        eligible = self._state.fleet.assignees(
            WATCH_TASK,
            count=MIN_GATEWAYS_FOR_RELAY,
            follows_store=self._state.follows_store,
            region=region,
            now=self._loop.time(),
        )
        return eligible[:WATCHERS] if len(eligible) >= MIN_GATEWAYS_FOR_RELAY else []

    async def fetch(self, watcher: Member, *, after: StorePosition) -> RelayPage | None:
        """Return a watcher's changes after a position, possibly none.

        Return None if the watcher is unreachable or refuses, or if its state is too old.
        """
        try:
            async with transfer_timeout(
                first_byte_s=self._long_poll_s + LONG_POLL_MARGIN_S, stall_s=LONG_POLL_MARGIN_S
            ) as transfer:
                page = await self._request_page(watcher, after=after, transfer=transfer)
        except (NotSentError, ResponseLostError, TimeoutError, InputError) as exc:
            self.avoid(watcher, reason=repr(exc))
            return None
        if page is None or page.age_s > self.max_age_s or page.epoch < after.epoch:
            self.avoid(watcher, reason="refused, or its state is too old")
            return None
        if page.epoch != after.epoch:
            return page
        self._up_to_date_at = self._loop.time() - transfer.took_s - page.age_s
        return page

    async def handle_request(self, req: ClientRequest) -> Reply:
        """Reply to a gateway that requests changes, after waiting for one if there is none."""
        self._requested_at = self._loop.time()
        fields = parse_qs(req.target.partition(b"?")[2].decode("latin-1"))
        after = parse_count(fields.get("after", [""])[0].encode())
        if after is None:
            return Reply(status=400, headers=[])
        # Gateways of earlier versions state no epoch.
        stated_epoch = fields.get("epoch")
        epoch = self.log.epoch if stated_epoch is None else parse_count(stated_epoch[0].encode())
        if epoch is None:
            return Reply(status=400, headers=[])
        if self.state_age_s > self.max_age_s:
            # It does not become recent by waiting: this gateway may be cut off from the store.
            return Reply(status=503, headers=[])
        changes = self._changes_since(after, epoch=epoch)
        if changes is not None and not changes and epoch == self.log.epoch:
            changed = self._changed
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._long_poll_s):
                    await changed.wait()
            changes = self._changes_since(after, epoch=epoch)
        age_s = self.state_age_s
        if changes is None or age_s > self.max_age_s or self._state.stopping:
            return Reply(status=503, headers=[])
        page = RelayPage(
            items=changes,
            revision=self.log.revision,
            age_s=age_s,
            regained_s=self._loop.time() - self._state.store_available_since,
            epoch=self.log.epoch,
        )
        return Reply(status=200, headers=[], body=msgspec.msgpack.encode(page))

    def _changes_since(self, after: int, *, epoch: int) -> list[StoreItem] | None:
        """Return the changes after a revision of an epoch, and none if a later one has begun.

        Return None if some of them are no longer kept, or if this gateway is in an earlier epoch.
        """
        if epoch != self.log.epoch:
            return [] if epoch < self.log.epoch else None
        return self.log.since(after)

    async def _request_page(
        self, watcher: Member, *, after: StorePosition, transfer: Transfer
    ) -> RelayPage | None:
        address = watcher.control
        conn = self._conns.pop(address, None)
        if conn is None or not conn.usable:
            conn = await open_conn(
                parse_address(address),
                timeout_s=LONG_POLL_MARGIN_S,
                limits=SERVICE_LIMITS,
                budget=SERVICE_BUDGET,
            )
        query = f"after={after.revision}&epoch={after.epoch}"
        request = f"GET {CHANGES_PATH}?{query} HTTP/1.1\r\nhost: {address}\r\n\r\n"
        response = await conn.request(request.encode(), transfer=transfer)
        if conn.usable and address not in self._conns:
            self._conns[address] = conn
        else:
            conn.close()
        if response.status != 200:
            return None
        return decode_with(_page_decoder.decode, response.body)

    def close(self) -> None:
        """Close the idle connections to watchers."""
        for conn in self._conns.values():
            conn.close()
        self._conns.clear()

    def avoid(self, watcher: Member, *, reason: str) -> None:
        """Ask other gateways for a time."""
        self._avoided[watcher.vm] = self._loop.time() + AVOID_WATCHER_WINDOW_S
        self._state.log.write(LogNumber.GATEWAY_WATCHER_AVOIDED, watcher=watcher.vm, reason=reason)

    def _wake_requests(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
