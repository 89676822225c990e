"""Structured log lines on standard output: bounded, and never waited for."""

from __future__ import annotations

import os
from collections import deque
from enum import Enum
from typing import Any

import msgspec
import structlog

MAX_WAITING_BYTES = 262_144
"""Bytes of log lines that wait for a slow reader; more are dropped and counted."""

REQUEST_LINES_PER_S = 150
"""Lines on requests in a second; about a tenth of a small VM's processor time; more are counted."""

PIPE_CHUNK_BYTES = 4_096
"""Bytes that are written at once; a pipe takes that many whole or not at all."""


class Event(Enum):
    """Kinds of log lines, by their number in the catalogue."""

    GATEWAY_STARTED = 1100
    GATEWAY_READY = 1101
    GATEWAY_STOPPING = 1102
    GATEWAY_STOPPED = 1103
    SETTINGS_RELOADED = 1104
    REQUEST_ENDED = 1110
    REQUEST_REFUSED = 1111
    REQUEST_CANCELLED = 1112
    REQUEST_FAILED = 1113
    ATTEMPT_FAILED = 1114
    LINES_DROPPED = 1119
    CONFIG_APPLIED = 1120
    CONFIG_IGNORED = 1121
    ZONES_EVACUATED = 1122
    UPSTREAM_CHANGED = 1130
    UPSTREAM_REMOVED = 1131
    ENTRY_IGNORED = 1132
    UPSTREAM_UNREACHABLE = 1133
    UPSTREAM_BACK = 1134
    STORE_LOST = 1140
    STORE_BACK = 1141
    STORE_HISTORY_GONE = 1142
    LEASE_TAKEN = 1143
    LEASE_LOST = 1144
    MEMBERS_CHANGED = 1150
    DATAGRAM_IGNORED = 1151
    TASK_FAILED = 1190


class _LineBuffer:
    """Take whole lines, and write as many as the reader takes."""

    def __init__(self, *, fd: int) -> None:
        self._fd = fd
        self._lines: deque[bytes] = deque()
        self._waiting = 0
        self.dropped = 0

    def msg(self, message: bytes) -> None:
        """Take a line."""
        if self._waiting + len(message) > MAX_WAITING_BYTES:
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

    def write(self, event: Event, **fields: Any) -> None:
        """Write a line on a belief or on the process."""
        self._logger.msg(event.name.lower(), number=event.value, **fields)

    def write_request(self, event: Event, *, now: float, **fields: Any) -> None:
        """Write a line on a request, unless this second has had its share of them."""
        second = int(now)
        if second != self._second:
            if self._suppressed:
                self.write(Event.LINES_DROPPED, suppressed=self._suppressed)
            self._second = second
            self._in_second = self._suppressed = 0
        self._in_second += 1
        if self._in_second > REQUEST_LINES_PER_S:
            self._suppressed += 1
            return
        self.write(event, **fields)

    def flush(self) -> None:
        """Hand waiting lines to the reader; never waits."""
        dropped, self._buffer.dropped = self._buffer.dropped, 0
        if dropped:
            self.write(Event.LINES_DROPPED, dropped=dropped)
        self._buffer.flush()


def _encode(fields: Any, **_: Any) -> bytes:
    return msgspec.json.encode(fields)
