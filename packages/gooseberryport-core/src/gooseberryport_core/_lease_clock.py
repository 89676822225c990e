"""Times of leases on this daemon's own clock: what it issued, and what it saw stand still."""

from __future__ import annotations

import msgspec

from gooseberryport_core._lease_table import Member, MemberId, Table

NEVER = float("-inf")
MAX_KEPT_STAMPS = 1_024


class StampClock:
    """Issue lease stamps, and remember when.

    A lease counts from the issue of its stamp, which comes before every message and write that
    carries it.
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
        """Return when a stamp was issued; minus infinity if that is not known (any more)."""
        return self._issued_at.get(stamp, NEVER)


class _UnchangedStamp(msgspec.Struct):
    """A member's stamp, and since when it is seen unchanged."""

    stamp: int
    unchanged_since: float


class LapseDetector:
    """Watch how long the members' stamps stand still in the table.

    Parameters
    ----------
    margin_s
        Time added to each lease before it counts as lapsed; seconds.
    """

    def __init__(self, *, margin_s: float) -> None:
        self._margin_s = margin_s
        self._observed: dict[MemberId, _UnchangedStamp] = {}

    def record_table(self, table: Table, now: float) -> None:
        """Take a table that the service has shown, seen here at `now`."""
        observed: dict[MemberId, _UnchangedStamp] = {}
        for member in table.members:
            known = self._observed.get(member.id)
            if known is None or known.stamp != member.stamp:
                known = _UnchangedStamp(member.stamp, now)
            observed[member.id] = known
        self._observed = observed

    def reset(self) -> None:
        """Forget every standstill: while the service was down, no stamp could move."""
        self._observed = {}

    def has_lapsed(self, member: Member, now: float) -> bool:
        """Whether a member's lease has certainly ended, unless witnesses let it go on."""
        known = self._observed.get(member.id)
        if known is None or known.stamp != member.stamp:
            return False
        return now >= known.unchanged_since + member.lease_s + self._margin_s

    def lapsed_for_s(self, member: Member, now: float) -> float:
        """Return how long ago the lease certainly ended; seconds."""
        known = self._observed.get(member.id)
        if known is None or known.stamp != member.stamp:
            return 0.0
        return max(0.0, now - known.unchanged_since - member.lease_s)
