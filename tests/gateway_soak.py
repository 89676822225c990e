"""Long random failures against real gateways: python tests/gateway_soak.py --seed 7.

Gateways run as processes of their own; the store, upstreams and clients are stand-ins in this one.
Faults come from outside the gateways: signals, and links that delay, reset or silence connections.
Every promise is checked from what clients and upstreams see.
"""

import argparse
import asyncio
import contextlib
import itertools
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).parents[1]
sys.path.insert(0, str(ROOT / "platform"))

from soak_clients import SoakClient  # noqa: E402
from soak_parts import Link, SoakUpstream, Watch  # noqa: E402
from store_standin import store_standin  # noqa: E402

GRACE_S = 5
DRAIN_S = 2.0
RECOVER_S = 15.0
RECOVERED_SHARE = 0.25
TIMEOUT_S = 1.5
MAX_ATTEMPTS = 2
BUDGET = (0.2, 50.0, 10.0)
PLACES = {"a1": "A", "a2": "A", "b1": "B"}
CLIENTS = 10
LOST_SLACK_S = 0.2
LAG_S = 0.1
"""Lateness of this process's own loop from which bounds on time are not judged; seconds."""


FIRST_PORT = 15_000
PORTS_PER_RUN = 100
RUNS = 170
"""Runs side by side take ports from ranges of their own, below those of outgoing connections."""

_ports = itertools.cycle(range(PORTS_PER_RUN))


def free_port():
    first = FIRST_PORT + os.getpid() % RUNS * PORTS_PER_RUN
    while True:
        port = first + next(_ports)
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(("127.0.0.1", port))
            return port


class GatewayProcess:
    """One gateway's process, and the link between it and the store."""

    def __init__(self, *, name, zone, folder, store_port):
        self.name = name
        self.zone = zone
        self.region = PLACES[zone]
        self.ports = {role: free_port() for role in ("front", "ready", "directory", "control")}
        self.store_link = Link(store_port)
        self.stopping_since = None
        self.expected_down = False
        self.process = None
        self._peer_port = free_port()
        self._path = folder / f"{name}.json"
        self._log_path = folder / f"{name}.log"

    async def start(self, *, seeds=()):
        if self.store_link.port == 0:
            await self.store_link.start()
            self.write_settings(seeds)
        own = {"GOOSEBERRYPORT_BOOT": str(self._path), "PYTHONPATH": str(ROOT / "platform")}
        with self._log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "gooseberryport_site", env=os.environ | own, stdout=log
            )
        self.stopping_since = None

    def write_settings(self, seeds):
        bounds = {"retryBudgetRatio": BUDGET[0], "budgetSlack": BUDGET[1]}
        bounds |= {"budgetWindowS": BUDGET[2], "graceS": GRACE_S, "drainMs": DRAIN_S * 1000}
        settings = {
            "nodeName": self.name,
            "ip": "127.0.0.1",
            "zone": self.zone,
            "region": self.region,
            "zones": PLACES,
            "listen": {role: f"127.0.0.1:{port}" for role, port in self.ports.items()},
            "portRange": [self._peer_port, 65535],
            "seeds": list(seeds),
            "platform": {"address": f"127.0.0.1:{self.store_link.port}", "ttlMinMs": 1000},
            "bounds": bounds,
        }
        self._path.write_text(json.dumps(settings))

    @property
    def running(self):
        return self.process is not None and self.process.returncode is None

    def signal(self, number):
        if self.running:
            self.process.send_signal(number)

    async def get(self, role, path):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.ports[role])
        try:
            writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
            data = await reader.read()
        finally:
            writer.transport.abort()
        return int(data.split(b" ")[1]), data.partition(b"\r\n\r\n")[2]


