"""A small model of gateways that share a tenant's quota: requests, datagrams, and faults."""

import heapq
import itertools
import random

from gooseberryport_core.gateway.model import Tenant
from gooseberryport_core.gateway.quotas import QuotaBounds, TenantQuotas

WINDOW_S = 5.0
BOUNDS = QuotaBounds(window_s=WINDOW_S, overage=0.1, slack=20.0)
TICK_S = 0.02
REPORT_S = 0.2
REMOTE_ROUNDS = 4
UNLISTED_S = 4.0
RETRY_S = 0.1


class Gateway:
    """One process: its quotas, and when it last heard of each of the others."""

    def __init__(self, name, region, incarnation, tenant, now, draw):
        self.name, self.region, self.incarnation = name, region, incarnation
        self.quotas = TenantQuotas(bounds=BOUNDS, draw=draw)
        self.quotas.apply_tenants([tenant], now=now)
        self.heard = {}
        self.started_at = now
        self.killed_at = None
        self.known_fraction = 0.0
        self.paused_until = 0.0
        self.group = 0
        self.held = []


class Model:
    """Gateways in two regions; `loss` and `max_delay_s` disturb the messages between them.

    If `retries`, requests that are rejected, or find no process, are repeated after `RETRY_S`.
    """

    def __init__(
        self,
        count,
        *,
        rate,
        burst,
        seed=1,
        loss=0.0,
        max_delay_s=0.0,
        has_store=True,
        retries=False,
    ):
        self.rng = random.Random(seed)
        self.tenant = Tenant(name="t", api_keys=frozenset(), rate_per_s=rate, burst=burst)
        self.loss, self.max_delay_s, self.has_store = loss, max_delay_s, has_store
        self.now = 100.0
        self.gateways = [self._gateway(number) for number in range(count)]
        for gateway in self.gateways:
            gateway.known_fraction = 1.0 / count
        self.messages = []
        self.numbers = itertools.count()
        self.admitted, self.asked = [], 0
        self.retries, self.repeated = retries, []
        self.rounds = 0
        self.owed = 0.0

    def _gateway(self, number, incarnation=1):
        return Gateway(number, number % 2, incarnation, self.tenant, self.now, self.rng.random())

    def restart(self, number):
        """Start a new process on a VM; until then the old one counts as killed."""
        gateway = self.gateways[number]
        group = gateway.group
        self.gateways[number] = self._gateway(number, gateway.incarnation + 1)
        self.gateways[number].group = group
        self.gateways[number].known_fraction = self.fraction(self.gateways[number])

    def restart_all(self, *, per_s, weights):
        """Kill all gateways; each restarts 0.2 to 0.6 s later, while requests go on arriving."""
        starts = sorted((self.now + 0.2 + 0.4 * self.rng.random(), g.name) for g in self.gateways)
        for gateway in self.gateways:
            gateway.killed_at = self.now
        for at, number in starts:
            self.run(at - self.now, per_s=per_s, weights=weights)
            self.restart(number)

    def fraction(self, gateway):
        """Return the fraction that `Fleet` would: alive gateways of those that are listed."""
        alive = listed = 1
        for other in self.gateways:
            if other is gateway:
                continue
            gone_s = self.now - other.killed_at if other.killed_at is not None else 0.0
            listed += not (self.has_store and gone_s >= UNLISTED_S)
            heard_at = gateway.heard.get(other.name, float("-inf"))
            alive += self.now - heard_at < (1.5 if other.region == gateway.region else 3.0)
        return min(alive / listed, 1.0)

    def run(self, duration_s, *, per_s, weights):
        """Let `per_s` requests a second arrive, at the gateways with these weights."""
        end = self.now + duration_s
        while self.now < end:
            self.now += TICK_S
            self._deliver()
            if int(self.now / REPORT_S) != self.rounds:
                self.rounds = int(self.now / REPORT_S)
                self._report()
            self.owed += per_s * TICK_S
            repeated = [at for at in self.repeated if at <= self.now]
            del self.repeated[: len(repeated)]
            asked = int(self.owed)
            targets = self.rng.choices(self.gateways, weights, k=asked + len(repeated))
            self.owed -= asked
            for gateway in targets:
                self._ask(gateway)

    def _ask(self, gateway):
        self.asked += 1
        if gateway.killed_at is not None or self.now < gateway.paused_until:
            if self.retries:
                self.repeated.append(self.now + RETRY_S)
            return
        decision = gateway.quotas.decide("t", fraction=gateway.known_fraction, now=self.now)
        if decision.admitted:
            self.admitted.append(self.now)
        elif self.retries:
            self.repeated.append(self.now + RETRY_S)

    def _report(self):
        for gateway in self.gateways:
            gateway.known_fraction = self.fraction(gateway)
            if gateway.killed_at is not None or self.now < gateway.paused_until:
                continue
            gateway.quotas.sweep(fraction=gateway.known_fraction, now=self.now)
            remote_round = (self.rounds + gateway.name) % REMOTE_ROUNDS == 0
            reports = [
                gateway.quotas.reports(remote=False, now=self.now),
                gateway.quotas.reports(remote=True, now=self.now) if remote_round else None,
            ]
            for other in self.gateways:
                content = reports[other.region != gateway.region]
                cut = other.group != gateway.group or self.rng.random() < self.loss
                if other is gateway or content is None or cut:
                    continue
                delay_s = self.rng.random() * self.max_delay_s
                delay_s += 0.012 if other.region != gateway.region else 0.0
                message = (self.now + delay_s, next(self.numbers), gateway, other.name, content)
                heapq.heappush(self.messages, message)

    def _deliver(self):
        while self.messages and self.messages[0][0] <= self.now:
            _, _, sender, name, content = heapq.heappop(self.messages)
            gateway = self.gateways[name]
            if gateway.killed_at is not None:
                continue
            if self.now < gateway.paused_until:
                heapq.heappush(
                    self.messages,
                    (gateway.paused_until, next(self.numbers), sender, name, content),
                )
                continue
            gateway.heard[sender.name] = self.now
            gateway.quotas.record_reports(
                sender.name,
                sender.incarnation,
                content,
                now=self.now,
                remote=sender.region != gateway.region,
            )

    def most_in_window(self):
        """Return the most requests admitted in any window."""
        first = most = 0
        for last, at in enumerate(self.admitted):
            while self.admitted[first] <= at - WINDOW_S:
                first += 1
            most = max(most, last - first + 1)
        return most

    @property
    def allowed_in_window(self):
        tenant = self.tenant
        return (tenant.rate_per_s * WINDOW_S + tenant.burst) * 1.1 + 20.0
