"""Lease times on this daemon's clock: when it issued its stamps, and when it saw others change."""

from __future__ import annotations

import msgspec

from gooseberryport_core._lease_table import Member, MemberId, Table

NEVER = float("-inf")
"""Time of something that has not happened yet; earlier than every other time."""

MAX_KEPT_STAMPS = 1_024


class StampClock:
    """Issue lease stamps, and record when each was issued.

    A lease starts when its stamp is issued, which is before any message or write that carries it.
    """

    def __init__(self) -> None:
        self._newest = 0
        self._issued_at: dict[int, float] = {}

    @property
    def newest(self) -> int:
        """The newest stamp; 0 before the first."""
        return self._newest

    def issue(self, now: float) -> None:
        """Issue the next stamp at `now`."""
        self._newest += 1
        self._issued_at[self._newest] = now
        self._issued_at.pop(self._newest - MAX_KEPT_STAMPS, None)

    def issued_at(self, stamp: int) -> float:
        """Return when a stamp was issued; minus infinity if that is unknown or forgotten."""
        return self._issued_at.get(stamp, NEVER)


class _UnchangedStamp(msgspec.Struct):
    """A member's stamp, and since when this daemon has seen it unchanged."""

    stamp: int
    unchanged_since: float


class LapseDetector:
    """Detect lapsed leases by how long each member's stamp in the table has not changed.

    Parameters
    ----------
    margin_s
        Time added to each lease before it counts as lapsed; seconds.
    """

    def __init__(self, *, margin_s: float) -> None:
        self._margin_s = margin_s
        self._observed: dict[MemberId, _UnchangedStamp] = {}

    def record_table(self, table: Table, now: float) -> None:
        """Record the stamps of a table that the store returned and that arrived here at `now`."""
        observed: dict[MemberId, _UnchangedStamp] = {}
        for member in table.members:
            known = self._observed.get(member.id)
            if known is None or known.stamp != member.stamp:
                known = _UnchangedStamp(member.stamp, now)
            observed[member.id] = known
        self._observed = observed

    def reset(self) -> None:
        """Forget since when stamps are unchanged; none can change while the store is unavailable.

        While this process is paused, it sees no change either.
        """
        self._observed = {}

    def has_lapsed(self, member: Member, now: float) -> bool:
        """Return whether a member's lease has certainly ended, unless witnesses extended it."""
        known = self._observed.get(member.id)
        if known is None or known.stamp != member.stamp:
            return False
        return now >= known.unchanged_since + member.lease_s + self._margin_s

    def lapsed_for_s(self, member: Member, now: float) -> float:
        """Return how long ago a member's unchanged lease ended, without the margin; seconds.

        0 if it has not ended. The margin only delays the decision that a lease has lapsed.
        """
        known = self._observed.get(member.id)
        if known is None or known.stamp != member.stamp:
            return 0.0
        return max(0.0, now - known.unchanged_since - member.lease_s)
