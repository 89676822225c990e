"""When a refused client is told to return.

Load patterns: where homes are full, those who were refused together must not return together, and
room comes when requests of usual length have ended. Where upstreams refuse requests at random there
is room at once, and a client that returns at once may still be served within its objective.
"""

from __future__ import annotations

from enum import Enum


class RejectionReason(Enum):
    """Why a request was not run."""

    FULL = "full"
    """Its homes have no room for it in time, or none may serve it."""

    TURNED_AWAY = "turned-away"
    """An upstream with room refused it, and the retry budget is used up."""


RETRY_AFTER_BOUNDS_S = {
    # About the time of one warm request, in which queues move on.
    RejectionReason.FULL: (0.2, 0.5),
    # Longer than a round trip to the client, and short against every objective.
    RejectionReason.TURNED_AWAY: (0.02, 0.1),
}
"""Shortest and longest time after which a refused client is told to return; seconds."""


def retry_after(*, reason: RejectionReason, draw: float) -> float:
    """Return after how many seconds a refused client may find room.

    Parameters
    ----------
    refusal
        Why it was refused.
    draw
        Random number in [0, 1), which spreads those who were refused together.
    """
    shortest, longest = RETRY_AFTER_BOUNDS_S[reason]
    return shortest + (longest - shortest) * draw
