"""One unreadable entry in the store, written by another writer than a target."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import itertools
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from harness import Deployment, Target, config, read_body, read_head, request_head, rule, run

WRITTEN_FOR_S = 40.0
"""How long the other writer writes its entry, as often as targets write theirs; seconds."""

NESTED = 4096
"""Levels of nesting in the unreadable value, which has 4 KB; the store takes 1 MB."""

ENDS_ALLOWED = 2
"""Times that a process may end by itself on a machine; the rule breaks at three."""


async def send_forever(deployment, gateway, numbers, answers) -> None:
    """Send a safe request over a new connection about ten times a second."""
    while True:
        number = next(numbers)
        request_id = f"c{number:06d}"
        outcome = "no connection or no answer"
        with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            async with asyncio.timeout(4.0):
                host, _, port = gateway.front.rpartition(":")
                reader, writer = await asyncio.open_connection(host, int(port))
                try:
                    path = f"/browse/{number % 24}"
                    writer.write(
                        request_head("GET", path, request_id, deadline_ms=4000, key=number % 24)
                    )
                    (_, status, _), fields = await read_head(reader)
                    await read_body(reader, fields)
                    outcome = status
                finally:
                    writer.close()
        deployment.record.line(f"client {request_id} at {gateway.name}: {outcome}")
        answers.append((time.monotonic(), outcome))
        await asyncio.sleep(0.1)


async def case(folder: Path, trouble: bool) -> bool:
    """Return whether the rule was broken."""
    deployment = Deployment(
        folder,
        gateways=3,
        config=config(
            [rule("browse", "/browse/", "storefront", timeout_ms=2500, aim_ms=600)], ["storefront"]
        ),
    )
    record = deployment.record
    clients = []
    try:
        targets = [
            Target(f"i-{number}", service="storefront", zone=zone, record=record)
            for number, zone in enumerate(("kgn-a", "mbj-a", "kgn-a"))
        ]
        await deployment.start(targets)
        numbers, answers = itertools.count(), []
        clients = [
            asyncio.create_task(send_forever(deployment, gateway, numbers, answers))
            for gateway in deployment.gateways
        ]
        await asyncio.sleep(4.0)
        began_at = time.monotonic()
        entry = b'{"address":"127.0.0.1:9","info":{"more":' + b"[" * NESTED
        while time.monotonic() - began_at < WRITTEN_FOR_S:
            if trouble:
                record.line(f"another writer writes servers/i-other, {len(entry)} bytes")
                deployment.store.put("servers/i-other", entry)
            await asyncio.sleep(1.5)
        deployment.store.delete("servers/i-other")
        ended_at = time.monotonic()
        for client in clients:
            client.cancel()
        before = collections.Counter(outcome for at, outcome in answers if at < began_at)
        during = collections.Counter(outcome for at, outcome in answers if at >= began_at)
        ends = {gateway.name: len(gateway.own_ends) for gateway in deployment.gateways}
        often = [name for name, count in ends.items() if count > ENDS_ALLOWED]
        for text in (
            f"processes that ended by themselves in {ended_at - began_at:.0f} s: {ends}",
            f"answers before: {dict(before)}",
            f"answers while the entry was written: {dict(during)}",
        ):
            record.line(text)
            print(text)
        return len(often) >= 2
    finally:
        for client in clients:
            client.cancel()
        await deployment.stop()


if __name__ == "__main__":
    run(case, Path(__file__).resolve().parent)
