"""Pass on what the store says, so that a few gateways of a region watch it for all.

Load pattern: many gateways, and upstreams that report all the time. Each watch is a priced call
that brings every report to every gateway, though nearly all of them say what was known. Two
gateways of a large region watch the store; the others ask them for the changes that matter, and
watch the store themselves while neither has fresh ones.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections import deque
from collections.abc import Iterable
from urllib.parse import parse_qs

import msgspec

from gooseberryport_core._hashing import rendezvous_weight
from gooseberryport_core.gateway.model import Member, UpstreamEntry
from gooseberryport_core.log_events import LogNumber
from gooseberryport_core.types import VmId
from gooseberryport_gateway._client_conn import ClientRequest, Reply
from gooseberryport_gateway._http_conn import HttpConn, open_conn
from gooseberryport_gateway._state import GatewayState
from gooseberryport_gateway.errors import NotSentError, ResponseLostError
from gooseberryport_gateway.wire import Codec, StoreItem, StorePage

CHANGES_PATH = "/v1/changes"

TASK = "watch store"

WATCHERS = 2
"""Gateways of a region that watch the store: one may die."""

MIN_GATEWAYS_FOR_RELAY = 5
"""Gateways of a region from which its others ask watchers; with fewer there is little to save."""

LONG_POLL_TIMEOUT_S = 0.5
"""How long a watcher holds a question while nothing changes; seconds."""

LONG_POLL_MARGIN_S = 0.3
"""Time for an answer beyond that: many round trips of a region; seconds."""

AVOID_WATCHER_WINDOW_S = 2.0
"""How long a watcher that did not answer is not asked again; seconds."""

MAX_AGE_FRACTION = 0.55
"""Oldest state that is taken from a watcher, as a part of the time within which a draining upstream
must get nothing more: its pause between watches, and room for a watch of one's own after it."""

COLD_TOLERANCE_S = 0.5
"""Difference in when an upstream stops being cold from which a report is passed on; seconds."""

MAX_CHANGES_KEPT = 4_096
"""Changes that a watcher keeps for others; who is further behind reads the store."""


class RelayPage(msgspec.Struct, frozen=True, array_like=True):
    """What a watcher answers.

    Parameters
    ----------
    items
        Changes that matter, in their order.
    revision
        Revision of the store up to which the watcher knows all changes.
    age_s
        How long ago the store told it of them; seconds.
    regained_s
        How long ago the store came back to it; seconds.
    """

    items: list[StoreItem]
    revision: int
    age_s: float
    regained_s: float


class ChangeLog:
    """Keep the changes that matter, and leave out reports that say what was known.

    Parameters
    ----------
    codec
        Decodes entries of upstreams.
    """

    def __init__(self, *, codec: Codec) -> None:
        self._codec = codec
        self._changes: deque[StoreItem] = deque()
        self._told: dict[str, tuple[UpstreamEntry, float]] = {}
        self._complete_from: int | None = None
        self.revision = 0

    def reset(self, items: Iterable[StoreItem], *, revision: int, now: float) -> None:
        """Start anew with what a whole read of the store showed."""
        self._changes.clear()
        self._told.clear()
        for item in items:
            self._matters(item, now=now)
        self._complete_from = self.revision = revision

    def add(self, items: Iterable[StoreItem], *, revision: int, now: float) -> bool:
        """Take changes in; True if one of them matters."""
        matters = [item for item in items if self._matters(item, now=now)]
        self._changes.extend(matters)
        while len(self._changes) > MAX_CHANGES_KEPT:
            self._complete_from = self._changes.popleft().revision
        self.revision = max(self.revision, revision)
        return bool(matters)

    def since(self, after: int) -> list[StoreItem] | None:
        """Return the changes after a revision, or None if some are no longer kept."""
        if self._complete_from is None or after < self._complete_from:
            return None
        return [item for item in self._changes if item.revision > after]

    def _matters(self, item: StoreItem, *, now: float) -> bool:
        if item.key.startswith(self._codec.warmth_prefix):
            # Needed once, by a gateway that starts; that one reads the store.
            return False
        if not item.key.startswith(self._codec.upstream_prefix):
            return True
        known = self._told.pop(item.key, None)
        if item.value is None:
            return True
        try:
            entry = self._codec.upstream(item)
        except ValueError:
            # Whoever applies it says in the log what is wrong with it.
            return True
        cold_until = now + entry.cold_s if entry.cold_s > 0 else 0.0
        if known is not None:
            before, told_until = known
            lasting = msgspec.structs.replace(entry, sequence=before.sequence, cold_s=before.cold_s)
            same_cold = cold_until == 0.0 or abs(cold_until - told_until) < COLD_TOLERANCE_S
            if lasting == before and same_cold:
                self._told[item.key] = known
                return False
        self._told[item.key] = (entry, cold_until)
        return True


