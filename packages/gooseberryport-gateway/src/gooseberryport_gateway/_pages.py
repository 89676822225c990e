"""Pages that a gateway serves beside clients' requests, and who may ask for each one.

Failure pattern: a page for other gateways contains the configuration with all API keys, and is
answered on a listener that clients reach as well. So each listener answers only its own pages.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from enum import Enum
from math import inf
from typing import NamedTuple
from urllib.parse import parse_qs

from gooseberryport_core.gateway.lookups import Basis, EntryPoints
from gooseberryport_core.log_events import LogNumber
from gooseberryport_core.types import RegionName, ZoneName
from gooseberryport_gateway._client_messages import ClientRequest, Handler, Reply
from gooseberryport_gateway._discovery import Discovery
from gooseberryport_gateway._peer_snapshots import COMPRESSED, SNAPSHOT_PATH
from gooseberryport_gateway._relay import CHANGES_PATH
from gooseberryport_gateway._state import GatewayState
from gooseberryport_gateway.wire import ClientLocation, Codec, GatewaySettings

METRICS_PATH = "/metrics"

LOOKUP_TTL_S = 2.0
"""How long clients cache a lookup's result; a stopping gateway serves for longer; seconds."""

ELSEWHERE_LOG_INTERVAL_S = 1.0
"""Minimum interval between log lines on look-ups that name other regions; seconds."""

MAX_LOGGED_ADDRESSES = 8
"""Maximum addresses in such a line."""

MAX_LOGGED_REGION_CHARS = 64
"""Maximum length of a region in such a line, as clients may state any text."""


class Listener(Enum):
    """A listener for pages; several may have the same address."""

    READY = "ready"
    LOOKUP = "lookup"
    CONTROL = "control"


class Content(Enum):
    """What a page may reveal."""

    ADDRESSES = "addresses"
    """Addresses of gateways, which clients connect to."""

    READINESS = "readiness"
    FIGURES = "figures"
    """Counters, with the names of routes, services and tenants."""

    STORED_ITEMS = "stored-items"
    """The platform's items as they are stored, the API keys of all tenants among them."""


class Page(Enum):
    """A page."""

    LOOKUP = "lookup"
    READY = "ready"
    METRICS = "metrics"
    SNAPSHOT = "snapshot"
    CHANGES = "changes"


class PageRow(NamedTuple):
    """Where a page is served, to whom, and what it may reveal."""

    page: Page
    listeners: frozenset[Listener]
    callers: str
    content: Content


PAGE_TABLE = (
    PageRow(Page.LOOKUP, frozenset([Listener.LOOKUP]), "clients", Content.ADDRESSES),
    PageRow(Page.READY, frozenset([Listener.READY]), "the platform", Content.READINESS),
    PageRow(
        Page.METRICS,
        frozenset([Listener.CONTROL, Listener.READY]),
        "operators",
        Content.FIGURES,
    ),
    PageRow(Page.SNAPSHOT, frozenset([Listener.CONTROL]), "other gateways", Content.STORED_ITEMS),
    PageRow(Page.CHANGES, frozenset([Listener.CONTROL]), "other gateways", Content.STORED_ITEMS),
)


def pages_of(listeners: Iterable[Listener]) -> frozenset[Page]:
    """Return the pages that an address serves.

    Parameters
    ----------
    listeners
        Listeners that have the address. Where one of them is not for stored items, nobody gets
        these there: gateways read the store instead.
    """
    at_address = frozenset(listeners)
    return frozenset(
        row.page
        for row in PAGE_TABLE
        if (
            at_address <= row.listeners
            if row.content is Content.STORED_ITEMS
            else at_address & row.listeners
        )
    )


def listeners_by_address(settings: GatewaySettings) -> dict[str, frozenset[Listener]]:
    """Return the listeners for pages at each address, in the order of the addresses."""
    addresses = {
        Listener.READY: settings.ready,
        Listener.LOOKUP: settings.lookup,
        Listener.CONTROL: settings.control,
    }
    return {
        address: frozenset(listener for listener, own in addresses.items() if own == address)
        for address in sorted(set(addresses.values()) - {""})
    }


