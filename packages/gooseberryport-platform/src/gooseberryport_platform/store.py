"""The platform's key-value service behind a `Protocol`, and its calls as effects of the core."""

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
"""Longest value that the service holds."""

StoreEffect = StoreGet | StoreList | StoreSwap | StoreWatch
StoreEvent = StoreGot | StoreWritten | StoreFailed


class SwapResult(msgspec.Struct, frozen=True):
    """The answer to a compare-and-swap: whether it was applied, and the key afterwards."""

    applied: bool
    current: StoreValue


class Store(Protocol):
    """A key-value service with revisions; each call blocks, for a bounded time.

    An absent key reads as an empty value of revision 0, and a swap that expects revision 0
    creates the key if it is absent.
    """

    def get(self, key: str) -> Result[StoreValue, ServiceError]:
        """Read a key."""

    def list_prefix(self, prefix: str) -> Result[tuple[StoreValue, ...], ServiceError]:
        """Read every key that starts with a prefix, in the order of the keys."""

    def swap(self, key: str, value: bytes, expected: Revision) -> Result[SwapResult, ServiceError]:
        """Write a key if its revision is still `expected`; tried once, never repeated."""

    def watch(self, key: str, after: Revision, wait_s: float) -> Result[StoreValue, ServiceError]:
        """Wait until a key's revision differs from `after`, for `wait_s` at most, and read it."""


class StoreWire(Enum):
    """Wire forms of key-value services that are known here."""

    CONSUL = "consul"


class StoreSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Say where the key-value service is.

    Parameters
    ----------
    address
        ``IP:port``.
    wire
        Its wire form.
    timeout_s
        Time that one call may take, repetitions included; seconds.
    read_attempts
        How often a read is tried within that time.
    connections
        Connections kept open.
    """

    address: str
    wire: StoreWire = StoreWire.CONSUL
    timeout_s: float = 0.5
    read_attempts: int = 2
    connections: int = 4


@contextmanager
def open_store(settings: StoreSettings, *, counter: CallCounter | None = None) -> Iterator[Store]:
    """Open a client of the key-value service; raises `AddressInvalidError`.

    Parameters
    ----------
    settings
        Where the service is.
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
    """Carry out a store effect of the core and return the event that answers it; blocks."""
    if isinstance(effect, StoreSwap):
        return _run_swap(store, effect)
    if isinstance(effect, StoreList):
        listed = store.list_prefix(effect.prefix)
        if isinstance(listed, Failure):
            return StoreFailed(effect.call_id, ambiguous=False)
        return StoreGot(effect.call_id, listed.unwrap())
    if isinstance(effect, StoreWatch):
        got = store.watch(effect.key, effect.after, effect.wait_s)
    else:
        got = store.get(effect.key)
    if isinstance(got, Failure):
        return StoreFailed(effect.call_id, ambiguous=False)
    return StoreGot(effect.call_id, (got.unwrap(),))


def _run_swap(store: Store, effect: StoreSwap) -> StoreEvent:
    swapped = store.swap(effect.key, effect.value, effect.expected)
    if isinstance(swapped, Failure):
        return StoreFailed(effect.call_id, swapped.failure().ambiguous)
    done = swapped.unwrap()
    return StoreWritten(effect.call_id, done.applied, done.current)
