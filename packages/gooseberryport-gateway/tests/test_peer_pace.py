import pytest

from gooseberryport_gateway._peers import FAR_EVERY, MOST_FAR_EVERY, far_every


@pytest.mark.parametrize(
    ("far_peers", "every"),
    [
        (0, FAR_EVERY),
        (6, FAR_EVERY),
        (8, FAR_EVERY),
        (12, 3),
        (42, MOST_FAR_EVERY),
        (350, MOST_FAR_EVERY),
    ],
)
def test_reports_to_other_regions_get_rarer_as_these_grow(far_peers, every):
    assert far_every(far_peers=far_peers) == every
