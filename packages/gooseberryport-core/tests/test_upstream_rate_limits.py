import heapq
import random

import pytest

from gooseberryport_core.gateway.rate_limits import (
    ENDED_TTL_S,
    JOIN_DELAY_S,
    MAX_REPORTED,
    UNCONFIRMED_AFTER_S,
    RateLimitReport,
    UpstreamRateLimits,
    fair_share,
)

ROUND_TRIP_S = 0.2
REPORT_INTERVAL_S = 0.2
REPORT_DELAY_S = 0.05
SETTLING_S = 3.0
WINDOW_S = 4.0


def allowed_in_window(per_s):
    """Return the platform's bound: half more than the stated rate, and five requests."""
    return 1.5 * per_s * WINDOW_S + 5.0


class Fleet:
    """Gateways with reports that are late or lost, and one upstream that states a limit."""

    def __init__(self, count, *, per_s, demand_per_s, loss=0.1, silent=(), weights=None):
        self.vms = frozenset(f"vm{index}" for index in range(count))
        self.limiters = {vm: UpstreamRateLimits(vm=vm) for vm in sorted(self.vms)}
        self.per_s = per_s
        self.demand_per_s = demand_per_s
        self.loss = loss
        self.silent = frozenset(silent)
        self.rng = random.Random(f"{count}{per_s}")
        self.weights = weights
        self.arrived = []
        self.asked = []
        self.events = []
        for index, vm in enumerate(self.limiters):
            self.push(REPORT_INTERVAL_S * index / count, "report", vm)
        self.push(0.0, "request", None)

    def push(self, at, kind, what):
        heapq.heappush(self.events, (at, len(self.events), kind, self.rng.random(), what))

    def run_until(self, end):
        while self.events[0][0] < end:
            now, _, kind, _, what = heapq.heappop(self.events)
            getattr(self, kind)(now, what)

    def request(self, now, _):
        self.push(now + self.rng.expovariate(self.demand_per_s), "request", None)
        [vm] = self.rng.choices(sorted(self.vms), self.weights)
        self.asked.append(now)
        limiter = self.limiters[vm]
        limiter.record_wanted("u", now=now)
        if limiter.can_send("u", gateways=self.vms, now=now):
            limiter.record_sent("u", now=now)
            self.arrived.append(now)
            self.push(now + ROUND_TRIP_S, "answer", vm)

    def answer(self, now, vm):
        self.limiters[vm].record_stated("u", per_s=self.per_s, stated_at=now)

    def report(self, now, vm):
        self.push(now + REPORT_INTERVAL_S, "report", vm)
        reports = self.limiters[vm].reports(hash_of=lambda _: 1, now=now)
        for other in self.limiters:
            lost = {vm, other} & self.silent or self.rng.random() < self.loss
            if other != vm and not lost:
                self.push(now + REPORT_DELAY_S, "deliver", (other, vm, reports))

    def deliver(self, now, what):
        receiver, vm, reports = what
        reported = dict.fromkeys(["u"], reports[0]) if reports else {}
        self.limiters[receiver].record_reported(vm, reported, now=now)

    def most_in_window(self, *, since):
        starts = [at for at in self.arrived if at >= since]
        return max(sum(start <= at < start + WINDOW_S for at in self.arrived) for start in starts)


@pytest.mark.parametrize("per_s", [0.0, 0.3, 1.9, 8.0])
@pytest.mark.parametrize("gateways", [1, 8, 63])
def test_gateways_together_send_no_more_than_the_stated_rate(gateways, per_s):
    fleet = Fleet(gateways, per_s=per_s, demand_per_s=60.0)
    fleet.run_until(40.0)
    assert fleet.most_in_window(since=SETTLING_S) <= allowed_in_window(per_s)
    whole_per_s = round(per_s * WINDOW_S) / WINDOW_S
    assert sum(at > SETTLING_S for at in fleet.arrived) >= 0.6 * whole_per_s * (40.0 - SETTLING_S)


@pytest.mark.parametrize("weights", [[20, 5, 1, 1, 1, 1, 1, 1], [9, 9, 9, 0.2, 0.2, 0.2, 0.2, 0.2]])
@pytest.mark.parametrize(("per_s", "used"), [(16.0, 0.9), (6.0, 0.7)])
def test_rate_is_used_by_the_gateways_that_have_the_requests(weights, per_s, used):
    fleet = Fleet(8, per_s=per_s, demand_per_s=10.0, weights=weights)
    fleet.run_until(60.0)
    asked = sum(at > SETTLING_S for at in fleet.asked)
    sent = sum(at > SETTLING_S for at in fleet.arrived)
    assert sent >= used * min(asked, per_s * (60.0 - SETTLING_S))
    assert fleet.most_in_window(since=SETTLING_S) <= allowed_in_window(per_s)


