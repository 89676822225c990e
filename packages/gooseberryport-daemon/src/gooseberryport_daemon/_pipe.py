"""Bytes that pass from the loop to a waiting thread, in bounded steps."""

from __future__ import annotations

import asyncio
import queue
from collections.abc import Iterator

MAX_PIPE_BYTES = 262_144
"""Bytes that wait in a pipe before its writer is held back."""


class TruncatedAnswerError(Exception):
    """The answer broke off before its end; what was read is not whole."""


class _End:
    """Last entry of a pipe; `complete` tells whether every byte is there."""

    def __init__(self, complete: bool) -> None:
        self.complete = complete


class Pipe:
    """Carry an answer's bytes from the loop to the thread that sends them to the caller.

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
        """Add bytes; waits while the reader is behind."""
        await self._has_room.wait()
        if self._closed:
            return
        self._entries.put(data)
        self._buffered_bytes += len(data)
        if self._buffered_bytes >= MAX_PIPE_BYTES:
            self._has_room.clear()

    def close(self, *, complete: bool) -> None:
        """End the bytes; with `complete` False the reader learns that they broke off."""
        if self._closed:
            return
        self._closed = True
        self._entries.put(_End(complete))
        self._has_room.set()

    def read(self) -> Iterator[bytes]:
        """Yield the bytes, in the reader's thread; raises `TruncatedAnswerError`."""
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
