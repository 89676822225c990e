import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec import structs

from gooseberryport_core._claims import Claims
from gooseberryport_core._request import EntryRequest, Home
from gooseberryport_core._requests import Requests
from gooseberryport_core._routing import Router
from gooseberryport_core._views import Owner
from gooseberryport_core.config import Config, Limits, Region, Service, Upstream
from gooseberryport_core.effects import (
    CancelTicket,
    Effect,
    FinishRequest,
    SendBody,
    SendTicket,
)
from gooseberryport_core.events import (
    AnswerStarted,
    AttemptEnded,
    Event,
    PeerUnreachable,
    RequestArrived,
    RequestCancelled,
    Tick,
    TicketReplied,
)
from gooseberryport_core.messages import Granted, Moved, Refused
from gooseberryport_core.testing import FixedOwners, FixedPeers, make_peer, make_settings
from gooseberryport_core.types import AttemptOutcome, Outcome, PoolId, RefusalReason

CFG = Config(
    version=1,
    regions={"mittelland": Region(("bern-a", "olten-b"))},
    services={"registry": Service(retry_fraction=0.1)},
    upstreams={f"up-{z}": Upstream("registry", z, "127.0.0.1:9") for z in ("bern-a", "olten-b")},
)
FAR_CFG = Config(
    version=2,
    regions={"mittelland": Region(("bern-a",)), "ticino": Region(("lugano-a", "bellinzona-b"))},
    services={"registry": Service()},
    upstreams={
        f"up-{z}": Upstream("registry", z, "127.0.0.1:9")
        for z in ("bern-a", "lugano-a", "bellinzona-b")
    },
)
GET = RequestArrived("r1", "registry", "10.0.0.1", "GET", 2.0)
POOLS = [PoolId("registry", "bern-a"), PoolId("registry", "olten-b")]


