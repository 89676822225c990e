"""A client's request while it is served, its sends to upstreams, and how these end."""

from __future__ import annotations

import asyncio
from enum import Enum

import msgspec

from gooseberryport_core.decoding import parse_count
from gooseberryport_core.gateway.model import ObjectKey, Route, Tenant
from gooseberryport_core.gateway.refusals import RefusalCause
from gooseberryport_core.gateway.verdicts import Verdict, judge
from gooseberryport_core.types import RegionName, ServiceName, UpstreamId
from gooseberryport_gateway._client_messages import ClientRequest
from gooseberryport_gateway._http_conn import HttpConn
from gooseberryport_gateway._http_response import HttpResponse
from gooseberryport_gateway.errors import LossCause
from gooseberryport_gateway.wire import HeaderNames

MAX_REPORTED_REQUESTS = 1_000_000
"""Highest number of requests that an upstream may report; it accepts far fewer connections."""

MAX_LOAD_VALUES = 4
"""Values of a reported load that are read: running, waiting, slots and speed."""


class AttemptEnd(Enum):
    """How a send to an upstream ended."""

    ANSWERED = "answered"
    FAILED = "failed"
    """The upstream responded with a failure, and may have run the request."""

    SHED = "shed"
    """The upstream reported that it did not run the request."""

    MISDIRECTED = "misdirected"
    """The address belongs to another upstream now."""

    NOT_SENT = "not-sent"
    LOST = "lost"
    """Bytes of the request were sent, and no complete response was received."""

    STALE_CONNECTION = "forgotten"
    """A connection that had been idle was reset soon after the request was sent on it; the upstream
    may have read the request."""


class Attempt(msgspec.Struct):
    """One send to an upstream."""

    end: AttemptEnd
    response: HttpResponse | None = None
    reason: str = ""
    cause: LossCause | None = None
    """What ended the connection, if the response was lost."""

    paused: bool = False
    """Whether the upstream wants no more requests for a time."""

    undone: bool = False
    """Whether the choice of the upstream no longer held when its connection was open."""

    @property
    def was_received(self) -> bool:
        """Whether the upstream received the request, as far as can be known."""
        return self.end in (AttemptEnd.ANSWERED, AttemptEnd.FAILED, AttemptEnd.LOST)

    @property
    def may_have_run(self) -> bool:
        """Whether the upstream may have run the request."""
        return self.was_received or self.end is AttemptEnd.STALE_CONNECTION


class ReportedLoad(msgspec.Struct, frozen=True):
    """What an upstream reported of itself when it responded.

    Parameters
    ----------
    running, waiting
        Requests that ran and waited there.
    speed
        How long work takes there, 100 is normal; None if it is not stated or malformed; percent.
    """

    running: int
    waiting: int
    speed: int | None = None


