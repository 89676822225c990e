"""Compare placement by warmth with a hash and with the least load, on loads at their worst."""

from __future__ import annotations

from gooseberryport_standins._bench_report import BenchReport, BenchRow
from gooseberryport_standins._warm_model import PATTERNS, POLICIES, replay

RUNS = 5
"""Seeds of each figure."""


def run(seed: int) -> BenchReport:
    """Replay each load with each policy.

    Parameters
    ----------
    seed
        First seed; the others follow it.
    """
    rows = []
    for pattern in PATTERNS:
        for name, policy in POLICIES.items():
            results = [
                replay(pattern=pattern, policy=policy, seed=seed + each) for each in range(RUNS)
            ]
            for share in ("in_time", "late", "refused"):
                mean = sum(getattr(each, share) for each in results) / RUNS
                what = f"{pattern.name}: {share.replace('_', ' ')}"
                rows.append(BenchRow(what, f"by {name}", mean * 100.0, "%"))
    return BenchReport(name="placement", seed=seed, rows=tuple(rows))
