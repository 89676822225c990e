import pytest

from gooseberryport_gateway._peers import (
    MAX_REMOTE_PERIOD_ROUNDS,
    MIN_REMOTE_PERIOD_ROUNDS,
    remote_period_rounds,
)


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
