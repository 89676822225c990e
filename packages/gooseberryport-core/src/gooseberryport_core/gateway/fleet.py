"""Membership of the gateways, and the gateways whose addresses a client receives.

Failure pattern: gateways crash, are cut off, or lose their leases because the store is unavailable.
A gateway is a member if the store lists it or if datagrams from it arrive. A gateway that is listed
but silent is not given to clients while others are available.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from gooseberryport_core._hashing import rendezvous_weight
from gooseberryport_core.gateway.model import Member
from gooseberryport_core.types import RegionName, VmId, ZoneName

LOCAL_REGION_TIMEOUT_S = 1.5
"""Silence after which a gateway of this region no longer counts as alive, several datagram
intervals; seconds."""

REMOTE_REGION_TIMEOUT_S = 3.0
"""Silence after which a gateway of another region no longer counts as alive, several datagram
intervals; seconds."""

MIN_ZONE_GATEWAYS = 2
"""Number of gateways in an availability zone from which its clients are sent to that zone only: one
of them may crash."""

FIRST_DATAGRAM_TIMEOUT_S = 2.0
"""Time for which a newly listed gateway counts as alive without a datagram from it; seconds."""

DEPARTED_MEMBER_TTL_S = 10.0
"""Time for which a departed gateway still counts as one that shares limits, the length of the
window of the retry budget; seconds."""


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
    ready, follows_store
        As in its last datagram.
    """

    member: Member
    listed: bool = False
    listed_at: float = 0.0
    last_received_at: float = float("-inf")
    last_seen_at: float = 0.0
    ready: bool = True
    follows_store: bool = True


def _is_counted(state: _MemberState, *, now: float) -> bool:
    return state.listed or now - state.last_seen_at < DEPARTED_MEMBER_TTL_S


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

    def set_listed(self, members: Iterable[Member], *, now: float) -> None:
        """Replace the members that the store lists."""
        listed = {member.vm: member for member in members if member.vm != self._me.vm}
        for vm, old in self._states.items():
            if vm not in listed:
                old.listed = False
        for vm, member in listed.items():
            state = self._states.get(vm)
            if state is None or state.member.incarnation != member.incarnation:
                self._states[vm] = _MemberState(
                    member=member, listed=True, listed_at=now, last_seen_at=now
                )
            else:
                state.listed = True
                state.last_seen_at = now

    def record_datagram(
        self, vm: VmId, *, incarnation: int, ready: bool, follows_store: bool = True, now: float
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
        state.last_received_at = state.last_seen_at = now
        state.ready = ready
        state.follows_store = follows_store

    def peers(self, *, now: float) -> list[Member]:
        """Return the other gateways to send datagrams to."""
        return [state.member for state in self._states.values() if _is_counted(state, now=now)]

    def gateways_sharing_limits(self, *, now: float) -> frozenset[VmId]:
        """Return the gateways that the limits are divided among, this one included."""
        others = [vm for vm, state in self._states.items() if _is_counted(state, now=now)]
        return frozenset([self._me.vm, *others])

    def serving_members(self, *, now: float) -> list[Member]:
        """Return the other gateways that are believed to serve clients."""
        return [
            state.member
            for state in self._states.values()
            if state.ready and self._is_alive(state, now=now)
        ]

    def assignees(self, task: str, *, count: int, follows_store: bool, now: float) -> list[Member]:
        """Return the gateways of this region that perform a task on behalf of all of them.

        Rendezvous hashing gives every gateway the same result as long as all receive each other's
        datagrams. Two gateways that do not receive each other's may both perform the task.

        Parameters
        ----------
        task
            Name of the task.
        count
            Number of gateways that perform it.
        follows_store
            Whether this gateway receives replies from the store; gateways that do not are left out.
        now
            Monotonic time; seconds.
        """
        eligible = [
            state.member
            for state in self._states.values()
            if state.ready
            and state.follows_store
            and state.member.region == self._me.region
            and self._is_alive(state, now=now)
        ]
        if follows_store:
            eligible.append(self._me)
        eligible.sort(key=lambda member: rendezvous_weight(member.vm, task), reverse=True)
        return eligible[:count]

    def entry_points(
        self, *, zone: ZoneName, region: RegionName, ready: bool, now: float
    ) -> list[str]:
        """Return the gateway addresses for a client in a zone and region.

        If enough gateways in the client's availability zone serve clients, only they are returned;
        otherwise those of its region; otherwise all. The list is empty if no gateway is known to
        serve clients.

        Parameters
        ----------
        zone, region
            Location of the client.
        ready
            Whether this gateway serves clients itself.
        now
            Monotonic time; seconds.
        """
        members = self.serving_members(now=now)
        if ready:
            members.append(self._me)
        nearby = [member for member in members if member.zone == zone]
        if len(nearby) < MIN_ZONE_GATEWAYS:
            nearby = [member for member in members if member.region == region]
        return sorted(member.front for member in nearby or members)

    def _is_in_contact(self, state: _MemberState, *, now: float) -> bool:
        same_region = state.member.region == self._me.region
        return now - state.last_received_at < (
            LOCAL_REGION_TIMEOUT_S if same_region else REMOTE_REGION_TIMEOUT_S
        )

    def _is_alive(self, state: _MemberState, *, now: float) -> bool:
        if self._is_in_contact(state, now=now):
            return True
        return state.listed and now - state.listed_at < FIRST_DATAGRAM_TIMEOUT_S
