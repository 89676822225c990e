"""Membership of the gateways, and the gateways whose addresses a client receives.

Failure pattern: gateways crash, are cut off, or lose their leases because the store is unavailable.
A gateway is a member if the store lists it or if datagrams from it arrive. A gateway that is listed
but silent is not given to clients while others are available.

Load pattern: hundreds of gateways, of which each needs to know who is alive. Gateways send
heartbeats within their availability zone only. A few reporters of each zone send a digest of their
zone to the reporters of the other zones, which pass it on within theirs.
"""

from __future__ import annotations

import statistics
from collections.abc import Iterable, Iterator
from math import inf

import msgspec

from gooseberryport_core._hashing import rendezvous_weight
from gooseberryport_core.gateway.entry_points import (
    MAX_ENTRY_POINTS,
    PeakDemand,
    choose_entry_points,
)
from gooseberryport_core.gateway.lookups import (
    UNHEARD_HOLD_S,
    EntryPoints,
    Phase,
    RegionEvidence,
    StopTimes,
    choose_members,
)
from gooseberryport_core.gateway.model import Member
from gooseberryport_core.gateway.reports import (
    Audience,
    Digests,
    Listener,
    ReportPlan,
    ZoneDigest,
    vm_hash,
)
from gooseberryport_core.types import RegionName, VmId, ZoneName

LOCAL_REGION_TIMEOUT_S = 1.5
"""Silence after which a gateway of this region no longer counts as alive, several datagram
intervals; seconds."""

REMOTE_REGION_TIMEOUT_S = 3.0
"""Silence after which a gateway of another region no longer counts as alive, several datagram
intervals; seconds."""

FIRST_DATAGRAM_TIMEOUT_S = 2.0
"""Time for which a newly listed gateway counts as alive without a datagram from it; seconds."""

ZONE_DIGEST_TTL_S = 3.0
"""Age from which the digest of an availability zone is ignored, and its gateways do not count as
alive: three digest intervals; seconds."""

ACTIVE_TTL_S = 3.0
"""Time for which a gateway counts as active after the last report that said so; seconds."""

REPORTERS = 2
"""Number of gateways of an availability zone that send its digest, so that one may fail."""

REPORT_TASK = "report zone"

PLAN_TTL_S = 0.5
"""Time for which a report plan is kept while the members stay the same; seconds."""

LOOKUP_TTL_S = 0.1
"""Time for which the answer to a look-up is kept while the members stay the same; seconds."""

MAX_LOOKUPS_KEPT = 256
"""Maximum answers kept: clients state their zone and region, which may be any text."""

MAX_ZONES = 256
"""Maximum availability zones whose digests are kept."""

SHARING_TTL_S = 0.1
"""Time for which the set of gateways that share limits is kept unless one joins; seconds."""

DEPARTED_MEMBER_TTL_S = 10.0
"""Time for which a departed gateway still counts as one that shares limits, the length of the
window of the retry budget; seconds."""


DEPARTED_QUOTA_TTL_S = 5.0
"""Time for which a departed gateway still has its part of the tenants' quotas, which it may use
while it can't reach the store: one window of a quota; seconds."""


class _ReceivedDigest(msgspec.Struct, frozen=True):
    made_at: float
    absent: frozenset[int]
    demand_per_s: float


class _MemberState(msgspec.Struct):
    """What this gateway knows of another one.

    Parameters
    ----------
    listed, listed_at
        Whether the store lists it, and when it was first listed; monotonic seconds.
    last_received_at
        Time of the last datagram from it; monotonic seconds.
    last_seen_at
        Time at which it was last listed or sent a datagram; monotonic seconds.
    ready, follows_store, demand_per_s
        As in its last datagram.
    known_since
        Time at which it was first listed, or listed again after a restart; monotonic seconds.
    stopped_at
        Time at which it left the store's list while it served clients, or of its first datagram in
        which it no longer served them; infinite if neither has happened; monotonic seconds.
    active_at
        Time of its last datagram that said that it serves clients; monotonic seconds.
    """

    member: Member
    listed: bool = False
    listed_at: float = 0.0
    last_received_at: float = -inf
    last_seen_at: float = 0.0
    ready: bool = True
    follows_store: bool = True
    demand_per_s: float = 0.0
    known_since: float = 0.0
    stopped_at: float = inf
    active_at: float = -inf


