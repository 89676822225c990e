"""HTTP connections whose responses have complete and valid head lines, and not without end.

Failure pattern: a server in trouble sends interim responses, chunk extensions or trailers and never
stops, closes the connection in the middle of a response's head, or sends a status that no response
may have. The standard library and urllib3 read lines without a limit, so a thread that waits for
the response is busy until the server closes the connection; they take the end of the connection for
the end of the head; and they accept codes up to 999, Python's other spellings of integers, and
interim responses in place of the final one.
"""

from __future__ import annotations

import http.client
import re
import socket
from typing import Any

from urllib3.connection import HTTPConnection

from gooseberryport_core.http_status import INTERIM_STATUSES, SWITCHING_PROTOCOLS, is_valid_status

MAX_LINE_BYTES = 65_536
"""Maximum length of a line of a response's head, chunk framing or trailers; bytes."""

MAX_LINES_BYTES = 262_144
"""Maximum length of all these lines, beside what `LINE_BYTES_PER_BODY_BYTE` allows; bytes."""

LINE_BYTES_PER_BODY_BYTE = 8
"""Framing accepted for each byte of a chunked body; one-byte chunks need five."""

_STATUS_LINE = re.compile(rb"HTTP/1\.[0-9] ([0-9]{3})(?: [^\r\n]*)?\r?\n")


class EndlessResponseError(http.client.HTTPException):
    """The server sends lines without end; the connection can't be used any more."""


class CutResponseError(http.client.HTTPException):
    """The connection ended within a line, or before the last one, of a head or of chunk framing."""


class InvalidStatusError(http.client.HTTPException):
    """The status line is not one of HTTP/1, or not one that precedes or ends a response."""


class _BoundedReader:
    """File object of a connection that bounds what is read line by line."""

    def __init__(self, raw: Any) -> None:
        self._raw = raw
        self.last_line = b""
        self._line_bytes = 0
        self._body_bytes = 0

    def __getattr__(self, name: str) -> Any:
        return getattr(self._raw, name)

    def readline(self, limit: int = -1) -> bytes:
        """Return a line, or nothing if the connection ended before the first one.

        Raises
        ------
        CutResponseError
            The connection ended before the end of the line.
        EndlessResponseError
            The lines are too long.
        """
        allowed = MAX_LINE_BYTES + 1
        wanted = min(limit, allowed) if limit >= 0 else allowed
        line: bytes = self._raw.readline(wanted)
        self.last_line = line
        self._line_bytes += len(line)
        if len(line) > MAX_LINE_BYTES:
            raise EndlessResponseError(f"a line of more than {MAX_LINE_BYTES} bytes")
        if len(line) < wanted and not line.endswith(b"\n") and self._line_bytes:
            raise CutResponseError("the connection ended within the response's lines")
        if self._line_bytes > MAX_LINES_BYTES + LINE_BYTES_PER_BODY_BYTE * self._body_bytes:
            raise EndlessResponseError(f"{self._line_bytes} bytes of header or trailer lines")
        return line

    def read(self, size: int = -1) -> bytes:
        """Return bytes of the body."""
        return self._count(self._raw.read(size))

    def read1(self, size: int = -1) -> bytes:
        """Return bytes of the body that have arrived."""
        return self._count(self._raw.read1(size))

    def readinto(self, buffer: Any) -> int:
        """Read bytes of the body into a buffer, and return their number."""
        num_bytes: int = self._raw.readinto(buffer)
        self._body_bytes += num_bytes
        return num_bytes

    def _count(self, data: bytes) -> bytes:
        self._body_bytes += len(data)
        return data


class BoundedResponse(http.client.HTTPResponse):
    """A final response with a valid status, and bounded header, chunk framing and trailer lines."""

    def __init__(self, sock: socket.socket, *args: Any, **kwargs: Any) -> None:
        super().__init__(sock, *args, **kwargs)
        self._reader = _BoundedReader(self.fp)
        self.fp = self._reader  # type: ignore[assignment]

    def _read_status(self) -> tuple[str, int, str]:
        """Return version, code and reason of a status line, as `begin` expects them.

        `begin` skips responses with the code 100 only, so other interim ones get that code as well.

        Raises
        ------
        InvalidStatusError
            The code is not one of three digits that a response may have, or the line is malformed.
        """
        version, status, reason = super()._read_status()  # type: ignore[misc]
        if not _STATUS_LINE.fullmatch(self._reader.last_line):
            raise InvalidStatusError("the status line is malformed")
        if not is_valid_status(status) or status == SWITCHING_PROTOCOLS:
            raise InvalidStatusError(f"the status is {status:03}")
        if status in INTERIM_STATUSES:
            status = http.client.CONTINUE
        return version, status, reason


class BoundedConnection(HTTPConnection):
    """A connection whose responses are bounded."""

    response_class = BoundedResponse