class World:
    """Everything that one run of the soak consists of."""

    def __init__(self, *, seed, seconds, folder, standin):
        self.rng = random.Random(seed)
        self.seconds = seconds
        self.standin = standin
        self.watch = Watch(drain_s=DRAIN_S, max_attempts=MAX_ATTEMPTS, budget=BUDGET)
        self.rate_per_client = 5.0
        self.timeout_s = TIMEOUT_S
        self.upstreams = []
        self.evacuated = None
        self.version = 0
        self._started = 0
        self._pages_service = {"s"}
        self.gateways = [
            GatewayProcess(name=f"gw{n}", zone=zone, folder=folder, store_port=standin.port)
            for n, zone in enumerate(("a1", "a1", "a1", "a2", "a2", "b1"))
        ]

    def services_of(self, kind):
        """Return the services that any configuration ever sent lets a kind of request go to."""
        if kind == "pages":
            return frozenset(self._pages_service)
        return frozenset({"t"} if kind == "proofs" else {"s"})

    async def put_config(self, *, pages="s", timeout_s=TIMEOUT_S):
        self.version += self.rng.randint(1, 5)
        self._pages_service.add(pages)
        rules = []
        for prefix, service, kind in (
            ("pages", pages, "safe"),
            ("orders", "s", "unsafe"),
            ("proofs", "t", "safe"),
        ):
            action = {"service": service, "timeoutMs": timeout_s * 1000}
            rules.append(
                {
                    "name": prefix,
                    "kind": kind,
                    "sticky": True,
                    "aimMs": 400,
                    "priority": 1 if prefix == "orders" else 2,
                    "match": {"pathPrefix": f"/{prefix}/"},
                    "action": action | {"maxAttempts": MAX_ATTEMPTS},
                }
            )
        clusters = [{"name": name, "coldPerS": 4.0} for name in ("s", "t")]
        listeners = [{"host": "soak.example", "rules": rules}]
        config = {"version": self.version, "listeners": listeners, "clusters": clusters}
        await self.standin.put("op/config", config)

    async def add_upstream(self, service, *, zone=None, link=None):
        self._started += 1
        upstream = SoakUpstream(
            name=f"u{self._started}",
            service=service,
            zone=zone or self.rng.choice(list(PLACES)),
            watch=self.watch,
            rng=self.rng,
        )
        upstream.link = link
        await upstream.start()
        self.upstreams.append(upstream)
        await self.report(upstream)
        return upstream

    async def report(self, upstream):
        await self.standin.put(f"servers/{upstream.name}", upstream.entry())

    def live(self, service=None):
        return [
            each
            for each in self.upstreams
            if each.state == "ready" and service in (None, each.service)
        ]

    def note_cut(self, sent, *, behind):
        """Check a connection that ended while a request on it waited."""
        gateway = next(
            each for each in self.gateways if sent.gateway.endswith(f":{each.ports['front']}")
        )
        now = time.monotonic()
        stopping = gateway.stopping_since
        took_s = now - sent.sent_at
        if took_s < LOST_SLACK_S and not sent.runs:
            return
        if behind and not sent.runs:
            return
        if stopping is not None and sent.sent_at > stopping + 3.0:
            return
        if self.watch.calm(since=sent.sent_at, until=now):
            self.watch.breach(
                "lost",
                f"{sent.request_id} was cut after {took_s:.2f} s by {gateway.name}, "
                f"runs {sent.runs}, stopping {stopping is not None}",
            )

    async def beat(self):
        """Let upstreams report, and leases end, as the platform does."""
        while True:
            for upstream in list(self.upstreams):
                if upstream.state in ("ready", "draining"):
                    await self.report(upstream)
            await self.standin.end_overdue_leases()
            await asyncio.sleep(1.0)

    async def watch_lag(self):
        """Note pauses of this process: clients and upstreams stand still meanwhile."""
        while True:
            before = time.monotonic()
            await asyncio.sleep(0.02)
            if time.monotonic() - before > LAG_S:
                self.watch.fault("lag")()
                self.watch.count("lag")

    async def watch_exits(self):
        """Note processes that end though nobody asked them to."""
        while True:
            for gateway in self.gateways:
                if not gateway.running and not gateway.expected_down:
                    self.watch.breach("exit", f"{gateway.name} ended by itself")
                    gateway.expected_down = True
            await asyncio.sleep(0.1)


