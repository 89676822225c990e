"""Which upstreams exist, and which of them may get a request now.

Discovery data, evacuations and a gateway's own evidence meet here. Evidence is kept for one
incarnation of an upstream only: what starts again under an old id knows nothing of before.
"""

from __future__ import annotations

from collections.abc import Iterator
from enum import Enum

import msgspec

from gooseberryport_core.gateway.model import UpstreamEntry, UpstreamState
from gooseberryport_core.types import ServiceName, UpstreamId, ZoneName

RETURN_GRACE_S = 2.0
"""How long an upstream whose entry vanished with a store outage is kept; the platform's bound."""

FIRST_PROBE_S = 0.3
"""Pause before the first probe of an upstream that could not be reached; seconds."""

LONGEST_PROBE_S = 2.0
"""Longest pause between probes; seconds."""

TOLD_NEAR_S = 0.1
TOLD_FAR_S = 0.4
"""How long the load that an upstream of the own or another region told counts for more than the
reports of other gateways: half of their pause, or as old as they are on arrival; seconds."""

FAILURE_SMOOTHING = 0.25
"""Weight of the newest answer in an upstream's share of failures."""


class Reachability(Enum):
    """What this gateway knows of its connections to an upstream."""

    OPEN = "open"
    UNPROVEN = "unproven"
    """All connections broke: the upstream is probed before it gets a request."""


class Upstream(msgspec.Struct, eq=False):
    """One upstream as this gateway sees it.

    Parameters
    ----------
    entry
        Newest report.
    cold_until
        When it stops being cold; monotonic seconds.
    in_flight
        Requests of this gateway that it has.
    reach
        Whether connections to it work.
    probe_at, probe_pause_s
        When it may be probed next, and the pause after that.
    failures
        Smoothed share of failed answers.
    lapses_at
        When it is dropped because its entry did not come back; None if its entry stands.
    others
        Requests of other gateways that it had when it last told its load.
    told_at
        When that was; monotonic seconds.
    """

    entry: UpstreamEntry
    cold_until: float = 0.0
    in_flight: int = 0
    reachability: Reachability = Reachability.OPEN
    probe_at: float = 0.0
    probe_pause_s: float = FIRST_PROBE_S
    failure_fraction: float = 0.0
    lapses_at: float | None = None
    others: int = 0
    told_at: float = float("-inf")

    @property
    def id(self) -> UpstreamId:
        """Id of the upstream."""
        return self.entry.upstream

    def cold(self, now: float) -> bool:
        """Tell whether it is still cold."""
        return now < self.cold_until

    def record_load(self, load: int, *, now: float) -> None:
        """Keep what it told of its load: all requests that run or wait there."""
        self.others = max(load - self.in_flight, 0)
        self.told_at = now

    def reported_other_requests(self, *, same_region: bool, now: float) -> int | None:
        """Return the requests of other gateways that it told of, or None if that is too old.

        Parameters
        ----------
        near
            Whether it is in this gateway's region, whose gateways report more often.
        now
            Monotonic time; seconds.
        """
        fresh = now - self.told_at < (TOLD_NEAR_S if same_region else TOLD_FAR_S)
        return self.others if fresh else None

    def record_answer(self, *, good: bool) -> None:
        """Count an answer, or an answer that never came."""
        self.failure_fraction += FAILURE_SMOOTHING * (
            (0.0 if good else 1.0) - self.failure_fraction
        )

    def record_unreachable(self, now: float) -> bool:
        """Withhold requests until a probe succeeds; True if that is new."""
        if self.reachability is Reachability.OPEN:
            self.reachability = Reachability.UNPROVEN
            self.probe_pause_s = FIRST_PROBE_S
            self.probe_at = now
            return True
        self.probe_at = now + self.probe_pause_s
        self.probe_pause_s = min(self.probe_pause_s * 2.0, LONGEST_PROBE_S)
        return False

    def record_reachable(self) -> None:
        """Give it requests again."""
        self.reachability = Reachability.OPEN


