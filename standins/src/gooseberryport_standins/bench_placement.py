"""Compare placement by warmth with placement by hash and by least load under heavy loads.

Also compares what gateways can learn of the objects that upstreams keep with a fixed assumption.
"""

from __future__ import annotations

from gooseberryport_standins._bench_report import BenchReport, BenchRow
from gooseberryport_standins._tracked_warmth import (
    AFTER,
    BEFORE,
    Load,
    Variant,
    replay_tracked,
)
from gooseberryport_standins._warm_model import PATTERNS, POLICIES, replay

RUNS = 5
"""Number of seeds over which each value is averaged."""

TRACKED_LOADS = {
    "144 objects, 40 kept": Load(kept_objects=40),
    "144 objects, 16 kept, 260 /s": Load(rate_per_s=260.0),
    "144 objects, 9 kept": Load(kept_objects=9),
    "144 objects, 9 kept, 200 /s": Load(kept_objects=9, rate_per_s=200.0),
    "144 objects, 9 kept, slow upstreams": Load(kept_objects=9, slow_factor=3.0),
    "144 objects, 40 kept, slow upstreams": Load(kept_objects=40, slow_factor=3.0),
    "200 objects, 9 kept": Load(keys=200, kept_objects=9),
}
TRACKED_VARIANTS = {
    "48 assumed": BEFORE,
    "order reported": Variant(learns=False),
    "learned": Variant(reports_order=False),
    "order reported and learned": AFTER,
}
TRACKED_RUNS = 4


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
    for name, load in TRACKED_LOADS.items():
        for by, variant in TRACKED_VARIANTS.items():
            outcomes = [
                replay_tracked(load=load, variant=variant, seed=seed + number)
                for number in range(TRACKED_RUNS)
            ]
            for field in ("found_warm", "in_time", "expected_warm_but_cold"):
                mean = sum(getattr(outcome, field) for outcome in outcomes) / TRACKED_RUNS
                what = f"{name}: {field.replace('_', ' ')}"
                rows.append(BenchRow(what, by, mean * 100.0, "%"))
    return BenchReport(name="placement", seed=seed, rows=tuple(rows))
