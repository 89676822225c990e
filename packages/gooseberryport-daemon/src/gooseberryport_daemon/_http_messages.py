"""Requests, answers and refusals as they pass through a daemon."""

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
"""Hop-by-hop header fields, which are not forwarded; lower case."""

NOT_RUN_HEADER = "X-Not-Run"
"""States that a request did not run: from an upstream to a daemon, and from a daemon to a caller.
Upstreams' own fields of this name are not forwarded, so callers know who says it."""

NOT_RUN_VALUE = "1"


class RequestHead(msgspec.Struct, frozen=True):
    """Method, target and end-to-end header fields of a request."""

    method: str
    target: str
    headers: Headers
    request_id: str


class CallerRequest(msgspec.Struct, frozen=True):
    """A complete request as a caller sent it.

    Parameters
    ----------
    client
        IP address of the caller.
    timeout_s
        Timeout that the caller requests, from now; seconds, 0 for the service's default.
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
    """A complete answer."""

    head: AnswerHead
    body: bytes


class Refusal(msgspec.Struct, frozen=True):
    """The result of a request that got no answer.

    Parameters
    ----------
    reason
        Reason, or None if only the outcome is known.
    retry_after_s
        Time after which a retry makes sense; seconds, 0 if unknown.
    """

    outcome: Outcome
    reason: RefusalReason | None
    retry_after_s: float


def end_to_end(headers: Headers) -> Headers:
    """Return the header fields without the hop-by-hop ones."""
    named: set[str] = set()
    for name, value in headers:
        if name.lower() == "connection":
            named.update(word.strip().lower() for word in value.split(","))
    dropped = HOP_BY_HOP | named
    return tuple((name, value) for name, value in headers if name.lower() not in dropped)


def states_not_run(value: str | None) -> bool:
    """Return whether the value of an answer's `NOT_RUN_HEADER` states that nothing ran."""
    return value == NOT_RUN_VALUE


def without_not_run(headers: Headers) -> Headers:
    """Return the header fields of an upstream's answer without its own `NOT_RUN_HEADER`."""
    return tuple(field for field in headers if field[0].lower() != NOT_RUN_HEADER.lower())
