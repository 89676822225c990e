import random
import time
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager

import msgspec
import pytest
import urllib3

from gooseberryport_standins._caller import (
    CallEnd,
    Caller,
    CallPlan,
    CallResult,
    KeyKind,
    LookupCache,
)
from gooseberryport_standins._server import Exchange, RestartableServer, open_server
from gooseberryport_standins.caller import LoadPlan, Traffic, run_load, summarise
from gooseberryport_standins.checks import find_violations
from gooseberryport_standins.upstream import Run, RunEnd, UpstreamStats

GET = CallPlan("r1", "registry", "10.0.0.1", "GET", "item", 1.0)
KEYED = msgspec.structs.replace(GET, method="POST", key=KeyKind.OWN)
ONCE = msgspec.structs.replace(GET, method="POST")


class FakeEntry:
    """A fake entry VM that answers look-ups with a list and every request in one fixed way."""

    def __init__(self, behaviour: str = "answer") -> None:
        self.behaviour = behaviour
        self.listed: list[str] = []
        self.max_age = 60
        self.lookups = 0
        self.requests = 0
        self.keys: list[str | None] = []

    def serve(self, exchange: Exchange) -> None:
        if exchange.target == "/v1/lookup":
            self.lookups += 1
            body = msgspec.json.encode(
                [{"vm": a, "http_address": a, "key_prefix": f"{a}~"} for a in self.listed]
            )
            exchange.answer(200, body, {"Cache-Control": f"max-age={self.max_age}"})
            return
        self.requests += 1
        self.keys.append(exchange.headers.get("Idempotency-Key"))
        request_id = exchange.headers["X-Request-Id"]
        if self.behaviour == "answer":
            exchange.answer(200, f"{request_id} up ...".encode())
        elif self.behaviour == "other":
            exchange.answer(200, b"r99 up ...")
        elif self.behaviour == "error":
            exchange.answer(500)
        elif self.behaviour == "cut":
            exchange.drop_connection()
        elif self.behaviour == "half":
            exchange.answer(200, f"{request_id} up ...".encode(), sent_fraction=0.5)
        else:
            outcome, reason, *sender = self.behaviour.split()
            body = msgspec.json.encode({"outcome": outcome, "reason": reason})
            headers = {"Content-Type": "application/problem+json"}
            if outcome == "not-run" and not sender:
                headers["X-Not-Run"] = "1"
            exchange.answer(503, body, headers)


@contextmanager
def entries(*behaviours: str) -> Iterator[tuple[list[FakeEntry], list[RestartableServer], Caller]]:
    with ExitStack() as stack:
        fakes = [FakeEntry(behaviour) for behaviour in behaviours]
        servers = [stack.enter_context(open_server(fake)) for fake in fakes]
        for fake in fakes:
            fake.listed = [server.address for server in servers]
        http = stack.enter_context(urllib3.PoolManager())
        seeds = (servers[0].address,)
        caller = Caller(
            lookups=LookupCache(seeds=seeds, http=http, rng=random.Random(1)), http=http
        )
        yield fakes, servers, caller


@pytest.mark.parametrize(
    ("behaviours", "plan", "end", "sent"),
    [
        (["answer", "answer"], GET, CallEnd.ANSWERED, [1, 0]),
        (["other", "answer"], GET, CallEnd.WRONG, [1, 0]),
        (["error", "answer"], GET, CallEnd.FAILED, [1, 0]),
        (["not-run queue-full", "answer"], KEYED, CallEnd.NOT_RUN, [1, 0]),
        (["not-run stopping", "answer"], ONCE, CallEnd.ANSWERED, [1, 1]),
        (["not-run queue-full upstream", "answer"], ONCE, CallEnd.FAILED, [1, 0]),
        (["not-run stopping upstream", "answer"], ONCE, CallEnd.FAILED, [1, 0]),
        (["unknown deadline", "answer"], KEYED, CallEnd.UNKNOWN, [1, 0]),
        (["cut", "answer"], GET, CallEnd.ANSWERED, [1, 1]),
        (["half", "answer"], KEYED, CallEnd.ANSWERED, [1, 1]),
        (["cut", "answer"], ONCE, CallEnd.UNKNOWN, [1, 0]),
        (["cut", "not-run duplicate"], KEYED, CallEnd.UNKNOWN, [1, 1]),
    ],
)
def test_how_a_request_ends_follows_from_the_responses(
    behaviours: list[str], plan: CallPlan, end: CallEnd, sent: list[int]
) -> None:
    with entries(*behaviours) as (fakes, _, caller):
        assert caller.call(plan, time.monotonic()).end == end
        assert [fake.requests for fake in fakes] == sent


