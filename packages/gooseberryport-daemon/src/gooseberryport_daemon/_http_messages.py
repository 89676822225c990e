"""The parts of a request and its answer as they pass through a daemon."""

from __future__ import annotations

import msgspec

from gooseberryport_core.types import Outcome, RefusalReason, RequestId, ServiceName

Headers = tuple[tuple[str, str], ...]

HOP_BY_HOP = frozenset(
    {
        "connection",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
"""Header fields that one connection's two ends settle between them; lower case."""


class RequestHead(msgspec.Struct, frozen=True):
    """Method, target and end-to-end header fields of a request."""

    method: str
    target: str
    headers: Headers
    request_id: str


class CallerRequest(msgspec.Struct, frozen=True):
    """A whole request as a caller sent it.

    Parameters
    ----------
    client
        IP number of the caller.
    timeout_s
        Time that the caller allows from now; seconds, 0 for the service's default.
    key
        Idempotency key; empty for none.
    """

    request_id: RequestId
    service: ServiceName
    client: str
    head: RequestHead
    body: bytes
    timeout_s: float
    key: str


class AnswerHead(msgspec.Struct, frozen=True):
    """Status and end-to-end header fields of an answer."""

    status: int
    reason: str
    headers: Headers


class Answer(msgspec.Struct, frozen=True):
    """A whole answer."""

    head: AnswerHead
    body: bytes


class Refusal(msgspec.Struct, frozen=True):
    """A request's end without an answer.

    Parameters
    ----------
    reason
        Why, or None where no more is known than the outcome.
    retry_after_s
        Time after which asking again makes sense; seconds, 0 for no word.
    """

    outcome: Outcome
    reason: RefusalReason | None
    retry_after_s: float


def end_to_end(headers: Headers) -> Headers:
    """Return the header fields without those that belong to one connection."""
    named: set[str] = set()
    for name, value in headers:
        if name.lower() == "connection":
            named.update(word.strip().lower() for word in value.split(","))
    dropped = HOP_BY_HOP | named
    return tuple((name, value) for name, value in headers if name.lower() not in dropped)
