"""A planned stop of the gateway's process under more load than its upstream serves."""

import asyncio
import contextlib
import signal
import time

from gateway_process import entry, running_gateway
from store_standin import store_standin

from gooseberryport_core.gateway.stopping import serving_time_s
from gooseberryport_gateway.gateway import (
    LAST_REPLIES_POLLS,
    STOP_POLL_INTERVAL_S,
)
from gooseberryport_standins.streams import open_stream, start_stream_server

WORK_S = 2.0
SLOTS = 4
GRACE_S = 4
PER_S = 12.0
STOP_AT_S = 4.0
ACTION = {"service": "s", "timeoutMs": 8000, "maxAttempts": 2}
RULE = {"kind": "safe", "aimMs": 6000, "match": {"pathPrefix": "/a/"}, "action": ACTION}
CONFIG = {
    "version": 1,
    "listeners": [{"host": "h.example", "rules": [RULE]}],
    "clusters": [{"name": "s"}],
}


class QueueingUpstream:
    """Has slots and a queue in order of arrival; says so if a deadline passes in the queue."""

    def __init__(self):
        self.slots = asyncio.Semaphore(SLOTS)
        self.arrived = {}
        self.begun = {}

    async def serve(self, reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).lower()
                request_id = field(head, b"request-id")
                deadline = time.monotonic() + int(field(head, b"request-deadline")) / 1000.0
                self.arrived[request_id] = time.monotonic()
                answer = b"HTTP/1.1 503 Full\r\nNot-Executed: deadline\r\nContent-Length: 0\r\n"
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(deadline - time.monotonic()):
                        await self.slots.acquire()
                    self.begun[request_id] = time.monotonic()
                    try:
                        await asyncio.sleep(WORK_S)
                    finally:
                        self.slots.release()
                    answer = b"HTTP/1.1 200 OK\r\nResponse-Signature: s\r\nContent-Length: 0\r\n"
                writer.write(answer + b"Request-Id: " + request_id + b"\r\n\r\n")


def field(head, name):
    return head.partition(name + b": ")[2].partition(b"\r\n")[0]


async def send(port, request_id):
    """Send a safe request on a new connection; return its status, or None without an answer."""
    with contextlib.suppress(OSError, asyncio.IncompleteReadError):
        async with open_stream(port) as (reader, writer):
            head = f"GET /a/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {request_id}\r\n"
            writer.write(f"{head}Request-Deadline: 12000\r\n\r\n".encode())
            answer = await reader.readuntil(b"\r\n\r\n")
            return int(answer.split(b" ")[1])
    return None


# Guards against requests that wait at an upstream, unanswered, when the process exits (review/4).
def test_no_request_that_was_passed_on_loses_its_answer_in_a_planned_stop(tmp_path):
    async def main():
        upstream = QueueingUpstream()
        server = await start_stream_server(upstream.serve)
        async with (
            store_standin() as (standin, _),
            running_gateway(tmp_path, standin.port, grace_s=GRACE_S) as gateway,
        ):
            await standin.put("op/config", CONFIG)
            await standin.put("servers/u1", entry(server.sockets[0].getsockname()[1]))
            await gateway.until_ready()
            tasks, sent_at, term_at = {}, {}, None
            began_at = time.monotonic()
            for number in range(int((STOP_AT_S + GRACE_S * 0.3) * PER_S)):
                await asyncio.sleep(max(began_at + number / PER_S - time.monotonic(), 0.0))
                if term_at is None and time.monotonic() - began_at >= STOP_AT_S:
                    term_at = time.monotonic()
                    gateway.process.send_signal(signal.SIGTERM)
                request_id = f"p{number}"
                sent_at[request_id] = time.monotonic()
                tasks[request_id] = asyncio.create_task(send(gateway.ports["front"], request_id))
            statuses = {name: await task for name, task in tasks.items()}
            assert await asyncio.wait_for(gateway.process.wait(), GRACE_S) == 0
            exit_at = time.monotonic()
        server.close()
        assert exit_at - term_at < GRACE_S
        assert term_at - began_at >= STOP_AT_S
        assert set(statuses.values()) <= {200, 503, 504}
        begun = {name.decode() for name in upstream.begun}
        assert not [name for name in begun if statuses[name] == 503]
        late = [name for name in sent_at if sent_at[name] > term_at + 0.1]
        assert not [
            name for name in late if name.encode() in upstream.arrived and name not in begun
        ]

    asyncio.run(asyncio.wait_for(main(), 60))


# Guards against connections that are closed without an answer because the machine was busy or
# paused at the end of the stop, when open requests get their final replies (review/4).
def test_a_process_that_is_paused_over_its_last_replies_still_writes_them(tmp_path):
    async def main():
        upstream = QueueingUpstream()
        upstream.slots = asyncio.Semaphore(0)
        server = await start_stream_server(upstream.serve)
        async with (
            store_standin() as (standin, _),
            running_gateway(tmp_path, standin.port, grace_s=GRACE_S) as gateway,
        ):
            await standin.put("op/config", CONFIG)
            await standin.put("servers/u1", entry(server.sockets[0].getsockname()[1]))
            await gateway.until_ready()
            tasks = [
                asyncio.create_task(send(gateway.ports["front"], f"w{number}"))
                for number in range(SLOTS)
            ]
            async with asyncio.timeout(5):
                while len(upstream.arrived) < len(tasks):
                    await asyncio.sleep(0.02)
            gateway.process.send_signal(signal.SIGTERM)
            await asyncio.sleep(serving_time_s(GRACE_S) - 0.3)
            gateway.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(0.6 + LAST_REPLIES_POLLS * STOP_POLL_INTERVAL_S)
            gateway.process.send_signal(signal.SIGCONT)
            statuses = [await task for task in tasks]
            assert await asyncio.wait_for(gateway.process.wait(), GRACE_S) == 0
        server.close()
        assert statuses == [504] * len(tasks)

    asyncio.run(asyncio.wait_for(main(), 60))
