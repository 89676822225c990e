"""Signals to stop in other moments than while a gateway serves whole requests."""

import asyncio
import contextlib
import signal
import socket

import pytest
from gateway_process import (
    READY_S,
    entry,
    routing_config,
    running_gateway,
    slow_upstream,
    status_once_listening,
)
from store_standin import store_standin

from gooseberryport_core.gateway.stopping import accepting_time_s
from gooseberryport_standins.streams import open_stream

GRACE_S = 4
LATEST_COUNTED_S = 3.0
"""Time after the signal from which callers of accepted requests count on an answer; seconds."""
POST = b"POST /a/x HTTP/1.1\r\nHost: h.example\r\nRequest-Deadline: 3000\r\n"


def run(coroutine):
    asyncio.run(asyncio.wait_for(coroutine, 60))


@contextlib.asynccontextmanager
async def serving_gateway(tmp_path, *, work_s, grace_s=GRACE_S):
    async with (
        store_standin() as (standin, _),
        slow_upstream(work_s) as port,
        running_gateway(tmp_path, standin.port, grace_s=grace_s) as gateway,
    ):
        await standin.put("op/config", routing_config())
        await standin.put("servers/u1", entry(port))
        await gateway.until_ready()
        async with asyncio.timeout(READY_S):
            while (await gateway.get("front", "/a/x"))[0] != 200:
                await asyncio.sleep(0.05)
        yield gateway, standin


async def end_of(gateway):
    """Return the exit status; the process must end within its grace time."""
    return await asyncio.wait_for(gateway.process.wait(), GRACE_S)


def statuses(data):
    return [int(part.split(b" ")[0]) for part in data.split(b"HTTP/1.1 ")[1:]]


# Guards against a client that still sends its request when the process exits, and whose connection
# is closed without an answer.
@pytest.mark.parametrize(
    "part", [POST[:20], POST + b"Content-Length: 9\r\n\r\nhalf"], ids=["head", "body"]
)
@pytest.mark.parametrize("starting", [False, True], ids=["serving", "starting"])
def test_a_request_that_is_not_complete_at_the_exit_is_answered(part, starting, tmp_path):
    async def main():
        with socket.socket() as other:
            async with (
                store_standin() as (standin, _),
                running_gateway(
                    tmp_path, standin.port, grace_s=2, ports=ports(other, starting)
                ) as gateway,
            ):
                await status_once_listening(gateway, "front", "/a/x")
                async with open_stream(gateway.ports["front"]) as (reader, writer):
                    writer.write(part)
                    await asyncio.sleep(0.2)
                    gateway.process.send_signal(signal.SIGTERM)
                    assert statuses(await reader.read()) == [503]
                assert await end_of(gateway) == 0

    def ports(other, starting):
        # A start waits for the port of another listener.
        other.bind(("127.0.0.1", 0))
        other.listen()
        return {"ready": other.getsockname()[1]} if starting else {}

    run(main())


# Guards against connections that are closed without an answer because they were accepted in the
# moment in which the listener closed, as happens to several at once if the machine was paused.
def test_connections_that_come_while_the_listener_is_about_to_close_are_answered(tmp_path):
    async def ask(port):
        with contextlib.suppress(ConnectionError):
            async with open_stream(port) as (reader, writer):
                writer.write(POST + b"Content-Length: 0\r\n\r\n")
                return len(statuses(await reader.read()))
        return 0

    async def main():
        async with serving_gateway(tmp_path, work_s=0.01) as (gateway, _):
            gateway.process.send_signal(signal.SIGTERM)
            await asyncio.sleep(0.2)
            gateway.process.send_signal(signal.SIGSTOP)
            tasks = [asyncio.create_task(ask(gateway.ports["front"])) for _ in range(5)]
            await asyncio.sleep(accepting_time_s(GRACE_S))
            gateway.process.send_signal(signal.SIGCONT)
            assert [await task for task in tasks] == [1] * len(tasks)
            assert await end_of(gateway) == 0

    run(main())


