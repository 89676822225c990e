"""Request quotas of tenants, kept by all gateways together without a message per request.

Load pattern: a tenant sends several times its usual rate through many gateways at once, or moves
from one gateway to another within a second. The quota is for the sum over all gateways, so each
keeps the same token bucket and subtracts what the others admitted, from their reports. Between two
reports it assumes that the others go on as they did. Where more is asked for than the rate, each
gateway keeps to its share by demand, of the rate and of the tokens that are left.

Failure pattern: gateways that can't reach each other would each use the whole quota. Each uses only
the fraction of it that corresponds to the gateways it knows to be alive.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable

import msgspec

from gooseberryport_core.gateway.model import Tenant, TenantName
from gooseberryport_core.gateway.quota_counts import (
    COUNT_MASK,
    MAX_REPORTED,
    OtherGateways,
    QuotaReport,
    QuotaReports,
    RecentCount,
    tenant_hash,
)
from gooseberryport_core.gateway.quota_reporters import QuotaReporters
from gooseberryport_core.types import VmId

UNKNOWN_DEMAND_S = 0.4
"""Time for which gateways of another region may ask for as much without being known here; tokens
are reserved for it when the demand exceeds the rate; seconds."""

MAX_RESERVED_FRACTION = 0.5
"""Largest fraction of the burst that is reserved for demand that is not known yet."""

MOVED_DEMAND = 1.6
"""Known demand, relative to the rate, up to which it may be a demand below the rate that moved to
another gateway: it is counted at both until the next reports."""

MOVED_SLACK_PER_S = 0.2
"""The same as an excess over the rate, as a fraction of the slack per second: small tenants are
reported less often, and their demand is counted at several gateways; per second."""

MOVED_FRACTION = 0.5
"""Fraction of the slack up to which the requests that the others are only assumed to have admitted
are left out of account then."""

DEFICIT_FRACTION = 0.15
"""Fraction of the slack that gateways use together when the tokens are used up. The rest is for
what they admit before they know of each other."""

START_S = 2.0
START_DEFICIT_FRACTION = 0.5
START_DEMAND = 3.0
"""The same in the first seconds of a tenant's limit here, while the known demand is at most
`START_DEMAND` times the rate: 0.15 rejects requests that waited while all gateways were down, and
their retries keep the quota used up for seconds. Less than a burst, since a gateway does not know
what ran before it; in overload, nothing more is used."""

SHARE_BURST_S = 0.25
"""Accumulated share of the rate, beyond one request; seconds."""

MIN_BURST = 1.0
"""Smallest bucket: a single request must fit."""

REPORT_ACTIVE_S = 5.0
"""Time after a tenant's last request in which its end is reported to all gateways; seconds."""

REPORT_INTERVAL_S = 0.15
"""Shortest interval of reports about a tenant: less than that of datagrams, which may also be sent
between two rounds; seconds."""

REPORT_KEPT_S = 0.1
"""Time for which a report is kept: less than the interval of datagrams; seconds."""

MAX_REPORT_INTERVAL_S = 1.5
"""Longest interval of reports about a tenant; seconds."""

UNREPORTED_FRACTION = 0.25
"""Fraction of the slack that all gateways may use between two reports about a tenant, which are
less frequent for small tenants than datagrams are."""

OVERSTATED_FRACTION = 0.05
"""The same for requests that others only assume, after the demand went down: smaller, since a
tenant that moved is rejected because of them."""

SWEEP_PARTS = 5
"""Rounds of reports in which all tenants are looked at once."""

MAX_KNOWN_COUNTS = 65_536
"""Maximum counts of other gateways that are kept, of all tenants; some 10 MB."""

MAX_RETRY_S = 60.0
"""Longest delay stated to a rejected client; seconds."""


class QuotaDecision(msgspec.Struct, frozen=True):
    """Whether a request is within its tenant's quota, and why.

    Parameters
    ----------
    admitted
        Whether it may be sent.
    retry_s
        Time until this gateway has a token for a request again; 0 if admitted; seconds.
    level
        Tokens left of the quota, as far as this gateway knows.
    share_per_s
        This gateway's share of the rate; requests per second.
    demand_per_s
        Requests per second at all gateways, as far as known.
    """

    admitted: bool
    retry_s: float
    level: float
    share_per_s: float
    demand_per_s: float


