import itertools

import pytest
from gateway_builders import member

from gooseberryport_core.gateway.fleet import LOCAL_REGION_TIMEOUT_S, REMOTE_REGION_TIMEOUT_S
from gooseberryport_core.gateway.reporting import (
    DIGEST_PERIOD_ROUNDS,
    IDLE_ZONE_PERIOD_ROUNDS,
    MAX_REMOTE_PERIOD_ROUNDS,
    MIN_REMOTE_PERIOD_ROUNDS,
    REPORT_INTERVAL_S,
    is_due,
    remote_period_rounds,
)
from gooseberryport_core.gateway.reports import Audience, Digests, Listener


@pytest.mark.parametrize(
    ("remote_peers", "period_rounds"),
    [
        (0, MIN_REMOTE_PERIOD_ROUNDS),
        (6, MIN_REMOTE_PERIOD_ROUNDS),
        (8, MIN_REMOTE_PERIOD_ROUNDS),
        (12, 3),
        (42, MAX_REMOTE_PERIOD_ROUNDS),
        (350, MAX_REMOTE_PERIOD_ROUNDS),
    ],
)
def test_reports_to_other_regions_become_rarer_as_their_gateways_increase(
    remote_peers, period_rounds
):
    assert remote_period_rounds(remote_peers=remote_peers) == period_rounds


def rounds_with_report(audience, *, active):
    listener = Listener(member=member("x"), audience=audience, digests=Digests.NONE)
    return [
        number
        for number in range(1, 61)
        if is_due(listener, round_number=number, active=active, remote_period=4)
    ]


@pytest.mark.parametrize("audience", [Audience.ACTIVE, Audience.REMOTE_ACTIVE, Audience.ZONE])
@pytest.mark.parametrize("active", [True, False])
def test_two_reports_fit_into_the_time_after_which_a_gateway_counts_as_dead(audience, active):
    rounds = rounds_with_report(audience, active=active)
    gap_s = max(b - a for a, b in itertools.pairwise(rounds)) * REPORT_INTERVAL_S
    timeout_s = (
        REMOTE_REGION_TIMEOUT_S if audience is Audience.REMOTE_ACTIVE else LOCAL_REGION_TIMEOUT_S
    )
    assert 2 * gap_s < timeout_s


def test_gateways_without_clients_report_more_rarely():
    counts = {
        audience: len(rounds_with_report(audience, active=False))
        for audience in (Audience.ACTIVE, Audience.ZONE, Audience.REPORTER)
    }
    assert counts[Audience.ACTIVE] == 60
    assert counts[Audience.ZONE] == 60 // IDLE_ZONE_PERIOD_ROUNDS
    assert counts[Audience.REPORTER] == 60 // DIGEST_PERIOD_ROUNDS
