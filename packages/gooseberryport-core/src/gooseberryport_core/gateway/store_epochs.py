"""Positions in the store's history, and what holds after the store returned from an older copy.

Failure pattern: the store is away for a moment and returns from a copy that is some seconds old.
What it had acknowledged since is gone, and revisions are given out again. A gateway that goes on
from its revision misses changes for good; one that believes the copy at once takes back an
evacuation, a configuration or a gateway until they are written again.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum
from typing import Generic, NamedTuple, TypeVar

import msgspec

UNKNOWN_EPOCH = 0
"""Epoch of a store that states none, which never returns from a copy."""

HOLD_S = 5.0
"""Time for which what was known before the return holds, unless it is written again; seconds. What
was lost is written again within about two seconds. Held too long, an evacuation that was ended
costs capacity; given up too soon, one that is in force lets requests into its zone."""

MAX_ENDED = 256
"""Removed items that are remembered, so that those of a copy are recognised."""


class StorePosition(msgspec.Struct, frozen=True, array_like=True):
    """How much of the store's history is known; revisions are comparable within one epoch only.

    Parameters
    ----------
    epoch
        Number that increases when the store returns from a copy; `UNKNOWN_EPOCH` if none is stated.
    revision
        Revision of the latest change.
    """

    epoch: int
    revision: int


class EpochChange(Enum):
    """How the epoch of an answer compares with the latest known one."""

    SAME = "same"
    NEWER = "newer"
    OLDER = "older"
    """The answer was sent before the store's return, and must not be applied."""


class StoreEpoch:
    """The store's latest epoch that this gateway knows of, from whomever it learned it."""

    def __init__(self) -> None:
        self.current = UNKNOWN_EPOCH

    def observe(self, epoch: int) -> EpochChange:
        """Record the epoch of an answer, and return how it compares with the latest known one."""
        if epoch < self.current:
            return EpochChange.OLDER
        if epoch == self.current:
            return EpochChange.SAME
        self.current = epoch
        return EpochChange.NEWER


class ItemKind(Enum):
    """What an item of the store is about."""

    CONFIG = "config"
    EVACUATION = "evacuation"
    UPSTREAM = "upstream"
    MEMBER = "member"


class Difference(Enum):
    """How a copy differs from what was known of a key."""

    MISSING = "missing"
    OLDER = "older"
    """The copy's item is older by the order that its writer gives its items."""

    RETURNED = "returned"
    """The copy has the item that was removed."""

    CHANGED = "changed"
    """The item was written since, or it is the same."""


class Decision(Enum):
    """What to do about a difference."""

    APPLY = "apply"
    HOLD = "hold"
    """What is known holds until the key is written again, but for `HOLD_S` at most."""

    KEEP = "keep"
    """What is known holds until the key is written again."""


COPY_TABLE: Mapping[ItemKind, Mapping[Difference, Decision]] = {
    # Versions only rise, so a lower one is never the operators' latest word.
    ItemKind.CONFIG: {
        Difference.MISSING: Decision.KEEP,
        Difference.OLDER: Decision.KEEP,
        Difference.RETURNED: Decision.APPLY,
    },
    ItemKind.EVACUATION: {
        Difference.MISSING: Decision.HOLD,
        Difference.OLDER: Decision.APPLY,
        Difference.RETURNED: Decision.HOLD,
    },
    # A missing entry suspends its upstream as after an outage. One that returned may belong to an
    # upstream that has left; each request names the upstream that may run it.
    ItemKind.UPSTREAM: {
        Difference.MISSING: Decision.APPLY,
        Difference.OLDER: Decision.KEEP,
        Difference.RETURNED: Decision.APPLY,
    },
    # A gateway that returned counts as alive only once it is heard.
    ItemKind.MEMBER: {
        Difference.MISSING: Decision.HOLD,
        Difference.OLDER: Decision.HOLD,
        Difference.RETURNED: Decision.APPLY,
    },
}
"""What to do about each difference between a copy and what was known."""


def decide(kind: ItemKind, difference: Difference) -> Decision:
    """Return what to do about a difference between a copy and what was known."""
    if difference is Difference.CHANGED:
        return Decision.APPLY
    return COPY_TABLE[kind][difference]


class Stored(NamedTuple):
    """What the store held under a key."""

    value: bytes
    revision: int


ItemT = TypeVar("ItemT")


class Holds(Generic[ItemT]):
    """What the store says of keys for which something else still holds, and what was removed."""

    def __init__(self) -> None:
        self._held: dict[str, tuple[ItemT, float]] = {}
        self._ended: dict[str, Stored] = {}

    @property
    def items(self) -> list[ItemT]:
        """What the store says of the held keys."""
        return [item for item, _ in self._held.values()]

    def hold(self, key: str, item: ItemT, *, now: float) -> None:
        """Hold what the store says of a key; if it is held already, its time does not change."""
        until = self._held[key][1] if key in self._held else now + HOLD_S
        self._held[key] = (item, until)

    def record_written(self, key: str) -> None:
        """Record that a key was written, so that this counts at once."""
        self._held.pop(key, None)
        self._ended.pop(key, None)

    def record_removed(self, key: str, stored: Stored | None) -> None:
        """Record that a key was removed, and what it held if that was known."""
        self._held.pop(key, None)
        if stored is None:
            return
        self._ended.pop(key, None)
        self._ended[key] = stored
        while len(self._ended) > MAX_ENDED:
            del self._ended[next(iter(self._ended))]

    def is_removed(self, key: str, stored: Stored) -> bool:
        """Return whether an item is one that was removed, and has not been written since."""
        return self._ended.get(key) == stored

    def take_due(self, *, now: float) -> list[ItemT]:
        """Remove and return the held items whose time has passed."""
        due = [key for key, (_, until) in self._held.items() if now >= until]
        return [self._held.pop(key)[0] for key in due]
