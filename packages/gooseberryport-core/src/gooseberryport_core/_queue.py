"""The waiting tickets of one pool, earliest deadline first."""

from __future__ import annotations

from bisect import bisect_left, insort

from gooseberryport_core._held_tickets import HeldTicket
from gooseberryport_core.types import TicketId

_Key = tuple[bool, float, int]
"""Whether it is a retry, its deadline, and the order of arrival."""


class DeadlineQueue:
    """Keep waiting tickets in the order in which they should be served.

    First tries go before retries, and earlier deadlines before later ones. A sorted list finds a
    place in logarithmic time and moves at most `limit` pointers, which is less work than the
    bookkeeping of a heap that also has to rank and to remove.

    Parameters
    ----------
    limit
        Most tickets that wait.
    """

    def __init__(self, *, limit: int) -> None:
        self.limit = limit
        self._keys: list[_Key] = []
        self._entries: dict[_Key, HeldTicket] = {}
        self._key_of: dict[TicketId, _Key] = {}
        self._serial = 0

    def __len__(self) -> int:
        return len(self._keys)

    @property
    def is_full(self) -> bool:
        """Whether no more tickets fit."""
        return len(self._keys) >= self.limit

    @property
    def has_retry(self) -> bool:
        """Whether any retry waits."""
        return bool(self._keys) and self._keys[-1][0]

    @property
    def head(self) -> HeldTicket | None:
        """The ticket that is served next."""
        return self._entries[self._keys[0]] if self._keys else None

    def rank(self, held: HeldTicket) -> int:
        """Return how many tickets would be served before this one, which is not in the queue."""
        return bisect_left(self._keys, self._key(held))

    def push(self, held: HeldTicket) -> None:
        """Add a ticket."""
        key = self._key(held)
        self._serial += 1
        insort(self._keys, key)
        self._entries[key] = held
        self._key_of[held.ticket.ticket_id] = key

    def peek(self, place: int) -> HeldTicket | None:
        """Return the ticket that `place` others are served before, or None."""
        return self._entries[self._keys[place]] if place < len(self._keys) else None

    def pop(self) -> HeldTicket:
        """Take the ticket that is served next."""
        return self._take(0)

    def pop_retry(self) -> HeldTicket | None:
        """Take the retry that is served last, or None if only first tries wait."""
        if not self.has_retry:
            return None
        return self._take(len(self._keys) - 1)

    def remove(self, ticket_id: TicketId) -> None:
        """Remove a waiting ticket."""
        self._take(bisect_left(self._keys, self._key_of[ticket_id]))

    def pop_expired(self, now: float) -> list[HeldTicket]:
        """Take every ticket whose deadline has passed."""
        expired: list[HeldTicket] = []
        for retry in (False, True):
            first = bisect_left(self._keys, (retry, float("-inf"), 0))
            while first < len(self._keys) and self._keys[first][:2] <= (retry, now):
                expired.append(self._take(first))
        return expired

    def pop_all(self) -> list[HeldTicket]:
        """Take every ticket, in order."""
        return [self.pop() for _ in range(len(self._keys))]

    def _key(self, held: HeldTicket) -> _Key:
        return (not held.ticket.first_try, held.deadline, self._serial)

    def _take(self, index: int) -> HeldTicket:
        key = self._keys.pop(index)
        held = self._entries.pop(key)
        del self._key_of[held.ticket.ticket_id]
        return held
