"""Parses and formats times and ages for operators."""

from __future__ import annotations

import re
from datetime import UTC, datetime

from gooseberryport_cli.errors import UsageError

UNIT_S = {"s": 1, "m": 60, "h": 3_600, "d": 86_400, "w": 604_800}
"""Length of each unit; seconds."""


def parse_time(text: str, now: float) -> float:
    """Parse a time and return it as wall-clock time in seconds since 1970-01-01 UTC.

    Parameters
    ----------
    text
        ``now``, an offset from now such as ``+15m`` or ``+2w``, or an ISO 8601 date and time,
        which is in UTC if it has no UTC offset.
    now
        Current wall-clock time; seconds since 1970-01-01 UTC.

    Raises
    ------
    UsageError
        If the text has none of these forms.
    """
    if text == "now":
        return now
    relative = re.fullmatch(r"\+(\d+)([smhdw])", text)
    if relative:
        return now + int(relative[1]) * UNIT_S[relative[2]]
    try:
        parsed = datetime.fromisoformat(text)
    except ValueError as exc:
        remedy = (
            "use `now`, an offset such as `+15m` (units s, m, h, d, w)"
            " or a UTC time such as `2027-01-31T02:00`"
        )
        raise UsageError(message=f"{text!r} is not a time", remedy=remedy) from exc
    if parsed.tzinfo is None:
        parsed = parsed.replace(tzinfo=UTC)
    return parsed.timestamp()


def format_time(seconds: float) -> str:
    """Return a wall-clock time as text in UTC, or a dash for 0, which means immediately."""
    if seconds <= 0:
        return "-"
    return datetime.fromtimestamp(seconds, UTC).strftime("%Y-%m-%d %H:%M:%SZ")


def format_age(seconds: float) -> str:
    """Return the age of a value as text, or a dash for a negative age (value never received)."""
    if seconds < 0:
        return "-"
    if seconds < 10:
        return f"{seconds:.1f} s"
    return f"{seconds:.0f} s"
