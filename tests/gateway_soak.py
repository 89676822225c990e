"""Test real gateways under random faults: python tests/gateway_soak.py --seed 7.

Each gateway runs in a process of its own; the store, upstreams and clients are stand-ins in this
process. All faults are injected from outside the gateways: signals, stand-ins that answer wrongly
or not at all, and proxied links that delay, reset or block connections. Every promise is checked
from what clients and upstreams observe.
"""

import argparse
import asyncio
import base64
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

from gateway_process import search_path  # noqa: E402
from soak_clients import SoakClient  # noqa: E402
from soak_harness import (  # noqa: E402
    STRANGER,
    FaultyLink,
    PromiseChecker,
    Quota,
    SoakUpstream,
)
from store_standin import store_standin  # noqa: E402

from gooseberryport_standins.streams import open_stream  # noqa: E402

GRACE_S = 5
DRAIN_S = 2.0
RETURN_SEEDS = 5
"""In the runs of seeds that are divisible by this, the store returns from older copies."""

RECOVERY_TIMEOUT_S = 15.0
MIN_SERVED_FRACTION = 0.25
ROUTE_TIMEOUT_S = 1.5
MAX_ATTEMPTS = 2
RETRY_BUDGET = (0.2, 50.0, 10.0)
TENANT_KEYS = {"plain": "key-plain", "limited": "key-limited"}
LIMITED_TENANT = "limited"
TENANT_RATE_PER_S, TENANT_BURST = 8, 8
QUOTA = Quota(window_s=5.0, overage=0.1, slack=20.0, per_s=TENANT_RATE_PER_S, burst=TENANT_BURST)
REGION_OF_ZONE = {"a1": "A", "a2": "A", "b1": "B"}
CLIENTS = 10
DISCONNECT_SLACK_S = 0.2
MAX_LOOP_LAG_S = 0.1
"""Delay of this process's event loop above which time limits are not checked, in seconds."""


FIRST_PORT = 15_000
PORTS_PER_RUN = 100
PORT_RANGES = 170
"""Concurrent runs take ports from separate ranges, all below the ephemeral ports."""

_ports = itertools.cycle(range(PORTS_PER_RUN))


def free_port():
    first = FIRST_PORT + os.getpid() % PORT_RANGES * PORTS_PER_RUN
    while True:
        port = first + next(_ports)
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(("127.0.0.1", port))
            return port


def handles_signal(pid, number):
    """Return whether a process ignores or catches a signal, from its masks in /proc."""
    fields = dict(
        line.split(":\t", 1) for line in Path(f"/proc/{pid}/status").read_text().splitlines()
    )
    masks = int(fields["SigIgn"], 16) | int(fields["SigCgt"], 16)
    return bool(masks >> (number - 1) & 1)


