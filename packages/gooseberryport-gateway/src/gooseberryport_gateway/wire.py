"""Interface to the platform: header names, settings, store client and codec."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from math import inf
from typing import Protocol

import msgspec

from gooseberryport_core.gateway.announcements import Announcement
from gooseberryport_core.gateway.model import RoutingConfig, UpstreamEntry
from gooseberryport_core.gateway.state_ages import StateAges
from gooseberryport_core.gateway.store_epochs import UNKNOWN_EPOCH, StoreEpoch, StorePosition
from gooseberryport_core.gateway.warmth import WarmthRecord
from gooseberryport_core.types import RegionName, UpstreamId, VmId, ZoneName
from gooseberryport_gateway._http_response import HttpResponse


class HeaderNames(msgspec.Struct, frozen=True):
    """Header fields of requests and responses, in lower case.

    Parameters
    ----------
    request_id
        Id of a request; its response repeats the id.
    deadline_ms
        How long the sender waits for the response; milliseconds.
    expected_upstream
        The only upstream that may run the request.
    upstream
        Upstream that responded to a health check.
    signature
        Signature of a response, which shows that an upstream created it.
    not_executed
        Present in the response to a request that did not run.
    load
        Running requests, waiting requests and slots of an upstream, separated by commas.
    rate_limit
        Requests per second that an upstream accepts from all gateways together.
    cold_ms
        Time for which an upstream remains cold; milliseconds.
    object_cookie
        Cookie that contains the key of the request's object.
    authorization
        API key of the client.
    tenant
        Name of the client's tenant, for the upstream.
    """

    request_id: bytes
    deadline_ms: bytes
    expected_upstream: bytes
    upstream: bytes
    signature: bytes
    not_executed: bytes
    load: bytes
    rate_limit: bytes
    cold_ms: bytes
    object_cookie: bytes
    authorization: bytes = b"authorization"
    tenant: bytes = b"x-tenant"


class Bounds(msgspec.Struct, frozen=True):
    """Limits set by the deployment, named as in the decisions that use them.

    The window of the quotas is 0 if the deployment has none.
    """

    retry_ratio: float
    retry_slack: float
    retry_window_s: float
    cold_overage: float
    cold_slack: float
    drain_s: float
    grace_s: float
    max_lookup_ttl_s: float
    quota_window_s: float = 0.0
    quota_overage: float = 0.0
    quota_slack: float = 0.0
    strict_revoke: bool = False
    revoke_s: float = 0.0
    config_apply_s: float = inf

    @property
    def ages(self) -> StateAges:
        """Ages that the gateway's state may have, so that each change is in force in time."""
        return StateAges(bound_s=min(self.drain_s, self.config_apply_s))


class GatewaySettings(msgspec.Struct, frozen=True):
    """Settings of one gateway.

    Parameters
    ----------
    vm, zone, region
        Which VM this is, and where.
    regions
        Region of each availability zone.
    ip
        Address for traffic between gateways.
    front, ready, lookup, control
        Addresses of the listeners, ``IP:port``; empty for none.
    peer_port
        Port for datagrams between gateways.
    seeds
        Control addresses of some gateways, ``IP:port``; any of them may be down.
    store
        Address of the store, ``IP:port``.
    lease_min_ms
        Shortest lease that the store grants; milliseconds.
    bounds
        Limits of the deployment.
    capacity_per_s
        Requests per second that the VM can carry; 0 if its size is not known.
    memory_bytes
        Memory of the process; 0 if it is not known; bytes.
    priority_limits
        Whether less urgent requests are limited to a lower load of the upstreams.
    even_load
        Whether requests are spread by estimates of the upstreams' loads in any case.
    """

    vm: VmId
    zone: ZoneName
    region: RegionName
    regions: dict[ZoneName, RegionName]
    ip: str
    front: str
    ready: str
    lookup: str
    control: str
    peer_port: int
    seeds: tuple[str, ...]
    store: str
    lease_min_ms: int
    bounds: Bounds
    capacity_per_s: float = 0.0
    memory_bytes: int = 0
    priority_limits: bool = False
    even_load: bool = False


MAX_KEYS_PER_CALL = 32
"""Maximum keys that one call may write and delete; the platform's limit."""


UNREADABLE_VALUE = b""
"""Stands for the value of an item that can't be read; no decoder accepts it."""

MAX_UNREADABLE_BYTES = 1_024
"""Maximum size of a value that can't be read and is kept all the same; bytes."""


class StoreItem(msgspec.Struct, frozen=True, array_like=True):
    """One key of the store; `value` is None if it was deleted."""

    key: str
    value: bytes | None
    revision: int

    def __repr__(self) -> str:
        """Return a text without the value, which may contain API keys."""
        return f"StoreItem({self.key!r}, revision={self.revision})"


