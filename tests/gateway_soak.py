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
from soak_harness import FaultyLink, PromiseChecker, SoakUpstream  # noqa: E402
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
        self.store_link = FaultyLink(store_port)
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


class SoakEnvironment:
    """Everything that one run of the soak consists of."""

    def __init__(self, *, seed, seconds, folder, standin):
        self.rng = random.Random(seed)
        self.seconds = seconds
        self.standin = standin
        self.checker = PromiseChecker(drain_s=DRAIN_S, max_attempts=MAX_ATTEMPTS, budget=BUDGET)
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

    def allowed_services(self, kind):
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
            checker=self.checker,
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

    def check_disconnect(self, sent, *, answered_before):
        """Check a connection that ended while a request on it waited."""
        gateway = next(
            each for each in self.gateways if sent.gateway.endswith(f":{each.ports['front']}")
        )
        now = time.monotonic()
        stopping = gateway.stopping_since
        took_s = now - sent.sent_at
        if took_s < LOST_SLACK_S and not sent.runs:
            return
        if answered_before and not sent.runs:
            return
        if stopping is not None and sent.sent_at > stopping + 3.0:
            return
        if self.checker.is_fault_free(since=sent.sent_at, until=now):
            self.checker.record_violation(
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
            await self.standin.end_expired_leases()
            await asyncio.sleep(1.0)

    async def watch_lag(self):
        """Note pauses of this process: clients and upstreams stand still meanwhile."""
        while True:
            before = time.monotonic()
            await asyncio.sleep(0.02)
            if time.monotonic() - before > LAG_S:
                self.checker.begin_fault("lag")()
                self.checker.count("lag")

    async def watch_exits(self):
        """Note processes that end though nobody asked them to."""
        while True:
            for gateway in self.gateways:
                if not gateway.running and not gateway.expected_down:
                    self.checker.record_violation("exit", f"{gateway.name} ended by itself")
                    gateway.expected_down = True
            await asyncio.sleep(0.1)


async def stop(env, gateway):
    """Ask a gateway to stop, and start it again after it ended."""
    if gateway.expected_down or not gateway.running:
        return
    gateway.expected_down = True
    calm_before = env.checker.is_fault_free(since=time.monotonic(), until=time.monotonic())
    gateway.stopping_since = started = time.monotonic()
    gateway.signal(signal.SIGTERM)
    try:
        code = await asyncio.wait_for(gateway.process.wait(), GRACE_S)
        if code != 0:
            env.checker.record_violation("exit", f"{gateway.name} ended with {code} after SIGTERM")
    except TimeoutError:
        if calm_before and env.checker.is_fault_free(since=started, until=time.monotonic()):
            env.checker.record_violation("exit", f"{gateway.name} still ran after its grace time")
        end = env.checker.begin_fault("kill after grace")
        gateway.signal(signal.SIGKILL)
        await gateway.process.wait()
        end()
    await gateway.start()
    gateway.expected_down = False


async def kill(env, gateways, down_s):
    end = env.checker.begin_fault("kill")
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
async def unplanned_fault(env, name, for_s):
    end = env.checker.begin_fault(name)
    try:
        yield
        await asyncio.sleep(for_s)
    finally:
        end()


async def pause(env, gateway, for_s):
    async with unplanned_fault(env, "pause", 0.2):
        gateway.signal(signal.SIGSTOP)
        await asyncio.sleep(for_s)
        gateway.signal(signal.SIGCONT)


async def store_fault(env, answer, for_s, share):
    def decide(method, target):
        return answer if env.rng.random() < share else None

    async with unplanned_fault(env, f"store {answer}", 0.0):
        env.standin.fault = decide
        await asyncio.sleep(for_s)
        env.standin.fault = lambda method, target: None


async def store_cut(env, gateway, ways, for_s):
    async with unplanned_fault(env, "store cut", 0.0):
        gateway.store_link.block(*ways)
        await asyncio.sleep(for_s)
        gateway.store_link.restore()
        gateway.store_link.reset_connections()


async def upstream_fault(env, upstream, kind, share, for_s):
    async with unplanned_fault(env, kind, 0.0):
        upstream.fault_rates = {kind: share}
        await asyncio.sleep(for_s)
        upstream.fault_rates = {}


async def link_fault(env, upstream, kind, for_s):
    async with unplanned_fault(env, f"link {kind}", 0.0):
        if kind == "reset":
            upstream.link.reset_connections()
        elif kind == "delay":
            upstream.link.delay_s = 0.15
        else:
            upstream.link.block(*{"silent": ("up", "down"), "one way": ("down",)}[kind])
        await asyncio.sleep(for_s)
        upstream.link.restore()


async def crash(env, upstream, for_s):
    """End an upstream without a word; it starts again, cold, under its id."""
    async with unplanned_fault(env, "crash", 0.0):
        upstream.crash()
        upstream.state = "down"
        await asyncio.sleep(for_s)
        upstream.born += 1000
        upstream.sequence = 0
        await upstream.start()
        upstream.state = "ready"
        await env.report(upstream)


async def leave(env, upstream, *, reuse):
    """Drain an upstream and end it; its address may go to another service."""
    if len(env.live(upstream.service)) < 3:
        await env.add_upstream(upstream.service)
    upstream.state = "draining"
    await env.report(upstream)
    upstream.withdrawn_at = time.monotonic()
    await asyncio.sleep(DRAIN_S + env.rng.uniform(0.5, 2.0))
    upstream.crash()
    upstream.state = "gone"
    await env.standin.delete(f"servers/{upstream.name}")
    await asyncio.sleep(2.0)
    if reuse:
        other = "t" if upstream.service == "s" else "s"
        await env.add_upstream(other, link=upstream.link)


async def evacuate(env, zone, for_s):
    """Empty a zone: its upstreams must get nothing until it is taken back."""
    if env.evacuated is not None:
        return
    env.evacuated = zone
    await env.standin.put(f"op/evacuate/{zone}", {})
    since = time.monotonic() + 3.0 - DRAIN_S
    for upstream in env.live():
        if upstream.zone == zone:
            upstream.withdrawn_at = since
    await asyncio.sleep(for_s)
    for upstream in env.live():
        upstream.withdrawn_at = None
    await env.standin.delete(f"op/evacuate/{zone}")
    env.evacuated = None


def draw_step(env):
    """Draw one thing that happens."""
    rng = env.rng
    gateway = rng.choice(env.gateways)
    upstream = rng.choice(env.live())
    for_s = rng.uniform(0.5, 4.0)
    steps = {
        "kill": lambda: kill(env, [gateway], for_s / 2),
        "kill all": lambda: kill(env, env.gateways, for_s / 4),
        "term": lambda: stop(env, gateway),
        "pause": lambda: pause(env, gateway, for_s),
        "hup": lambda: hup(gateway),
        "store refuses": lambda: store_fault(env, rng.choice((503, 429)), for_s, 1.0),
        "store resets": lambda: store_fault(env, "reset", for_s, rng.random()),
        "store loses": lambda: store_fault(env, "lost", for_s, 0.4),
        "store cut": lambda: store_cut(
            env, gateway, rng.choice((("up", "down"), ("down",))), for_s
        ),
        "store forgets": lambda: forget(env),
        "trouble": lambda: upstream_fault(
            env,
            upstream,
            rng.choice(("refuses", "loses", "truncates", "garbles", "repeats")),
            rng.uniform(0.02, 0.5),
            for_s,
        ),
        "link": lambda: link_fault(
            env, upstream, rng.choice(("reset", "delay", "silent", "one way")), for_s
        ),
        "crash": lambda: crash(env, upstream, for_s),
        "leave": lambda: leave(env, upstream, reuse=rng.random() < 0.5),
        "join": lambda: env.add_upstream(upstream.service),
        "evacuate": lambda: evacuate(env, rng.choice(list(PLACES)), for_s + 3.0),
        "config": lambda: env.put_config(pages=rng.choice(("s", "s", "t"))),
    }
    weights = {"kill all": 0.3, "join": 0.5}
    name = rng.choices(list(steps), [weights.get(each, 1.0) for each in steps])[0]
    return name, steps[name]


async def hup(gateway):
    gateway.signal(signal.SIGHUP)


async def forget(env):
    env.standin.forget_history()


async def play(env, *, verbose):
    """Run gateways and clients, let things happen, and check that service comes back."""
    await env.put_config()
    for service, zone in (("s", "a1"), ("s", "a2"), ("s", "b1"), ("s", "a1"), ("t", "a2")):
        await env.add_upstream(service, zone=zone)
    await env.add_upstream("t", zone="b1")
    seeds = [f"127.0.0.1:{each.ports['control']}" for each in env.gateways[:3]]
    for gateway in env.gateways:
        await gateway.start(seeds=seeds)
    helpers = [asyncio.create_task(each) for each in (env.beat(), env.watch_lag())]
    await until_ready(env)
    helpers.append(asyncio.create_task(env.watch_exits()))
    clients = [
        SoakClient(name=f"c{n}", env=env, rng=random.Random(env.rng.random()))
        for n in range(CLIENTS)
    ]
    tasks = [asyncio.create_task(each.run()) for each in clients]
    steps = set()
    started = time.monotonic()
    while time.monotonic() - started < env.seconds:
        await asyncio.sleep(env.rng.expovariate(1.0))
        name, step = draw_step(env)
        if verbose:
            print(f"{time.monotonic() - started:6.2f} s  {name}", flush=True)
        steps.add(asyncio.create_task(step()))
    done, _ = await asyncio.wait(steps, timeout=20.0)
    for task in steps:
        task.cancel()
        if task in done and task.exception() is not None:
            raise task.exception()
    await recover(env)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*(finish(env, each) for each in env.gateways))
    for task in helpers:
        task.cancel()
    env.checker.check_retry_budget()