class GatewayProcess:
    """A gateway process and the faulty link between it and the store."""

    def __init__(self, *, name, zone, folder, store_port):
        self.name = name
        self.zone = zone
        self.region = REGION_OF_ZONE[zone]
        self.ports = {role: free_port() for role in ("front", "ready", "directory", "control")}
        self.store_link = FaultyLink(store_port)
        self.stopping_since = None
        self.is_expected_down = False
        self.was_hung_up_early = False
        self.process = None
        self._peer_port = free_port()
        self._path = folder / f"{name}.json"
        self._log_path = folder / f"{name}.log"

    async def start(self, *, seeds=()):
        if self.store_link.port == 0:
            await self.store_link.start()
            self.write_settings(seeds)
        variables = {"GOOSEBERRYPORT_BOOT": str(self._path), "PYTHONPATH": search_path()}
        with self._log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "gooseberryport_site", env=os.environ | variables, stdout=log
            )
        self.stopping_since = None
        self.was_hung_up_early = False

    def write_settings(self, seeds):
        bounds = {"retryBudgetRatio": RETRY_BUDGET[0], "budgetSlack": RETRY_BUDGET[1]}
        bounds |= {"budgetWindowS": RETRY_BUDGET[2], "graceS": GRACE_S, "drainMs": DRAIN_S * 1000}
        bounds |= {"quotaWindowS": QUOTA.window_s, "quotaOverage": QUOTA.overage}
        bounds |= {"quotaSlack": QUOTA.slack}
        settings = {
            "nodeName": self.name,
            "ip": "127.0.0.1",
            "zone": self.zone,
            "region": self.region,
            "zones": REGION_OF_ZONE,
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
        async with open_stream(self.ports[role]) as (reader, writer):
            writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
            data = await reader.read()
        return int(data.split(b" ")[1]), data.partition(b"\r\n\r\n")[2]


class SoakEnvironment:
    """The gateways, stand-ins and checker of one soak run."""

    def __init__(self, *, seed, seconds, folder, standin):
        self.rng = random.Random(seed)
        self.seconds = seconds
        self.standin = standin
        self.checker = PromiseChecker(
            drain_s=DRAIN_S, max_attempts=MAX_ATTEMPTS, budget=RETRY_BUDGET, quotas={}
        )
        if seed % 2:
            # Odd seeds run with tenants, even ones without.
            self.checker.quotas[LIMITED_TENANT] = QUOTA
        self.store_returns = seed % RETURN_SEEDS == 0
        if self.store_returns:
            standin.era = 1
        self.rate_per_client = 5.0
        self.timeout_s = ROUTE_TIMEOUT_S
        self.upstreams = []
        self.evacuated = None
        self.version = 0
        self._upstreams_started = 0
        self._pages_services = {"s"}
        self.gateways = [
            GatewayProcess(name=f"gw{n}", zone=zone, folder=folder, store_port=standin.port)
            for n, zone in enumerate(("a1", "a1", "a1", "a2", "a2", "b1"))
        ]

    def draw_tenant(self, rng):
        """Return a tenant and its key; a stranger's key belongs to none, and None to no run."""
        if not self.checker.quotas:
            return None, None
        if rng.random() < 0.05:
            return STRANGER, "key-stranger"
        tenant = rng.choice(list(TENANT_KEYS))
        return tenant, TENANT_KEYS[tenant]

    def allowed_services(self, kind):
        """Return the services that this run's configurations have routed a kind of request to."""
        if kind == "pages":
            return frozenset(self._pages_services)
        return frozenset({"t"} if kind == "proofs" else {"s"})

    async def put_config(self, *, pages="s", timeout_s=ROUTE_TIMEOUT_S):
        self.version += self.rng.randint(1, 5)
        self._pages_services.add(pages)
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
        if self.checker.quotas:
            limit = {"ratePerS": TENANT_RATE_PER_S, "burst": TENANT_BURST}
            config["tenants"] = [
                {"name": name, "apiKeys": [key]} | (limit if name == LIMITED_TENANT else {})
                for name, key in TENANT_KEYS.items()
            ]
        await self.standin.put("op/config", config)

    async def add_upstream(self, service, *, zone=None, link=None):
        self._upstreams_started += 1
        upstream = SoakUpstream(
            name=f"u{self._upstreams_started}",
            service=service,
            zone=zone or self.rng.choice(list(REGION_OF_ZONE)),
            checker=self.checker,
            rng=self.rng,
        )
        upstream.link = link
        await upstream.start()
        self.upstreams.append(upstream)
        await self.publish(upstream)
        return upstream

    async def publish(self, upstream):
        await self.standin.put(f"servers/{upstream.name}", upstream.entry())

    def ready_upstreams(self, service=None):
        return [
            upstream
            for upstream in self.upstreams
            if upstream.state == "ready" and service in (None, upstream.service)
        ]

    def check_unanswered(self, sent, *, answered_before):
        """Check a connection that closed before a request on it was answered.

        This is no violation if the request did not run and either the connection closed at once
        or pipelined requests before it were answered, if the gateway had been stopping for more
        than 3 s when the request was sent, or during or shortly after an unplanned fault.
        """
        gateway = next(
            gateway
            for gateway in self.gateways
            if sent.gateway.endswith(f":{gateway.ports['front']}")
        )
        now = time.monotonic()
        stopping_since = gateway.stopping_since
        took_s = now - sent.sent_at
        if took_s < DISCONNECT_SLACK_S and not sent.runs:
            return
        if answered_before and not sent.runs:
            return
        if stopping_since is not None and sent.sent_at > stopping_since + 3.0:
            return
        if self.checker.is_fault_free(since=sent.sent_at, until=now):
            self.checker.record_violation(
                "lost",
                f"{sent.request_id} got no response after {took_s:.2f} s from {gateway.name}, "
                f"which closed the connection: runs {sent.runs}, "
                f"stopping {stopping_since is not None}",
            )

    async def simulate_platform(self):
        """Publish upstream states and end expired leases each second, as the platform does."""
        while True:
            for upstream in list(self.upstreams):
                if upstream.state in ("ready", "draining"):
                    await self.publish(upstream)
            await self.standin.end_expired_leases()
            await asyncio.sleep(1.0)

    async def detect_loop_lag(self):
        """Record pauses of this process as faults, since clients and upstreams pause with it."""
        while True:
            before = time.monotonic()
            await asyncio.sleep(0.02)
            if time.monotonic() - before > MAX_LOOP_LAG_S:
                self.checker.begin_fault("lag")()
                self.checker.count("lag")

    async def detect_exits(self):
        """Record gateways that exit without having been stopped or killed by the soak."""
        while True:
            for gateway in self.gateways:
                if gateway.running or gateway.is_expected_down:
                    continue
                if gateway.was_hung_up_early and gateway.process.returncode == -signal.SIGHUP:
                    # Nothing in the process can handle a signal before its first line.
                    self.checker.count("SIGHUP before the first line")
                    await gateway.start()
                    continue
                status = gateway.process.returncode
                self.checker.record_violation("exit", f"{gateway.name} ended with {status}")
                gateway.is_expected_down = True
            await asyncio.sleep(0.1)


async def restart_with_sigterm(env, gateway):
    """Stop a gateway with SIGTERM and start it again after it exited."""
    if gateway.is_expected_down or not gateway.running:
        return
    gateway.is_expected_down = True
    was_fault_free = env.checker.is_fault_free(since=time.monotonic(), until=time.monotonic())
    gateway.stopping_since = started = time.monotonic()
    gateway.signal(signal.SIGTERM)
    try:
        code = await asyncio.wait_for(gateway.process.wait(), GRACE_S)
        if code != 0:
            env.checker.record_violation(
                "exit", f"{gateway.name} exited with code {code} after SIGTERM"
            )
    except TimeoutError:
        if was_fault_free and env.checker.is_fault_free(since=started, until=time.monotonic()):
            env.checker.record_violation("exit", f"{gateway.name} still ran after its grace period")
        end_fault = env.checker.begin_fault("kill after grace")
        gateway.signal(signal.SIGKILL)
        await gateway.process.wait()
        end_fault()
    await gateway.start()
    gateway.is_expected_down = False


async def kill_and_restart(env, gateways, down_s):
    end_fault = env.checker.begin_fault("kill")
    killed = [gateway for gateway in gateways if not gateway.is_expected_down and gateway.running]
    for gateway in killed:
        gateway.is_expected_down = True
        gateway.signal(signal.SIGKILL)
    for gateway in killed:
        await gateway.process.wait()
    await asyncio.sleep(down_s)
    for gateway in killed:
        await gateway.start()
        gateway.is_expected_down = False
    await asyncio.sleep(1.0)
    end_fault()


@contextlib.asynccontextmanager
async def unplanned_fault(env, name, recovery_s):
    """Record the body of the `with` block and the `recovery_s` after it as one fault."""
    end_fault = env.checker.begin_fault(name)
    try:
        yield
        await asyncio.sleep(recovery_s)
    finally:
        end_fault()


async def pause_process(env, gateway, duration_s):
    async with unplanned_fault(env, "pause", 0.2):
        gateway.signal(signal.SIGSTOP)
        await asyncio.sleep(duration_s)
        gateway.signal(signal.SIGCONT)


async def store_fault(env, answer, duration_s, fraction):
    def decide(method, target):
        return answer if env.rng.random() < fraction else None

    async with unplanned_fault(env, f"store {answer}", 0.0):
        env.standin.fault = decide
        await asyncio.sleep(duration_s)
        env.standin.fault = lambda method, target: None


async def cut_store_link(env, gateway, directions, duration_s):
    async with unplanned_fault(env, "store cut", 0.0):
        gateway.store_link.block(*directions)
        await asyncio.sleep(duration_s)
        gateway.store_link.restore()
        gateway.store_link.reset_connections()


async def return_store(env, away_s):
    """Let the store return from a copy, and write again what operators and upstreams had written.

    Gateways write their own items again.
    """
    standin = env.standin
    copy = standin.copy()
    await asyncio.sleep(env.rng.uniform(0.3, 3.0))
    async with unplanned_fault(env, "store returns", 0.0):
        standin.fault = lambda method, target: "reset"
        await asyncio.sleep(away_s)
        lost, kept = dict(standin.items), copy[0]
        await standin.return_from(copy)
        standin.fault = lambda method, target: None
        await asyncio.sleep(env.rng.uniform(0.1, 1.5))
        for key in sorted(lost.keys() | kept.keys()):
            is_unchanged = lost.get(key) == kept.get(key)
            if is_unchanged or key.startswith("gooseberryport/") or written(standin, key, kept):
                continue
            if key in lost:
                await standin.put(key, base64.b64decode(lost[key]["value"]))
            else:
                await standin.delete(key)


def written(standin, key, kept):
    """Return whether a key was written since the store returned."""
    return standin.items.get(key) != kept.get(key)


async def upstream_fault(env, upstream, kind, fraction, duration_s):
    async with unplanned_fault(env, kind, 0.0):
        upstream.fault_rates = {kind: fraction}
        await asyncio.sleep(duration_s)
        upstream.fault_rates = {}


async def link_fault(env, upstream, kind, duration_s):
    async with unplanned_fault(env, f"link {kind}", 0.0):
        if kind == "reset":
            upstream.link.reset_connections()
        elif kind == "delay":
            upstream.link.delay_s = 0.15
        else:
            upstream.link.block(*{"silent": ("up", "down"), "one way": ("down",)}[kind])
        await asyncio.sleep(duration_s)
        upstream.link.restore()


async def crash_upstream(env, upstream, duration_s):
    """Crash an upstream without draining it; it restarts cold under the same id."""
    async with unplanned_fault(env, "crash", 0.0):
        upstream.crash()
        upstream.state = "down"
        await asyncio.sleep(duration_s)
        upstream.born += 1000
        upstream.sequence = 0
        await upstream.start()
        upstream.state = "ready"
        await env.publish(upstream)


async def remove_upstream(env, upstream, *, reuse):
    """Drain an upstream and remove it; `reuse` gives its address to another service."""
    if len(env.ready_upstreams(upstream.service)) < 3:
        await env.add_upstream(upstream.service)
    upstream.state = "draining"
    await env.publish(upstream)
    upstream.withdrawn_at = time.monotonic()
    await asyncio.sleep(DRAIN_S + env.rng.uniform(0.5, 2.0))
    upstream.crash()
    upstream.state = "gone"
    await env.standin.delete(f"servers/{upstream.name}")
    await asyncio.sleep(2.0)
    if reuse:
        other = "t" if upstream.service == "s" else "s"
        await env.add_upstream(other, link=upstream.link)


async def evacuate_zone(env, zone, duration_s):
    """Evacuate a zone: its upstreams must get no requests until the evacuation is revoked."""
    if env.evacuated is not None:
        return
    env.evacuated = zone
    await env.standin.put(f"op/evacuate/{zone}", {})
    since = time.monotonic() + 3.0 - DRAIN_S
    for upstream in env.ready_upstreams():
        if upstream.zone == zone:
            upstream.withdrawn_at = since
    await asyncio.sleep(duration_s)
    for upstream in env.ready_upstreams():
        upstream.withdrawn_at = None
    await env.standin.delete(f"op/evacuate/{zone}")
    env.evacuated = None


def choose_step(env):
    """Choose a random fault or change; return its name and the function that runs it."""
    rng = env.rng
    gateway = rng.choice(env.gateways)
    upstream = rng.choice(env.ready_upstreams())
    duration_s = rng.uniform(0.5, 4.0)
    steps = {
        "kill": lambda: kill_and_restart(env, [gateway], duration_s / 2),
        "kill all": lambda: kill_and_restart(env, env.gateways, duration_s / 4),
        "SIGTERM": lambda: restart_with_sigterm(env, gateway),
        "pause": lambda: pause_process(env, gateway, duration_s),
        "SIGHUP": lambda: send_sighup(gateway),
        "store rejects requests": lambda: store_fault(env, rng.choice((503, 429)), duration_s, 1.0),
        "store resets connections": lambda: store_fault(env, "reset", duration_s, rng.random()),
        "store loses answers": lambda: store_fault(env, "lost", duration_s, 0.4),
        "store link cut": lambda: cut_store_link(
            env, gateway, rng.choice((("up", "down"), ("down",))), duration_s
        ),
        "store drops history": lambda: forget_store_history(env),
        "upstream fault": lambda: upstream_fault(
            env,
            upstream,
            rng.choice(("refuses", "loses", "truncates", "garbles", "repeats")),
            rng.uniform(0.02, 0.5),
            duration_s,
        ),
        "upstream link fault": lambda: link_fault(
            env, upstream, rng.choice(("reset", "delay", "silent", "one way")), duration_s
        ),
        "upstream crash": lambda: crash_upstream(env, upstream, duration_s),
        "upstream removed": lambda: remove_upstream(env, upstream, reuse=rng.random() < 0.5),
        "upstream added": lambda: env.add_upstream(upstream.service),
        "zone evacuated": lambda: evacuate_zone(
            env, rng.choice(list(REGION_OF_ZONE)), duration_s + 3.0
        ),
        "configuration changed": lambda: env.put_config(pages=rng.choice(("s", "s", "t"))),
    }
    if env.store_returns:
        steps["store returns"] = lambda: return_store(env, rng.uniform(0.1, 1.0))
    weights = {"kill all": 0.3, "upstream added": 0.5, "store returns": 3.0}
    name = rng.choices(list(steps), [weights.get(step, 1.0) for step in steps])[0]
    return name, steps[name]


async def send_sighup(gateway):
    if gateway.running and not handles_signal(gateway.process.pid, signal.SIGHUP):
        gateway.was_hung_up_early = True
    gateway.signal(signal.SIGHUP)


async def forget_store_history(env):
    env.standin.forget_history()


async def run_scenario(env, *, verbose):
    """Run gateways and clients under random faults, then check that service recovers."""
    await env.put_config()
    for service, zone in (("s", "a1"), ("s", "a2"), ("s", "b1"), ("s", "a1"), ("t", "a2")):
        await env.add_upstream(service, zone=zone)
    await env.add_upstream("t", zone="b1")
    seeds = [f"127.0.0.1:{gateway.ports['control']}" for gateway in env.gateways[:3]]
    for gateway in env.gateways:
        await gateway.start(seeds=seeds)
    background_tasks = [
        asyncio.create_task(coroutine)
        for coroutine in (env.simulate_platform(), env.detect_loop_lag())
    ]
    await wait_until_ready(env)
    background_tasks.append(asyncio.create_task(env.detect_exits()))
    clients = [
        SoakClient(name=f"c{n}", env=env, rng=random.Random(env.rng.random()))
        for n in range(CLIENTS)
    ]
    client_tasks = [asyncio.create_task(client.run()) for client in clients]
    steps = set()
    started = time.monotonic()
    while time.monotonic() - started < env.seconds:
        await asyncio.sleep(env.rng.expovariate(1.0))
        name, step = choose_step(env)
        if verbose:
            print(f"{time.monotonic() - started:6.2f} s  {name}", flush=True)
        steps.add(asyncio.create_task(step()))
    done, _ = await asyncio.wait(steps, timeout=20.0)
    for task in steps:
        task.cancel()
        if task in done and task.exception() is not None:
            raise task.exception()
    await check_recovery(env)
    for task in client_tasks:
        task.cancel()
    await asyncio.gather(*client_tasks, return_exceptions=True)
    await asyncio.gather(*(stop_gateway(env, gateway) for gateway in env.gateways))
    for task in background_tasks:
        task.cancel()
    env.checker.check_retry_budget()
    env.checker.check_quotas()


async def wait_until_ready(env):
    async with asyncio.timeout(RECOVERY_TIMEOUT_S):
        for gateway in env.gateways:
            while True:
                with contextlib.suppress(OSError, IndexError):
                    if (await gateway.get("ready", "/v1/ready"))[0] == 200:
                        break
                await asyncio.sleep(0.1)


async def check_recovery(env):
    """Check that a quarter of the requests is served again within `RECOVERY_TIMEOUT_S`."""
    deadline = time.monotonic() + RECOVERY_TIMEOUT_S
    probes = [SoakClient(name=f"p{n}", env=env, rng=random.Random(n)) for n in range(CLIENTS)]
    fraction = 0.0
    while time.monotonic() < deadline and fraction < MIN_SERVED_FRACTION:
        results = await asyncio.gather(
            *(probe.send_burst(kind="pages") for probe in probes), return_exceptions=True
        )
        fraction = sum(result == 200 for result in results) / len(results)
        await asyncio.sleep(0.3)
    for probe in probes:
        probe.close()
    if fraction < MIN_SERVED_FRACTION:
        env.checker.record_violation(
            "recover",
            f"{fraction:.0%} of requests served {RECOVERY_TIMEOUT_S} s after the last fault",
        )


async def stop_gateway(env, gateway):
    """Stop a gateway for good."""
    gateway.is_expected_down = True
    if not gateway.running:
        return
    gateway.signal(signal.SIGCONT)
    gateway.signal(signal.SIGTERM)
    try:
        code = await asyncio.wait_for(gateway.process.wait(), GRACE_S)
        if code != 0:
            env.checker.record_violation("exit", f"{gateway.name} exited with code {code}")
    except TimeoutError:
        env.checker.record_violation("exit", f"{gateway.name} still ran after its grace period")


async def soak(*, seed, seconds, folder, verbose=False):
    """Run one seed and return its `PromiseChecker`."""
    async with store_standin() as (standin, _):
        env = SoakEnvironment(seed=seed, seconds=seconds, folder=folder, standin=standin)
        try:
            await run_scenario(env, verbose=verbose)
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
    parser.add_argument(
        "--seeds", type=int, default=1, help="number of seeds to run, starting with --seed"
    )
    parser.add_argument(
        "--seconds", type=float, default=30.0, help="length of each run, in seconds"
    )
    parser.add_argument("--logs", type=Path, help="folder to keep the gateways' logs in")
    parser.add_argument(
        "--verbose", action="store_true", help="print each fault and change as it starts"
    )
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
