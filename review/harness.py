"""Stand-ins and process control for the review's scripts; Python's standard library only.

A script runs the store, the targets and the clients in its own process, and the gateways as
separate processes with the command of the deploy file. All addresses are loopback addresses.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import hashlib
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "shop.example"
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "stabilityMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2500,
    "graceS": 6,
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
ZONES = {"kgn-a": "kingston", "mbj-a": "montego"}


class CannotRunError(Exception):
    """The case could not run; says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._started = time.monotonic()

    def line(self, text: str) -> None:
        """Write one line with the time since the start."""
        self._file.write(f"{time.monotonic() - self._started:8.3f} {text}\n")

    def close(self) -> None:
        """Write what is buffered."""
        self._file.close()


async def read_head(reader: asyncio.StreamReader) -> tuple[list[str], dict[str, str]]:
    """Read a head; return the words of its first line and its fields by lower-case name."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
    return lines[0].split(" ", 2), fields


async def read_body(reader: asyncio.StreamReader, fields: dict[str, str]) -> bytes:
    """Read a body that is framed by a length or in chunks."""
    if "chunked" in fields.get("transfer-encoding", ""):
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readline()
        while (await reader.readline()).strip():
            pass
        return body
    return await reader.readexactly(int(fields.get("content-length", "0")))


class Store:
    """The platform's store: keys, leases, ranges and watches, as PROTOCOL.md describes them."""

    def __init__(self) -> None:
        self.items: dict[str, dict] = {}
        self.events: list[dict] = []
        self.leases: dict[int, tuple[int, float]] = {}
        self.revision = 10
        self.port = 0
        self._next_lease = 100
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def put(self, key: str, value: object, *, lease: int = 0) -> None:
        """Write a key; a value that is not bytes is encoded as JSON."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
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

    def delete(self, key: str) -> None:
        """Delete a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._add_event({"key": key, "revision": self.revision, "deleted": True})

    def _add_event(self, event: dict) -> None:
        self.events.append(event)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.delete(key)

    def _expire(self) -> None:
        now = time.monotonic()
        for lease in [name for name, (_, until) in self.leases.items() if now > until]:
            self._end_lease(lease)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                (method, target, _), fields = await read_head(reader)
                body = json.loads(await read_body(reader, fields) or b"{}")
                status, answer = await self._answer(method, target, body)
                data = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n" % (status, len(data)))
                writer.write(data)
        writer.close()

    async def _answer(self, method: str, target: str, body: dict) -> tuple[int, dict]:
        self._expire()
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        prefix = query.get("pathPrefix", "")
        if parts.path == "/v1/kv-range":
            after = query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            page = [self.items[key] for key in keys[:500]]
            return 200, {
                "items": page,
                "hasMore": len(keys) > 500,
                "storeRevision": self.revision,
            }
        if parts.path == "/v1/kv-watch":
            return 200, await self._watch(prefix, int(query["after"]), int(query["waitMs"]))
        if parts.path == "/v1/kv-lease":
            self._next_lease += 1
            ttl_ms = body["ttlMs"]
            self.leases[self._next_lease] = (ttl_ms, time.monotonic() + ttl_ms / 1000)
            return 200, {"lease": self._next_lease, "ttlMs": ttl_ms}
        if parts.path.startswith("/v1/kv-keep/"):
            lease = int(parts.path.rpartition("/")[2])
            if lease not in self.leases:
                return 404, {}
            ttl_ms = self.leases[lease][0]
            self.leases[lease] = (ttl_ms, time.monotonic() + ttl_ms / 1000)
            return 200, {"ttlMs": ttl_ms}
        if parts.path.startswith("/v1/kv-lease-end/"):
            self._end_lease(int(parts.path.rpartition("/")[2]))
            return 200, {}
        if parts.path == "/v1/kv-txn":
            return self._write(body)
        return 404, {}

    def _write(self, body: dict) -> tuple[int, dict]:
        for row in body.get("expect", []):
            if self.items.get(row["key"], {"revision": 0})["revision"] != row["revision"]:
                return 412, {"items": []}
        puts = body.get("puts", [])
        if any(put.get("lease", 0) and put["lease"] not in self.leases for put in puts):
            return 404, {}
        keys = [*(put["key"] for put in puts), *body.get("deletes", [])]
        if any(key.startswith(("op/", "servers/")) for key in keys):
            return 403, {}
        for put in puts:
            self.put(put["key"], base64.b64decode(put["value"]), lease=put.get("lease", 0))
        for key in body.get("deletes", []):
            self.delete(key)
        return 200, {"revision": self.revision}

    async def _watch(self, prefix: str, after: int, wait_ms: int) -> dict:
        until = time.monotonic() + wait_ms / 1000
        while True:
            changed = self._changed
            events = [
                event
                for event in self.events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return {"events": events, "storeRevision": self.revision}
            with contextlib.suppress(TimeoutError, asyncio.TimeoutError):
                await asyncio.wait_for(changed.wait(), left)


class Target:
    """A target: runs requests in slots, queues a few more, and rejects the rest.

    `work_s` returns how long the work of a request takes; `answer` returns its body.
    """

    def __init__(
        self, name, *, service, zone, record, slots=3, queue=9, work_s=None, answer=None
    ) -> None:
        self.name, self.service, self.zone, self.record = name, service, zone, record
        self.slots, self.queue = slots, queue
        self.work_s = work_s or (lambda fields: 0.05)
        self.answer = answer or (lambda fields: b"ok " + fields["request-id"].encode())
        self.running = self.waiting = 0
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.port = 0
        self.arrived: dict[str, float] = {}
        self.began: dict[str, float] = {}
        self.ended: dict[str, float] = {}
        self.broken_off: dict[str, float] = {}
        self._free = asyncio.Semaphore(slots)
        self._server: asyncio.Server | None = None
        self._beats: asyncio.Task | None = None

    async def start(self, store: Store) -> None:
        """Listen, and register in the store."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 20)
        self.port = self._server.sockets[0].getsockname()[1]
        self._beats = asyncio.create_task(self._beat(store))

    def entry(self) -> dict:
        """Return the entry that the target writes to the store."""
        return {
            "address": f"127.0.0.1:{self.port}",
            "born": self.born,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "slots": self.slots,
            },
            "status": {"state": self.state, "sequence": self.sequence, "coldRemainingMs": 0},
        }

    def report(self, store: Store) -> None:
        """Write the entry to the store."""
        self.sequence += 1
        store.put(f"servers/{self.name}", self.entry())

    def drain(self, store: Store) -> None:
        """Report that the target is draining; it goes on serving."""
        self.state = "draining"
        self.report(store)
        self.record.line(f"target {self.name} is draining, acknowledged by the store")

    async def _beat(self, store: Store) -> None:
        while True:
            self.report(store)
            await asyncio.sleep(1.5)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                (method, path, _), fields = await read_head(reader)
                body = await read_body(reader, fields)
                data = await self._respond(method, path, fields, body, reader)
                if data is None:
                    break
                writer.write(data)
                await writer.drain()
                if self.state == "draining":
                    writer.close()
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        writer.transport.abort()

    def _encode(self, status: int, fields: dict[str, str], body: bytes = b"") -> bytes:
        fields = {"Instance-Id": self.name, **fields}
        fields["Instance-Load"] = f"{self.running},{self.waiting},{self.slots}"
        fields["Keep-Alive"] = "timeout=15"
        if self.state == "draining":
            # `Connection: close` appears in the responses of a target that is leaving.
            fields["Connection"] = "close"
        fields["Content-Length"] = str(len(body))
        lines = [f"HTTP/1.1 {status} X", *(f"{name}: {fields[name]}" for name in fields)]
        return "\r\n".join([*lines, "", ""]).encode() + body

    async def _respond(self, method, path, fields, body, reader) -> bytes | None:
        if path == "/health":
            return self._encode(200 if self.state == "ready" else 503, {})
        request_id = fields.get("request-id", "")
        echo = {"Request-Id": request_id}
        if fields.get("expected-instance", self.name) != self.name:
            return self._encode(421, echo)
        if not request_id:
            return self._encode(400, {"Not-Executed": "1"})
        if self.waiting >= self.queue:
            return self._encode(503, echo | {"Not-Executed": "1"})
        now = time.monotonic()
        self.arrived[request_id] = now
        self.record.line(f"target {self.name} got {request_id} {method} {path} {len(body)} bytes")
        deadline = now + int(fields.get("request-deadline", "60000")) / 1000
        gone = asyncio.ensure_future(reader.read(1))
        work = asyncio.ensure_future(self._work(request_id, fields, deadline))
        await asyncio.wait({gone, work}, return_when=asyncio.FIRST_COMPLETED)
        if not work.done():
            # Most targets drop a request when its connection closes.
            work.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await work
            self.broken_off[request_id] = time.monotonic()
            state = "at work" if request_id in self.began else "in the queue"
            self.record.line(f"target {self.name} sees {request_id} broken off, {state}")
            return None
        gone.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await gone
        status = work.result()
        if status == 503:
            return self._encode(503, echo | {"Not-Executed": "1"})
        answer = self.answer(fields) if status == 200 else b""
        signature = sign(request_id, answer)
        return self._encode(status, echo | {"Response-Signature": signature}, answer)

    async def _work(self, request_id: str, fields: dict[str, str], deadline: float) -> int:
        self.waiting += 1
        try:
            async with asyncio.timeout_at(
                asyncio.get_running_loop().time() + deadline - time.monotonic()
            ):
                await self._free.acquire()
        except TimeoutError:
            return 503
        finally:
            self.waiting -= 1
        self.running += 1
        self.began[request_id] = time.monotonic()
        self.record.line(f"target {self.name} begins {request_id}")
        try:
            work_s = self.work_s(fields)
            left_s = deadline - time.monotonic()
            await asyncio.sleep(min(work_s, left_s))
            self.ended[request_id] = time.monotonic()
            self.record.line(f"target {self.name} ends {request_id}")
            return 200 if work_s <= left_s else 504
        finally:
            self.running -= 1
            self._free.release()


def sign(request_id: str, body: bytes) -> str:
    """Return the signature of a response."""
    return hashlib.sha256(request_id.encode() + b"|" + body).hexdigest()[:16]


class SilentLink:
    """A loopback proxy whose open connections can go silent for good while new ones work."""

    def __init__(self, port: int) -> None:
        self._target_port = port
        self._silence = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task | None] = set()
        self.port = 0

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def silence(self) -> None:
        """Pass nothing on any more on the connections that are open now, and reset none."""
        silence, self._silence = self._silence, asyncio.Event()
        silence.set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        # The event loop alone does not keep a task that waits on a silent connection.
        self._tasks.add(asyncio.current_task())
        silence = self._silence
        other_reader, other_writer = await asyncio.open_connection("127.0.0.1", self._target_port)

        async def forward(source: asyncio.StreamReader, sink: asyncio.StreamWriter) -> None:
            with contextlib.suppress(ConnectionError):
                while data := await source.read(65_536):
                    if not silence.is_set():
                        sink.write(data)
            if not silence.is_set():
                sink.close()

        await asyncio.gather(forward(reader, other_writer), forward(other_reader, writer))
        writer.transport.abort()
        other_writer.transport.abort()


class Gateway:
    """One gateway process, started as the deploy file starts it, and again when it ends."""

    def __init__(self, number: int, *, settings: dict, folder: Path, record: Record) -> None:
        self.name = settings["nodeName"]
        self.front = settings["listen"]["front"]
        self.ready_address = settings["listen"]["ready"]
        self.record = record
        self.folder = folder
        self.boot = folder / f"boot-{number}.json"
        self.boot.write_text(json.dumps(settings))
        self.process: asyncio.subprocess.Process | None = None
        self.own_ends: list[tuple[float, int]] = []
        self.stopped_by_script = False
        self._keeper: asyncio.Task | None = None

    async def start(self) -> None:
        """Start the process; it is started again shortly after it ends."""
        await self._spawn()
        self._keeper = asyncio.create_task(self._keep())

    async def _spawn(self) -> None:
        words = deploy_command()
        env = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": str(self.folder),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "GOOSEBERRYPORT_BOOT": str(self.boot),
        }
        with open(self.folder / f"{self.name}.log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *words, cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self.record.line(f"process {self.name} started")

    async def _keep(self) -> None:
        while True:
            assert self.process is not None
            status = await self.process.wait()
            self.record.line(f"process {self.name} ended with status {status}")
            if self.stopped_by_script:
                return
            self.own_ends.append((time.monotonic(), status))
            await asyncio.sleep(0.5)
            if self.stopped_by_script:
                return
            await self._spawn()

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.record.line(f"process {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def is_ready(self) -> bool:
        """Ask the process whether it is ready, as the platform does."""
        host, _, port = self.ready_address.rpartition(":")
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                (_, status, _), _ = await read_head(reader)
                writer.close()
                return status == "200"
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False

    def rss_mb(self) -> float:
        """Return the resident memory of the process; 0 if it has ended."""
        assert self.process is not None
        with contextlib.suppress(OSError):
            for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
        return 0.0

    async def end(self) -> None:
        """End the process for good, also one that is being started again."""
        self.stopped_by_script = True
        while self._keeper is not None and not self._keeper.done():
            if self.process is not None and self.process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    self.process.kill()
            await asyncio.wait({self._keeper}, timeout=0.1)


def deploy_command() -> list[str]:
    """Return the words of `run` in the deploy file."""
    for line in (ROOT / "deploy/system.toml").read_text().splitlines():
        name, _, value = line.partition("=")
        if name.strip() == "run":
            return value.strip().strip('"').split(" ")
    raise CannotRunError("the deploy file has no run command")


def free_ports(ips: list[str], count: int) -> list[int]:
    """Return ports that are free for TCP and UDP on every address."""
    found: list[int] = []
    while len(found) < count:
        with contextlib.ExitStack() as stack:
            first = stack.enter_context(socket.socket())
            first.bind((ips[0], 0))
            port = first.getsockname()[1]
            try:
                for ip in ips[1:]:
                    stack.enter_context(socket.socket()).bind((ip, port))
                for ip in ips:
                    kind = socket.SOCK_DGRAM
                    stack.enter_context(socket.socket(type=kind)).bind((ip, port))
            except OSError:
                continue
            if port not in found:
                found.append(port)
    return found


class Deployment:
    """A store, targets and gateways; `config` is what the operator writes first."""

    def __init__(self, folder: Path, *, gateways: int, config: dict) -> None:
        self.record = Record(folder)
        self.store = Store()
        self.targets: list[Target] = []
        self.gateways: list[Gateway] = []
        self.store_links: list[SilentLink] = []
        self._count = gateways
        self._config = config
        self._temporary = Path(tempfile.mkdtemp(prefix="review-"))

    async def start(self, targets: list[Target]) -> None:
        """Start everything, and wait until all gateways are ready."""
        if not (ROOT / "target/deps/gooseberryport_site").is_dir():
            raise CannotRunError("run the build of the deploy file first")
        await self.store.start()
        self.store.put("op/config", self._config)
        self.targets = targets
        for target in targets:
            await target.start(self.store)
        ips = [f"127.0.0.{11 + number}" for number in range(self._count)]
        front, ready, control, directory, peer = free_ports(ips, 5)
        zones = list(ZONES)
        for number, ip in enumerate(ips):
            zone = zones[number % len(zones)]
            link = SilentLink(self.store.port)
            await link.start()
            self.store_links.append(link)
            settings = {
                "nodeName": f"edge-{zone}-{number}",
                "role": "gateway",
                "machineClass": "edge",
                "serves": ["edge", "control_plane", "directory"],
                "ip": ip,
                "zone": zone,
                "region": ZONES[zone],
                "zones": ZONES,
                "listen": {
                    "front": f"{ip}:{front}",
                    "ready": f"{ip}:{ready}",
                    "control": f"{ip}:{control}",
                    "directory": f"{ip}:{directory}",
                },
                "portRange": [peer, peer],
                "seeds": [f"{seed}:{control}" for seed in ips[:3]],
                "bootstrap": True,
                "countsAsLoss": False,
                "limits": {
                    "cpuShare": 0.86,
                    "cores": 1,
                    "memoryMb": 300,
                    "maxFds": 4100,
                    "linkMbps": 1000.0,
                    "diskMb": 0,
                },
                "dataDir": None,
                "discovery": "platform",
                "entry": "directory",
                "heartbeatMs": 1500,
                "contracts": ["base", "drain", "config", "cost", "retry", "recover", "platform"],
                "faultTolerance": {"machines": 2, "zones": 1, "regions": 1},
                "bounds": BOUNDS,
                "platform": {
                    "address": f"127.0.0.1:{link.port}",
                    "form": "kv",
                    "writesPerS": 400,
                    "readsPerS": 2000,
                    "historyS": 20,
                    "valueBytes": 1048576,
                    "ttlMinMs": 1000,
                },
            }
            gateway = Gateway(number, settings=settings, folder=self._temporary, record=self.record)
            self.gateways.append(gateway)
            await gateway.start()
        await self.wait_ready(20.0)

    async def wait_ready(self, limit_s: float) -> None:
        """Wait until all gateways are ready."""
        until = time.monotonic() + limit_s
        while not all([await gateway.is_ready() for gateway in self.gateways]):
            if time.monotonic() > until:
                raise CannotRunError("the gateways did not get ready")
            await asyncio.sleep(0.1)

    async def stop(self) -> None:
        """End all processes that were started, and remove the temporary folder."""
        for gateway in self.gateways:
            await gateway.end()
        # The stand-ins see the connections of the gateways end before the event loop does.
        await asyncio.sleep(0.2)
        self.record.close()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs: {self._temporary}")
        else:
            shutil.rmtree(self._temporary, ignore_errors=True)


def config(
    rules: list[dict], services: list[str], *, idle_timeout_ms: int = 15000, version: int = 7
) -> dict:
    """Return a configuration with one host, in the layout and with the limits of the pages."""
    return {
        "version": version,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 67108864,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": idle_timeout_ms,
        },
        "listeners": [{"host": HOST, "rules": rules}],
        "clusters": [
            {
                "name": service,
                "healthCheckPath": "/health",
                "maxConnections": 330,
                "protocol": "h1",
                "tls": False,
                "coldStartS": 3.0,
                "coldPerS": 2.0,
            }
            for service in services
        ],
    }


def rule(name, prefix, service, *, kind="safe", timeout_ms, aim_ms, sticky=True) -> dict:
    """Return one route."""
    return {
        "name": name,
        "kind": kind,
        "aimMs": aim_ms,
        "priority": 1,
        "sticky": sticky,
        "match": {"pathPrefix": prefix},
        "action": {
            "service": service,
            "timeoutMs": timeout_ms,
            "maxAttempts": 2,
            "allowedRegions": [],
        },
    }


def request_head(method, path, request_id, *, deadline_ms, key=None, length=None) -> bytes:
    """Return the head of a client's request."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Request-Id: {request_id}",
        f"Request-Deadline: {deadline_ms}",
    ]
    if key is not None:
        lines.append(f"Cookie: Affinity-Key={key}")
    if length is not None:
        lines.append(f"Content-Length: {length}")
    return "\r\n".join([*lines, "", ""]).encode()


def run(case, folder: Path) -> None:
    """Run a case and exit with its status: 1 broken, 0 held, 2 could not run."""

    async def main() -> int:
        try:
            async with asyncio.timeout(110):
                return 1 if await case(folder, TROUBLE) else 0
        except CannotRunError as exc:
            print(f"could not run: {exc}")
        except TimeoutError:
            print("could not run: took too long")
        return 2

    try:
        status = asyncio.run(main())
    except Exception as exc:
        print(f"could not run: {exc!r}")
        status = 2
    sys.stdout.flush()
    # All processes have ended; what is left of the stand-ins' connections is dropped with this one.
    os._exit(status)
