"""Let the kernel find out that the other end of a connection is gone.

Invariant: a request that was sent is ended only by what its own connection shows. An upstream that
refuses new connections, or whose process does not run for a moment, may still work on the requests
that it has.

Failure patterns: a host loses power or is cut off, so that its connections stay open without an
end; and a host that is alive, whose upstream is silent for as long as it works or reads slowly.
"""

from __future__ import annotations

import socket

PROBE_IDLE_S = 1
"""Time without a byte or an acknowledgement after which the first probe is sent; seconds."""

PROBE_INTERVAL_S = 1
"""Interval between probes; seconds."""

MAX_PROBES = 3
"""Unanswered probes after which a connection is broken: links lose packets now and then."""

UNACKNOWLEDGED_TIMEOUT_MS = 1000 * (PROBE_IDLE_S + MAX_PROBES * PROBE_INTERVAL_S)
"""Time after which bytes that are not acknowledged break a connection. While probes are sent, Linux
applies it to them in place of their number; milliseconds."""

NO_TIMEOUT = 0
"""Value of that option that sets no bound."""


def configure(sock: socket.socket) -> None:
    """Disable Nagle's algorithm, and bound the time for which bytes may stay unacknowledged."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, MAX_PROBES)
    expect_slow_reader(sock, expected=False)


def expect_slow_reader(sock: socket.socket, *, expected: bool) -> None:
    """State whether the other end may leave bytes unread for long.

    The kernel counts the time for which a host that is alive has no room for more bytes as time
    without an acknowledgement, so it must not be bounded then.
    """
    timeout_ms = NO_TIMEOUT if expected else UNACKNOWLEDGED_TIMEOUT_MS
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)


def probe(sock: socket.socket, *, active: bool) -> None:
    """Start or stop probing the other end, whose kernel answers even if its process is busy."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, int(active))
