"""Clients' requests and the replies to them."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence

import msgspec

from gooseberryport_gateway._headers import Headers, find_header

REASON_PHRASES = {
    100: b"Continue",
    200: b"OK",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


class ClientRequest(msgspec.Struct, eq=False):
    """A complete request of a client.

    Parameters
    ----------
    method, target
        Method and target as received.
    path
        The target without its query.
    headers
        Header fields in order, with names in lower case.
    body
        Chunks of the body, with any transfer coding removed.
    arrived_at
        Monotonic time at which its last byte was received; seconds.
    """

    method: bytes
    target: bytes
    path: str
    headers: Headers
    body: Sequence[bytes | bytearray]
    arrived_at: float

    @property
    def body_bytes(self) -> int:
        """Size of the body; bytes."""
        return sum(len(chunk) for chunk in self.body)

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header field, given its name in lower case."""
        return find_header(self.headers, name)

    def __repr__(self) -> str:
        """Return a text without the header fields, one of which may contain an API key."""
        return f"ClientRequest({self.method!r}, {self.path!r})"


class Reply(msgspec.Struct):
    """The reply to a client's request."""

    status: int
    headers: Headers
    body: bytes = b""
    reason: bytes | None = None


Handler = Callable[[ClientRequest], Awaitable[Reply]]


def encode_reply(reply: Reply, *, last: bool, head_only: bool) -> bytes:
    """Return the bytes of a reply; `last` says that the connection is closed after it."""
    reason = reply.reason or REASON_PHRASES.get(reply.status, b"Status")
    lines = [b"HTTP/1.1 %d %s" % (reply.status, reason)]
    lines.extend(name + b": " + value for name, value in reply.headers)
    if reply.status not in (204, 304):
        lines.append(b"content-length: %d" % len(reply.body))
    if last:
        lines.append(b"connection: close")
    head = b"\r\n".join(lines) + b"\r\n\r\n"
    return head if head_only or reply.status in (204, 304) else head + reply.body
