"""Memory for the bodies of clients' requests, from their first byte until their reply.

Load pattern: several uploads of the largest size arrive at once at a VM that can hold one or two of
them, beside many requests with small bodies. A body is held once, in the chunks in which it was
received, and counts until its request has a reply. When the memory is used up, reading pauses for
all bodies but the oldest one, which ends first and frees its memory. Small bodies are always read,
so a large upload delays no other kind of request.
"""

from __future__ import annotations

from collections.abc import Callable

from gooseberryport_gateway.errors import BodyTooLargeError

DEFAULT_BODY_BYTES = 67_108_864
"""Memory for bodies where the process's memory is not known: one body of the largest size that is
allowed by default; bytes."""

BODY_MEMORY_FRACTION = 1 / 3
"""Fraction of the process's memory that bodies may use."""

MAX_BODY_FRACTION = 1 / 2
"""Fraction of the process's memory up to which one body is accepted. The oldest body may exceed the
memory for all of them."""

SMALL_BODY_BYTES = 16_384
"""Size up to which a body is read even if the memory is used up; bytes."""

MIN_CHUNK_BYTES = 65_536
"""Size up to which received bytes are added to the latest chunk, since a body that arrives byte by
byte would otherwise need many times its size; bytes."""


class HeldBody:
    """The body of one request.

    Parameters
    ----------
    memory
        Counts the body's bytes.
    on_paused
        Called with whether no more of the body may be read now.
    """

    def __init__(self, *, memory: BodyMemory, on_paused: Callable[[bool], None]) -> None:
        self._memory = memory
        self.on_paused = on_paused
        self.chunks: list[bytearray] = []
        self.num_bytes = 0
        self.paused = False

    def add(self, data: bytes) -> None:
        """Add bytes that were received.

        Raises
        ------
        BodyTooLargeError
            This process can't hold a body of this size.
        """
        if self.chunks and len(self.chunks[-1]) < MIN_CHUNK_BYTES:
            self.chunks[-1] += data
        else:
            self.chunks.append(bytearray(data))
        self.num_bytes += len(data)
        self._memory.record_added(self, len(data))

    def release(self) -> None:
        """Free the body."""
        self.chunks = []
        self._memory.record_released(self)
        self.num_bytes = 0
        self.paused = False


class BodyMemory:
    """Bounds the memory of the bodies that a process holds.

    Parameters
    ----------
    process_bytes
        Memory of the process; 0 if it is not known; bytes.
    """

    def __init__(self, *, process_bytes: int = 0) -> None:
        self._max_bytes = int(process_bytes * BODY_MEMORY_FRACTION) or DEFAULT_BODY_BYTES
        self.max_body_bytes = int(process_bytes * MAX_BODY_FRACTION) or DEFAULT_BODY_BYTES
        # Bodies in the order of their first bytes.
        self._held: dict[HeldBody, None] = {}
        self.total_bytes = 0

    def accepts(self, *, body_bytes: int) -> bool:
        """Return whether this process can hold a body of a size."""
        return body_bytes <= self.max_body_bytes

    def record_added(self, body: HeldBody, num_bytes: int) -> None:
        """Count bytes of a body, and pause it if it has to wait for another one."""
        if not self.accepts(body_bytes=body.num_bytes):
            raise BodyTooLargeError(f"a body of more than {self.max_body_bytes} bytes")
        self._held[body] = None
        self.total_bytes += num_bytes
        if not body.paused and self._must_wait(body):
            body.paused = True
            body.on_paused(True)

    def record_released(self, body: HeldBody) -> None:
        """Stop counting a body, and read on with those that waited for it."""
        if body not in self._held:
            return
        del self._held[body]
        self.total_bytes -= body.num_bytes
        for waiting in [other for other in self._held if other.paused]:
            if self._must_wait(waiting):
                break
            waiting.paused = False
            waiting.on_paused(False)

    def _must_wait(self, body: HeldBody) -> bool:
        return (
            self.total_bytes > self._max_bytes
            and body.num_bytes > SMALL_BODY_BYTES
            and next(iter(self._held)) is not body
        )