def _is_counted(state: _MemberState, *, now: float) -> bool:
    return state.listed or now - state.last_seen_at < DEPARTED_MEMBER_TTL_S


def _is_kept(state: _MemberState, *, now: float) -> bool:
    return _is_counted(state, now=now) or 0.0 <= now - state.stopped_at < DEPARTED_MEMBER_TTL_S


def _may_run(state: _MemberState, *, now: float) -> bool:
    left_s = now - state.last_seen_at
    return state.listed or (state.ready and left_s < DEPARTED_QUOTA_TTL_S)


def _by_zone(members: Iterable[Member]) -> dict[ZoneName, list[Member]]:
    by_zone: dict[ZoneName, list[Member]] = {}
    for member in members:
        by_zone.setdefault(member.zone, []).append(member)
    return by_zone


_LookupKey = tuple[ZoneName | None, RegionName, Phase]


class Fleet:
    """Tracks the gateways that the store lists or that send datagrams.

    Parameters
    ----------
    me
        This gateway, which always counts as a member.
    """

    def __init__(self, *, me: Member) -> None:
        self._me = me
        self._states: dict[VmId, _MemberState] = {}
        self._digests: dict[ZoneName, _ReceivedDigest] = {}
        self._demands: dict[ZoneName, PeakDemand] = {}
        self._plan: ReportPlan | None = None
        self._lookups: dict[_LookupKey, tuple[float, EntryPoints]] = {}
        self._sharing: frozenset[VmId] = frozenset([me.vm])
        self._sharing_at = -inf
        self._alive_and_listed = (1, 1)
        self._alive_at = -inf

    def set_listed(
        self, members: Iterable[Member], *, now: float, were_listed: bool = False
    ) -> None:
        """Replace the members that the store lists.

        Parameters
        ----------
        members
            Members that the store lists.
        now
            Monotonic time; seconds.
        were_listed
            Whether unknown members were listed before this gateway started, and may have failed
            long ago. They do not count as alive until a datagram or a digest says so.
        """
        listed = {member.vm: member for member in members if member.vm != self._me.vm}
        self._lookups.clear()
        for vm, old in self._states.items():
            if vm not in listed:
                # A gateway that stops removes its entry at once; that of a lost one is listed
                # until it has been silent for long.
                if old.listed and old.ready and self._is_alive(old, now=now):
                    old.stopped_at = now
                old.listed = False
        self._states = {vm: state for vm, state in self._states.items() if _is_kept(state, now=now)}
        for vm, member in listed.items():
            state = self._states.get(vm)
            if state is None or state.member.incarnation != member.incarnation:
                self._states[vm] = _MemberState(
                    member=member,
                    listed=True,
                    listed_at=-inf if were_listed else now,
                    last_seen_at=now,
                    known_since=now,
                )
                self._plan = None
                self._sharing_at = -inf
            else:
                state.member = member
                if not state.listed and state.ready:
                    state.stopped_at = inf
                state.listed = True
                state.last_seen_at = now

    def record_datagram(
        self,
        vm: VmId,
        *,
        incarnation: int,
        ready: bool,
        follows_store: bool = True,
        active: bool = True,
        demand_per_s: float = 0.0,
        now: float,
    ) -> None:
        """Record a datagram from a gateway; a gateway that was never listed is ignored.

        Incarnations come from the wall clock, which may step back before a restart. A datagram with
        a lower incarnation is therefore taken for a late one only while the gateway is not silent.

        Parameters
        ----------
        vm, incarnation
            The sender.
        ready
            Whether the sender serves clients.
        follows_store
            Whether the sender receives replies from the store.
        active
            Whether the sender serves clients, or expects to.
        demand_per_s
            Requests per second that the sender receives.
        now
            Monotonic time; seconds.
        """
        state = self._states.get(vm)
        if state is None:
            return
        if incarnation < state.member.incarnation and self._is_in_contact(state, now=now):
            return
        if incarnation != state.member.incarnation:
            state.member = msgspec.structs.replace(state.member, incarnation=incarnation)
            state.stopped_at = inf
        elif state.ready and not ready and self._has_served(state, now=now):
            state.stopped_at = min(state.stopped_at, now)
        if ready:
            state.stopped_at = inf
        if not self._is_in_contact(state, now=now) or state.ready != ready:
            self._plan = None
            self._lookups.clear()
        state.last_received_at = state.last_seen_at = now
        state.ready = ready
        state.follows_store = follows_store
        state.demand_per_s = demand_per_s
        if active:
            state.active_at = now

    def _has_served(self, state: _MemberState, *, now: float) -> bool:
        """Return whether a gateway has served clients, so that it stops if it is not ready."""
        if state.last_received_at > -inf:
            return True
        is_new = now - state.listed_at < FIRST_DATAGRAM_TIMEOUT_S
        return not is_new and self._is_alive(state, now=now)

    def record_digests(self, digests: Iterable[ZoneDigest], *, now: float) -> None:
        """Record digests of other availability zones; of each zone the newest counts."""
        for digest in digests:
            made_at = now - max(digest.age_s, 0.0)
            known = self._digests.get(digest.zone)
            if digest.zone == self._me.zone or (known is not None and known.made_at >= made_at):
                continue
            if known is None and len(self._digests) >= MAX_ZONES:
                continue
            self._lookups.clear()
            self._digests[digest.zone] = _ReceivedDigest(
                made_at=made_at,
                absent=frozenset(digest.absent),
                demand_per_s=digest.demand_per_s,
            )

    def own_digest(self, *, demand_per_s: float, now: float) -> ZoneDigest:
        """Return the digest of this gateway's zone, for the reporters of other zones.

        Parameters
        ----------
        demand_per_s
            Requests per second that this gateway receives.
        now
            Monotonic time; seconds.
        """
        absent = [
            vm_hash(vm)
            for vm, state in self._states.items()
            if state.listed
            and state.member.zone == self._me.zone
            and not (state.ready and self._is_alive(state, now=now))
        ]
        return ZoneDigest(
            zone=self._me.zone,
            age_s=0.0,
            absent=absent,
            demand_per_s=self._zone_demand(self._me.zone, own_per_s=demand_per_s, now=now),
        )

    def received_digests(self, *, now: float) -> list[ZoneDigest]:
        """Return the recent digests of other zones, for the gateways of this zone."""
        return [
            ZoneDigest(
                zone=zone,
                age_s=round(now - digest.made_at, 3),
                absent=sorted(digest.absent),
                demand_per_s=digest.demand_per_s,
            )
            for zone, digest in self._digests.items()
            if now - digest.made_at < ZONE_DIGEST_TTL_S
        ]

    def _zone_demand(self, zone: ZoneName, *, own_per_s: float, now: float) -> float:
        if zone == self._me.zone:
            return own_per_s + sum(
                state.demand_per_s
                for state in self._states.values()
                if state.member.zone == zone and self._is_in_contact(state, now=now)
            )
        digest = self._digests.get(zone)
        if digest is None or now - digest.made_at >= ZONE_DIGEST_TTL_S:
            return 0.0
        return digest.demand_per_s

    def peers(self, *, now: float) -> list[Member]:
        """Return the other gateways to send datagrams to."""
        return [state.member for state in self._states.values() if _is_counted(state, now=now)]

    def report_plan(
        self, *, ready: bool, demand_per_s: float, busy: bool, now: float
    ) -> ReportPlan:
        """Return what this gateway is to the others, and which of them it reports to.

        Parameters
        ----------
        ready
            Whether this gateway serves clients.
        demand_per_s
            Requests per second that this gateway receives.
        busy
            Whether it received requests lately, even if look-ups do not return it.
        now
            Monotonic time; seconds.
        """
        plan = self._plan
        if plan is None or now - plan.at >= PLAN_TTL_S or plan.ready is not ready:
            plan = self._plan = self._make_plan(
                ready=ready, demand_per_s=demand_per_s, busy=busy, now=now
            )
        return plan

    def _make_plan(self, *, ready: bool, demand_per_s: float, busy: bool, now: float) -> ReportPlan:
        # Gateways of which nothing is known yet get reports, so that they learn of this one.
        by_zone = _by_zone(
            [state.member for state in self._states.values() if self._is_presumed(state, now=now)]
            + ([self._me] if ready else [])
        )
        active: set[VmId] = set()
        reporters: set[VmId] = set()
        for zone, members in by_zone.items():
            demand = self._held_demand(zone, own_per_s=demand_per_s, now=now)
            active.update(member.vm for member in choose_entry_points(members, demand_per_s=demand))
            ranked = sorted(
                members, key=lambda member: rendezvous_weight(member.vm, REPORT_TASK), reverse=True
            )
            reporters.update(member.vm for member in ranked[:REPORTERS])
        me_active = busy or self._me.vm in active
        # Idle gateways report, and are reported to, within their zone only: digests tell the other
        # zones of them, and them of all other zones, even of those without idle gateways.
        idle_zones = {
            zone
            for zone, members in by_zone.items()
            if any(member.vm not in active for member in members)
        }
        me_reporter = self._me.vm in reporters
        listeners: list[Listener] = []
        for vm, state in self._states.items():
            if not _is_counted(state, now=now):
                continue
            peer_active = vm in active or now - state.active_at < ACTIVE_TTL_S
            zone = state.member.zone
            both_report = (
                me_reporter
                and vm in reporters
                and zone != self._me.zone
                and not idle_zones.isdisjoint((zone, self._me.zone))
            )
            audience = self._audience(
                state.member,
                me_active=me_active,
                peer_active=peer_active,
                both_report=both_report,
            )
            if audience is not None:
                digests = Digests.NONE
                if me_reporter and zone == self._me.zone and zone in idle_zones:
                    digests = Digests.RECEIVED
                elif both_report:
                    digests = Digests.OWN
                listeners.append(Listener(member=state.member, audience=audience, digests=digests))
        return ReportPlan(at=now, ready=ready, active=me_active, listeners=tuple(listeners))

    def _audience(
        self, peer: Member, *, me_active: bool, peer_active: bool, both_report: bool
    ) -> Audience | None:
        if me_active and peer_active:
            return Audience.ACTIVE if peer.region == self._me.region else Audience.REMOTE_ACTIVE
        if peer.zone == self._me.zone:
            return Audience.ZONE
        if both_report:
            return Audience.REPORTER
        if me_active and peer.region == self._me.region:
            return Audience.REGION
        return None

    def _is_presumed(self, state: _MemberState, *, now: float) -> bool:
        """Return whether a gateway serves clients, unless something shows that it does not."""
        if not state.ready or not _is_counted(state, now=now):
            return False
        if self._is_alive(state, now=now):
            return True
        digest = self._digests.get(state.member.zone)
        is_absent = digest is not None and vm_hash(state.member.vm) in digest.absent
        return state.last_received_at == -inf and not is_absent

    def _held_demand(self, zone: ZoneName, *, own_per_s: float, now: float) -> float:
        peak = self._demands.setdefault(zone, PeakDemand())
        return peak.update(self._zone_demand(zone, own_per_s=own_per_s, now=now), now=now)

    def gateways_sharing_limits(self, *, now: float) -> frozenset[VmId]:
        """Return the gateways that the limits are divided among, this one included.

        The same set is returned until it changes, so that callers can compare it by identity.
        """
        if not 0.0 <= now - self._sharing_at < SHARING_TTL_S:
            others = [vm for vm, state in self._states.items() if _is_counted(state, now=now)]
            sharing = frozenset([self._me.vm, *others])
            if sharing != self._sharing:
                self._sharing = sharing
            self._sharing_at = now
        return self._sharing

    def alive_and_listed(self, *, now: float) -> tuple[int, int]:
        """Return how many gateways are alive, and how many may be; this one is one of both.

        A gateway that was never heard of is not alive: this one may be cut off since its start. One
        that left counts for `DEPARTED_QUOTA_TTL_S`, unless its last datagram said that it stops.
        """
        if not 0.0 <= now - self._alive_at < SHARING_TTL_S:
            alive = listed = 1
            for state in self._states.values():
                is_new = now - state.listed_at < FIRST_DATAGRAM_TIMEOUT_S
                is_alive = self._is_in_contact(state, now=now) or (
                    not is_new and self._is_alive(state, now=now)
                )
                alive += is_alive
                listed += is_alive or _may_run(state, now=now)
            self._alive_and_listed = (alive, listed)
            self._alive_at = now
        return self._alive_and_listed

    def may_run(self, vm: VmId, *, now: float) -> bool:
        """Return whether a gateway may run, even if it is silent."""
        state = self._states.get(vm)
        return state is not None and (
            self._is_in_contact(state, now=now) or _may_run(state, now=now)
        )

    def is_in_own_region(self, vm: VmId) -> bool:
        """Return whether a gateway is known to be in this gateway's region."""
        state = self._states.get(vm)
        return state is not None and state.member.region == self._me.region

    def serving_members(self, *, now: float) -> list[Member]:
        """Return the other gateways that are believed to serve clients."""
        return [
            state.member
            for state in self._states.values()
            if state.ready and self._is_alive(state, now=now)
        ]

    def assignees(
        self,
        task: str,
        *,
        count: int,
        follows_store: bool,
        region: RegionName | None = None,
        now: float,
    ) -> list[Member]:
        """Return the gateways of a region that perform a task on behalf of all of them.

        The largest are preferred. Rendezvous hashing among these gives every gateway the same
        result as long as all receive each other's datagrams or digests. Two gateways that do not
        may both perform the task.

        Parameters
        ----------
        task
            Name of the task.
        count
            Number of gateways that perform it.
        follows_store
            Whether this gateway receives replies from the store; gateways that do not are left out.
        region
            The region; by default this gateway's own.
        now
            Monotonic time; seconds.
        """
        region = region if region is not None else self._me.region
        eligible = [
            state.member
            for state in self._states.values()
            if state.ready
            and state.follows_store
            and state.member.region == region
            and self._is_alive(state, now=now)
        ]
        if follows_store and region == self._me.region:
            eligible.append(self._me)
        eligible.sort(
            key=lambda member: (member.capacity_per_s, rendezvous_weight(member.vm, task)),
            reverse=True,
        )
        return eligible[:count]

    def region_near_store(self) -> RegionName | None:
        """Return the region from which the store answers fastest, or None if it is not known.

        Load pattern: every change of an entry is sent to each gateway that watches the store, and
        bytes between regions are costly; most changes are of no interest to the gateways.
        """
        delays: dict[RegionName, list[float]] = {}
        for state in self._states.values():
            if state.listed and state.member.store_delay_s > 0.0:
                delays.setdefault(state.member.region, []).append(state.member.store_delay_s)
        if not delays:
            return None
        return min(sorted(delays), key=lambda region: statistics.median(delays[region]))

    def entry_points(
        self,
        *,
        zone: ZoneName | None,
        region: RegionName,
        own_phase: Phase,
        stop_times: StopTimes,
        demand_per_s: float = 0.0,
        now: float,
    ) -> EntryPoints:
        """Return the gateway addresses for a client in a zone and region.

        If enough gateways in the client's availability zone serve clients, only entry points of
        this zone are returned; otherwise those of its region. If none is left there,
        `choose_members` decides.

        Parameters
        ----------
        zone, region
            Location of the client; its zone may be unknown.
        own_phase
            Whether this gateway serves clients itself, or stops.
        stop_times
            How long gateways work on after they have begun to stop.
        demand_per_s
            Requests per second that this gateway receives.
        now
            Monotonic time; seconds.
        """
        key = (zone, region, own_phase)
        kept = self._lookups.get(key)
        if kept is not None and 0.0 <= now - kept[0] < LOOKUP_TTL_S:
            return kept[1]
        found = self._find_entry_points(key, stop_times, demand_per_s=demand_per_s, now=now)
        if len(self._lookups) >= MAX_LOOKUPS_KEPT:
            self._lookups.clear()
        self._lookups[key] = (now, found)
        return found

    def _find_entry_points(
        self, key: _LookupKey, stop_times: StopTimes, *, demand_per_s: float, now: float
    ) -> EntryPoints:
        zone, region, own_phase = key
        serving = self.serving_members(now=now)
        if own_phase is Phase.SERVING:
            serving.append(self._me)
        members, basis = choose_members(
            serving,
            self._phases_of_others(own_phase, stop_times, now=now),
            zone=zone,
            region=region,
        )
        chosen = [
            member
            for name, in_zone in _by_zone(members).items()
            for member in choose_entry_points(
                in_zone, demand_per_s=self._held_demand(name, own_per_s=demand_per_s, now=now)
            )
        ]
        addresses = sorted(member.front for member in chosen[:MAX_ENTRY_POINTS])
        return EntryPoints(addresses=addresses, basis=basis)

    def _phases_of_others(
        self, own_phase: Phase, stop_times: StopTimes, *, now: float
    ) -> Iterator[tuple[Member, Phase]]:
        """Yield the gateways that do not serve clients."""
        yield self._me, own_phase
        for state in self._states.values():
            if state.stopped_at < inf:
                yield state.member, stop_times.phase(now - state.stopped_at)
            elif self._is_unheard(state, now=now):
                yield state.member, Phase.UNHEARD

    def _is_unheard(self, state: _MemberState, *, now: float) -> bool:
        digest = self._digests.get(state.member.zone)
        return (
            state.listed
            and state.listed_at == -inf
            and state.last_received_at == -inf
            and (digest is None or now - digest.made_at >= ZONE_DIGEST_TTL_S)
            and now - state.known_since < UNHEARD_HOLD_S
        )

    def region_evidence(self, region: RegionName, *, now: float) -> RegionEvidence:
        """Return what is known of a region's gateways, to explain an answer."""
        states = [state for state in self._states.values() if state.member.region == region]
        zones = {state.member.zone for state in states}
        heard_at = max((state.last_received_at for state in states), default=-inf)
        digest_at = max(
            (digest.made_at for zone, digest in self._digests.items() if zone in zones),
            default=-inf,
        )
        return RegionEvidence(
            listed=sum(state.listed for state in states),
            heard_s=round(now - heard_at, 3) if heard_at > -inf else None,
            digest_s=round(now - digest_at, 3) if digest_at > -inf else None,
        )

    def is_in_contact(self, vm: VmId, *, now: float) -> bool:
        """Return whether datagrams from a gateway arrive."""
        state = self._states.get(vm)
        return state is not None and self._is_in_contact(state, now=now)

    def _is_in_contact(self, state: _MemberState, *, now: float) -> bool:
        same_region = state.member.region == self._me.region
        return now - state.last_received_at < (
            LOCAL_REGION_TIMEOUT_S if same_region else REMOTE_REGION_TIMEOUT_S
        )

    def _is_alive(self, state: _MemberState, *, now: float) -> bool:
        if self._is_in_contact(state, now=now):
            return True
        digest = self._digests.get(state.member.zone)
        if digest is not None and now - digest.made_at < ZONE_DIGEST_TTL_S:
            # A digest made soon after the last datagram may not know yet that the gateway failed.
            knows_silence = digest.made_at > state.last_received_at + LOCAL_REGION_TIMEOUT_S
            return knows_silence and state.listed and vm_hash(state.member.vm) not in digest.absent
        return state.listed and now - state.listed_at < FIRST_DATAGRAM_TIMEOUT_S
