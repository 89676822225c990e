"""Write replies to a client no faster than it reads them, and count what is left to be written."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Sequence

from gooseberryport_core.gateway.response_memory import ClientResponses


class ReplyWriter:
    """Writes the replies of one connection.

    Parameters
    ----------
    transport
        Connection to the client.
    responses
        Counts the bytes of replies; None to pass all of them to the transport at once.
    """

    def __init__(self, *, transport: asyncio.Transport, responses: ClientResponses | None) -> None:
        self._transport = transport
        self._responses = responses
        self._loop = asyncio.get_running_loop()
        self._queue: deque[bytes | bytearray] = deque()
        self._queued_bytes = 0
        self._accepted_bytes = 0
        self._paused = False
        self._ending = False

    @property
    def unsent_bytes(self) -> int:
        """Size of what the socket has not taken; bytes."""
        return self._queued_bytes + self._transport.get_write_buffer_size()

    def write_reply(self, data: bytes, chunks: Sequence[bytes | bytearray]) -> None:
        """Write the first reply in order, and count what is left of it."""
        self.write(data, chunks)
        if self._responses is None:
            return
        unsent = self._queued_bytes + self._transport.get_write_buffer_size()
        if not unsent and not self._responses.writing_bytes:
            self._responses.hand_over_written()
            return
        self._responses.hand_over(
            unsent_bytes=unsent,
            written_bytes=self._accepted_bytes - unsent,
            now=self._loop.time(),
        )

    def write(self, data: bytes, chunks: Sequence[bytes | bytearray] = ()) -> None:
        """Write bytes, and chunks after them."""
        if self._responses is None:
            self._transport.write(data)
            for chunk in chunks:
                self._transport.write(chunk)
            return
        if not self._queue and not chunks and not self._paused:
            self._accepted_bytes += len(data)
            self._transport.write(data)
            return
        self._queue.append(data)
        self._queue.extend(chunks)
        num_bytes = len(data) + sum(len(chunk) for chunk in chunks)
        self._queued_bytes += num_bytes
        self._accepted_bytes += num_bytes
        self._write_queued()

    def record_progress(self) -> None:
        """Record what the socket has taken meanwhile."""
        if self._responses is not None:
            unsent = self.unsent_bytes
            self._responses.record_writing(
                unsent_bytes=unsent,
                written_bytes=self._accepted_bytes - unsent,
                now=self._loop.time(),
            )

    def pause(self) -> None:
        """Pass no more to the transport until it has written what it has."""
        self._paused = True

    def resume(self) -> None:
        """Pass more to the transport."""
        self._paused = False
        self._write_queued()
        self.record_progress()

    def end(self) -> None:
        """Close the sending side after all replies; raises `OSError` if the client reset it."""
        if self._queue:
            self._ending = True
        else:
            self._transport.write_eof()

    def abort_when_read(self, *, delay_s: float, max_stall_s: Callable[[], float]) -> None:
        """Abort the connection a while after its last replies are written.

        Parameters
        ----------
        delay_s
            Time after the last write; seconds.
        max_stall_s
            Returns the time after which a client that reads nothing is not waited for; seconds.
        """
        unsent = self.unsent_bytes
        self._loop.call_later(delay_s, self._abort_if_written, unsent, delay_s, max_stall_s, 0.0)

    def _abort_if_written(
        self, unsent: int, delay_s: float, max_stall_s: Callable[[], float], stalled_s: float
    ) -> None:
        left = self.unsent_bytes
        stalled_s = 0.0 if left < unsent else stalled_s + delay_s
        if not unsent or stalled_s >= max_stall_s():
            self._transport.abort()
            return
        self._loop.call_later(
            delay_s, self._abort_if_written, left, delay_s, max_stall_s, stalled_s
        )

    def is_done(self, *, timeout_s: float) -> bool:
        """Return whether nothing is left to be written, or the client has not read for a time."""
        if self._responses is None:
            return True
        self.record_progress()
        return not self.unsent_bytes or self._responses.stalled_s(self._loop.time()) >= timeout_s

    def discard(self) -> None:
        """Drop what was not passed to the transport, and count no more."""
        self._queue.clear()
        self._queued_bytes = 0
        self._responses = None

    def _write_queued(self) -> None:
        while self._queue and not self._paused:
            data = self._queue.popleft()
            self._queued_bytes -= len(data)
            self._transport.write(data)
        if self._ending and not self._queue:
            self._ending = False
            try:
                self._transport.write_eof()
            except OSError:
                self._transport.abort()
