"""Faulty links, stand-in upstreams and the promise checker of the gateway's fault soak."""

import asyncio
import contextlib
import hashlib
import time

import msgspec

from gooseberryport_standins.streams import start_stream_server

FAULT_RECOVERY_S = 3.0
"""Time after an unplanned fault during which time limits are not checked, in seconds."""

MAX_QUEUED_PER_SLOT = 3
"""Queued requests for each slot above which an upstream rejects requests."""

TIMEOUT_SLACK_S = 0.5
"""Time after its route's timeout within which a request must be answered, in seconds."""

NOT_RUN_STATUSES = (408, 421, 429, 503)
"""Statuses with which a gateway reports that the request did not run."""


MISREPORTED_STATUSES = (0, 99, 600, 999, *NOT_RUN_STATUSES)
"""Statuses with which a faulty upstream answers requests that it ran."""

STRANGER = "stranger"
"""Tenant of the requests whose key no configuration holds."""


class Quota(msgspec.Struct, frozen=True):
    """What a tenant may run in any window: its rate and burst, and what is tolerated beyond."""

    window_s: float
    overage: float
    slack: float
    per_s: float
    burst: float

    @property
    def allowed(self):
        return (self.per_s * self.window_s + self.burst) * (1.0 + self.overage) + self.slack


class SentRequest(msgspec.Struct):
    """A request sent by a client, and the upstreams that ran it."""

    request_id: str
    method: str
    target: str
    body: bytes
    services: frozenset
    at_most_once: bool
    sent_at: float
    gateway: str
    tenant: str | None = None
    gave_up_at: float | None = None
    reported_not_run: bool = False
    runs: list = []
    answers: set = set()


