"""Which upstreams handled which objects lately.

Load pattern: an upstream answers several times faster for objects that it handled lately, from the
moment at which it began to work on one, and keeps some dozens of them. What each gateway sees of
that is passed on to the others of its region, whose clients ask for the same objects.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Sequence

import msgspec
import xxhash

from gooseberryport_core.gateway.model import ObjectKey
from gooseberryport_core.types import UpstreamId

MAX_WARM_OBJECTS = 48
"""Objects that an upstream is believed to keep; those handled longest ago are forgotten first."""

UPDATE_AGE_S = 0.5
"""How long a new pair of upstream and object is passed on: five datagrams; seconds."""

MARK_MASK = 0xFFFFFFFF


def hash_object_key(key: ObjectKey) -> int:
    """Return a short hash of an object's key, the same in every process."""
    return xxhash.xxh3_64_intdigest(key.encode()) & MARK_MASK


class WarmthRecord(msgspec.Struct, frozen=True, array_like=True):
    """What an upstream handled lately, as it is kept while no gateway runs.

    Parameters
    ----------
    started_ms
        Start of the upstream's incarnation, which alone is warm.
    marks
        Short hashes of objects, the one handled longest ago first.
    """

    started_ms: int
    marks: tuple[int, ...]


class WarmthTracker:
    """Remember pairs of upstream and object."""

    def __init__(self) -> None:
        self._objects: dict[UpstreamId, OrderedDict[int, None]] = {}
        self._updates: deque[tuple[float, UpstreamId, int]] = deque()
        self._unsaved: set[UpstreamId] = set()

    def warm(self, upstream: UpstreamId, mark: int) -> bool:
        """Tell whether an upstream handled an object lately."""
        objects = self._objects.get(upstream)
        return objects is not None and mark in objects

    def record(self, upstream: UpstreamId, mark: int, *, now: float, own: bool) -> bool:
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
        if not known:
            self._unsaved.add(upstream)
        objects[mark] = None
        objects.move_to_end(mark)
        if len(objects) > MAX_WARM_OBJECTS:
            objects.popitem(last=False)
        if own and not known:
            self._updates.append((now, upstream, mark))
        return not known

    def remove(self, upstream: UpstreamId, mark: int) -> None:
        """Forget one pair: the upstream did not run the request."""
        objects = self._objects.get(upstream)
        if objects is not None and mark in objects:
            del objects[mark]
            self._unsaved.add(upstream)

    def restore(self, upstream: UpstreamId, marks: Sequence[int]) -> None:
        """Take over what was known before; what was seen since is newer.

        Parameters
        ----------
        upstream
            The upstream.
        marks
            Short hashes of objects, the one handled longest ago first.
        """
        newer = self._objects.get(upstream, OrderedDict())
        merged = OrderedDict.fromkeys(mark for mark in marks if mark not in newer)
        merged.update(newer)
        while len(merged) > MAX_WARM_OBJECTS:
            merged.popitem(last=False)
        self._objects[upstream] = merged

    def objects(self, upstream: UpstreamId) -> tuple[int, ...]:
        """Return the objects that an upstream handled, the one handled longest ago first."""
        return tuple(self._objects.get(upstream, ()))

    def unsaved(self) -> list[UpstreamId]:
        """Return the upstreams whose objects changed since they were marked as saved."""
        return sorted(self._unsaved)

    def mark_saved(self, upstreams: Sequence[UpstreamId]) -> None:
        """Note that the objects of upstreams are kept elsewhere as they are now."""
        self._unsaved.difference_update(upstreams)

    def has_no_objects(self, upstream: UpstreamId) -> bool:
        """Tell whether no object is known to be warm at an upstream."""
        return not self._objects.get(upstream)

    def recent_updates(self, *, now: float) -> list[tuple[UpstreamId, int]]:
        """Return the pairs that others may not know yet."""
        while self._updates and now - self._updates[0][0] > UPDATE_AGE_S:
            self._updates.popleft()
        return [(upstream, mark) for _, upstream, mark in self._updates]

    def forget(self, upstream: UpstreamId) -> None:
        """Drop what an upstream handled: it is gone, or started again."""
        self._objects.pop(upstream, None)
        self._unsaved.discard(upstream)
