"""Counters of requests by tenant, with a bounded number of series.

Load pattern: a thousand tenants, a few of them large. A series for each tenant and outcome would be
many times as long as all other metrics of a gateway together, and the small tenants' are of no use
at one gateway.
"""

from __future__ import annotations

from collections.abc import Collection, Iterator

from prometheus_client.core import CounterMetricFamily
from prometheus_client.registry import Collector

from gooseberryport_core.gateway.model import TenantName

MAX_LISTED_TENANTS = 20
"""Maximum tenants with series of their own: those with the most requests so far."""

OTHER = "other"
"""Label of the tenants without series of their own."""

SWAP_FACTOR = 1.1
SWAP_MARGIN = 10
"""How much larger than the smallest listed tenant another one must be to replace it, by factor and
by requests: two tenants of about one size must not replace each other all the time."""


class TenantCounts(Collector):
    """Counts requests by tenant and class of outcome.

    Counts of a tenant whose series end are added to those of `OTHER`, so that each series grows as
    long as it exists, and no request is left out of the sum.
    """

    def __init__(self) -> None:
        self._totals: dict[str, int] = {}
        self._counts: dict[str, dict[str, int]] = {}

    def record(self, tenant: TenantName, *, status: int) -> None:
        """Count the end of a request; a status of 0 stands for a client that left."""
        self._totals[tenant] = self._totals.get(tenant, 0) + 1
        counts = self._counts.setdefault(self._label(tenant), {})
        outcome = _outcome_class(status)
        counts[outcome] = counts.get(outcome, 0) + 1

    def retain(self, tenants: Collection[TenantName]) -> None:
        """Forget all tenants but those of a new configuration."""
        kept = frozenset(tenants)
        self._totals = {name: total for name, total in self._totals.items() if name in kept}
        for name in self._counts.keys() - kept - {OTHER}:
            self._unlist(name)

    def collect(self) -> Iterator[CounterMetricFamily]:
        """Yield the counters, when metrics are read."""
        family = CounterMetricFamily(
            "gooseberryport_tenant_requests",
            "Requests of tenants by class of outcome",
            labels=("tenant", "outcome"),
        )
        for name, counts in self._counts.items():
            for outcome, count in counts.items():
                family.add_metric((name, outcome), count)
        yield family

    def _label(self, tenant: str) -> str:
        if tenant in self._counts:
            return tenant
        listed = [name for name in self._counts if name != OTHER]
        if len(listed) < MAX_LISTED_TENANTS:
            return tenant
        smallest = min(listed, key=lambda name: self._totals.get(name, 0))
        bound = self._totals.get(smallest, 0) * SWAP_FACTOR + SWAP_MARGIN
        if tenant == OTHER or self._totals[tenant] <= bound:
            return OTHER
        self._unlist(smallest)
        return tenant

    def _unlist(self, name: str) -> None:
        other = self._counts.setdefault(OTHER, {})
        for outcome, count in self._counts.pop(name).items():
            other[outcome] = other.get(outcome, 0) + count


def _outcome_class(status: int) -> str:
    """Return the class of a status; those that quotas and overload give are apart."""
    if status == 0:
        return "cancelled"
    if status in (429, 503):
        return str(status)
    return f"{status // 100}xx"
