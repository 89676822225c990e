import random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from quota_model import BOUNDS, TICK_S, WINDOW_S, Model

from gooseberryport_core.decoding import InputError, decode_msgpack
from gooseberryport_core.gateway.model import Tenant
from gooseberryport_core.gateway.quota_counts import QuotaReport, QuotaReports, tenant_hash
from gooseberryport_core.gateway.quotas import QuotaBounds, TenantQuotas

FAULTS = ("none", "cut", "isolate", "heal", "pause", "kill", "restart")
SPREADS = ("all", "one", "some")
STEPS = st.lists(
    st.tuples(
        st.sampled_from(FAULTS),
        st.sampled_from(SPREADS),
        st.sampled_from((0.0, 0.6, 1.0, 2.5, 5.0)),
        st.sampled_from((0.5, 1.0, 3.0)),
    ),
    min_size=2,
    max_size=6,
)


def apply_fault(model, fault):
    gateway = model.rng.choice(model.gateways)
    for number, each in enumerate(model.gateways):
        if fault == "cut":
            each.group = model.rng.randrange(2)
        elif fault in ("isolate", "heal"):
            each.group = number if fault == "isolate" else 0
    if fault == "pause":
        gateway.paused_until = model.now + 6.0 * model.rng.random()
    elif fault == "kill":
        gateway.killed_at = gateway.killed_at or model.now
    elif fault == "restart":
        model.restart(gateway.name)


