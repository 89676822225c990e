"""Stand-ins for the scripts of review 2: the platform's store, targets, clients and gateways.

Only the standard library is used, and only loopback addresses. The gateways are the project's own,
started as `deploy/system.toml` starts them.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[1]
HOST = "127.0.0.1"
GATEWAY_PORTS = (12_000, 32_000)
GRACE_S = 6.0
HISTORY_S = 20.0
LINK_BUFFER_BYTES = 16_384
LINK_PACKET_BYTES = 4_096
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "stabilityMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2500,
    "graceS": int(GRACE_S),
    "lossSlackMs": 200,
    "configApplyMs": 2500,
    "rollbackSlackMs": 250,
    "maxSkewMs": 5000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetSlack": 58,
    "coldOverage": 1.5,
    "coldSlack": 5,
    "evacuateMs": 5000,
    "recoverS": 15,
    "ttl_max_s": 5,
    "maxShift": 0.15,
}
LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 67108864,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}


def free_port():
    """Return a port that is free now, below those from which outgoing connections get theirs."""
    while True:
        port = random.randrange(*GATEWAY_PORTS)
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind((HOST, port))
            return port


class Record:
    """Lines of what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self._file = Path(path).open("w")
        self._started_at = time.monotonic()

    def write(self, text):
        """Write one line."""
        self._file.write(f"{time.monotonic() - self._started_at:8.3f}  {text}\n")
        self._file.flush()


