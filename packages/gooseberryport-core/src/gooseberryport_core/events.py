"""What a daemon's decisions are fed: events, each handled at a time that the caller names.

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
    """Common form of the events."""


class Tick(_Event, frozen=True):
    """Let time pass; `wall` is the wall clock in seconds since 1970-01-01 UTC."""

    wall: float


class RequestArrived(_Event, frozen=True):
    """A caller's request has its headers read.

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
    """The caller has gone."""

    request_id: RequestId


class TicketArrived(_Event, frozen=True):
    """An entry daemon asks for a slot."""

    vm: VmId
    ticket: Ticket


class TicketReplied(_Event, frozen=True):
    """An owner replied to a ticket of ours."""

    vm: VmId
    reply: TicketReply


class BodyArrived(_Event, frozen=True):
    """The request behind a granted ticket may start: its body is here or on its way."""

    ticket_id: TicketId


class TicketCancelled(_Event, frozen=True):
    """The entry daemon has given a ticket up, or its stream has broken."""

    ticket_id: TicketId


class UpstreamAttemptEnded(_Event, frozen=True):
    """An upstream's attempt ended, at its owner.

    Parameters
    ----------
    status
        HTTP status; 0 if none came.
    answer_bytes
        Length of the answer's body.
    duration_s
        Time from the start of the attempt; seconds.
    connected
        Whether a connection could be made at all.
    """

    ticket_id: TicketId
    outcome: AttemptOutcome
    status: int
    answer_bytes: int
    duration_s: float
    connected: bool = True


class AttemptEnded(_Event, frozen=True):
    """An attempt ended, at its entry daemon; a broken stream after the body left is unknown."""

    ticket_id: TicketId
    outcome: AttemptOutcome
    status: int
    answer_bytes: int


class PeerUnreachable(_Event, frozen=True):
    """A ticket could not be carried to an owner; nothing of the body left."""

    vm: VmId
    ticket_id: TicketId


class MessageArrived(_Event, frozen=True):
    """A datagram arrived from a peer."""

    message: Message
    address: str


class ListedVm(_Event, frozen=True):
    """One line of the platform's VM list.

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
    """An upstream's own load report was read.

    Parameters
    ----------
    in_flight
        Requests that it says it runs.
    leaving
        Whether it says that it is leaving.
    age_s
        Age of the report, by its own word; seconds.
    """

    upstream: UpstreamId
    in_flight: int
    leaving: bool
    age_s: float


class StoreValue(_Event, frozen=True):
    """A key's value and revision; revision 0 and an empty value for an absent key."""

    key: str
    value: bytes
    revision: Revision


class StoreGot(_Event, frozen=True):
    """A read succeeded; `values` holds one entry, or one for each key of a listing."""

    call_id: CallId
    values: tuple[StoreValue, ...]


class StoreWritten(_Event, frozen=True):
    """A compare-and-swap was answered; `current` is the key as it stands afterwards."""

    call_id: CallId
    applied: bool
    current: StoreValue


class StoreFailed(_Event, frozen=True):
    """A call failed; `ambiguous` if it may have taken effect, or may yet."""

    call_id: CallId
    ambiguous: bool


class ClaimDecided(_Event, frozen=True):
    """The idempotency key of a caller's request was decided."""

    request_id: RequestId
    verdict: ClaimVerdict


class StopRequested(_Event, frozen=True):
    """The platform or an operator asks for a graceful stop."""


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