class SimulatedFleet:
    """Simulated owners and upstreams of one entry daemon: random replies, exact record of runs."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        me = make_settings()
        other = make_peer(make_settings("vm-2"))
        self.peers = peers = FixedPeers({other.vm: other})
        self.owners = owners = FixedOwners(me.vm, {pool: Owner("vm-2", 1) for pool in POOLS})
        self.requests = Requests(
            settings=me,
            owners=owners,
            peers=peers,
            router=Router(settings=me, owners=owners, peers=peers, rng=rng),
            claims=Claims(settings=me, peers=peers, rng=rng),
            home_of=lambda client: Home("mittelland", client),
            rng=rng,
        )
        self.requests.configure(CFG, 0.0)
        self.request_of: dict[str, str] = {}
        self.inline: set[str] = set()
        self.open: list[tuple[str, str]] = []
        self.runs: dict[str, int] = {}
        self.ends: dict[str, list[FinishRequest]] = {}

    def feed(self, event: Event, now: float) -> None:
        for effect in self.requests.handle(event, now):
            self.apply(effect)

    def apply(self, effect: Effect) -> None:
        if isinstance(effect, SendTicket):
            ticket_id = effect.ticket.ticket_id
            self.request_of[ticket_id] = self.current
            self.open.append((ticket_id, "ticket"))
            if effect.inline_body:
                self.inline.add(ticket_id)
        elif isinstance(effect, SendBody):
            self.request_of[effect.ticket_id] = effect.request_id
            self.open.append((effect.ticket_id, "body"))
        elif isinstance(effect, FinishRequest):
            self.ends.setdefault(effect.request_id, []).append(effect)
        elif isinstance(effect, CancelTicket):
            self.open = [o for o in self.open if o[0] != effect.ticket_id]

    def arrive(self, request_id: str, method: str, now: float) -> None:
        self.current = request_id
        self.feed(RequestArrived(request_id, "registry", "10.0.0.1", method, 2.0), now)

    def step(self, now: float) -> None:
        """Advance a random open ticket or body with a random reply or end."""
        if not self.open:
            return
        ticket_id, stage = self.open.pop(self.rng.randrange(len(self.open)))
        self.current = self.request_of[ticket_id]
        if stage == "body":
            self.end_attempt(ticket_id, now)
        elif ticket_id in self.inline and self.rng.random() < 0.2:
            self.run(ticket_id)
            self.feed(AttemptEnded(ticket_id, AttemptOutcome.UNKNOWN, 0, 0), now)
        else:
            self.feed(self.reply(ticket_id), now)

    def reply(self, ticket_id: str) -> Event:
        granted = TicketReplied("vm-2", Granted(ticket_id, "up-bern-a"))
        replies: list[Event] = [
            granted,
            granted,
            TicketReplied("vm-2", Refused(ticket_id, RefusalReason.QUEUE_FULL, 0.1)),
            TicketReplied("vm-2", Moved(ticket_id, "vm-2", POOLS[1], 1, "up-olten-b")),
        ]
        if ticket_id not in self.inline:
            replies.append(PeerUnreachable("vm-2", ticket_id))
        return self.rng.choice(replies)

    def run(self, ticket_id: str) -> None:
        request_id = self.request_of[ticket_id]
        self.runs[request_id] = self.runs.get(request_id, 0) + 1

    def end_attempt(self, ticket_id: str, now: float) -> None:
        ran = self.rng.random() < 0.5
        if ran:
            self.run(ticket_id)
        outcomes = [AttemptOutcome.UNKNOWN]
        outcomes += [AttemptOutcome.ANSWERED] * 2 if ran else [AttemptOutcome.SHED]
        outcomes += [] if ran else [AttemptOutcome.NOT_SENT]
        self.feed(AttemptEnded(ticket_id, self.rng.choice(outcomes), 200, 10), now)


def drive(seed: int, method: str) -> SimulatedFleet:
    rng = random.Random(seed)
    fleet = SimulatedFleet(rng)
    now = 0.0
    for number in range(30):
        now += rng.random() * 0.3
        fleet.feed(Tick(now), now)
        fleet.arrive(f"r{number}", method, now)
        for _ in range(rng.randrange(6)):
            fleet.step(now)
        if rng.random() < 0.1:
            fleet.feed(RequestCancelled(f"r{rng.randrange(number + 1)}"), now)
    while fleet.open:
        fleet.step(now)
    fleet.feed(Tick(now + 10.0), now + 10.0)
    return fleet


@settings(derandomize=True, deadline=None, database=None, max_examples=150)
@given(seed=st.integers(0, 2**20), method=st.sampled_from(["GET", "POST"]))
def test_each_request_ends_once_with_a_true_outcome(seed: int, method: str) -> None:
    fleet = drive(seed, method)
    assert fleet.requests.idle
    for request_id, ends in fleet.ends.items():
        (end,) = ends
        if end.outcome == Outcome.NOT_RUN:
            assert fleet.runs.get(request_id, 0) == 0
        if method == "POST":
            assert fleet.runs.get(request_id, 0) <= 1


def test_retrying_every_failure_would_run_a_request_twice(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    with monkeypatch.context() as patch:
        patch.setattr(Requests, "_handle_attempt_end", retry_any_failure)
        doubled = [s for s in range(20) if max(drive(s, "POST").runs.values(), default=0) > 1]
    assert doubled
    assert all(max(drive(s, "POST").runs.values(), default=0) <= 1 for s in doubled)


def retry_any_failure(requests: Requests, event: AttemptEnded, now: float) -> list[Effect]:
    req = requests._request(event.ticket_id)
    if req is None:
        return []
    if event.outcome == AttemptOutcome.ANSWERED:
        return requests._finish(req, Outcome.ANSWERED, None, now)
    requests._forget_attempt(req, ran=False)
    return requests._retry(req, now)


def test_retries_stop_when_the_retry_budget_is_used_up() -> None:
    fleet = SimulatedFleet(random.Random(1))
    sent = 0
    for number in range(200):
        fleet.arrive(f"r{number}", "GET", 0.0)
        while fleet.open:
            ticket_id, stage = fleet.open.pop()
            sent += stage == "body"
            fleet.current = f"r{number}"
            if stage == "ticket":
                fleet.feed(TicketReplied("vm-2", Granted(ticket_id, "up-bern-a")), 0.0)
            else:
                fleet.feed(AttemptEnded(ticket_id, AttemptOutcome.SHED, 503, 0), 0.0)
    retries = sent - 200
    assert 0 < retries <= 5 + 0.1 * 200


@pytest.mark.parametrize("seed", range(4))
def test_retry_avoids_the_pool_and_upstream_of_the_failed_attempt(seed: int) -> None:
    fleet = SimulatedFleet(random.Random(seed))
    (sent,) = [e for e in fleet.requests.handle(GET, 0.0) if isinstance(e, SendTicket)]
    failed = sent.ticket.pool
    fleet.current = "r1"
    fleet.apply(sent)
    ticket_id, _ = fleet.open.pop()
    fleet.feed(TicketReplied("vm-2", Granted(ticket_id, "up-bern-a")), 0.0)
    effects = fleet.requests.handle(AttemptEnded(ticket_id, AttemptOutcome.SHED, 503, 0), 0.1)
    (ticket,) = [e.ticket for e in effects if isinstance(e, SendTicket)]
    assert ticket.avoid == ("up-bern-a",)
    assert ticket.pool != failed
    assert not ticket.first_try


@pytest.mark.parametrize(("sent", "ran_before"), [(True, False), (False, True), (True, True)])
def test_request_that_may_have_run_is_never_reported_as_not_run(
    sent: bool, ran_before: bool
) -> None:
    event = RequestArrived("r1", "registry", "10.0.0.1", "POST")
    req = EntryRequest(event, 0.0, 1.0, False, Home("mittelland", ""))
    req.body_sent, req.ran_before = sent, ran_before
    assert SimulatedFleet(random.Random(1)).requests._refusal_outcome(req) == Outcome.UNKNOWN


@pytest.mark.parametrize("method", ["GET", "POST"])
def test_requests_are_withdrawn_from_a_silent_owner(method: str) -> None:
    fleet = SimulatedFleet(random.Random(1))
    fleet.peers.peers["vm-2"] = make_peer(make_settings("vm-2"), last_heartbeat_at=0.0)
    fleet.peers.peers["vm-3"] = make_peer(make_settings("vm-3"))
    fleet.arrive("waiting", "POST", 0.0)
    fleet.arrive("sent", method, 0.0)
    fleet.owners.owners.update({pool: Owner("vm-3", 2) for pool in POOLS})
    ticket_id, _ = fleet.open[-1]
    fleet.feed(TicketReplied("vm-2", Granted(ticket_id, "up-bern-a")), 0.0)
    effects = fleet.requests.handle(Tick(1.1), 1.1)
    moved = [(e.vm, e.request_id) for e in effects if isinstance(e, SendTicket)]
    assert moved == [("vm-3", "waiting")] + [("vm-3", "sent")] * (method == "GET")
    fleet.feed(Tick(9.0), 9.0)
    assert fleet.ends["waiting"][0].outcome == Outcome.NOT_RUN
    assert fleet.ends["sent"][0].outcome == Outcome.UNKNOWN


def send_to_silent_owner(fleet: SimulatedFleet) -> tuple[str, str | None]:
    """Send a GET to an owner whose heartbeats then stop; return its ticket and the next one."""
    fleet.peers.peers["vm-2"] = make_peer(make_settings("vm-2"), last_heartbeat_at=0.0)
    fleet.peers.peers["vm-3"] = make_peer(make_settings("vm-3"))
    fleet.arrive("r1", "GET", 0.0)
    first, _ = fleet.open[-1]
    fleet.feed(TicketReplied("vm-2", Granted(first, "up-bern-a")), 0.0)
    fleet.owners.owners.update({pool: Owner("vm-3", 2) for pool in POOLS})
    effects = fleet.requests.handle(Tick(1.1), 1.1)
    assert CancelTicket(first) not in effects
    return first, next((e.ticket.ticket_id for e in effects if isinstance(e, SendTicket)), None)


@pytest.mark.parametrize("refused", [True, False])
def test_owner_without_heartbeats_can_still_answer_what_it_was_sent(refused: bool) -> None:
    # Failure: lost datagrams end a request on a stream that is alive.
    fleet = SimulatedFleet(random.Random(1))
    first, second = send_to_silent_owner(fleet)
    if refused:
        fleet.feed(PeerUnreachable("vm-3", second), 1.2)
        while fleet.open[-1][0] != first:
            fleet.feed(PeerUnreachable("vm-3", fleet.open.pop()[0]), 1.2)
        assert not fleet.ends
    effects = fleet.requests.handle(AttemptEnded(first, AttemptOutcome.ANSWERED, 200, 10), 1.5)
    cancelled = [e.ticket_id for e in effects if isinstance(e, CancelTicket)]
    assert cancelled == ([] if refused else [second])
    (end,) = [e for e in effects if isinstance(e, FinishRequest)]
    assert (end.outcome, end.ticket_id) == (Outcome.ANSWERED, first)


def test_request_that_a_silent_owner_refuses_later_did_not_run() -> None:
    fleet = SimulatedFleet(random.Random(1))
    first, second = send_to_silent_owner(fleet)
    fleet.feed(AttemptEnded(second, AttemptOutcome.SHED, 503, 0), 1.2)
    while fleet.open[-1][0] != first:
        fleet.feed(TicketReplied("vm-3", Refused(fleet.open.pop()[0], RefusalReason.DEADLINE)), 1.2)
    fleet.feed(TicketReplied("vm-2", Refused(first, RefusalReason.LEASE_LAPSED)), 1.4)
    assert fleet.ends["r1"][0].outcome == Outcome.NOT_RUN


def test_answer_of_the_next_owner_cancels_the_silent_one() -> None:
    fleet = SimulatedFleet(random.Random(1))
    first, second = send_to_silent_owner(fleet)
    effects = fleet.requests.handle(AttemptEnded(second, AttemptOutcome.ANSWERED, 200, 10), 1.5)
    assert CancelTicket(first) in effects
    (end,) = [e for e in effects if isinstance(e, FinishRequest)]
    assert (end.outcome, end.ticket_id) == (Outcome.ANSWERED, second)


def test_only_the_answer_that_has_started_is_kept() -> None:
    fleet = SimulatedFleet(random.Random(1))
    first, second = send_to_silent_owner(fleet)
    assert fleet.requests.handle(AnswerStarted(first), 1.2) == [CancelTicket(second)]
    assert fleet.requests.handle(Tick(1.4), 1.4) == []
    fleet.feed(AttemptEnded(first, AttemptOutcome.ANSWERED, 200, 10), 1.5)
    assert fleet.ends["r1"][0].ticket_id == first


def test_best_pool_is_tried_if_no_owner_is_reachable() -> None:
    fleet = SimulatedFleet(random.Random(1))
    fleet.peers.peers["vm-2"] = make_peer(make_settings("vm-2"), last_heartbeat_at=-9.0)
    fleet.arrive("r1", "POST", 0.0)
    assert [stage for _, stage in fleet.open] == ["ticket"]
    fleet.feed(Tick(1.0), 1.0)
    assert not fleet.ends


def test_without_a_configuration_the_reason_is_not_ready() -> None:
    fleet = SimulatedFleet(random.Random(1))
    fleet.requests.configure(Config(), 0.0)
    fleet.arrive("r1", "GET", 0.0)
    assert fleet.ends["r1"][0].reason == RefusalReason.NOT_READY


def test_offers_to_several_owners_in_other_regions_count_as_one_failover() -> None:
    fleet = SimulatedFleet(random.Random(1))
    fleet.requests.configure(FAR_CFG, 0.0)
    fleet.owners.owners.clear()
    far = [PoolId("registry", zone) for zone in FAR_CFG.regions["ticino"].availability_zones]
    fleet.owners.owners.update({pool: Owner("vm-2", 1) for pool in far})
    fleet.arrive("r1", "POST", 0.0)
    for _ in far[1:]:
        ticket_id, _ = fleet.open.pop()
        fleet.feed(TicketReplied("vm-2", Refused(ticket_id, RefusalReason.QUEUE_FULL)), 0.0)
    assert [stage for _, stage in fleet.open] == ["ticket"]


def test_ticket_pulled_by_another_region_counts_as_a_failover() -> None:
    fleet = SimulatedFleet(random.Random(1))
    capped = structs.replace(FAR_CFG, limits=Limits(failover_fraction=0.0))
    fleet.requests.configure(capped, 0.0)
    near, far = PoolId("registry", "bern-a"), PoolId("registry", "lugano-a")
    fleet.owners.owners = {near: Owner("vm-2", 1), far: Owner("vm-2", 1)}
    fleet.arrive("r1", "POST", 0.0)
    ticket_id, _ = fleet.open.pop()
    fleet.feed(TicketReplied("vm-2", Moved(ticket_id, "vm-2", far, 1, "up-lugano-a")), 0.0)
    assert fleet.ends["r1"][0].reason == RefusalReason.SHIFT_CAP


@pytest.mark.parametrize("reason", [RefusalReason.NOT_OWNER, RefusalReason.LEASE_LAPSED])
def test_request_waits_for_a_handover_up_to_a_limit(reason: RefusalReason) -> None:
    fleet = SimulatedFleet(random.Random(1))
    fleet.arrive("r1", "POST", 0.0)

    def refuse_all(now: float) -> int:
        rounds = len(fleet.open)
        while fleet.open:
            ticket_id, _ = fleet.open.pop()
            fleet.feed(TicketReplied("vm-2", Refused(ticket_id, reason)), now)
        return rounds

    refuse_all(0.1)
    assert not fleet.ends
    fleet.feed(Tick(0.3), 0.3)
    assert refuse_all(0.3) == 1
    for step in range(4, 20):
        fleet.feed(Tick(step / 10), step / 10)
        refuse_all(step / 10)
    assert fleet.ends["r1"][0].outcome == Outcome.NOT_RUN
    assert fleet.ends["r1"][0].reason == reason
