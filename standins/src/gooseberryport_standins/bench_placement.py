"""Compare placement by warmth with placement by hash and by least load under heavy loads."""

from __future__ import annotations

from gooseberryport_standins._bench_report import BenchReport, BenchRow
from gooseberryport_standins._warm_model import PATTERNS, POLICIES, replay

RUNS = 5
"""Number of seeds over which each value is averaged."""


def run(seed: int) -> BenchReport:
    """Replay each load pattern with each policy and return the report.

    Parameters
    ----------
    seed
        First of `RUNS` consecutive seeds.
    """
    rows = []
    for pattern in PATTERNS:
        for name, policy in POLICIES.items():
            results = [
                replay(pattern=pattern, policy=policy, seed=seed + number) for number in range(RUNS)
            ]
            for field in ("in_time", "late", "refused"):
                mean = sum(getattr(result, field) for result in results) / RUNS
                what = f"{pattern.name}: {field.replace('_', ' ')}"
                rows.append(BenchRow(what, f"by {name}", mean * 100.0, "%"))
    return BenchReport(name="placement", seed=seed, rows=tuple(rows))
