"""Problem documents, which a caller receives instead of an upstream's answer."""

from __future__ import annotations

import math

import msgspec

from gooseberryport_core.types import Outcome, RefusalReason
from gooseberryport_daemon._http_messages import NOT_RUN_HEADER, NOT_RUN_VALUE, Refusal

PROBLEM_TYPE = "application/problem+json"


class Problem(msgspec.Struct, frozen=True):
    """A problem document.

    Parameters
    ----------
    status, title
        HTTP status code and its reason phrase.
    outcome
        Whether the request ran: `not-run` or `unknown`.
    reason
        Machine-readable reason; empty for none.
    detail
        What the caller can do.
    retry_after_s
        Time after which a retry makes sense; seconds, 0 if unknown.
    """

    status: int
    title: str
    outcome: str
    reason: str
    detail: str
    retry_after_s: float = 0.0


TITLES = {
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    409: "Conflict",
    411: "Length Required",
    413: "Content Too Large",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}

_STATUS = {
    RefusalReason.UNKNOWN_SERVICE: 404,
    RefusalReason.BAD_REQUEST: 400,
    RefusalReason.TOO_LARGE: 413,
    RefusalReason.DEADLINE: 504,
    RefusalReason.DUPLICATE: 409,
    RefusalReason.CLAIM_UNDECIDED: 503,
}

_DECIDED_BY_KEY = frozenset({RefusalReason.DUPLICATE, RefusalReason.CLAIM_UNDECIDED})

_DETAILS = {
    RefusalReason.UNKNOWN_SERVICE: "No such service; check the first part of the path.",
    RefusalReason.BAD_REQUEST: "Correct the request; it was not run.",
    RefusalReason.TOO_LARGE: "Send a smaller body; the service's max_body_bytes bounds it.",
    RefusalReason.NO_OWNER: "No daemon serves this service at the moment; try again.",
    RefusalReason.NOT_OWNER: "Ownership is changing; try again.",
    RefusalReason.LEASE_LAPSED: "Ownership is changing; try again.",
    RefusalReason.DEADLINE: "Allow more time in Request-Timeout, or try again later.",
    RefusalReason.QUEUE_FULL: "Too many requests wait; try again later.",
    RefusalReason.REGION_CAP: "The region is at its cap; try again later.",
    RefusalReason.LINK_FULL: "The link to the service is full; try again later.",
    RefusalReason.SHIFT_CAP: "The shift of traffic is at its cap; try again later.",
    RefusalReason.NO_UPSTREAM: "No upstream can take the request; try again later.",
    RefusalReason.UNREACHABLE: "The daemon that owns the upstreams is unreachable; try again.",
    RefusalReason.DUPLICATE: "A request with this Idempotency-Key was accepted before.",
    RefusalReason.CLAIM_UNDECIDED: "The Idempotency-Key can't be checked now; try again.",
    RefusalReason.RETRY_BUDGET: "Upstreams fail too often to retry; try again later.",
    RefusalReason.STOPPING: "This entry VM is stopping; look up another one.",
    RefusalReason.CANCELLED: "The request was cancelled.",
}

_UNKNOWN_DETAIL = (
    "The request may have run. Repeat it only if it may run twice, or with the same "
    "Idempotency-Key."
)


def not_run_problem(
    status: int, reason: RefusalReason, detail: str = "", *, retry_after_s: float = 0.0
) -> Problem:
    """Return the problem document of a request that was refused before it reached the node."""
    return Problem(
        status=status,
        title=TITLES[status],
        outcome=Outcome.NOT_RUN.value,
        reason=reason.value,
        detail=detail or _DETAILS[reason],
        retry_after_s=round(retry_after_s, 3),
    )


def refusal_problem(refusal: Refusal) -> Problem:
    """Return the problem document of a request that got no answer."""
    reason = refusal.reason
    is_not_run = refusal.outcome == Outcome.NOT_RUN
    status = _STATUS.get(reason, 503 if is_not_run else 502) if reason else 502
    detail = _DETAILS[reason] if reason and (is_not_run or reason in _DECIDED_BY_KEY) else ""
    return Problem(
        status=status,
        title=TITLES[status],
        outcome=refusal.outcome.value,
        reason=reason.value if reason else "",
        detail=detail or _UNKNOWN_DETAIL,
        retry_after_s=refusal.retry_after_s if status in (503, 504) else 0.0,
    )


def problem_headers(problem: Problem, body: bytes) -> list[tuple[str, str]]:
    """Return the header fields of a problem document."""
    headers = [
        ("Content-Type", PROBLEM_TYPE),
        ("Content-Length", str(len(body))),
        ("Cache-Control", "no-store"),
    ]
    if problem.outcome == Outcome.NOT_RUN.value:
        headers.append((NOT_RUN_HEADER, NOT_RUN_VALUE))
    if problem.retry_after_s > 0:
        headers.append(("Retry-After", str(_whole_seconds(problem.retry_after_s))))
    return headers


def _whole_seconds(wait_s: float) -> int:
    """Return a wait in whole seconds.

    It is rounded up, and one second is added for half of the callers, chosen by the jitter in the
    fraction: rounding alone would remove that jitter.
    """
    whole = math.ceil(wait_s)
    spread = int(wait_s * 1_000_000) % 2
    return whole + spread
