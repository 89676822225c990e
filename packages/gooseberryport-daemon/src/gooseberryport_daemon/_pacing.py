"""Paces answers to other regions within the capacity of their link."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from gooseberryport_core.messages import Ticket

FRAME_OVERHEAD_BYTES = 64
"""Bytes that the headers of all protocol layers add to a frame on the link."""

ROOM_POLL_INTERVAL_S = 0.05
"""Interval between two attempts to reserve capacity while there is none; seconds."""

ReserveLink = Callable[[Ticket, int], float | None]
"""Reserves link capacity for bytes of a ticket's answer.

Returns the seconds to wait before sending, or None if there is no capacity.
"""


def unlimited(ticket: Ticket, num_bytes: int) -> float | None:
    """Reserve capacity without limit or delay."""
    return 0.0


class Pacer:
    """Delay the frames of one answer until their link has capacity.

    Parameters
    ----------
    reserve
        Reserves link capacity.
    ticket
        The answer's ticket; its deadline limits the wait for capacity.
    """

    def __init__(self, *, reserve: ReserveLink, ticket: Ticket) -> None:
        self._reserve = reserve
        self._ticket = ticket
        self._loop = asyncio.get_running_loop()
        self._deadline = self._loop.time() + ticket.remaining_s

    async def wait_for_room(self, num_bytes: int) -> bool:
        """Wait until a frame may be sent; returns False if the deadline passes first."""
        while True:
            wait_s = self._reserve(self._ticket, num_bytes + FRAME_OVERHEAD_BYTES)
            if wait_s is not None:
                await asyncio.sleep(wait_s)
                return True
            if self._loop.time() + ROOM_POLL_INTERVAL_S >= self._deadline:
                return False
            await asyncio.sleep(ROOM_POLL_INTERVAL_S)
