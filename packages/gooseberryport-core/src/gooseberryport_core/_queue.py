"""Priority queue of the tickets that wait in one pool, earliest deadline first."""

from __future__ import annotations

from bisect import bisect_left, insort

from gooseberryport_core._held_tickets import HeldTicket
from gooseberryport_core.types import TicketId

_Key = tuple[bool, float, int]
"""Whether the ticket is a retry, its deadline, and its order of arrival."""


class DeadlineQueue:
    """Keeps waiting tickets in the order in which they are served.

    First tries come before retries, and earlier deadlines before later ones. A sorted list finds
    an index in logarithmic time and moves at most `limit` pointers, which costs less than a heap
    would, since ranks must be computed and arbitrary tickets removed too.

    Parameters
    ----------
    limit
        Maximum number of waiting tickets.
    """

    def __init__(self, *, limit: int) -> None:
        self.limit = limit
        self._keys: list[_Key] = []
        self._tickets: dict[_Key, HeldTicket] = {}
        self._keys_by_id: dict[TicketId, _Key] = {}
        self._arrivals = 0

    def __len__(self) -> int:
        return len(self._keys)

    @property
    def is_full(self) -> bool:
        """Whether the queue has reached its limit."""
        return len(self._keys) >= self.limit

    @property
    def has_retry(self) -> bool:
        """Whether any retry waits."""
        return bool(self._keys) and self._keys[-1][0]

    @property
    def head(self) -> HeldTicket | None:
        """The ticket that is served next."""
        return self._tickets[self._keys[0]] if self._keys else None

    def rank(self, held: HeldTicket) -> int:
        """Return how many queued tickets would be served before this one, which is not queued."""
        return bisect_left(self._keys, self._key(held))

    def push(self, held: HeldTicket) -> None:
        """Add a ticket."""
        key = self._key(held)
        self._arrivals += 1
        insort(self._keys, key)
        self._tickets[key] = held
        self._keys_by_id[held.ticket.ticket_id] = key

    def peek(self, index: int) -> HeldTicket | None:
        """Return the ticket at an index of the serving order, or None if the queue is shorter."""
        return self._tickets[self._keys[index]] if index < len(self._keys) else None

    def pop(self) -> HeldTicket:
        """Remove and return the ticket that is served next."""
        return self._pop_at(0)

    def pop_retry(self) -> HeldTicket | None:
        """Remove and return the retry that would be served last, or None if no retry waits."""
        if not self.has_retry:
            return None
        return self._pop_at(len(self._keys) - 1)

    def remove(self, ticket_id: TicketId) -> None:
        """Remove a waiting ticket."""
        self._pop_at(bisect_left(self._keys, self._keys_by_id[ticket_id]))

    def pop_expired(self, now: float) -> list[HeldTicket]:
        """Remove and return every ticket whose deadline has passed."""
        expired: list[HeldTicket] = []
        for retry in (False, True):
            first = bisect_left(self._keys, (retry, float("-inf"), 0))
            while first < len(self._keys) and self._keys[first][:2] <= (retry, now):
                expired.append(self._pop_at(first))
        return expired

    def pop_all(self) -> list[HeldTicket]:
        """Remove and return all tickets, in serving order."""
        return [self.pop() for _ in range(len(self._keys))]

    def _key(self, held: HeldTicket) -> _Key:
        return (not held.ticket.first_try, held.deadline, self._arrivals)

    def _pop_at(self, index: int) -> HeldTicket:
        key = self._keys.pop(index)
        held = self._tickets.pop(key)
        del self._keys_by_id[held.ticket.ticket_id]
        return held
