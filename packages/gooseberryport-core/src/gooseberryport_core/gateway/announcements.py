"""What upstreams announce about themselves in their responses: that they leave, and pauses.

Load pattern: an upstream in trouble, or about to leave, says so in a response at the peak of the
load, while its entry in the store is unchanged. Many requests are about to be sent to it. Its word
is the freshest evidence there is, so none of them is; they are placed elsewhere at once.

After a pause, the upstream gets one request first. The others follow once it is answered, and
upstreams that pause for the same time do not all return in the same instant.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum

import msgspec

from gooseberryport_core.types import UpstreamId

MAX_PAUSE_S = 300.0
"""Longest pause that is kept; a longer one is cut. The first request after it is refused again, if
the upstream still pauses; seconds."""

RETURN_SPREAD_S = 0.25
"""Maximum time for which the first request after a pause is delayed at random; seconds."""

TRIAL_TTL_S = 1.0
"""Time after which the next request is sent to an upstream that has not answered the first one
after its pause; seconds."""


class Announcement(msgspec.Struct, frozen=True):
    """What one response says about its upstream.

    Parameters
    ----------
    leaving
        Whether the upstream leaves and wants no new requests.
    pause_s
        How long it wants no requests from this gateway, counted from the response; seconds. None if
        it does not say so.
    ignored
        What was wrong with a field that was not used; empty if nothing was.
    """

    leaving: bool = False
    pause_s: float | None = None
    ignored: str = ""


NOTHING_ANNOUNCED = Announcement()


class Gate(Enum):
    """Whether an upstream may get a request now, as far as its announcements are concerned."""

    OPEN = "open"
    LEAVING = "leaving"
    PAUSED = "paused"
    RETURNING = "returning"
    """Its pause is over, and its first request has no answer yet."""


class _Pause(msgspec.Struct):
    """A pause of one incarnation; times are those of a clock that counts the time asleep."""

    started_ms: int
    ends_at: float
    trial_at: float | None = None


class UpstreamAnnouncements:
    """Keeps the announcements of upstreams. They hold for one incarnation, `started_ms`.

    All times are seconds of a clock that also counts the time for which the VM was suspended.
    """

    def __init__(self) -> None:
        self._leaving: dict[UpstreamId, int] = {}
        self._pauses: dict[UpstreamId, _Pause] = {}

    def __contains__(self, upstream: UpstreamId) -> bool:
        """Return whether anything is known of an upstream; most announce nothing."""
        return upstream in self._leaving or upstream in self._pauses

    @property
    def leaving_count(self) -> int:
        """Number of upstreams that announced that they leave."""
        return len(self._leaving)

    @property
    def paused_count(self) -> int:
        """Number of upstreams that pause, or have not answered since."""
        return len(self._pauses)

    def record(
        self,
        upstream: UpstreamId,
        announcement: Announcement,
        *,
        started_ms: int,
        now: float,
        draw: float,
    ) -> Gate | None:
        """Record a response's announcement; return what it changes, or None.

        Parameters
        ----------
        upstream, started_ms
            The incarnation that responded.
        announcement
            What the response says.
        now
            Time of the response.
        draw
            Random number in [0, 1) that spreads the returns of upstreams.
        """
        change = None
        if announcement.leaving and self._leaving.get(upstream) != started_ms:
            self._leaving[upstream] = started_ms
            change = Gate.LEAVING
        pause = self._pauses.get(upstream)
        if announcement.pause_s is None:
            if pause is not None and now >= pause.ends_at:
                del self._pauses[upstream]
                change = change or Gate.OPEN
            return change
        ends_at = now + min(announcement.pause_s, MAX_PAUSE_S) + draw * RETURN_SPREAD_S
        if pause is None or pause.started_ms != started_ms or ends_at > pause.ends_at:
            self._pauses[upstream] = _Pause(started_ms=started_ms, ends_at=ends_at)
            change = change or Gate.PAUSED
        return change

    def gate(self, upstream: UpstreamId, *, started_ms: int, now: float) -> Gate:
        """Return whether an incarnation of an upstream may get a request now."""
        if self._leaving.get(upstream) == started_ms:
            return Gate.LEAVING
        pause = self._pauses.get(upstream)
        if pause is None or pause.started_ms != started_ms:
            return Gate.OPEN
        if now < pause.ends_at:
            return Gate.PAUSED
        if pause.trial_at is not None and now < pause.trial_at + TRIAL_TTL_S:
            return Gate.RETURNING
        return Gate.OPEN

    def is_leaving(self, upstream: UpstreamId, *, started_ms: int) -> bool:
        """Return whether an incarnation of an upstream announced that it leaves."""
        return self._leaving.get(upstream) == started_ms

    def record_sent(self, upstream: UpstreamId, *, now: float) -> None:
        """Record that a request is sent; after a pause, the others wait for its answer."""
        pause = self._pauses.get(upstream)
        if pause is not None and now >= pause.ends_at:
            pause.trial_at = now

    def return_s(self, upstreams: Iterable[UpstreamId], *, now: float) -> float | None:
        """Return the time until the first of some upstreams returns, or None if one is not paused.

        Also None if there are no upstreams; seconds.
        """
        first: float | None = None
        for upstream in upstreams:
            pause = self._pauses.get(upstream)
            if pause is None or now >= pause.ends_at:
                return None
            left_s = pause.ends_at - now
            first = left_s if first is None else min(first, left_s)
        return first

    def restart(self, upstream: UpstreamId, *, started_ms: int) -> None:
        """Drop what another incarnation than this one announced."""
        if self._leaving.get(upstream, started_ms) != started_ms:
            del self._leaving[upstream]
        pause = self._pauses.get(upstream)
        if pause is not None and pause.started_ms != started_ms:
            del self._pauses[upstream]

    def forget(self, upstream: UpstreamId) -> None:
        """Drop the announcements of an upstream that was removed."""
        self._leaving.pop(upstream, None)
        self._pauses.pop(upstream, None)
