"""Which upstreams handled which objects lately.

Load pattern: an upstream answers several times faster for objects that it handled lately, from the
moment at which it began to work on one, and keeps some dozens of them. What each gateway sees of
that is passed on to the others of its region, whose clients ask for the same objects.
"""

from __future__ import annotations

from collections import OrderedDict, deque

import xxhash

from gooseberryport_core.gateway.model import ObjectKey
from gooseberryport_core.types import UpstreamId

KEPT_OBJECTS = 48
"""Objects that an upstream is believed to keep; those handled longest ago are forgotten first."""

UPDATE_AGE_S = 0.5
"""How long a new pair of upstream and object is passed on: five datagrams; seconds."""

MARK_MASK = 0xFFFFFFFF


def object_mark(key: ObjectKey) -> int:
    """Return a short hash of an object's key, the same in every process."""
    return xxhash.xxh3_64_intdigest(key.encode()) & MARK_MASK


class Warmth:
    """Remember pairs of upstream and object."""

    def __init__(self) -> None:
        self._objects: dict[UpstreamId, OrderedDict[int, None]] = {}
        self._updates: deque[tuple[float, UpstreamId, int]] = deque()

    def warm(self, upstream: UpstreamId, mark: int) -> bool:
        """Tell whether an upstream handled an object lately."""
        objects = self._objects.get(upstream)
        return objects is not None and mark in objects

    def note(self, upstream: UpstreamId, mark: int, *, now: float, own: bool) -> bool:
        """Remember that an upstream handles an object; True if that was not known.

        Parameters
        ----------
        upstream
            The upstream.
        mark
            Short hash of the object's key.
        now
            Monotonic time; seconds.
        own
            Whether this gateway saw it itself; such an update is passed on.
        """
        objects = self._objects.setdefault(upstream, OrderedDict())
        known = mark in objects
        objects[mark] = None
        objects.move_to_end(mark)
        if len(objects) > KEPT_OBJECTS:
            objects.popitem(last=False)
        if own and not known:
            self._updates.append((now, upstream, mark))
        return not known

    def drop(self, upstream: UpstreamId, mark: int) -> None:
        """Forget one pair: the upstream did not run the request."""
        objects = self._objects.get(upstream)
        if objects is not None:
            objects.pop(mark, None)

    def idle(self, upstream: UpstreamId) -> bool:
        """Tell whether no object is known to be warm at an upstream."""
        return not self._objects.get(upstream)

    def updates(self, *, now: float) -> list[tuple[UpstreamId, int]]:
        """Return the pairs that others may not know yet."""
        while self._updates and now - self._updates[0][0] > UPDATE_AGE_S:
            self._updates.popleft()
        return [(upstream, mark) for _, upstream, mark in self._updates]

    def forget(self, upstream: UpstreamId) -> None:
        """Drop what an upstream handled: it is gone, or started again."""
        self._objects.pop(upstream, None)
