"""Request counters of a region's daemons, which merge in any order and survive daemon restarts."""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

from gooseberryport_core.messages import CountNotice, ServiceCount
from gooseberryport_core.types import Incarnation, ServiceName, VmId

FOLD_TIMEOUT_S = 3_600.0
"""Time without a report after which the counters of a daemon's run are added to `past`."""

FOLDED_RUN_TTL_S = 604_800.0
"""Time after its last report for which a folded run is remembered; a report that arrives later is
counted as that of a new run."""


class RequestCounts(msgspec.Struct, frozen=True, array_like=True):
    """Number of requests: all, those that missed the latency objective, and those that failed."""

    total: int = 0
    slow: int = 0
    failed: int = 0

    def add(self, other: RequestCounts) -> RequestCounts:
        """Return the sum."""
        return RequestCounts(
            self.total + other.total, self.slow + other.slow, self.failed + other.failed
        )

    def subtract(self, other: RequestCounts) -> RequestCounts:
        """Return the difference."""
        return RequestCounts(
            self.total - other.total, self.slow - other.slow, self.failed - other.failed
        )

    def maximum(self, other: RequestCounts) -> RequestCounts:
        """Return the larger value of each counter; `other` counts the same run at another time."""
        return RequestCounts(
            max(self.total, other.total),
            max(self.slow, other.slow),
            max(self.failed, other.failed),
        )


class RunCounts(msgspec.Struct, array_like=True):
    """Counters of one run of a daemon, from its start to its exit.

    A run is identified by its VM and incarnation.

    Parameters
    ----------
    last_report_at
        Wall clock when a report of the run was last received; seconds since 1970-01-01 UTC.
    """

    vm: VmId
    incarnation: Incarnation
    last_report_at: float
    counts: dict[ServiceName, RequestCounts]

    def copy(self) -> RunCounts:
        """Return an independent copy."""
        return RunCounts(self.vm, self.incarnation, self.last_report_at, dict(self.counts))

    def merge(self, other: RunCounts) -> None:
        """Merge another copy of the same run's counters; the larger value of each counter wins."""
        self.last_report_at = max(self.last_report_at, other.last_report_at)
        for service, count in other.counts.items():
            self.counts[service] = self.counts.get(service, RequestCounts()).maximum(count)


class RegionCounts(msgspec.Struct):
    """Counters of all daemons of a region.

    A run is identified by its VM and incarnation, and each of its counters only grows. Merging
    takes the larger value, so no request counts twice, whichever daemon reports it and how often.

    Parameters
    ----------
    runs
        Runs whose counters may still grow.
    past
        Sums of the counters of the folded runs, by service.
    folded
        The newest folded run of each VM. If its counters change after all, it is subtracted from
        `past` again; reports of older runs of the VM are ignored, as those are counted already.
    """

    runs: list[RunCounts] = msgspec.field(default_factory=list)
    past: dict[ServiceName, RequestCounts] = msgspec.field(default_factory=dict)
    folded: dict[VmId, RunCounts] = msgspec.field(default_factory=dict)

    def record_notice(self, notice: CountNotice, wall: float) -> None:
        """Merge the counters that a daemon reports of its run."""
        counts = {count.service: _from_message(count) for count in notice.counts}
        self.merge_run(RunCounts(notice.vm, notice.incarnation, wall, counts))

    def merge_run(self, run: RunCounts) -> None:
        """Merge the counters of one run."""
        folded = self.folded.get(run.vm)
        if folded is not None and run.incarnation < folded.incarnation:
            return
        if folded is not None and run.incarnation == folded.incarnation:
            if all(folded.counts.get(name) == count for name, count in run.counts.items()):
                return
            self._unfold(folded)
        known = self._find_run(run)
        if known is None:
            self.runs.append(run.copy())
        else:
            known.merge(run)

    def fold(self, wall: float) -> None:
        """Add the counters of runs without a report for `FOLD_TIMEOUT_S` to `past`."""
        for run in [run for run in self.runs if wall - run.last_report_at >= FOLD_TIMEOUT_S]:
            self.runs.remove(run)
            for service, count in run.counts.items():
                self.past[service] = self.past.get(service, RequestCounts()).add(count)
            folded = self.folded.get(run.vm)
            if folded is None or run.incarnation > folded.incarnation:
                self.folded[run.vm] = run
        for run in list(self.folded.values()):
            if wall - run.last_report_at >= FOLDED_RUN_TTL_S:
                del self.folded[run.vm]

    def totals(self) -> dict[ServiceName, RequestCounts]:
        """Return the region's sums, by service."""
        sums = dict(self.past)
        for run in self.runs:
            for service, count in run.counts.items():
                sums[service] = sums.get(service, RequestCounts()).add(count)
        return sums

    def copy(self) -> RegionCounts:
        """Return an independent copy."""
        runs = [run.copy() for run in self.runs]
        folded = {vm: run.copy() for vm, run in self.folded.items()}
        return RegionCounts(runs, dict(self.past), folded)

    def _unfold(self, run: RunCounts) -> None:
        del self.folded[run.vm]
        self.runs.append(run)
        for service, count in run.counts.items():
            self.past[service] = self.past[service].subtract(count)

    def _find_run(self, run: RunCounts) -> RunCounts | None:
        for known in self.runs:
            if (known.vm, known.incarnation) == (run.vm, run.incarnation):
                return known
        return None


def make_service_counts(counts: dict[ServiceName, RequestCounts]) -> Iterator[ServiceCount]:
    """Yield the counters as messages carry them, in order of the services' names."""
    for service in sorted(counts):
        count = counts[service]
        yield ServiceCount(service, count.total, count.slow, count.failed)


def _from_message(count: ServiceCount) -> RequestCounts:
    return RequestCounts(count.total, count.slow, count.failed)
