"""How tables pass from daemon to daemon: down a tree in their region, on request elsewhere."""

from __future__ import annotations

import msgspec

from gooseberryport_core._hashing import rendezvous_weight
from gooseberryport_core._lease_clock import NEVER
from gooseberryport_core._lease_table import (
    NOBODY,
    Member,
    MemberId,
    SeenTable,
    Table,
    decode_table,
    encode_table,
)
from gooseberryport_core._pieces import Piece, PieceBuffer, cut
from gooseberryport_core.effects import Effect, SendMessage
from gooseberryport_core.messages import Heartbeat, TableNotice, TableRequest, TableStamps
from gooseberryport_core.settings import NodeSettings
from gooseberryport_core.types import RegionName, Revision, VmId

STAR_MEMBERS = 9
"""Up to so many members, the writer tells each itself."""

TREE_FAN_OUT = 2
"""In a larger region, each member passes a table on to so many others."""

REQUEST_PERIOD_S = 0.3
"""Shortest time between two requests for the same region's table."""


def children(table: Table, writer: VmId, own: VmId) -> list[Member]:
    """Return the members to which this daemon passes a table on."""
    others = [member for member in table.members if member.id.vm != writer]
    others.sort(key=lambda m: rendezvous_weight(m.id.vm, f"{table.region}/tree"), reverse=True)
    if len(others) < STAR_MEMBERS:
        return others if own == writer else []
    order = [writer, *(member.id.vm for member in others)]
    if own not in order:
        return []
    first = order.index(own) * TREE_FAN_OUT + 1
    return others[first - 1 : first - 1 + TREE_FAN_OUT]


class TableSpread:
    """Keep the newest table of every region, and pass them on.

    Parameters
    ----------
    settings
        Who this daemon is.
    """

    def __init__(self, *, settings: NodeSettings) -> None:
        self._settings = settings
        self._tables: dict[RegionName, SeenTable] = {}
        self._buffers: dict[tuple[RegionName, int], PieceBuffer] = {}
        self._asked_at: dict[RegionName, float] = {}

    def known(self, region: RegionName) -> SeenTable | None:
        """Return the newest table known of a region."""
        return self._tables.get(region)

    def keep(self, seen: SeenTable) -> bool:
        """Keep a table; whether it is newer than the one kept before."""
        former = self._tables.get(seen.table.region)
        if former is not None and former.revision >= seen.revision:
            return False
        self._tables[seen.table.region] = seen
        return True

    def announce(self, seen: SeenTable, former: SeenTable | None, writer: VmId) -> list[Effect]:
        """Return the messages that pass a table of the own region on.

        Parameters
        ----------
        former
            The table that the receivers have, as far as is known here.
        writer
            Root of the tree.
        """
        table = seen.table
        targets = [m.address for m in children(table, writer, self._settings.vm)]
        if former is not None and former.table.shape == table.shape:
            stamps = tuple(member.stamp for member in table.members)
            brief = TableStamps(table.region, seen.revision, table.shape, writer, stamps)
            return [SendMessage(address, brief) for address in targets]
        return [effect for address in targets for effect in _send_whole(address, seen, writer)]

    def take_stamps(self, message: TableStamps) -> SeenTable | None:
        """Return the table that newer stamps make, or None if its base is not here."""
        former = self._tables.get(message.region)
        if former is None or former.table.shape != message.shape:
            return None
        members = tuple(
            msgspec.structs.replace(member, stamp=stamp)
            for member, stamp in zip(former.table.members, message.stamps, strict=True)
        )
        table = msgspec.structs.replace(former.table, members=members)
        return SeenTable(table, Revision(message.revision))

    def take_piece(self, message: TableNotice) -> SeenTable | None:
        """Return the table that a piece completes, or None."""
        former = self._tables.get(message.region)
        if former is not None and former.revision >= message.revision:
            return None
        name = (message.region, message.revision)
        buffer = self._buffers.setdefault(name, PieceBuffer(total=message.total))
        buffer.add(Piece(message.offset, message.total, message.table))
        value = buffer.value()
        if value is None:
            return None
        for other in [n for n in self._buffers if n[0] == name[0] and n[1] <= name[1]]:
            del self._buffers[other]
        table = decode_table(value)
        if table is None or table.region != message.region:
            return None
        return SeenTable(table, Revision(message.revision))

    def answer(self, request: TableRequest, address: str) -> list[Effect]:
        """Return the answer to a peer that asks for a table."""
        seen = self._tables.get(request.region)
        if seen is None or seen.revision <= request.revision:
            return []
        return _send_whole(address, seen, NOBODY)

    def ask(self, beat: Heartbeat, now: float) -> list[Effect]:
        """Return a request for the table of a peer's region, if the peer knows a newer shape."""
        former = self._tables.get(beat.region)
        behind = former is None or former.table.shape < beat.table_shape
        if not behind or not beat.table_shape:
            return []
        return self.request(beat.region, beat.address, now)

    def request(self, region: RegionName, address: str, now: float) -> list[Effect]:
        """Return a request for a region's table, not too often."""
        if now < self._asked_at.get(region, NEVER) + REQUEST_PERIOD_S:
            return []
        self._asked_at[region] = now
        former = self._tables.get(region)
        revision = former.revision if former else 0
        return [SendMessage(address, TableRequest(region, revision))]


def _send_whole(address: str, seen: SeenTable, writer: VmId) -> list[Effect]:
    return [
        SendMessage(
            address,
            TableNotice(
                region=seen.table.region,
                revision=seen.revision,
                table=piece.data,
                offset=piece.offset,
                total=piece.total,
                writer=writer,
            ),
        )
        for piece in cut(encode_table(seen.table))
    ]


def own_id(settings: NodeSettings) -> MemberId:
    """Return a daemon's own name as a member."""
    return MemberId(settings.vm, settings.incarnation)
