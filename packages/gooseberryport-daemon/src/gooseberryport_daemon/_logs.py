"""Numbered log events as JSON lines on standard error, without waiting for their reader.

Failure pattern: the reader of the log pauses or goes away. Lines are lost then, and nothing else:
the loop neither waits for the log nor sees its errors.
"""

from __future__ import annotations

import os
import threading
from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import structlog

from gooseberryport_core.effects import LogEvent

WriteLog = Callable[[LogEvent], None]

STDERR = 2

MAX_BUFFERED_BYTES = 1_048_576
"""Maximum bytes of lines that wait for a slow reader; further lines are dropped."""

FLUSH_TIMEOUT_S = 1.0
"""How long the end of a daemon waits for its last lines to be read; seconds."""


class LineWriter:
    """Writes lines to a file descriptor in a thread of its own.

    Parameters
    ----------
    fd
        File descriptor to write to.
    """

    def __init__(self, *, fd: int) -> None:
        self._fd = fd
        self._lines: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._changed = threading.Condition()
        self._closing = False
        self.dropped = 0
        self._thread = threading.Thread(target=self._write_lines, name="log", daemon=True)
        self._thread.start()

    def msg(self, message: str) -> None:
        """Add a line, or drop it if too many wait; may be called in any thread."""
        line = message.encode("utf-8", "replace") + b"\n"
        with self._changed:
            if self._buffered_bytes + len(line) > MAX_BUFFERED_BYTES:
                self.dropped += 1
                return
            self._lines.append(line)
            self._buffered_bytes += len(line)
            self._changed.notify()

    debug = info = warning = error = critical = msg

    def close(self) -> None:
        """Write the lines that wait, unless their reader takes longer than `FLUSH_TIMEOUT_S`."""
        with self._changed:
            self._closing = True
            self._changed.notify()
        self._thread.join(FLUSH_TIMEOUT_S)

    def _write_lines(self) -> None:
        while True:
            with self._changed:
                self._changed.wait_for(lambda: self._lines or self._closing)
                if not self._lines:
                    return
                chunk = b"".join(self._lines)
                self._lines.clear()
            try:
                while chunk:
                    chunk = chunk[os.write(self._fd, chunk) :]
            except OSError:
                self.dropped += chunk.count(b"\n")
            with self._changed:
                self._buffered_bytes = sum(map(len, self._lines))


@contextmanager
def open_log(*, vm: str, fd: int = STDERR) -> Iterator[WriteLog]:
    """Yield a function that writes a log event; it may be called in any thread.

    Parameters
    ----------
    vm
        Name of this daemon, written with each event.
    fd
        File descriptor to write to.
    """
    writer = LineWriter(fd=fd)
    logger = structlog.wrap_logger(
        writer,
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(),
        ],
    ).bind(vm=vm)

    def write(event: LogEvent) -> None:
        method = getattr(logger, event.level.value)
        method(event.text, number=int(event.number), fields=event.fields)

    try:
        yield write
    finally:
        writer.close()