class QuotaBounds(msgspec.Struct, frozen=True):
    """What the deployment allows beyond the quotas in any window.

    Parameters
    ----------
    window_s
        Length of the window; 0 if nothing is limited; seconds.
    overage
        Fraction of the quota that may be exceeded.
    slack
        Requests beyond that.
    """

    window_s: float
    overage: float
    slack: float


class _LastReport(msgspec.Struct):
    """What was reported of a tenant, and when; monotonic seconds."""

    at: float = float("-inf")
    admitted: int = 0
    asked: int = 0
    served: int = 0


class _Bucket(msgspec.Struct):
    """A tenant's tokens and counts at this gateway.

    Parameters
    ----------
    rate, burst
        Limit of the tenant for all gateways; requests per second, requests.
    level
        Tokens left of the fraction that this gateway may use; negative after an overshoot.
    own_tokens
        Accrued share of the rate, used when the tokens are scarce.
    refilled_at, decided_at
        Times for which `level` and `own_tokens` are computed; monotonic seconds.
    started_at
        When the limit became known here; monotonic seconds.
    admitted
        Requests admitted by this process, less those that did not run.
    reported_local, reported_remote
        What was last reported of it to gateways of this and of other regions.
    """

    rate: float
    burst: float
    level: float
    own_tokens: float
    refilled_at: float
    decided_at: float
    slack: float
    asked: RecentCount
    served: RecentCount
    others: OtherGateways
    started_at: float
    admitted: int = 0
    reported_local: _LastReport = msgspec.field(default_factory=_LastReport)
    reported_remote: _LastReport = msgspec.field(default_factory=_LastReport)


