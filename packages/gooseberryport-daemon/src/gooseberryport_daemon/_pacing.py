"""Keep answers to other regions within their link's room."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from gooseberryport_core.messages import Ticket

FRAME_OVERHEAD_BYTES = 64
"""Bytes that a frame's headers add on the wire, down to the link."""

ROOM_POLL_INTERVAL_S = 0.05
"""Time between two asks for room after one that found none; seconds."""

ReserveLink = Callable[[Ticket, int], float | None]
"""Reserves room for bytes of a ticket's answer: the seconds to wait, or None for no room."""


def unlimited(ticket: Ticket, num_bytes: int) -> float | None:
    """Give room at once."""
    return 0.0


class Pacer:
    """Let the frames of one answer leave only when their link has room.

    Parameters
    ----------
    reserve
        Reserves room.
    ticket
        The answer's ticket; room is waited for no longer than its deadline.
    """

    def __init__(self, *, reserve: ReserveLink, ticket: Ticket) -> None:
        self._reserve = reserve
        self._ticket = ticket
        self._loop = asyncio.get_running_loop()
        self._deadline = self._loop.time() + ticket.remaining_s

    async def wait_for_room(self, num_bytes: int) -> bool:
        """Wait until a frame may leave; False if its deadline passes first."""
        while True:
            wait_s = self._reserve(self._ticket, num_bytes + FRAME_OVERHEAD_BYTES)
            if wait_s is not None:
                await asyncio.sleep(wait_s)
                return True
            if self._loop.time() + ROOM_POLL_INTERVAL_S >= self._deadline:
                return False
            await asyncio.sleep(ROOM_POLL_INTERVAL_S)
