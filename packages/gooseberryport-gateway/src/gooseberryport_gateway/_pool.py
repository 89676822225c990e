"""Pool of keep-alive connections to upstreams."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection
from math import inf

from gooseberryport_core.gateway.model import Address
from gooseberryport_core.types import UpstreamId
from gooseberryport_gateway._byte_limits import BufferBudget
from gooseberryport_gateway._http_conn import HttpConn, open_conn


class ConnPool:
    """Hold idle connections to each upstream; the most recently used is acquired first.

    Parameters
    ----------
    id_header
        Header field that contains a request's id, in lower case.
    on_last_closed
        Called when an idle connection is closed by the upstream and no other is left.
    """

    def __init__(self, *, id_header: bytes, on_last_closed: Callable[[UpstreamId], None]) -> None:
        self._id_header = id_header
        self.on_last_closed = on_last_closed
        self._idle: dict[UpstreamId, list[HttpConn]] = {}
        self._open: dict[UpstreamId, int] = {}
        self._budget = BufferBudget()
        self._loop = asyncio.get_running_loop()
        self.opened = 0

    def acquire(
        self,
        upstream: UpstreamId,
        address: Address,
        *,
        max_idle_s: float = inf,
        excluded: Collection[HttpConn] = (),
    ) -> HttpConn | None:
        """Return a connection that has been idle for no longer than a limit, or None.

        Parameters
        ----------
        upstream, address
            Upstream that the connection leads to, and its present address; connections to former
            addresses are closed.
        max_idle_s
            Longest idle time; seconds.
        excluded
            Connections that are not returned.
        """
        idle = self._idle.get(upstream, [])
        for conn in [conn for conn in idle if conn.address != address]:
            idle.remove(conn)
            conn.close()
        now = self._loop.time()
        for position in range(len(idle) - 1, -1, -1):
            conn = idle[position]
            if conn.idle_time_s(now) > max_idle_s:
                break
            if conn in excluded:
                continue
            del idle[position]
            if conn.usable and not conn.expired(now) and not conn.has_unread():
                return conn
            conn.close()
        return None

    async def connect(self, upstream: UpstreamId, address: Address) -> HttpConn:
        """Open a connection.

        Raises
        ------
        NotSentError
            The connection could not be opened.
        """
        self.opened += 1
        conn = await open_conn(address, id_header=self._id_header, budget=self._budget)
        self._open[upstream] = self._open.get(upstream, 0) + 1
        conn.closed_future.add_done_callback(lambda _: self._record_closed(upstream, conn))
        return conn

    def release(self, upstream: UpstreamId, conn: HttpConn) -> None:
        """Return a connection to the pool, or close it if it can't be reused."""
        if conn.usable:
            self._idle.setdefault(upstream, []).append(conn)
        else:
            conn.close()

    def close_expired(self) -> None:
        """Close idle connections that upstreams are about to close."""
        now = self._loop.time()
        for idle in self._idle.values():
            for conn in [conn for conn in idle if conn.expired(now)]:
                idle.remove(conn)
                conn.close()

    def drop(self, upstream: UpstreamId) -> None:
        """Close the idle connections to an upstream that was removed."""
        for conn in self._idle.pop(upstream, []):
            conn.close()

    def close(self) -> None:
        """Close all idle connections."""
        for upstream in list(self._idle):
            self.drop(upstream)

    def _record_closed(self, upstream: UpstreamId, conn: HttpConn) -> None:
        left = self._open.get(upstream, 1) - 1
        self._open[upstream] = left
        if not left:
            del self._open[upstream]
        idle = self._idle.get(upstream, [])
        if conn in idle:
            idle.remove(conn)
            if not left:
                self.on_last_closed(upstream)