class PromiseChecker:
    """Records faults and requests, and collects the violations of the gateway's promises.

    A request is checked when an upstream receives it, and an answer when a client receives it.
    """

    def __init__(self, *, drain_s, max_attempts, budget, quotas):
        self.drain_s = drain_s
        self.max_attempts = max_attempts
        self.budget = budget
        self.quotas = quotas
        self._tenant_runs = {}
        self.sent = {}
        self.violations = []
        self.counts = {}
        self._faults = []
        self._first_sends, self._retries = {}, {}
        self._receivers = {}

    def begin_fault(self, name):
        """Record the start of an unplanned fault; return a function that records its end."""
        period = [time.monotonic(), None, name]
        self._faults.append(period)

        def end():
            period[1] = time.monotonic()

        return end

    def is_fault_free(self, *, since, until):
        """Return whether no unplanned fault overlaps a span or the `FAULT_RECOVERY_S` before it."""
        for start, end, _ in self._faults:
            if start <= until and (end is None or end >= since - FAULT_RECOVERY_S):
                return False
        return True

    def count(self, name):
        self.counts[name] = self.counts.get(name, 0) + 1

    def count_by(self, name, number):
        self.counts[name] = self.counts.get(name, 0) + number

    def record_violation(self, rule, text):
        self.violations.append(f"{rule}: {text}")

    def record_sent(self, sent):
        self.sent[sent.request_id] = sent

    def check_received(self, request_id, *, upstream, method, target, body, fields):
        """Check a request that an upstream received, whether it runs or not."""
        now = time.monotonic()
        sent = self.sent.get(request_id)
        if sent is None:
            self.record_violation(
                "unasked", f"{upstream.name} received {request_id!r}, which no client sent"
            )
            return
        if (method, target, body) != (sent.method, sent.target, sent.body):
            self.record_violation(
                "unasked", f"{request_id} was altered on its way to {upstream.name}"
            )
        if fields.get("tenant-id") != sent.tenant or "authorization" in fields:
            self.record_violation(
                "unasked",
                f"{request_id} of {sent.tenant} reached {upstream.name} as"
                f" {fields.get('tenant-id')}, with its key: {'authorization' in fields}",
            )
        overdue_s = now - upstream.withdrawn_at if upstream.withdrawn_at is not None else 0.0
        if overdue_s > self.drain_s and self.is_fault_free(since=now - overdue_s, until=now):
            self.record_violation(
                "drain",
                f"{upstream.name} received {request_id} {overdue_s:.2f} s after it was withdrawn",
            )
        receivers = self._receivers.setdefault(request_id, [])
        receivers.append(upstream.name)
        sends = self._first_sends if len(receivers) == 1 else self._retries
        sends.setdefault(upstream.service, []).append(now)

    def check_run(self, request_id, *, upstream):
        """Check a request that an upstream starts to run."""
        sent = self.sent.get(request_id)
        if sent is None:
            return
        self.count("runs")
        sent.runs.append(upstream.name)
        if len(sent.runs) == 1:
            self._tenant_runs.setdefault(sent.tenant, []).append(time.monotonic())
        if sent.tenant == STRANGER:
            self.record_violation("route", f"{request_id} ran without a known key")
        if sent.at_most_once and len(sent.runs) > 1:
            self.record_violation("twice", f"{request_id} ran on {sent.runs}")
        if sent.at_most_once and sent.reported_not_run:
            self.record_violation(
                "refused", f"{request_id} ran on {upstream.name} after it was reported as not run"
            )
        if upstream.service not in sent.services:
            self.record_violation(
                "route", f"{request_id} for {set(sent.services)} ran on {upstream.service}"
            )
        if len(set(sent.runs)) > self.max_attempts:
            self.record_violation("budget", f"{request_id} ran on {sent.runs}")

    def check_answer(self, sent, *, status, headers, body, took_s, timeout_s):
        """Check an answer that a client received."""
        self.count(f"status {status}")
        now = time.monotonic()
        if headers.get("request-id", sent.request_id) != sent.request_id:
            self.record_violation(
                "mixed", f"{sent.request_id} got the answer to {headers['request-id']}"
            )
        if status in NOT_RUN_STATUSES:
            sent.reported_not_run = True
            if sent.at_most_once and sent.runs:
                self.record_violation(
                    "refused", f"{sent.request_id} got {status} but ran on {sent.runs}"
                )
        elif 200 <= status < 300:
            signature = headers.get("response-signature")
            if signature is None or signature != sign(sent.request_id, body):
                self.record_violation(
                    "mixed", f"{sent.request_id} got {len(body)} bytes not signed for it"
                )
            elif not sent.runs:
                self.record_violation(
                    "mixed", f"{sent.request_id} got an answer though it never ran"
                )
        elif not 200 <= status < 600:
            self.record_violation("mixed", f"{sent.request_id} got the status {status:03}")
        elif status == 401 and sent.tenant == STRANGER:
            pass
        elif 300 <= status < 500:
            self.record_violation(
                "denied", f"{sent.request_id} for {sent.target} got unexpected {status}"
            )
        late_s = took_s - timeout_s
        if late_s > TIMEOUT_SLACK_S and self.is_fault_free(since=now - took_s, until=now):
            self.record_violation(
                "config", f"{sent.request_id} was answered {late_s:.2f} s after its timeout"
            )

    def check_retry_budget(self):
        """Check that retries stay within the retry budget in every window."""
        ratio, slack, window_s = self.budget
        for service, retries in self._retries.items():
            first_sends = self._first_sends.get(service, [])
            for end in retries:
                retried = sum(end - window_s < at <= end for at in retries)
                sent_first = sum(end - window_s < at <= end for at in first_sends)
                if retried > ratio * sent_first + slack:
                    self.record_violation(
                        "budget", f"{retried} retries for {sent_first} requests of {service}"
                    )
                    break

    def check_quotas(self):
        """Check that the runs of each limited tenant stay within its quota in every window."""
        for tenant, quota in self.quotas.items():
            runs = self._tenant_runs.get(tenant, [])
            most = max(
                (sum(end - quota.window_s < at <= end for at in runs) for end in runs), default=0
            )
            self.count_by(f"most runs of {tenant} in a window", most)
            if most > quota.allowed:
                self.record_violation("quota", f"{tenant} ran {most}, {quota.allowed:.0f} allowed")


def sign(request_id, body):
    return hashlib.sha256(request_id.encode() + b"|" + body).hexdigest()[:16]


