"""Parts of the gateway's fault soak: links with faults, upstreams, and what must hold."""

import asyncio
import contextlib
import hashlib
import time

import msgspec

CALM_S = 3.0
"""Time without unplanned faults after which bounds on time hold; seconds."""

QUEUE_SLOTS = 3
"""Waiting requests over slots at which an upstream refuses."""

HELD_SLACK_S = 0.5
"""Time past a route's timeout by which a request must be answered; seconds."""

NEVER_RAN = (408, 421, 429, 503)


class SentRequest(msgspec.Struct):
    """One request of a client."""

    request_id: str
    method: str
    target: str
    body: bytes
    services: frozenset
    at_most_once: bool
    sent_at: float
    gateway: str
    gave_up_at: float | None = None
    refused: bool = False
    runs: list = []
    answers: set = set()


class PromiseChecker:
    """Collects faults and requests, and says which promise was broken.

    Every check is made when a request reaches an upstream or an answer reaches a client.
    """

    def __init__(self, *, drain_s, max_attempts, budget):
        self.drain_s = drain_s
        self.max_attempts = max_attempts
        self.budget = budget
        self.sent = {}
        self.violations = []
        self.counts = {}
        self._faults = []
        self._first, self._repeats = {}, {}
        self._reaches = {}

    def begin_fault(self, name):
        """Note the start of an unplanned fault; returns a function that notes its end."""
        row = [time.monotonic(), None, name]
        self._faults.append(row)

        def end():
            row[1] = time.monotonic()

        return end

    def is_fault_free(self, *, since, until):
        """Tell whether no unplanned fault touched a span, or the time before it that heals."""
        for start, end, _ in self._faults:
            if start <= until and (end is None or end >= since - CALM_S):
                return False
        return True

    def count(self, name):
        self.counts[name] = self.counts.get(name, 0) + 1

    def record_violation(self, rule, text):
        self.violations.append(f"{rule}: {text}")

    def record_sent(self, sent):
        self.sent[sent.request_id] = sent

    def check_received(self, request_id, *, upstream, method, target, body):
        """Check a request that reached an upstream, whether it runs or not."""
        now = time.monotonic()
        sent = self.sent.get(request_id)
        if sent is None:
            self.record_violation(
                "unasked", f"{request_id!r} reached {upstream.name}; no client sent it"
            )
            return
        if (method, target, body) != (sent.method, sent.target, sent.body):
            self.record_violation(
                "unasked", f"{request_id} was changed on its way to {upstream.name}"
            )
        late_s = now - upstream.withdrawn_at if upstream.withdrawn_at is not None else 0.0
        if late_s > self.drain_s and self.is_fault_free(since=now - late_s, until=now):
            self.record_violation(
                "drain", f"{request_id} reached {upstream.name} {late_s:.2f} s too late"
            )
        reaches = self._reaches.setdefault(request_id, [])
        reaches.append(upstream.name)
        kind = self._first if len(reaches) == 1 else self._repeats
        kind.setdefault(upstream.service, []).append(now)

    def check_run(self, request_id, *, upstream):
        """Check a request that an upstream begins to run."""
        sent = self.sent.get(request_id)
        if sent is None:
            return
        self.count("runs")
        sent.runs.append(upstream.name)
        if sent.at_most_once and len(sent.runs) > 1:
            self.record_violation("twice", f"{request_id} ran on {sent.runs}")
        if sent.at_most_once and sent.refused:
            self.record_violation(
                "refused", f"{request_id} ran on {upstream.name} after it was refused"
            )
        if upstream.service not in sent.services:
            self.record_violation(
                "route", f"{request_id} for {set(sent.services)} ran on {upstream.service}"
            )
        if len(set(sent.runs)) > self.max_attempts:
            self.record_violation("budget", f"{request_id} ran on {sent.runs}")

    def check_answer(self, sent, *, status, headers, body, took_s, timeout_s):
        """Check an answer that a client got."""
        self.count(f"status {status}")
        now = time.monotonic()
        if headers.get("request-id", sent.request_id) != sent.request_id:
            self.record_violation(
                "mixed", f"{sent.request_id} got the answer to {headers['request-id']}"
            )
        if status in NEVER_RAN:
            sent.refused = True
            if sent.at_most_once and sent.runs:
                self.record_violation(
                    "refused", f"{sent.request_id} got {status} and ran on {sent.runs}"
                )
        elif 200 <= status < 300:
            signature = headers.get("response-signature")
            if signature is None or signature != sign(sent.request_id, body):
                self.record_violation(
                    "mixed", f"{sent.request_id} got {len(body)} bytes of another answer"
                )
            elif not sent.runs:
                self.record_violation(
                    "mixed", f"{sent.request_id} got an answer though it never ran"
                )
        elif 300 <= status < 500:
            self.record_violation("denied", f"{sent.request_id} for {sent.target} got {status}")
        held_s = took_s - timeout_s
        if held_s > HELD_SLACK_S and self.is_fault_free(since=now - took_s, until=now):
            self.record_violation(
                "config", f"{sent.request_id} was held {held_s:.2f} s past its timeout"
            )

    def check_retry_budget(self):
        """Check the repeated sends of every window."""
        ratio, slack, window_s = self.budget
        for service, repeats in self._repeats.items():
            firsts = self._first.get(service, [])
            for end in repeats:
                spent = sum(end - window_s < at <= end for at in repeats)
                asked = sum(end - window_s < at <= end for at in firsts)
                if spent > ratio * asked + slack:
                    self.record_violation(
                        "budget", f"{spent} repeats for {asked} requests of {service}"
                    )
                    break