async def stop(world, gateway):
    """Ask a gateway to stop, and start it again after it ended."""
    if gateway.expected_down or not gateway.running:
        return
    gateway.expected_down = True
    calm_before = world.watch.calm(since=time.monotonic(), until=time.monotonic())
    gateway.stopping_since = started = time.monotonic()
    gateway.signal(signal.SIGTERM)
    try:
        code = await asyncio.wait_for(gateway.process.wait(), GRACE_S)
        if code != 0:
            world.watch.breach("exit", f"{gateway.name} ended with {code} after SIGTERM")
    except TimeoutError:
        if calm_before and world.watch.calm(since=started, until=time.monotonic()):
            world.watch.breach("exit", f"{gateway.name} still ran after its grace time")
        end = world.watch.fault("kill after grace")
        gateway.signal(signal.SIGKILL)
        await gateway.process.wait()
        end()
    await gateway.start()
    gateway.expected_down = False


async def kill(world, gateways, down_s):
    end = world.watch.fault("kill")
    hit = [each for each in gateways if not each.expected_down and each.running]
    for gateway in hit:
        gateway.expected_down = True
        gateway.signal(signal.SIGKILL)
    for gateway in hit:
        await gateway.process.wait()
    await asyncio.sleep(down_s)
    for gateway in hit:
        await gateway.start()
        gateway.expected_down = False
    await asyncio.sleep(1.0)
    end()


@contextlib.asynccontextmanager
async def fault(world, name, for_s):
    end = world.watch.fault(name)
    try:
        yield
        await asyncio.sleep(for_s)
    finally:
        end()


async def pause(world, gateway, for_s):
    async with fault(world, "pause", 0.2):
        gateway.signal(signal.SIGSTOP)
        await asyncio.sleep(for_s)
        gateway.signal(signal.SIGCONT)


async def store_fault(world, answer, for_s, share):
    def decide(method, target):
        return answer if world.rng.random() < share else None

    async with fault(world, f"store {answer}", 0.0):
        world.standin.fault = decide
        await asyncio.sleep(for_s)
        world.standin.fault = lambda method, target: None


async def store_cut(world, gateway, ways, for_s):
    async with fault(world, "store cut", 0.0):
        gateway.store_link.silence(*ways)
        await asyncio.sleep(for_s)
        gateway.store_link.heal()
        gateway.store_link.reset()


async def trouble(world, upstream, kind, share, for_s):
    async with fault(world, kind, 0.0):
        upstream.trouble = {kind: share}
        await asyncio.sleep(for_s)
        upstream.trouble = {}


async def link_fault(world, upstream, kind, for_s):
    async with fault(world, f"link {kind}", 0.0):
        if kind == "reset":
            upstream.link.reset()
        elif kind == "delay":
            upstream.link.delay_s = 0.15
        else:
            upstream.link.silence(*{"silent": ("up", "down"), "one way": ("down",)}[kind])
        await asyncio.sleep(for_s)
        upstream.link.heal()


async def crash(world, upstream, for_s):
    """End an upstream without a word; it starts again, cold, under its id."""
    async with fault(world, "crash", 0.0):
        upstream.crash()
        upstream.state = "down"
        await asyncio.sleep(for_s)
        upstream.born += 1000
        upstream.sequence = 0
        await upstream.start()
        upstream.state = "ready"
        await world.report(upstream)


