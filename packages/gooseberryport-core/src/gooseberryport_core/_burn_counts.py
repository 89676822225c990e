"""Counters of a region's daemons that merge in any order, and outlive the daemons."""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

from gooseberryport_core.messages import CountNotice, ServiceCount
from gooseberryport_core.types import Incarnation, ServiceName, VmId

FOLD_TIMEOUT_S = 3_600.0
"""Silence after which the counters of a daemon's run are added to the sums of the past."""

FORGET_AFTER_S = 604_800.0
"""Silence after which a folded run can't be told from a new one any more."""


class RequestCounts(msgspec.Struct, frozen=True, array_like=True):
    """Count requests: all, those answered late, and those that failed."""

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
        """Return the larger of each figure: both count the same run, one of them later."""
        return RequestCounts(
            max(self.total, other.total),
            max(self.slow, other.slow),
            max(self.failed, other.failed),
        )


class RunCounts(msgspec.Struct, array_like=True):
    """Hold the counters of one run of a daemon.

    Parameters
    ----------
    heard_at
        Wall clock when the daemon last told them; seconds since 1970-01-01 UTC.
    """

    vm: VmId
    incarnation: Incarnation
    last_report_at: float
    counts: dict[ServiceName, RequestCounts]

    def copy(self) -> RunCounts:
        """Return a copy that changes apart from this one."""
        return RunCounts(self.vm, self.incarnation, self.last_report_at, dict(self.counts))

    def merge(self, other: RunCounts) -> None:
        """Take the larger figures of another copy of the same run."""
        self.last_report_at = max(self.last_report_at, other.last_report_at)
        for service, count in other.counts.items():
            self.counts[service] = self.counts.get(service, RequestCounts()).maximum(count)


class RegionCounts(msgspec.Struct):
    """Hold the counters of a region's daemons.

    A run is named by VM and incarnation, and each of its figures only grows, so merging takes the
    larger one: nothing counts twice, whoever reports it and how often.

    Parameters
    ----------
    runs
        Counters of runs that may still grow.
    past
        Sums of the runs that were folded.
    folded
        The newest folded run of each VM, so that it can be taken out of the sums again if it
        turns out to live; older runs of the VM are not counted again.
    """

    runs: list[RunCounts] = msgspec.field(default_factory=list)
    past: dict[ServiceName, RequestCounts] = msgspec.field(default_factory=dict)
    folded: dict[VmId, RunCounts] = msgspec.field(default_factory=dict)

    def record_notice(self, notice: CountNotice, wall: float) -> None:
        """Merge what a daemon told of its run."""
        counts = {each.service: _count(each) for each in notice.counts}
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
        known = self._find(run)
        if known is None:
            self.runs.append(run.copy())
        else:
            known.merge(run)

    def fold(self, wall: float) -> None:
        """Add runs that have been silent for long to the sums of the past."""
        for run in [run for run in self.runs if wall - run.last_report_at >= FOLD_TIMEOUT_S]:
            self.runs.remove(run)
            for service, count in run.counts.items():
                self.past[service] = self.past.get(service, RequestCounts()).add(count)
            folded = self.folded.get(run.vm)
            if folded is None or run.incarnation > folded.incarnation:
                self.folded[run.vm] = run
        for run in list(self.folded.values()):
            if wall - run.last_report_at >= FORGET_AFTER_S:
                del self.folded[run.vm]

    def totals(self) -> dict[ServiceName, RequestCounts]:
        """Return the sums of the region, by service."""
        sums = dict(self.past)
        for run in self.runs:
            for service, count in run.counts.items():
                sums[service] = sums.get(service, RequestCounts()).add(count)
        return sums

    def copy(self) -> RegionCounts:
        """Return a copy that changes apart from this one."""
        runs = [run.copy() for run in self.runs]
        folded = {vm: run.copy() for vm, run in self.folded.items()}
        return RegionCounts(runs, dict(self.past), folded)

    def _unfold(self, run: RunCounts) -> None:
        del self.folded[run.vm]
        self.runs.append(run)
        for service, count in run.counts.items():
            self.past[service] = self.past[service].subtract(count)

    def _find(self, run: RunCounts) -> RunCounts | None:
        for known in self.runs:
            if (known.vm, known.incarnation) == (run.vm, run.incarnation):
                return known
        return None


def make_service_counts(counts: dict[ServiceName, RequestCounts]) -> Iterator[ServiceCount]:
    """Yield counts as the messages carry them."""
    for service in sorted(counts):
        count = counts[service]
        yield ServiceCount(service, count.total, count.slow, count.failed)


def _count(each: ServiceCount) -> RequestCounts:
    return RequestCounts(each.total, each.slow, each.failed)
