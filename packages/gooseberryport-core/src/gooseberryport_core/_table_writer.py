"""What the next table of a region should be; pure functions of what one daemon knows."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import msgspec

from gooseberryport_core._assignment import NO_MEMBER, Plan
from gooseberryport_core._hashing import rendezvous_weight
from gooseberryport_core._lease_clock import LapseWatch
from gooseberryport_core._lease_table import (
    MILLISECONDS,
    Grant,
    Member,
    MemberId,
    Table,
    Witness,
    with_stamps,
)
from gooseberryport_core._region_peers import Seat
from gooseberryport_core.types import Epoch, PoolId, RegionName, StoreReach, VmId, VmState

MOST_WITNESSES = 5
FEWEST_WITNESSES = 3


class Knowledge(msgspec.Struct, frozen=True):
    """What the writer of a table knows.

    Parameters
    ----------
    own
        Its own seat.
    heard
        Daemons of the region heard in time.
    stamps
        Newest stamp of every daemon heard of late, its own among them.
    outsiders
        Daemons of other regions that could be witnesses.
    pools
        Pools of the region with their slots.
    lease_s
        Length of a lease; seconds.
    """

    own: Seat
    heard: tuple[Seat, ...]
    stamps: Mapping[MemberId, int]
    outsiders: tuple[Witness, ...]
    pools: Mapping[PoolId, int]
    lease_s: float

    @property
    def seats(self) -> tuple[Seat, ...]:
        """Every daemon of the region heard in time, this one among them."""
        return (self.own, *self.heard)


class Release(msgspec.Struct, frozen=True):
    """A pool that the writer itself gives up; `quiet` if no work is left in it."""

    pool: PoolId
    epoch: Epoch
    quiet: bool


def writer_of(region: RegionName, seats: Iterable[Seat]) -> VmId:
    """Return the daemon that renews the leases of a region for all."""
    able = [seat for seat in seats if seat.store != StoreReach.UNREACHABLE]
    return max(
        (seat.id.vm for seat in able or seats),
        key=lambda vm: rendezvous_weight(vm, f"{region}/writer"),
    )


def next_table(
    table: Table,
    known: Knowledge,
    *,
    lapses: LapseWatch,
    releases: Iterable[Release],
    witnesses_settled: bool,
    now: float,
) -> Table:
    """Return the table that the writer wants next.

    Parameters
    ----------
    table
        The newest table seen.
    known
        What the writer knows.
    lapses
        How long stamps have stood still.
    releases
        Pools that the writer gives up.
    witnesses_settled
        Whether enough of the former witnesses know of the change.
    now
        Seconds, monotonic.
    """
    lease_ms = round(known.lease_s * MILLISECONDS)
    stamped = with_stamps(table, dict(known.stamps), lease_ms)
    following = _with_new_members(stamped, known, lease_ms)
    following = _with_releases(following, known, releases)
    following = _with_grants(following, known, lapses, now)
    following = _without_lapsed(following, lapses, now)
    following = _with_witnesses(following, known, witnesses_settled)
    changed = _form(following) != _form(table)
    return msgspec.structs.replace(following, shape=table.shape + 1) if changed else following


def _form(table: Table) -> Table:
    """Return a table without what may differ within one shape."""
    members = tuple(msgspec.structs.replace(member, stamp=0) for member in table.members)
    return msgspec.structs.replace(table, members=members, token="")


def _with_new_members(table: Table, known: Knowledge, lease_ms: int) -> Table:
    present = {member.id for member in table.members}
    new = [
        Member(seat.id, seat.zone, seat.address, seat.stamp, lease_ms)
        for seat in known.seats
        if seat.state == VmState.LIVE and seat.id not in present and seat.stamp > 0
    ]
    members = tuple(sorted((*table.members, *new), key=lambda member: member.id))
    return msgspec.structs.replace(table, members=members)


def _with_releases(table: Table, known: Knowledge, releases: Iterable[Release]) -> Table:
    quiet = {(r.pool, known.own.id, r.epoch): r.quiet for r in releases}
    epoch = table.next_epoch
    grants: list[Grant] = []
    for grant in table.grants:
        name = (grant.pool, grant.owner, grant.epoch)
        if name not in quiet:
            grants.append(grant)
        elif grant.pool in known.pools or not quiet[name]:
            heir = grant.successor if table.member(grant.successor) else NO_MEMBER
            grants.append(Grant(grant.pool, heir, epoch, quiet[name], 0, NO_MEMBER))
            epoch = Epoch(epoch + 1)
    return msgspec.structs.replace(table, grants=tuple(grants), next_epoch=epoch)


def _with_grants(table: Table, known: Knowledge, lapses: LapseWatch, now: float) -> Table:
    live = {seat.id for seat in known.seats if seat.state == VmState.LIVE}
    leaving = {seat.id for seat in known.seats if seat.state == VmState.LEAVING}
    lapsed = {
        member.id: round(lapses.lapsed_for(member, now) * MILLISECONDS)
        for member in table.members
        if lapses.lapsed(member, now)
    }
    candidates = [m for m in table.members if m.id in live and m.id not in lapsed]
    plan = Plan(
        table=table,
        pools=known.pools,
        candidates=candidates,
        leaving=frozenset(leaving),
        lapsed_ms=lapsed,
    )
    return plan.apply_to(table)


def _without_lapsed(table: Table, lapses: LapseWatch, now: float) -> Table:
    in_use = {grant.owner for grant in table.grants}
    members = tuple(m for m in table.members if m.id in in_use or not lapses.lapsed(m, now))
    return msgspec.structs.replace(table, members=members)


def _with_witnesses(table: Table, known: Knowledge, settled: bool) -> Table:
    if table.former_witnesses and not settled:
        return table
    if table.former_witnesses:
        table = msgspec.structs.replace(table, former_witnesses=())
    wanted = _choose_witnesses(table, known)
    if not wanted or {w.id for w in wanted} == {w.id for w in table.witnesses}:
        return table
    return msgspec.structs.replace(table, witnesses=wanted, former_witnesses=table.witnesses)


def _choose_witnesses(table: Table, known: Knowledge) -> tuple[Witness, ...]:
    """Return the witnesses: the present ones while they are members, then others by zone."""
    live = {seat.id for seat in known.seats if seat.state == VmState.LIVE}
    leaving = {seat.id for seat in known.seats if seat.state == VmState.LEAVING}
    present = {witness.id for witness in table.witnesses}
    kept = [m for m in table.members if m.id in present and m.id not in leaving]
    others = [m for m in table.members if m.id in live and m.id not in present]
    size = _witness_count(len(kept) + len(others))
    chosen = kept[:size]
    while len(chosen) < size:
        best = min(others, key=lambda m: _witness_rank(m, chosen, table.region))
        others.remove(best)
        chosen.append(best)
    witnesses = [Witness(member.id, member.address) for member in chosen]
    if size == FEWEST_WITNESSES - 1:
        witnesses.extend(_outsider(table, known))
    return tuple(sorted(witnesses, key=lambda witness: witness.id))


def _witness_count(members: int) -> int:
    """Return how many members are witnesses: an odd number, but for two."""
    if members < FEWEST_WITNESSES:
        return members
    return MOST_WITNESSES if members >= MOST_WITNESSES else FEWEST_WITNESSES


def _witness_rank(member: Member, chosen: list[Member], region: RegionName) -> tuple[int, int]:
    in_zone = sum(1 for other in chosen if other.zone == member.zone)
    return (in_zone, -rendezvous_weight(member.id.vm, f"{region}/witness"))


def _outsider(table: Table, known: Knowledge) -> list[Witness]:
    """Return a daemon of another region as the odd witness of a region with two daemons."""
    present = {witness.id for witness in table.witnesses}
    kept = [witness for witness in known.outsiders if witness.id in present]
    ranked = kept or sorted(
        known.outsiders,
        key=lambda w: rendezvous_weight(w.id.vm, f"{table.region}/witness"),
        reverse=True,
    )
    return ranked[:1]
