"""Messages between daemons.

Each attempt has a gRPC stream of its own, which carries its ticket, the reply and the body. All
other messages are sent as datagrams, so each must fit into `MAX_DATAGRAM_BYTES` once encoded.
"""

from __future__ import annotations

import msgspec

from gooseberryport_core.decoding import InputError, decode_with
from gooseberryport_core.types import (
    ClaimVerdict,
    ConfigVersion,
    Epoch,
    Incarnation,
    PoolId,
    RefusalReason,
    RegionName,
    RequestId,
    ServiceName,
    StoreReach,
    TicketId,
    UpstreamId,
    VmId,
    VmState,
    ZoneName,
)

MAX_DATAGRAM_BYTES = 1_200
"""Largest datagram that common network paths carry without IP fragmentation."""


class _Message(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Base class that sets the wire form of all messages."""


class Ticket(_Message, frozen=True):
    """Request a slot from the owner of a pool.

    Parameters
    ----------
    ticket_id
        Identifier of this attempt.
    pool, epoch
        Pool whose owner receives the ticket, and the pool's epoch as the sender knows it.
    remaining_s
        Time left until the caller's deadline when the ticket was sent; seconds.
    repeatable
        Whether the request may run more than once.
    first_try
        False for a retry, which never displaces a first attempt from the queue.
    body_bytes, answer_bytes
        Size of the request's body and estimated size of the answer's, for the link budgets.
    source
        Region of the entry daemon.
    reserved
        Upstream at which a `Pull` has reserved a slot for this ticket; empty for none.
    key
        Idempotency key; empty for none.
    avoid
        Upstreams at which an attempt of this request has just failed.
    """

    ticket_id: TicketId
    pool: PoolId
    epoch: Epoch
    remaining_s: float
    repeatable: bool
    first_try: bool
    body_bytes: int
    answer_bytes: int
    source: RegionName
    reserved: UpstreamId = UpstreamId("")
    key: str = ""
    avoid: tuple[UpstreamId, ...] = ()


class Granted(_Message, frozen=True):
    """Report to the entry daemon that a slot is reserved and the body may be sent."""

    ticket_id: TicketId
    upstream: UpstreamId


class Refused(_Message, frozen=True):
    """Report to the entry daemon that the request did not run at this owner, and why.

    Parameters
    ----------
    retry_after_s
        Delay after which a retry may succeed; seconds.
    """

    ticket_id: TicketId
    reason: RefusalReason
    retry_after_s: float = 0.0


class Moved(_Message, frozen=True):
    """Report to the entry daemon that another owner has reserved a slot for the ticket."""

    ticket_id: TicketId
    vm: VmId
    pool: PoolId
    epoch: Epoch
    upstream: UpstreamId


class Pull(_Message, frozen=True):
    """Request one of the queued requests of a pool from its owner.

    Parameters
    ----------
    pool
        Pool from whose queue a request is wanted.
    offer_pool, offer_epoch, upstream
        Pool, its epoch and the upstream at which the sender has reserved a slot for the request.
    serial
        Sequence number of the pull at its sender.
    region
        Region of the sender.
    """

    pool: PoolId
    offer_pool: PoolId
    offer_epoch: Epoch
    upstream: UpstreamId
    serial: int
    region: RegionName


class PullReply(_Message, frozen=True):
    """Reply to a `Pull` with the ticket that will be moved, or an empty identifier for none.

    Parameters
    ----------
    queued
        Requests that are still queued in the pool.
    """

    serial: int
    ticket_id: TicketId = TicketId("")
    queued: int = 0


class PoolLoad(_Message, frozen=True):
    """Report the load of a pool.

    Parameters
    ----------
    slots, busy
        Number of usable slots and of those that are taken.
    queued
        Number of queued requests.
    oldest_s
        Time for which the oldest queued request has waited; seconds.
    service_s
        Mean time that an upstream takes for a request; seconds, 0 if not measured yet.
    failing
        Whether every upstream of the pool fails or sheds the requests that it receives.
    """

    pool: PoolId
    epoch: Epoch
    slots: int
    busy: int
    queued: int
    oldest_s: float
    service_s: float = 0.0
    failing: bool = False


class Heartbeat(_Message, frozen=True):
    """Report to a peer that the sender is running, and its view of the system.

    Parameters
    ----------
    vm, incarnation, zone, region
        Identity and place of the sender.
    state
        `VmState.LEAVING` once a planned stop has begun.
    serial
        Sequence number of the heartbeat at its sender.
    heard
        No longer used; always empty.
    store
        Whether the sender reaches the key-value store.
    store_witness
        Whether any member whose heartbeats the sender receives reports that it reaches the store.
    lease_stamp
        Newest lease stamp that the sender issued.
    table_revision
        Newest revision of the region's ownership table that the sender has seen.
    table_shape
        Number of that table's shape, which stays the same while only lease stamps change.
    config_version
        Version of the newest configuration that the sender holds.
    pools
        Load of the pools that the sender owns.
    address, http_address
        ``IP:port`` at which the sender accepts peers, and at which it accepts callers.
    key_prefix
        Prefix of the idempotency keys whose claims the sender decides; see `_claims`.
    """

    vm: VmId
    incarnation: Incarnation
    zone: ZoneName
    region: RegionName
    state: VmState
    serial: int
    heard: tuple[VmId, ...]
    store: StoreReach
    store_witness: bool
    lease_stamp: int
    table_revision: int
    config_version: ConfigVersion
    pools: tuple[PoolLoad, ...]
    address: str
    http_address: str
    key_prefix: str = ""
    table_shape: int = 0


class TableNotice(_Message, frozen=True):
    """Pass on a part of a region's ownership table as the key-value store holds it.

    Parameters
    ----------
    table
        The part of the encoded table that starts at byte `offset`.
    total
        Length of the whole encoded table in bytes.
    writer
        VM that wrote the table and is the root of its distribution; empty in a reply to a
        `TableRequest`.
    """

    region: RegionName
    revision: int
    table: bytes
    offset: int = 0
    total: int = 0
    writer: VmId = VmId("")


class TableStamps(_Message, frozen=True):
    """Pass on a newer revision of a table in which only the lease stamps changed.

    Parameters
    ----------
    shape
        Number of the table's shape; the receiver must hold a table of this shape.
    writer
        VM that wrote the table and is the root of its distribution.
    stamps
        Lease stamp of each member, in the table's order.
    """

    region: RegionName
    revision: int
    shape: int
    writer: VmId
    stamps: tuple[int, ...]


class LeaseAsk(_Message, frozen=True):
    """Ask a witness to vote for the extension of a lease past its end.

    Parameters
    ----------
    vm, incarnation
        The lease holder.
    stamp
        Newest lease stamp of the holder, which the reply repeats.
    revision
        Revision of the newest table that the holder knows.
    valid_s
        Time for which the holder counts a `LeaseYes`, from the issue of the stamp; seconds.
    """

    region: RegionName
    vm: VmId
    incarnation: Incarnation
    stamp: int
    revision: int
    valid_s: float


class LeaseYes(_Message, frozen=True):
    """Vote for a lease extension: the witness knows no newer table than the lease holder."""

    region: RegionName
    vm: VmId
    incarnation: Incarnation
    stamp: int


class FenceAsk(_Message, frozen=True):
    """Report a table revision to a witness, so that it no longer votes under older tables."""

    region: RegionName
    revision: int


class FenceAck(_Message, frozen=True):
    """Confirm that the witness no longer votes for lease extensions under tables before `revision`.

    Parameters
    ----------
    vm, incarnation
        The witness.
    yes_left_s
        Time for which the last `LeaseYes` that it sent may still be counted; seconds, negative
        once that time has passed.
    """

    region: RegionName
    vm: VmId
    incarnation: Incarnation
    revision: int
    yes_left_s: float


class TableRequest(_Message, frozen=True):
    """Request a region's ownership table from a peer if it is newer than `revision`."""

    region: RegionName
    revision: int


class ConfigRequest(_Message, frozen=True):
    """Request pieces of a configuration's head, or of one of its parts, from a peer.

    Parameters
    ----------
    version
        Version that is requested; a newer head is accepted too.
    offset
        Byte offset of the first missing piece.
    digest
        Digest of the part; empty for the head.
    """

    version: ConfigVersion
    offset: int
    digest: str = ""


class ConfigPiece(_Message, frozen=True):
    """Pass on a piece of a configuration's head, or of one of its parts.

    Parameters
    ----------
    version
        Version of the head; 0 for a part.
    digest
        Digest of the complete head or part.
    total
        Length of the complete head or part in bytes.
    """

    version: ConfigVersion
    digest: str
    offset: int
    total: int
    data: bytes


class ZoneSummary(_Message, frozen=True):
    """Pass the heartbeats that a daemon received in its zone on to another zone.

    No daemon sends this message; ownership and configuration still read the heartbeats in it.
    """

    zone: ZoneName
    heartbeats: tuple[Heartbeat, ...]


class ServiceCount(_Message, frozen=True):
    """Number of a service's requests at one daemon since it started."""

    service: ServiceName
    total: int
    slow: int
    failed: int


class CountNotice(_Message, frozen=True):
    """Report the counts of one run of a daemon to a writer of the region's burn record."""

    vm: VmId
    incarnation: Incarnation
    counts: tuple[ServiceCount, ...]


class ClaimAsk(_Message, frozen=True):
    """Ask the daemon that decides an idempotency key whether a request may run under the key.

    Parameters
    ----------
    key
        The idempotency key.
    request_id
        The request; a repeated `ClaimAsk` for the same request gets the same reply.
    vm
        VM that sends the message.
    """

    key: str
    request_id: RequestId
    vm: VmId


class ClaimReply(_Message, frozen=True):
    """Reply to a `ClaimAsk`."""

    request_id: RequestId
    verdict: ClaimVerdict


class ClaimEnd(_Message, frozen=True):
    """Report to the deciding daemon how the request that holds a key ended.

    Parameters
    ----------
    ran
        False only if the request provably did not run; the key then becomes free again.
    """

    key: str
    request_id: RequestId
    ran: bool


Message = (
    Pull
    | PullReply
    | Heartbeat
    | TableNotice
    | TableRequest
    | TableStamps
    | LeaseAsk
    | LeaseYes
    | FenceAsk
    | FenceAck
    | ConfigRequest
    | ConfigPiece
    | ZoneSummary
    | ClaimAsk
    | ClaimReply
    | ClaimEnd
    | CountNotice
)
TicketReply = Granted | Refused | Moved

_encoder = msgspec.msgpack.Encoder()
_message_decoder = msgspec.msgpack.Decoder(Message)


def encode_message(message: Message) -> bytes:
    """Return the wire form of a datagram message."""
    return _encoder.encode(message)


def decode_message(data: bytes) -> Message | None:
    """Return the message in a datagram, or None if it is not a valid message."""
    try:
        return decode_with(_message_decoder.decode, data)
    except InputError:
        return None
