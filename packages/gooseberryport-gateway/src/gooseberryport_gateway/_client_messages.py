"""Clients' requests and the replies to them."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence

import msgspec

from gooseberryport_core.gateway.response_memory import HeldResponse
from gooseberryport_gateway._body_memory import HeldBody
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


MAX_JOINED_BYTES = 16_384
"""Size up to which a body is written together with its head, which saves a call; bytes."""


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
    held
        Counts the bytes of its response; None if the process's memory is not known.
    """

    method: bytes
    target: bytes
    path: str
    headers: Headers
    body: Sequence[bytes | bytearray]
    arrived_at: float
    held: HeldResponse | None = None

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
    """The reply to a client's request.

    Parameters
    ----------
    status, reason
        Status code, and its phrase if it is not the usual one.
    headers
        Header fields in order.
    body, chunks
        The body: `body`, and `chunks` after it.
    """

    status: int
    headers: Headers
    body: bytes = b""
    reason: bytes | None = None
    chunks: Sequence[bytes | bytearray] = ()

    @property
    def body_bytes(self) -> int:
        """Size of the body; bytes."""
        if len(self.chunks) == 1:
            return len(self.body) + len(self.chunks[0])
        return len(self.body) + sum(map(len, self.chunks))


class Pending(msgspec.Struct, eq=False):
    """A request whose reply has not been written.

    Parameters
    ----------
    keep_alive
        Whether the connection may stay open after its reply.
    head_only
        Whether it asked for no body.
    task, reply
        Task that makes the reply, once it was started, and the reply once it is made.
    body, held
        Count the bytes of its body and of its response.
    """

    keep_alive: bool
    head_only: bool
    task: asyncio.Task[Reply] | None = None
    reply: Reply | None = None
    body: HeldBody | None = None
    held: HeldResponse | None = None


Handler = Callable[[ClientRequest], Awaitable[Reply]]


def encode_reply(
    reply: Reply, *, last: bool, head_only: bool
) -> tuple[bytes, Sequence[bytes | bytearray]]:
    """Return the first bytes of a reply, and the chunks of its body that follow them.

    Parameters
    ----------
    reply
        The reply.
    last
        Whether the connection is closed after it.
    head_only
        Whether its request asked for no body.
    """
    reason = reply.reason or REASON_PHRASES.get(reply.status, b"Status")
    lines = [b"HTTP/1.1 %d %s" % (reply.status, reason)]
    lines.extend(name + b": " + value for name, value in reply.headers)
    if reply.status not in (204, 304):
        lines.append(b"content-length: %d" % reply.body_bytes)
    if last:
        lines.append(b"connection: close")
    head = b"\r\n".join(lines) + b"\r\n\r\n"
    if head_only or reply.status in (204, 304):
        return head, ()
    head += reply.body
    if len(reply.chunks) == 1 and len(reply.chunks[0]) <= MAX_JOINED_BYTES:
        return head + reply.chunks[0], ()
    return head, reply.chunks