class Store:
    """The platform's store: keys, leases, a history and watches.

    It has an address for each machine, so that it can turn one of them away with 503.
    """

    def __init__(self):
        self.items = {}
        self.events = []
        self.revision = 10
        self.port = 0
        self.refused_ports = set()
        self._written_at = {}
        self._oldest_revision = 0
        self._leases = {}
        self._last_lease = 100
        self._changed = asyncio.Condition()

    async def start(self):
        """Open the store's first address."""
        self.port = await self.open_address()

    async def open_address(self):
        """Open one more address; return its port."""
        server = await asyncio.start_server(self._serve, HOST, 0)
        return server.sockets[0].getsockname()[1]

    def _add_event(self, event):
        self.events.append(event)
        self._written_at[event["revision"]] = time.monotonic()
        self._drop_history()

    def _drop_history(self):
        oldest_at = time.monotonic() - HISTORY_S
        while self.events and self._written_at[self.events[0]["revision"]] < oldest_at:
            self._oldest_revision = self.events.pop(0)["revision"]

    async def put(self, key, value, *, lease=0):
        """Write a key; a value other than bytes is written as JSON."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        async with self._changed:
            self.revision += 1
            created = self.items[key]["created"] if key in self.items else self.revision
            self.items[key] = {
                "key": key,
                "value": base64.b64encode(data).decode(),
                "revision": self.revision,
                "created": created,
                "lease": lease,
            }
            self._add_event(self.items[key])
            self._changed.notify_all()

    async def delete(self, key):
        """Remove a key."""
        async with self._changed:
            if self.items.pop(key, None) is not None:
                self.revision += 1
                self._add_event({"key": key, "revision": self.revision, "deleted": True})
                self._changed.notify_all()

    async def _serve(self, reader, writer):
        port = writer.get_extra_info("sockname")[1]
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                method, target, _ = head.split("\r\n")[0].split(" ")
                body = json.loads(await reader.readexactly(body_length(head.encode())) or b"{}")
                await self._end_leases()
                if port in self.refused_ports:
                    status, answer = 503, {}
                else:
                    status, answer = await self._answer(method, target, body)
                data = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n" % (status, len(data)))
                writer.write(data)
        writer.close()

    async def _end_leases(self):
        now = time.monotonic()
        for lease, (ttl_ms, renewed_at) in list(self._leases.items()):
            if now - renewed_at > ttl_ms / 1000:
                await self._end_lease(lease)

    async def _end_lease(self, lease):
        self._leases.pop(lease, None)
        for key, item in list(self.items.items()):
            if item["lease"] == lease:
                await self.delete(key)

    async def _answer(self, method, target, body):
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if parts.path == "/v1/kv-range":
            prefix, after = query.get("pathPrefix", ""), query.get("after", "")
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            return 200, {
                "items": [self.items[key] for key in keys[:500]],
                "hasMore": len(keys) > 500,
                "storeRevision": self.revision,
            }
        if parts.path == "/v1/kv-watch":
            return await self._watch(query)
        if parts.path == "/v1/kv-lease":
            self._last_lease += 1
            self._leases[self._last_lease] = (body["ttlMs"], time.monotonic())
            return 200, {"lease": self._last_lease, "ttlMs": body["ttlMs"]}
        lease = int(parts.path.rpartition("/")[2]) if "/kv-txn" not in parts.path else 0
        if lease and lease not in self._leases:
            return 404, {}
        if parts.path.startswith("/v1/kv-keep/"):
            self._leases[lease] = (self._leases[lease][0], time.monotonic())
            return 200, {"ttlMs": self._leases[lease][0]}
        if parts.path.startswith("/v1/kv-lease-end/"):
            await self._end_lease(lease)
            return 200, {}
        return await self._change(body)

    async def _change(self, body):
        if any(put.get("lease") and put["lease"] not in self._leases for put in body["puts"]):
            return 404, {}
        for row in body.get("expect", ()):
            known = self.items.get(row["key"])
            if (known["revision"] if known else 0) != row["revision"]:
                keys = [row["key"] for row in body["expect"]]
                return 412, {"items": [self.items[key] for key in keys if key in self.items]}
        for put in body["puts"]:
            await self.put(put["key"], base64.b64decode(put["value"]), lease=put.get("lease", 0))
        for key in body.get("deletes", ()):
            await self.delete(key)
        return 200, {"revision": self.revision}

    async def _watch(self, query):
        after, prefix = int(query["after"]), query.get("pathPrefix", "")
        self._drop_history()
        if after < self._oldest_revision:
            return 410, {}

        def events():
            return [
                event
                for event in self.events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]

        async with self._changed:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(
                    self._changed.wait_for(lambda: bool(events())), int(query["waitMs"]) / 1000
                )
            return 200, {"events": events(), "storeRevision": self.revision}


class SlowLink:
    """A machine's link to the store: what the store sends passes at a limited rate.

    Parameters
    ----------
    store_port
        Port of the store's address for this machine.
    mbps
        Rate of the link; megabits per second.
    """

    def __init__(self, store_port, *, mbps):
        self.port = 0
        self._store_port = store_port
        self._bytes_per_s = mbps * 125_000
        self._free_at = 0.0
        self._tasks = set()

    async def start(self):
        """Open the near end of the link."""
        # Small buffers, so that no more than a few packets are on their way.
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, LINK_BUFFER_BYTES)
        listener.bind((HOST, 0))
        server = await asyncio.start_server(self._serve, sock=listener)
        self.port = listener.getsockname()[1]
        return server

    async def _serve(self, reader, writer):
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, LINK_BUFFER_BYTES)
            sock.setblocking(False)
            loop = asyncio.get_running_loop()
            await loop.sock_connect(sock, (HOST, self._store_port))
            calls = asyncio.ensure_future(self._send_calls(reader, sock))
            with contextlib.suppress(OSError):
                while not calls.done():
                    data = await loop.sock_recv(sock, LINK_PACKET_BYTES)
                    if not data:
                        break
                    now = time.monotonic()
                    self._free_at = max(self._free_at, now) + len(data) / self._bytes_per_s
                    await asyncio.sleep(self._free_at - now)
                    writer.write(data)
                    await writer.drain()
            calls.cancel()
        writer.close()

    async def _send_calls(self, reader, sock):
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError):
            while data := await reader.read(LINK_PACKET_BYTES):
                await loop.sock_sendall(sock, data)
            # The gateway has left: the other direction ends too.
            sock.shutdown(socket.SHUT_RDWR)


def field(head, name):
    """Return the value of a header field, or an empty string."""
    for line in head.decode("latin-1").split("\r\n")[1:]:
        if line.lower().startswith(name.lower() + ":"):
            return line.partition(":")[2].strip()
    return ""


def body_length(head):
    """Return the stated length of the body after a head."""
    return int(field(head, "content-length") or 0)


def server_entry(port, *, service, zone, slots):
    """Return a target's entry in the store."""
    return {
        "address": f"{HOST}:{port}",
        "info": {"service": service, "version": "v1", "zone": zone, "slots": slots},
        "status": {"state": "ready", "sequence": 1, "coldRemainingMs": 0},
        "born": 1_760_000_000_000,
    }


def configuration(*, host, service, rule):
    """Return the operators' configuration with one route."""
    listener = {"host": host, "rules": [rule]}
    cluster = {"name": service, "healthCheckPath": "/health", "coldStartS": 3.0, "coldPerS": 2.0}
    return {"version": 1, "listeners": [listener], "clusters": [cluster], "limits": LIMITS}