def sign(request_id, body):
    return hashlib.sha256(request_id.encode() + b"|" + body).hexdigest()[:16]


class FaultyLink:
    """A loopback proxy: each direction may be late or silent, and connections may be reset."""

    def __init__(self, target_port):
        self.target_port = target_port
        self.delay_s = 0.0
        self._open = {"up": asyncio.Event(), "down": asyncio.Event()}
        self._transports = set()
        self._server = None
        self.port = 0
        self.restore()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    def block(self, *ways):
        for way in ways:
            self._open[way].clear()

    def restore(self):
        self.delay_s = 0.0
        for event in self._open.values():
            event.set()

    def reset_connections(self):
        for transport in list(self._transports):
            transport.abort()

    def close(self):
        if self._server is not None:
            self._server.close()
        self.reset_connections()

    async def _serve(self, reader, writer):
        try:
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.target_port)
        except OSError:
            writer.transport.abort()
            return
        ends = {writer.transport, far_writer.transport}
        self._transports |= ends
        pumps = [
            asyncio.create_task(self._pump(reader, far_writer, "up")),
            asyncio.create_task(self._pump(far_reader, writer, "down")),
        ]
        try:
            await asyncio.gather(*pumps)
        except (ConnectionError, OSError):
            pass
        finally:
            for pump in pumps:
                pump.cancel()
            for transport in ends:
                transport.abort()
            self._transports -= ends

    async def _pump(self, reader, writer, way):
        while data := await reader.read(65536):
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            await self._open[way].wait()
            writer.write(data)
            await writer.drain()
        await self._open[way].wait()
        writer.close()
        if way == "down":
            raise ConnectionResetError