@pytest.mark.parametrize("seed", range(40))
def test_shares_add_up_to_the_total_and_follow_the_demand(seed):
    rng = random.Random(seed)
    demands = [(rng.choice([0, 1, 2, 9, 30]), weight) for weight in range(rng.randint(1, 12))]
    total = rng.randint(1, 60)
    shares = [
        fair_share(total=total, own=own, others=[other for other in demands if other is not own])
        for own in demands
    ]
    assert sum(shares) == total
    if sum(demand for demand, _ in demands) <= total:
        assert all(share >= demand for share, (demand, _) in zip(shares, demands, strict=True))
    else:
        unmet = [
            share for share, (demand, _) in zip(shares, demands, strict=True) if share < demand
        ]
        assert max(shares) - min(unmet) <= 1


def test_end_of_a_limit_is_noticed_by_all_gateways():
    fleet = Fleet(8, per_s=1.0, demand_per_s=60.0)
    fleet.run_until(10.0)
    fleet.per_s = None
    fleet.run_until(15.0)
    assert {limiter.limit("u") for limiter in fleet.limiters.values()} == {None}


def test_gateways_that_hear_nothing_of_each_other_notice_the_end_of_a_limit():
    fleet = Fleet(8, per_s=0.3, demand_per_s=60.0)
    fleet.run_until(10.0)
    fleet.loss = 1.0
    fleet.per_s = None
    fleet.run_until(10.0 + UNCONFIRMED_AFTER_S + 10.0)
    assert {limiter.limit("u") for limiter in fleet.limiters.values()} == {None}


def test_share_of_a_gateway_that_falls_silent_is_kept_while_it_is_a_member():
    fleet = Fleet(4, per_s=2.0, demand_per_s=60.0, loss=0.0)
    fleet.run_until(10.0)
    fleet.silent = frozenset(["vm0"])
    fleet.run_until(40.0)
    assert fleet.most_in_window(since=SETTLING_S) <= 2.0 * WINDOW_S


def test_share_of_a_gateway_that_wants_no_more_goes_to_the_others():
    limiter = UpstreamRateLimits(vm="vm0")
    gateways = frozenset(["vm0", "vm1"])
    report = RateLimitReport(upstream=1, per_s=2.0, age_s=0.0, demand=9)
    limiter.record_reported("vm1", {"u": report}, now=0.0)
    for _ in range(9):
        limiter.record_wanted("u", now=0.0)
    assert limiter.reports(hash_of=lambda _: 1, now=0.0)[0].demand == 9

    def send_all(now):
        sent = 0
        while limiter.can_send("u", gateways=gateways, now=now):
            limiter.record_sent("u", now=now)
            sent += 1
        return sent

    assert send_all(0.0) == 0
    assert send_all(JOIN_DELAY_S) == 4
    limiter.record_reported("vm1", {}, now=1.5)
    assert send_all(1.5) == 0
    limiter.record_reported("vm1", {}, now=2.5)
    assert send_all(2.5) == 4


def test_older_report_does_not_replace_what_an_upstream_stated_since():
    limiter = UpstreamRateLimits(vm="vm0")
    limiter.record_stated("u", per_s=2.0, stated_at=1.0)
    limiter.record_stated("u", per_s=None, stated_at=5.0)
    report = RateLimitReport(upstream=1, per_s=2.0, age_s=1.0, demand=9)
    assert limiter.record_reported("vm1", {"u": report}, now=5.5) == []
    assert limiter.limit("u") is None


def test_limit_of_an_upstream_that_restarted_is_dropped_and_not_learned_again_from_reports():
    limiter = UpstreamRateLimits(vm="vm0")
    limiter.record_stated("u", per_s=2.0, stated_at=1.0)
    limiter.restart("u", now=3.0)
    report = RateLimitReport(upstream=1, per_s=2.0, age_s=0.5, demand=9)
    limiter.record_reported("vm1", {"u": report}, now=3.2)
    assert limiter.limit("u") is None


def test_end_of_a_limit_is_reported_and_then_forgotten():
    limiter = UpstreamRateLimits(vm="vm0")
    limiter.record_sent("u", now=1.0)
    limiter.record_stated("u", per_s=2.0, stated_at=1.2)
    limiter.record_stated("u", per_s=None, stated_at=2.0)
    limiter.expire(now=2.5)
    [report] = limiter.reports(hash_of=lambda _: 7, now=2.5)
    assert report == RateLimitReport(upstream=7, per_s=None, age_s=0.5, demand=0)
    limiter.expire(now=2.1 + ENDED_TTL_S)
    assert limiter.reports(hash_of=lambda _: 7, now=2.1 + ENDED_TTL_S) == []


def test_reports_are_bounded():
    limiter = UpstreamRateLimits(vm="vm0")
    for index in range(2 * MAX_REPORTED):
        limiter.record_stated(f"u{index}", per_s=2.0, stated_at=1.0)
        limiter.record_wanted(f"u{index}", now=1.0)
    assert len(limiter.reports(hash_of=lambda _: 7, now=1.0)) == MAX_REPORTED
