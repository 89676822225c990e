"""How old a gateway's state may become, and how long each of its sources may take.

Failure pattern: a source of changes fails without a sign: a connection goes silent for good while
new ones work, or the gateway that watches the store for this one loses its power. A change that is
made just then must still be in force in time, though the source is found to be silent first, and
another one is asked then. All times are therefore fractions of that bound, and together leave time
for a new connection and a slow answer.
"""

from __future__ import annotations

import msgspec

WATCH_PAUSE_FRACTION = 0.4
"""Pause after a watch that returned changes: upstreams report continuously, and each call is
billed."""

RELAYED_WATCH_PAUSE_FRACTION = 0.33
"""The same for a watcher whose state other gateways use, which adds the delay of their requests. It
pauses after every watch, so that the watches have a fixed rate."""

WATCH_FRACTION = 0.5
"""The pause and the time for which the store may leave a watch unanswered while nothing changes,
together."""

MIN_WATCH_WAIT_S = 0.2
"""The least that the latter may be; seconds."""

SHORT_WATCH_WAIT_S = 0.1
"""The same for such a watcher, since the age of its state, which other gateways check, must not
grow while nothing changes; and after a failed call, since a call that the store lost in an outage
is never answered and hides that the store is available again; seconds."""

ANSWER_FRACTION = 0.3
"""Time within which the answer to a watch must begin, beyond the wait for changes."""

MIN_ANSWER_S = 0.5
"""The least that this may be; a slow store answers within a few hundred milliseconds."""

LONG_POLL_FRACTION = 0.17
"""How long a watcher holds a request while nothing changes."""

MAX_AGE_FRACTION = 0.62
"""Maximum age of another gateway's state that may be used: covers the pause between watches and a
request held by another region's watcher."""

MIN_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 0.5
"""Bounds of the mean delay after a failed call if no other gateway has recent state; seconds."""

MAX_SPARED_DELAY_S = 2.0
"""Longest mean delay after a failed call while other gateways have recent state, unless the store
asks for a longer one; seconds."""


class StateAges(msgspec.Struct, frozen=True):
    """Times that follow from the bound within which a change must be in force.

    Parameters
    ----------
    bound_s
        The shorter of the times within which a draining upstream must get no more requests and a
        configuration must be in force; seconds.
    """

    bound_s: float

    @property
    def max_age_s(self) -> float:
        """Maximum age of another gateway's state that may be used; seconds."""
        return self.bound_s * MAX_AGE_FRACTION

    @property
    def long_poll_s(self) -> float:
        """How long a watcher holds a request while nothing changes; seconds."""
        return self.bound_s * LONG_POLL_FRACTION

    @property
    def max_store_pause_s(self) -> float:
        """Longest pause between calls to the store if others have no recent state; seconds."""
        return self.bound_s * WATCH_PAUSE_FRACTION

    @property
    def answer_s(self) -> float:
        """Time within which the answer to a watch must begin, beyond the wait; seconds."""
        return max(self.bound_s * ANSWER_FRACTION, MIN_ANSWER_S)

    def pause_s(self, *, is_used: bool, has_changes: bool) -> float:
        """Return the pause after a watch; seconds.

        Parameters
        ----------
        is_used
            Whether other gateways use this one's state.
        has_changes
            Whether the watch returned changes.
        """
        if is_used:
            return self.bound_s * RELAYED_WATCH_PAUSE_FRACTION
        return self.bound_s * WATCH_PAUSE_FRACTION if has_changes else 0.0

    def wait_s(self, *, is_used: bool, has_failed: bool, paused_s: float) -> float:
        """Return how long the store may leave a watch unanswered while nothing changes; seconds.

        Parameters
        ----------
        is_used
            Whether other gateways use this one's state.
        has_failed
            Whether the last call failed.
        paused_s
            The pause before this watch; seconds.
        """
        if is_used or has_failed:
            return SHORT_WATCH_WAIT_S
        return max(self.bound_s * WATCH_FRACTION - paused_s, MIN_WATCH_WAIT_S)


class StoreRetries:
    """When the store may be called again after calls that failed.

    Failure pattern: the store rejects some gateways, and asks them to pause for seconds, while it
    serves the others and the operator; or it rejects all. While other gateways have recent state,
    the store gets the pause that it asks for. A gateway whose state gets too old calls it sooner:
    what was acknowledged meanwhile must be in force soon after the rejection ends.
    """

    def __init__(self) -> None:
        self._failures = 0
        self._failed_at = float("-inf")
        self._retry_after_s = 0.0
        self._spread = 1.0

    def record_success(self) -> None:
        """Record that the store answered a call."""
        self._failures = 0

    def record_failure(self, *, retry_after_s: float, spread: float, now: float) -> None:
        """Record that a call failed.

        Parameters
        ----------
        retry_after_s
            Pause that the store asks for, or 0; seconds.
        spread
            Factor of the delay that spreads the gateways' calls.
        now
            Monotonic time; seconds.
        """
        self._failures += 1
        self._failed_at = now
        self._retry_after_s = retry_after_s
        self._spread = spread

    def left_s(self, *, age_s: float, ages: StateAges, now: float) -> float:
        """Return how long the store must not be called yet, 0 or less for now; seconds.

        Parameters
        ----------
        age_s
            How long ago the store confirmed this gateway's state; seconds.
        ages
            Ages that the state may have.
        now
            Monotonic time; seconds.
        """
        if self._failures == 0:
            return 0.0
        is_recent = age_s <= ages.max_age_s
        longest_s = MAX_SPARED_DELAY_S if is_recent else MAX_RETRY_DELAY_S
        delay_s = min(MIN_RETRY_DELAY_S * 2.0 ** min(self._failures - 1, 10), longest_s)
        pause_s = max(self._retry_after_s, delay_s * self._spread)
        if not is_recent:
            pause_s = min(pause_s, ages.max_store_pause_s)
        return self._failed_at + pause_s - now