class SoakUpstream:
    """Runs requests in slots, three times faster for objects that it handled lately."""

    def __init__(self, *, name, service, zone, checker, rng, slots=3, warm_s=0.04):
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.warm_s = warm_s
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.withdrawn_at = None
        self.slow = 1.0
        self.fault_rates = {}
        self._checker = checker
        self._rng = rng
        self._warm = set()
        self._free = asyncio.Semaphore(slots)
        self._load = 0
        self._writers = set()
        self._server = None
        self.link = None

    async def start(self, *, port=0):
        """Listen; the link before it is what others are told of."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        own_port = self._server.sockets[0].getsockname()[1]
        if self.link is None:
            self.link = await FaultyLink(own_port).start()
        self.link.target_port = own_port
        return self

    def crash(self):
        """Close the listener and reset every connection."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def entry(self):
        self.sequence += 1
        return {
            "address": f"127.0.0.1:{self.link.port}",
            "info": {"service": self.service, "version": "v1", "zone": self.zone, "slots": 3},
            "status": {"state": self.state, "sequence": self.sequence, "coldRemainingMs": 0},
            "born": self.born,
        }

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                line, *rest = head.split("\r\n")
                fields = {
                    name.lower(): value.strip()
                    for name, _, value in (each.partition(":") for each in rest if each)
                }
                body = await reader.readexactly(int(fields.get("content-length", 0)))
                method, target, _ = line.split(" ")
                if not await self._answer(reader, writer, method, target, fields, body):
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, reader, writer, method, target, fields, body):
        request_id = fields.get("request-id", "")
        if target == "/health":
            status = 200 if self.state == "ready" else 503
            self._write(writer, status, b"", {"Instance-Id": self.name})
            return True
        if fields.get("expected-instance", self.name) != self.name:
            self._write(writer, 421, b"", {"Request-Id": request_id})
            return True
        self._checker.check_received(
            request_id, upstream=self, method=method, target=target, body=body
        )
        full = self._load >= self.slots * (1 + QUEUE_SLOTS)
        if full or self._rng.random() < self.fault_rates.get("refuses", 0.0):
            self._write(writer, 503, b"", {"Request-Id": request_id, "Not-Executed": "1"})
            return True
        self._load += 1
        try:
            return await self._run(reader, writer, request_id, fields)
        finally:
            self._load -= 1

    async def _run(self, reader, writer, request_id, fields):
        gone = asyncio.ensure_future(reader.read(1))
        try:
            async with self._free:
                if gone.done():
                    return False
                self._checker.check_run(request_id, upstream=self)
                key = fields.get("cookie", "")
                work_s = self.warm_s * (1.0 if key in self._warm else 3.3) * self.slow
                self._warm.add(key)
                left_s = int(fields.get("request-deadline", 1000)) / 1000
                await asyncio.wait({gone}, timeout=min(work_s, left_s))
                if gone.done():
                    return False
                if work_s > left_s:
                    self._write(writer, 504, b"", {"Request-Id": request_id})
                    return True
        finally:
            gone.cancel()
            with contextlib.suppress(asyncio.CancelledError, ConnectionError):
                await gone
        body = f"{request_id} by {self.name}".encode() * self._rng.randint(1, 40)
        headers = {"Request-Id": request_id, "Response-Signature": sign(request_id, body)}
        headers["Instance-Load"] = f"{self._load},0,{self.slots}"
        return self._finish(writer, body, headers)

    def _finish(self, writer, body, headers):
        chance = self._rng.random()
        if chance < self.fault_rates.get("loses", 0.0):
            return False
        if chance < self.fault_rates.get("truncates", 0.0):
            head = self._head(200, len(body) + 9, headers)
            writer.write(head + body)
            return False
        if chance < self.fault_rates.get("garbles", 0.0):
            writer.write(b"\x00\x17 these bytes are no answer \r\n\r\n")
            return False
        self._write(writer, 200, body, headers)
        if chance < self.fault_rates.get("repeats", 0.0):
            self._write(writer, 200, body, headers)
        return True

    def _write(self, writer, status, body, headers):
        writer.write(self._head(status, len(body), headers) + body)

    def _head(self, status, length, headers):
        lines = [f"HTTP/1.1 {status} X", f"Content-Length: {length}"]
        lines.extend(f"{name}: {value}" for name, value in headers.items())
        return ("\r\n".join(lines) + "\r\n\r\n").encode()
