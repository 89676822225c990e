import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gooseberryport_core._invariants import InvariantError
from gooseberryport_core._shifts import MovedCounts, Placement, Shifts
from gooseberryport_core.config import Config, Limits, Shift


def make_shifts(fraction: float, cap: float, *, start: float = 0.0, ramp_s: float = 0.0) -> Shifts:
    shifts = Shifts()
    rule = Shift("registry", "west", "east", fraction, cap, ramp_s=ramp_s, start=start)
    shifts.configure(Config(shifts={"move": rule}, limits=Limits(failover_fraction=cap)))
    return shifts


def place_all(shifts: Shifts, blocks: list[str], wall: float) -> list[str]:
    return [shifts.place("registry", "west", block, wall)[0].region for block in blocks]


@settings(derandomize=True, deadline=None, database=None)
@given(
    seed=st.integers(0, 2**16),
    cap=st.sampled_from([0.01, 0.1, 0.25, 0.5, 0.9]),
    daemons=st.integers(1, 5),
)
def test_moved_requests_of_all_daemons_stay_under_the_cap_in_every_window(
    seed: int, cap: float, daemons: int
) -> None:
    rng = random.Random(seed)
    fleet = [make_shifts(1.0, cap) for _ in range(daemons)]
    for window in range(5):
        moved = 0
        for total in range(1, rng.randrange(1, 60)):
            block = f"10.0.{rng.randrange(8)}.0/24"
            (region,) = place_all(rng.choice(fleet), [block], window + rng.random())
            moved += region == "east"
            assert moved <= cap * total


def test_shift_cap_invariant_fails_if_the_cap_is_not_applied(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(MovedCounts, "allows", lambda counts, cap: True)
    with pytest.raises(InvariantError, match="SHIFT_CAP"):
        place_all(make_shifts(1.0, 0.25), [f"10.0.{n}.0/24" for n in range(40)], 5.0)


def test_moved_block_stays_moved_during_the_ramp() -> None:
    shifts = make_shifts(0.5, 0.9, start=100.0, ramp_s=100.0)
    blocks = [f"10.{n // 250}.{n % 250}.0/24" for n in range(2000)]
    before: set[str] = set()
    for wall in (99.0, 120.0, 150.0, 200.0, 900.0):
        regions = place_all(shifts, blocks, wall)
        moved = {block for block, region in zip(blocks, regions, strict=True) if region == "east"}
        assert before <= moved
        before = moved
    assert 0.45 <= len(before) / len(blocks) <= 0.55


@pytest.mark.parametrize(("cap", "allowed"), [(0.5, 10), (1.0, 20), (0.0, 0)])
def test_failover_stays_under_its_own_cap(cap: float, allowed: int) -> None:
    shifts = make_shifts(0.0, cap)
    place_all(shifts, ["10.0.0.0/24"] * 20, 7.0)
    placed = Placement("west", "west", 7)
    granted = [shifts.count_failover("registry", placed, 7.0)[0] for _ in range(20)]
    assert sum(granted) == allowed


def test_failover_of_an_earlier_windows_request_counts_in_the_current_window() -> None:
    shifts = make_shifts(0.0, 1.0)
    placed = [shifts.place("registry", "west", "10.0.0.0/24", 7.9)[0] for _ in range(5)]
    assert all(shifts.count_failover("registry", placement, 8.1)[0] for placement in placed)