# Guards against further signals, an upstream that leaves, or requests behind others that cut or
# refuse requests which were accepted before.
@pytest.mark.parametrize("leaving", [False, True])
def test_requests_in_flight_are_answered_whatever_comes_with_the_signal(leaving, tmp_path):
    async def main():
        async with serving_gateway(tmp_path, work_s=2.0) as (gateway, standin):
            async with open_stream(gateway.ports["front"]) as (reader, writer):
                for number in range(6):
                    writer.write(POST + b"Request-Id: %d\r\nContent-Length: 0\r\n\r\n" % number)
                await asyncio.sleep(0.2)
                gateway.change_settings(bounds={"graceS": GRACE_S, "retryRatio": 0.1})
                if leaving:
                    await standin.delete("servers/u1")
                for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGTERM, signal.SIGHUP):
                    gateway.process.send_signal(number)
                await asyncio.sleep(accepting_time_s(GRACE_S) + 0.1)
                gateway.process.send_signal(signal.SIGTERM)
                writer.write(POST + b"Request-Id: behind\r\nContent-Length: 0\r\n\r\n")
                answers = await reader.read()
            assert statuses(answers)[:6] == [200] * 6
            # The request behind them is not read, or refused if the listener has just closed.
            assert statuses(answers)[6:] in ([], [503])
            assert b"connection: close" in answers.lower().rpartition(b"http/1.1 ")[2]
            assert await end_of(gateway) == 0

    run(main())


# Guards against requests that are accepted so late that their callers count on an answer, though
# the work of their upstream lasts beyond the exit: 35% of a long grace time was too long.
def test_a_long_grace_time_does_not_let_a_stopping_gateway_accept_for_longer(tmp_path):
    async def main():
        async with (
            serving_gateway(tmp_path, work_s=0.01, grace_s=10) as (gateway, _),
            open_stream(gateway.ports["front"]) as (reader, writer),
        ):
            gateway.process.send_signal(signal.SIGTERM)
            for delay_s in (0.5, LATEST_COUNTED_S - 0.4):
                await asyncio.sleep(delay_s)
                writer.write(POST + b"Request-Id: %d\r\nContent-Length: 0\r\n\r\n" % delay_s)
            assert statuses(await reader.read()) in ([200], [200, 503])

    run(main())


# Guards against a gateway that stays listed after its exit, because it was told to stop before the
# store had confirmed its entry.
@pytest.mark.parametrize("configured", [False, True])
def test_a_stop_during_the_start_removes_the_entry(configured, tmp_path):
    async def main():
        async with (
            store_standin() as (standin, _),
            running_gateway(tmp_path, standin.port, grace_s=2) as gateway,
        ):
            standin.fault = lambda method, target: "lost" if "kv-txn" in target else None
            if configured:
                await standin.put("op/config", routing_config())
            async with asyncio.timeout(READY_S):
                while not any(key.startswith("gooseberryport/") for key in standin.items):
                    await asyncio.sleep(0.01)
            gateway.process.send_signal(signal.SIGTERM)
            assert (await gateway.get("front", "/a/x"))[0] == 503
            assert await end_of(gateway) == 0
            assert not [key for key in standin.items if key.startswith("gooseberryport/")]

    run(main())


SIGNAL_IN_CALLBACK = '''
"""Send the process SIGTERM in a callback of the garbage collector while the gateway is imported."""
import builtins, os, signal, sys

real_import = builtins.__import__


class Sender:
    def __del__(self):
        os.kill(os.getpid(), signal.SIGTERM)
        sum(range(10))


def send(name, *args, **kwargs):
    if name == "gooseberryport_gateway.gateway":
        builtins.__import__ = real_import
        Sender()
    return real_import(name, *args, **kwargs)


builtins.__import__ = send
'''


# Guards against a stop that is lost because Python drops exceptions of the callback in which the
# signal arrives; each import runs such callbacks.
def test_a_stop_in_a_callback_during_the_imports_ends_the_process(tmp_path):
    (tmp_path / "sitecustomize.py").write_text(SIGNAL_IN_CALLBACK)

    async def main():
        async with running_gateway(tmp_path, 1, python_path=[tmp_path]) as gateway:
            assert await end_of(gateway) == 0

    run(main())
