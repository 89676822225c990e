"""A region's ownership table: the value under one key of the key-value service.

The table changes by compare-and-swap only, so its revisions form one line of history. A daemon
acts on a table only after the service has shown it, to itself or to a peer that passes it on.
"""

from __future__ import annotations

import msgspec

from gooseberryport_core.types import (
    Epoch,
    Incarnation,
    PoolId,
    RegionName,
    Revision,
    VmId,
    ZoneName,
)

MILLISECONDS = 1_000
NO_VM = VmId("")
"""Owner of a pool that was released to no one."""


class MemberId(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Name one start of a daemon on a VM; a restarted daemon is another member."""

    vm: VmId
    incarnation: Incarnation


class Member(msgspec.Struct, frozen=True, array_like=True):
    """A daemon that may own pools of the region.

    Parameters
    ----------
    address
        ``IP:port`` of its peer port.
    stamp
        Number of the newest lease renewal that it asked for.
    lease_ms
        Length of the lease that this stamp gives, in milliseconds from its issue.
    """

    id: MemberId
    zone: ZoneName
    address: str
    stamp: int
    lease_ms: int

    @property
    def lease_s(self) -> float:
        """Length of the lease in seconds."""
        return self.lease_ms / MILLISECONDS


class Grant(msgspec.Struct, frozen=True, array_like=True):
    """Say who owns a pool.

    Parameters
    ----------
    epoch
        Number of this ownership, new for each grant.
    released
        Whether the former owner had stopped and had no work left, or there was none.
    lapsed_ms
        Time by which the former owner's lease had ended before the grant was written, in
        milliseconds; without meaning for a released pool.
    successor
        Member that the owner shall hand the pool to; an empty name for nobody.
    """

    pool: PoolId
    owner: MemberId
    epoch: Epoch
    released: bool
    lapsed_ms: int
    successor: MemberId


class Witness(msgspec.Struct, frozen=True, array_like=True):
    """A daemon that knows which table is the newest while the service is down."""

    id: MemberId
    address: str


class Table(msgspec.Struct, frozen=True, array_like=True):
    """A region's ownership table.

    Parameters
    ----------
    shape
        Number that grows with every change of anything but stamps.
    next_epoch
        Epoch of the next grant.
    token
        Unique name of the write that made this table.
    members, grants
        Sorted by name.
    witnesses
        Daemons of which a majority lets a holder go on past its lease.
    former_witnesses
        The witnesses before these, until a majority of them knows of the change.
    """

    region: RegionName
    shape: int = 0
    next_epoch: Epoch = Epoch(1)
    token: str = ""
    members: tuple[Member, ...] = ()
    grants: tuple[Grant, ...] = ()
    witnesses: tuple[Witness, ...] = ()
    former_witnesses: tuple[Witness, ...] = ()

    def member(self, member_id: MemberId) -> Member | None:
        """Return a member, or None."""
        return next((member for member in self.members if member.id == member_id), None)

    def grants_of(self, member_id: MemberId) -> tuple[Grant, ...]:
        """Return what a member owns."""
        return tuple(grant for grant in self.grants if grant.owner == member_id)

    def witness_sets(self) -> tuple[tuple[Witness, ...], ...]:
        """Return the sets of witnesses that a new owner must have told."""
        return tuple(found for found in (self.witnesses, self.former_witnesses) if found)


class StoredTable(msgspec.Struct, frozen=True):
    """A table as the key-value service showed it, at a revision."""

    table: Table
    revision: Revision


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Table)


def table_key(region: RegionName) -> str:
    """Return the key of a region's table."""
    return f"regions/{region}/owners"


def encode_table(table: Table) -> bytes:
    """Return a table's stored form."""
    return _encoder.encode(table)


def decode_table(data: bytes) -> Table | None:
    """Return the table in a stored value, or None if it is none."""
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError):
        return None


def extension_quorum(witnesses: int) -> int:
    """Return how many of so many witnesses let a holder go on past its lease."""
    return witnesses // 2 + 1


def fence_quorum(witnesses: int) -> int:
    """Return how many of so many witnesses a new owner must have told.

    Any such number meets every `extension_quorum`.
    """
    return witnesses - extension_quorum(witnesses) + 1


def with_stamps(table: Table, stamps: dict[MemberId, int], lease_ms: int) -> Table:
    """Return a table with newer stamps of its members."""
    members = tuple(
        (
            msgspec.structs.replace(member, stamp=stamps[member.id], lease_ms=lease_ms)
            if stamps.get(member.id, 0) > member.stamp
            else member
        )
        for member in table.members
    )
    return msgspec.structs.replace(table, members=members)
