"""Measure latency and requests served in time of the admission policy and of simpler policies.

``python -m gooseberryport_standins.bench_admission --seed 7`` prints a row for each case.
Complete nodes run with heartbeats, leases and a store. The network and the clock are simulated, so
processing time is not included in the latencies. Cases run in several processes.
"""

from __future__ import annotations

import argparse
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor

import msgspec

from gooseberryport_standins._bench_report import BenchReport, BenchRow
from gooseberryport_standins._policy_baselines import IdealQueue, RoundRobin, TwoChoices
from gooseberryport_standins._policy_model import Case, CaseResult, run_nodes

LOADS = (0.6, 0.8, 0.9, 0.95, 1.1)
LOAD_OF_FAILURE = {"bern-a": 0.6, "mittelland": 0.5, "figures": 0.8, "datagrams": 0.6}
QUICK_DURATION_S = 15.0
MAX_PROCESSES = 5

POLICIES: dict[str, Callable[[Case, int], CaseResult]] = {
    "nodes": run_nodes,
    "ideal queue": lambda case, seed: IdealQueue(case, seed).run(),
    "round robin": lambda case, seed: RoundRobin(case, seed).run(),
    "two choices": lambda case, seed: TwoChoices(case, seed).run(),
}


class PolicyResult(msgspec.Struct, frozen=True):
    """The result of one policy in one case."""

    case: Case
    policy: str
    result: CaseResult


def all_cases(quick: bool) -> list[Case]:
    """Return the cases of the benchmark, with a shorter duration if `quick`."""
    cases = [Case(load, uneven) for uneven in (False, True) for load in LOADS]
    cases += [Case(LOAD_OF_FAILURE[failure], failure=failure) for failure in LOAD_OF_FAILURE]
    cases.append(Case(LOAD_OF_FAILURE["figures"], uneven=True, failure="figures"))
    if not quick:
        return cases
    return [msgspec.structs.replace(case, seconds=QUICK_DURATION_S) for case in cases]


def run_policy(case: Case, policy: str, seed: int) -> PolicyResult:
    """Run one policy in one case."""
    return PolicyResult(case, policy, POLICIES[policy](case, seed))


def measure(seed: int, quick: bool = False) -> list[PolicyResult]:
    """Run every policy in every case."""
    jobs = [(case, policy) for case in all_cases(quick) for policy in POLICIES]
    with ProcessPoolExecutor(MAX_PROCESSES) as executor:
        futures = [executor.submit(run_policy, case, policy, seed) for case, policy in jobs]
        return [future.result() for future in futures]


def run(seed: int, quick: bool = False) -> BenchReport:
    """Run the benchmark and return its report.

    Parameters
    ----------
    seed
        Seed of every random choice.
    quick
        Whether to run the cases for a shorter time.
    """
    rows: list[BenchRow] = []
    for measured in measure(seed, quick):
        name = f"{measured.policy}, {_case_name(measured.case)}"
        rows.append(BenchRow("p50", name, 1000 * measured.result.p50_s, "ms"))
        rows.append(BenchRow("p99", name, 1000 * measured.result.p99_s, "ms"))
        in_time_percent = 100 * measured.result.in_time / measured.result.sent
        rows.append(BenchRow("served in time", name, in_time_percent, "%"))
        rows.append(BenchRow("over slots", name, measured.result.over_slots, "requests"))
    return BenchReport("admission", seed, tuple(rows))


def _case_name(case: Case) -> str:
    arrivals = "uneven" if case.uneven else "even"
    failure = f", {case.failure} lost" if case.failure else ""
    return f"{case.load} {arrivals}{failure}"


def main() -> None:
    """Print a row for each case."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=7)
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--policy", choices=sorted(POLICIES), default="")
    args = parser.parse_args()
    if args.policy:
        for case in all_cases(args.quick):
            print(_case_name(case), run_policy(case, args.policy, args.seed).result, flush=True)
        return
    print("| case | " + " | ".join(f"{name} p50, p99, in time" for name in POLICIES), end="")
    print(" | p99 to ideal | over slots |\n|" + "---|" * (len(POLICIES) + 3))
    results = measure(args.seed, args.quick)
    width = len(POLICIES)
    for first in range(0, len(results), width):
        print(_table_row(results[first : first + width]), flush=True)


def _table_row(results: list[PolicyResult]) -> str:
    cells = [
        f"{1000 * measured.result.p50_s:.0f}, {1000 * measured.result.p99_s:.0f} ms, "
        f"{100 * measured.result.in_time / measured.result.sent:.1f}%"
        for measured in results
    ]
    ratio = results[0].result.p99_s / results[1].result.p99_s
    over = results[0].result.over_slots
    return f"| {_case_name(results[0].case)} | " + " | ".join(cells) + f" | {ratio:.2f} | {over} |"


if __name__ == "__main__":
    main()
