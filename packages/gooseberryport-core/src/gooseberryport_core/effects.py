"""Effects that `Node.handle` returns, for its caller to carry out in order."""

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
    """Base class of all effects."""


class SendTicket(_Effect, frozen=True):
    """Open a stream to an owner at `address` and send it a ticket.

    Parameters
    ----------
    inline_body
        Whether the body is sent along with the ticket, so that the request may run as soon as
        the owner grants the ticket. If the stream then breaks without a reply, the outcome of the
        attempt is unknown.
    request_id
        The caller's request to which the ticket belongs.
    """

    vm: VmId
    address: str
    ticket: Ticket
    inline_body: bool = False
    request_id: RequestId = RequestId("")


class SendTicketReply(_Effect, frozen=True):
    """Reply to a ticket on its stream; after `Refused` or `Moved` the stream ends."""

    vm: VmId
    reply: TicketReply


class SendBody(_Effect, frozen=True):
    """Send the body of a ticket's request to the owner; once it is sent, the request may run."""

    request_id: RequestId
    ticket_id: TicketId


class CancelTicket(_Effect, frozen=True):
    """Cancel a ticket at its owner."""

    ticket_id: TicketId


class StartUpstreamAttempt(_Effect, frozen=True):
    """Start an attempt of a request at an upstream.

    Parameters
    ----------
    request_id
        The caller's request if this daemon is its entry daemon; empty if a peer sends the body.
    timeout_s
        Time limit of the attempt; it is sent to the upstream as its deadline.
    fresh
        Whether to open a new connection, because a kept one may have been closed meanwhile.
    """

    ticket_id: TicketId
    request_id: RequestId
    upstream: UpstreamId
    address: str
    timeout_s: float
    fresh: bool


class CancelUpstreamAttempt(_Effect, frozen=True):
    """Cancel an attempt at an upstream; `UpstreamAttemptEnded` still reports its end."""

    ticket_id: TicketId


class FinishRequest(_Effect, frozen=True):
    """Reply to the caller with the outcome of its request.

    Parameters
    ----------
    ticket_id
        Attempt whose answer is delivered, for `Outcome.ANSWERED`.
    reason
        Why the request was refused, or None.
    retry_after_s
        Delay after which a retry may succeed; seconds, 0 if none is stated.
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
    """Read a key from the key-value store."""

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
    """Severity of a log event."""

    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class LogEvent(_Effect, frozen=True):
    """Write a numbered log event; docs/events.md explains each `number`."""

    number: int
    level: LogLevel
    text: str
    fields: dict[str, str] = {}


class CountMetric(_Effect, frozen=True):
    """Add `value` to a counter metric."""

    name: str
    value: int = 1


class ConfigChanged(_Effect, frozen=True):
    """Report that a newer configuration is in force in this daemon."""

    version: int


class DispatchEvent(_Effect, frozen=True):
    """Pass an event to another component of the same node; `Node` handles this effect itself."""

    event: ClaimDecided


class Exit(_Effect, frozen=True):
    """Report that the stop after `StopRequested` is complete and the process may exit."""


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
