"""What an upstream's complete answer means for its request, and what the caller receives.

Load pattern: an upstream in trouble runs its requests and answers a part of them with any status.
"""

from __future__ import annotations

from typing import NamedTuple

from gooseberryport_core.types import AttemptOutcome


class StatusRow(NamedTuple):
    """Outcomes of attempts whose answer has a status in a range.

    Parameters
    ----------
    statuses
        Status codes.
    unstated
        Outcome if the answer does not state that the request did not run.
    not_run
        Outcome if it does.
    """

    statuses: range
    unstated: AttemptOutcome
    not_run: AttemptOutcome


STATUS_TABLE = (
    # RFC 9110, section 15: codes outside 100 to 599 are invalid, and 1xx never ends an answer.
    StatusRow(range(200), AttemptOutcome.UNKNOWN, AttemptOutcome.UNKNOWN),
    # A success that did not run contradicts itself.
    StatusRow(range(200, 400), AttemptOutcome.ANSWERED, AttemptOutcome.UNKNOWN),
    StatusRow(range(400, 600), AttemptOutcome.ANSWERED, AttemptOutcome.SHED),
    StatusRow(range(600, 1000), AttemptOutcome.UNKNOWN, AttemptOutcome.UNKNOWN),
)
"""Outcomes for all status codes of three digits; an answered one reaches the caller unchanged."""

_ROWS = {status: row for row in STATUS_TABLE for status in row.statuses}


def judge(*, status: int, not_run: bool) -> AttemptOutcome:
    """Return the outcome of an attempt, by its complete answer.

    Parameters
    ----------
    status
        Status code of the answer, of at most three digits.
    not_run
        Whether the answer states that the request did not run.
    """
    row = _ROWS[status]
    return row.not_run if not_run else row.unstated
