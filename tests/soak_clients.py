"""Clients of the gateway's fault soak: they reuse connections, pipeline requests and time out."""

import asyncio
import contextlib
import itertools
import json
import time

from soak_harness import SentRequest

LOOKUP_TIMEOUT_S = 1.0
"""Timeout of a gateway look-up, in seconds."""

CONNECT_TIMEOUT_S = 1.0
"""Timeout of a connection attempt, in seconds."""

ANSWER_TIMEOUT_S = 3.0
"""How long a client waits for an answer, in seconds."""


class NoAnswerError(Exception):
    """The connection closed before the whole answer was received."""


class GatewayConnection:
    """A client's connection to a gateway; `closing` if the gateway closes it after its answer."""

    def __init__(self, address, reader, writer):
        self.address = address
        self.reader = reader
        self.writer = writer
        self.closing = False

    async def read_answer(self):
        """Read one answer; return its status, header fields and body."""
        try:
            head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            status_line, *rest = head.split("\r\n")
            fields = {
                name.lower(): value.strip()
                for name, _, value in (header.partition(":") for header in rest if header)
            }
            body = await self.reader.readexactly(int(fields.get("content-length", 0)))
        except (asyncio.IncompleteReadError, ConnectionError, OSError) as exc:
            raise NoAnswerError(repr(exc)) from exc
        self.closing = fields.get("connection") == "close"
        return int(status_line.split(" ")[1]), fields, body

    def close(self):
        self.writer.transport.abort()


class SoakClient:
    """Sends requests until it is cancelled, and has every answer checked."""

    def __init__(self, *, name, env, rng):
        self._name = name
        self._env = env
        self._checker = env.checker
        self._rng = rng
        self._serials = itertools.count()
        self._keys = {}
        self._conn = None
        self._gateway_addresses = []
        self._looked_up_at = float("-inf")

    async def run(self):
        """Send bursts of requests at random intervals until cancelled."""
        try:
            while True:
                await asyncio.sleep(self._rng.expovariate(self._env.rate_per_client))
                with contextlib.suppress(OSError, TimeoutError, NoAnswerError):
                    await self.send_burst()
        finally:
            self.close()

    def close(self):
        """Close the connection, if there is one."""
        if self._conn is not None:
            self._conn.close()
            self._conn = None

    async def send_burst(self, *, kind=None):
        """Send one burst of requests; return the last status, or None without a gateway."""
        conn = await self._connection()
        if conn is None:
            self._checker.count("no gateway")
            return None
        burst = [self._new_request(conn, kind) for _ in range(self._burst_size(kind))]
        statuses = []
        try:
            for sent in burst:
                conn.writer.write(self._encode(sent))
            for position, sent in enumerate(burst):
                statuses.append(await self._await_answer(conn, sent, answered_before=position))
                if conn.closing:
                    break
        finally:
            if conn.closing or len(statuses) < len(burst):
                self.close()
        return statuses[-1]

    def _burst_size(self, kind):
        return 3 if kind is None and self._rng.random() < 0.15 else 1

    def _new_request(self, conn, kind):
        kind = kind or self._rng.choice(("pages", "pages", "orders", "proofs"))
        request_id = f"{self._name}-{next(self._serials)}"
        at_most_once = kind == "orders"
        tenant, key = self._env.draw_tenant(self._rng)
        self._keys[request_id] = key
        sent = SentRequest(
            request_id=request_id,
            method="POST" if at_most_once else "GET",
            target=f"/{kind}/{self._rng.randrange(9)}?q={request_id}",
            body=f"order {request_id}".encode() if at_most_once else b"",
            services=self._env.allowed_services(kind),
            at_most_once=at_most_once,
            sent_at=time.monotonic(),
            gateway=conn.address,
            tenant=tenant,
        )
        self._checker.record_sent(sent)
        return sent

    def _encode(self, sent):
        lines = [f"{sent.method} {sent.target} HTTP/1.1", "Host: soak.example"]
        lines.append(f"Request-Id: {sent.request_id}")
        lines.append(f"Request-Deadline: {int(ANSWER_TIMEOUT_S * 1000)}")
        lines.append(f"Cookie: Affinity-Key={sent.target.split('?')[0]}")
        if key := self._keys.pop(sent.request_id):
            lines.append(f"Authorization: Bearer {key}")
        if sent.body:
            lines.append(f"Content-Length: {len(sent.body)}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + sent.body

    async def _await_answer(self, conn, sent, *, answered_before):
        wait_s = 0.05 if self._rng.random() < 0.04 else ANSWER_TIMEOUT_S
        try:
            async with asyncio.timeout(wait_s):
                status, fields, body = await conn.read_answer()
        except TimeoutError:
            sent.gave_up_at = time.monotonic()
            self._checker.count("gave up")
            raise
        except NoAnswerError:
            self._checker.count("no answer")
            self._env.check_unanswered(sent, answered_before=answered_before)
            raise
        self._checker.check_answer(
            sent,
            status=status,
            headers=fields,
            body=body,
            took_s=time.monotonic() - sent.sent_at,
            timeout_s=self._env.timeout_s,
        )
        return status

    async def _connection(self):
        if self._conn is not None and not self._conn.reader.at_eof():
            return self._conn
        self.close()
        for address in await self._look_up():
            host, _, port = address.rpartition(":")
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    reader, writer = await asyncio.open_connection(host, int(port))
            except (OSError, TimeoutError):
                continue
            self._conn = GatewayConnection(address, reader, writer)
            return self._conn
        return None

    async def _look_up(self):
        if time.monotonic() - self._looked_up_at > 2.0:
            location = self._rng.choice(self._env.gateways)
            for gateway in self._rng.sample(self._env.gateways, len(self._env.gateways)):
                with contextlib.suppress(OSError, TimeoutError, ValueError, IndexError):
                    async with asyncio.timeout(LOOKUP_TIMEOUT_S):
                        path = f"/v1/resolve?name=x&region={location.region}&zone={location.zone}"
                        status, body = await gateway.get("directory", path)
                    if status == 200:
                        self._gateway_addresses = json.loads(body)["addresses"]
                        self._looked_up_at = time.monotonic()
                        break
        return self._rng.sample(self._gateway_addresses, len(self._gateway_addresses))
