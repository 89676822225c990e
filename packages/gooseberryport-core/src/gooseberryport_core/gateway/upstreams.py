"""Table of the upstreams, and the choice of those that may receive requests now.

The table combines service discovery data, evacuations of availability zones, and what the gateway
observes on its own connections. Observations hold for one incarnation of an upstream only: an
upstream that restarts under the same id has none of its earlier state.
"""

from __future__ import annotations

import bisect
from collections.abc import Iterator
from enum import Enum

import msgspec

from gooseberryport_core.gateway.model import UpstreamEntry, UpstreamState
from gooseberryport_core.types import ServiceName, UpstreamId, ZoneName

MISSING_ENTRY_TTL_S = 2.0
"""Time for which an upstream whose entry disappeared in a store outage is kept after the store is
available again, as required by the platform; seconds."""

MIN_PROBE_INTERVAL_S = 0.3
"""Shortest interval between probes of an unreachable upstream; seconds."""

MAX_PROBE_INTERVAL_S = 2.0
"""Longest interval between probes of an unreachable upstream; seconds."""

LOCAL_REPORT_TTL_S = 0.1
"""Time for which the load report of an upstream in the gateway's region is preferred to the reports
of other gateways: half of the interval of the gateways' reports; seconds."""

REMOTE_REPORT_TTL_S = 0.4
"""The same for an upstream in another region: the age of the other gateways' reports when they
arrive; seconds."""

FAILURE_SMOOTHING = 0.25
"""Weight of the newest answer in the smoothed fraction of failed answers."""


class Reachability(Enum):
    """Whether an upstream is reachable from this gateway."""

    REACHABLE = "open"
    """Requests may be sent; the state at first, and after a probe succeeded."""

    UNPROVEN = "unproven"
    """All connections failed: a probe must succeed before the upstream receives a request."""


class Upstream(msgspec.Struct, eq=False):
    """State of one upstream at this gateway.

    Parameters
    ----------
    entry
        Latest discovery data of the upstream.
    cold_until
        Time until which the upstream is cold; monotonic seconds.
    in_flight
        Number of requests in flight from this gateway.
    reachability
        Whether connections to the upstream work.
    probe_at, probe_interval_s
        Earliest time of the next probe, and the interval after it; monotonic seconds and seconds.
    failure_fraction
        Smoothed fraction of failed answers.
    expires_at
        Time at which the upstream is removed unless its entry reappears, monotonic seconds; None
        while its entry is present.
    other_requests
        Number of requests from other gateways when the upstream last reported its load.
    load_reported_at
        Time of the last load report; monotonic seconds.
    """

    entry: UpstreamEntry
    cold_until: float = 0.0
    in_flight: int = 0
    reachability: Reachability = Reachability.REACHABLE
    probe_at: float = 0.0
    probe_interval_s: float = MIN_PROBE_INTERVAL_S
    failure_fraction: float = 0.0
    expires_at: float | None = None
    other_requests: int = 0
    load_reported_at: float = float("-inf")

    @property
    def id(self) -> UpstreamId:
        """Id of the upstream."""
        return self.entry.upstream

    def is_cold(self, now: float) -> bool:
        """Return whether the upstream is still cold."""
        return now < self.cold_until

    def record_load(self, load: int, *, now: float) -> None:
        """Record the load that the upstream reported: all requests that run or wait there."""
        self.other_requests = max(load - self.in_flight, 0)
        self.load_reported_at = now

    def reported_other_requests(self, *, same_region: bool, now: float) -> int | None:
        """Return the reported number of requests from other gateways, or None if too old.

        Parameters
        ----------
        same_region
            Whether the upstream is in this gateway's region, where gateways report more often.
        now
            Monotonic time; seconds.
        """
        is_recent = now - self.load_reported_at < (
            LOCAL_REPORT_TTL_S if same_region else REMOTE_REPORT_TTL_S
        )
        return self.other_requests if is_recent else None

    def record_answer(self, *, good: bool) -> None:
        """Record whether a request was answered without failure."""
        self.failure_fraction += FAILURE_SMOOTHING * (
            (0.0 if good else 1.0) - self.failure_fraction
        )

    def record_unreachable(self, now: float) -> bool:
        """Hold back requests until a probe succeeds; return True if it was reachable before."""
        if self.reachability is Reachability.REACHABLE:
            self.reachability = Reachability.UNPROVEN
            self.probe_interval_s = MIN_PROBE_INTERVAL_S
            self.probe_at = now
            return True
        self.probe_at = now + self.probe_interval_s
        self.probe_interval_s = min(self.probe_interval_s * 2.0, MAX_PROBE_INTERVAL_S)
        return False

    def record_reachable(self) -> None:
        """Allow requests again."""
        self.reachability = Reachability.REACHABLE


