"""Tests of the gateway's process against a stand-in store and upstreams on loopback."""

import asyncio
import contextlib
import json
import signal
from pathlib import Path

import pytest
from gateway_process import (
    READY_S,
    entry,
    routing_config,
    running_gateway,
    signals,
    slow_upstream,
    start_gateway,
    status_once_listening,
    until_protected,
)
from store_standin import store_standin

from gooseberryport_standins.streams import open_stream, start_stream_server


def test_process_serves_reloads_and_stops_without_losing_an_answer(tmp_path):
    async def main():
        async with (
            store_standin() as (standin, _),
            slow_upstream(0.5) as upstream_port,
            running_gateway(tmp_path, standin.port) as gateway,
        ):
            assert (await status_once_listening(gateway, "front", "/a/x")) == 503
            await standin.put("op/config", routing_config())
            await standin.put("servers/u1", entry(upstream_port))
            await gateway.until_ready()
            async with asyncio.timeout(5):
                while (await gateway.get("front", "/a/x"))[0] != 200:
                    await asyncio.sleep(0.05)
            assert (await gateway.get("front", "/none/"))[0] == 404
            status, body = await gateway.get("directory", "/v1/resolve?name=h&region=A&zone=a")
            assert status == 200
            assert json.loads(body)["addresses"] == [f"127.0.0.1:{gateway.ports['front']}"]
            assert b"gooseberryport_requests_total" in (await gateway.get("control", "/metrics"))[1]
            gateway.process.send_signal(signal.SIGHUP)
            pending = [
                asyncio.create_task(gateway.get("front", "/a/x", request_id=f"r{index}"))
                for index in range(6)
            ]
            await asyncio.sleep(0.2)
            gateway.process.send_signal(signal.SIGTERM)
            assert [await answer for answer in pending] == [(200, b"body")] * 6
            assert (await gateway.get("ready", "/v1/ready"))[0] == 503
            assert await asyncio.wait_for(gateway.process.wait(), 4.5) == 0
            assert not [key for key in standin.items if key.startswith("gooseberryport/")]
        lines = [json.loads(line) for line in (tmp_path / "log").read_text().splitlines()]
        events = [line["event"] for line in lines]
        assert events[0] == "gateway_started"
        assert events[-1] == "gateway_stopped"
        assert "gateway_settings_reloaded" in events
        assert [line for line in lines if line.get("request") == "r3"]

    asyncio.run(asyncio.wait_for(main(), 60))


def test_changed_settings_are_applied_with_and_without_a_signal(tmp_path):
    async def until_logged(number):
        async with asyncio.timeout(READY_S):
            while True:
                lines = [json.loads(line) for line in (tmp_path / "log").read_text().splitlines()]
                found = [line for line in lines if line["event"].startswith("gateway_settings_re")]
                if len(found) >= number:
                    return found[number - 1]
                await asyncio.sleep(0.05)

    async def main():
        async with (
            store_standin() as (standin, _),
            running_gateway(tmp_path, standin.port) as gateway,
        ):
            await status_once_listening(gateway, "ready", "/v1/ready")
            gateway.change_settings(seeds=["127.0.0.1:9"])
            assert (await until_logged(1))["changed"] == "seeds"
            gateway.change_settings(bounds={"graceS": "soon"})
            gateway.process.send_signal(signal.SIGHUP)
            assert "graceS" in (await until_logged(2))["error"]
            gateway.change_settings(bounds={"graceS": 3}, nodeName="other")
            gateway.process.send_signal(signal.SIGHUP)
            line = await until_logged(3)
            assert (line["changed"], line["needs_restart"]) == ("bounds", "vm")
            gateway.process.send_signal(signal.SIGTERM)
            assert await asyncio.wait_for(gateway.process.wait(), 5) == 0

    asyncio.run(asyncio.wait_for(main(), 60))


def test_invalid_settings_exit_with_2(tmp_path):
    async def main():
        path = tmp_path / "settings.json"
        path.write_text('{"nodeName": 5}')
        process = await start_gateway(path, stderr=asyncio.subprocess.PIPE)
        _, errors = await asyncio.wait_for(process.communicate(), 20)
        assert process.returncode == 2
        assert b"nodeName" in errors

    asyncio.run(main())


