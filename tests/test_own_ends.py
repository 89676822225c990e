"""Conditions of a machine under which a gateway's process must go on, or start in the end."""

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys

import pytest
from gateway_process import (
    READY_S,
    entry,
    free_port,
    routing_config,
    running_gateway,
    search_path,
    send_signal,
    slow_upstream,
    status_once_listening,
    until_protected,
)
from store_standin import store_standin

SERVED_S = 10.0
"""Time within which a gateway serves again after a condition has ended; seconds."""


@contextlib.asynccontextmanager
async def deployment(tmp_path, **options):
    """Run a store, an upstream and a gateway's process; yield the gateway and the store."""
    async with (
        store_standin() as (standin, _),
        slow_upstream(0.01) as upstream_port,
    ):
        await standin.put("op/config", routing_config())
        await standin.put("servers/u1", entry(upstream_port))
        async with running_gateway(tmp_path, standin.port, **options) as gateway:
            yield gateway, standin


async def until_served(gateway):
    async with asyncio.timeout(SERVED_S):
        while True:
            with contextlib.suppress(OSError):
                if (await gateway.get("front", "/a/x"))[0] == 200:
                    return
            await asyncio.sleep(0.05)


async def served(gateway, *, for_s):
    """Send a request every 20 ms; return the statuses."""
    statuses = []
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + for_s
    while loop.time() < ends_at:
        statuses.append((await gateway.get("front", "/a/x", request_id=f"r{len(statuses)}"))[0])
        await asyncio.sleep(0.02)
    return statuses


def run(coroutine):
    asyncio.run(asyncio.wait_for(coroutine, 60))


# Guards against a process that ends because nobody reads its log any more (OWN-ENDS).
def test_a_gateway_serves_on_when_the_reader_of_its_log_goes_away(tmp_path):
    async def main():
        reader, writer = os.pipe()
        async with deployment(tmp_path, stdout=writer, stderr=writer) as (gateway, _):
            os.close(writer)
            await gateway.until_ready()
            await until_served(gateway)
            os.close(reader)
            statuses = await served(gateway, for_s=2.0)
            assert set(statuses) == {200}
            assert gateway.process.returncode is None
            gateway.process.send_signal(signal.SIGTERM)
            assert await asyncio.wait_for(gateway.process.wait(), 6) == 0

    run(main())


# Guards against a log, or an error of the event loop, that waits for a reader who has stopped.
def test_a_gateway_serves_on_when_the_reader_of_its_log_pauses(tmp_path):
    async def main():
        reader, writer = os.pipe()
        async with deployment(tmp_path, stdout=writer, stderr=writer) as (gateway, _):
            os.close(writer)
            await gateway.until_ready()
            await until_served(gateway)
            statuses = []
            async with asyncio.TaskGroup() as group:
                clients = [group.create_task(served(gateway, for_s=6.0)) for _ in range(8)]
            for client in clients:
                statuses.extend(client.result())
            assert set(statuses) == {200}
            assert len(statuses) > 500
        os.close(reader)

    run(main())


# Guards against log lines that go to a connection which has the number of a closed output.
@pytest.mark.parametrize("closed", [">&-", "2>&-", ">&- 2>&-", "<&- >&- 2>&-"])
def test_a_gateway_starts_and_serves_without_output(closed, tmp_path):
    async def main():
        async with deployment(tmp_path, redirections=closed) as (gateway, _):
            await gateway.until_ready()
            await until_served(gateway)
            assert set(await served(gateway, for_s=1.0)) == {200}
            assert gateway.process.returncode is None
            gateway.process.send_signal(signal.SIGTERM)
            assert await asyncio.wait_for(gateway.process.wait(), 6) == 0

    run(main())


# Guards against a process that ends again and again while an earlier one still has its ports.
@pytest.mark.parametrize("role", ["front", "ready", "directory", "control", "peer"])
def test_a_start_waits_for_ports_that_are_still_taken(role, tmp_path):
    async def main():
        port = free_port()
        kind = socket.SOCK_DGRAM if role == "peer" else socket.SOCK_STREAM
        with socket.socket(socket.AF_INET, kind) as other:
            other.bind(("127.0.0.1", port))
            if role != "peer":
                other.listen()
            async with deployment(tmp_path, ports={role: port}) as (gateway, _):
                with pytest.raises(TimeoutError):
                    await asyncio.wait_for(gateway.process.wait(), 3.0)
                other.close()
                await gateway.until_ready()
                await until_served(gateway)

    run(main())


# Guards against a start that neither ends nor serves once it was told to stop.
def test_a_start_that_waits_for_its_ports_ends_when_told_to(tmp_path):
    async def main():
        port = free_port()
        with socket.socket() as other:
            other.bind(("127.0.0.1", port))
            other.listen()
            async with deployment(tmp_path, ports={"front": port}) as (gateway, _):
                await asyncio.sleep(1.5)
                gateway.process.send_signal(signal.SIGHUP)
                gateway.process.send_signal(signal.SIGTERM)
                assert await asyncio.wait_for(gateway.process.wait(), 3) == 0

    run(main())


