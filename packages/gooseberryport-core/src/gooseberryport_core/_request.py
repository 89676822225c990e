"""State of one caller's request at its entry daemon."""

from __future__ import annotations

import msgspec

from gooseberryport_core._shifts import Placement
from gooseberryport_core.config import Service
from gooseberryport_core.effects import FinishRequest
from gooseberryport_core.events import RequestArrived
from gooseberryport_core.types import (
    Outcome,
    PoolId,
    RefusalReason,
    RegionName,
    RequestId,
    TicketId,
    UpstreamId,
    VmId,
)


class Home(msgspec.Struct, frozen=True):
    """Location of a client.

    Parameters
    ----------
    region
        Region nearest to the client.
    hash_key
        Hash key of the client, as in `ClientLocation`.
    """

    region: RegionName
    hash_key: str


class EntryRequest(msgspec.Struct):
    """A caller's request at its entry daemon, from its arrival to its end.

    Parameters
    ----------
    event, home
        The request as it arrived, and the location of its client.
    arrived_at, deadline
        Time of its arrival, and time by which it must be answered; seconds, monotonic.
    repeatable
        Whether it may run more than once.
    claimed
        Whether it holds its idempotency key.
    placement, failed_over
        Region that should serve it, and whether it was counted as a failover to another region.
    pools
        Pools that it can still be offered to, best first.
    pool, failed_pools
        Pool of the newest attempt, and pools where an attempt failed; a retry tries these
        after the others of their region.
    ticket_id, owner, owner_was_reachable, upstream, body_sent
        The current attempt: its owner, whether that owner's heartbeats were current when the
        ticket was offered, the upstream that was granted, and whether the body was sent, so that
        it may run.
    ran_before
        Whether an earlier attempt may have run.
    silent_tickets, given_up_reason
        Earlier attempts whose owners' heartbeats have stopped and which may still be answered, and
        why the request is not offered again, if only they are left.
    answer_started
        Whether the caller has been sent a part of the current attempt's answer.
    avoid, offers, retries
        Upstreams of earlier attempts, number of owners it was offered to since the last wait for
        a handover, and number of retries.
    resume_at
        Time at which it is offered again after every owner has refused it; seconds, monotonic.
    reason, retry_after_s
        Reason and suggested delay of the newest refusal; the delay in seconds.
    """

    event: RequestArrived
    arrived_at: float
    deadline: float
    repeatable: bool
    home: Home
    claimed: bool = False
    placement: Placement | None = None
    pools: list[PoolId] = msgspec.field(default_factory=list)
    pool: PoolId | None = None
    failed_pools: tuple[PoolId | None, ...] = ()
    ticket_id: TicketId = TicketId("")
    owner: VmId = VmId("")
    owner_was_reachable: bool = False
    upstream: UpstreamId = UpstreamId("")
    avoid: tuple[UpstreamId, ...] = ()
    failed_over: bool = False
    body_sent: bool = False
    ran_before: bool = False
    silent_tickets: tuple[TicketId, ...] = ()
    given_up_reason: RefusalReason | None = None
    answer_started: bool = False
    offers: int = 0
    resume_at: float = float("inf")
    retries: int = 0
    reason: RefusalReason = RefusalReason.NO_OWNER
    retry_after_s: float = 0.0

    @property
    def may_have_run(self) -> bool:
        """Whether the current attempt or an earlier one may have run."""
        return self.body_sent or self.ran_before or bool(self.silent_tickets)


def timeout_of(event: RequestArrived, service: Service) -> float:
    """Return a request's timeout: its own or its service's default, up to the maximum; seconds."""
    requested_s = event.timeout_s or service.default_timeout_s
    return min(requested_s, service.max_timeout_s)


def not_run(request_id: RequestId, reason: RefusalReason) -> FinishRequest:
    """Return the end of a request that is refused at its arrival."""
    return FinishRequest(request_id, Outcome.NOT_RUN, TicketId(""), reason)
