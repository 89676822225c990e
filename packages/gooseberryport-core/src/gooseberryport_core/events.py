"""Events that `Node.handle` takes as its input.

All times are seconds on the monotonic clock that the caller of `Node.handle` uses.
"""

from __future__ import annotations

import msgspec

from gooseberryport_core.messages import Message, Ticket, TicketReply
from gooseberryport_core.types import (
    AttemptOutcome,
    CallId,
    ClaimVerdict,
    Incarnation,
    RequestId,
    Revision,
    ServiceName,
    TicketId,
    UpstreamId,
    VmId,
    VmState,
    ZoneName,
)


class _Event(msgspec.Struct, frozen=True):
    """Base class of all events."""


class Tick(_Event, frozen=True):
    """Time has passed; `wall` is the wall clock in seconds since 1970-01-01 UTC."""

    wall: float


class RequestArrived(_Event, frozen=True):
    """The headers of a caller's request were read.

    Parameters
    ----------
    client
        IP address of the caller.
    method
        HTTP method.
    timeout_s
        Time that the caller allows; 0 for the service's default.
    key
        Idempotency key; empty for none.
    body_bytes
        Length of the body.
    """

    request_id: RequestId
    service: ServiceName
    client: str
    method: str
    timeout_s: float = 0.0
    key: str = ""
    body_bytes: int = 0


class RequestCancelled(_Event, frozen=True):
    """The caller closed the connection before its request ended."""

    request_id: RequestId


class TicketArrived(_Event, frozen=True):
    """A ticket arrived: an entry daemon requests a slot."""

    vm: VmId
    ticket: Ticket


class TicketReplied(_Event, frozen=True):
    """An owner replied to a ticket that this daemon sent."""

    vm: VmId
    reply: TicketReply


class BodyArrived(_Event, frozen=True):
    """The request of a granted ticket may start: its body has arrived or is being received."""

    ticket_id: TicketId


class TicketCancelled(_Event, frozen=True):
    """The entry daemon cancelled a ticket, or the ticket's stream broke."""

    ticket_id: TicketId


class UpstreamAttemptEnded(_Event, frozen=True):
    """An attempt at an upstream ended, reported at the owner.

    Parameters
    ----------
    status
        HTTP status; 0 if none was received.
    answer_bytes
        Length of the answer's body.
    duration_s
        Time from the start of the attempt; seconds.
    connected
        Whether a connection to the upstream could be made.
    """

    ticket_id: TicketId
    outcome: AttemptOutcome
    status: int
    answer_bytes: int
    duration_s: float
    connected: bool = True


class AttemptEnded(_Event, frozen=True):
    """An attempt ended, reported at the entry daemon.

    If the stream breaks after body bytes were sent, the outcome is `AttemptOutcome.UNKNOWN`.
    """

    ticket_id: TicketId
    outcome: AttemptOutcome
    status: int
    answer_bytes: int


class AnswerStarted(_Event, frozen=True):
    """The caller is sent the beginning of an attempt's answer; no other answer can replace it."""

    ticket_id: TicketId


class PeerUnreachable(_Event, frozen=True):
    """A ticket could not be sent to an owner; no byte of the body was sent."""

    vm: VmId
    ticket_id: TicketId


class MessageArrived(_Event, frozen=True):
    """A datagram arrived from a peer."""

    message: Message
    address: str


class ListedVm(_Event, frozen=True):
    """One VM of the platform's VM list.

    Parameters
    ----------
    address
        ``IP:port`` of the daemon's peer port.
    """

    vm: VmId
    zone: ZoneName
    state: VmState
    address: str
    incarnation: Incarnation = Incarnation(0)


class VmListArrived(_Event, frozen=True):
    """The platform's VM list was read."""

    vms: tuple[ListedVm, ...]


class LoadReported(_Event, frozen=True):
    """The load report of an upstream was read.

    Parameters
    ----------
    in_flight
        Number of requests that the upstream reports as running.
    leaving
        Whether the upstream reports that it is leaving.
    age_s
        Age of the report as the report itself states it; seconds.
    """

    upstream: UpstreamId
    in_flight: int
    leaving: bool
    age_s: float


class StoreValue(_Event, frozen=True):
    """Value and revision of a key; an absent key has revision 0 and an empty value."""

    key: str
    value: bytes
    revision: Revision


class StoreGot(_Event, frozen=True):
    """A read of the store succeeded; `values` has one entry, or one for each key of a listing."""

    call_id: CallId
    values: tuple[StoreValue, ...]


class StoreWritten(_Event, frozen=True):
    """A compare-and-swap completed; `current` is the key's value and revision afterwards."""

    call_id: CallId
    applied: bool
    current: StoreValue


class StoreFailed(_Event, frozen=True):
    """A call to the store failed; `ambiguous` if it may have taken effect or still may."""

    call_id: CallId
    ambiguous: bool


class ClaimDecided(_Event, frozen=True):
    """The claim of a caller's request to its idempotency key was decided."""

    request_id: RequestId
    verdict: ClaimVerdict


class StopRequested(_Event, frozen=True):
    """The platform or an operator requests a graceful stop."""


Event = (
    Tick
    | RequestArrived
    | RequestCancelled
    | TicketArrived
    | TicketReplied
    | BodyArrived
    | TicketCancelled
    | UpstreamAttemptEnded
    | AttemptEnded
    | AnswerStarted
    | PeerUnreachable
    | MessageArrived
    | VmListArrived
    | LoadReported
    | StoreGot
    | StoreWritten
    | StoreFailed
    | ClaimDecided
    | StopRequested
)
