"""Status codes that an HTTP response may have (RFC 9110, section 15)."""

from __future__ import annotations

INTERIM_STATUSES = range(100, 200)
"""Codes of interim responses, which precede the final one."""

SWITCHING_PROTOCOLS = 101
"""Code of the interim response after which the connection no longer speaks HTTP/1.1."""

FINAL_STATUSES = range(200, 600)
"""Codes of final responses."""


def is_valid_status(status: int) -> bool:
    """Return whether a code is one that an HTTP response may have."""
    return status in INTERIM_STATUSES or status in FINAL_STATUSES
