"""How many retries a service's traffic may add."""

from __future__ import annotations

MAX_BALANCE = 50.0
"""Most retries that a quiet time saves up; keeps a burst of failures from doubling traffic."""

START_BALANCE = 5.0
"""Retries that a service may make before it has had any first try."""


class RetryBudget:
    """Allow retries as a fraction of first tries.

    Parameters
    ----------
    fraction
        Retries earned by each first try.
    """

    def __init__(self, *, fraction: float) -> None:
        self._fraction = fraction
        self._balance = START_BALANCE

    @property
    def balance(self) -> float:
        """Retries that may be made now."""
        return self._balance

    def earn(self) -> None:
        """Count a first try."""
        self._balance = min(self._balance + self._fraction, MAX_BALANCE)

    def spend(self) -> bool:
        """Take one retry from the budget; False if it is used up."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True
