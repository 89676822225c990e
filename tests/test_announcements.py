"""Upstreams that announce in their answers that they leave or pause, and real gateways."""

import asyncio
import contextlib
import random

import pytest
from gateway_process import entry, running_gateway
from store_standin import store_standin

from gooseberryport_core.gateway.announcements import MAX_PAUSE_S, Announcement
from gooseberryport_gateway._http_response import HttpResponse
from gooseberryport_site.codec import PlatformCodec
from gooseberryport_standins.streams import start_stream_server

SLOTS = 8
WORK_S = 0.05
PER_S = 40.0
SLACK_S = 0.5
MAX_REQUESTS_IN_PAUSE = 2


class AnnouncingUpstream:
    """Serves requests, and announces in its answers what it is told to."""

    def __init__(self, name):
        self.name = name
        self.leaves_at = None
        self.pauses_until = 0.0
        self.refusing = False
        self.arrived = []
        self.served = []
        self.told = {}
        self.loop = asyncio.get_running_loop()

    def pause(self, seconds):
        self.pauses_until = self.loop.time() + seconds
        self.told = {}

    async def serve(self, reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).lower()
                request_id = head.partition(b"request-id: ")[2].partition(b"\r\n")[0]
                gateway = request_id.partition(b".")[0]
                now = self.loop.time()
                self.arrived.append((now, gateway))
                lines = [b"Request-Id: " + request_id]
                if now < self.pauses_until:
                    left_s = self.pauses_until - now
                    self.told.setdefault(gateway, now)
                    lines += [b"Not-Executed: busy", b"Retry-After: %.2f" % left_s]
                    status = b"503 Busy"
                else:
                    await asyncio.sleep(WORK_S)
                    self.served.append(self.loop.time())
                    lines.append(b"Response-Signature: s")
                    status = b"200 OK"
                if self.leaves_at is not None:
                    self.told.setdefault(gateway, self.loop.time())
                    lines.append(b"Server-Leaving: 1")
                lines.append(b"Content-Length: 0")
                writer.write(b"HTTP/1.1 " + status + b"\r\n" + b"\r\n".join(lines) + b"\r\n\r\n")


@contextlib.asynccontextmanager
async def deployment(tmp_path, *, gateways, upstreams):
    rule = {
        "kind": "safe",
        "aimMs": 1000,
        "sticky": True,
        "match": {"pathPrefix": "/a/"},
        "action": {"service": "s", "timeoutMs": 3000, "maxAttempts": 2},
    }
    config = {
        "version": 1,
        "listeners": [{"host": "h.example", "rules": [rule]}],
        "clusters": [{"name": "s"}],
    }
    async with contextlib.AsyncExitStack() as stack:
        standin, _ = await stack.enter_async_context(store_standin())
        await standin.put("op/config", config)
        targets = []
        for number in range(upstreams):
            target = AnnouncingUpstream(f"u{number}")
            server = await start_stream_server(target.serve)
            stack.callback(server.close)
            target.entry = entry(server.sockets[0].getsockname()[1])
            target.entry["info"]["slots"] = SLOTS
            await standin.put(f"servers/{target.name}", target.entry)
            targets.append(target)
        running = [
            await stack.enter_async_context(
                running_gateway(tmp_path, standin.port, name=f"vm{number + 1}")
            )
            for number in range(gateways)
        ]
        for gateway in running:
            await gateway.until_ready()
        yield standin, running, targets


async def send_load(running, *, for_s, seed):
    """Send requests for random objects to all gateways; return the statuses."""
    loop = asyncio.get_running_loop()
    draw = random.Random(seed)
    ends_at = loop.time() + for_s
    tasks = []

    async def send(number, gateway, key):
        host = "Host: h.example\r\nConnection: close\r\n"
        head = f"GET /a/x HTTP/1.1\r\n{host}Request-Id: g{gateway}.{number}\r\n"
        reader, writer = await asyncio.open_connection("127.0.0.1", running[gateway].ports["front"])
        try:
            writer.write(f"{head}Cookie: Affinity-Key={key}\r\n\r\n".encode())
            return int((await reader.read()).split(b" ")[1])
        finally:
            writer.close()

    while loop.time() < ends_at:
        number = len(tasks)
        tasks.append(asyncio.create_task(send(number, number % len(running), draw.randrange(24))))
        await asyncio.sleep(draw.expovariate(PER_S))
    return list(await asyncio.gather(*tasks))


async def leaving_run(tmp_path, *, gateways, seed, kept_entry):
    """Return the requests that reached a leaving upstream too late, and the statuses."""
    async with deployment(tmp_path, gateways=gateways, upstreams=4) as (standin, running, targets):
        load = asyncio.create_task(send_load(running, for_s=5.0, seed=seed))
        await asyncio.sleep(1.5)
        leaving = targets[seed % len(targets)]
        leaving.leaves_at = leaving.loop.time()
        sequence = 2
        while not load.done():
            if kept_entry:
                leaving.entry["status"]["sequence"] = sequence
                await standin.put(f"servers/{leaving.name}", leaving.entry)
                sequence += 1
            await asyncio.wait([load], timeout=0.3)
        late = [
            at
            for at, gateway in leaving.arrived
            if gateway in leaving.told and at > leaving.told[gateway] + SLACK_S
        ]
        assert leaving.told
        return late, load.result()