async def leave(world, upstream, *, reuse):
    """Drain an upstream and end it; its address may go to another service."""
    if len(world.live(upstream.service)) < 3:
        await world.add_upstream(upstream.service)
    upstream.state = "draining"
    await world.report(upstream)
    upstream.left_since = time.monotonic()
    await asyncio.sleep(DRAIN_S + world.rng.uniform(0.5, 2.0))
    upstream.crash()
    upstream.state = "gone"
    await world.standin.delete(f"servers/{upstream.name}")
    await asyncio.sleep(2.0)
    if reuse:
        other = "t" if upstream.service == "s" else "s"
        await world.add_upstream(other, link=upstream.link)


async def evacuate(world, zone, for_s):
    """Empty a zone: its upstreams must get nothing until it is taken back."""
    if world.evacuated is not None:
        return
    world.evacuated = zone
    await world.standin.put(f"op/evacuate/{zone}", {})
    since = time.monotonic() + 3.0 - DRAIN_S
    for upstream in world.live():
        if upstream.zone == zone:
            upstream.left_since = since
    await asyncio.sleep(for_s)
    for upstream in world.live():
        upstream.left_since = None
    await world.standin.delete(f"op/evacuate/{zone}")
    world.evacuated = None


def draw_step(world):
    """Draw one thing that happens."""
    rng = world.rng
    gateway = rng.choice(world.gateways)
    upstream = rng.choice(world.live())
    for_s = rng.uniform(0.5, 4.0)
    steps = {
        "kill": lambda: kill(world, [gateway], for_s / 2),
        "kill all": lambda: kill(world, world.gateways, for_s / 4),
        "term": lambda: stop(world, gateway),
        "pause": lambda: pause(world, gateway, for_s),
        "hup": lambda: hup(gateway),
        "store refuses": lambda: store_fault(world, rng.choice((503, 429)), for_s, 1.0),
        "store resets": lambda: store_fault(world, "reset", for_s, rng.random()),
        "store loses": lambda: store_fault(world, "lost", for_s, 0.4),
        "store cut": lambda: store_cut(
            world, gateway, rng.choice((("up", "down"), ("down",))), for_s
        ),
        "store forgets": lambda: forget(world),
        "trouble": lambda: trouble(
            world,
            upstream,
            rng.choice(("refuses", "loses", "truncates", "garbles", "repeats")),
            rng.uniform(0.02, 0.5),
            for_s,
        ),
        "link": lambda: link_fault(
            world, upstream, rng.choice(("reset", "delay", "silent", "one way")), for_s
        ),
        "crash": lambda: crash(world, upstream, for_s),
        "leave": lambda: leave(world, upstream, reuse=rng.random() < 0.5),
        "join": lambda: world.add_upstream(upstream.service),
        "evacuate": lambda: evacuate(world, rng.choice(list(PLACES)), for_s + 3.0),
        "config": lambda: world.put_config(pages=rng.choice(("s", "s", "t"))),
    }
    weights = {"kill all": 0.3, "join": 0.5}
    name = rng.choices(list(steps), [weights.get(each, 1.0) for each in steps])[0]
    return name, steps[name]


async def hup(gateway):
    gateway.signal(signal.SIGHUP)


async def forget(world):
    world.standin.forget_history()


async def play(world, *, verbose):
    """Run gateways and clients, let things happen, and check that service comes back."""
    await world.put_config()
    for service, zone in (("s", "a1"), ("s", "a2"), ("s", "b1"), ("s", "a1"), ("t", "a2")):
        await world.add_upstream(service, zone=zone)
    await world.add_upstream("t", zone="b1")
    seeds = [f"127.0.0.1:{each.ports['control']}" for each in world.gateways[:3]]
    for gateway in world.gateways:
        await gateway.start(seeds=seeds)
    helpers = [asyncio.create_task(each) for each in (world.beat(), world.watch_lag())]
    await until_ready(world)
    helpers.append(asyncio.create_task(world.watch_exits()))
    clients = [
        SoakClient(name=f"c{n}", world=world, rng=random.Random(world.rng.random()))
        for n in range(CLIENTS)
    ]
    tasks = [asyncio.create_task(each.run()) for each in clients]
    steps = set()
    started = time.monotonic()
    while time.monotonic() - started < world.seconds:
        await asyncio.sleep(world.rng.expovariate(1.0))
        name, step = draw_step(world)
        if verbose:
            print(f"{time.monotonic() - started:6.2f} s  {name}", flush=True)
        steps.add(asyncio.create_task(step()))
    done, _ = await asyncio.wait(steps, timeout=20.0)
    for task in steps:
        task.cancel()
        if task in done and task.exception() is not None:
            raise task.exception()
    await recover(world)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*(finish(world, each) for each in world.gateways))
    for task in helpers:
        task.cancel()
    world.watch.check_budget()


