"""Structured log lines on standard output, with a bounded buffer and without blocking."""

from __future__ import annotations

import os
from collections import deque
from typing import Any

import msgspec
import structlog

from gooseberryport_core.log_events import LogNumber

MAX_BUFFERED_BYTES = 262_144
"""Maximum bytes of log lines buffered for a slow reader; further lines are dropped and counted."""

MAX_REQUEST_LINES_PER_S = 150
"""Maximum request lines per second: roughly a tenth of a small VM's CPU; more are only counted."""

PIPE_CHUNK_BYTES = 4_096
"""Maximum bytes per write; a pipe accepts this many entirely or not at all."""


class _LineBuffer:
    """Buffer of whole lines, written as fast as the reader accepts them."""

    def __init__(self, *, fd: int) -> None:
        self._fd = fd
        self._lines: deque[bytes] = deque()
        self._buffered_bytes = 0
        self.dropped = 0

    def msg(self, message: bytes) -> None:
        """Add a line, or drop it if the buffer is full."""
        if self._buffered_bytes + len(message) > MAX_BUFFERED_BYTES:
            self.dropped += 1
            return
        self._lines.append(message + b"\n")
        self._buffered_bytes += len(message) + 1

    info = warning = error = debug = msg

    def flush(self) -> None:
        """Write what the reader accepts now."""
        while self._lines:
            chunk = bytearray()
            while self._lines and len(chunk) + len(self._lines[0]) <= PIPE_CHUNK_BYTES:
                chunk += self._lines.popleft()
            if not chunk:
                chunk += self._lines.popleft()
            try:
                written = os.write(self._fd, chunk)
            except BlockingIOError:
                written = 0
            self._buffered_bytes -= written
            if written < len(chunk):
                self._lines.appendleft(bytes(chunk[written:]))
                return


class Log:
    """Write log lines of one gateway.

    Parameters
    ----------
    vm
        Name of this gateway's VM.
    fd
        Non-blocking file descriptor to write to.
    """

    def __init__(self, *, vm: str, fd: int) -> None:
        self._buffer = _LineBuffer(fd=fd)
        self._second = 0
        self._lines_this_second = 0
        self._suppressed = 0
        self._logger = structlog.wrap_logger(
            self._buffer,
            processors=[
                structlog.processors.TimeStamper(fmt="iso", utc=True),
                structlog.processors.JSONRenderer(serializer=_encode),
            ],
            wrapper_class=structlog.BoundLogger,
        ).bind(vm=vm)

    def write(self, event: LogNumber, **fields: Any) -> None:
        """Write a line about the gateway's state or its process."""
        self._logger.msg(event.name.lower(), number=event.value, **fields)

    def write_request(self, event: LogNumber, *, now: float, **fields: Any) -> None:
        """Write a line about a request, unless this second's maximum is reached."""
        second = int(now)
        if second != self._second:
            if self._suppressed:
                self.write(LogNumber.GATEWAY_LINES_DROPPED, suppressed=self._suppressed)
            self._second = second
            self._lines_this_second = self._suppressed = 0
        self._lines_this_second += 1
        if self._lines_this_second > MAX_REQUEST_LINES_PER_S:
            self._suppressed += 1
            return
        self.write(event, **fields)

    def flush(self) -> None:
        """Write buffered lines without blocking."""
        dropped, self._buffer.dropped = self._buffer.dropped, 0
        if dropped:
            self.write(LogNumber.GATEWAY_LINES_DROPPED, dropped=dropped)
        self._buffer.flush()


def _encode(fields: Any, **_: Any) -> bytes:
    return msgspec.json.encode(fields)
