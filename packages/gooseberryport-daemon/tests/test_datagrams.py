import asyncio
import socket

from daemon_harness import WAIT_TIMEOUT_S, Deployment, wait_until

from gooseberryport_core.effects import SendMessage
from gooseberryport_core.log_events import LogNumber
from gooseberryport_core.messages import MAX_DATAGRAM_BYTES, ConfigPiece, PullReply, encode_message
from gooseberryport_daemon._datagrams import Datagrams
from gooseberryport_daemon._metrics import open_metrics
from gooseberryport_daemon._timers import open_timers


def test_invalid_datagram_is_logged_and_ignored(single_daemon: Deployment) -> None:
    daemon = single_daemon.daemons[0]
    host, _, port = daemon.peer.rpartition(":")
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        for data in (b"", b"garbage", b"\x00" * 60_000):
            sock.sendto(data, (host, int(port)))
    wait_until(lambda: sum(e.number == LogNumber.DATAGRAM_REFUSED for e in daemon.logs) >= 2)
    assert daemon.owns_upstreams()


def test_messages_arrive_and_too_long_ones_are_not_sent() -> None:
    async def run() -> None:
        arrived: asyncio.Queue[object] = asyncio.Queue()
        too_long: list[int] = []
        loop = asyncio.get_running_loop()

        def make() -> Datagrams:
            return Datagrams(
                on_message=lambda event: arrived.put_nowait(event.message),
                on_refused=lambda sender: arrived.put_nowait(sender),
                on_too_long=lambda effect, length: too_long.append(length),
            )

        transport, datagrams = await loop.create_datagram_endpoint(
            make, local_addr=("127.0.0.1", 0)
        )
        host, port = transport.get_extra_info("sockname")
        reply = PullReply(7)
        long = ConfigPiece(1, "", 0, 1, b"x" * MAX_DATAGRAM_BYTES)
        datagrams.send(SendMessage(f"{host}:{port}", long))
        datagrams.send(SendMessage(f"{host}:{port}", reply))
        assert await asyncio.wait_for(arrived.get(), WAIT_TIMEOUT_S) == reply
        assert len(too_long) == 1 and too_long[0] > MAX_DATAGRAM_BYTES
        assert (datagrams.take_sent_count(), datagrams.take_sent_count()) == (1, 0)
        assert datagrams.take_sent_bytes() == len(encode_message(reply))
        datagrams.close()

    asyncio.run(run())


def test_metrics_are_sent_in_one_batch() -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
        server.bind(("127.0.0.1", 0))
        server.settimeout(WAIT_TIMEOUT_S)
        host, port = server.getsockname()
        with open_metrics(address=f"{host}:{port}", vm="vm-1") as metrics:
            for _ in range(3):
                metrics.count("retries")
            metrics.time("attempt", 0.25)
            metrics.gauge("callers.waiting", 2)
            metrics.flush()
            lines = server.recv(65_536).decode().splitlines()
    assert sorted(lines) == [
        "gooseberryport.vm-1.attempt:250.000000|ms",
        "gooseberryport.vm-1.callers.waiting:2|g",
        "gooseberryport.vm-1.retries:3|c",
    ]


def test_timers_continue_after_an_exception_and_stop_with_their_context() -> None:
    async def run() -> None:
        loop = asyncio.get_running_loop()
        faults: list[dict] = []
        loop.set_exception_handler(lambda _, context: faults.append(context))
        enough = asyncio.Event()
        calls: list[int] = []

        def call() -> None:
            calls.append(1)
            if len(calls) >= 3:
                enough.set()
            raise ValueError("on purpose")

        with open_timers(loop) as timers:
            timers.every(0.001, call)
            await asyncio.wait_for(enough.wait(), WAIT_TIMEOUT_S)
        count = len(calls)
        await asyncio.sleep(0.01)
        assert len(calls) == count == len(faults)

    asyncio.run(run())
