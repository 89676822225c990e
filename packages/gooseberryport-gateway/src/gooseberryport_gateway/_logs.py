"""Structured log lines on standard output: bounded, and never waited for."""

from __future__ import annotations

import os
from collections import deque
from typing import Any

import msgspec
import structlog

from gooseberryport_core.log_events import LogNumber

MAX_BUFFERED_BYTES = 262_144
"""Bytes of log lines that wait for a slow reader; more are dropped and counted."""

MAX_REQUEST_LINES_PER_S = 150
"""Lines on requests in a second; about a tenth of a small VM's processor time; more are counted."""

PIPE_CHUNK_BYTES = 4_096
"""Bytes that are written at once; a pipe takes that many whole or not at all."""


class _LineBuffer:
    """Take whole lines, and write as many as the reader takes."""

    def __init__(self, *, fd: int) -> None:
        self._fd = fd
        self._lines: deque[bytes] = deque()
        self._waiting = 0
        self.dropped = 0

    def msg(self, message: bytes) -> None:
        """Take a line."""
        if self._waiting + len(message) > MAX_BUFFERED_BYTES:
            self.dropped += 1
            return
        self._lines.append(message + b"\n")
        self._waiting += len(message) + 1

    info = warning = error = debug = msg

    def flush(self) -> None:
        """Write what the reader takes now."""
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
            self._waiting -= written
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
        Where lines go; a descriptor that does not block.
    """

    def __init__(self, *, vm: str, fd: int) -> None:
        self._buffer = _LineBuffer(fd=fd)
        self._second = 0
        self._in_second = 0
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
        """Write a line on the gateway's state or its process."""
        self._logger.msg(event.name.lower(), number=event.value, **fields)

    def write_request(self, event: LogNumber, *, now: float, **fields: Any) -> None:
        """Write a line on a request, unless this second has had its share of them."""
        second = int(now)
        if second != self._second:
            if self._suppressed:
                self.write(LogNumber.GATEWAY_LINES_DROPPED, suppressed=self._suppressed)
            self._second = second
            self._in_second = self._suppressed = 0
        self._in_second += 1
        if self._in_second > MAX_REQUEST_LINES_PER_S:
            self._suppressed += 1
            return
        self.write(event, **fields)

    def flush(self) -> None:
        """Hand waiting lines to the reader; never waits."""
        dropped, self._buffer.dropped = self._buffer.dropped, 0
        if dropped:
            self.write(LogNumber.GATEWAY_LINES_DROPPED, dropped=dropped)
        self._buffer.flush()


def _encode(fields: Any, **_: Any) -> bytes:
    return msgspec.json.encode(fields)
