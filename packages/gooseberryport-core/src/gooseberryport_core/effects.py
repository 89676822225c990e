"""What a daemon's decisions ask of the world: effects, in the order in which they must happen."""

from __future__ import annotations

from enum import Enum

import msgspec

from gooseberryport_core.events import ClaimDecided
from gooseberryport_core.messages import Message, Ticket, TicketReply
from gooseberryport_core.types import (
    CallId,
    Outcome,
    RefusalReason,
    RequestId,
    Revision,
    TicketId,
    UpstreamId,
    VmId,
)


class _Effect(msgspec.Struct, frozen=True):
    """Common form of the effects."""


class SendTicket(_Effect, frozen=True):
    """Open a stream to an owner at `address` and send it a ticket.

    Parameters
    ----------
    inline_body
        Whether the body goes along with the ticket, so that the request may run as soon as the
        owner grants it. A stream that breaks without a reply is then an attempt of unknown end.
    request_id
        The caller's request behind the ticket.
    """

    vm: VmId
    address: str
    ticket: Ticket
    inline_body: bool = False
    request_id: RequestId = RequestId("")


class SendTicketReply(_Effect, frozen=True):
    """Answer a ticket on its stream; after `Refused` and `Moved` the stream ends."""

    vm: VmId
    reply: TicketReply


class SendBody(_Effect, frozen=True):
    """Send the request behind a ticket to its owner; from here on it may run."""

    request_id: RequestId
    ticket_id: TicketId


class CancelTicket(_Effect, frozen=True):
    """Give a ticket up at its owner."""

    ticket_id: TicketId


class StartUpstreamAttempt(_Effect, frozen=True):
    """Run a request at an upstream now.

    Parameters
    ----------
    request_id
        The caller's request if this daemon is its entry; empty if the body comes from a peer.
    timeout_s
        Time that the attempt may take; it goes to the upstream as its deadline.
    fresh
        Whether a connection that may have been closed meanwhile must not be used.
    """

    ticket_id: TicketId
    request_id: RequestId
    upstream: UpstreamId
    address: str
    timeout_s: float
    fresh: bool


class CancelUpstreamAttempt(_Effect, frozen=True):
    """Break an attempt off; its end is still reported by `UpstreamAttemptEnded`."""

    ticket_id: TicketId


class FinishRequest(_Effect, frozen=True):
    """Tell the caller the end of its request.

    Parameters
    ----------
    ticket_id
        Attempt whose answer is delivered, for `Outcome.ANSWERED`.
    reason
        Why it was refused, else None.
    retry_after_s
        Time after which asking again makes sense; seconds, 0 for no word.
    """

    request_id: RequestId
    outcome: Outcome
    ticket_id: TicketId
    reason: RefusalReason | None = None
    retry_after_s: float = 0.0


class SendMessage(_Effect, frozen=True):
    """Send a datagram to a peer at ``IP:port``."""

    address: str
    message: Message


class StoreGet(_Effect, frozen=True):
    """Read a key."""

    call_id: CallId
    key: str


class StoreList(_Effect, frozen=True):
    """Read every key under a prefix."""

    call_id: CallId
    prefix: str


class StoreSwap(_Effect, frozen=True):
    """Write a key if its revision is still `expected`; 0 creates it if absent."""

    call_id: CallId
    key: str
    value: bytes
    expected: Revision


class StoreWatch(_Effect, frozen=True):
    """Wait until a key's revision is above `after`, for `wait_s` seconds at most, then read it."""

    call_id: CallId
    key: str
    after: Revision
    wait_s: float


class LogLevel(Enum):
    """Weight of a log event."""

    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class LogEvent(_Effect, frozen=True):
    """Write a numbered log event; `number` stands in docs/events.md."""

    number: int
    level: LogLevel
    text: str
    fields: dict[str, str] = {}


class CountMetric(_Effect, frozen=True):
    """Add to a counter."""

    name: str
    value: int = 1


class ConfigChanged(_Effect, frozen=True):
    """A newer configuration is in force in this daemon."""

    version: int


class DispatchEvent(_Effect, frozen=True):
    """Hand a decision to another part of the same node; it never leaves `Node`."""

    event: ClaimDecided


class Exit(_Effect, frozen=True):
    """Everything is done after `StopRequested`: the process may end."""


Effect = (
    SendTicket
    | SendTicketReply
    | SendBody
    | CancelTicket
    | StartUpstreamAttempt
    | CancelUpstreamAttempt
    | FinishRequest
    | SendMessage
    | StoreGet
    | StoreList
    | StoreSwap
    | StoreWatch
    | LogEvent
    | CountMetric
    | ConfigChanged
    | DispatchEvent
    | Exit
)
