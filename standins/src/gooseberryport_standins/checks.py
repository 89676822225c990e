"""Checks after a load: how requests ended for callers, compared with what upstreams ran."""

from __future__ import annotations

from collections import Counter, defaultdict

from gooseberryport_standins._caller import CallEnd, CallResult
from gooseberryport_standins._upstream import Run, UpstreamStats

MAX_EXAMPLES = 3
"""Maximum number of request ids listed for one kind of violation."""

LOST = "lost: neither an answer nor a refusal"


class SafetyViolationError(AssertionError):
    """A guarantee was violated that must hold however slow the machine is."""


def raise_if_unsafe(violations: list[str]) -> None:
    """Raise an error if anything was violated other than an answer in time.

    Parameters
    ----------
    violations
        What `find_violations` returned.

    Raises
    ------
    SafetyViolationError
        An answer was wrong, a request ran that must not run, or an upstream received more
        requests than it has slots.
    """
    unsafe = [line for line in violations if LOST not in line]
    if unsafe:
        raise SafetyViolationError("\n".join(unsafe))


def find_violations(
    results: list[CallResult], runs: list[Run], stats: list[UpstreamStats]
) -> list[str]:
    """Return what was violated, one line for each kind; empty if nothing was.

    Parameters
    ----------
    results
        How each request ended for its caller.
    runs
        The run of each request that was started at an upstream.
    stats
        Counts of each upstream.
    """
    run_counts = Counter(run.request_id for run in runs)
    request_ids: defaultdict[str, list[str]] = defaultdict(list)
    for result in results:
        for kind in _violations_of(result, run_counts[result.plan.request_id]):
            request_ids[kind].append(result.plan.request_id)
    lines = [_format_violation(kind, ids) for kind, ids in sorted(request_ids.items())]
    return lines + [line for upstream in stats for line in _slot_violations(upstream)]


def _violations_of(result: CallResult, run_count: int) -> list[str]:
    kinds: list[str] = []
    if result.end == CallEnd.LOST:
        kinds.append(LOST)
    if result.end == CallEnd.WRONG:
        kinds.append("wrong: incomplete answer, or the answer to another request")
    if result.end == CallEnd.NOT_RUN and run_count:
        kinds.append("reported as not-run, but it ran")
    if result.end == CallEnd.ANSWERED and not run_count:
        kinds.append("answered, but it did not run")
    if result.plan.method not in ("GET", "HEAD") and run_count > 1:
        kinds.append("ran more than once, though it must not be repeated")
    return kinds


def _format_violation(kind: str, ids: list[str]) -> str:
    return f"{len(ids)} × {kind}: {', '.join(ids[:MAX_EXAMPLES])}"


def _slot_violations(stats: UpstreamStats) -> list[str]:
    if not stats.over_slots:
        return []
    return [
        f"{stats.name}: {stats.over_slots} requests received with all {stats.slots} slots in use"
    ]
