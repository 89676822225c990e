"""The gateway's process with stand-ins of the store and of upstreams on loopback."""

import asyncio
import contextlib
import json
import os
import random
import socket
import sys
from pathlib import Path

from gooseberryport_standins.streams import open_stream, start_stream_server

ROOT = Path(__file__).parents[1]
READY_S = 15.0

# Below the ports from which systems choose one for a socket that asks for none.
FIXED_PORTS = range(10_000, 32_000)
_given_ports = set()


def free_port():
    """Return a port that the system gives to no other socket before a gateway listens there."""
    while True:
        port = random.choice(FIXED_PORTS)
        with socket.socket() as sock, contextlib.suppress(OSError):
            if port not in _given_ports:
                sock.bind(("127.0.0.1", port))
                _given_ports.add(port)
                return port


def routing_config(version=1):
    rule = {
        "kind": "unsafe",
        "match": {"pathPrefix": "/a/"},
        "action": {"service": "s", "timeoutMs": 3000, "maxAttempts": 2},
    }
    listeners = [{"host": "h.example", "rules": [rule]}]
    return {"version": version, "listeners": listeners, "clusters": [{"name": "s"}]}


def entry(port, *, service="s"):
    return {
        "address": f"127.0.0.1:{port}",
        "info": {"service": service, "version": "v1", "zone": "a", "slots": 4},
        "status": {"state": "ready", "sequence": 1, "coldRemainingMs": 0},
        "born": 1,
    }


def search_path(*folders):
    """Return where a gateway's process finds modules: as in this process, with the platform's."""
    own = filter(None, [os.environ.get("PYTHONPATH")])
    return os.pathsep.join([*map(str, folders), str(ROOT / "platform"), *own])


def start_gateway(settings_path, *, python_path=(), redirections="", **streams):
    """Start the gateway's process, with redirections of a shell if there are any."""
    variables = {"GOOSEBERRYPORT_BOOT": str(settings_path), "PYTHONPATH": search_path(*python_path)}
    command = [sys.executable, "-m", "gooseberryport_site"]
    if redirections:
        command = ["/bin/sh", "-c", f'exec "$0" "$@" {redirections}', *command]
    return asyncio.create_subprocess_exec(*command, env=os.environ | variables, **streams)


class RunningGateway:
    def __init__(self, process, ports, settings_path):
        self.process = process
        self.ports = ports
        self.settings_path = settings_path

    def change_settings(self, **fields):
        settings = json.loads(self.settings_path.read_text())
        self.settings_path.write_text(json.dumps(settings | fields))

    async def get(self, role, path, *, request_id="id1"):
        head = f"GET {path} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {request_id}\r\n"
        async with open_stream(self.ports[role]) as (reader, writer):
            writer.write(f"{head}Request-Deadline: 3000\r\nConnection: close\r\n\r\n".encode())
            data = await reader.read()
        status = int(data.split(b" ")[1]) if data else 0
        return status, data.partition(b"\r\n\r\n")[2]

    async def until_ready(self):
        async with asyncio.timeout(READY_S):
            while True:
                with contextlib.suppress(OSError):
                    if (await self.get("ready", "/v1/ready"))[0] == 200:
                        return
                await asyncio.sleep(0.05)


@contextlib.asynccontextmanager
async def running_gateway(
    tmp_path, store_port, *, name="vm1", grace_s=4, ports=None, seeds=(), limits=None, **options
):
    roles = ("front", "ready", "directory", "control", "peer")
    ports = {role: free_port() for role in roles} | (ports or {})
    settings = {
        "nodeName": name,
        "ip": "127.0.0.1",
        "zone": "a",
        "region": "A",
        "zones": {"a": "A"},
        "listen": {role: f"127.0.0.1:{port}" for role, port in ports.items() if role != "peer"},
        "portRange": [ports["peer"], 65535],
        "seeds": list(seeds),
        "platform": {"address": f"127.0.0.1:{store_port}", "ttlMinMs": 1000},
        "bounds": {"graceS": grace_s, "drainMs": 200},
        "limits": limits or {},
    }
    tmp_path = tmp_path / name if name != "vm1" else tmp_path
    tmp_path.mkdir(exist_ok=True)
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(settings))
    with (tmp_path / "log").open("wb") as log:
        process = await start_gateway(path, **({"stdout": log} | options))
        try:
            yield RunningGateway(process, ports, path)
        finally:
            if process.returncode is None:
                process.kill()
            await process.wait()


@contextlib.asynccontextmanager
async def slow_upstream(delay_s):
    async def serve(reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                request_id = head.lower().partition(b"request-id: ")[2].partition(b"\r\n")[0]
                await asyncio.sleep(delay_s)
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nResponse-Signature: s\r\n"
                    b"Request-Id: " + request_id + b"\r\n\r\nbody"
                )

    server = await start_stream_server(serve)
    try:
        yield server.sockets[0].getsockname()[1]
    finally:
        server.close()


async def status_once_listening(gateway, role, path):
    async with asyncio.timeout(READY_S):
        while True:
            try:
                return (await gateway.get(role, path))[0]
            except OSError:
                await asyncio.sleep(0.05)


def signals(pid, field):
    """Return the numbers of the signals in a mask of /proc/PID/status, such as "SigIgn:"."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith(field):
            mask = int(line.split()[1], 16)
            return {number for number in range(1, 65) if mask >> (number - 1) & 1}
    return set()


async def until_protected(process, number):
    """Wait until a signal no longer ends a process by its default action.

    On a busy machine, the process may handle the signal before it was seen to ignore it.
    """
    async with asyncio.timeout(READY_S):
        while number not in signals(process.pid, "SigIgn:") | signals(process.pid, "SigCgt:"):
            await asyncio.sleep(0.001)


def send_signal(process, number):
    """Send a signal to a process that may have ended.

    `Popen.send_signal` polls the process first. If it has just ended, that takes the exit status
    from asyncio, which then reports 255.
    """
    with contextlib.suppress(ProcessLookupError):
        os.kill(process.pid, number)
