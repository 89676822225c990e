"""A region's ownership table, stored as the value of one key in the key-value store.

The table changes only by compare-and-swap, so its revisions form a linear history. A daemon acts
on a table only after the store has returned it, to this daemon or to a peer that passed it on.
"""

from __future__ import annotations

import msgspec

from gooseberryport_core.decoding import InputError, decode_with
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
"""Owner of a pool that was released without a successor."""


class MemberId(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Identify one incarnation of a daemon on a VM; a restarted daemon is another member."""

    vm: VmId
    incarnation: Incarnation


class Member(msgspec.Struct, frozen=True, array_like=True):
    """A daemon that may own pools of the region.

    Parameters
    ----------
    address
        ``IP:port`` of its peer port.
    stamp
        The newest lease stamp that the daemon issued and the table contains.
    lease_ms
        Length of the lease that this stamp grants, in milliseconds from the issue of the stamp.
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
    """A pool and its owner.

    Parameters
    ----------
    epoch
        Epoch of this ownership, new for each grant.
    released
        Whether the former owner had stopped and had no work left, or there was none.
    lapsed_ms
        How long before this grant was written the former owner's lease had ended, in
        milliseconds; meaningless for a released pool.
    successor
        Member that the owner has to hand the pool over to; an empty VM name if there is none.
    """

    pool: PoolId
    owner: MemberId
    epoch: Epoch
    released: bool
    lapsed_ms: int
    successor: MemberId


class Witness(msgspec.Struct, frozen=True, array_like=True):
    """A daemon that votes on lease extensions while the store is unavailable.

    It remembers the newest table revision that it was informed of.
    """

    id: MemberId
    address: str


class Table(msgspec.Struct, frozen=True, array_like=True):
    """A region's ownership table.

    Parameters
    ----------
    shape
        Number that grows with every change of anything but lease stamps.
    next_epoch
        Epoch of the next grant.
    token
        Unique identifier of the write that created this table.
    members, grants
        Sorted by member and by pool.
    witnesses
        Daemons a majority of which can extend an owner's lease.
    former_witnesses
        The previous witnesses, kept until no owner can rely on their votes any more.
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
        """Return the member with this identity, or None."""
        return next((member for member in self.members if member.id == member_id), None)

    def grants_of(self, member_id: MemberId) -> tuple[Grant, ...]:
        """Return the grants that a member owns."""
        return tuple(grant for grant in self.grants if grant.owner == member_id)

    def witness_sets(self) -> tuple[tuple[Witness, ...], ...]:
        """Return the sets of witnesses from which a new owner needs fence acknowledgements."""
        return tuple(found for found in (self.witnesses, self.former_witnesses) if found)


class StoredTable(msgspec.Struct, frozen=True):
    """A table as the key-value store returned it, with its revision."""

    table: Table
    revision: Revision


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Table)


def table_key(region: RegionName) -> str:
    """Return the store key of a region's table."""
    return f"regions/{region}/owners"


def encode_table(table: Table) -> bytes:
    """Return a table as the bytes that are stored."""
    return _encoder.encode(table)


def decode_table(data: bytes) -> Table | None:
    """Return the table in a stored value, or None if the value is not a valid table."""
    try:
        return decode_with(_decoder.decode, data)
    except InputError:
        return None


def extension_quorum(witnesses: int) -> int:
    """Return how many of this number of witnesses must vote for a lease extension."""
    return witnesses // 2 + 1


def fence_quorum(witnesses: int) -> int:
    """Return how many of this number of witnesses must acknowledge a new owner's fence.

    Any fence quorum has a witness in common with any `extension_quorum`.
    """
    return witnesses - extension_quorum(witnesses) + 1


def with_stamps(table: Table, stamps: dict[MemberId, int], lease_ms: int) -> Table:
    """Return the table with newer stamps; a member with a newer stamp gets `lease_ms` too."""
    members = tuple(
        (
            msgspec.structs.replace(member, stamp=stamps[member.id], lease_ms=lease_ms)
            if stamps.get(member.id, 0) > member.stamp
            else member
        )
        for member in table.members
    )
    return msgspec.structs.replace(table, members=members)
