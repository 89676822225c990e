"""One ticket at its owner, from its arrival to its end."""

from __future__ import annotations

from enum import Enum

import msgspec

from gooseberryport_core.messages import Ticket
from gooseberryport_core.types import UpstreamId, VmId


class TicketState(Enum):
    """How far a ticket has come at its owner."""

    WAITING = "waiting"
    GRANTED = "granted"
    RUNNING = "running"


class HeldTicket(msgspec.Struct, eq=False):
    """Hold one ticket.

    Parameters
    ----------
    ticket, origin
        The ticket and the entry daemon that sent it.
    arrived_at, deadline
        When it arrived and when its caller gives up; seconds, monotonic.
    upstream
        Upstream whose slot it holds, once granted.
    started_at, expires_at
        When the upstream was started, and when it gives the request up; seconds, monotonic.
    cancelled_at
        When the attempt was broken off; infinity if it was not.
    """

    ticket: Ticket
    origin: VmId
    arrived_at: float
    deadline: float
    state: TicketState = TicketState.WAITING
    upstream: UpstreamId = UpstreamId("")
    started_at: float = 0.0
    expires_at: float = 0.0
    cancelled_at: float = float("inf")
