"""A stand-in of the platform's key-value store on loopback, with faults on demand."""

import asyncio
import base64
import contextlib
import json
import time
from urllib.parse import parse_qs, urlsplit

from gooseberryport_site.store import PlatformStore
from gooseberryport_standins.streams import start_stream_server

SEND_INTERVAL_S = 0.02


class StoreStandIn:
    """Holds keys, leases and the history of changes, and serves them over HTTP.

    `fault` is called with the method and target of each request and returns None, a status to
    answer, "silent" (never answers), "reset" (resets the connection), or "lost" (carries out the
    request, then resets the connection instead of answering). `era` is stated in all answers unless
    it is None. `link_bytes_per_s` bounds how fast each answer is sent.
    """

    def __init__(self):
        self.items = {}
        self.leases = {}
        self.renewed_at = {}
        self.events = []
        self.last_lease_id = 100
        self.revision = 10
        self.oldest_revision = 0
        self.page_size = 500
        self.era = None
        self.link_bytes_per_s = None
        self._writers = set()
        self.calls = []
        self.fault = lambda method, target: None
        self._items_changed = asyncio.Condition()
        self.port = 0

    async def put(self, key, value, *, lease=0):
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        async with self._items_changed:
            self.revision += 1
            self.items[key] = {
                "key": key,
                "value": base64.b64encode(data).decode(),
                "revision": self.revision,
                "created": self.revision,
                "lease": lease,
            }
            self.events.append(self.items[key])
            self._items_changed.notify_all()

    async def delete(self, key):
        # The revision and its event change under one lock: a watch must never see only one of them.
        async with self._items_changed:
            if self.items.pop(key, None) is not None:
                self.revision += 1
                self.events.append({"key": key, "revision": self.revision, "deleted": True})
                self._items_changed.notify_all()

    async def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key, item in list(self.items.items()):
            if item["lease"] == lease:
                await self.delete(key)

    async def end_expired_leases(self):
        now = time.monotonic()
        for lease, ttl_ms in list(self.leases.items()):
            if now - self.renewed_at[lease] > ttl_ms / 1000:
                await self.end_lease(lease)

    def copy(self):
        """Return a copy of the data, from which the store may return later."""
        leases = dict(self.leases), self.last_lease_id
        return dict(self.items), leases, list(self.events), self.revision

    async def return_from(self, copy, *, cut=True):
        """Lose what was written since a copy was made; cut the connections, or leave them open."""
        items, leases, events, revision = copy
        async with self._items_changed:
            self.items, self.events = dict(items), list(events)
            self.leases, self.last_lease_id = dict(leases[0]), leases[1]
            self.revision = revision
            self.renewed_at = dict.fromkeys(self.leases, time.monotonic())
            self.era = (self.era or 0) + 1
        if cut:
            while self._writers:
                self._writers.pop().transport.abort()

    def forget_history(self):
        self.oldest_revision = self.revision

    async def serve(self, reader, writer):
        self._writers.add(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                method, target, _ = head.split("\r\n")[0].split(" ")
                length = 0
                for line in head.split("\r\n"):
                    if line.lower().startswith("content-length:"):
                        length = int(line.split(":")[1])
                body = json.loads(await reader.readexactly(length) or b"{}")
                self.calls.append((method, target))
                fault = self.fault(method, target)
                if fault == "silent":
                    await reader.read()
                    break
                if fault == "reset":
                    writer.transport.abort()
                    break
                if isinstance(fault, int):
                    status, answer = fault, {}
                else:
                    status, answer = await self._answer(method, target, body)
                if fault == "lost":
                    writer.transport.abort()
                    break
                data = json.dumps(answer).encode()
                era = b"" if self.era is None else b"Store-Era: %s\r\n" % str(self.era).encode()
                head = b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n" % (status, len(data))
                await self._send(writer, head + era + b"\r\n" + data)

    async def _send(self, writer, data):
        per_round = len(data)
        if self.link_bytes_per_s is not None:
            per_round = int(self.link_bytes_per_s * SEND_INTERVAL_S)
        for start in range(0, len(data), per_round):
            writer.write(data[start : start + per_round])
            if per_round < len(data):
                await asyncio.sleep(SEND_INTERVAL_S)

    async def _answer(self, method, target, body):
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if parts.path == "/v1/kv-range":
            return 200, self._range(query)
        if parts.path == "/v1/kv-watch":
            return await self._watch(query)
        if parts.path == "/v1/kv-lease":
            self.last_lease_id += 1
            lease = self.last_lease_id
            self.leases[lease] = body["ttlMs"]
            self.renewed_at[lease] = time.monotonic()
            return 200, {"lease": lease, "ttlMs": body["ttlMs"]}
        if parts.path.startswith("/v1/kv-keep/"):
            lease = int(parts.path.rpartition("/")[2])
            if lease not in self.leases:
                return 404, {}
            self.renewed_at[lease] = time.monotonic()
            return 200, {"ttlMs": self.leases[lease]}
        if parts.path.startswith("/v1/kv-lease-end/"):
            await self.end_lease(int(parts.path.rpartition("/")[2]))
            return 200, {}
        for put in body["puts"]:
            if put["lease"] and put["lease"] not in self.leases:
                return 404, {}
            await self.put(put["key"], base64.b64decode(put["value"]), lease=put["lease"])
        for key in body["deletes"]:
            await self.delete(key)
        return 200, {"revision": self.revision}

    def _range(self, query):
        keys = sorted(key for key in self.items if key.startswith(query.get("pathPrefix", "")))
        keys = [key for key in keys if key > query.get("after", "")]
        page = [self.items[key] for key in keys[: self.page_size]]
        return {
            "items": page,
            "hasMore": len(keys) > self.page_size,
            "storeRevision": self.revision,
        }

    async def _watch(self, query):
        after = int(query["after"])
        prefix = query.get("pathPrefix", "")
        if after < self.oldest_revision:
            return 410, {}

        def matching_events():
            return [
                event
                for event in self.events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]

        async with self._items_changed:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(
                    self._items_changed.wait_for(lambda: bool(matching_events())),
                    int(query["waitMs"]) / 1000,
                )
            return 200, {"events": matching_events(), "storeRevision": self.revision}


@contextlib.asynccontextmanager
async def store_standin():
    standin = StoreStandIn()
    server = await start_stream_server(standin.serve)
    standin.port = server.sockets[0].getsockname()[1]
    try:
        yield standin, PlatformStore(address=f"127.0.0.1:{standin.port}")
    finally:
        server.close()
