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

UNACKNOWLEDGED_TIMEOUT_MS = 2_000
"""Time after which bytes that are not acknowledged break a connection: by then they were sent four
times, and an upstream may have left since; milliseconds."""

PROBES_TIMEOUT_MS = 1000 * (PROBE_IDLE_S + MAX_PROBES * PROBE_INTERVAL_S)
"""Time without an answer after which probes break a connection, since Linux applies the limit for
bytes to probes in place of their number; milliseconds."""

NO_TIMEOUT = 0
"""Value of that option that sets no bound."""

SMALL_BODY_BYTES = 16_384
"""Body that each receive buffer has room for while nothing is read from it; bytes."""

RETRANSMITS_OFFSET = 2
PROBES_OFFSET = 3
INFO_BYTES = 8
"""Fields of the kernel's ``tcp_info`` and the part of it that is read; bytes."""


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
    _set_timeout(sock, NO_TIMEOUT if expected else UNACKNOWLEDGED_TIMEOUT_MS)


def is_unanswered(sock: socket.socket) -> bool:
    """Return whether the other end has not answered the latest packet that was sent more than once.

    A host that is alive answers within a round trip, also if it has no room for more bytes. Where
    the system does not tell, return False.
    """
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, INFO_BYTES)
    except OSError:
        return False
    return len(info) == INFO_BYTES and (info[RETRANSMITS_OFFSET] > 0 or info[PROBES_OFFSET] > 0)


def start_probes(sock: socket.socket, *, has_timeout: bool) -> None:
    """Probe the other end, whose kernel answers even if its process is busy.

    Parameters
    ----------
    sock
        Socket of the connection.
    has_timeout
        Whether unacknowledged bytes break the connection; those that were sent already still do.
    """
    if has_timeout and not is_unanswered(sock):
        _set_timeout(sock, PROBES_TIMEOUT_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)


def stop_probes(sock: socket.socket, *, has_timeout: bool) -> None:
    """End `start_probes`."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 0)
    if has_timeout:
        _set_timeout(sock, UNACKNOWLEDGED_TIMEOUT_MS)


def _set_timeout(sock: socket.socket, timeout_ms: int) -> None:
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)
