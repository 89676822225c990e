"""Probe upstreams whose connections all broke before they get requests again."""

from __future__ import annotations

import asyncio
from functools import partial

from gooseberryport_core.gateway.upstreams import Reach, Upstream, UpstreamTable
from gooseberryport_core.log_events import LogNumber
from gooseberryport_core.types import UpstreamId
from gooseberryport_gateway._http_conn import HttpResponse
from gooseberryport_gateway._pool import ConnPool
from gooseberryport_gateway._state import GatewayState
from gooseberryport_gateway.errors import NotSentError, ResponseLostError
from gooseberryport_gateway.wire import HeaderNames

CHECK_EVERY_S = 0.1
"""Pause between looks at which upstreams are due for a probe; seconds."""

PROBE_TIMEOUT_S = 1.0
"""Time for a health check to be answered; it may wait for a slot; seconds."""

DEFAULT_HEALTH_PATH = "/health"


class Prober:
    """Ask upstreams whether they are well.

    Parameters
    ----------
    state
        State that a probe changes.
    pool
        Connections to upstreams; a good probe's connection is kept.
    names
        Header fields of upstreams.
    """

    def __init__(self, *, state: GatewayState, pool: ConnPool, names: HeaderNames) -> None:
        self._state = state
        self._pool = pool
        self._names = names
        self._loop = asyncio.get_running_loop()
        self._running: dict[UpstreamId, asyncio.Task[None]] = {}

    @property
    def _table(self) -> UpstreamTable:
        return self._state.upstreams

    async def run(self) -> None:
        """Probe what is due, for ever."""
        while True:
            now = self._loop.time()
            for each in self._table:
                due = each.reach is Reach.UNPROVEN and now >= each.probe_at
                if due and each.id not in self._running:
                    task = self._loop.create_task(self._probe(each))
                    self._running[each.id] = task
                    task.add_done_callback(partial(self._note_ended, each.id))
            await asyncio.sleep(CHECK_EVERY_S)

    def _note_ended(self, upstream: UpstreamId, task: asyncio.Task[None]) -> None:
        self._running.pop(upstream, None)
        if not task.cancelled() and (exc := task.exception()) is not None:
            self._state.log.write(LogNumber.GATEWAY_TASK_FAILED, task="probe", error=repr(exc))

    async def _probe(self, upstream: Upstream) -> None:
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                answer = await self._ask(upstream)
        except (NotSentError, ResponseLostError, TimeoutError) as exc:
            self._state.metrics.probes.labels("no-answer").inc()
            self._state.note_unreachable(upstream, reason=repr(exc), now=self._loop.time())
            return
        self._take(upstream, answer)

    async def _ask(self, upstream: Upstream) -> HttpResponse:
        routes = self._state.routes
        spec = routes.config.services.get(upstream.entry.service) if routes else None
        path = spec.health_path if spec is not None else DEFAULT_HEALTH_PATH
        conn = self._pool.acquire(upstream.id)
        if conn is None:
            conn = await self._pool.connect(upstream.id, upstream.entry.address)
            self._state.metrics.connections.inc()
        host, port = upstream.entry.address
        answer = await conn.request(f"GET {path} HTTP/1.1\r\nhost: {host}:{port}\r\n\r\n".encode())
        self._pool.release(upstream.id, conn)
        return answer

    def _take(self, upstream: Upstream, answer: HttpResponse) -> None:
        now = self._loop.time()
        theirs = answer.header(self._names.upstream)
        if theirs is not None and theirs.decode("latin-1") != upstream.id:
            self._state.metrics.probes.labels("other-upstream").inc()
            self._state.note_unreachable(upstream, reason="another upstream", now=now)
            return
        full = answer.header(self._names.not_executed) is not None
        if answer.status != 200 and not full:
            self._state.metrics.probes.labels("unwell").inc()
            self._state.note_unreachable(upstream, reason=f"health check: {answer.status}", now=now)
            return
        self._state.metrics.probes.labels("well").inc()
        told = answer.header(self._names.cold_ms)
        if told is not None and told.isdigit():
            upstream.cold_until = max(upstream.cold_until, now + int(told) / 1000.0)
        upstream.note_reachable()
        self._state.log.write(
            LogNumber.GATEWAY_UPSTREAM_BACK,
            upstream=upstream.id,
            status=answer.status,
            cold_s=max(upstream.cold_until - now, 0.0),
        )
