"""Buffers into which responses are received, and the chunks in which they are held."""

from __future__ import annotations

from gooseberryport_core.gateway.response_memory import READ_BYTES, SMALL_RESPONSE_BYTES

MIN_CHUNK_BYTES = 65_536
"""Size up to which received bytes are added to the latest chunk of a body, since a body that
arrives byte by byte would otherwise need many times its size; bytes."""

READ_BUFFER = memoryview(bytearray(READ_BYTES))
"""Buffer for one read. All connections of the event loop share it, since what was read is parsed
before the next read."""

SHORT_READ_BUFFER = READ_BUFFER[:SMALL_RESPONSE_BYTES]
"""Buffer for one read when the memory for responses is used up."""


def add_chunk(chunks: list[bytes | bytearray], data: bytes) -> None:
    """Add received bytes to the chunks of a body."""
    if not chunks or len(chunks[-1]) >= MIN_CHUNK_BYTES:
        chunks.append(data)
        return
    last = chunks[-1]
    if isinstance(last, bytes):
        chunks[-1] = last = bytearray(last)
    last += data
