"""One caller's request as its entry daemon knows it."""

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
    """Where a client is.

    Parameters
    ----------
    region
        Region nearest to the client.
    block
        Block of the client, for the hash of the shift rules.
    """

    region: RegionName
    block: str


class EntryRequest(msgspec.Struct):
    """One caller's request at its entry.

    Parameters
    ----------
    event, home
        What the caller asked for, and where the caller is.
    arrived_at, deadline
        When it came, and when the caller no longer wants the answer; seconds, monotonic.
    repeatable
        Whether it may run twice.
    claimed
        Whether it holds its idempotency key.
    placement, failed_over
        Region that should serve it, and whether it was counted as served elsewhere.
    pools
        Pools that are still to be asked, best first.
    pool, failed_pools
        Pool of the newest attempt, and those where an attempt failed; a retry tries these
        after the others of their region.
    ticket_id, owner, owner_heard, upstream, body_sent
        The attempt under way: its owner, whether heartbeats of that owner arrived when it was
        offered, the upstream that was granted, and whether it may run.
    ran_before
        Whether an earlier attempt may have run.
    avoid, offers, retries
        Upstreams that failed, owners asked and retries made.
    resume_at
        When it is offered anew after every owner has refused it; seconds, monotonic.
    reason, retry_after_s
        Newest refusal.
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
    offers: int = 0
    resume_at: float = float("inf")
    retries: int = 0
    reason: RefusalReason = RefusalReason.NO_OWNER
    retry_after_s: float = 0.0

    @property
    def may_have_run(self) -> bool:
        """Whether the attempt under way, or an earlier one, may have run."""
        return self.body_sent or self.ran_before


def timeout_of(event: RequestArrived, service: Service) -> float:
    """Return the time that a request is given, within its service's bounds; seconds."""
    wanted = event.timeout_s or service.default_timeout_s
    return min(wanted, service.max_timeout_s)


def not_run(request_id: RequestId, reason: RefusalReason) -> FinishRequest:
    """Return the end of a request that was refused before anything else was done."""
    return FinishRequest(request_id, Outcome.NOT_RUN, TicketId(""), reason)
