"""How often a gateway reports to each of the others.

Load pattern: a large fleet. If all gateways reported to all others at one period, this traffic
would grow with the square of their number. Gateways with clients report their loads often, but
only to each other; the others send heartbeats within their availability zone, whose size is
limited.
"""

from __future__ import annotations

from gooseberryport_core.gateway.reports import Audience, Listener

REPORT_INTERVAL_S = 0.2
"""Interval between datagrams within a region: the time of a warm request; seconds."""

MIN_REMOTE_PERIOD_ROUNDS = 2
MAX_REMOTE_PERIOD_ROUNDS = 4
"""Bounds of the period of datagrams to other regions, counted in rounds within the region. Bytes to
other regions are costly, but load reports and gateways expire after a few seconds."""

MAX_PEERS_AT_MIN_REMOTE_PERIOD = 8
"""Number of gateways in other regions up to which the period is the minimum. Beyond it the period
grows with their number, so that the rate of datagrams that one gateway sends to other regions stays
about the same, until the period reaches `MAX_REMOTE_PERIOD_ROUNDS`."""

ACTIVE_ZONE_PERIOD_ROUNDS = 2
IDLE_ZONE_PERIOD_ROUNDS = 3
"""Period of heartbeats within an availability zone, of gateways with and without clients. Two fit
into the time after which a silent gateway no longer counts as alive."""

DIGEST_PERIOD_ROUNDS = 5
"""Period of digests, and of warm objects to gateways of the region that have no clients."""


def remote_period_rounds(*, remote_peers: int) -> int:
    """Return how many rounds within the region pass for each round to other regions.

    Parameters
    ----------
    remote_peers
        Number of gateways with clients in other regions.
    """
    return min(
        MAX_REMOTE_PERIOD_ROUNDS,
        max(
            MIN_REMOTE_PERIOD_ROUNDS,
            MIN_REMOTE_PERIOD_ROUNDS * remote_peers // MAX_PEERS_AT_MIN_REMOTE_PERIOD,
        ),
    )


def is_due(listener: Listener, *, round_number: int, active: bool, remote_period: int) -> bool:
    """Return whether a listener gets a report in a round.

    Parameters
    ----------
    listener
        The other gateway.
    round_number
        Number of the round.
    active
        Whether this gateway serves clients.
    remote_period
        Period of reports to other regions; rounds.
    """
    period = {
        Audience.ACTIVE: 1,
        Audience.REMOTE_ACTIVE: remote_period,
        Audience.ZONE: ACTIVE_ZONE_PERIOD_ROUNDS if active else IDLE_ZONE_PERIOD_ROUNDS,
        Audience.REGION: DIGEST_PERIOD_ROUNDS,
        Audience.REPORTER: DIGEST_PERIOD_ROUNDS,
    }[listener.audience]
    return round_number % period == 0
