"""Header fields: which ones travel on, and what they name."""

from __future__ import annotations

from gooseberryport_core.gateway.model import ObjectKey

Headers = list[tuple[bytes, bytes]]
"""Header fields, names in lower case, in their order."""

CONNECTION_HEADERS = frozenset(
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
"""Fields that concern one connection, and those that are written anew."""


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a field, by its name in lower case."""
    for each, value in headers:
        if each == name:
            return value
    return None


def end_to_end_headers(headers: Headers) -> Headers:
    """Return the fields that are passed on to the other side."""
    options = [value for name, value in headers if name == b"connection"]
    named = {option.strip().lower() for value in options for option in value.split(b",")}
    return [
        (name, value)
        for name, value in headers
        if name not in CONNECTION_HEADERS and name not in named
    ]


def object_key(headers: Headers, *, cookie: bytes) -> ObjectKey | None:
    """Return the value of the cookie that names a request's object."""
    for name, value in headers:
        if name != b"cookie":
            continue
        for pair in value.split(b";"):
            found, _, content = pair.strip().partition(b"=")
            if found == cookie:
                return ObjectKey(content.decode("latin-1"))
    return None