@pytest.mark.parametrize("ignored_by_supervisor", [False, True])
def test_only_the_supervisor_can_protect_a_process_before_its_first_line(
    ignored_by_supervisor, tmp_path
):
    """A SIGHUP that comes while the interpreter starts kills the process unless it is ignored."""

    # The process that runs the tests may ignore SIGHUP itself, and its children inherit this.
    action = signal.SIG_IGN if ignored_by_supervisor else signal.SIG_DFL

    def set_action():
        signal.signal(signal.SIGHUP, action)

    async def main():
        path = tmp_path / "settings.json"
        path.write_text('{"nodeName": 5}')
        # The interpreter imports this module before the gateway's first line.
        started = tmp_path / "started"
        (tmp_path / "sitecustomize.py").write_text(
            f"import pathlib, time\npathlib.Path({str(started)!r}).touch()\ntime.sleep(2)\n"
        )
        process = await start_gateway(
            path,
            python_path=[tmp_path],
            stderr=asyncio.subprocess.PIPE,
            preexec_fn=set_action,
        )
        async with asyncio.timeout(READY_S):
            while not started.exists():
                await asyncio.sleep(0.01)
        process.send_signal(signal.SIGHUP)
        await asyncio.wait_for(process.communicate(), 20)
        return process.returncode

    assert asyncio.run(main()) == (2 if ignored_by_supervisor else -signal.SIGHUP)


def test_signals_during_startup_do_not_kill_the_process(tmp_path):
    async def main():
        async with (
            store_standin() as (standin, _),
            running_gateway(tmp_path, standin.port) as gateway,
        ):
            process = gateway.process
            await until_protected(process, signal.SIGHUP)
            process.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.01)
            assert process.returncode is None
            async with asyncio.timeout(READY_S):
                while signal.SIGTERM not in signals(process.pid, "SigCgt:"):
                    await asyncio.sleep(0.001)
            process.send_signal(signal.SIGTERM)
            assert await asyncio.wait_for(process.wait(), 6) == 0

    asyncio.run(asyncio.wait_for(main(), 60))


