"""Messages between daemons.

Tickets, their replies and bodies travel on a gRPC stream for each attempt; the rest travel as
datagrams, so each must fit into `MAX_DATAGRAM_BYTES` once encoded.
"""

from __future__ import annotations

import msgspec

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
"""Longest datagram that no usual path cuts into pieces."""


class _Message(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Common wire form of the messages."""


class Ticket(_Message, frozen=True):
    """Ask an owner for a slot.

    Parameters
    ----------
    ticket_id
        Identifier of this attempt.
    pool, epoch
        Pool that is asked, and the ownership that the sender believes in.
    remaining_s
        Time left until the caller's deadline when the ticket was sent; seconds.
    repeatable
        Whether the request may run twice.
    first_try
        False for a retry, which never displaces a first try.
    body_bytes, answer_bytes
        Size of the request's body and estimate of the answer's, for the link budgets.
    source
        Region of the entry daemon.
    reserved
        Upstream whose slot a `Pull` has reserved for this ticket; empty for none.
    key
        Idempotency key; empty for none.
    avoid
        Upstreams where this request has just failed.
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
    """Tell the entry daemon that a slot is reserved and the body may come."""

    ticket_id: TicketId
    upstream: UpstreamId


class Refused(_Message, frozen=True):
    """Tell the entry daemon that the request did not run here, and why.

    Parameters
    ----------
    retry_after_s
        Time after which asking again makes sense; seconds.
    """

    ticket_id: TicketId
    reason: RefusalReason
    retry_after_s: float = 0.0


class Moved(_Message, frozen=True):
    """Tell the entry daemon that another owner has reserved a slot for the ticket."""

    ticket_id: TicketId
    vm: VmId
    pool: PoolId
    epoch: Epoch
    upstream: UpstreamId


class Pull(_Message, frozen=True):
    """Ask the owner of a pool with waiting requests for one of them.

    Parameters
    ----------
    pool
        Pool whose queue is asked.
    offer_pool, offer_epoch, upstream
        Slot that the sender has reserved for it.
    serial
        Number of the ask at its sender.
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
    """Answer a `Pull`: the ticket that will come, or an empty name for nothing.

    Parameters
    ----------
    queued
        Requests that still wait in the pool that was asked.
    """

    serial: int
    ticket_id: TicketId = TicketId("")
    queued: int = 0


class PoolLoad(_Message, frozen=True):
    """Tell how busy a pool is.

    Parameters
    ----------
    slots, busy
        Usable slots and those taken.
    queued
        Requests that wait.
    oldest_s
        Age of the longest wait; seconds.
    service_s
        Mean time that an upstream takes for a request; seconds, 0 if not measured yet.
    failing
        Whether each of its upstreams fails or sheds what it gets.
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
    """Tell a peer that the sender lives, and what it knows.

    Parameters
    ----------
    vm, incarnation, zone, region
        Who sends.
    state
        `VmState.LEAVING` from the planned stop on.
    serial
        Number of the heartbeat at its sender.
    heard
        Not used any more; empty.
    store
        Whether the sender reaches the key-value service.
    store_witness
        Whether any member it hears says that it reaches the service.
    lease_stamp
        Number of the newest lease renewal that the sender asks for.
    table_revision
        Newest revision of the region's ownership table that the sender has seen.
    table_shape
        Number of that table's shape, which stays the same while only stamps change.
    config_version
        Newest configuration that the sender holds.
    pools
        Load of the pools that the sender owns.
    address, http_address
        ``IP:port`` of the sender's peer port and of its callers' port.
    key_prefix
        Prefix of the idempotency keys that the sender decides; see `_claims`.
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
    """Pass on a piece of a region's ownership table as the key-value service holds it.

    Parameters
    ----------
    table
        The piece that starts at `offset`.
    total
        Length of the whole table in bytes.
    writer
        VM that wrote it, from which it is spread; empty in an answer to a `TableRequest`.
    """

    region: RegionName
    revision: int
    table: bytes
    offset: int = 0
    total: int = 0
    writer: VmId = VmId("")


class TableStamps(_Message, frozen=True):
    """Pass on a newer revision of a table of which nothing changed but the lease stamps.

    Parameters
    ----------
    shape
        Number of the table's shape; the receiver must hold a table of this shape.
    writer
        VM that wrote it, from which it is spread.
    stamps
        Stamp of each member, in the table's order.
    """

    region: RegionName
    revision: int
    shape: int
    writer: VmId
    stamps: tuple[int, ...]


class LeaseAsk(_Message, frozen=True):
    """Ask a witness whether a holder may go on past its lease.

    Parameters
    ----------
    vm, incarnation
        The holder.
    stamp
        Its newest lease stamp, which the answer repeats.
    revision
        Newest table that it knows.
    valid_s
        Time for which it will count a yes, from the issue of the stamp; seconds.
    """

    region: RegionName
    vm: VmId
    incarnation: Incarnation
    stamp: int
    revision: int
    valid_s: float


class LeaseYes(_Message, frozen=True):
    """Tell a holder that this witness knows of no newer table than the holder's."""

    region: RegionName
    vm: VmId
    incarnation: Incarnation
    stamp: int


class FenceAsk(_Message, frozen=True):
    """Tell a witness of a table, so that no holder goes on under an older one."""

    region: RegionName
    revision: int


class FenceAck(_Message, frozen=True):
    """Promise to let no holder go on under a table older than `revision`.

    Parameters
    ----------
    vm, incarnation
        The witness.
    yes_left_s
        Time for which the last yes that it gave may still be counted; seconds, negative since it
        has ended.
    """

    region: RegionName
    vm: VmId
    incarnation: Incarnation
    revision: int
    yes_left_s: float


class TableRequest(_Message, frozen=True):
    """Ask a peer for a region's ownership table, if newer than `revision`."""

    region: RegionName
    revision: int


class ConfigRequest(_Message, frozen=True):
    """Ask a peer for pieces of a configuration's head, or of one of its parts.

    Parameters
    ----------
    version
        Version that is wanted; a newer head will do.
    offset
        Offset of the first piece that is missing.
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
        Digest of the whole head or part.
    total
        Length of the whole in bytes.
    """

    version: ConfigVersion
    digest: str
    offset: int
    total: int
    data: bytes


class ZoneSummary(_Message, frozen=True):
    """Pass on what a zone's chosen sender knows of its zone to another zone."""

    zone: ZoneName
    heartbeats: tuple[Heartbeat, ...]


class ServiceCount(_Message, frozen=True):
    """Count a service's requests at one daemon since its start."""

    service: ServiceName
    total: int
    slow: int
    failed: int


class CountNotice(_Message, frozen=True):
    """Tell a writer of the region's burn record what one run of a daemon has counted."""

    vm: VmId
    incarnation: Incarnation
    counts: tuple[ServiceCount, ...]


class ClaimAsk(_Message, frozen=True):
    """Ask the daemon that decides an idempotency key whether a request may run under it.

    Parameters
    ----------
    key
        The key.
    request_id
        The request; a repeated ask of the same request gets the same answer.
    vm
        Who asks.
    """

    key: str
    request_id: RequestId
    vm: VmId


class ClaimReply(_Message, frozen=True):
    """Answer a `ClaimAsk`."""

    request_id: RequestId
    verdict: ClaimVerdict


class ClaimEnd(_Message, frozen=True):
    """Tell the deciding daemon how the request that holds a key ended.

    Parameters
    ----------
    ran
        False only if the request provably did not run; the key is then free again.
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
    """Return the message in a datagram, or None if it is not one of ours."""
    try:
        return _message_decoder.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError):
        return None