class FaultyLink:
    """A loopback proxy that can delay or block each direction and reset its connections."""

    def __init__(self, target_port):
        self.target_port = target_port
        self.delay_s = 0.0
        self._directions_open = {"up": asyncio.Event(), "down": asyncio.Event()}
        self._transports = set()
        self._silenced = 0
        self._server = None
        self.port = 0
        self.restore()

    async def start(self):
        self._server = await start_stream_server(self._serve)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    def block(self, *directions):
        for direction in directions:
            self._directions_open[direction].clear()

    def restore(self):
        self.delay_s = 0.0
        for event in self._directions_open.values():
            event.set()

    def reset_connections(self):
        for transport in list(self._transports):
            transport.abort()

    def silence_connections(self):
        """Drop what the open connections carry from now on; new ones work."""
        self._silenced += 1

    def close(self):
        if self._server is not None:
            self._server.close()
        self.reset_connections()

    async def _serve(self, reader, writer):
        try:
            target_reader, target_writer = await asyncio.open_connection(
                "127.0.0.1", self.target_port
            )
        except OSError:
            writer.transport.abort()
            return
        ends = {writer.transport, target_writer.transport}
        self._transports |= ends
        forwarders = [
            asyncio.create_task(self._forward(reader, target_writer, "up")),
            asyncio.create_task(self._forward(target_reader, writer, "down")),
        ]
        try:
            await asyncio.gather(*forwarders)
        except (ConnectionError, OSError):
            pass
        finally:
            for forwarder in forwarders:
                forwarder.cancel()
            for transport in ends:
                transport.abort()
            self._transports -= ends

    async def _forward(self, reader, writer, direction):
        silenced = self._silenced
        while data := await reader.read(65536):
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            await self._directions_open[direction].wait()
            if silenced != self._silenced:
                continue
            writer.write(data)
            await writer.drain()
        await self._directions_open[direction].wait()
        writer.close()
        if direction == "down":
            raise ConnectionResetError


class SoakUpstream:
    """Runs requests in slots; an object that it handled before takes a third of the time."""

    def __init__(self, *, name, service, zone, checker, rng, slots=3, warm_service_s=0.04):
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.warm_service_s = warm_service_s
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.withdrawn_at = None
        self.slowdown = 1.0
        self.fault_rates = {}
        self._checker = checker
        self._rng = rng
        self._warm_objects = set()
        self._free_slots = asyncio.Semaphore(slots)
        self._load = 0
        self._writers = set()
        self._server = None
        self.link = None

    async def start(self, *, port=0):
        """Listen; the address that others get is that of the link in front of this upstream."""
        self._server = await start_stream_server(self._serve, port=port)
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
                start_line, *rest = head.split("\r\n")
                fields = {
                    name.lower(): value.strip()
                    for name, _, value in (header.partition(":") for header in rest if header)
                }
                body = await reader.readexactly(int(fields.get("content-length", 0)))
                method, target, _ = start_line.split(" ")
                if not await self._answer(reader, writer, method, target, fields, body):
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            self._writers.discard(writer)

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
            request_id, upstream=self, method=method, target=target, body=body, fields=fields
        )
        full = self._load >= self.slots * (1 + MAX_QUEUED_PER_SLOT)
        if full or self._rng.random() < self.fault_rates.get("refuses", 0.0):
            self._write(writer, 503, b"", {"Request-Id": request_id, "Not-Executed": "1"})
            return True
        self._load += 1
        try:
            return await self._run(reader, writer, request_id, fields)
        finally:
            self._load -= 1

    async def _run(self, reader, writer, request_id, fields):
        closed = asyncio.ensure_future(reader.read(1))
        try:
            async with self._free_slots:
                if closed.done():
                    return False
                self._checker.check_run(request_id, upstream=self)
                key = fields.get("cookie", "")
                work_s = (
                    self.warm_service_s
                    * (1.0 if key in self._warm_objects else 3.3)
                    * self.slowdown
                )
                self._warm_objects.add(key)
                remaining_s = int(fields.get("request-deadline", 1000)) / 1000
                await asyncio.wait({closed}, timeout=min(work_s, remaining_s))
                if closed.done():
                    return False
                if work_s > remaining_s:
                    self._write(writer, 504, b"", {"Request-Id": request_id})
                    return True
        finally:
            closed.cancel()
            with contextlib.suppress(asyncio.CancelledError, ConnectionError):
                await closed
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
        if chance < self.fault_rates.get("garbles", 0.0) / 2:
            self._write(writer, self._rng.choice(MISREPORTED_STATUSES), body, headers)
            return True
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
        lines = [f"HTTP/1.1 {status:03} X", f"Content-Length: {length}"]
        lines.extend(f"{name}: {value}" for name, value in headers.items())
        return ("\r\n".join(lines) + "\r\n\r\n").encode()