class UpstreamTable:
    """Hold the upstreams of all services."""

    def __init__(self) -> None:
        self._upstreams: dict[UpstreamId, Upstream] = {}
        self._by_service: dict[ServiceName, list[Upstream]] = {}
        self._evacuated: frozenset[ZoneName] = frozenset()

    @property
    def evacuated(self) -> frozenset[ZoneName]:
        """Availability zones that get no requests."""
        return self._evacuated

    def set_evacuated(self, zones: frozenset[ZoneName]) -> None:
        """Replace the availability zones that get no requests."""
        self._evacuated = zones

    def get(self, upstream: UpstreamId) -> Upstream | None:
        """Return an upstream by its id."""
        return self._upstreams.get(upstream)

    def __iter__(self) -> Iterator[Upstream]:
        return iter(list(self._upstreams.values()))

    def of(self, service: ServiceName) -> list[Upstream]:
        """Return a service's upstreams, whatever their state."""
        return self._by_service.get(service, [])

    def put(self, entry: UpstreamEntry, *, now: float) -> bool:
        """Take a report in; False if it is older than what is known.

        Parameters
        ----------
        entry
            The report.
        now
            Monotonic time at which it was received; seconds.
        """
        known = self._upstreams.get(entry.upstream)
        if known is None:
            upstream = Upstream(entry=entry, cold_until=now + entry.cold_s)
            self._upstreams[entry.upstream] = upstream
            self._index()
            return True
        old = known.entry
        if (entry.started_ms, entry.sequence) < (old.started_ms, old.sequence):
            return False
        restarted = entry.started_ms != old.started_ms
        if not restarted and old.state is UpstreamState.DRAINING:
            entry = msgspec.structs.replace(entry, state=UpstreamState.DRAINING)
        known.entry = entry
        known.lapses_at = None
        known.cold_until = now + entry.cold_s
        if restarted:
            known.failure_fraction = 0.0
            known.reachability = Reachability.OPEN
        if (entry.service, entry.address) != (old.service, old.address):
            self._index()
        return True

    def remove(self, upstream: UpstreamId) -> None:
        """Drop an upstream whose entry was removed."""
        if self._upstreams.pop(upstream, None) is not None:
            self._index()

    def mark_missing(self, upstream: UpstreamId, *, store_available_at: float) -> None:
        """Keep an upstream whose entry vanished during a store outage for a short time.

        Parameters
        ----------
        upstream
            Whose entry is missing.
        regained_at
            When the store could be reached again; monotonic seconds.
        """
        known = self._upstreams.get(upstream)
        if known is not None and known.lapses_at is None:
            known.lapses_at = store_available_at + RETURN_GRACE_S

    def expire(self, *, now: float) -> list[UpstreamId]:
        """Drop and return the upstreams whose entries did not come back in time."""
        gone = self.expired(now=now)
        for upstream in gone:
            self.remove(upstream)
        return gone

    def expired(self, *, now: float) -> list[UpstreamId]:
        """Return the upstreams whose entries did not come back in time."""
        return [
            each.id
            for each in self._upstreams.values()
            if each.lapses_at is not None and now >= each.lapses_at
        ]

    def usable(self, service: ServiceName) -> list[Upstream]:
        """Return the upstreams of a service that take new requests, cold ones included.

        Upstreams whose entries vanished count only while most of the service's entries did: then
        the store has forgotten them, and else they have left.
        """
        ready = [
            each
            for each in self.of(service)
            if each.entry.state is UpstreamState.READY and each.entry.zone not in self._evacuated
        ]
        standing = [each for each in ready if each.lapses_at is None]
        if 2 * len(standing) >= len(ready):
            ready = standing
        return [each for each in ready if each.reachability is Reachability.OPEN]

    def _index(self) -> None:
        self._by_service = {}
        for each in sorted(self._upstreams.values(), key=lambda each: each.id):
            self._by_service.setdefault(each.entry.service, []).append(each)