async def until_ready(env):
    async with asyncio.timeout(RECOVER_S):
        for gateway in env.gateways:
            while True:
                with contextlib.suppress(OSError, IndexError):
                    if (await gateway.get("ready", "/v1/ready"))[0] == 200:
                        break
                await asyncio.sleep(0.1)


async def recover(env):
    """Check that a quarter of the requests is served again within the time for that."""
    deadline = time.monotonic() + RECOVER_S
    probes = [SoakClient(name=f"p{n}", env=env, rng=random.Random(n)) for n in range(CLIENTS)]
    share = 0.0
    while time.monotonic() < deadline and share < RECOVERED_SHARE:
        results = await asyncio.gather(
            *(each.send_burst(kind="pages") for each in probes), return_exceptions=True
        )
        share = sum(each == 200 for each in results) / len(results)
        await asyncio.sleep(0.3)
    if share < RECOVERED_SHARE:
        env.checker.record_violation(
            "recover", f"{share:.0%} served {RECOVER_S} s after the last fault"
        )


async def finish(env, gateway):
    """Stop a gateway for good."""
    gateway.expected_down = True
    if not gateway.running:
        return
    gateway.signal(signal.SIGCONT)
    gateway.signal(signal.SIGTERM)
    try:
        code = await asyncio.wait_for(gateway.process.wait(), GRACE_S)
        if code != 0:
            env.checker.record_violation("exit", f"{gateway.name} ended with {code}")
    except TimeoutError:
        env.checker.record_violation("exit", f"{gateway.name} still ran after its grace time")


async def soak(*, seed, seconds, folder, verbose=False):
    """Run one seed and return its watch."""
    async with store_standin() as (standin, _):
        env = SoakEnvironment(seed=seed, seconds=seconds, folder=folder, standin=standin)
        try:
            await play(env, verbose=verbose)
        finally:
            for gateway in env.gateways:
                if gateway.running:
                    gateway.process.kill()
                    await gateway.process.wait()
                gateway.store_link.close()
            for upstream in env.upstreams:
                upstream.crash()
                upstream.link.close()
    return env.checker


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
            checker = asyncio.run(
                soak(seed=seed, seconds=options.seconds, folder=folder, verbose=options.verbose)
            )
        failed += bool(checker.violations)
        counts = ", ".join(f"{name} {count}" for name, count in sorted(checker.counts.items()))
        print(f"seed {seed}: {len(checker.violations)} broken promises; {counts}", flush=True)
        for line in checker.violations[:10]:
            print(f"  {line}", flush=True)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
