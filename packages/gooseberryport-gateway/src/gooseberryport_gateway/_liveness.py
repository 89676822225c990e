"""Let the kernel find out that the other end of a connection is gone.

Invariant: a request that was sent is ended only by what its own connection shows. An upstream that
refuses new connections, or whose process does not run for a moment, may still work on the requests
that it has.

Failure patterns: a host loses power or is cut off, so that its connections stay open without an
end; and a host that is alive, whose upstream is silent for as long as it works or reads slowly.
"""

from __future__ import annotations

import asyncio
import socket
from typing import NamedTuple

PROBE_IDLE_S = 1
"""Time without a byte or an acknowledgement after which the first probe is sent; seconds."""

PROBE_INTERVAL_S = 1
"""Interval between probes; seconds."""

MAX_PROBES = 3
"""Unanswered probes after which a connection is broken: links lose packets now and then."""

MAX_RETRANSMITS = 4
"""Unacknowledged repetitions of bytes after which a host counts as gone; they take about 3 s."""

UNACKNOWLEDGED_TIMEOUT_MS = 2_000
"""Time after which bytes that are not acknowledged break a connection: by then they were sent four
times, and an upstream may have left since; milliseconds."""

PROBES_TIMEOUT_MS = 1000 * (PROBE_IDLE_S + MAX_PROBES * PROBE_INTERVAL_S)
"""Time without an answer after which probes break a connection, since Linux applies the limit for
bytes to probes in place of their number; milliseconds."""

NO_TIMEOUT = 0
"""Value of that option that sets no bound."""

SMALL_REQUEST_BYTES = 16_384
"""Size of a request that each receive buffer has room for while nothing is read; bytes."""

RETRANSMITS_OFFSET = 2
PROBES_OFFSET = 3
INFO_BYTES = 8
"""Fields of the kernel's ``tcp_info`` and the part of it that is read; bytes."""

OPTIONS = (
    (socket.TCP_NODELAY, 1),
    (socket.TCP_KEEPIDLE, PROBE_IDLE_S),
    (socket.TCP_KEEPINTVL, PROBE_INTERVAL_S),
    (socket.TCP_KEEPCNT, MAX_PROBES),
    (socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS),
)
"""Options of TCP with which a connection begins."""


class Unanswered(NamedTuple):
    """Packets in a row that a host has not answered: bytes that were sent again, and probes."""

    retransmits: int = 0
    probes: int = 0

    @property
    def any(self) -> bool:
        """Whether there are any."""
        return self.retransmits > 0 or self.probes > 0


class HostCheck:
    """Lets the kernel find out that the host at the other end of one connection is gone.

    Parameters
    ----------
    transport
        The connection.
    """

    def __init__(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport
        self._probes = False
        self.reads_slowly = False
        """Whether the other end may leave bytes unread for long."""

        for option, value in OPTIONS:
            self._set(socket.IPPROTO_TCP, option, value)

    def expect_bytes(self, num_bytes: int) -> None:
        """Allow a request to be left unread for long if it may find no room.

        The kernel counts the time for which a host that is alive has no room for more bytes as time
        without an acknowledgement, so it must not be bounded then. It stays so, as an upstream may
        respond before it reads the body.
        """
        if num_bytes > SMALL_REQUEST_BYTES and not self.reads_slowly:
            self.reads_slowly = True
            self._set_timeout(NO_TIMEOUT)

    def start_probes(self) -> bool:
        """Probe the host, whose kernel answers even if its process is busy.

        Returns
        -------
        bool
            False if the host has not acknowledged what was sent: the timeout for bytes stays in
            force, and would count for probes.
        """
        if not self.reads_slowly:
            if self._count_unanswered().any:
                return False
            self._set_timeout(PROBES_TIMEOUT_MS)
        self._probes = True
        self._set(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        return True

    def stop_probes(self) -> None:
        """End `start_probes`, if it was called."""
        if not self._probes:
            return
        self._probes = False
        self._set(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 0)
        if not self.reads_slowly:
            self._set_timeout(UNACKNOWLEDGED_TIMEOUT_MS)

    @property
    def is_gone(self) -> bool:
        """Whether the host has not answered several packets in a row.

        A host that is alive answers, also if it has no room for more bytes, and each answer begins
        the counts anew. Where the system does not tell, it is False.
        """
        unanswered = self._count_unanswered()
        return unanswered.retransmits >= MAX_RETRANSMITS or unanswered.probes >= MAX_PROBES

    def _count_unanswered(self) -> Unanswered:
        sock = self._socket
        if sock is None:
            return Unanswered()
        try:
            info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, INFO_BYTES)
        except OSError:
            return Unanswered()
        if len(info) < INFO_BYTES:
            return Unanswered()
        return Unanswered(info[RETRANSMITS_OFFSET], info[PROBES_OFFSET])

    @property
    def _socket(self) -> socket.socket | None:
        """The socket, or None if it is closed or about to be."""
        if self._transport.is_closing():
            return None
        sock: socket.socket | None = self._transport.get_extra_info("socket")
        return sock

    def _set_timeout(self, timeout_ms: int) -> None:
        self._set(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)

    def _set(self, level: int, option: int, value: int) -> None:
        sock = self._socket
        if sock is not None:
            sock.setsockopt(level, option, value)