async def until_ready(world):
    async with asyncio.timeout(RECOVER_S):
        for gateway in world.gateways:
            while True:
                with contextlib.suppress(OSError, IndexError):
                    if (await gateway.get("ready", "/v1/ready"))[0] == 200:
                        break
                await asyncio.sleep(0.1)


async def recover(world):
    """Check that a quarter of the requests is served again within the time for that."""
    deadline = time.monotonic() + RECOVER_S
    probes = [SoakClient(name=f"p{n}", world=world, rng=random.Random(n)) for n in range(CLIENTS)]
    share = 0.0
    while time.monotonic() < deadline and share < RECOVERED_SHARE:
        results = await asyncio.gather(
            *(each.once(kind="pages") for each in probes), return_exceptions=True
        )
        share = sum(each == 200 for each in results) / len(results)
        await asyncio.sleep(0.3)
    if share < RECOVERED_SHARE:
        world.watch.breach("recover", f"{share:.0%} served {RECOVER_S} s after the last fault")


async def finish(world, gateway):
    """Stop a gateway for good."""
    gateway.expected_down = True
    if not gateway.running:
        return
    gateway.signal(signal.SIGCONT)
    gateway.signal(signal.SIGTERM)
    try:
        code = await asyncio.wait_for(gateway.process.wait(), GRACE_S)
        if code != 0:
            world.watch.breach("exit", f"{gateway.name} ended with {code}")
    except TimeoutError:
        world.watch.breach("exit", f"{gateway.name} still ran after its grace time")


async def soak(*, seed, seconds, folder, verbose=False):
    """Run one seed and return its watch."""
    async with store_standin() as (standin, _):
        world = World(seed=seed, seconds=seconds, folder=folder, standin=standin)
        try:
            await play(world, verbose=verbose)
        finally:
            for gateway in world.gateways:
                if gateway.running:
                    gateway.process.kill()
                    await gateway.process.wait()
                gateway.store_link.close()
            for upstream in world.upstreams:
                upstream.crash()
                upstream.link.close()
    return world.watch


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1, help="seeds to run, from --seed on")
    parser.add_argument("--seconds", type=float, default=30.0, help="length of each run")
    parser.add_argument("--logs", type=Path, help="folder that keeps the gateways' logs")
    parser.add_argument("--verbose", action="store_true", help="print what happens")
    options = parser.parse_args()
    failed = 0
    for seed in range(options.seed, options.seed + options.seeds):
        with tempfile.TemporaryDirectory() as temporary:
            folder = Path(temporary)
            if options.logs is not None:
                folder = options.logs / str(seed)
                folder.mkdir(parents=True, exist_ok=True)
            watch = asyncio.run(
                soak(seed=seed, seconds=options.seconds, folder=folder, verbose=options.verbose)
            )
        failed += bool(watch.broken)
        counts = ", ".join(f"{name} {count}" for name, count in sorted(watch.counts.items()))
        print(f"seed {seed}: {len(watch.broken)} broken promises; {counts}", flush=True)
        for line in watch.broken[:10]:
            print(f"  {line}", flush=True)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
