"""Measure what tenants' quotas cost a gateway, by number of tenants and of gateways."""

from __future__ import annotations

import random
from collections.abc import Callable

import msgspec

from gooseberryport_core.gateway.model import Tenant, TenantName
from gooseberryport_core.gateway.quota_counts import (
    MAX_REPORTED,
    QuotaReport,
    QuotaReports,
    tenant_hash,
)
from gooseberryport_core.gateway.quotas import QuotaBounds, TenantQuotas
from gooseberryport_core.gateway.reporting import MIN_REMOTE_PERIOD_ROUNDS, REPORT_INTERVAL_S
from gooseberryport_core.types import VmId
from gooseberryport_standins._bench_report import BenchReport, BenchRow, resident_bytes, seconds_of

TENANT_COUNTS = (10, 72, 1_000)
GATEWAY_COUNTS = (9, 100, 420)
BOUNDS = QuotaBounds(window_s=5.0, overage=0.1, slack=20.0)

REQUESTS_PER_S = 25
"""Requests of all tenants at one gateway, most of them of a few tenants; requests per second."""

DECISIONS = 20_000
ROUNDS = 100
REPORTED_TENANTS = 8
"""Tenants in a report of each of the other gateways."""


def run(seed: int) -> BenchReport:
    """Measure decisions, received reports and sent reports.

    Parameters
    ----------
    seed
        Seed of the order of the requests.
    """
    rows = []
    for tenants in TENANT_COUNTS:
        for gateways in GATEWAY_COUNTS:
            rows.extend(_cost_rows(tenants, gateways, seed))
            rows.extend(_byte_rows(tenants, gateways, seed))
    return BenchReport(name="quotas", seed=seed, rows=tuple(rows))


def _names(tenants: int) -> list[TenantName]:
    return [TenantName(f"tenant-{number}") for number in range(tenants)]


def _quotas(tenants: int, gateways: int) -> TenantQuotas:
    """Return quotas of tenants whose limits are 1.6 times their usual rates."""
    quotas = TenantQuotas(bounds=BOUNDS)
    weights = _weights(tenants)
    per_s = [gateways * REQUESTS_PER_S * weight / sum(weights) for weight in weights]
    quotas.apply_tenants(
        [
            Tenant(name, frozenset(), rate_per_s=1.6 * rate, burst=max(1.6 * rate, 2.0))
            for name, rate in zip(_names(tenants), per_s, strict=True)
        ],
        now=0.0,
    )
    return quotas


def _weights(tenants: int) -> list[float]:
    return [1.0 / rank for rank in range(1, tenants + 1)]


def _receive(quotas: TenantQuotas, gateways: int, tenants: int, *, number: int) -> None:
    rng = random.Random(number)
    names = _names(tenants)
    weights = _weights(tenants)
    for gateway in range(1, gateways):
        chosen = set(rng.choices(names, weights, k=REPORTED_TENANTS))
        reports = [QuotaReport(tenant_hash(name), number, 1, 1) for name in chosen]
        quotas.record_reports(
            VmId(f"vm{gateway}"),
            1,
            QuotaReports(sequence=number, tenants=reports),
            now=number * REPORT_INTERVAL_S,
            remote=gateway % 2 == 1,
        )


def _cost_rows(tenants: int, gateways: int, seed: int) -> list[BenchRow]:
    size = f"{tenants:,} tenants, {gateways} gateways"
    before = resident_bytes()
    quotas = _quotas(tenants, gateways)
    rounds = 10

    def receive() -> None:
        for number in range(1, rounds + 1):
            _receive(quotas, gateways, tenants, number=number)

    # What the made-up reports themselves cost is subtracted.
    receive_s = seconds_of(receive) - seconds_of(lambda: _make_only(gateways, tenants, rounds))
    now = rounds * REPORT_INTERVAL_S
    sweep_s = seconds_of(lambda: quotas.sweep(now=now))
    names = random.Random(seed).choices(_names(tenants), _weights(tenants), k=DECISIONS)
    decide_s = seconds_of(lambda: _decide(quotas, names, start=now))
    return [
        BenchRow("decision", size, decide_s / DECISIONS * 1e6, "us"),
        BenchRow("report received", size, receive_s / rounds / (gateways - 1) * 1e6, "us"),
        BenchRow("sweep of a round", size, sweep_s * 1e6, "us"),
        BenchRow("memory", size, (resident_bytes() - before) / 1024, "KiB"),
    ]


def _make_only(gateways: int, tenants: int, rounds: int) -> None:
    empty = TenantQuotas(bounds=BOUNDS)
    for number in range(1, rounds + 1):
        _receive(empty, gateways, tenants, number=number)


def _decide(quotas: TenantQuotas, names: list[TenantName], *, start: float) -> None:
    decide: Callable[..., object] = quotas.decide
    for number, name in enumerate(names):
        decide(name, fraction=1.0, now=start + number / DECISIONS)


def _byte_rows(tenants: int, gateways: int, seed: int) -> list[BenchRow]:
    """Return the bytes that one other gateway of this and of another region gets.

    Every gateway has the same load; the others' is reported as that of one.
    """
    rng = random.Random(seed)
    quotas, names, weights = _quotas(tenants, gateways), _names(tenants), _weights(tenants)
    others_per_s = (gateways - 1) * REQUESTS_PER_S
    others = [
        QuotaReport(tenant_hash(name), 0, per_s, per_s)
        for name, weight in zip(names, weights, strict=True)
        if (per_s := round(others_per_s * weight / sum(weights)))
    ][:MAX_REPORTED]
    sent = {False: 0, True: 0}
    entries = 0
    for number in range(ROUNDS):
        start = number * REPORT_INTERVAL_S
        report = QuotaReports(sequence=number, tenants=others)
        quotas.record_reports(VmId("others"), 1, report, now=start, remote=False)
        for name in rng.choices(names, weights, k=round(REQUESTS_PER_S * REPORT_INTERVAL_S)):
            quotas.decide(name, fraction=1.0, now=start + rng.random() * REPORT_INTERVAL_S)
        now = start + REPORT_INTERVAL_S
        quotas.sweep(now=now)
        for remote in (False, True):
            if remote and number % MIN_REMOTE_PERIOD_ROUNDS:
                continue
            reports = quotas.reports(remote=remote, now=now)
            sent[remote] += len(msgspec.msgpack.encode(reports))
            entries += 0 if remote or reports is None else len(reports.tenants)
    size = f"{tenants:,} tenants, {gateways} gateways"
    duration_s = ROUNDS * REPORT_INTERVAL_S
    return [
        BenchRow("sent to each in the region", size, sent[False] / duration_s, "B/s"),
        BenchRow("sent to each in other regions", size, sent[True] / duration_s, "B/s"),
        BenchRow("tenants in a report", size, entries / ROUNDS, ""),
    ]