class UpstreamTable:
    """Holds the upstreams of all services."""

    def __init__(self) -> None:
        self._upstreams: dict[UpstreamId, Upstream] = {}
        self._by_service: dict[ServiceName, list[Upstream]] = {}
        self._evacuated: frozenset[ZoneName] = frozenset()
        # Whether most entries of a service are missing; computed when it is needed.
        self._has_lost_most: dict[ServiceName, bool] = {}

    @property
    def evacuated(self) -> frozenset[ZoneName]:
        """Evacuated availability zones, whose upstreams receive no requests."""
        return self._evacuated

    def set_evacuated(self, zones: frozenset[ZoneName]) -> None:
        """Replace the evacuated availability zones."""
        self._evacuated = zones
        self._has_lost_most.clear()

    def get(self, upstream: UpstreamId) -> Upstream | None:
        """Return the upstream with an id, or None if it is unknown."""
        return self._upstreams.get(upstream)

    def __iter__(self) -> Iterator[Upstream]:
        return iter(list(self._upstreams.values()))

    def for_service(self, service: ServiceName) -> list[Upstream]:
        """Return a service's upstreams in any state."""
        return self._by_service.get(service, [])

    def put(self, entry: UpstreamEntry, *, now: float) -> bool:
        """Apply discovery data of an upstream; return False if newer data is known.

        Parameters
        ----------
        entry
            The discovery data.
        now
            Monotonic time at which it was received; seconds.
        """
        known = self._upstreams.get(entry.upstream)
        if known is None:
            upstream = Upstream(entry=entry, cold_until=now + entry.cold_s)
            self._upstreams[entry.upstream] = upstream
            self._add_to_index(upstream)
            return True
        known_entry = known.entry
        if (entry.started_ms, entry.sequence) < (known_entry.started_ms, known_entry.sequence):
            return False
        restarted = entry.started_ms != known_entry.started_ms
        if not restarted and known_entry.state is UpstreamState.DRAINING:
            entry = msgspec.structs.replace(entry, state=UpstreamState.DRAINING)
        if known.expires_at is not None or entry.state is not known_entry.state:
            self._has_lost_most.clear()
        known.entry = entry
        known.expires_at = None
        known.cold_until = now + entry.cold_s
        if restarted:
            known.failure_fraction = 0.0
            known.reachability = Reachability.REACHABLE
        if (entry.service, entry.address) != (known_entry.service, known_entry.address):
            self._rebuild_index()
        return True

    def remove(self, upstream: UpstreamId) -> None:
        """Remove an upstream whose entry was deleted."""
        known = self._upstreams.pop(upstream, None)
        if known is not None:
            self._remove_from_index(known)

    def mark_draining(self, upstream: UpstreamId) -> None:
        """Send an upstream no new requests, as if its entry said that it is draining."""
        known = self._upstreams.get(upstream)
        if known is not None and known.entry.state is not UpstreamState.DRAINING:
            known.entry = msgspec.structs.replace(known.entry, state=UpstreamState.DRAINING)
            self._has_lost_most.clear()

    def mark_missing(self, upstream: UpstreamId, *, store_available_at: float) -> None:
        """Schedule the removal of an upstream whose entry disappeared during a store outage.

        Parameters
        ----------
        upstream
            Upstream whose entry is missing.
        store_available_at
            Time at which the store was available again; monotonic seconds.
        """
        known = self._upstreams.get(upstream)
        if known is not None and known.expires_at is None:
            known.expires_at = store_available_at + MISSING_ENTRY_TTL_S
            self._has_lost_most.clear()

    def expire(self, *, now: float) -> list[UpstreamId]:
        """Remove and return the upstreams whose entries did not reappear in time."""
        expired = self.expired(now=now)
        for upstream in expired:
            self.remove(upstream)
        return expired

    def expired(self, *, now: float) -> list[UpstreamId]:
        """Return the upstreams whose entries did not reappear in time."""
        return [
            upstream.id
            for upstream in self._upstreams.values()
            if upstream.expires_at is not None and now >= upstream.expires_at
        ]

    def usable(self, service: ServiceName) -> list[Upstream]:
        """Return the upstreams of a service that accept new requests, cold ones included."""
        return [upstream for upstream in self.for_service(service) if self.is_usable(upstream)]

    def is_usable(self, upstream: Upstream) -> bool:
        """Return whether an upstream accepts new requests, even if it is cold.

        Upstreams whose entries are missing are used only if most of the service's entries are
        missing. In that case the store has lost the entries; otherwise the upstreams have left.
        """
        return (
            self._accepts_requests(upstream)
            and upstream.reachability is Reachability.REACHABLE
            and (upstream.expires_at is None or self._has_lost_most_entries(upstream.entry.service))
        )

    def is_eligible(self, upstream: Upstream) -> bool:
        """Return whether an upstream that was chosen earlier is still known and accepts requests.

        It may not be reachable: a connection to it that was opened since shows that it is.
        """
        return self._upstreams.get(upstream.id) is upstream and self._accepts_requests(upstream)

    def _accepts_requests(self, upstream: Upstream) -> bool:
        return (
            upstream.entry.state is UpstreamState.READY
            and upstream.entry.zone not in self._evacuated
        )

    def _has_lost_most_entries(self, service: ServiceName) -> bool:
        lost = self._has_lost_most.get(service)
        if lost is None:
            accepting = [u for u in self.for_service(service) if self._accepts_requests(u)]
            listed = sum(upstream.expires_at is None for upstream in accepting)
            lost = self._has_lost_most[service] = 2 * listed < len(accepting)
        return lost

    def _rebuild_index(self) -> None:
        self._has_lost_most.clear()
        self._by_service = {}
        for upstream in sorted(self._upstreams.values(), key=lambda upstream: upstream.id):
            self._by_service.setdefault(upstream.entry.service, []).append(upstream)

    def _add_to_index(self, upstream: Upstream) -> None:
        self._has_lost_most.clear()
        bisect.insort(
            self._by_service.setdefault(upstream.entry.service, []),
            upstream,
            key=lambda upstream: upstream.id,
        )

    def _remove_from_index(self, upstream: Upstream) -> None:
        self._has_lost_most.clear()
        self._by_service.get(upstream.entry.service, []).remove(upstream)
