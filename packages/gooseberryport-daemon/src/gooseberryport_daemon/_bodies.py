"""Reads request bodies: complete and within the limits, or refused."""

from __future__ import annotations

import time
from typing import Any

from gooseberryport_core.types import RefusalReason
from gooseberryport_daemon._caller_limits import CallerPermit
from gooseberryport_daemon._problems import Problem, not_run_problem

READ_CHUNK_BYTES = 65_536

MAX_DISCARD_BYTES = 16_777_216
DISCARD_TIMEOUT_S = 2.0
"""Limits on reading the rest of a refused body, in bytes and seconds."""


class RequestRefusedError(Exception):
    """The request is refused before it is submitted to the loop.

    Parameters
    ----------
    problem
        Problem document that is sent to the caller.
    """

    def __init__(self, problem: Problem) -> None:
        super().__init__(problem.detail)
        self.problem = problem


def read_body(environ: dict[str, Any], limit: int, permit: CallerPermit) -> bytes:
    """Return a request's complete body.

    Parameters
    ----------
    environ
        WSGI environment of the request.
    limit
        Maximum length of the body, in bytes.
    permit
        The caller's permit, against which the bytes are counted.

    Raises
    ------
    RequestRefusedError
        The body is too long, incomplete, or exceeds the bytes left for bodies.
    """
    stream = environ["wsgi.input"]
    if environ.get("wsgi.input_terminated"):
        return _read_chunked(stream, limit, permit)
    length = _content_length(environ.get("CONTENT_LENGTH", "0"))
    if length == 0:
        return b""
    if length > limit:
        _discard(stream)
        raise RequestRefusedError(not_run_problem(413, RefusalReason.TOO_LARGE))
    _reserve(permit, length)
    body = _read(stream, length)
    if len(body) != length:
        detail = "The body is shorter than its Content-Length."
        raise RequestRefusedError(not_run_problem(400, RefusalReason.BAD_REQUEST, detail))
    return body


def _read_chunked(stream: Any, limit: int, permit: CallerPermit) -> bytes:
    chunks: list[bytes] = []
    size = 0
    while chunk := _read(stream, min(READ_CHUNK_BYTES, limit + 1 - size)):
        size += len(chunk)
        if size > limit:
            _discard(stream)
            raise RequestRefusedError(not_run_problem(413, RefusalReason.TOO_LARGE))
        _reserve(permit, len(chunk))
        chunks.append(chunk)
    return b"".join(chunks)


def _discard(stream: Any) -> None:
    """Read on for a limited time, so that a caller that is still sending gets the refusal."""
    deadline = time.monotonic() + DISCARD_TIMEOUT_S
    remaining_bytes = MAX_DISCARD_BYTES
    while remaining_bytes > 0 and time.monotonic() < deadline:
        chunk = _read(stream, min(READ_CHUNK_BYTES, remaining_bytes))
        if not chunk:
            return
        remaining_bytes -= len(chunk)


def _reserve(permit: CallerPermit, count: int) -> None:
    if not permit.reserve(count):
        raise RequestRefusedError(not_run_problem(503, RefusalReason.QUEUE_FULL, retry_after_s=1.0))


def _content_length(text: str) -> int:
    if not text.isascii() or not text.isdigit():
        detail = "Content-Length must be a number of bytes."
        raise RequestRefusedError(not_run_problem(400, RefusalReason.BAD_REQUEST, detail))
    return int(text)


def _read(stream: Any, count: int) -> bytes:
    try:
        data: bytes = stream.read(count)
    except (OSError, ValueError) as exc:
        detail = "The body could not be read completely; send it again."
        raise RequestRefusedError(not_run_problem(400, RefusalReason.BAD_REQUEST, detail)) from exc
    return data
