"""Bytes that pass from the loop to a waiting thread, in bounded steps."""

from __future__ import annotations

import asyncio
import queue
from collections.abc import Iterator

PIPE_BYTES = 262_144
"""Bytes that wait in a pipe before its writer is held back."""


class PipeCutError(Exception):
    """The answer broke off before its end; what was read is not whole."""


class _End:
    """Last entry of a pipe; `whole` tells whether every byte is there."""

    def __init__(self, whole: bool) -> None:
        self.whole = whole


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
        self._waiting_bytes = 0
        self._room = asyncio.Event()
        self._room.set()
        self._closed = False

    async def write(self, data: bytes) -> None:
        """Add bytes; waits while the reader is behind."""
        await self._room.wait()
        if self._closed:
            return
        self._entries.put(data)
        self._waiting_bytes += len(data)
        if self._waiting_bytes >= PIPE_BYTES:
            self._room.clear()

    def close(self, *, whole: bool) -> None:
        """End the bytes; with `whole` False the reader learns that they broke off."""
        if self._closed:
            return
        self._closed = True
        self._entries.put(_End(whole))
        self._room.set()

    def read(self) -> Iterator[bytes]:
        """Yield the bytes, in the reader's thread; raises `PipeCutError` if they broke off."""
        while True:
            entry = self._entries.get()
            if isinstance(entry, _End):
                if not entry.whole:
                    raise PipeCutError
                return
            self._loop.call_soon_threadsafe(self._taken, len(entry))
            yield entry

    def _taken(self, count: int) -> None:
        self._waiting_bytes -= count
        if self._waiting_bytes < PIPE_BYTES:
            self._room.set()