async def pause_run(tmp_path, *, gateways, seed, paused=1):
    """Return the highest number of requests of a gateway in a pause, and the statuses."""
    async with deployment(tmp_path, gateways=gateways, upstreams=4) as (_, running, targets):
        load = asyncio.create_task(send_load(running, for_s=7.0, seed=seed))
        draw = random.Random(seed)
        await asyncio.sleep(1.0)
        most = 0
        pausing = [targets[(seed + number) % len(targets)] for number in range(paused)]
        for _ in range(2):
            length_s = draw.uniform(1.5, 2.0)
            for target in pausing:
                target.pause(length_s)
            await asyncio.sleep(length_s + 0.8)
            for target in pausing:
                for gateway, told_at in target.told.items():
                    in_pause = [
                        at
                        for at, sender in target.arrived
                        if sender == gateway and told_at + SLACK_S < at < target.pauses_until
                    ]
                    most = max(most, len(in_pause))
        assert all(target.told for target in pausing)
        statuses = await load
        assert all(target.served[-1] > target.pauses_until for target in pausing)
        return most, statuses


def run(coroutine):
    return asyncio.run(asyncio.wait_for(coroutine, 60))


# Guards against requests to an upstream that said in its answers only that it leaves.
@pytest.mark.parametrize(("gateways", "kept_entry"), [(1, True), (2, False)])
def test_an_upstream_that_announces_its_leaving_gets_no_more_requests(
    gateways, kept_entry, tmp_path
):
    late, statuses = run(leaving_run(tmp_path, gateways=gateways, seed=1, kept_entry=kept_entry))
    assert late == []
    assert set(statuses) == {200}


# Guards against requests to an upstream that refused with a time for which it wants none.
@pytest.mark.parametrize("gateways", [1, 2])
def test_an_upstream_that_pauses_gets_at_most_two_requests_and_callers_none_of_its_refusals(
    gateways, tmp_path
):
    most, statuses = run(pause_run(tmp_path, gateways=gateways, seed=1))
    assert most <= MAX_REQUESTS_IN_PAUSE
    assert set(statuses) == {200}


# Guards against callers that wait while no upstream wants requests.
def test_while_all_upstreams_pause_callers_are_refused_at_once(tmp_path):
    async def main():
        async with deployment(tmp_path, gateways=1, upstreams=2) as (_, running, targets):
            for target in targets:
                target.pause(3.0)
            await send_load(running, for_s=0.8, seed=1)
            loop = asyncio.get_running_loop()
            reader, writer = await asyncio.open_connection("127.0.0.1", running[0].ports["front"])
            started = loop.time()
            writer.write(
                b"GET /a/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: g0.x\r\n"
                b"Cookie: Affinity-Key=1\r\nConnection: close\r\n\r\n"
            )
            answer = (await reader.read()).lower()
            writer.close()
            assert loop.time() - started < 0.2
            assert answer.startswith(b"http/1.1 503")
            retry_s = float(answer.partition(b"retry-after: ")[2].partition(b"\r\n")[0])
            expected_s = min(target.pauses_until for target in targets) - loop.time()
            assert expected_s <= retry_s <= expected_s + 1.0
            await asyncio.sleep(expected_s + 0.5)
            assert set(await send_load(running, for_s=0.5, seed=2)) <= {200, 503}
            assert set(await send_load(running, for_s=0.5, seed=3)) == {200}

    run(main())


def response(status, **fields):
    headers = [(name.replace("_", "-").encode(), value.encode()) for name, value in fields.items()]
    return HttpResponse(status=status, headers=headers, body=b"")


@pytest.mark.parametrize(
    ("answer", "leaving", "pause_s"),
    [
        (response(200, response_signature="s"), False, None),
        (response(200, response_signature="s", server_leaving="1"), True, None),
        (response(500, response_signature="s", server_leaving="1"), True, None),
        (response(503, not_executed="full", server_leaving="1"), True, None),
        (response(503, instance_id="u1", server_leaving="1"), True, None),
        (response(503, not_executed="full", retry_after="1.5"), False, 1.5),
        (response(503, response_signature="s", retry_after="2"), False, 2.0),
        (response(503, not_executed="x", retry_after="2", server_leaving="1"), True, 2.0),
        (response(503, not_executed="x", retry_after="1e9"), False, MAX_PAUSE_S),
        (response(503, not_executed="x", retry_after="0"), False, None),
        (response(429, not_executed="x", retry_after="2"), False, None),
        (response(421, server_leaving="1", not_executed="x"), False, None),
        (response(200, response_signature="s", server_leaving="0"), False, None),
    ],
)
def test_announcements_are_decoded(answer, leaving, pause_s):
    wanted = Announcement(leaving=leaving, pause_s=pause_s)
    assert PlatformCodec().announcement(answer) == wanted


@pytest.mark.parametrize(
    "answer",
    [
        response(200, server_leaving="1"),
        response(503, retry_after="100"),
        response(200, response_signature="s", server_leaving="yes"),
        response(503, not_executed="x", retry_after="-1"),
        response(503, not_executed="x", retry_after="nan"),
        response(503, not_executed="x", retry_after="Sat, 05 Dec 2026 18:00:00 GMT"),
    ],
)
def test_malformed_and_spoiled_announcements_are_ignored_with_a_reason(answer):
    decoded = PlatformCodec().announcement(answer)
    assert not decoded.leaving
    assert decoded.pause_s is None
    assert decoded.ignored
