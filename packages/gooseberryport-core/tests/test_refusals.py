import random

import pytest

from gooseberryport_core.gateway.refusals import RefusalCause, retry_after


@pytest.mark.parametrize(
    ("reason", "min_s", "max_s"),
    [(RefusalCause.FULL, 0.2, 0.5), (RefusalCause.TURNED_AWAY, 0.02, 0.1)],
)
def test_retries_of_refused_clients_are_spread(reason, min_s, max_s):
    rng = random.Random(3)
    times = [retry_after(reason=reason, draw=rng.random()) for _ in range(200)]
    assert min(times) >= min_s
    assert max(times) <= max_s
    assert max(times) - min(times) > 0.8 * (max_s - min_s)


def test_client_that_was_refused_at_random_can_retry_within_the_objective():
    objective_s, warm_s, round_trip_s = 0.4, 0.21, 0.032
    assert (
        retry_after(reason=RefusalCause.TURNED_AWAY, draw=1.0) + warm_s + round_trip_s < objective_s
    )
