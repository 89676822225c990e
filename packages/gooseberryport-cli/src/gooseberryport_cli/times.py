"""Times as operators write and read them."""

from __future__ import annotations

import re
from datetime import UTC, datetime

from gooseberryport_cli.errors import UsageError

UNIT_S = {"s": 1, "m": 60, "h": 3_600, "d": 86_400, "w": 604_800}
"""Seconds of each unit."""


def parse_time(text: str, now: float) -> float:
    """Return the wall-clock time that an operator means, in seconds since 1970-01-01 UTC.

    Parameters
    ----------
    text
        ``now``, a span such as ``+15m`` or ``+2w``, or an ISO 8601 date and time; without an
        offset it is in UTC.
    now
        Wall clock.

    Raises
    ------
    UsageError
        If it is none of these.
    """
    if text == "now":
        return now
    span = re.fullmatch(r"\+(\d+)([smhdw])", text)
    if span:
        return now + int(span[1]) * UNIT_S[span[2]]
    try:
        moment = datetime.fromisoformat(text)
    except ValueError as exc:
        remedy = "write now, +15m (s, m, h, d, w) or 2027-01-31T02:00"
        raise UsageError(message=f"{text!r} is not a time", remedy=remedy) from exc
    if moment.tzinfo is None:
        moment = moment.replace(tzinfo=UTC)
    return moment.timestamp()


def format_time(seconds: float) -> str:
    """Return a wall-clock time as text, in UTC; a dash for 0, which stands for at once."""
    if seconds <= 0:
        return "-"
    return datetime.fromtimestamp(seconds, UTC).strftime("%Y-%m-%d %H:%M:%SZ")


def format_age(seconds: float) -> str:
    """Return the age of a figure as text; a dash for one that never came."""
    if seconds < 0:
        return "-"
    if seconds < 10:
        return f"{seconds:.1f} s"
    return f"{seconds:.0f} s"
