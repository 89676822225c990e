"""Which gateways there are, and which of them a client is told of.

Failure pattern: gateways die, are cut off, or lose their leases because the store is away. Members
of the store's list and members that are heard count; one that is listed but silent is not named
while others can be.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from gooseberryport_core._hashing import rendezvous_weight
from gooseberryport_core.gateway.model import Member
from gooseberryport_core.types import RegionName, VmId, ZoneName

HEARD_NEAR_S = 1.5
HEARD_FAR_S = 3.0
"""How long a gateway of the own or another region counts as alive after its last datagram, several
of its pauses; seconds."""

LEAST_NEAR = 2
"""Gateways of an availability zone from which its clients are told of no others: one may die."""

NEW_MEMBER_S = 2.0
"""How long a listed gateway counts as alive before its first datagram; seconds."""

REMEMBER_S = 10.0
"""How long a gateway that is gone still counts when bounds are shared; the budget's window."""


class _Known(msgspec.Struct):
    member: Member
    listed: bool = False
    listed_at: float = 0.0
    heard_at: float = float("-inf")
    seen_at: float = 0.0
    ready: bool = True
    follows_store: bool = True


def _counts(known: _Known, *, now: float) -> bool:
    return known.listed or now - known.seen_at < REMEMBER_S


class Fleet:
    """Keep the members that are listed or heard.

    Parameters
    ----------
    me
        This gateway; it always counts.
    """

    def __init__(self, *, me: Member) -> None:
        self._me = me
        self._known: dict[VmId, _Known] = {}

    def set_listed(self, members: Iterable[Member], *, now: float) -> None:
        """Replace the members that the store lists."""
        listed = {member.vm: member for member in members if member.vm != self._me.vm}
        for vm, old in self._known.items():
            if vm not in listed:
                old.listed = False
        for vm, member in listed.items():
            known = self._known.get(vm)
            if known is None or known.member.incarnation != member.incarnation:
                self._known[vm] = _Known(member=member, listed=True, listed_at=now, seen_at=now)
            else:
                known.listed = True
                known.seen_at = now

    def record_datagram(
        self, vm: VmId, *, incarnation: int, ready: bool, follows_store: bool = True, now: float
    ) -> None:
        """Count a datagram of a gateway; those that were never listed are ignored.

        Incarnations come from the wall clock, which may step back before a restart: a lower one is
        a late datagram only while the higher one is heard.

        Parameters
        ----------
        vm, incarnation
            Who sent it.
        ready
            Whether it serves clients.
        follows_store
            Whether the store answers it.
        now
            Monotonic time; seconds.
        """
        known = self._known.get(vm)
        if known is None:
            return
        if incarnation < known.member.incarnation and self._is_heard(known, now=now):
            return
        if incarnation != known.member.incarnation:
            known.member = msgspec.structs.replace(known.member, incarnation=incarnation)
        known.heard_at = known.seen_at = now
        known.ready = ready
        known.follows_store = follows_store

    def peers(self, *, now: float) -> list[Member]:
        """Return the other gateways to which datagrams are sent."""
        return [known.member for known in self._known.values() if _counts(known, now=now)]

    def gateways_sharing_limits(self, *, now: float) -> frozenset[VmId]:
        """Return the gateways that bounds are shared with, this one included."""
        others = [vm for vm, known in self._known.items() if _counts(known, now=now)]
        return frozenset([self._me.vm, *others])

    def alive(self, *, now: float) -> list[Member]:
        """Return the other gateways that take clients, as far as known."""
        return [
            known.member
            for known in self._known.values()
            if known.ready and self._is_alive(known, now=now)
        ]

    def assignees(self, task: str, *, count: int, follows_store: bool, now: float) -> list[Member]:
        """Return the gateways of the own region that do a task for all of them.

        Every gateway chooses the same ones by rendezvous as long as all hear each other; two that
        don't may both do the task.

        Parameters
        ----------
        task
            Name of the task.
        count
            How many do it.
        follows_store
            Whether the store answers this gateway; those that it does not answer are left out.
        now
            Monotonic time; seconds.
        """
        able = [
            known.member
            for known in self._known.values()
            if known.ready
            and known.follows_store
            and known.member.region == self._me.region
            and self._is_alive(known, now=now)
        ]
        if follows_store:
            able.append(self._me)
        able.sort(key=lambda each: rendezvous_weight(each.vm, task), reverse=True)
        return able[:count]

    def entry_points(
        self, *, zone: ZoneName, region: RegionName, ready: bool, now: float
    ) -> list[str]:
        """Return the addresses that a client in a place should use.

        If enough gateways of the client's availability zone serve, they come alone; else those of
        its region, else all; none if none is known to serve.

        Parameters
        ----------
        zone, region
            Place of the client.
        ready
            Whether this gateway serves clients itself.
        now
            Monotonic time; seconds.
        """
        members = self.alive(now=now)
        if ready:
            members.append(self._me)
        near = [each for each in members if each.zone == zone]
        if len(near) < LEAST_NEAR:
            near = [each for each in members if each.region == region]
        return sorted(each.front for each in near or members)

    def _is_heard(self, known: _Known, *, now: float) -> bool:
        near = known.member.region == self._me.region
        return now - known.heard_at < (HEARD_NEAR_S if near else HEARD_FAR_S)

    def _is_alive(self, known: _Known, *, now: float) -> bool:
        if self._is_heard(known, now=now):
            return True
        return known.listed and now - known.listed_at < NEW_MEMBER_S
