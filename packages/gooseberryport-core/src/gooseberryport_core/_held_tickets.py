"""State of one ticket at the owner of its pool."""

from __future__ import annotations

from enum import Enum

import msgspec

from gooseberryport_core.messages import Ticket
from gooseberryport_core.types import UpstreamId, VmId


class TicketState(Enum):
    """Progress of a ticket at its owner."""

    WAITING = "waiting"
    GRANTED = "granted"
    RUNNING = "running"


class HeldTicket(msgspec.Struct, eq=False):
    """A ticket that an owner holds, from its arrival to its end.

    Parameters
    ----------
    ticket, origin
        The ticket, and the entry daemon that sent it.
    arrived_at, deadline
        Time at which the ticket arrived, and time by which the upstream must have answered;
        seconds, monotonic. The deadline is the arrival plus the ticket's remaining time, less the
        network delay of the ticket from the entry daemon and of the answer back.
    upstream
        Upstream whose slot the ticket holds, once granted.
    started_at, expires_at
        Time at which the request was sent to the upstream, and time at which the upstream gives
        up the request; seconds, monotonic.
    cancelled_at
        Time at which the attempt was cancelled; infinity if it was not.
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
