"""Invariants of the system, checked at runtime.

A broken invariant is logged and counted; under test it raises an error, so that the run fails.
"""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from enum import IntEnum

from gooseberryport_core.effects import CountMetric, Effect, LogEvent, LogLevel

_raise_broken = False


class Invariant(IntEnum):
    """Numbers of the invariants; docs/events.md explains what to do when one is broken."""

    SLOTS = 901
    """No upstream runs more requests than it has slots."""

    REGION_CAP = 902
    """No region runs more requests than its cap."""

    LINK_LIMIT = 903
    """No link carries more than its limit in any window."""

    SHIFT_CAP = 904
    """In no window does a shift rule move a larger fraction of the traffic than its cap."""

    FAILOVER_CAP = 905
    """In no window does a larger fraction of the traffic fail over than the cap."""

    AT_MOST_ONCE = 906
    """A request that may not be repeated is sent again only if it provably did not run."""

    NOT_RUN = 907
    """`not-run` is reported to a caller only for a request that did not run."""

    ONE_END = 908
    """Each request and each ticket ends exactly once."""

    LEASE = 909
    """No work starts without a valid lease."""

    CONFIG_VERSION = 910
    """A configuration is never replaced by a lower version."""

    CLAIM = 911
    """An idempotency key is held by one request at a time."""


class InvariantError(Exception):
    """Raised under test if an invariant is broken.

    Parameters
    ----------
    invariant
        The broken invariant.
    detail
        Description of the state that breaks it.
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
    global _raise_broken
    before = _raise_broken
    _raise_broken = True
    try:
        yield
    finally:
        _raise_broken = before


def check(invariant: Invariant, holds: bool, detail: str) -> list[Effect]:
    """Return the effects that report a broken invariant, or an empty list if it holds.

    Parameters
    ----------
    invariant
        The invariant that was evaluated.
    holds
        Whether it holds.
    detail
        Description of the observed state, for the log.

    Raises
    ------
    InvariantError
        If the invariant does not hold, within `raise_on_violation`.
    """
    if holds:
        return []
    if _raise_broken:
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
