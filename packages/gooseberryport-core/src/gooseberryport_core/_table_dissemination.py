"""Dissemination of ownership tables: along a tree within the region, on request elsewhere."""

from __future__ import annotations

import msgspec

from gooseberryport_core._hashing import rendezvous_weight
from gooseberryport_core._lease_clock import NEVER
from gooseberryport_core._lease_table import (
    NO_VM,
    Member,
    MemberId,
    StoredTable,
    Table,
    decode_table,
    encode_table,
)
from gooseberryport_core._pieces import Piece, PieceBuffer, split_value
from gooseberryport_core.effects import Effect, SendMessage
from gooseberryport_core.messages import Heartbeat, TableNotice, TableRequest, TableStamps
from gooseberryport_core.settings import NodeSettings
from gooseberryport_core.types import RegionName, Revision, VmId

MAX_STAR_MEMBERS = 9
"""Up to this number of members, the writer sends the table to each member directly."""

TREE_FAN_OUT = 2
"""Number of members to which each member passes a table on in a larger region."""

MIN_REQUEST_INTERVAL_S = 0.3
"""Shortest time between two requests for the same region's table; seconds."""


def tree_children(table: Table, writer: VmId, own_vm: VmId) -> list[Member]:
    """Return the members to which this daemon passes a table on, given the table's writer."""
    others = [member for member in table.members if member.id.vm != writer]
    others.sort(key=lambda m: rendezvous_weight(m.id.vm, f"{table.region}/tree"), reverse=True)
    if len(others) < MAX_STAR_MEMBERS:
        return others if own_vm == writer else []
    order = [writer, *(member.id.vm for member in others)]
    if own_vm not in order:
        return []
    first = order.index(own_vm) * TREE_FAN_OUT + 1
    return others[first - 1 : first - 1 + TREE_FAN_OUT]


class TableDissemination:
    """Keep the newest table of every region, pass tables on, and request newer ones.

    Parameters
    ----------
    settings
        This daemon's identity.
    """

    def __init__(self, *, settings: NodeSettings) -> None:
        self._settings = settings
        self._tables: dict[RegionName, StoredTable] = {}
        self._buffers: dict[tuple[RegionName, int], PieceBuffer] = {}
        self._requested_at: dict[RegionName, float] = {}

    def newest(self, region: RegionName) -> StoredTable | None:
        """Return the newest known table of a region, or None."""
        return self._tables.get(region)

    def keep(self, stored: StoredTable) -> bool:
        """Keep a table if it is newer than the one kept so far; return whether it is."""
        former = self._tables.get(stored.table.region)
        if former is not None and former.revision >= stored.revision:
            return False
        self._tables[stored.table.region] = stored
        return True

    def send_table(
        self, stored: StoredTable, former: StoredTable | None, writer: VmId
    ) -> list[Effect]:
        """Return the messages that pass a table of this region on.

        Parameters
        ----------
        former
            The table that the receivers are assumed to have. If only stamps differ from it, only
            stamps are sent.
        writer
            Daemon that wrote the table, the root of the tree.
        """
        table = stored.table
        targets = [m.address for m in tree_children(table, writer, self._settings.vm)]
        if former is not None and former.table.shape == table.shape:
            stamps = tuple(member.stamp for member in table.members)
            stamps_only = TableStamps(table.region, stored.revision, table.shape, writer, stamps)
            return [SendMessage(address, stamps_only) for address in targets]
        return [effect for address in targets for effect in _send_pieces(address, stored, writer)]

    def apply_stamps(self, message: TableStamps) -> StoredTable | None:
        """Return the table with newer stamps, or None if no table of that shape is known here."""
        former = self._tables.get(message.region)
        if former is None or former.table.shape != message.shape:
            return None
        members = tuple(
            msgspec.structs.replace(member, stamp=stamp)
            for member, stamp in zip(former.table.members, message.stamps, strict=True)
        )
        table = msgspec.structs.replace(former.table, members=members)
        return StoredTable(table, Revision(message.revision))

    def assemble_piece(self, message: TableNotice) -> StoredTable | None:
        """Add a piece of a table; return the table if that completes it, else None."""
        former = self._tables.get(message.region)
        if former is not None and former.revision >= message.revision:
            return None
        buffer_key = (message.region, message.revision)
        buffer = self._buffers.setdefault(buffer_key, PieceBuffer(total=message.total))
        buffer.add(Piece(message.offset, message.total, message.table))
        value = buffer.value()
        if value is None:
            return None
        for other in [n for n in self._buffers if n[0] == buffer_key[0] and n[1] <= buffer_key[1]]:
            del self._buffers[other]
        table = decode_table(value)
        if table is None or table.region != message.region:
            return None
        return StoredTable(table, Revision(message.revision))

    def reply(self, request: TableRequest, address: str) -> list[Effect]:
        """Return the reply to a peer that requests a table: a newer one, or nothing."""
        stored = self._tables.get(request.region)
        if stored is None or stored.revision <= request.revision:
            return []
        return _send_pieces(address, stored, NO_VM)

    def request_if_newer(self, heartbeat: Heartbeat, now: float) -> list[Effect]:
        """Return a request for the table of a peer's region if the peer has a newer shape."""
        former = self._tables.get(heartbeat.region)
        is_outdated = former is None or former.table.shape < heartbeat.table_shape
        if not is_outdated or not heartbeat.table_shape:
            return []
        return self.request(heartbeat.region, heartbeat.address, now)

    def request(self, region: RegionName, address: str, now: float) -> list[Effect]:
        """Return a request for a region's table, rate-limited per region."""
        if now < self._requested_at.get(region, NEVER) + MIN_REQUEST_INTERVAL_S:
            return []
        self._requested_at[region] = now
        former = self._tables.get(region)
        revision = former.revision if former else 0
        return [SendMessage(address, TableRequest(region, revision))]


def _send_pieces(address: str, stored: StoredTable, writer: VmId) -> list[Effect]:
    return [
        SendMessage(
            address,
            TableNotice(
                region=stored.table.region,
                revision=stored.revision,
                table=piece.data,
                offset=piece.offset,
                total=piece.total,
                writer=writer,
            ),
        )
        for piece in split_value(encode_table(stored.table))
    ]


def own_id(settings: NodeSettings) -> MemberId:
    """Return the member identity of this daemon."""
    return MemberId(settings.vm, settings.incarnation)