def weights_of(model, spread):
    weights = [float(spread == "all")] * len(model.gateways)
    count = {"all": 0, "one": 1, "some": max(len(weights) // 3, 1)}[spread]
    for number in model.rng.sample(range(len(weights)), count):
        weights[number] = model.rng.random() + 0.01
    return weights


def make_quotas(*, rate=2.0, burst=4.0, bounds=BOUNDS):
    quotas = TenantQuotas(bounds=bounds)
    quotas.apply_tenants([Tenant("t", frozenset(), rate_per_s=rate, burst=burst)], now=0.0)
    return quotas


def decide(quotas, *, now, fraction=1.0):
    return quotas.decide("t", fraction=fraction, now=now).admitted


def report(count, *, sequence=1, per_s=0):
    tenant = QuotaReport(tenant=tenant_hash("t"), admitted=count, asked=per_s, served=per_s)
    return QuotaReports(sequence=sequence, tenants=[tenant])


def level(quotas, *, now):
    return quotas.decide("t", fraction=1.0, now=now).level


@settings(derandomize=True, deadline=None, database=None, max_examples=60)
@given(
    count=st.sampled_from((2, 3, 5, 9, 20, 50)),
    rate=st.sampled_from((1.0, 3.0, 30.0, 236.0)),
    bursts=st.sampled_from((0.5, 1.0, 4.0)),
    loss=st.sampled_from((0.0, 0.1, 0.3)),
    max_delay_s=st.sampled_from((0.0, 0.2, 0.8)),
    has_store=st.booleans(),
    steps=STEPS,
    seed=st.integers(0, 2**31),
)
def test_quota_holds_in_every_window_whatever_fails(
    count, rate, bursts, loss, max_delay_s, has_store, steps, seed
):
    """Guards against gateways that together exceed a quota after a fault or a jump of demand.

    A fault and the next jump are a second apart; the test below has both at the same moment.
    """
    model = Model(
        count,
        rate=rate,
        burst=rate * bursts,
        seed=seed,
        loss=loss,
        max_delay_s=max_delay_s,
        has_store=has_store,
    )
    per_s, weights = 0.6 * rate, weights_of(model, "all")
    for fault, spread, times, duration_s in steps:
        apply_fault(model, fault)
        model.run(1.0, per_s=per_s, weights=weights)
        per_s, weights = times * rate, weights_of(model, spread)
        model.run(duration_s, per_s=per_s, weights=weights)
    assert model.most_in_window() <= model.allowed_in_window


@pytest.mark.parametrize("count", [9, 50])
def test_quota_holds_if_demand_jumps_in_the_moment_of_a_full_cut(count):
    """Guards against gateways that go on with the whole quota until the fleet knows of a cut."""
    model = Model(count, rate=100.0, burst=100.0)
    model.run(4.0, per_s=60.0, weights=weights_of(model, "one"))
    apply_fault(model, "isolate")
    model.run(6.0, per_s=500.0, weights=weights_of(model, "some"))
    assert model.most_in_window() <= model.allowed_in_window


@pytest.mark.parametrize("count", [2, 9, 50])
def test_each_gateway_keeps_to_its_part_if_all_were_cut_off_before_they_started(count):
    """Guards against gateways that take silent ones for alive because these are new to them."""
    model = Model(count, rate=100.0, burst=100.0)
    apply_fault(model, "isolate")
    model.run(8.0, per_s=500.0, weights=weights_of(model, "all"))
    assert 0 < model.most_in_window() <= model.allowed_in_window


@pytest.mark.parametrize("times", [2.5, 5.0])
@pytest.mark.parametrize(("count", "rate"), [(2, 30.0), (20, 3.0), (20, 236.0), (50, 30.0)])
def test_overload_uses_the_whole_quota(count, rate, times):
    """Guards against shares that add up to far less than the quota when much more is asked for."""
    model = Model(count, rate=rate, burst=rate)
    model.run(5.0, per_s=0.6 * rate, weights=weights_of(model, "all"))
    before = len(model.admitted)
    model.run(8.0, per_s=times * rate, weights=weights_of(model, "all"))
    assert len(model.admitted) - before >= 0.95 * 8.0 * rate
    assert model.most_in_window() <= model.allowed_in_window


@pytest.mark.parametrize(("count", "rate"), [(20, 3.0), (9, 30.0), (20, 236.0)])
@pytest.mark.parametrize("moves", [False, True])
def test_demand_below_the_quota_is_served_wherever_it_arrives(count, rate, moves):
    """Guards against tenants that are rejected below their quota, spread out or after a move."""
    model = Model(count, rate=rate, burst=max(rate, 5.0))
    for second in range(20):
        weights = [float(number == second % count or not moves) for number in range(count)]
        model.run(1.0, per_s=0.95 * rate, weights=weights)
        if second == 4:
            asked, admitted = model.asked, len(model.admitted)
    assert len(model.admitted) - admitted >= 0.95 * (model.asked - asked)


@pytest.mark.parametrize(("rate", "burst"), [(2.0, 8), (30.0, 100), (236.0, 500)])
def test_burst_is_served_at_one_gateway_and_then_charged_at_the_others(rate, burst):
    """Guards against a burst that is divided among gateways, or that is granted at each."""
    quotas, other = make_quotas(rate=rate, burst=burst), make_quotas(rate=rate, burst=burst)
    assert sum(decide(quotas, now=10.0) for _ in range(burst)) == burst
    other.record_reports("vm2", 1, quotas.reports(remote=False, now=10.1), now=10.1, remote=False)
    assert level(other, now=10.1) <= 0.15 * rate + 0.5


def test_started_gateway_has_no_burst_and_a_removed_tenant_no_state():
    """Guards against a second burst by a restart, and against state of removed tenants."""
    quotas = make_quotas(rate=1.0, burst=50.0)
    assert sum(decide(quotas, now=0.1) for _ in range(50)) <= 0.15 * 25.5 + 1
    quotas.apply_tenants([], now=0.2)
    assert len(quotas) == 0
    assert quotas.decide("t", fraction=1.0, now=0.3) is None


@pytest.mark.parametrize("spread", ["all", "some"])
@pytest.mark.parametrize(("count", "seed"), [(9, 1), (9, 2), (9, 3), (50, 1)])
def test_usual_load_is_served_a_second_after_all_gateways_were_killed(count, seed, spread):
    """Guards against a restart after which retries of rejected requests keep the quota used up."""
    model = Model(count, rate=253.0, burst=63.0, seed=seed, retries=True)
    per_s, weights = 253.0 / 1.6, weights_of(model, spread)
    model.run(4.0, per_s=per_s, weights=weights)
    model.restart_all(per_s=per_s, weights=weights)
    model.run(1.0, per_s=per_s, weights=weights)
    asked, admitted = model.asked, len(model.admitted)
    model.run(2.0, per_s=per_s, weights=weights)
    assert len(model.admitted) - admitted >= 0.95 * (model.asked - asked)
    assert model.most_in_window() <= model.allowed_in_window


@pytest.mark.parametrize("burst_s", [0.25, 1.0])
@pytest.mark.parametrize(("count", "seed"), [(9, 1), (9, 2), (9, 3), (50, 1)])
def test_quota_holds_if_all_gateways_are_killed_in_overload(count, seed, burst_s):
    """Guards against a restart that grants a second burst, or tokens that others have used."""
    model = Model(count, rate=253.0, burst=253.0 * burst_s, seed=seed)
    per_s, weights = 5.0 * 253.0, weights_of(model, "all")
    model.run(2.0, per_s=253.0 / 1.6, weights=weights)
    model.run(0.5, per_s=per_s, weights=weights)
    model.restart_all(per_s=per_s, weights=weights)
    model.run(5.0, per_s=per_s, weights=weights)
    assert model.most_in_window() <= model.allowed_in_window


def test_changed_limit_applies_at_once_and_keeps_the_counts():
    """Guards against a lowered burst that leaves the old level, and a fresh bucket by a reload."""
    quotas = make_quotas(burst=100.0)
    assert level(quotas, now=100.0) == 100.0
    quotas.apply_tenants([Tenant("t", frozenset(), rate_per_s=2.0, burst=5.0)], now=100.0)
    assert level(quotas, now=100.0) <= 5.0


def test_refunded_token_is_available_again():
    """Guards against requests that did not run and still use up the quota."""
    quotas = make_quotas(burst=4.0)
    admitted = 0
    for _ in range(50):
        if decide(quotas, now=10.0):
            admitted += 1
            quotas.refund("t", now=10.0)
    assert admitted == 50


def test_new_incarnation_counts_anew_and_late_or_repeated_reports_do_not_count():
    """Guards against counts that are charged twice, or credited because they begin at 0 again."""
    quotas = make_quotas(rate=10.0, burst=1000.0)
    quotas.record_reports("vm2", 1, report(10, sequence=5), now=0.0, remote=False)
    start = level(quotas, now=0.0)
    quotas.record_reports("vm2", 1, report(30, sequence=6), now=0.2, remote=False)
    quotas.record_reports("vm2", 1, report(30, sequence=6), now=0.2, remote=False)
    quotas.record_reports("vm2", 1, report(10, sequence=5), now=0.3, remote=False)
    assert level(quotas, now=0.3) == pytest.approx(start - 20.0, abs=2.0)
    quotas.record_reports("vm2", 2, report(3, per_s=3, sequence=1), now=0.4, remote=False)
    assert level(quotas, now=0.4) == pytest.approx(start - 23.0, abs=3.0)


@pytest.mark.parametrize("leaves", ["cut off", "idle", "stopped"])
def test_only_a_gateway_that_may_be_cut_off_keeps_its_part(leaves):
    """Guards against tenants that get half of their quota after a planned stop of a gateway."""
    quotas = make_quotas(rate=10.0, burst=10.0)
    for number in range(20):
        quotas.record_reports("vm2", 1, report(0, sequence=number), now=0.2 * number, remote=False)
        quotas.sweep(now=0.2 * number)
    if leaves == "idle":
        quotas.forget_reporter("vm2")
    for number in range(20, 24):
        quotas.sweep(may_run=lambda _: leaves != "stopped", now=0.2 * number)
    share = quotas.decide("t", fraction=1.0, now=4.7).share_per_s
    assert share == (5.0 if leaves == "cut off" else 10.0)


def test_silence_begins_when_the_last_report_was_sent():
    """Guards against delayed datagrams that hide a cut, and clocks that differ, wrap or jump."""
    quotas = make_quotas(rate=10.0, burst=10.0)
    wrapped_ms = 65_000

    def hear(number, *, delay_s=0.0, ahead_ms=0):
        sent_ms = (wrapped_ms + ahead_ms + 200 * number) % 65_536
        content = QuotaReports(sequence=number, tenants=report(0).tenants, sent_ms=sent_ms)
        now = 0.2 * number + delay_s
        quotas.sweep(now=now)
        quotas.record_reports("vm2", 1, content, now=now, remote=False)
        quotas.sweep(now=now + 0.01)
        return quotas.decide("t", fraction=1.0, now=now + 0.01).share_per_s

    assert [hear(number) for number in range(20)] == [10.0] * 20
    assert [hear(number, delay_s=0.7) for number in (20, 21)] == [5.0] * 2
    assert hear(25) == 10.0
    late = [hear(number, ahead_ms=-2_000) for number in range(26, 140)]
    assert late[0] == 5.0 and late[-1] == 10.0


def test_gateways_cut_off_before_are_not_counted_when_the_others_fall_silent():
    """Guards against a second cut after which a gateway takes its part of those left for its own.

    The fleet's fraction still counts the gateways of the second cut, and no longer the first.
    """
    quotas = make_quotas(rate=9.0, burst=9.0)
    for number in range(20):
        quotas.sweep(now=0.2 * number)
        for vm in ("vm2", "vm3"):
            content = report(0, sequence=number)
            quotas.record_reports(vm, 1, content, now=0.2 * number, remote=False)
    for number in range(20, 23):
        quotas.sweep(now=0.2 * number)
    assert quotas.decide("t", fraction=3.0 / 9.0, now=4.4).share_per_s == pytest.approx(1.0)
    quotas.sweep(now=4.6)
    assert quotas.decide("t", fraction=3.0 / 9.0, now=4.6).share_per_s == pytest.approx(1.0)
    for number in range(24, 36):
        quotas.sweep(now=0.2 * number)
    assert quotas.decide("t", fraction=1.0 / 9.0, now=7.0).share_per_s == pytest.approx(1.0)


def test_requests_of_a_long_silence_do_not_lock_a_tenant_out():
    """Guards against a healed cut after which minutes of counts are charged at once."""
    quotas = make_quotas(rate=10.0, burst=10.0)
    quotas.record_reports("vm2", 1, report(0), now=0.0, remote=False)
    quotas.sweep(now=59.8)
    quotas.record_reports("vm2", 1, report(500, sequence=9, per_s=5), now=60.0, remote=False)
    assert any(decide(quotas, now=60.0 + TICK_S * step) for step in range(int(WINDOW_S / TICK_S)))


def test_unknown_tenants_are_ignored_and_malformed_entries_refused():
    """Guards against state for hashes that anyone may send, and against values out of range."""
    quotas = make_quotas()
    stranger = QuotaReports(sequence=1, tenants=[QuotaReport(1, 2, 3, 4)])
    quotas.record_reports("vm2", 1, stranger, now=0.0, remote=False)
    assert len(quotas) == 1
    good = [1, [[2, 3, 4, 5]]]
    assert decode_msgpack(msgspec.msgpack.encode(good), expected_type=QuotaReports).sequence == 1
    bad_tenants = ([[-1, 3, 4, 5]], [[2, 70_000, 4, 5]], [[2, 3, "x", 5]])
    for bad in (*([1, tenants] for tenants in bad_tenants), [1, [], 70_000], [1, [], -1]):
        with pytest.raises(InputError):
            decode_msgpack(msgspec.msgpack.encode(bad), expected_type=QuotaReports)
    with pytest.raises(InputError):
        decode_msgpack(
            msgspec.msgpack.encode([1, [[2, 3, 4, 5]] * 257]), expected_type=QuotaReports
        )


def test_deployment_without_quota_bounds_limits_nothing():
    """Guards against limits where the settings have none."""
    quotas = make_quotas(bounds=QuotaBounds(window_s=0.0, overage=0.0, slack=0.0))
    assert quotas.decide("t", fraction=1.0, now=0.0) is None
    assert quotas.reports(remote=False, now=0.0) is None


@pytest.mark.parametrize("seed", [40, 44, 71])
def test_quota_holds_if_faults_and_jumps_of_demand_coincide(seed):
    """Guards against gateways that exceed a quota when demand jumps in the moment of a fault."""
    rng = random.Random(seed)
    count, rate = rng.choice((2, 3, 5, 9)), rng.choice((3.0, 30.0, 100.0))
    burst, loss = rate * rng.choice((0.5, 1.0)), rng.choice((0.0, 0.3))
    model = Model(
        count, rate=rate, burst=burst, seed=seed, loss=loss, max_delay_s=0.8, has_store=True
    )
    model.run(2.0, per_s=0.6 * rate, weights=weights_of(model, "one"))
    for _ in range(3):
        apply_fault(model, rng.choice(("cut", "isolate", "heal", "restart")))
        spread = rng.choice(("all", "one", "some"))
        model.run(3.0, per_s=5.0 * rate, weights=weights_of(model, spread))
        model.run(1.0, per_s=0.6 * rate, weights=weights_of(model, "one"))
    assert model.most_in_window() <= model.allowed_in_window