class Relay:
    """Answer gateways that ask for changes, and ask watchers for them.

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
        self._fresh_at = float("-inf")
        self._changed = asyncio.Event()
        self._conns: dict[str, HttpConn] = {}
        self._avoided: dict[VmId, float] = {}

    @property
    def _max_age_s(self) -> float:
        return self._state.settings.bounds.drain_s * MAX_AGE_FRACTION

    def reset(self, items: Iterable[StoreItem], *, revision: int) -> None:
        """Start anew with all that the store, or another gateway, told."""
        self.log.reset(items, revision=revision, now=self._loop.time())

    def record_store_page(self, page: StorePage) -> None:
        """Take in what the store told this gateway."""
        now = self._loop.time()
        matters = self.log.add(page.items, revision=page.revision, now=now)
        self._fresh_at = now
        if matters:
            self._note_fresh(now)

    def record_relayed_page(self, page: RelayPage) -> None:
        """Take in what another gateway passed on, in case this one is asked next."""
        self.log.add(page.items, revision=page.revision, now=self._loop.time())

    def watcher(self) -> Member | None:
        """Return the gateway to ask for changes, or None if this one watches the store itself."""
        state = self._state
        now = self._loop.time()
        able = state.fleet.chosen(
            TASK, count=MIN_GATEWAYS_FOR_RELAY, follows_store=state.follows_store, now=now
        )
        watchers = able[:WATCHERS]
        if len(able) < MIN_GATEWAYS_FOR_RELAY or any(each.vm == state.me.vm for each in watchers):
            return None
        usable = [
            each
            for each in watchers
            if each.control and now >= self._avoided.get(each.vm, float("-inf"))
        ]
        # Askers spread over the watchers, and each stays with the same one.
        return max(usable, key=lambda each: rendezvous_weight(each.vm, state.me.vm), default=None)

    async def fetch(self, watcher: Member, *, after: int) -> RelayPage | None:
        """Return a watcher's changes after a revision, or None if it has no fresh ones."""
        try:
            async with asyncio.timeout(LONG_POLL_TIMEOUT_S + LONG_POLL_MARGIN_S):
                page = await self._ask(watcher, after=after)
        except (NotSentError, ResponseLostError, TimeoutError, msgspec.DecodeError) as exc:
            self._avoid(watcher, reason=repr(exc))
            return None
        if page is None or page.age_s > self._max_age_s:
            self._avoid(watcher, reason="no fresh changes")
            return None
        self._fresh_at = self._loop.time() - page.age_s
        return page

    async def handle_request(self, req: ClientRequest) -> Reply:
        """Answer a gateway that asks for changes."""
        fields = parse_qs(req.target.partition(b"?")[2].decode("latin-1"))
        after = fields.get("after", [""])[0]
        if not after.isdigit():
            return Reply(status=400, headers=[])
        changes = self.log.since(int(after))
        if changes is not None and not changes:
            changed = self._changed
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(LONG_POLL_TIMEOUT_S):
                    await changed.wait()
            changes = self.log.since(int(after))
        age_s = self._loop.time() - self._fresh_at
        if changes is None or age_s > self._max_age_s or not self._state.ready:
            return Reply(status=503, headers=[])
        page = RelayPage(
            items=changes,
            revision=self.log.revision,
            age_s=age_s,
            regained_s=self._loop.time() - self._state.store_available_since,
        )
        return Reply(status=200, headers=[], body=msgspec.msgpack.encode(page))

    async def _ask(self, watcher: Member, *, after: int) -> RelayPage | None:
        address = watcher.control
        conn = self._conns.pop(address, None)
        if conn is None or not conn.usable:
            host, _, port = address.rpartition(":")
            conn = await open_conn((host, int(port)), timeout_s=LONG_POLL_MARGIN_S)
        request = f"GET {CHANGES_PATH}?after={after} HTTP/1.1\r\nhost: {address}\r\n\r\n"
        answer = await conn.request(request.encode())
        if conn.usable:
            self._conns[address] = conn
        if answer.status != 200:
            return None
        return msgspec.msgpack.decode(answer.body, type=RelayPage)

    def _avoid(self, watcher: Member, *, reason: str) -> None:
        self._avoided[watcher.vm] = self._loop.time() + AVOID_WATCHER_WINDOW_S
        self._state.log.write(LogNumber.GATEWAY_WATCHER_AVOIDED, watcher=watcher.vm, reason=reason)

    def _note_fresh(self, now: float) -> None:
        self._fresh_at = now
        self._changed.set()
        self._changed = asyncio.Event()
