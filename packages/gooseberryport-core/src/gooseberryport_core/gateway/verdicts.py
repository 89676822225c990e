"""What an upstream's response means for its request, and what the client receives.

Load pattern: an upstream in trouble runs its requests, answers a part of them with any status,
signed or not, and passes its health checks. A client that takes such a status for a refusal sends a
request again that has run.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

MISDIRECTED_STATUS = 421
"""Status of a response that tells of no other upstream than the one that has the address now."""


class Verdict(Enum):
    """What a complete response means."""

    ANSWER = "answer"
    """The request ran; the client receives the response unchanged."""

    FAILURE = "failure"
    """The request may have run; unless another upstream answers, the client receives the response
    unchanged."""

    FALSE_REFUSAL = "false-refusal"
    """The request may have run, though the status says that it did not; unless another upstream
    answers, the client receives a 502 of the gateway."""

    REFUSAL = "refusal"
    """The request did not run; unless another upstream answers, the client receives a 503 of the
    gateway."""

    MISDIRECTED = "misdirected"
    """As a refusal: another upstream has the address."""

    INVALID = "invalid"
    """The request may have run, and this is no response that a client may receive; unless another
    upstream answers, the client receives a 502 of the gateway."""


class StatusRow(NamedTuple):
    """Verdicts on responses whose status is in a range.

    Parameters
    ----------
    statuses
        Status codes.
    unsigned, signed
        Verdicts on responses without and with the signature of an upstream.
    not_executed
        Verdict on a response which states that the request did not run, signed or not.
    """

    statuses: range
    unsigned: Verdict
    signed: Verdict
    not_executed: Verdict


_ANSWER = Verdict.ANSWER
_FAILURE = Verdict.FAILURE
_FALSE_REFUSAL = Verdict.FALSE_REFUSAL
_REFUSAL = Verdict.REFUSAL
_MISDIRECTED = Verdict.MISDIRECTED
_INVALID = Verdict.INVALID

STATUS_TABLE = (
    # RFC 9110, section 15: codes outside 100 to 599 are invalid, and 1xx never ends a response.
    StatusRow(range(200), _INVALID, _INVALID, _INVALID),
    # A success without a signature may be cut or changed, and one that did not run is none.
    StatusRow(range(200, 300), _INVALID, _ANSWER, _INVALID),
    StatusRow(range(300, 408), _FAILURE, _ANSWER, _REFUSAL),
    StatusRow(range(408, 409), _FALSE_REFUSAL, _FALSE_REFUSAL, _REFUSAL),
    StatusRow(range(409, 421), _FAILURE, _ANSWER, _REFUSAL),
    # An upstream signs responses to its own requests only, so it has not rejected a signed one.
    StatusRow(range(MISDIRECTED_STATUS, 422), _MISDIRECTED, _FALSE_REFUSAL, _MISDIRECTED),
    StatusRow(range(422, 429), _FAILURE, _ANSWER, _REFUSAL),
    StatusRow(range(429, 430), _FALSE_REFUSAL, _FALSE_REFUSAL, _REFUSAL),
    StatusRow(range(430, 500), _FAILURE, _ANSWER, _REFUSAL),
    StatusRow(range(500, 503), _FAILURE, _FAILURE, _REFUSAL),
    StatusRow(range(503, 504), _FALSE_REFUSAL, _FALSE_REFUSAL, _REFUSAL),
    StatusRow(range(504, 600), _FAILURE, _FAILURE, _REFUSAL),
    StatusRow(range(600, 1000), _INVALID, _INVALID, _INVALID),
)
"""Verdicts on all status codes of three digits."""

_ROWS = {status: row for row in STATUS_TABLE for status in row.statuses}


def judge(*, status: int, signed: bool, not_executed: bool, encoded: bool = False) -> Verdict:
    """Return what a complete response means.

    Parameters
    ----------
    status
        Status code of the response, of at most three digits.
    signed
        Whether it has the signature of an upstream.
    not_executed
        Whether it states that the request did not run.
    encoded
        Whether its body has a content coding, which no request of the gateway allows.
    """
    row = _ROWS[status]
    if not_executed:
        return row.not_executed
    verdict = row.signed if signed else row.unsigned
    if encoded and verdict in (Verdict.ANSWER, Verdict.FAILURE):
        return Verdict.INVALID
    return verdict