# Guards against a start that fails for good because the store is not there yet.
def test_a_start_waits_for_a_store_that_is_not_there_yet(tmp_path):
    async def main():
        async with slow_upstream(0.01) as upstream_port, store_standin() as (standin, _):
            held = socket.socket()
            held.bind(("127.0.0.1", 0))
            async with running_gateway(tmp_path, held.getsockname()[1]) as gateway:
                assert (await status_once_listening(gateway, "front", "/a/x")) == 503
                await asyncio.sleep(3.0)
                assert gateway.process.returncode is None
                assert (await gateway.get("ready", "/v1/ready"))[0] == 503
            held.close()
            await standin.put("servers/u1", entry(upstream_port))
            async with running_gateway(tmp_path, standin.port) as gateway:
                await asyncio.sleep(1.0)
                assert (await gateway.get("ready", "/v1/ready"))[0] == 503
                await standin.put("op/config", routing_config())
                await until_served(gateway)

    run(main())


# Guards against a background task whose unexpected error ends the process.
def test_a_failed_background_task_is_started_again(tmp_path):
    module = tmp_path / "failing" / "sitecustomize.py"
    module.parent.mkdir()
    module.write_text(FAILING_TASKS)

    async def main():
        python_path = (module.parent,)
        async with deployment(tmp_path, python_path=python_path) as (gateway, _):
            await gateway.until_ready()
            await until_served(gateway)
            statuses = await served(gateway, for_s=3.0)
            assert set(statuses) == {200}
            assert gateway.process.returncode is None

    run(main())
    lines = [json.loads(line) for line in (tmp_path / "log").read_text().splitlines()]
    failed = [line for line in lines if line["event"] == "gateway_task_failed"]
    assert {line["task"] for line in failed} == {
        "follow store",
        "membership",
        "reports",
        "probes",
        "warmth",
        "housekeeping",
        "settings",
    }
    assert all("injected" in line["error"] for line in failed)


FAILING_TASKS = '''
"""Let each background task of the gateway fail twice, at its first steps."""
import builtins
import sys

real_import = builtins.__import__
patched = set()


def fail_twice(owner, name):
    real = getattr(owner, name)
    left = [2]

    def failing(self, *args, **kwargs):
        if left[0]:
            left[0] -= 1
            raise RuntimeError("injected")
        return real(self, *args, **kwargs)

    setattr(owner, name, failing)


def patch(name, *args, **kwargs):
    module = real_import(name, *args, **kwargs)
    gateway = sys.modules.get("gooseberryport_gateway.gateway")
    if gateway is not None and hasattr(gateway, "run_gateway") and not patched:
        patched.add(1)
        fail_twice(gateway.Discovery, "_poll_watcher")
        membership = sys.modules["gooseberryport_gateway._membership"].Membership
        fail_twice(membership, "_wait_for_entry_loss")
        fail_twice(gateway.Peers, "_plan")
        fail_twice(gateway.ConnPool, "close_expired")
        fail_twice(gateway.Reloader, "reload")
        warmth = sys.modules["gooseberryport_gateway._warmth_store"].WarmthStore
        fail_twice(warmth, "_is_chosen")
        prober = gateway.Prober
        table = prober._table
        left = [2]

        def failing_table(self):
            if left[0]:
                left[0] -= 1
                raise RuntimeError("injected")
            return table.fget(self)

        prober._table = property(failing_table)
    return module


builtins.__import__ = patch
'''


# Guards against signals in series that end a starting process other than by a stop.
def test_signals_in_series_during_a_start_end_it_only_by_a_stop(tmp_path):
    async def main():
        async with deployment(tmp_path) as (gateway, _):
            await until_protected(gateway.process, signal.SIGHUP)
            for _ in range(60):
                send_signal(gateway.process, signal.SIGHUP)
                await asyncio.sleep(0.02)
            await until_served(gateway)
            for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
                send_signal(gateway.process, number)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(5.0):
                    while gateway.process.returncode is None:
                        send_signal(gateway.process, signal.SIGHUP)
                        await asyncio.sleep(0.01)
            assert gateway.process.returncode == 0

    run(main())


# Guards against settings that end a start with a stack trace and no status.
def test_settings_that_are_invalid_at_the_start_end_it_with_a_status_of_their_own(tmp_path):
    async def main():
        path = tmp_path / "settings.json"
        path.write_text('{"nodeName": ' + "[" * 5_000)
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "gooseberryport_site",
            env=os.environ | {"GOOSEBERRYPORT_BOOT": str(path), "PYTHONPATH": search_path()},
            stderr=asyncio.subprocess.PIPE,
        )
        _, errors = await asyncio.wait_for(process.communicate(), READY_S)
        assert process.returncode == 2
        assert "invalid settings" in errors.decode()

    run(main())
