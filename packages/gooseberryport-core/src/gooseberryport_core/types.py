"""Identifiers, states and enumerations that all parts of the system share."""

from __future__ import annotations

from enum import Enum
from typing import NewType

import msgspec

VmId = NewType("VmId", str)
"""Name of an entry VM, as the platform's VM list gives it."""

Incarnation = NewType("Incarnation", int)
"""Number that is different for every start of a daemon on a VM."""

RegionName = NewType("RegionName", str)
ZoneName = NewType("ZoneName", str)
"""Name of an availability zone."""

ServiceName = NewType("ServiceName", str)
UpstreamId = NewType("UpstreamId", str)
RuleName = NewType("RuleName", str)
"""Name of a shift or drain rule in the configuration."""

RequestId = NewType("RequestId", str)
"""Identifier of a caller's request, issued by the entry daemon."""

TicketId = NewType("TicketId", str)
"""Identifier of one attempt of a request at one owner; unique among all daemons."""

CallId = NewType("CallId", int)
"""Identifier of one call to the key-value store, unique within a daemon."""

Epoch = NewType("Epoch", int)
"""Number of an ownership, which increases with each new owner of a pool."""

ConfigVersion = NewType("ConfigVersion", int)
Revision = NewType("Revision", int)
"""Revision of a key in the key-value store; 0 if the key is absent."""


class PoolId(msgspec.Struct, frozen=True, order=True):
    """Identify the upstreams of one service in one availability zone, or one shard of them.

    Parameters
    ----------
    service
        Service that the upstreams serve.
    zone
        Availability zone of the upstreams.
    shard
        Number of the shard, from 0; pools of ordinary size have a single shard.
    """

    service: ServiceName
    zone: ZoneName
    shard: int = 0

    def __str__(self) -> str:
        return f"{self.service}@{self.zone}#{self.shard}"


class VmState(Enum):
    """State of a VM as the platform's VM list or a heartbeat reports it."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


class Outcome(Enum):
    """Outcome of a request as reported to its caller."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class RefusalReason(Enum):
    """Why a request, or one attempt of it, was refused before it ran."""

    NOT_READY = "not-ready"
    UNKNOWN_SERVICE = "unknown-service"
    BAD_REQUEST = "bad-request"
    TOO_LARGE = "too-large"
    NO_OWNER = "no-owner"
    NOT_OWNER = "not-owner"
    LEASE_LAPSED = "lease-lapsed"
    DEADLINE = "deadline"
    QUEUE_FULL = "queue-full"
    REGION_CAP = "region-cap"
    LINK_FULL = "link-full"
    SHIFT_CAP = "shift-cap"
    NO_UPSTREAM = "no-upstream"
    UNREACHABLE = "unreachable"
    DUPLICATE = "duplicate"
    CLAIM_UNDECIDED = "claim-undecided"
    RETRY_BUDGET = "retry-budget"
    STOPPING = "stopping"
    CANCELLED = "cancelled"


class AttemptOutcome(Enum):
    """How one attempt at an upstream ended."""

    ANSWERED = "answered"
    """A complete answer was received."""

    SHED = "shed"
    """The upstream reported that it did not run the request: 4xx or 5xx with ``X-Not-Run: 1``."""

    NOT_SENT = "not-sent"
    """No byte of the request left this process."""

    UNKNOWN = "unknown"
    """Bytes were sent and no complete answer was received."""


class StoreReach(Enum):
    """Whether a daemon's calls to the key-value store succeed."""

    REACHABLE = "reachable"
    UNREACHABLE = "unreachable"
    UNTRIED = "untried"


class ClaimVerdict(Enum):
    """Whether a request may run under its idempotency key."""

    FIRST = "first"
    """No other request holds the key: this request may run."""

    DUPLICATE = "duplicate"
    """Another request holds the key and is running or has run."""

    LOST = "lost"
    """It can no longer be known whether a request has run under the key."""

    UNDECIDED = "undecided"
    """The deciding daemon or the store did not reply; this request has not run."""
