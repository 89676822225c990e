"""Probe unreachable upstreams before they get requests again."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial

from gooseberryport_core.decoding import MAX_DURATION_S, parse_count
from gooseberryport_core.gateway.announcements import NOTHING_ANNOUNCED, Announcement, Gate
from gooseberryport_core.gateway.upstreams import Reachability, Upstream, UpstreamTable
from gooseberryport_core.log_events import LogNumber
from gooseberryport_core.types import UpstreamId
from gooseberryport_gateway._attempts import reported_load
from gooseberryport_gateway._http_response import HttpResponse
from gooseberryport_gateway._pool import ConnPool
from gooseberryport_gateway._state import GatewayState
from gooseberryport_gateway.errors import NotSentError, ResponseLostError
from gooseberryport_gateway.wire import HeaderNames

CHECK_INTERVAL_S = 0.1
"""Interval between checks for upstreams that are due for a probe; seconds."""

PROBE_TIMEOUT_S = 1.0
"""Timeout of a health check, which may wait for a slot; seconds."""

DEFAULT_HEALTH_PATH = "/health"


class Prober:
    """Send health checks to upstreams that are due for a probe.

    Parameters
    ----------
    state
        State of the gateway, which probes update.
    pool
        Connections to upstreams; the connection of a probe is returned to it.
    names
        Header fields of upstreams.
    announcement
        Decodes what a response says about its upstream.
    """

    def __init__(
        self,
        *,
        state: GatewayState,
        pool: ConnPool,
        names: HeaderNames,
        announcement: Callable[[HttpResponse], Announcement] = lambda _: NOTHING_ANNOUNCED,
    ) -> None:
        self._state = state
        self._pool = pool
        self._names = names
        self._announcement = announcement
        self._loop = asyncio.get_running_loop()
        self._running: dict[UpstreamId, asyncio.Task[None]] = {}

    @property
    def _table(self) -> UpstreamTable:
        return self._state.upstreams

    async def run(self) -> None:
        """Probe upstreams that are due, forever."""
        while True:
            now = self._loop.time()
            for upstream in self._table:
                due = upstream.reachability is Reachability.UNPROVEN and now >= upstream.probe_at
                if (
                    due
                    and self._state.statements.gate(upstream) is not Gate.PAUSED
                    and upstream.id not in self._running
                ):
                    task = self._loop.create_task(self._probe(upstream))
                    self._running[upstream.id] = task
                    task.add_done_callback(partial(self._on_probe_done, upstream.id))
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _on_probe_done(self, upstream: UpstreamId, task: asyncio.Task[None]) -> None:
        self._running.pop(upstream, None)
        if not task.cancelled() and (exc := task.exception()) is not None:
            self._state.log.write(LogNumber.GATEWAY_TASK_FAILED, task="probe", error=repr(exc))

    async def _probe(self, upstream: Upstream) -> None:
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                response = await self._request_health(upstream)
        except (NotSentError, ResponseLostError, TimeoutError) as exc:
            self._state.metrics.probes.labels("no-answer").inc()
            self._state.record_unreachable(upstream, reason=repr(exc), now=self._loop.time())
            return
        self._handle_response(upstream, response)

    async def _request_health(self, upstream: Upstream) -> HttpResponse:
        routes = self._state.routes
        spec = routes.config.services.get(upstream.entry.service) if routes else None
        path = spec.health_path if spec is not None else DEFAULT_HEALTH_PATH
        conn = self._pool.acquire(upstream.id, upstream.entry.address)
        if conn is None:
            conn = await self._pool.connect(upstream.id, upstream.entry.address)
            self._state.metrics.connections.inc()
        host, port = upstream.entry.address
        response = await conn.request(
            f"GET {path} HTTP/1.1\r\nhost: {host}:{port}\r\n\r\n".encode()
        )
        self._pool.release(upstream.id, conn)
        return response

    def _handle_response(self, upstream: Upstream, response: HttpResponse) -> None:
        now = self._loop.time()
        responder = response.header(self._names.upstream)
        if responder is not None and responder.decode("latin-1") != upstream.id:
            self._state.metrics.probes.labels("other-upstream").inc()
            self._state.record_unreachable(
                upstream, reason="health check: another upstream has the address", now=now
            )
            return
        self._state.statements.record_announcement(
            upstream,
            self._announcement(response),
            started_ms=upstream.entry.started_ms,
            request="health check",
            now=now,
        )
        self._state.balancing.record_response(
            upstream,
            reported_load(response, names=self._names),
            started_ms=upstream.entry.started_ms,
            ran=False,
            is_request=False,
            now=now,
        )
        full = response.header(self._names.not_executed) is not None
        if response.status != 200 and not full:
            self._state.metrics.probes.labels("unwell").inc()
            self._state.record_unreachable(
                upstream, reason=f"health check: {response.status}", now=now
            )
            return
        self._state.metrics.probes.labels("well").inc()
        cold_ms = parse_count(
            response.header(self._names.cold_ms) or b"", max_count=int(MAX_DURATION_S * 1000.0)
        )
        if cold_ms is not None:
            upstream.cold_until = max(upstream.cold_until, now + cold_ms / 1000.0)
        upstream.record_reachable()
        self._state.log.write(
            LogNumber.GATEWAY_UPSTREAM_BACK,
            upstream=upstream.id,
            status=response.status,
            cold_s=max(upstream.cold_until - now, 0.0),
        )
