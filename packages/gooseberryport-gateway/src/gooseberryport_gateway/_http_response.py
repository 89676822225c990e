"""A complete HTTP response."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from gooseberryport_gateway._headers import Headers, find_header


class HttpResponse(msgspec.Struct):
    """A complete HTTP response.

    Parameters
    ----------
    status
        Status code.
    headers
        Header fields in order, with names in lower case.
    body
        The body, with any transfer coding removed.
    chunks
        The body in pieces if a `HeldResponse` counts it; `body` is empty then.
    transfer_s
        Time from its first to its last byte, if that was measured; seconds.
    """

    status: int
    headers: Headers
    body: bytes
    chunks: Sequence[bytes | bytearray] = ()
    transfer_s: float = 0.0

    @property
    def body_bytes(self) -> int:
        """Size of the body; bytes."""
        if len(self.chunks) == 1:
            return len(self.body) + len(self.chunks[0])
        return len(self.body) + sum(map(len, self.chunks))

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header field, by its name in lower case."""
        return find_header(self.headers, name)
