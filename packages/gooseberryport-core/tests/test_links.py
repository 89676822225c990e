import random

import pytest

from gooseberryport_core._links import (
    BYTES_PER_MBIT,
    MAX_LINK_WAIT_S,
    MAX_SEND_LATENESS_S,
    SHARE_INCREASE_DELAY_S,
    WINDOW_S,
    Links,
    LinkShare,
    link_shares,
)
from gooseberryport_core.config import Config, Link, Region, Service, Upstream
from gooseberryport_core.types import PoolId

POOL = PoolId("storefront", "kgn-a")
CFG = Config(
    version=1,
    regions={"kingston": Region(("kgn-a", "kgn-b")), "montego": Region(("mbj-a",))},
    services={"storefront": Service(slots=3)},
    upstreams={
        f"{zone}-{i}": Upstream("storefront", zone, f"10.0.0.{i}:80")
        for zone, count in {"kgn-a": 3, "kgn-b": 1, "mbj-a": 2}.items()
        for i in range(count)
    },
    links={
        "out": Link("kingston", "montego", 8.0),
        "back": Link("montego", "kingston", 4.0, headroom_fraction=0.25),
    },
)


def max_bytes_in_any_window(sends: list[tuple[float, int]]) -> int:
    return max(sum(size for at, size in sends if end - WINDOW_S < at <= end) for end, _ in sends)


@pytest.mark.parametrize("seed", range(5))
def test_no_window_carries_more_than_the_share(seed: int) -> None:
    rng = random.Random(seed)
    share = LinkShare(now=0.0)
    share.configure(100_000.0, 0.0)
    sends: list[tuple[float, int]] = []
    now = 3.0
    for _ in range(1_500):
        now += rng.expovariate(40.0)
        size = rng.choice((100, 4_000, 30_000))
        wait_s = share.reserve(size, now)
        if wait_s is not None:
            assert 0.0 <= wait_s <= MAX_LINK_WAIT_S
            sends.append((now + wait_s + rng.uniform(0.0, MAX_SEND_LATENESS_S), size))
    assert 0.7 * 100_000 < max_bytes_in_any_window(sends) <= 100_000


def test_shares_of_a_direction_add_up_to_its_limit_less_the_headroom() -> None:
    parts = link_shares(CFG)
    for link in CFG.links.values():
        shares_sum = sum(
            bytes_s
            for key, bytes_s in parts.items()
            if (key.source, key.destination) == (link.source, link.destination)
        )
        usable = link.limit_mbit_s * BYTES_PER_MBIT * (1.0 - link.headroom_fraction)
        assert shares_sum == pytest.approx(usable)


def test_share_decrease_applies_at_once_and_increase_after_a_delay() -> None:
    share = LinkShare(now=0.0)
    share.configure(1_000.0, 0.0)
    share.configure(400.0, 10.0)
    assert share.bytes_s(10.0) == 400.0
    share.configure(800.0, 20.0)
    assert share.bytes_s(20.0 + SHARE_INCREASE_DELAY_S - 0.01) == 400.0
    assert share.bytes_s(20.0 + SHARE_INCREASE_DELAY_S) == 800.0


def test_new_owner_sends_nothing_while_the_former_owners_bytes_may_flow() -> None:
    links = Links()
    links.configure(CFG, 0.0)
    assert links.reserve(POOL, "montego", 1_000, 5.0) is None
    assert links.reserve(POOL, "montego", 1_000, 7.0) == 0.0
    links.on_pool_acquired(POOL, 7.5)
    assert links.reserve(POOL, "montego", 1_000, 8.0) is None


def test_request_without_capacity_for_its_answer_is_refused() -> None:
    links = Links()
    links.configure(CFG, 0.0)
    links.reserve_expected(POOL, "montego", 0, 0, 0.0)
    answer = 200_000
    taken = [links.reserve_expected(POOL, "montego", 100, answer, 5.0) for _ in range(3)]
    assert taken == [True, True, False], link_shares(CFG)
    links.release_expected(POOL, "montego", 100, answer, 5.0)
    assert links.reserve_expected(POOL, "montego", 100, answer, 5.0)
    assert links.reserve_expected(POOL, "kingston", 10**9, 10**9, 5.0)


def test_used_bytes_are_those_sent_in_the_last_window() -> None:
    links = Links()
    links.configure(CFG, 0.0)
    assert links.reserve(POOL, "montego", 1_000, 5.0) is None
    for now in (7.0, 7.5):
        assert links.reserve(POOL, "montego", 1_000, now) == 0.0
    assert [links.used_bytes("kingston", "montego", now) for now in (7.4, 7.6, 8.2, 8.6)] == [
        1_000,
        2_000,
        1_000,
        0,
    ]
    assert links.used_bytes("montego", "kingston", 7.6) == 0
