"""Notice upstreams that went silent before their requests time out.

Failure pattern: an upstream loses power or is cut off. Nothing is reset; requests that it had, and
those still sent to it, wait until their routes' timeouts and fill its place.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from functools import partial

from gooseberryport_core.gateway.upstreams import Upstream
from gooseberryport_core.log_events import LogNumber
from gooseberryport_core.types import UpstreamId
from gooseberryport_gateway._http_conn import HttpConn
from gooseberryport_gateway._pool import ConnPool
from gooseberryport_gateway._state import GatewayState
from gooseberryport_gateway.errors import NotSentError

SILENCE_FACTOR = 3.0
"""Time without an answer, over the usual time, after which an upstream is looked at: more than the
longest wait at a warm home."""

CHECK_PAUSE_S = 2.0
"""Least pause between two looks at one upstream; each may cost a connection; seconds."""


class SilenceDetector:
    """Open a new connection to an upstream that does not answer in its usual time.

    If that fails the upstream gets no more requests until a probe succeeds, and requests that may
    be repeated leave it.

    Parameters
    ----------
    state
        State that changes.
    pool
        Connections to upstreams; a new one is kept.
    """

    def __init__(self, *, state: GatewayState, pool: ConnPool) -> None:
        self._state = state
        self._pool = pool
        self._loop = asyncio.get_running_loop()
        self._repeatable: dict[UpstreamId, set[HttpConn]] = {}
        self._checked_at: dict[UpstreamId, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    @contextmanager
    def watching(
        self, upstream: Upstream, conn: HttpConn, *, usual_s: float | None, repeatable: bool
    ) -> Iterator[None]:
        """Watch one request while it is at an upstream.

        Parameters
        ----------
        upstream, conn
            Where the request is, and its connection.
        usual_s
            Time that such requests take there, seconds; None if that is not known.
        repeatable
            Whether the request may be sent elsewhere.
        """
        handle = None
        if usual_s is not None:
            handle = self._loop.call_later(SILENCE_FACTOR * usual_s, self._look, upstream)
        conns = self._repeatable.setdefault(upstream.id, set())
        if repeatable:
            conns.add(conn)
        try:
            yield
        finally:
            if handle is not None:
                handle.cancel()
            conns.discard(conn)
            if not conns:
                self._repeatable.pop(upstream.id, None)

    def _look(self, upstream: Upstream) -> None:
        now = self._loop.time()
        if now - self._checked_at.get(upstream.id, float("-inf")) < CHECK_PAUSE_S:
            return
        self._checked_at[upstream.id] = now
        task = self._loop.create_task(self._connect(upstream))
        self._tasks.add(task)
        task.add_done_callback(partial(self._note_ended, upstream.id))

    def _note_ended(self, upstream: UpstreamId, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if self._state.upstreams.get(upstream) is None:
            self._checked_at.pop(upstream, None)
        if not task.cancelled() and (exc := task.exception()) is not None:
            self._state.log.write(LogNumber.GATEWAY_TASK_FAILED, task="silence", error=repr(exc))

    async def _connect(self, upstream: Upstream) -> None:
        try:
            conn = await self._pool.connect(upstream.id, upstream.entry.address)
        except NotSentError as exc:
            reason = f"no answer, and {exc}"
            self._state.note_unreachable(upstream, reason=reason, now=self._loop.time())
            for waiting in list(self._repeatable.get(upstream.id, ())):
                waiting.close()
            return
        self._state.metrics.connections.inc()
        self._pool.release(upstream.id, conn)