class Pages:
    """Answer requests for pages.

    Parameters
    ----------
    state
        State of the gateway.
    discovery
        Holds what other gateways may ask for.
    codec
        Paths and formats of the pages that clients and the platform ask for.
    metrics_text
        Encodes the metrics.
    """

    def __init__(
        self,
        *,
        state: GatewayState,
        discovery: Discovery,
        codec: Codec,
        metrics_text: Callable[[], bytes],
    ) -> None:
        self._state = state
        self._discovery = discovery
        self._codec = codec
        self._metrics_text = metrics_text
        self._loop = asyncio.get_running_loop()
        self._started_at = self._loop.time()
        # Look-ups that named other regions since the latest line on them.
        self._elsewhere = 0
        self._elsewhere_logged_at = -inf
        self._by_path: dict[str, tuple[Page, Callable[[ClientRequest], Awaitable[Reply]]]] = {
            codec.lookup_path: (Page.LOOKUP, self._lookup),
            codec.ready_path: (Page.READY, self._ready),
            METRICS_PATH: (Page.METRICS, self._metrics),
            SNAPSHOT_PATH: (Page.SNAPSHOT, self._snapshot),
            CHANGES_PATH: (Page.CHANGES, discovery.relay.handle_request),
        }

    def handler(self, listeners: Iterable[Listener]) -> Handler:
        """Return the handler of an address that these listeners have."""
        served = pages_of(listeners)

        async def handle(req: ClientRequest) -> Reply:
            page, answer = self._by_path.get(req.path, (None, None))
            if page not in served or answer is None:
                return Reply(status=404, headers=[])
            return await answer(req)

        return handle

    async def _ready(self, req: ClientRequest) -> Reply:
        return Reply(status=200 if self._state.ready else 503, headers=[])

    async def _metrics(self, req: ClientRequest) -> Reply:
        return Reply(
            status=200,
            headers=[(b"content-type", b"text/plain; version=0.0.4")],
            body=self._metrics_text(),
        )

    async def _snapshot(self, req: ClientRequest) -> Reply:
        """Return this gateway's state; uncompressed for gateways of version 1, which ask for it."""
        fields = parse_qs(req.target.partition(b"?")[2].decode("latin-1"))
        region = RegionName(fields.get("region", [self._state.me.region])[0])
        snapshot = self._discovery.snapshot(region=region)
        if snapshot is None or self._state.stopping:
            return Reply(status=503, headers=[])
        if req.header(b"accept-encoding") != COMPRESSED:
            body = self._discovery.encode_snapshot(region=region)
            return Reply(status=200, headers=[], body=body)
        return Reply(status=200, headers=[(b"content-encoding", COMPRESSED)], body=snapshot)

    async def _lookup(self, req: ClientRequest) -> Reply:
        location = self._codec.decode_location(req.target.partition(b"?")[2].decode("latin-1"))
        now = self._loop.time()
        state = self._state
        zone, region = self._locate(location)
        found = state.fleet.entry_points(
            zone=zone,
            region=region,
            own_phase=state.phase,
            stop_times=state.stop_times,
            demand_per_s=state.request_rate.per_s(now=now),
            now=now,
        )
        state.metrics.lookups.labels(found.basis.value).inc()
        if found.basis is Basis.ELSEWHERE:
            self._log_elsewhere(region, found, now=now)
        if not found.addresses:
            return Reply(status=503, headers=[])
        ttl_s = min(LOOKUP_TTL_S, state.settings.bounds.max_lookup_ttl_s)
        body = self._codec.lookup_answer(list(found.addresses), ttl_s=ttl_s)
        return Reply(status=200, headers=[(b"content-type", b"application/json")], body=body)

    def _locate(self, location: ClientLocation) -> tuple[ZoneName | None, RegionName]:
        """Return a client's availability zone and region; what it does not state is inferred."""
        settings = self._state.settings
        zone, region = location.zone, location.region
        if region is not None:
            return zone, region
        if zone is None:
            return settings.zone, settings.region
        return zone, settings.regions.get(zone, settings.region)

    def _log_elsewhere(self, region: RegionName, found: EntryPoints, *, now: float) -> None:
        """Log that a client is sent to other regions, at most once in a while."""
        self._elsewhere += 1
        if now - self._elsewhere_logged_at < ELSEWHERE_LOG_INTERVAL_S:
            return
        state = self._state
        evidence = state.fleet.region_evidence(region, now=now)
        state.log.write(
            LogNumber.GATEWAY_LOOKUP_ELSEWHERE,
            client_region=region[:MAX_LOGGED_REGION_CHARS],
            named=list(found.addresses[:MAX_LOGGED_ADDRESSES]),
            lookups=self._elsewhere,
            listed=evidence.listed,
            heard_s=evidence.heard_s,
            digest_s=evidence.digest_s,
            up_s=round(now - self._started_at, 3),
            phase=state.phase.value,
        )
        self._elsewhere = 0
        self._elsewhere_logged_at = now
