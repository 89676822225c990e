"""What must hold after a run: callers' ends compared with what upstreams ran."""

from __future__ import annotations

from collections import Counter, defaultdict

from gooseberryport_standins._caller import CallEnd, CallResult
from gooseberryport_standins._upstream import Run, UpstreamStats

MAX_EXAMPLES = 3
"""Most request ids named for one kind of violation."""

LOST = "lost: no answer and no word"


class SafetyViolationError(AssertionError):
    """Something broke that must hold however slow the machine is."""


def raise_if_unsafe(violations: list[str]) -> None:
    """Raise if anything broke other than an answer in time.

    Parameters
    ----------
    violations
        What `find_violations` returned.

    Raises
    ------
    SafetyViolationError
        An answer was wrong, something ran that must not, or an upstream got too much.
    """
    unsafe = [line for line in violations if LOST not in line]
    if unsafe:
        raise SafetyViolationError("\n".join(unsafe))


def find_violations(
    results: list[CallResult], runs: list[Run], stats: list[UpstreamStats]
) -> list[str]:
    """Return what broke, one line for each kind; empty if all held.

    Parameters
    ----------
    results
        How every request ended for its caller.
    runs
        Every request that was started at an upstream.
    stats
        Counts of every upstream.
    """
    times = Counter(run.request_id for run in runs)
    broken: defaultdict[str, list[str]] = defaultdict(list)
    for result in results:
        for kind in _broken_by(result, times[result.plan.request_id]):
            broken[kind].append(result.plan.request_id)
    lines = [_line(kind, ids) for kind, ids in sorted(broken.items())]
    return lines + [line for each in stats for line in _over_slots(each)]


def _broken_by(result: CallResult, times: int) -> list[str]:
    kinds: list[str] = []
    if result.end == CallEnd.LOST:
        kinds.append(LOST)
    if result.end == CallEnd.WRONG:
        kinds.append("wrong: an answer that is not the caller's own")
    if result.end == CallEnd.NOT_RUN and times:
        kinds.append("told not-run, but it ran")
    if result.end == CallEnd.ANSWERED and not times:
        kinds.append("answered, but it did not run")
    if result.plan.method not in ("GET", "HEAD") and times > 1:
        kinds.append("ran more than once, though it may not be repeated")
    return kinds


def _line(kind: str, ids: list[str]) -> str:
    return f"{len(ids)} × {kind}: {', '.join(ids[:MAX_EXAMPLES])}"


def _over_slots(stats: UpstreamStats) -> list[str]:
    if not stats.over_slots:
        return []
    return [f"{stats.name}: {stats.over_slots} requests above its {stats.slots} slots"]
