"""What must always hold, asserted inside the program.

A broken invariant is logged and counted; under test it raises, so that no run passes over it.
"""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from enum import IntEnum

from gooseberryport_core.effects import CountMetric, Effect, LogEvent, LogLevel

_raising = False


class Invariant(IntEnum):
    """Number the invariants; docs/events.md tells what to do when one breaks."""

    SLOTS = 901
    """No upstream runs more requests than it has slots."""

    REGION_CAP = 902
    """No region runs more requests than its cap."""

    LINK_LIMIT = 903
    """No link carries more than its limit in any window."""

    SHIFT_CAP = 904
    """No more of a window's traffic moves than a rule's cap."""

    FAILOVER_CAP = 905
    """No more of a window's traffic fails over than the cap."""

    AT_MOST_ONCE = 906
    """A request that may not be repeated is sent again only if it provably did not run."""

    NOT_RUN = 907
    """A caller is told `not-run` only of a request that did not run."""

    ONE_END = 908
    """Each request and each ticket ends exactly once."""

    LEASE = 909
    """No work starts without a valid lease."""

    CONFIG_VERSION = 910
    """A configuration never gives way to a lower version."""

    CLAIM = 911
    """An idempotency key is held by one request at a time."""


class InvariantError(Exception):
    """Tell that an invariant does not hold.

    Parameters
    ----------
    invariant
        Which one.
    detail
        What was seen.
    """

    def __init__(self, invariant: Invariant, detail: str) -> None:
        super().__init__(invariant, detail)
        self.invariant = invariant
        self.detail = detail

    def __str__(self) -> str:
        return (
            f"invariant {int(self.invariant)} ({self.invariant.name}) is broken: {self.detail}; "
            "keep the log and report it as a fault"
        )


@contextmanager
def raise_on_violation() -> Iterator[None]:
    """Make broken invariants raise `InvariantError` within the block."""
    global _raising
    before = _raising
    _raising = True
    try:
        yield
    finally:
        _raising = before


def check(invariant: Invariant, holds: bool, detail: str) -> list[Effect]:
    """Return the effects that report a broken invariant, or none if it holds.

    Parameters
    ----------
    invariant
        Which one.
    holds
        Whether it holds.
    detail
        What was seen, for the log.

    Raises
    ------
    InvariantError
        If it does not hold, within `raise_on_violation`.
    """
    if holds:
        return []
    if _raising:
        raise InvariantError(invariant, detail)
    return [
        LogEvent(
            int(invariant),
            LogLevel.ERROR,
            "an invariant is broken",
            {"invariant": invariant.name, "detail": detail},
        ),
        CountMetric(f"invariant.{invariant.name.lower()}"),
    ]
