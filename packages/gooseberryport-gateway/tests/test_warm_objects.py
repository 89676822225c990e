"""Identity and order of use of objects at one gateway, and what it reports of them."""

import asyncio

import msgspec
from gateway_harness import (
    GatewayHarness,
    make_config,
    make_request,
    make_response,
    run,
    send_request,
    start_gateway,
    start_upstream,
)

from gooseberryport_core.gateway.model import Member
from gooseberryport_core.gateway.routing import RouteTable
from gooseberryport_core.gateway.warmth import MAX_WARM_OBJECTS, WarmthTracker, hash_object_key
from gooseberryport_gateway._attempts import Job
from gooseberryport_gateway._metrics import Metrics
from gooseberryport_gateway._peers import Peers
from gooseberryport_gateway._warm_objects import (
    MAX_USE_BYTES_PER_ROUND,
    WarmObjects,
    identify,
)
from gooseberryport_standins.samples import make_route

SECOND = make_route(name="second", prefix="/b/")


def test_routes_of_a_service_have_objects_of_their_own_and_keep_them():
    # Guards against an upstream taken for warm because of the other route's object, changed marks
    # where a service has one route, and cold objects after a second route came.
    async def main():
        async with (
            start_upstream(lambda head, _: make_response(head)) as upstream,
            start_gateway(make_route()) as gateway,
        ):
            state = gateway.state
            gateway.put_upstream("u1", upstream.port)
            assert (await send_request(gateway, make_request()))[0] == 200
            assert state.warmth.objects("u1") == (hash_object_key("7"),)
            state.apply_config(make_config(make_route(), SECOND, version=2))
            first = Job(None, b"", make_route(), "s", "7", 0.0)
            second = Job(None, b"", SECOND, "s", "7", 0.0)
            for job in (first, second):
                identify(job, state.routes)
            assert state.warm_objects.homes(first) == {"u1"}
            assert state.warm_objects.homes(second) == set()
            for path in (b"/a/x", b"/b/x"):
                assert (await send_request(gateway, make_request(path=path)))[0] == 200
            assert state.warmth.objects("u1") == (first.marks[0], second.marks[0])

    run(main())


def test_unexpectedly_cold_request_corrects_what_is_known_of_its_upstream():
    # Guards against sending further requests by an estimate that was just seen to be wrong.
    routes = RouteTable(make_config(make_route()))
    tracker = WarmthTracker()
    warm = WarmObjects(tracker=tracker, metrics=Metrics())
    jobs = [Job(None, b"", make_route(), "s", f"o{number}", 0.0) for number in range(20)]
    for job in jobs:
        identify(job, routes)
    now = 0.0

    def send(job, took_s):
        nonlocal now
        now += 1.0
        job.warm = tracker.is_warm("u1", job.marks[0])
        warm.record_send(job, "u1", now=now)
        return warm.record_duration(job, "u1", took_s=took_s, now=now)

    for _ in range(20):
        send(jobs[0], 0.3)
    for job in jobs:
        send(job, 0.3)
    tracker.mark_saved(["u1"])
    assert not send(jobs[14], 0.9)
    known = [tracker.is_warm("u1", job.marks[0]) for job in jobs]
    assert known == [False] * 8 + [True] * 12
    assert send(jobs[17], 0.3)
    assert not tracker.unsaved()


def test_capacity_is_not_used_while_most_of_the_order_is_unreported():
    # Guards against taking objects for evicted that other gateways keep in use.
    tracker = WarmthTracker()
    warm = WarmObjects(tracker=tracker, metrics=Metrics())
    warm.capacities.capacity = lambda service: 9

    def use_and_report(listeners):
        for mark in range(20):
            tracker.record("u1", mark, now=0.0, observed_here=True)
        warm.take_used(listeners=listeners)
        return warm.capacity("s")

    assert use_and_report(30) == 9
    assert [use_and_report(30) for _ in range(100)][-1] == MAX_WARM_OBJECTS
    assert [use_and_report(1) for _ in range(100)][-1] == 9


class Datagrams:
    def __init__(self):
        self.sent = []

    def sendto(self, data, address):
        self.sent.append(data)


async def make_reporting_gateway(vm):
    gateway = GatewayHarness(vm=vm)
    gateway.state.apply_config(make_config(make_route()))
    peers, datagrams = Peers(state=gateway.state), Datagrams()
    peers.connection_made(datagrams)
    now = asyncio.get_running_loop().time()
    others = [Member(f"vm{n}", "a1", "A", "127.0.0.1:1", ("127.0.0.1", n), 1) for n in (1, 2)]
    gateway.state.fleet.set_listed(others, now=now)
    gateway.state.record_client_request(now=now)
    for number in range(20):
        gateway.put_upstream(f"u{number}", 1)
        for mark in range(12):
            gateway.state.warmth.record(
                f"u{number}", mark * 2**27, now=now - 9.0, observed_here=False
            )
    return gateway, peers, datagrams


def test_order_of_use_reaches_other_gateways_within_a_bounded_number_of_bytes():
    # Guards against gateways that know only their own part of the order, and against control
    # traffic without a bound.
    async def main():
        (one, peers, datagrams), (two, other_peers, _) = [
            await make_reporting_gateway(vm) for vm in ("vm1", "vm2")
        ]
        hello = msgspec.msgpack.encode(["vm2", 1, True, {}])
        peers.datagram_received(hello, ("127.0.0.1", 2))
        peers.send(round_number=1)
        plain, extra = len(datagrams.sent[-1]), []
        for per_round in (5, 200):
            for number in range(per_round):
                one.state.warmth.record(
                    f"u{number % 20}", number // 20 * 2**27, now=0.0, observed_here=True
                )
            datagrams.sent.clear()
            peers.send(round_number=1)
            assert len(datagrams.sent) == 1
            extra.append(len(datagrams.sent[0]) - plain)
            other_peers.datagram_received(datagrams.sent[0], ("127.0.0.1", 1))
            if per_round == 5:
                assert two.state.warmth.objects("u4") == one.state.warmth.objects("u4")
        assert 0 < extra[0] * 5 < 300
        assert extra[1] <= MAX_USE_BYTES_PER_ROUND
        peers.send(round_number=1)
        assert len(datagrams.sent[-1]) <= plain + 1
        assert not two.state.warmth.recent_updates(now=0.0)

    run(main())
