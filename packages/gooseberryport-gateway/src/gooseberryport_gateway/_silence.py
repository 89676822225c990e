"""Detect upstreams that stop responding before their requests time out.

Failure pattern: an upstream loses power or is cut off from the network. Its connections are not
reset, so requests that it had, and those still sent to it, wait until their routes' timeouts and
occupy its slots.

Two questions, with an answer each: whether the upstream gets further requests follows from a new
connection; whether a request that it has goes on follows from the connection of that request.
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
"""Multiple of the expected time after which a silent upstream is checked: more than
the longest wait at a warm home."""

PROBE_DELAY_S = 0.5
"""Time without a response after which the host of an upstream is probed on the connection of the
request; most requests take less; seconds."""

HOST_POLL_INTERVAL_S = 0.5
"""Interval between polls for whether a host acknowledges a request; seconds."""

MIN_CHECK_INTERVAL_S = 2.0
"""Minimum interval between checks of one upstream, as each may open a connection; seconds."""


class SilenceDetector:
    """Check upstreams that do not respond within the expected time, by opening a new connection.

    If that fails, the upstream gets no more requests until a probe succeeds. It keeps those that it
    has for as long as its host answers on their connections.

    Parameters
    ----------
    state
        State of the gateway.
    pool
        Connections to upstreams; a new connection is added to it.
    """

    def __init__(self, *, state: GatewayState, pool: ConnPool) -> None:
        self._state = state
        self._pool = pool
        self._loop = asyncio.get_running_loop()
        self._checked_at: dict[UpstreamId, float] = {}
        self._polls: dict[HttpConn, asyncio.TimerHandle] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    @contextmanager
    def watching(
        self, upstream: Upstream, conn: HttpConn, *, expected_s: float | None
    ) -> Iterator[None]:
        """Watch one request while an upstream handles it.

        Parameters
        ----------
        upstream, conn
            The upstream that has the request, and the connection used.
        expected_s
            Expected time of the request; seconds; None if it is not known.
        """
        handles = [self._loop.call_later(PROBE_DELAY_S, self._watch_host, conn)]
        if expected_s is not None:
            delay_s = SILENCE_FACTOR * expected_s
            handles.append(self._loop.call_later(delay_s, self._start_check, upstream))
        try:
            yield
        finally:
            for handle in handles:
                handle.cancel()
            self._end_watch(conn)

    def _watch_host(self, conn: HttpConn) -> None:
        """Let a request fail if the host of its upstream answers no more on its connection."""
        host = conn.host
        if host is None:
            return
        if host.is_gone:
            self._polls.pop(conn, None)
            conn.fail_unacknowledged()
        elif not host.start_probes() or host.reads_slowly:
            # The kernel has no timeout for a body, and the one for a request's bytes comes first.
            self._polls[conn] = self._loop.call_later(HOST_POLL_INTERVAL_S, self._watch_host, conn)
        else:
            self._polls.pop(conn, None)

    def _end_watch(self, conn: HttpConn) -> None:
        if conn.host is not None:
            conn.host.stop_probes()
        poll = self._polls.pop(conn, None)
        if poll is not None:
            poll.cancel()

    def _start_check(self, upstream: Upstream) -> None:
        now = self._loop.time()
        if now - self._checked_at.get(upstream.id, float("-inf")) < MIN_CHECK_INTERVAL_S:
            return
        self._checked_at[upstream.id] = now
        task = self._loop.create_task(self._check(upstream))
        self._tasks.add(task)
        task.add_done_callback(partial(self._on_check_done, upstream.id))

    def _on_check_done(self, upstream: UpstreamId, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if self._state.upstreams.get(upstream) is None:
            self._checked_at.pop(upstream, None)
        if not task.cancelled() and (exc := task.exception()) is not None:
            self._state.log.write(LogNumber.GATEWAY_TASK_FAILED, task="silence", error=repr(exc))

    async def _check(self, upstream: Upstream) -> None:
        try:
            conn = await self._pool.connect(upstream.id, upstream.entry.address)
        except NotSentError as exc:
            reason = f"no response, and {exc}"
            self._state.record_unreachable(upstream, reason=reason, now=self._loop.time())
            return
        self._state.metrics.connections.inc()
        self._pool.release(upstream.id, conn)