class TenantQuotas:
    """Limits each tenant's requests at this gateway to what its quota leaves.

    Parameters
    ----------
    bounds
        What the deployment allows beyond the quotas.
    draw
        Random number in [0, 1): gateways that get the first request of a tenant at the same moment
        do not all admit it from their shares at the same moment.
    """

    def __init__(self, *, bounds: QuotaBounds, draw: float = 0.0) -> None:
        self._bounds = bounds
        self._draw = draw
        self._buckets: dict[TenantName, _Bucket] = {}
        self._names: dict[int, TenantName] = {}
        self._reporters = QuotaReporters()
        self._fraction = 1.0
        self._sequence = 0
        self._kept: dict[bool, tuple[float, QuotaReports]] = {}
        # Tenants with recent requests here or at other gateways; the others cost no time.
        self._active: dict[TenantName, None] = {}
        self._sweep_part = 0
        self._known_counts = 0

    def __len__(self) -> int:
        return len(self._buckets)

    def set_bounds(self, bounds: QuotaBounds) -> None:
        """Change the bounds; counts and tokens remain."""
        self._bounds = bounds
        for bucket in self._buckets.values():
            bucket.slack = self._slack(bucket.rate, bucket.burst)

    def apply_tenants(self, tenants: Iterable[Tenant], *, now: float) -> None:
        """Apply the tenants of a configuration; their counts remain where they are known.

        A tenant begins without tokens: other gateways, or an earlier process on this VM, may have
        used those of the current window.
        """
        limited = {tenant.name: tenant for tenant in tenants if tenant.rate_per_s > 0.0}
        for name in [name for name in self._buckets if name not in limited]:
            del self._buckets[name]
            self._active.pop(name, None)
        for name, tenant in limited.items():
            rate, burst = tenant.rate_per_s, max(tenant.burst, MIN_BURST)
            bucket = self._buckets.get(name)
            if bucket is None:
                self._buckets[name] = _Bucket(
                    rate=rate,
                    burst=burst,
                    level=0.0,
                    own_tokens=self._draw,
                    refilled_at=now,
                    decided_at=now,
                    slack=self._slack(rate, burst),
                    asked=RecentCount(),
                    served=RecentCount(),
                    others=OtherGateways(),
                    started_at=now,
                )
            elif (bucket.rate, bucket.burst) != (rate, burst):
                bucket.rate, bucket.burst = rate, burst
                bucket.level = min(bucket.level, burst)
                bucket.slack = self._slack(rate, burst)
        self._names = {tenant_hash(name): name for name in self._buckets}

    def _slack(self, rate: float, burst: float) -> float:
        bounds = self._bounds
        return (rate * bounds.window_s + burst) * bounds.overage + bounds.slack

    def decide(self, name: TenantName, *, fraction: float, now: float) -> QuotaDecision | None:
        """Admit or reject a request; return None if its tenant has no limit.

        Parameters
        ----------
        name
            Tenant of the request.
        fraction
            Fraction of the quota that this gateway may use, by the gateways that are alive.
        now
            Monotonic time; seconds.
        """
        bucket = self._buckets.get(name)
        if bucket is None or self._bounds.window_s <= 0.0:
            return None
        bucket.asked.add(now)
        self._active[name] = None
        self._fraction = fraction
        fraction = self._reporters.fraction(alive_fraction=fraction, now=now)
        own = bucket.asked.per_s(now)
        demand = own + bucket.others.asked_per_s
        part = own / demand
        rate = bucket.rate * fraction
        self._refill(bucket, fraction=fraction, now=now)
        share = rate * part
        most = 1.0 + share * SHARE_BURST_S
        passed_s = max(now - bucket.decided_at, 0.0)
        bucket.own_tokens = min(bucket.own_tokens + share * passed_s, most)
        bucket.decided_at = now
        decision = self._try_take(bucket, rate=rate, demand=demand, part=part, fraction=fraction)
        if decision.admitted:
            bucket.admitted += 1
            bucket.served.add(now)
            bucket.level -= 1.0
        return decision

    def _refill(self, bucket: _Bucket, *, fraction: float, now: float) -> None:
        """Add the tokens since the last refill, less what the others are assumed to have used.

        It precedes every other change of the level: tokens beyond the burst must not make up for
        requests that were admitted later.
        """
        passed_s = max(now - bucket.refilled_at, 0.0)
        bucket.refilled_at = now
        used = bucket.others.assume_until(now)
        # Older debts are no part of the current window.
        lowest = -bucket.rate * self._bounds.window_s
        level = bucket.level + bucket.rate * fraction * passed_s - used
        bucket.level = min(max(level, lowest), max(bucket.burst * fraction, MIN_BURST))

    def _try_take(
        self, bucket: _Bucket, *, rate: float, demand: float, part: float, fraction: float
    ) -> QuotaDecision:
        slack = bucket.slack * fraction
        excess = max(demand - rate, 0.0)
        deficit = slack * DEFICIT_FRACTION
        if bucket.refilled_at - bucket.started_at < START_S and demand <= START_DEMAND * rate:
            deficit = slack * START_DEFICIT_FRACTION
        reserved = min(
            max(excess * UNKNOWN_DEMAND_S - slack, 0.0),
            bucket.burst * fraction * MAX_RESERVED_FRACTION,
        )
        usable = bucket.level - reserved
        if excess:
            usable *= part
        admitted = usable >= 1.0
        if admitted:
            bucket.own_tokens = max(bucket.own_tokens - 1.0, 0.0)
        elif excess <= max(rate * (MOVED_DEMAND - 1.0), slack * MOVED_SLACK_PER_S):
            unconfirmed = bucket.others.unconfirmed(bucket.refilled_at)
            level = bucket.level + min(unconfirmed, slack * MOVED_FRACTION)
            admitted = level > -deficit
        if not admitted and bucket.level > -deficit:
            admitted = bucket.own_tokens >= 1.0
            bucket.own_tokens -= admitted
        share = rate * part
        retry_s = 0.0
        if not admitted:
            debt = max(-bucket.level - deficit, 0.0)
            wait_s = max((1.0 - bucket.own_tokens) / max(share, 1e-6), debt / max(rate, 1e-6), 0.05)
            retry_s = min(wait_s, MAX_RETRY_S)
        return QuotaDecision(
            admitted=admitted,
            retry_s=retry_s,
            level=bucket.level,
            share_per_s=share,
            demand_per_s=demand,
        )

    def refund(self, name: TenantName, *, now: float) -> None:
        """Return the token of an admitted request that did not run."""
        bucket = self._buckets.get(name)
        if bucket is not None and bucket.admitted > 0:
            bucket.admitted -= 1
            bucket.served.remove(now)
            bucket.level = min(bucket.level + 1.0, bucket.burst)

    def record_reports(
        self, vm: VmId, incarnation: int, reports: QuotaReports, *, now: float, remote: bool
    ) -> None:
        """Record what another gateway reports; tenants that are not known here are ignored.

        Parameters
        ----------
        vm, incarnation
            The gateway that reports. The counts of a new incarnation start anew.
        reports
            What it reports.
        now
            Monotonic time; seconds.
        remote
            Whether it is in another region.
        """
        if not self._reporters.accept(
            vm,
            incarnation=incarnation,
            sequence=reports.sequence,
            sent_ms=reports.sent_ms,
            remote=remote,
            now=now,
        ):
            return
        for report in reports.tenants:
            name = self._names.get(report.tenant)
            if name is not None:
                bucket = self._buckets[name]
                self._active[name] = None
                self._refill(bucket, fraction=self._fraction, now=now)
                bucket.level -= bucket.others.record(
                    vm,
                    incarnation,
                    report,
                    now=now,
                    window_s=self._bounds.window_s,
                    has_room=self._known_counts < MAX_KNOWN_COUNTS,
                )

    def reports(self, *, remote: bool, now: float) -> QuotaReports | None:
        """Return what to report, or None if no tenant is limited.

        Tenants with much demand are in each report, others less often. For `REPORT_KEPT_S` the
        same report is returned, since a round may need it in several datagrams.

        Parameters
        ----------
        remote
            Whether the report is for gateways of other regions.
        now
            Monotonic time; seconds.
        """
        if not self._buckets or self._bounds.window_s <= 0.0:
            return None
        kept = self._kept.get(remote)
        if kept is None or not 0.0 <= now - kept[0] < REPORT_KEPT_S:
            kept = self._kept[remote] = (now, self._make_reports(remote=remote, now=now))
        return kept[1]

    def _make_reports(self, *, remote: bool, now: float) -> QuotaReports:
        due: list[tuple[float, _Bucket, TenantName]] = []
        for name in self._active:
            bucket = self._buckets[name]
            last = bucket.reported_remote if remote else bucket.reported_local
            interval_s = self._report_interval_s(bucket, last, now=now)
            if now - last.at >= interval_s:
                due.append((interval_s, bucket, name))
        if len(due) > MAX_REPORTED:
            due.sort(key=lambda entry: entry[0])
        tenants = []
        for _, bucket, name in due[:MAX_REPORTED]:
            last = bucket.reported_remote if remote else bucket.reported_local
            last.at = now
            last.admitted = bucket.admitted & COUNT_MASK
            last.asked = min(round(bucket.asked.per_s(now)), COUNT_MASK)
            last.served = min(round(bucket.served.per_s(now)), COUNT_MASK)
            tenants.append(
                QuotaReport(
                    tenant=tenant_hash(name),
                    admitted=last.admitted,
                    asked=last.asked,
                    served=last.served,
                )
            )
        self._sequence = (self._sequence + 1) & COUNT_MASK
        sent_ms = round(now * 1000.0) & COUNT_MASK
        return QuotaReports(sequence=self._sequence, tenants=tenants, sent_ms=sent_ms)

    def _report_interval_s(self, bucket: _Bucket, last: _LastReport, *, now: float) -> float:
        """Return the interval of reports about a tenant; infinite if there is nothing to report."""
        asked = bucket.asked.per_s(now)
        if last.admitted == bucket.admitted & COUNT_MASK and asked <= last.asked:
            if not last.asked and not last.served:
                return math.inf
            # Nothing new is admitted, and the others assume more than there is.
            unreported, per_s = bucket.slack * OVERSTATED_FRACTION, last.asked - asked
        else:
            unreported = bucket.slack * UNREPORTED_FRACTION
            per_s = asked + bucket.others.asked_per_s
        return min(max(unreported / max(per_s, 1.0), REPORT_INTERVAL_S), MAX_REPORT_INTERVAL_S)

    def forget_reporter(self, vm: VmId) -> None:
        """Record that a gateway no longer reports, which does not mean that it is cut off."""
        self._reporters.forget(vm)

    def sweep(
        self,
        *,
        fraction: float = 1.0,
        may_run: Callable[[VmId], bool] = lambda _: True,
        now: float,
    ) -> None:
        """Drop what silent gateways reported; called in each round of reports.

        A round looks at one of `SWEEP_PARTS` parts of the tenants.

        Parameters
        ----------
        fraction
            Fraction of the quota that this gateway may use, by the gateways that are alive.
        may_run
            Returns whether a silent gateway may still run, as it did not leave in a planned way.
        now
            Monotonic time; seconds.
        """
        self._fraction = fraction
        self._sweep_part = (self._sweep_part + 1) % SWEEP_PARTS
        active = list(self._active)
        for name in active[self._sweep_part :: SWEEP_PARTS]:
            bucket = self._buckets[name]
            self._refill(bucket, fraction=self._fraction, now=now)
            bucket.others.expire(now=now)
            if not bucket.others.gateways and now - bucket.asked.last_at >= REPORT_ACTIVE_S:
                del self._active[name]
        self._known_counts = sum(len(self._buckets[name].others.gateways) for name in self._active)
        self._reporters.sweep(may_run=may_run, now=now)
