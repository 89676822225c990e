"""Run benchmarks by name and print their results: ``make bench`` or ``python -m ...bench NAME``."""

from __future__ import annotations

import importlib
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Annotated

import cappa
import msgspec

from gooseberryport_standins._bench_report import BenchReport, render

BENCHES = {
    "admission": "gooseberryport_standins.bench_admission",
    "lookup": "gooseberryport_standins.bench_lookup",
    "control": "gooseberryport_standins.bench_control",
    "burn": "gooseberryport_standins.bench_burn",
    "placement": "gooseberryport_standins.bench_placement",
    "even-load": "gooseberryport_standins.bench_even_load",
    "shortage": "gooseberryport_standins.bench_shortage",
    "gateway": "gooseberryport_standins.bench_gateway",
    "process": "gooseberryport_standins.bench_process",
    "quotas": "gooseberryport_standins.bench_quotas",
}
"""Module of each benchmark; its function ``run(seed)`` returns a `BenchReport`."""


def run_bench(name: str, seed: int) -> BenchReport:
    """Run one benchmark.

    Parameters
    ----------
    name
        One of `BENCHES`.
    seed
        Seed of every random choice.
    """
    run: Callable[[int], BenchReport] = importlib.import_module(BENCHES[name]).run
    return run(seed)


@cappa.command(name="bench")
@dataclass
class BenchCommand:
    """Measure the costs by size that docs/CAPACITY.md and docs/design rely on."""

    names: Annotated[
        list[str], cappa.Arg(value_name="NAME", help=f"Some of {', '.join(BENCHES)}; all if none")
    ] = field(default_factory=list)
    seed: Annotated[int, cappa.Arg(long=True, help="Seed of every random choice")] = 1
    as_json: Annotated[bool, cappa.Arg(long="--json", help="Print JSON")] = False

    def __call__(self) -> int:
        """Run the benchmarks; returns the exit code."""
        unknown = [name for name in self.names if name not in BENCHES]
        if unknown:
            raise cappa.Exit(f"unknown benchmark {', '.join(unknown)}", code=2)
        for name in self.names or BENCHES:
            report = run_bench(name, self.seed)
            if self.as_json:
                print(msgspec.json.encode(report).decode(), flush=True)
            else:
                print(render(report), flush=True)
        return 0


if __name__ == "__main__":
    raise SystemExit(cappa.invoke(BenchCommand))
