"""A compare-and-swap for operators' tools that finds its outcome even if the answer was lost."""

from __future__ import annotations

import time
from collections.abc import Callable
from enum import Enum

import msgspec
from returns.result import Failure, Result, Success
from tenacity import Retrying, retry_if_result, stop_after_delay, wait_random_exponential

from gooseberryport_core.events import StoreValue
from gooseberryport_core.types import Revision
from gooseberryport_platform.errors import ServiceError, WriteOutcomeUnknownError
from gooseberryport_platform.store import Store, SwapResult

CONFIRM_TIMEOUT_S = 10.0
"""Default time within which the outcome of a write must be known."""

INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0


class SwapOutcome(Enum):
    """The outcome of a compare-and-swap."""

    APPLIED = "applied"
    REJECTED = "rejected"
    """It was not applied and never will be, because the key had another revision."""

    OVERWRITTEN = "overwritten"
    """Its answer was lost, and the key has since been written by another writer: it may have been
    applied for a time, and cannot take effect any more."""


class ConfirmedSwap(msgspec.Struct, frozen=True):
    """The outcome of a compare-and-swap, and the value of the key as last read."""

    outcome: SwapOutcome
    current: StoreValue


def confirmed_swap(
    store: Store,
    key: str,
    value: bytes,
    expected: Revision,
    *,
    timeout_s: float = CONFIRM_TIMEOUT_S,
    proves_applied: Callable[[bytes], bool] | None = None,
) -> Result[ConfirmedSwap, ServiceError]:
    """Write a key if its revision is still `expected`, and find out whether the write was applied.

    A write whose answer was lost may also take effect later. So as long as the key still has the
    expected revision, the same write is sent again: whichever copy is applied first wins, and the
    other can no longer take effect.

    Parameters
    ----------
    store
        The key-value store.
    key, expected
        The key to write, and the revision that it must have; 0 for an absent key.
    value
        New value. It must carry a token that no other write carries.
    timeout_s
        Time after which the outcome is reported as unknown; seconds.
    proves_applied
        Returns whether a value of the key, possibly written later by another writer, proves that
        this write was applied; by default, whether it equals the written value.

    Returns
    -------
    Result
        The outcome of the write, the error of a call that certainly had no effect, or
        `WriteOutcomeUnknownError`.
    """
    pending = _PendingSwap(store, key, value, expected, proves_applied or value.__eq__)
    retrying = Retrying(
        retry=retry_if_result(lambda result: result is None),
        stop=stop_after_delay(timeout_s),
        wait=wait_random_exponential(multiplier=INITIAL_BACKOFF_S, max=MAX_BACKOFF_S),
        retry_error_callback=lambda state: None,
    )
    started = time.monotonic()
    confirmed: Result[ConfirmedSwap, ServiceError] | None = retrying(pending.attempt)
    if confirmed is not None:
        return confirmed
    waited_s = time.monotonic() - started
    detail = f"whether {key} was written is not known after {waited_s:.1f} s"
    return Failure(WriteOutcomeUnknownError(address=pending.address, detail=detail))


class _PendingSwap:
    """The state of one compare-and-swap across its attempts."""

    def __init__(
        self,
        store: Store,
        key: str,
        value: bytes,
        expected: Revision,
        proves_applied: Callable[[bytes], bool],
    ) -> None:
        self._store = store
        self._key = key
        self._value = value
        self._expected = expected
        self._proves_applied = proves_applied
        self._in_doubt = False
        self.address = ""

    def attempt(self) -> Result[ConfirmedSwap, ServiceError] | None:
        """Attempt the write; return None if its outcome is still unknown.

        If the outcome of an earlier attempt is unknown, the key is read back first.
        """
        if self._in_doubt:
            got = self._store.get(self._key)
            if isinstance(got, Failure):
                return None
            if got.unwrap().revision != self._expected:
                return Success(self._outcome_from(got.unwrap()))
        swapped = self._store.swap(self._key, self._value, self._expected)
        if isinstance(swapped, Failure):
            return self._handle_error(swapped.failure())
        return Success(self._handle_result(swapped.unwrap()))

    def _handle_error(self, error: ServiceError) -> Result[ConfirmedSwap, ServiceError] | None:
        self.address = error.address
        if error.ambiguous:
            self._in_doubt = True
        return None if self._in_doubt else Failure(error)

    def _handle_result(self, swapped: SwapResult) -> ConfirmedSwap:
        if swapped.applied:
            return ConfirmedSwap(SwapOutcome.APPLIED, swapped.current)
        if self._in_doubt:
            return self._outcome_from(swapped.current)
        return ConfirmedSwap(SwapOutcome.REJECTED, swapped.current)

    def _outcome_from(self, current: StoreValue) -> ConfirmedSwap:
        if self._proves_applied(current.value):
            return ConfirmedSwap(SwapOutcome.APPLIED, current)
        return ConfirmedSwap(SwapOutcome.OVERWRITTEN, current)