class Job(msgspec.Struct, eq=False):
    """A client's request while it is being served.

    Parameters
    ----------
    deadline
        Monotonic time at which the client gets a reply at the latest; seconds.
    sent_to
        Upstreams to which the request was sent, in order.
    avoided
        Upstreams to which the request is not sent again.
    conns
        Connections on which it was sent. An upstream may repeat its refusal there, and the id would
        not tell that from the response to another send.
    may_have_run
        Whether an upstream may have run the request.
    return_s
        Time until the first upstream of the service ends its pause, if all pause; seconds.
    retry_s
        Time after which its client should retry, if that follows from its priority level; seconds.
    full_from
        Load per slot from which upstreams count as full for its priority level.
    late_response
        Response that was complete when its time ended.
    given_up
        Whether it gets a final reply because the process exits.
    tenant
        Tenant of the client, or None.
    key_checked
        Whether the configuration had tenants when the client's key was checked.
    placement_key
        Key by which its object is placed, or None.
    marks
        Hashes by which its object may be recorded, the present one first.
    config_number, placed_by, regions
        Number and version of the configuration whose homes bind it, and the regions in which it may
        run; None for all.
    sent_regions
        Regions of the upstreams that it was sent to, in order.
    config_age_s
        Age of that configuration when the request was last placed; seconds.
    depth, last_use_at
        Other objects handled since by the upstream that it was sent to, and the time of the
        object's last use there; None if unknown.
    """

    req: ClientRequest
    request_id: bytes
    route: Route
    service: ServiceName
    key: ObjectKey | None
    deadline: float
    sent_to: list[UpstreamId] = msgspec.field(default_factory=list)
    avoided: set[UpstreamId] = msgspec.field(default_factory=set)
    conns: list[HttpConn] = msgspec.field(default_factory=list)
    may_have_run: bool = False
    sending: bool = False
    load: int = 0
    warm: bool = False
    cause: str = ""
    return_s: float | None = None
    retry_s: float | None = None
    full_from: float = 0.0
    refusal_cause: RefusalCause = RefusalCause.FULL
    last_failure: HttpResponse | None = None
    late_response: HttpResponse | None = None
    timeout: asyncio.Timeout | None = None
    given_up: bool = False
    tenant: Tenant | None = None
    placement_key: ObjectKey | None = None
    marks: tuple[int, ...] = ()
    depth: int | None = None
    last_use_at: float | None = None
    key_checked: bool = False
    config_number: int = 0
    placed_by: int | None = None
    regions: frozenset[RegionName] | None = None
    sent_regions: list[RegionName] = msgspec.field(default_factory=list)
    config_age_s: float = 0.0

    @property
    def has_no_region(self) -> bool:
        """Whether no region may serve the request, as its route and tenant allow different ones."""
        return self.regions is not None and not self.regions

    @property
    def priority(self) -> int:
        """Rank of the request, 0 is the most urgent: its tenant's, or else its route's."""
        if self.tenant is not None and self.tenant.priority is not None:
            return self.tenant.priority
        return self.route.priority

    def is_allowed_in(self, region: RegionName) -> bool:
        """Return whether upstreams of a region may serve the request."""
        return self.regions is None or region in self.regions


_ENDS = {
    Verdict.ANSWER: AttemptEnd.ANSWERED,
    Verdict.FAILURE: AttemptEnd.FAILED,
    Verdict.FALSE_REFUSAL: AttemptEnd.FAILED,
    Verdict.REFUSAL: AttemptEnd.SHED,
    Verdict.MISDIRECTED: AttemptEnd.MISDIRECTED,
    Verdict.INVALID: AttemptEnd.LOST,
}


def classify(response: HttpResponse, *, names: HeaderNames) -> Attempt:
    """Return how a send ended, by its complete response.

    The attempt has the response only if the client may receive it, or if it is a refusal.
    """
    signed = bool(response.header(names.signature))
    not_executed = response.header(names.not_executed) is not None
    encoded = response.header(b"content-encoding") is not None
    verdict = judge(
        status=response.status, signed=signed, not_executed=not_executed, encoded=encoded
    )
    is_kept = verdict in (Verdict.ANSWER, Verdict.FAILURE, Verdict.REFUSAL)
    marks = [
        "signed" if signed else "not signed",
        *(["not executed"] if not_executed else []),
        *(["encoded"] if encoded else []),
    ]
    return Attempt(
        end=_ENDS[verdict],
        response=response if is_kept else None,
        reason=f"{verdict.value}: status {response.status:03}, {', '.join(marks)}",
    )


def reported_load(response: HttpResponse, *, names: HeaderNames) -> ReportedLoad | None:
    """Return the load that an upstream reported in its response, or None."""
    value = response.header(names.load)
    numbers = [
        parse_count(number.strip(), max_count=MAX_REPORTED_REQUESTS)
        for number in (value or b"").split(b",", MAX_LOAD_VALUES)[:MAX_LOAD_VALUES]
    ]
    if len(numbers) < 2 or numbers[0] is None or numbers[1] is None:
        return None
    speed = numbers[3] if len(numbers) > 3 else None
    return ReportedLoad(running=numbers[0], waiting=numbers[1], speed=speed or None)
