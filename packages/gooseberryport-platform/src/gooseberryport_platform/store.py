"""Interface to the platform's key-value store, and execution of the core's store effects."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from enum import Enum
from typing import Protocol

import msgspec
from returns.result import Failure, Result

from gooseberryport_core.effects import StoreGet, StoreList, StoreSwap, StoreWatch
from gooseberryport_core.events import StoreFailed, StoreGot, StoreValue, StoreWritten
from gooseberryport_core.types import Revision
from gooseberryport_platform.calls import CallCounter
from gooseberryport_platform.errors import ServiceError

MAX_VALUE_BYTES = 1_000_000
"""Maximum length of a value in the store."""

StoreEffect = StoreGet | StoreList | StoreSwap | StoreWatch
StoreEvent = StoreGot | StoreWritten | StoreFailed


class SwapResult(msgspec.Struct, frozen=True):
    """The result of a compare-and-swap: whether it was applied, and the key's value after it."""

    applied: bool
    current: StoreValue


class Store(Protocol):
    """A key-value store with revisions; each call blocks for a bounded time.

    An absent key reads as an empty value of revision 0, and a swap that expects revision 0
    creates the key if it is absent.
    """

    def get(self, key: str) -> Result[StoreValue, ServiceError]:
        """Read a key."""

    def list_prefix(self, prefix: str) -> Result[tuple[StoreValue, ...], ServiceError]:
        """Read every key that starts with a prefix, sorted by key."""

    def swap(self, key: str, value: bytes, expected: Revision) -> Result[SwapResult, ServiceError]:
        """Write a key if its revision is still `expected`; attempted once and never retried."""

    def watch(self, key: str, after: Revision, wait_s: float) -> Result[StoreValue, ServiceError]:
        """Wait up to `wait_s` until a key's revision differs from `after`, then read the key."""


class StoreWire(Enum):
    """Supported wire formats of key-value stores."""

    CONSUL = "consul"


class StoreSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the client of the key-value store.

    Parameters
    ----------
    address
        ``IP:port`` of the store.
    wire
        Wire format of the store.
    timeout_s
        Timeout of a call including its retries; seconds.
    read_attempts
        Maximum number of attempts of a read within the timeout.
    connections
        Maximum number of connections kept open.
    """

    address: str
    wire: StoreWire = StoreWire.CONSUL
    timeout_s: float = 0.5
    read_attempts: int = 2
    connections: int = 4


@contextmanager
def open_store(settings: StoreSettings, *, counter: CallCounter | None = None) -> Iterator[Store]:
    """Open a client of the key-value store; raises `AddressInvalidError`.

    Parameters
    ----------
    settings
        Address and limits of the store.
    counter
        Counts every call.
    """
    from gooseberryport_platform._consul import ConsulStore

    store = ConsulStore(settings=settings, counter=counter or CallCounter())
    try:
        yield store
    finally:
        store.close()


def run_store_effect(store: Store, effect: StoreEffect) -> StoreEvent:
    """Execute a store effect of the core and return the event with its result; blocks."""
    if isinstance(effect, StoreSwap):
        return _run_swap(store, effect)
    if isinstance(effect, StoreList):
        listed = store.list_prefix(effect.prefix)
        if isinstance(listed, Failure):
            return StoreFailed(effect.call_id, ambiguous=False)
        return StoreGot(effect.call_id, listed.unwrap())
    if isinstance(effect, StoreWatch):
        read_result = store.watch(effect.key, effect.after, effect.wait_s)
    else:
        read_result = store.get(effect.key)
    if isinstance(read_result, Failure):
        return StoreFailed(effect.call_id, ambiguous=False)
    return StoreGot(effect.call_id, (read_result.unwrap(),))


def _run_swap(store: Store, effect: StoreSwap) -> StoreEvent:
    swapped = store.swap(effect.key, effect.value, effect.expected)
    if isinstance(swapped, Failure):
        return StoreFailed(effect.call_id, swapped.failure().ambiguous)
    result = swapped.unwrap()
    return StoreWritten(effect.call_id, result.applied, result.current)
