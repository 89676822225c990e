"""The time after which the client of a refused request may retry.

Load patterns: where all homes are full, clients that were refused together must not retry
together, and slots become free once requests of typical duration have ended. Where upstreams refuse
requests at random, there is capacity at once, and a client that retries at once may still be served
within the latency objective. Where requests have several priority levels, the queue behind which a
client must wait depends on its level.
"""

from __future__ import annotations

from enum import Enum


class RefusalCause(Enum):
    """Cause for which a request was refused."""

    FULL = "full"
    """No upstream can finish the request in time, or none may serve it."""

    TURNED_AWAY = "turned-away"
    """An upstream with free capacity refused the request, and the retry budget is used up."""

    STOPPING = "stopping"
    """The gateway exits before the request would end."""


MIN_LEVEL_DELAY_S = 0.1
"""Minimum delay of a client whose delay follows from its priority level; seconds."""

MAX_LEVEL_DELAY_FRACTION = 1 / 3
"""Maximum of that delay as a fraction of the time that the request has left; clients shorten a
longer one."""

LEVEL_DELAY_JITTER = 0.5
"""Width of the random part of that delay, relative to the delay."""

RETRY_AFTER_BOUNDS_S = {
    # About the duration of one warm request, after which queues have advanced.
    RefusalCause.FULL: (0.2, 0.5),
    # Longer than a round trip to the client, but short compared with every latency objective.
    RefusalCause.TURNED_AWAY: (0.02, 0.1),
    # Other gateways can serve the client at once.
    RefusalCause.STOPPING: (0.0, 0.0),
}
"""Minimum and maximum time after which the client may retry; seconds."""


def retry_after(*, reason: RefusalCause, draw: float) -> float:
    """Return the time after which a refused client should retry; seconds.

    Parameters
    ----------
    reason
        Cause for which the request was refused.
    draw
        Random number in [0, 1) that spreads the retries of clients that were refused together.
    """
    min_s, max_s = RETRY_AFTER_BOUNDS_S[reason]
    return min_s + (max_s - min_s) * draw


def level_retry_after(*, wait_s: float, waited_s: float, left_s: float, draw: float) -> float:
    """Return the time after which a refused client of a priority level should retry; seconds.

    Parameters
    ----------
    wait_s
        Time until a slot is expected for the level; seconds.
    waited_s
        Time for which the request has waited, which its client need not wait again; seconds.
    left_s
        Time that the request has left; seconds.
    draw
        Random number in [0, 1) that spreads the retries of clients that were refused together.
    """
    delay_s = max(wait_s - waited_s, MIN_LEVEL_DELAY_S) * (1.0 + LEVEL_DELAY_JITTER * draw)
    return max(min(delay_s, left_s * MAX_LEVEL_DELAY_FRACTION), MIN_LEVEL_DELAY_S)
