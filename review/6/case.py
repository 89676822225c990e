"""REFUSED: a target runs an order and answers 429 without `Not-Executed`; the client gets 429."""

import asyncio
import itertools
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from small_site import (  # noqa: E402
    HOST,
    Store,
    body_length,
    configuration,
    field,
    read_answer,
    run_case,
    running_gateways,
    server_entry,
)

ZONES = {"kgn-a": "kingston", "kgn-b": "kingston"}
SERVICE = "storefront"
SITE_HOST = "shop.example"
TARGETS = 8
GREY_TARGETS = 1  # A share of 0.125; the site's srv_grey has 0.14.
FAILED_FRACTION = 0.45  # The site's srv_grey: x = 0.45.
SLOTS = 3
WORK_S = 0.5
ORDERS = 150
ORDERS_PER_S = 10.0
DEADLINE_S = 6.0
REFUSALS = (408, 421, 429, 503)


class Target:
    """A target of the service, which runs every request that names it; one of them is grey."""

    def __init__(self, name, *, grey, record, runs):
        self.name = name
        self.port = 0
        self._grey = grey
        self._record = record
        self._runs = runs
        self._rng = random.Random(name)

    async def start(self):
        """Open the target's address."""
        server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                body = await reader.readexactly(body_length(head))
                await self._answer(writer, head, body)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def _answer(self, writer, head, body):
        if head.startswith(b"GET /health "):
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nInstance-Id: %s\r\n\r\n"
                % self.name.encode()
            )
            return
        request_id = field(head, "request-id")
        if field(head, "expected-instance") != self.name:
            writer.write(b"HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n")
            return
        self._runs.setdefault(request_id, []).append((self.name, body.decode()))
        self._record.write(f"{self.name} runs {request_id}: {body.decode()}")
        await asyncio.sleep(WORK_S)
        fails = self._grey and self._rng.random() < FAILED_FRACTION
        status = b"429 Too Many Requests" if fails else b"200 OK"
        answer = b"done: " + body
        writer.write(
            b"HTTP/1.1 %s\r\nContent-Length: %d\r\nRequest-Id: %s\r\nResponse-Signature: %s\r\n"
            b"Instance-Load: 1,0,%d\r\n\r\n%s"
            % (
                status,
                len(answer),
                request_id.encode(),
                b"sig-" + request_id.encode(),
                SLOTS,
                answer,
            )
        )
        self._record.write(f"{self.name} answers {request_id}: {status.decode()}")


async def send(gateway, request_id, order):
    """Send one client attempt on a new connection; return its status and Retry-After."""
    reader, writer = await asyncio.open_connection(HOST, gateway.ports["front"])
    body = order.encode()
    writer.write(
        f"POST /orders/{order} HTTP/1.1\r\nHost: {SITE_HOST}\r\nRequest-Id: {request_id}\r\n"
        f"Request-Deadline: {int(DEADLINE_S * 1000)}\r\nContent-Length: {len(body)}\r\n"
        "Connection: close\r\n\r\n".encode() + body
    )
    answer = await asyncio.wait_for(read_answer(reader), DEADLINE_S)
    writer.close()
    if answer is None:
        return 0, 0.0
    return answer[0], float(field(answer[1], "retry-after") or 0.0)


async def place_order(number, gateways, record, statuses):
    """Place an order, and once more if the answer promises that it has not run."""
    order = f"order-{number}"
    for attempt in range(2):
        request_id = f"{order}.{attempt}"
        record.write(f"client sends {request_id}")
        status, retry_s = await send(gateways[number % len(gateways)], request_id, order)
        statuses[request_id] = status
        record.write(f"client gets {request_id}: {status}")
        if status not in REFUSALS:
            return
        await asyncio.sleep(min(retry_s, DEADLINE_S / 3))


async def case(record, trouble):
    """Play the case; return the broken promises."""
    store = Store()
    await store.start()
    rule = {
        "name": "place-order",
        "kind": "unsafe",
        "aimMs": 800,
        "priority": 1,
        "match": {"pathPrefix": "/orders/"},
        "action": {"service": SERVICE, "timeoutMs": 2500, "maxAttempts": 2},
    }
    runs, statuses = {}, {}
    await store.put("op/config", configuration(host=SITE_HOST, service=SERVICE, rule=rule))
    zones = itertools.cycle(ZONES)
    for number in range(TARGETS):
        grey = trouble and number < GREY_TARGETS
        target = Target(f"i-{number}", grey=grey, record=record, runs=runs)
        await target.start()
        entry = server_entry(target.port, service=SERVICE, zone=next(zones), slots=SLOTS)
        await store.put(f"servers/{target.name}", entry)
    async with running_gateways(zones=ZONES, store=store) as gateways:
        await asyncio.sleep(3.5)
        started_at = time.monotonic()
        clients = []
        for number in range(ORDERS):
            await asyncio.sleep(max(started_at + number / ORDERS_PER_S - time.monotonic(), 0.0))
            clients.append(asyncio.ensure_future(place_order(number, gateways, record, statuses)))
        await asyncio.gather(*clients)
    broken = [
        f"REFUSED: {request_id} was answered {status} and ran on {runs[request_id][0][0]}"
        for request_id, status in statuses.items()
        if status in REFUSALS and request_id in runs
    ]
    orders = [order for attempts in runs.values() for _, order in attempts]
    doubled = sorted(order for order in set(orders) if orders.count(order) > 1)
    record.write(f"{ORDERS} orders, {len(runs)} runs, {len(doubled)} orders ran twice: {doubled}")
    return broken


if __name__ == "__main__":
    run_case(case, folder=FOLDER)