MAX_PEAK_MB = 60
MAX_SERVICES_PEAK_MB = 133
"""Two thirds of the memory of the smallest VM of the users."""
ENDLESS_RESPONSES = [
    (b"HTTP/1.1 200 OK\r\n", b"a: b\r\n" * 2000),
    (b"HTTP/1.1 200 OK\r\nA: ", b"x" * 16_384),
    (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 500),
    (b"HTTP/1.1 200 OK\r\n\r\n", b"x" * 65_536),
    (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", b"a: b\r\n" * 2000),
    (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;", b"x" * 16_384),
]


@contextlib.asynccontextmanager
async def endless_upstreams(count):
    """Start upstreams that send bytes that are no answer until the gateway closes."""

    def make_server(first, block):
        async def serve(reader, writer):
            with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
                await reader.readuntil(b"\r\n\r\n")
                writer.write(first)
                while True:
                    writer.write(block)
                    await writer.drain()

        return start_stream_server(serve)

    servers = [
        await make_server(*ENDLESS_RESPONSES[index % len(ENDLESS_RESPONSES)])
        for index in range(count)
    ]
    try:
        yield [server.sockets[0].getsockname()[1] for server in servers]
    finally:
        for server in servers:
            server.close()


def peak_mb(pid):
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) / 1024
    raise AssertionError("the process has ended")


def test_endless_upstreams_take_neither_the_memory_nor_other_services_answers(tmp_path):
    def rule(prefix, service):
        action = {"service": service, "timeoutMs": 3000, "maxAttempts": 2}
        return {"kind": "safe", "match": {"pathPrefix": prefix}, "action": action}

    rules = [rule("/a/", "s"), rule("/b/", "t")]
    config = {
        "version": 1,
        "listeners": [{"host": "h.example", "rules": rules}],
        "clusters": [{"name": "s"}, {"name": "t"}],
    }

    async def main():
        async with (
            store_standin() as (standin, _),
            endless_upstreams(20) as endless_ports,
            slow_upstream(0.01) as good_port,
            running_gateway(tmp_path, standin.port) as gateway,
        ):
            for index, port in enumerate(endless_ports):
                await standin.put(f"servers/e{index}", entry(port))
            await standin.put("servers/good", entry(good_port, service="t"))
            await standin.put("op/config", config)
            await gateway.until_ready()
            async with asyncio.timeout(5):
                while (await gateway.get("front", "/b/x"))[0] != 200:
                    await asyncio.sleep(0.05)
            loop = asyncio.get_running_loop()
            bad = [
                asyncio.create_task(gateway.get("front", "/a/x", request_id=f"bad{index}"))
                for index in range(60)
            ]
            times = []
            for index in range(40):
                started = loop.time()
                assert (await gateway.get("front", "/b/x", request_id=f"b{index}"))[0] == 200
                times.append(loop.time() - started)
            assert {status for status, _ in await asyncio.gather(*bad)} <= {502, 503, 504}
            assert sorted(times)[len(times) // 2] < 0.5
            assert peak_mb(gateway.process.pid) < MAX_PEAK_MB
            assert gateway.process.returncode is None

    asyncio.run(asyncio.wait_for(main(), 60))


# Guards against other gateways' addresses, or the store, that answer without end.
def test_endless_answers_of_services_do_not_take_the_memory(tmp_path):
    async def main():
        async with (
            endless_upstreams(24) as endless_ports,
            running_gateway(tmp_path, endless_ports[3]) as gateway,
        ):
            await status_once_listening(gateway, "ready", "/v1/ready")
            endless_bodies = endless_ports[3::6]
            gateway.change_settings(seeds=[f"127.0.0.1:{port}" for port in endless_bodies])
            gateway.process.send_signal(signal.SIGHUP)
            for _ in range(12):
                await asyncio.sleep(0.5)
                assert gateway.process.returncode is None
            assert peak_mb(gateway.process.pid) < MAX_SERVICES_PEAK_MB

    asyncio.run(asyncio.wait_for(main(), 60))


def test_requests_that_come_late_in_a_stop_are_not_taken_and_then_cut(tmp_path):
    """A client that keeps its connection busy: each request that ran gets its whole answer."""
    ran = []

    async def serve(reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                request_id = head.lower().partition(b"request-id: ")[2].partition(b"\r\n")[0]
                ran.append(request_id)
                await asyncio.sleep(0.4)
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nResponse-Signature: s\r\n"
                    b"Request-Id: " + request_id + b"\r\n\r\nbody"
                )

    async def send_requests(writer):
        with contextlib.suppress(ConnectionError):
            for number in range(200):
                head = f"POST /a/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: late{number}\r\n"
                head += "Request-Deadline: 3000\r\nContent-Length: 0\r\n\r\n"
                writer.write(head.encode())
                await asyncio.sleep(0.1)

    async def main():
        server = await start_stream_server(serve)
        async with (
            store_standin() as (standin, _),
            running_gateway(tmp_path, standin.port) as gateway,
        ):
            await standin.put("op/config", routing_config())
            slots = {"service": "s", "version": "v1", "zone": "a", "slots": 20}
            await standin.put(
                "servers/u1", entry(server.sockets[0].getsockname()[1]) | {"info": slots}
            )
            await gateway.until_ready()
            async with open_stream(gateway.ports["front"]) as (reader, writer):
                sender = asyncio.create_task(send_requests(writer))
                await asyncio.sleep(1.0)
                gateway.process.send_signal(signal.SIGTERM)
                answers = await reader.read()
                sender.cancel()
            assert await asyncio.wait_for(gateway.process.wait(), 5) == 0
        server.close()
        answered = answers.lower().count(b"response-signature: s\r\n")
        assert answers.endswith(b"body")
        assert len(ran) > 10
        assert answered == len(ran)

    asyncio.run(asyncio.wait_for(main(), 60))


def test_stopped_gateway_leaves_no_stream_open(tmp_path, monkeypatch):
    """In development mode the interpreter reports transports that were not closed."""
    monkeypatch.setenv("PYTHONDEVMODE", "1")

    async def main():
        async with (
            store_standin() as (standin, _),
            slow_upstream(0.01) as upstream_port,
            running_gateway(tmp_path, standin.port, stderr=asyncio.subprocess.PIPE) as gateway,
        ):
            await standin.put("op/config", routing_config())
            await standin.put("servers/u1", entry(upstream_port))
            await gateway.until_ready()
            async with asyncio.timeout(5):
                while (await gateway.get("front", "/a/x"))[0] != 200:
                    await asyncio.sleep(0.05)
            async with open_stream(gateway.ports["front"]), open_stream(gateway.ports["ready"]):
                gateway.process.send_signal(signal.SIGTERM)
                _, errors = await asyncio.wait_for(gateway.process.communicate(), 8)
            assert gateway.process.returncode == 0
            assert errors.decode().splitlines() == []

    asyncio.run(asyncio.wait_for(main(), 60))
