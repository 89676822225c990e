"""Limits on the bytes that a server may send, and on the bodies that are buffered at once.

Failure pattern: a server in trouble sends bytes that are no answer and never stops: header fields,
interim responses, chunk extensions, trailers or a body. Without limits they fill the memory of the
process and keep its processor busy, and requests to other servers suffer.
"""

from __future__ import annotations

from typing import Protocol

import msgspec

MAX_RESPONSE_BODY_BYTES = 8_388_608
"""Maximum body accepted from an upstream; bytes."""

MAX_SERVICE_BODY_BYTES = 16_777_216
"""Maximum body accepted from the store or another gateway, which hold all entries: many times that
of the largest fleet; bytes."""

MAX_SERVICE_BUFFERED_BYTES = 33_554_432
"""Maximum bytes of unfinished bodies of the store and of other gateways in this process, of which
several are asked at once: a sixth of a small VM's memory; bytes."""

MAX_OVERHEAD_BYTES = 65_536
"""Maximum bytes of a response apart from its body and the framing of its chunks: status line,
fields, interim responses and trailers; bytes."""

OVERHEAD_PER_BODY_BYTE = 8
"""Framing accepted for each byte of a chunked body; one-byte chunks need six."""

MAX_TRAILER_BYTES = 16_384
"""Maximum bytes of the trailers and chunk extensions of a request's chunked body, beside its
chunks; bytes."""

MAX_FIELDS = 256
"""Maximum header and trailer fields of a response, interim responses included."""

MAX_INTERIM_RESPONSES = 8
"""Maximum interim (1xx) responses before the final one."""

MAX_BUFFERED_BYTES = 16_777_216
"""Maximum bytes of unfinished bodies of all upstreams in this process: a twelfth of a small VM's
memory; bytes."""


class ResponseLimits(msgspec.Struct, frozen=True):
    """Limits on one response.

    Parameters
    ----------
    max_body_bytes
        Maximum size of the body.
    """

    max_body_bytes: int = MAX_RESPONSE_BODY_BYTES

    def overhead_allowed(self, *, body_bytes: int) -> int:
        """Return the bytes accepted apart from the body received so far."""
        return MAX_OVERHEAD_BYTES + OVERHEAD_PER_BODY_BYTE * body_bytes


class BufferHolder(Protocol):
    """Holds the received part of a body."""

    def discard(self, reason: str) -> None:
        """Give the body up, and free its memory."""


class BufferBudget:
    """Bounds the bytes of unfinished bodies that a process holds.

    If they exceed the bound, the longest body is given up: a server that never ends its body
    does not take the memory of short answers of other servers.

    Parameters
    ----------
    max_bytes
        Maximum number of bytes held at once.
    """

    def __init__(self, *, max_bytes: int = MAX_BUFFERED_BYTES) -> None:
        self._max_bytes = max_bytes
        self._held: dict[BufferHolder, int] = {}
        self.total_bytes = 0

    def add(self, holder: BufferHolder, num_bytes: int) -> None:
        """Count bytes that a holder received."""
        self._held[holder] = self._held.get(holder, 0) + num_bytes
        self.total_bytes += num_bytes
        while self.total_bytes > self._max_bytes:
            longest = max(self._held, key=self._held.__getitem__)
            self.release(longest)
            longest.discard("all unfinished bodies exceed the memory for them")

    def release(self, holder: BufferHolder) -> None:
        """Stop counting a holder's bytes."""
        self.total_bytes -= self._held.pop(holder, 0)


SERVICE_LIMITS = ResponseLimits(max_body_bytes=MAX_SERVICE_BODY_BYTES)
"""Limits on a response of the store or of another gateway."""

SERVICE_BUDGET = BufferBudget(max_bytes=MAX_SERVICE_BUFFERED_BYTES)
"""Bounds the unfinished bodies of the store and of other gateways, whoever asks for them."""
