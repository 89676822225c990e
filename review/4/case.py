"""A planned stop under full load: requests that wait at a target when the process exits."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from harness import (
    BOUNDS,
    Deployment,
    Target,
    config,
    read_body,
    read_head,
    request_head,
    rule,
    run,
)

GRACE_S = BOUNDS["graceS"]
WORK_S = 2.2
"""Work of a request; the mean of `proof-fetch` on the sheet of the Thumbprint Charm Shop; s."""

DEADLINE_MS = 12_000
"""Deadline of `proof-fetch` on that sheet."""

TIMEOUT_MS = 8_000
"""The route's timeout: the wait at a full target and the work fit into it."""

PER_S = 24.0
"""Requests a second, steady from start to end; more than the targets can serve."""

LOAD_S = 14.0
STOP_AT_S = 8.0
"""Length of the load, and when the planned stop comes in it; seconds."""


async def fetch(deployment, gateway, request_id, number, ends) -> None:
    """Send one safe request, and note how it ends."""
    record = deployment.record
    host, _, port = gateway.front.rpartition(":")
    outcome, sent_at = "no connection", None
    try:
        async with asyncio.timeout(DEADLINE_MS / 1000):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(
                    request_head(
                        "GET", f"/scan/{number}", request_id, deadline_ms=DEADLINE_MS, key=number
                    )
                )
                sent_at = time.monotonic()
                outcome = "closed without an answer"
                (_, status, _), fields = await read_head(reader)
                outcome = "closed within an answer"
                await read_body(reader, fields)
                outcome = status
            finally:
                writer.transport.abort()
    except TimeoutError:
        outcome = "gave up at the deadline"
    except (OSError, asyncio.IncompleteReadError):
        pass
    record.line(f"client {request_id} at {gateway.name}: {outcome}")
    ends[request_id] = (sent_at, time.monotonic(), outcome)


async def case(folder: Path, trouble: bool) -> bool:
    """Return whether the rule was broken."""
    deployment = Deployment(
        folder,
        gateways=2,
        config=config(
            [rule("proof-fetch", "/scan/", "proofroom", timeout_ms=TIMEOUT_MS, aim_ms=1500)],
            ["proofroom"],
        ),
    )
    record = deployment.record
    try:
        targets = [
            Target(
                f"i-{number}",
                service="proofroom",
                zone=zone,
                record=record,
                work_s=lambda fields: WORK_S,
            )
            for number, zone in enumerate(("kgn-a", "mbj-a") * 4)
        ]
        await deployment.start(targets)
        await asyncio.sleep(4.0)
        stopped, ends, tasks = deployment.gateways[0], {}, []
        began_at = time.monotonic()
        stop_at = began_at + STOP_AT_S
        for number in itertools.count():
            due_at = began_at + number / PER_S
            if due_at > began_at + LOAD_S:
                break
            await asyncio.sleep(max(due_at - time.monotonic(), 0.0))
            if trouble and time.monotonic() >= stop_at and not stopped.stopped_by_script:
                stopped.stopped_by_script = True
                stopped.signal(signal.SIGTERM)
                term_at = time.monotonic()
            gateway = deployment.gateways[number % 2]
            if stopped.stopped_by_script and gateway is stopped and time.monotonic() > stop_at + 2:
                gateway = deployment.gateways[1]
            tasks.append(
                asyncio.create_task(fetch(deployment, gateway, f"p{number:04d}", number, ends))
            )
        await asyncio.gather(*tasks)
        outcomes: dict[str, int] = {}
        for _, _, outcome in ends.values():
            outcomes[outcome] = outcomes.get(outcome, 0) + 1
        lost = []
        for request_id, (sent_at, ended_at, outcome) in ends.items():
            if not outcome.startswith("closed"):
                continue
            arrived = [t.name for t in targets if request_id in t.arrived]
            began = [t.name for t in targets if request_id in t.began]
            text = (
                f"{request_id}: {outcome}; sent {sent_at - term_at:+.2f} s and ended"
                f" {ended_at - term_at:+.2f} s from SIGTERM; arrived at {arrived}, begun at {began}"
            )
            record.line(text)
            print(text)
            # Not counted: the target was at work on it in the last sixth of the grace time.
            if arrived and not began:
                lost.append(request_id)
        text = f"outcomes: {outcomes}; lost while they waited at a target: {lost}"
        record.line(text)
        print(text)
        return bool(lost)
    finally:
        with contextlib.suppress(ProcessLookupError):
            await deployment.stop()


if __name__ == "__main__":
    run(case, Path(__file__).resolve().parent)
