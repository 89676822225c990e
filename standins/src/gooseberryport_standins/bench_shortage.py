"""Compare what gateways do with requests of three priority levels when slots are short."""

from __future__ import annotations

from gooseberryport_standins._bench_report import BenchReport, BenchRow
from gooseberryport_standins._shortage_model import replay
from gooseberryport_standins._shortage_patterns import PATTERNS, POLICIES

RUNS = 5
"""Number of seeds over which each value is summed."""


def run(seed: int) -> BenchReport:
    """Replay each load pattern with each policy and return the report.

    Parameters
    ----------
    seed
        First of `RUNS` consecutive seeds.
    """
    rows: list[BenchRow] = []
    for pattern in PATTERNS:
        for policy in POLICIES:
            levels = replay(pattern=pattern, policy=policy, seeds=range(seed, seed + RUNS))
            count = sum(level.count for level in levels)
            values = {
                "mean worth": sum(level.worth * level.count for level in levels) / count,
                "late": sum(level.late for level in levels) / count,
                "rejected": sum(level.rejected for level in levels) / count,
                "failed": sum(level.failed for level in levels) / count,
            }
            for index, level in enumerate(levels):
                values[f"level {index} in time"] = level.in_time / level.count
                values[f"level {index} served"] = level.served
            rows.extend(
                BenchRow(f"{pattern.name}: {what}", policy.name, value * 100.0, "%")
                for what, value in values.items()
            )
    return BenchReport(name="shortage", seed=seed, rows=tuple(rows))
