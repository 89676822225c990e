"""Decode what other programs send; whatever the bytes contain, the only error is `InputError`.

Failure pattern: one writer leaves a value that is nested too deeply, or a number that no variable
of its kind can hold. Errors of the decoder or of the arithmetic after it, which no caller expects,
then end the work on all other values as well. Values are therefore checked one by one where they
are decoded, and numbers have stated ranges.
"""

from __future__ import annotations

import re
import socket
from collections.abc import Callable, Iterator
from typing import Annotated, TypeVar

import msgspec

MAX_REASON_CHARS = 200
"""Maximum length of an error's message, which may contain parts of the value."""

MAX_COUNT = 2**63 - 1
"""Largest number of events, revisions or versions; any decoder can hold it."""

MAX_SLOTS = 100_000
"""Largest number of requests that one upstream processes concurrently."""

MAX_DURATION_S = 86_400.0
"""Longest duration that another program may state; seconds."""

MAX_RATE_PER_S = 1_000_000.0
"""Highest rate that another program may state; per second."""

MAX_WEIGHT = 1_000_000_000.0
"""Highest weight of a destination."""

MAX_UNIX_MS = 253_402_300_799_999
"""Latest wall-clock time: the end of the year 9999; milliseconds since 1970."""

MAX_PORT = 65_535

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
Slots = Annotated[int, msgspec.Meta(ge=0, le=MAX_SLOTS)]
RatePerS = Annotated[float, msgspec.Meta(ge=0.0, le=MAX_RATE_PER_S)]
Seconds = Annotated[float, msgspec.Meta(ge=0.0, le=MAX_DURATION_S)]
UnixMs = Annotated[int, msgspec.Meta(ge=0, le=MAX_UNIX_MS)]

Value = TypeVar("Value")


class InputError(ValueError):
    """A value from another program can't be used; the message says why."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason[:MAX_REASON_CHARS])


def decode_with(decode: Callable[[bytes], Value], data: bytes) -> Value:
    """Return what a decoder makes of a value.

    Parameters
    ----------
    decode
        The decoder.
    data
        The value; may contain anything.

    Raises
    ------
    InputError
        The value can't be decoded.
    """
    try:
        return decode(data)
    except RecursionError as exc:
        raise InputError("nested too deeply") from exc
    except (ValueError, OverflowError) as exc:
        raise InputError(str(exc)) from exc


def decode_json(data: bytes, *, expected_type: type[Value]) -> Value:
    """Return the value of JSON text; raises `InputError` if it is not of the expected type."""
    return decode_with(lambda raw: msgspec.json.decode(raw, type=expected_type), data)


def decode_msgpack(data: bytes, *, expected_type: type[Value]) -> Value:
    """Return the value of MessagePack bytes; raises `InputError` if it is of another type."""
    return decode_with(lambda raw: msgspec.msgpack.decode(raw, type=expected_type), data)


_JSON_TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*+"|[\[\]{},]', re.DOTALL)
_JSON_COLON = re.compile(rb"[ \t\r\n]*:")


def split_json_array(data: bytes) -> Iterator[bytes]:
    """Yield the elements of a JSON array as text, so that each can be decoded by itself.

    Nothing in the elements is checked, and they may be nested to any depth. Raises `InputError` if
    the text is not an array whose brackets match.
    """
    depth = 0
    start = -1
    end = len(data.rstrip())
    for match in _JSON_TOKEN.finditer(data):
        token = match.group()
        if token in b"[{":
            depth += 1
            if depth == 1:
                if token != b"[" or data[: match.start()].strip():
                    raise InputError("not an array")
                start = match.end()
        elif token in b"]}":
            depth -= 1
            if depth == 0:
                if token != b"]" or match.end() != end:
                    raise InputError("not an array")
                if element := data[start : match.start()].strip():
                    yield element
                return
        elif token == b"," and depth == 1:
            yield data[start : match.start()].strip()
            start = match.end()
    raise InputError("an array without an end")


def cut_json_member(data: bytes, name: bytes) -> tuple[bytes, bytes] | None:
    """Return the text of a JSON object in which a member is null, and the member's own text.

    Nothing in the member is checked, and it may be nested to any depth.

    Parameters
    ----------
    data
        Text of the object.
    name
        Name of the member; only the first one of that name is cut out.

    Returns
    -------
    parts
        Text of the rest and of the member's value, or None if there is no such member.
    """
    depth = 0
    start = -1
    for match in _JSON_TOKEN.finditer(data):
        token = match.group()
        if token in b"[{":
            depth += 1
        elif token in b"]}":
            depth -= 1
        ends = (token == b"," and depth == 1) or depth == 0
        if start >= 0 and ends:
            value = data[start : match.start()]
            return data[:start] + b"null" + data[match.start() :], value.strip()
        if ends and depth == 0:
            return None
        if start < 0 and depth == 1 and token == b'"' + name + b'"':
            colon = _JSON_COLON.match(data, match.end())
            start = colon.end() if colon is not None else -1
    return None


def parse_address(text: str) -> tuple[str, int]:
    """Return the IP address and the port of ``IP:port``.

    Raises
    ------
    InputError
        The text is not an IPv4 address and a port.
    """
    host, _, port_text = text.rpartition(":")
    port = parse_count(port_text.encode(), max_count=MAX_PORT)
    try:
        socket.inet_pton(socket.AF_INET, host)
    except (OSError, ValueError):
        port = None
    if not port:
        raise InputError(f"address {text!r} is not of the form IP:port")
    return (host, port)


def parse_count(text: bytes, *, max_count: int = MAX_COUNT) -> int | None:
    """Return the number that decimal digits state, or None if it is none or above `max_count`."""
    if not text.isdigit() or len(text) > len(str(max_count)):
        return None
    count = int(text)
    return count if count <= max_count else None


def parse_seconds(text: bytes, *, max_s: float = MAX_DURATION_S) -> float | None:
    """Return a stated duration, cut to `max_s`; None if it is none or negative; seconds."""
    try:
        duration_s = float(text)
    except ValueError:
        return None
    # NaN fails the comparison as well.
    return min(duration_s, max_s) if duration_s >= 0.0 else None
