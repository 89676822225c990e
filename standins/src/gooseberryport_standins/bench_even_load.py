"""Compare how many load balancers with old reports select upstreams: what callers get, how evenly.

The benchmark is bounded: two seeds of eight simulated seconds for each case, about 12 s in all.
"""

from __future__ import annotations

from gooseberryport_standins._bench_report import BenchReport, BenchRow
from gooseberryport_standins._even_model import EvenCase, EvenResult, replay_even
from gooseberryport_standins._even_policies import POLICIES

RUNS = 2
"""Number of seeds over which each value is averaged."""

CHOOSERS = (9, 100)
PERIODS_S = (0.05, 0.4, 2.0)
LOAD = 0.7


def run(seed: int) -> BenchReport:
    """Run each policy in each case and return the report.

    Parameters
    ----------
    seed
        First of `RUNS` consecutive seeds.
    """
    rows = []
    for warmth in (False, True):
        for choosers in CHOOSERS:
            for period_s in PERIODS_S:
                case = EvenCase(choosers=choosers, period_s=period_s, warmth=warmth, load=LOAD)
                for name, policy in POLICIES.items():
                    results = [replay_even(case, policy, seed + number) for number in range(RUNS)]
                    size = f"{name}, {choosers} choosers, reports of {period_s * 1000:.0f} ms"
                    objects = ", warm objects" if warmth else ""
                    rows.extend(_rows(results, size + objects))
    return BenchReport(name="even-load", seed=seed, rows=tuple(rows))


def _rows(results: list[EvenResult], size: str) -> list[BenchRow]:
    def mean(field: str) -> float:
        return float(sum(getattr(result, field) for result in results) / len(results))

    return [
        BenchRow("p50", size, 1000.0 * mean("p50_s"), "ms"),
        BenchRow("p99", size, 1000.0 * mean("p99_s"), "ms"),
        BenchRow("within the objective", size, 100.0 * mean("in_time"), "%"),
        BenchRow("largest load over mean", size, mean("spread"), "times"),
    ]
