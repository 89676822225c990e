"""Structured log lines on standard output, with a bounded buffer and without blocking.

Failure pattern: the reader of the output pauses, goes away, or was never there. Lines are lost
then, and nothing else: whether requests are served never depends on the log.
"""

from __future__ import annotations

import logging
import os
import time
from collections import deque
from typing import Any

import msgspec
import structlog

from gooseberryport_core.log_events import LogNumber

MAX_BUFFERED_BYTES = 262_144
"""Maximum bytes of log lines buffered for a slow reader; further lines are dropped and counted."""

MAX_REQUEST_LINES_PER_S = 150
"""Maximum request lines per second: roughly a tenth of a small VM's CPU; more are only counted."""

MAX_MESSAGE_CHARS = 1_000
"""Maximum length of a library's message."""

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
        """Write what the reader accepts now; without a reader, drop all lines."""
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
            except OSError:
                self.dropped += 1 + len(self._lines)
                self._lines.clear()
                self._buffered_bytes = 0
                return
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


class LibraryLogHandler(logging.Handler):
    """Write lines of libraries to the log of the gateway, since standard error may block.

    Parameters
    ----------
    log
        Log of the gateway.
    """

    def __init__(self, *, log: Log) -> None:
        super().__init__(level=logging.WARNING)
        self._log = log

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line."""
        self._log.write_request(
            LogNumber.GATEWAY_LIBRARY_WARNING,
            now=time.monotonic(),
            library=record.name,
            message=record.getMessage()[:MAX_MESSAGE_CHARS],
        )


def reserve_standard_streams() -> None:
    """Open the null device in place of standard streams that are closed.

    A file or connection that is opened later would get the number of the closed stream, and the
    lines of the log with it.
    """
    for fd in range(3):
        try:
            os.fstat(fd)
        except OSError:
            null_fd = os.open(os.devnull, os.O_RDWR)
            if null_fd != fd:
                os.dup2(null_fd, fd)
                os.close(null_fd)


def _encode(fields: Any, **_: Any) -> bytes:
    return msgspec.json.encode(fields)
