"""Header fields: which ones are forwarded, and the object that a cookie names."""

from __future__ import annotations

from gooseberryport_core.gateway.model import ObjectKey

Headers = list[tuple[bytes, bytes]]
"""Header fields in order, with names in lower case."""

NOT_FORWARDED_HEADERS = frozenset(
    [
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    ]
)
"""Hop-by-hop fields, and fields that this process writes itself."""


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a field, given its name in lower case."""
    for field, value in headers:
        if field == name:
            return value
    return None


def end_to_end_headers(headers: Headers) -> Headers:
    """Return the fields that are forwarded to the other side."""
    options = [value for name, value in headers if name == b"connection"]
    connection_options = {
        option.strip().lower() for value in options for option in value.split(b",")
    }
    return [
        (name, value)
        for name, value in headers
        if name not in NOT_FORWARDED_HEADERS and name not in connection_options
    ]


def object_key(headers: Headers, *, cookie: bytes) -> ObjectKey | None:
    """Return the key of a request's object, which a cookie holds."""
    for name, value in headers:
        if name != b"cookie":
            continue
        for pair in value.split(b";"):
            cookie_name, _, content = pair.strip().partition(b"=")
            if cookie_name == cookie:
                return ObjectKey(content.decode("latin-1"))
    return None