def test_issued_key_has_the_prefix_of_the_first_entry_and_is_reused_at_the_next() -> None:
    plan = msgspec.structs.replace(KEYED, key=KeyKind.ISSUED)
    with entries("cut", "answer") as (fakes, servers, caller):
        assert caller.call(plan, time.monotonic()).end == CallEnd.ANSWERED
        assert fakes[0].keys == fakes[1].keys == [f"{servers[0].address}~r1"]


def test_lookup_is_cached_and_repeated_when_every_cached_vm_fails() -> None:
    with entries("answer", "answer") as (fakes, servers, caller):
        fakes[0].listed = [servers[1].address]
        for _ in range(3):
            assert caller.call(GET, time.monotonic()).end == CallEnd.ANSWERED
        assert fakes[0].lookups == 1
        servers[1].close()
        fakes[0].listed = [servers[0].address]
        assert caller.call(GET, time.monotonic()).end == CallEnd.ANSWERED
        assert fakes[0].lookups == 2


def test_request_that_no_entry_accepts_is_lost() -> None:
    with entries("answer") as (_, servers, caller):
        servers[0].close()
        plan = msgspec.structs.replace(GET, timeout_s=0.1)
        assert caller.call(plan, time.monotonic()).end == CallEnd.LOST


def test_load_is_reproducible_from_its_seed_and_summarised() -> None:
    plan = LoadPlan((Traffic("registry"),), rate=200.0, seconds=0.3, threads=4, seed=5)
    with entries("answer") as (_, servers, _caller):
        first, second = (run_load(plan, (servers[0].address,)) for _ in range(2))
    ids = [sorted(result.plan.request_id for result in results) for results in (first, second)]
    assert ids[0] == ids[1] and len(ids[0]) > 20
    summary = summarise(first)
    assert summary.ends == {"answered": len(first)} and summary.in_time == 1.0
    assert 0 < summary.p50_ms <= summary.p99_ms


@pytest.mark.parametrize(
    ("plan", "end", "times", "found"),
    [
        (GET, CallEnd.ANSWERED, 2, ""),
        (KEYED, CallEnd.ANSWERED, 1, ""),
        (ONCE, CallEnd.UNKNOWN, 1, ""),
        (KEYED, CallEnd.ANSWERED, 2, "more than once"),
        (GET, CallEnd.NOT_RUN, 1, "reported as not-run"),
        (GET, CallEnd.ANSWERED, 0, "did not run"),
        (GET, CallEnd.LOST, 0, "lost"),
        (GET, CallEnd.WRONG, 1, "wrong"),
    ],
)
def test_each_kind_of_violation_is_found(
    plan: CallPlan, end: CallEnd, times: int, found: str
) -> None:
    runs = [Run("reg-1", plan.request_id, "", plan.method, RunEnd.DONE)] * times
    lines = find_violations([CallResult(plan, end)], runs, [UpstreamStats("reg-1", 4)])
    assert [found in line for line in lines] == ([True] if found else [])


def test_requests_above_the_slots_are_a_violation() -> None:
    lines = find_violations([], [], [UpstreamStats("reg-1", 4, over_slots=2)])
    assert lines == ["reg-1: 2 requests received with all 4 slots in use"]
