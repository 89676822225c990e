import random

from gooseberryport_core import Config, Node, NodeSettings
from gooseberryport_core.burn import RequestCounts, burn_record_key, decode_burn_record
from gooseberryport_core.config import Region, Service, Upstream
from gooseberryport_core.effects import (
    Effect,
    FinishRequest,
    StartUpstreamAttempt,
    StoreGet,
    StoreSwap,
)
from gooseberryport_core.events import (
    RequestArrived,
    StoreGot,
    StoreWritten,
    Tick,
    UpstreamAttemptEnded,
)
from gooseberryport_core.types import AttemptOutcome, Outcome, RefusalReason
from gooseberryport_standins.simulation import SimStore, config_publisher

CFG = Config(
    version=1,
    regions={"mittelland": Region(availability_zones=("bern-a",))},
    services={"dressing-registry": Service(slots=1)},
    upstreams={
        "dressing-registry-01": Upstream("dressing-registry", "bern-a", "127.0.0.1:9"),
    },
)


def make_node() -> Node:
    settings = NodeSettings(
        vm="vm-1",
        incarnation=1,
        zone="bern-a",
        region="mittelland",
        address="127.0.0.1:1",
        http_address="127.0.0.1:2",
    )
    node = Node(settings=settings, rng=random.Random(7))
    store = SimStore()
    config_publisher(CFG)(store)
    for step in range(20):
        drive(node, store, node.handle(Tick(wall=0.0), step * 0.05), step * 0.05)
    return node


def drive(node: Node, store: SimStore, effects: list[Effect], now: float) -> None:
    for effect in effects:
        if isinstance(effect, StoreGet):
            got = StoreGot(effect.call_id, (store.read(effect.key),))
            drive(node, store, node.handle(got, now), now)
        if isinstance(effect, StoreSwap):
            applied = store.swap(effect.key, effect.value, effect.expected)
            written = StoreWritten(effect.call_id, applied, store.read(effect.key))
            drive(node, store, node.handle(written, now), now)


def test_request_runs_at_an_upstream_and_its_answer_is_delivered() -> None:
    node = make_node()
    arrived = RequestArrived("r1", "dressing-registry", "10.0.0.1", "GET")
    (start,) = node.handle(arrived, 1.0)
    assert isinstance(start, StartUpstreamAttempt)
    assert (start.request_id, start.upstream) == ("r1", "dressing-registry-01")
    done = UpstreamAttemptEnded(start.ticket_id, AttemptOutcome.ANSWERED, 200, 10, 0.1)
    (finish,) = node.handle(done, 1.1)
    assert finish == FinishRequest("r1", Outcome.ANSWERED, start.ticket_id)


def test_request_for_an_unknown_service_is_refused_without_running() -> None:
    (finish,) = make_node().handle(RequestArrived("r1", "nowhere", "10.0.0.1", "GET"), 1.0)
    assert isinstance(finish, FinishRequest)
    assert (finish.outcome, finish.reason) == (Outcome.NOT_RUN, RefusalReason.UNKNOWN_SERVICE)


def test_second_request_waits_for_the_slot() -> None:
    node = make_node()
    (start,) = node.handle(RequestArrived("r1", "dressing-registry", "10.0.0.1", "GET"), 1.0)
    assert isinstance(start, StartUpstreamAttempt)
    assert node.handle(RequestArrived("r2", "dressing-registry", "10.0.0.1", "GET"), 1.0) == []
    done = UpstreamAttemptEnded(start.ticket_id, AttemptOutcome.ANSWERED, 200, 10, 0.1)
    effects = node.handle(done, 1.1)
    assert [e.request_id for e in effects if isinstance(e, StartUpstreamAttempt)] == ["r2"]


def test_status_and_explain_show_the_state_and_do_not_change_it() -> None:
    node = make_node()
    (start,) = node.handle(RequestArrived("r1", "dressing-registry", "10.0.0.1", "GET"), 1.0)
    assert isinstance(start, StartUpstreamAttempt)
    page = node.status(1.0, 100.0)
    assert (page.version, page.regions[0].busy, page.regions[0].headroom) == (1, 1, 0)
    assert [(pool.owner, pool.slots, pool.busy) for pool in page.pools] == [("vm-1", 1, 1)]
    assert [(vm.vm, vm.config_version) for vm in page.vms] == [("vm-1", 1)]
    explanation = node.explain("dressing-registry", "10.0.0.1", 1.0, 100.0)
    assert (explanation.entries, explanation.region, explanation.block) == (
        ("vm-1",),
        "mittelland",
        "10.0.0.0",
    )
    (candidate,) = explanation.candidates
    assert candidate.rank == 1
    assert "0 of 1 slots free" in candidate.reason
    assert node.explain("dressing-registry", "10.0.0.1", 1.0, 100.0) == explanation


def test_served_request_is_counted_in_the_burn_record_of_the_region() -> None:
    node, store = make_node(), SimStore()
    (start,) = node.handle(RequestArrived("r1", "dressing-registry", "10.0.0.1", "GET"), 1.0)
    assert isinstance(start, StartUpstreamAttempt)
    node.handle(UpstreamAttemptEnded(start.ticket_id, AttemptOutcome.ANSWERED, 200, 10, 0.7), 1.7)
    node.handle(RequestArrived("r2", "nowhere", "10.0.0.1", "GET"), 1.7)
    for step in range(800):
        now = 2.0 + step * 0.1
        drive(node, store, node.handle(Tick(wall=1e9 + now), now), now)
    record = decode_burn_record(store.read(burn_record_key("mittelland")).value)
    assert record.counts.totals() == {"dressing-registry": RequestCounts(total=1, slow=1, failed=0)}
