"""Retry budget: limits the retries of a service to a fraction of its first tries."""

from __future__ import annotations

MAX_BALANCE = 50.0
"""Maximum number of saved retries, so that a burst of failures does not double the traffic."""

INITIAL_BALANCE = 5.0
"""Number of retries that a service may make before its first tries have earned any."""


class RetryBudget:
    """Allows retries as a fraction of first tries.

    Parameters
    ----------
    fraction
        Number of retries that one first try earns.
    """

    def __init__(self, *, fraction: float) -> None:
        self._fraction = fraction
        self._balance = INITIAL_BALANCE

    @property
    def balance(self) -> float:
        """Number of retries that may be made now."""
        return self._balance

    def earn(self) -> None:
        """Count a first try."""
        self._balance = min(self._balance + self._fraction, MAX_BALANCE)

    def spend(self) -> bool:
        """Take one retry from the budget; return False if the budget is used up."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True
