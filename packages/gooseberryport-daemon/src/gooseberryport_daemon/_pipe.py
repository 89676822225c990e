"""A bounded byte pipe from the loop to a thread."""

from __future__ import annotations

import asyncio
import queue
from collections.abc import Iterator

MAX_PIPE_BYTES = 262_144
"""Buffered bytes from which the writer of a pipe must wait."""


class TruncatedAnswerError(Exception):
    """The answer ended early; the bytes read are incomplete."""


class _End:
    """Last entry of a pipe; `complete` is False if bytes are missing."""

    def __init__(self, complete: bool) -> None:
        self.complete = complete


class Pipe:
    """Pass an answer's bytes from the loop to the thread that sends them to the caller.

    Parameters
    ----------
    loop
        Loop on which `write` and `close` are called.
    """

    def __init__(self, *, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._entries: queue.SimpleQueue[bytes | _End] = queue.SimpleQueue()
        self._buffered_bytes = 0
        self._has_room = asyncio.Event()
        self._has_room.set()
        self._closed = False

    async def write(self, data: bytes) -> None:
        """Add bytes; waits while the buffer is full."""
        await self._has_room.wait()
        if self._closed:
            return
        self._entries.put(data)
        self._buffered_bytes += len(data)
        if self._buffered_bytes >= MAX_PIPE_BYTES:
            self._has_room.clear()

    def close(self, *, complete: bool) -> None:
        """End the bytes; with `complete` False the reader gets a `TruncatedAnswerError`."""
        if self._closed:
            return
        self._closed = True
        self._entries.put(_End(complete))
        self._has_room.set()

    def read(self) -> Iterator[bytes]:
        """Yield the bytes, in the reader's thread.

        Raises `TruncatedAnswerError` if the pipe was closed before they were complete.
        """
        while True:
            entry = self._entries.get()
            if isinstance(entry, _End):
                if not entry.complete:
                    raise TruncatedAnswerError
                return
            self._loop.call_soon_threadsafe(self._record_read, len(entry))
            yield entry

    def _record_read(self, count: int) -> None:
        self._buffered_bytes -= count
        if self._buffered_bytes < MAX_PIPE_BYTES:
            self._has_room.set()