def shorten_unreadable(item: StoreItem) -> StoreItem:
    """Return an item that can't be read without its value, if that is long.

    Another gateway comes to the same conclusion from `UNREADABLE_VALUE`.
    """
    if len(item.value or b"") <= MAX_UNREADABLE_BYTES:
        return item
    return msgspec.structs.replace(item, value=UNREADABLE_VALUE)


class StoreSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """What a gateway knows, for a gateway that starts or can't reach the store.

    Parameters
    ----------
    items
        Every item that was read.
    revision
        Revision of the store from which a watch continues.
    age_s
        How long ago the store confirmed the items; seconds.
    warmth
        Objects that upstreams handled recently for the region of the gateway that starts.
    epoch
        Epoch of the store in which the revision was given out.
    held
        What the store says of keys for which the items still hold.
    """

    items: list[StoreItem]
    revision: int
    age_s: float = inf
    warmth: dict[UpstreamId, WarmthRecord] = {}
    epoch: int = UNKNOWN_EPOCH
    held: list[StoreItem] = []

    @property
    def position(self) -> StorePosition:
        """Position in the store's history from which a watch continues."""
        return StorePosition(epoch=self.epoch, revision=self.revision)


class StorePage(msgspec.Struct, frozen=True):
    """What a read or a watch returned.

    Parameters
    ----------
    items
        Items, or changes in their order.
    position
        Position in the store's history from which a watch continues.
    transfer_s
        Time from the first to the last byte of a watch's answer; seconds.
    """

    items: tuple[StoreItem, ...]
    position: StorePosition
    transfer_s: float = 0.0


class Lease(msgspec.Struct, frozen=True):
    """A lease of the store; in another epoch, its id may be that of another gateway's lease."""

    id: int
    epoch: int = UNKNOWN_EPOCH


class StoreClient(Protocol):
    """The platform's store. Every call may raise `StoreError`.

    No answer of an earlier epoch than the latest known one is returned.
    """

    epoch: StoreEpoch

    async def read_range(self, prefix: str) -> StorePage:
        """Return all items under a prefix, all of one epoch."""

    async def watch(
        self, prefix: str, *, after: StorePosition, wait_s: float, answer_s: float
    ) -> StorePage:
        """Return the changes after a position as soon as there are any, or none after `wait_s`.

        The answer must begin within `answer_s` beyond that.

        Raises
        ------
        EpochChangedError
            The store is in another epoch than that of the position.
        HistoryGoneError
            The store does not have the changes since the position.
        IncompleteAnswerError
            The answer arrived in part only, or is longer than an answer may be.
        """

    async def grant_lease(self, *, ttl_s: float) -> Lease:
        """Request a lease."""

    async def renew_lease(self, lease: Lease) -> None:
        """Renew a lease; raises `LeaseGoneError` if it has ended, or is of an earlier epoch."""

    async def end_lease(self, lease: Lease) -> None:
        """End a lease; its keys are removed."""

    async def put(self, key: str, value: bytes, *, lease: Lease | None) -> None:
        """Write a key, whatever its current value; raises `LeaseGoneError` as a renewal does."""

    async def save(self, values: Mapping[str, bytes], *, deletes: Sequence[str] = ()) -> None:
        """Write and delete keys without a lease, at most `MAX_KEYS_PER_CALL` in one call."""

    def close(self) -> None:
        """Close the idle connections to the store; raises nothing."""


class ClientLocation(msgspec.Struct, frozen=True):
    """Location of a client that looks up gateways; None for parts that it does not state."""

    zone: ZoneName | None
    region: RegionName | None


class Codec(Protocol):
    """The platform's formats: keys and values in the store, and lookups and readiness checks."""

    config_prefix: str
    upstream_prefix: str
    member_prefix: str
    warmth_prefix: str
    lookup_path: str
    ready_path: str

    def decode_location(self, query: str) -> ClientLocation:
        """Decode the query of a lookup."""

    def announcement(self, response: HttpResponse) -> Announcement:
        """Decode what an upstream's response says about the upstream itself."""

    def lookup_answer(self, addresses: list[str], *, ttl_s: float) -> bytes:
        """Encode the reply to a lookup as JSON."""

    def config(self, item: StoreItem) -> RoutingConfig | None:
        """Decode a configuration, or return None if the item is not one; raises `InputError`."""

    def evacuated_zone(self, key: str) -> ZoneName | None:
        """Return the availability zone that a key marks as evacuated, or None."""

    def upstream_id(self, key: str) -> UpstreamId:
        """Return the upstream whose entry a key holds."""

    def upstream(self, item: StoreItem) -> UpstreamEntry:
        """Decode an upstream's entry; raises `InputError` if it is malformed."""
