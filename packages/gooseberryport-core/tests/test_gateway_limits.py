import random

import pytest

from gooseberryport_core.gateway.limits import ColdRateLimiter, RetryBudgetShare


@pytest.mark.parametrize(
    ("gateways", "rate"), [(1, 4.1), (8, 4.1), (9, 2.0), (63, 4.1), (400, 2.0)]
)
def test_cold_upstream_receives_no_more_than_its_limit_in_any_second(gateways, rate):
    overage, slack = 1.5, 5.0
    vms = frozenset(f"vm{index}" for index in range(gateways))
    limiters = [ColdRateLimiter(vm=vm, overage=overage, slack=slack) for vm in vms]
    rng = random.Random(gateways)
    sent = []
    now = 0.0
    while now < 4.0:
        now += rng.expovariate(300.0)
        limiter = rng.choice(limiters)
        if limiter.can_send(upstream="u", cold_rate_per_s=rate, gateways=vms, now=now):
            limiter.record_sent(upstream="u", now=now)
            sent.append(now)
    busiest_second = max(sum(start <= at < start + 1.0 for at in sent) for start in sent)
    assert busiest_second <= rate * overage + slack
    assert sent


def test_requests_sent_before_an_upstream_turned_cold_count():
    limiter = ColdRateLimiter(vm="vm0", overage=1.0, slack=4.0)
    vms = frozenset({"vm0", "vm1"})
    limiter.record_sent(upstream="u", now=1.0)
    limiter.record_sent(upstream="u", now=1.1)
    assert not limiter.can_send(upstream="u", cold_rate_per_s=1.0, gateways=vms, now=1.5)
    assert limiter.can_send(upstream="u", cold_rate_per_s=1.0, gateways=vms, now=2.2)


@pytest.mark.parametrize("gateways", [1, 8, 63])
def test_retries_of_all_gateways_together_stay_within_the_budget(gateways):
    ratio, slack, window_s = 0.2, 56.0, 10.0
    shares = [
        RetryBudgetShare(ratio=ratio, slack=slack, window_s=window_s) for _ in range(gateways)
    ]
    rng = random.Random(1)
    requests, retries = [], []
    now = 0.0
    while now < 25.0:
        now += rng.expovariate(100.0)
        share = rng.choice(shares)
        share.record_request(service="s", now=now)
        requests.append(now)
        for _ in range(3):
            if share.take(service="s", gateways=gateways, now=now):
                retries.append(now)
    for end in retries:
        spent = sum(end - window_s < at <= end for at in retries)
        earned = sum(end - window_s < at <= end for at in requests)
        assert spent <= ratio * earned + slack


def test_services_do_not_share_a_budget():
    share = RetryBudgetShare(ratio=0.0, slack=2.0, window_s=10.0)
    assert share.take(service="s", gateways=1, now=0.0)
    assert not share.take(service="s", gateways=1, now=0.0)
    assert share.take(service="t", gateways=1, now=0.0)


def test_requests_leave_the_window_even_if_none_is_retried():
    share = RetryBudgetShare(ratio=0.2, slack=2.0, window_s=10.0)
    for index in range(20_000):
        share.record_request(service="s", now=index * 0.1)
    assert share.request_count("s") <= 101


@pytest.mark.parametrize("restarted_count", [1, 4, 9])
def test_restarted_gateways_do_not_use_the_slack_twice(restarted_count):
    ratio, slack, window_s, gateways = 0.2, 58.0, 10.0, 9

    def share(slack_from):
        return RetryBudgetShare(ratio=ratio, slack=slack, window_s=window_s, slack_from=slack_from)

    shares = [share(0.0) for _ in range(gateways)]
    rng = random.Random(restarted_count)
    requests, retries = [], []
    now, restart_at = 0.0, 15.0
    while now < 40.0:
        now += rng.expovariate(60.0)
        if restart_at is not None and now > restart_at:
            shares[:restarted_count] = [share(now + window_s) for _ in range(restarted_count)]
            restart_at = None
        gateway = rng.choice(shares)
        gateway.record_request(service="s", now=now)
        requests.append(now)
        while rng.random() < 0.45 and gateway.take(service="s", gateways=gateways, now=now):
            retries.append(now)
    for end in retries:
        spent = sum(end - window_s < at <= end for at in retries)
        earned = sum(end - window_s < at <= end for at in requests)
        assert spent <= ratio * earned + slack
    assert len(retries) > ratio * len(requests)


def test_scarce_retries_go_to_the_most_urgent_requests():
    """Simulates upstreams that all refuse 45% of their requests, about a quarter of them urgent."""
    share = RetryBudgetShare(ratio=0.2, slack=7.0, window_s=10.0)
    rng = random.Random(5)
    requested = {True: 0, False: 0}
    served = {True: 0, False: 0}
    now = 0.0
    while now < 60.0:
        now += rng.expovariate(40.0)
        urgent = rng.random() < 0.27
        share.record_request(service="s", now=now)
        requested[urgent] += 1
        while rng.random() < 0.45:
            if not share.take(service="s", gateways=1, now=now, urgent=urgent):
                break
        else:
            served[urgent] += 1
    assert served[True] / requested[True] > 0.85
    assert served[False] / requested[False] > 0.54


def test_less_urgent_requests_are_retried_while_enough_budget_is_left():
    share = RetryBudgetShare(ratio=0.2, slack=0.0, window_s=10.0)
    for number in range(100):
        share.record_request(service="s", now=number / 100)
    taken = [share.take(service="s", gateways=1, now=1.0, urgent=False) for _ in range(20)]
    assert taken.count(True) == 9
    assert share.take(service="s", gateways=1, now=1.0, urgent=True)