class Gateway:
    """One gateway process with settings like those of a small deployment."""

    def __init__(self, *, name, zone, zones, store_port, bounds=None):
        self.name = name
        self._bounds = BOUNDS | (bounds or {})
        self.process = None
        self.store_port = store_port
        self.ports = {role: free_port() for role in ("front", "ready", "control", "directory")}
        self._zone, self._zones = zone, zones
        self._peer_port = free_port()
        self._folder = tempfile.TemporaryDirectory()

    async def start(self, *, seeds):
        """Start the process as the deploy file does."""
        listen = {role: f"{HOST}:{port}" for role, port in self.ports.items()}
        settings = {
            "nodeName": self.name,
            "role": "gateway",
            "machineClass": "edge",
            "serves": ["edge", "directory", "control_plane"],
            "ip": HOST,
            "zone": self._zone,
            "region": self._zones[self._zone],
            "zones": self._zones,
            "listen": listen,
            "portRange": [self._peer_port, self._peer_port],
            "seeds": seeds,
            "bootstrap": True,
            "limits": {
                "cpuShare": 0.86,
                "cores": 1,
                "memoryMb": 300,
                "maxFds": 4100,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "dataDir": None,
            "heartbeatMs": 1500,
            "bounds": self._bounds,
            "platform": {
                "address": f"{HOST}:{self.store_port}",
                "form": "kv",
                "writesPerS": 400,
                "readsPerS": 2000,
                "historyS": 20,
                "valueBytes": 1048576,
                "ttlMinMs": 1000,
            },
        }
        path = Path(self._folder.name) / "local.json"
        path.write_text(json.dumps(settings))
        variables = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "GOOSEBERRYPORT_BOOT": str(path),
        }
        with (Path(self._folder.name) / "log").open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3", "-m", "gooseberryport_site", cwd=ROOT, env=variables, stdout=log
            )

    async def until_ready(self):
        """Wait until the platform's own check would count the gateway as ready."""
        for _ in range(400):
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection(HOST, self.ports["ready"])
                writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
                line = await reader.readline()
                writer.close()
                if b" 200 " in line:
                    return
            await asyncio.sleep(0.05)
        raise RuntimeError(f"{self.name} is not ready: {self.log_lines()[-3:]}")

    def log_lines(self, *words):
        """Return the lines of the gateway's log that contain all words."""
        text = (Path(self._folder.name) / "log").read_text()
        return [line for line in text.splitlines() if all(word in line for word in words)]

    async def end(self):
        """End the process, if it still runs."""
        if self.process is not None:
            if self.process.returncode is None:
                self.process.kill()
            await self.process.wait()
        self._folder.cleanup()


@contextlib.asynccontextmanager
async def running_gateways(*, zones, store, bounds=None, link_mbps=None):
    """Run one gateway in each zone until the end of the block.

    Parameters
    ----------
    zones
        Region of each zone.
    store
        The platform's store.
    bounds
        Bounds that differ from the usual ones.
    link_mbps
        Rate of the first gateway's link to the store; None for no limit.
    """
    gateways = [
        Gateway(
            name=f"edge-{zone}-1",
            zone=zone,
            zones=zones,
            store_port=await store.open_address(),
            bounds=bounds,
        )
        for zone in zones
    ]
    seeds = [f"{HOST}:{gateway.ports['control']}" for gateway in gateways]
    if link_mbps is not None:
        link = SlowLink(gateways[0].store_port, mbps=link_mbps)
        await link.start()
        gateways[0].store_port = link.port
    try:
        for gateway in gateways:
            await gateway.start(seeds=seeds)
        for gateway in gateways:
            await gateway.until_ready()
        yield gateways
    finally:
        for gateway in gateways:
            await gateway.end()


async def read_answer(reader):
    """Return the status, head and body of the next answer; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        body = await reader.readexactly(body_length(head))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return int(head.split(b" ")[1]), head, body


def run_case(case, *, folder, timeout_s=110.0):
    """Run a case, and exit with 1 if it returns what broke the rule, 0 if nothing, 2 on an error.

    Parameters
    ----------
    case
        Coroutine function of a record and of whether there is trouble; returns broken promises.
    folder
        Folder of the case.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(Path(folder) / "record.txt")

    async def run():
        # A script that is stopped ends its gateways too.
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        return await asyncio.wait_for(case(record, trouble), timeout_s)

    try:
        broken = asyncio.run(run())
    except BaseException as exc:
        record.write(f"could not run: {exc!r}")
        print(f"could not run: {exc!r}", file=sys.stderr, flush=True)
        os._exit(2)
    for text in broken:
        record.write(f"BROKEN {text}")
    result = f"{len(broken)} broken promises" if broken else "the rule held"
    record.write(result)
    print(result, flush=True)
    # The stand-ins' connections are still open, and their clean-up would only print warnings.
    os._exit(1 if broken else 0)
