"""Computation of a region's next table, by pure functions of what one daemon knows."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import msgspec

from gooseberryport_core._assignment import NO_MEMBER, AssignmentPlan
from gooseberryport_core._hashing import rendezvous_weight
from gooseberryport_core._lease_clock import LapseDetector
from gooseberryport_core._lease_table import (
    MILLISECONDS,
    Grant,
    Member,
    MemberId,
    Table,
    Witness,
    with_stamps,
)
from gooseberryport_core._region_peers import DaemonStatus
from gooseberryport_core.types import Epoch, PoolId, RegionName, StoreReach, VmId, VmState

MAX_WITNESSES = 5
MIN_WITNESSES = 3
"""Minimum number of witnesses; a region of two daemons gets the third from another region."""


class RegionView(msgspec.Struct, frozen=True):
    """What the writer of a table knows about its region.

    Parameters
    ----------
    own_status
        Status of the writer itself.
    peers
        Status of the region's other live daemons.
    stamps
        Newest stamp of every daemon with a recent heartbeat, including the writer.
    external_witnesses
        Daemons of other regions that could be witnesses.
    pools
        Pools of the region with their slot counts.
    lease_s
        Length of a lease; seconds.
    """

    own_status: DaemonStatus
    peers: tuple[DaemonStatus, ...]
    stamps: Mapping[MemberId, int]
    external_witnesses: tuple[Witness, ...]
    pools: Mapping[PoolId, int]
    lease_s: float

    @property
    def daemons(self) -> tuple[DaemonStatus, ...]:
        """Every live daemon of the region, including this one."""
        return (self.own_status, *self.peers)


class Release(msgspec.Struct, frozen=True):
    """A pool that the writer of the table releases; `idle` if no work is left in it."""

    pool: PoolId
    epoch: Epoch
    idle: bool


def writer_of(region: RegionName, daemons: Iterable[DaemonStatus]) -> VmId:
    """Return the daemon that renews the leases of all members of a region.

    It is chosen by rendezvous hashing, if possible among daemons that reach the store.
    """
    with_store = [daemon for daemon in daemons if daemon.store != StoreReach.UNREACHABLE]
    return max(
        (daemon.id.vm for daemon in with_store or daemons),
        key=lambda vm: rendezvous_weight(vm, f"{region}/writer"),
    )


def next_table(
    table: Table,
    view: RegionView,
    *,
    lapses: LapseDetector,
    releases: Iterable[Release],
    former_witnesses_fenced: bool,
    now: float,
) -> Table:
    """Return the table that the writer should write next.

    Parameters
    ----------
    table
        The newest known table.
    view
        What the writer knows about its region.
    lapses
        Detector of the members whose leases have lapsed.
    releases
        Pools that the writer releases.
    former_witnesses_fenced
        Whether no owner can extend its lease by votes of the former witnesses any more.
    now
        Seconds, monotonic.
    """
    lease_ms = round(view.lease_s * MILLISECONDS)
    stamped = with_stamps(table, dict(view.stamps), lease_ms)
    new_table = _with_new_members(stamped, view, lease_ms)
    new_table = _with_releases(new_table, view, releases)
    new_table = _with_grants(new_table, view, lapses, now)
    new_table = _without_lapsed(new_table, lapses, now)
    new_table = _with_witnesses(new_table, view, former_witnesses_fenced)
    changed = _without_stamps(new_table) != _without_stamps(table)
    return msgspec.structs.replace(new_table, shape=table.shape + 1) if changed else new_table


def _without_stamps(table: Table) -> Table:
    """Return a table without its stamps and token, which may change without a new shape."""
    members = tuple(msgspec.structs.replace(member, stamp=0) for member in table.members)
    return msgspec.structs.replace(table, members=members, token="")


def _with_new_members(table: Table, view: RegionView, lease_ms: int) -> Table:
    present = {member.id for member in table.members}
    new_members = [
        Member(daemon.id, daemon.zone, daemon.address, daemon.stamp, lease_ms)
        for daemon in view.daemons
        if daemon.state == VmState.LIVE and daemon.id not in present and daemon.stamp > 0
    ]
    members = tuple(sorted((*table.members, *new_members), key=lambda member: member.id))
    return msgspec.structs.replace(table, members=members)


def _with_releases(table: Table, view: RegionView, releases: Iterable[Release]) -> Table:
    idle = {(r.pool, view.own_status.id, r.epoch): r.idle for r in releases}
    epoch = table.next_epoch
    grants: list[Grant] = []
    for grant in table.grants:
        name = (grant.pool, grant.owner, grant.epoch)
        if name not in idle:
            grants.append(grant)
        elif grant.pool in view.pools or not idle[name]:
            new_owner = grant.successor if table.member(grant.successor) else NO_MEMBER
            grants.append(Grant(grant.pool, new_owner, epoch, idle[name], 0, NO_MEMBER))
            epoch = Epoch(epoch + 1)
    return msgspec.structs.replace(table, grants=tuple(grants), next_epoch=epoch)


def _with_grants(table: Table, view: RegionView, lapses: LapseDetector, now: float) -> Table:
    live = {daemon.id for daemon in view.daemons if daemon.state == VmState.LIVE}
    leaving = {daemon.id for daemon in view.daemons if daemon.state == VmState.LEAVING}
    lapsed = {
        member.id: round(lapses.lapsed_for_s(member, now) * MILLISECONDS)
        for member in table.members
        if lapses.has_lapsed(member, now)
    }
    candidates = [m for m in table.members if m.id in live and m.id not in lapsed]
    plan = AssignmentPlan(
        table=table,
        pools=view.pools,
        candidates=candidates,
        leaving=frozenset(leaving),
        lapsed_ms=lapsed,
    )
    return plan.apply_to(table)


def _without_lapsed(table: Table, lapses: LapseDetector, now: float) -> Table:
    owners = {grant.owner for grant in table.grants}
    members = tuple(m for m in table.members if m.id in owners or not lapses.has_lapsed(m, now))
    return msgspec.structs.replace(table, members=members)


def _with_witnesses(table: Table, view: RegionView, former_witnesses_fenced: bool) -> Table:
    if table.former_witnesses and not former_witnesses_fenced:
        return table
    if table.former_witnesses:
        table = msgspec.structs.replace(table, former_witnesses=())
    new_witnesses = _choose_witnesses(table, view)
    if not new_witnesses or {w.id for w in new_witnesses} == {w.id for w in table.witnesses}:
        return table
    return msgspec.structs.replace(table, witnesses=new_witnesses, former_witnesses=table.witnesses)


def _choose_witnesses(table: Table, view: RegionView) -> tuple[Witness, ...]:
    """Return the witnesses: current ones that are still members, then others spread over zones."""
    live = {daemon.id for daemon in view.daemons if daemon.state == VmState.LIVE}
    leaving = {daemon.id for daemon in view.daemons if daemon.state == VmState.LEAVING}
    present = {witness.id for witness in table.witnesses}
    kept = [m for m in table.members if m.id in present and m.id not in leaving]
    others = [m for m in table.members if m.id in live and m.id not in present]
    size = _witness_count(len(kept) + len(others))
    chosen = kept[:size]
    while len(chosen) < size:
        best = min(others, key=lambda m: _witness_order(m, chosen, table.region))
        others.remove(best)
        chosen.append(best)
    witnesses = [Witness(member.id, member.address) for member in chosen]
    if size == MIN_WITNESSES - 1:
        witnesses.extend(_external_witness(table, view))
    return tuple(sorted(witnesses, key=lambda witness: witness.id))


def _witness_count(members: int) -> int:
    """Return how many members are to be witnesses: an odd number, except for two members."""
    if members < MIN_WITNESSES:
        return members
    return MAX_WITNESSES if members >= MAX_WITNESSES else MIN_WITNESSES


def _witness_order(member: Member, chosen: list[Member], region: RegionName) -> tuple[int, int]:
    in_zone = sum(1 for other in chosen if other.zone == member.zone)
    return (in_zone, -rendezvous_weight(member.id.vm, f"{region}/witness"))


def _external_witness(table: Table, view: RegionView) -> list[Witness]:
    """Return a daemon of another region as the third witness of a region with two daemons."""
    present = {witness.id for witness in table.witnesses}
    kept = [witness for witness in view.external_witnesses if witness.id in present]
    ranked = kept or sorted(
        view.external_witnesses,
        key=lambda w: rendezvous_weight(w.id.vm, f"{table.region}/witness"),
        reverse=True,
    )
    return ranked[:1]
