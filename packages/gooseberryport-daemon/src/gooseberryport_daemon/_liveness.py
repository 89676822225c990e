"""Let the kernel find out that the host of another daemon is gone.

Failure patterns: a host loses power or is cut off, so that its connections stay open without an
end; and a daemon whose process does not run for some seconds, or whose acknowledgements wait behind
a large answer on a slow link. Only the first ends the requests on a connection, so what answers the
probes is the other end's kernel and not its process.
"""

from __future__ import annotations

import socket
from typing import Protocol

PROBE_IDLE_S = 1
"""Time without a byte after which the first probe is sent; seconds."""

PROBE_INTERVAL_S = 1
"""Interval between probes; seconds."""

MAX_PROBES = 3
"""Unanswered probes after which a connection is broken: links lose packets now and then."""

UNACKNOWLEDGED_TIMEOUT_MS = 1000 * (PROBE_IDLE_S + MAX_PROBES * PROBE_INTERVAL_S)
"""Time after which bytes that are not acknowledged break a connection; milliseconds."""


class SocketOptions(Protocol):
    """A socket, or asyncio's view of one."""

    def setsockopt(self, level: int, option: int, value: int, /) -> None:
        """Set an option."""


def probe_peer(sock: SocketOptions) -> None:
    """Probe the other end of a connection; those that a listening socket accepts inherit it."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, MAX_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS)
