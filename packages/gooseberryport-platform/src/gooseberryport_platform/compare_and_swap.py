"""A compare-and-swap for operators' tools that settles a lost answer by reading back."""

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

SETTLE_S = 10.0
"""Time in which a lost answer must be settled."""

INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0


class SwapOutcome(Enum):
    """What became of a compare-and-swap."""

    APPLIED = "applied"
    REJECTED = "rejected"
    """It was not applied and never will be: the key had another revision."""

    OVERWRITTEN = "overwritten"
    """Its answer was lost, and the key has since been written by someone else: it may have been
    applied for a time, and cannot take effect any more."""


class ConfirmedSwap(msgspec.Struct, frozen=True):
    """What became of a compare-and-swap, and the key as it was last read."""

    outcome: SwapOutcome
    current: StoreValue


def confirmed_swap(
    store: Store,
    key: str,
    value: bytes,
    expected: Revision,
    *,
    timeout_s: float = SETTLE_S,
    proves_applied: Callable[[bytes], bool] | None = None,
) -> Result[ConfirmedSwap, ServiceError]:
    """Write a key if its revision is still `expected`, and find out whether that happened.

    A write whose answer was lost may also take effect later. So as long as the key still has the
    expected revision, the same write is sent again: whichever copy comes first wins, and the
    other can no longer take effect.

    Parameters
    ----------
    store
        The key-value service.
    key, expected
        What is written, and the revision that it must have; 0 for an absent key.
    value
        New value. It must carry a token that no other write carries.
    timeout_s
        Time after which the write is given up as undecided; seconds.
    proves_applied
        Whether a value, perhaps written later by another, shows that this write was applied;
        by default, whether it is the same value.

    Returns
    -------
    Result
        What became of the write, or the error of a call that provably had no effect, or
        `WriteOutcomeUnknownError`.
    """
    attempt = _Attempt(store, key, value, expected, proves_applied or value.__eq__)
    retrying = Retrying(
        retry=retry_if_result(lambda result: result is None),
        stop=stop_after_delay(timeout_s),
        wait=wait_random_exponential(multiplier=INITIAL_BACKOFF_S, max=MAX_BACKOFF_S),
        retry_error_callback=lambda state: None,
    )
    started = time.monotonic()
    settled: Result[ConfirmedSwap, ServiceError] | None = retrying(attempt.once)
    if settled is not None:
        return settled
    waited_s = time.monotonic() - started
    detail = f"whether {key} was written is not known after {waited_s:.1f} s"
    return Failure(WriteOutcomeUnknownError(address=attempt.address, detail=detail))


class _Attempt:
    """The attempts at one compare-and-swap."""

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
        self._shows = proves_applied
        self._in_doubt = False
        self.address = ""

    def once(self) -> Result[ConfirmedSwap, ServiceError] | None:
        """Write, or read back if an earlier write is in doubt; None if that settles nothing."""
        if self._in_doubt:
            got = self._store.get(self._key)
            if isinstance(got, Failure):
                return None
            if got.unwrap().revision != self._expected:
                return Success(self._judge(got.unwrap()))
        swapped = self._store.swap(self._key, self._value, self._expected)
        if isinstance(swapped, Failure):
            return self._failed(swapped.failure())
        return Success(self._answered(swapped.unwrap()))

    def _failed(self, error: ServiceError) -> Result[ConfirmedSwap, ServiceError] | None:
        self.address = error.address
        if error.ambiguous:
            self._in_doubt = True
        return None if self._in_doubt else Failure(error)

    def _answered(self, swapped: SwapResult) -> ConfirmedSwap:
        if swapped.applied:
            return ConfirmedSwap(SwapOutcome.APPLIED, swapped.current)
        if self._in_doubt:
            return self._judge(swapped.current)
        return ConfirmedSwap(SwapOutcome.REJECTED, swapped.current)

    def _judge(self, current: StoreValue) -> ConfirmedSwap:
        if self._shows(current.value):
            return ConfirmedSwap(SwapOutcome.APPLIED, current)
        return ConfirmedSwap(SwapOutcome.OVERWRITTEN, current)
