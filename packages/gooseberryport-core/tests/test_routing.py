import random
from collections import Counter

import pytest
from msgspec import structs

from gooseberryport_core._load_estimates import PoolLoadEstimate
from gooseberryport_core._routing import MAX_LOAD_AGE_S, Router
from gooseberryport_core._views import Holding, Owner, Peer, RemoteLoad
from gooseberryport_core.config import Config, Region, Service, Upstream
from gooseberryport_core.messages import PoolLoad
from gooseberryport_core.settings import NodeSettings
from gooseberryport_core.types import PoolId

SERVICE = "proofroom"
ZONES = {"kgn-a": "kingston", "kgn-b": "kingston", "mbj-a": "montego"}
POOLS = {zone: PoolId(SERVICE, zone) for zone in ZONES}
CFG = Config(
    version=1,
    regions={"kingston": Region(("kgn-a", "kgn-b")), "montego": Region(("mbj-a",))},
    services={SERVICE: Service(slots=3)},
    upstreams={
        f"{zone}-{i}": Upstream(SERVICE, zone, "10.0.0.1:80") for zone in ZONES for i in range(4)
    },
)


class FakeView:
    """View in which every pool has an owner; tests set the loads."""

    def __init__(self) -> None:
        self.remote: tuple[RemoteLoad, ...] = ()

    def owner_of(self, pool: PoolId) -> Owner | None:
        return Owner(f"vm-{pool.zone}", 1)

    def holding(self, pool: PoolId, now: float) -> Holding | None:
        return None

    def holdings(self, now: float) -> dict[PoolId, Holding]:
        return {}

    def live(self, now: float) -> tuple[Peer, ...]:
        return ()

    def peer(self, vm: str) -> Peer | None:
        return None

    def loads(self, now: float) -> tuple[RemoteLoad, ...]:
        return self.remote


def make_router(**loads: PoolLoad) -> tuple[Router, FakeView]:
    view = FakeView()
    settings = NodeSettings("vm-1", 1, "kgn-a", "kingston", "127.0.0.1:1", "127.0.0.1:2")
    router = Router(settings=settings, owners=view, peers=view, rng=random.Random(2))
    router.configure(CFG, 0.0)
    return router, view


def set_loads(view: FakeView, age_s: float = 0.0, **figures: tuple[int, int, int]) -> None:
    view.remote = tuple(
        RemoteLoad("vm", PoolLoad(POOLS[zone.replace("_", "-")], 1, *figure, 0.0, 0.1), age_s)
        for zone, figure in figures.items()
    )


def first(router: Router, now: float) -> str:
    return router.rank(SERVICE, "kingston", now)[0].zone


def test_nearby_pool_with_free_slots_ranks_first_and_other_region_last() -> None:
    router, view = make_router()
    set_loads(view, kgn_a=(12, 2, 0), kgn_b=(12, 2, 0), mbj_a=(12, 0, 0))
    assert [p.zone for p in router.rank(SERVICE, "kingston", 1.0)] == list(ZONES)


def test_full_pools_rank_after_free_ones_and_drained_pools_last() -> None:
    router, view = make_router()
    set_loads(view, kgn_a=(12, 12, 20), kgn_b=(12, 3, 0), mbj_a=(0, 0, 0))
    assert [p.zone for p in router.rank(SERVICE, "kingston", 1.0)] == ["kgn-b", "kgn-a", "mbj-a"]
    set_loads(view, kgn_a=(12, 12, 20), kgn_b=(12, 12, 20), mbj_a=(12, 3, 0))
    assert first(router, 2.0) == "mbj-a"


@pytest.mark.parametrize("figure", [(0, 0, 0), (12, 0, 0), (12, 12, 999)])
def test_stale_load_is_replaced_by_the_configured_capacity(
    figure: tuple[int, int, int],
) -> None:
    router, view = make_router()
    set_loads(view, MAX_LOAD_AGE_S + 0.1, kgn_a=figure, kgn_b=figure, mbj_a=figure)
    chosen = Counter(first(router, 5.0 + i / 1_000) for i in range(60))
    assert set(chosen) == set(ZONES)
    assert chosen["kgn-a"] >= chosen["kgn-b"] >= chosen["mbj-a"]


def test_requests_sent_since_the_last_load_are_counted() -> None:
    router, view = make_router()
    set_loads(view, kgn_a=(12, 10, 0), kgn_b=(12, 2, 0), mbj_a=(12, 0, 0))
    chosen = [first(router, 1.0) for _ in range(5)]
    assert chosen == ["kgn-a", "kgn-a", "kgn-a", "kgn-b", "kgn-b"]


def test_estimated_wait_approaches_the_default_as_a_load_ages() -> None:
    waits = []
    for busy, queued in ((0, 0), (12, 30)):
        belief = PoolLoadEstimate(12)
        belief.record(PoolLoad(POOLS["kgn-a"], 1, 12, busy, queued, 0.0, 0.1), 10.0)
        waits.append([belief.wait_s(10.0 + age) for age in (0.0, 0.3, 1.0)])
    assert waits[0] == sorted(waits[0])
    assert waits[1] == sorted(waits[1], reverse=True)


def test_failing_pool_gets_few_requests_unless_every_pool_fails() -> None:
    router, view = make_router()
    loads = [PoolLoad(POOLS[zone], 1, 12, 0, 0, 0.0, 0.1, zone == "kgn-a") for zone in ZONES]
    view.remote = tuple(RemoteLoad("vm", load, 0.0) for load in loads)
    to_failing = sum(first(router, 1.0 + n) == "kgn-a" for n in range(500))
    assert 0 < to_failing < 50
    failing = [structs.replace(load, failing=True) for load in loads]
    view.remote = tuple(RemoteLoad("vm", load, 0.0) for load in failing)
    served = [first(router, 1000.0 + n) for n in range(100)]
    assert served.count("kgn-a") > 80
