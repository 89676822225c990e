"""Responses beyond the memory that the settings state, with a gateway's process."""

import asyncio
import contextlib
import json
import signal
import socket

from gateway_process import entry, routing_config, running_gateway
from store_standin import store_standin
from test_site_process import peak_mb

from gooseberryport_standins.streams import open_stream, start_stream_server

BODY = b"x" * 7_000_000
MEMORY_MB = 152
"""Memory of the smallest VM of the users; MB."""


@contextlib.asynccontextmanager
async def large_upstream():
    async def serve(reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                request_id = head.lower().partition(b"request-id: ")[2].partition(b"\r\n")[0]
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\nResponse-Signature: s\r\n"
                    b"Request-Id: %s\r\n\r\n" % (len(BODY), request_id)
                )
                for start in range(0, len(BODY), 100_000):
                    writer.write(BODY[start : start + 100_000])
                    await writer.drain()

    server = await start_stream_server(serve)
    try:
        yield server.sockets[0].getsockname()[1]
    finally:
        server.close()


def request(number):
    return (
        f"POST /a/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: id{number}\r\n"
        "Request-Deadline: 20000\r\nContent-Length: 0\r\n\r\n"
    ).encode()


async def read_reply(port, number):
    """Return the status of a reply and the size of its body, which is read at once."""
    async with open_stream(port) as (reader, writer):
        writer.write(request(number))
        head = await reader.readuntil(b"\r\n\r\n")
        left = size = int(head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0])
        while left and (data := await reader.read(262_144)):
            left -= len(data)
        return int(head.split(b" ")[1]), size - left


def config():
    document = routing_config()
    document["listeners"][0]["rules"][0]["action"]["timeoutMs"] = 20_000
    return document | {"limits": {"idleTimeoutMs": 1000}}


# Guards against responses and slow clients that take the memory of a small VM: a process that is
# killed for it, responses of others that are given up, and a loss that no log line explains.
def test_responses_stay_within_the_memory_and_slow_clients_are_logged(tmp_path):
    async def main():
        async with (
            store_standin() as (standin, _),
            large_upstream() as upstream_port,
            running_gateway(tmp_path, standin.port, limits={"memoryMb": MEMORY_MB}) as gateway,
            contextlib.AsyncExitStack() as clients,
        ):
            slots = {"service": "s", "version": "v1", "zone": "a", "slots": 200}
            await standin.put("servers/u1", entry(upstream_port) | {"info": slots})
            await standin.put("op/config", config())
            await gateway.until_ready()
            port = gateway.ports["front"]
            for number in range(3):
                sock = clients.enter_context(contextlib.closing(socket.socket()))
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
                sock.connect(("127.0.0.1", port))
                sock.send(request(number) + request(100 + number) + request(200 + number))
            metrics, number = b"", 300
            while b"\ngooseberryport_slow_clients_total 0" in metrics or not metrics:
                numbers = range(number, number + 20)
                replies = await asyncio.gather(*(read_reply(port, n) for n in numbers))
                assert replies == [(200, len(BODY))] * 20
                metrics, number = (await gateway.get("control", "/metrics"))[1], number + 20
            assert b"\ngooseberryport_response_bytes" in metrics
            assert peak_mb(gateway.process.pid) < MEMORY_MB * 2 / 3
            gateway.process.send_signal(signal.SIGTERM)
            await asyncio.wait_for(gateway.process.wait(), 8)
        lines = [json.loads(line) for line in (tmp_path / "log").read_text().splitlines()]
        slow = [line for line in lines if line["event"] == "gateway_client_disconnected"]
        assert 1 <= len(slow) <= 3
        assert all(line["unread_bytes"] > 0 and line["stalled_ms"] >= 1000 for line in slow)
        assert {line["client"].partition(":")[0] for line in slow} == {"127.0.0.1"}

    asyncio.run(asyncio.wait_for(main(), 60))
