"""Bytes that a socket has, buffers for responses, and the chunks in which they are held."""

from __future__ import annotations

import asyncio
import fcntl
import select
import socket
import sys
import termios

from gooseberryport_core.gateway.response_memory import READ_BYTES, SMALL_RESPONSE_BYTES

MIN_CHUNK_BYTES = 65_536
"""Size up to which received bytes are added to the latest chunk of a body, since a body that
arrives byte by byte would otherwise need many times its size; bytes."""

READ_BUFFER = memoryview(bytearray(READ_BYTES))
"""Buffer for one read. All connections of the event loop share it, since what was read is parsed
before the next read."""

SHORT_READ_BUFFER = READ_BUFFER[:SMALL_RESPONSE_BYTES]
"""Buffer for one read when the memory for responses is used up."""


def add_chunk(chunks: list[bytes | bytearray], data: bytes) -> None:
    """Add received bytes to the chunks of a body."""
    if not chunks or len(chunks[-1]) >= MIN_CHUNK_BYTES:
        chunks.append(data)
        return
    last = chunks[-1]
    if isinstance(last, bytes):
        chunks[-1] = last = bytearray(last)
    last += data


def has_unread(transport: asyncio.BaseTransport) -> bool:
    """Return whether a connection has bytes, its end or an error to be read."""
    sock: socket.socket | None = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return False
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))


def unread_bytes(transport: asyncio.BaseTransport) -> int:
    """Return how many bytes were received on a connection and not read yet."""
    return _queue_size(transport, termios.FIONREAD)


def unacknowledged_bytes(transport: asyncio.BaseTransport) -> int:
    """Return how many bytes the kernel has that the other end has not acknowledged."""
    return _queue_size(transport, termios.TIOCOUTQ)


def _queue_size(transport: asyncio.BaseTransport, number: int) -> int:
    sock: socket.socket | None = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return 0
    return int.from_bytes(fcntl.ioctl(sock.fileno(), number, bytes(4)), sys.byteorder)
