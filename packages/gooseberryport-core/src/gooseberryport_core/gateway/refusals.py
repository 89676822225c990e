"""The time after which the client of a refused request may retry.

Load patterns: where all homes are full, clients that were refused together must not retry
together, and slots become free once requests of typical duration have ended. Where upstreams refuse
requests at random, there is capacity at once, and a client that retries at once may still be served
within the latency objective.
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
