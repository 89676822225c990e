import pytest

from gooseberryport_core.types import Outcome
from gooseberryport_standins.traffic_soak import run_traffic_soak


@pytest.mark.parametrize("seed", [1, 2, 6])
def test_whole_nodes_keep_their_word_under_random_faults(seed: int) -> None:
    sim = run_traffic_soak(seed, 25)
    words = [end.outcome for end in sim.ends.values()]
    assert words.count(Outcome.ANSWERED) > 100
    assert max(sim.peak.values()) >= 2
