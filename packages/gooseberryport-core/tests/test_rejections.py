import random

import pytest

from gooseberryport_core.gateway.rejections import RejectionReason, retry_after


@pytest.mark.parametrize(
    ("reason", "shortest_s", "longest_s"),
    [(RejectionReason.FULL, 0.2, 0.5), (RejectionReason.TURNED_AWAY, 0.02, 0.1)],
)
def test_returns_of_refused_clients_are_spread(reason, shortest_s, longest_s):
    rng = random.Random(3)
    times = [retry_after(reason=reason, draw=rng.random()) for _ in range(200)]
    assert min(times) >= shortest_s
    assert max(times) <= longest_s
    assert max(times) - min(times) > 0.8 * (longest_s - shortest_s)


def test_client_that_was_turned_away_at_random_may_still_be_served_in_time():
    objective_s, warm_s, round_trip_s = 0.4, 0.21, 0.032
    assert (
        retry_after(reason=RejectionReason.TURNED_AWAY, draw=1.0) + warm_s + round_trip_s
        < objective_s
    )
