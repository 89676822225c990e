"""Record of the objects that each upstream handled recently.

Load pattern: an upstream answers several times faster for the few dozen objects that it handled
last; an object counts from the start of its first request. Each gateway reports what it observes to
the other gateways of its region, whose clients request the same objects.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Sequence

import msgspec
import xxhash

from gooseberryport_core.gateway.model import ObjectKey
from gooseberryport_core.types import UpstreamId

MAX_WARM_OBJECTS = 48
"""Objects assumed to be warm at an upstream; the least recently handled are evicted first."""

UPDATE_TTL_S = 1.2
"""Time for which a new pair of upstream and object is kept for other gateways: longer than the
longest interval between the reports that contain them; seconds."""

MAX_UPDATES = 2_000
"""Maximum pairs of upstream and object that are kept for other gateways; they fit into one
datagram."""

OBJECT_HASH_MASK = 0xFFFFFFFF


def hash_object_key(key: ObjectKey) -> int:
    """Return a 32-bit hash of an object's key that is the same in every process."""
    return xxhash.xxh3_64_intdigest(key.encode()) & OBJECT_HASH_MASK


class WarmthRecord(msgspec.Struct, frozen=True, array_like=True):
    """Objects that an upstream handled recently, as saved in the store.

    Parameters
    ----------
    started_ms
        Wall-clock start of the upstream's incarnation, which identifies it; milliseconds. Another
        incarnation is not warm.
    marks
        Hashes of the object keys, least recently handled first.
    """

    started_ms: int
    marks: tuple[int, ...]


class WarmthTracker:
    """Tracks which upstreams are warm for which objects."""

    def __init__(self) -> None:
        self._objects: dict[UpstreamId, OrderedDict[int, None]] = {}
        self._homes: dict[int, set[UpstreamId]] = {}
        self._updates: deque[tuple[float, UpstreamId, int]] = deque(maxlen=MAX_UPDATES)
        self._unsaved: set[UpstreamId] = set()

    def is_warm(self, upstream: UpstreamId, object_hash: int) -> bool:
        """Return whether an upstream handled an object recently."""
        objects = self._objects.get(upstream)
        return objects is not None and object_hash in objects

    def homes(self, object_hash: int) -> frozenset[UpstreamId]:
        """Return the upstreams that handled an object recently."""
        return frozenset(self._homes.get(object_hash, ()))

    def object_count(self, upstream: UpstreamId) -> int:
        """Return the number of objects that an upstream handled recently."""
        return len(self._objects.get(upstream, ()))

    def record(
        self, upstream: UpstreamId, object_hash: int, *, now: float, observed_here: bool
    ) -> bool:
        """Record that an upstream handles an object; return True if the object was not warm there.

        Parameters
        ----------
        upstream
            The upstream.
        object_hash
            Hash of the object's key.
        now
            Monotonic time; seconds.
        observed_here
            Whether this gateway sent the request itself; such updates are sent to other gateways.
        """
        objects = self._objects.setdefault(upstream, OrderedDict())
        was_warm = object_hash in objects
        if not was_warm:
            self._unsaved.add(upstream)
            self._homes.setdefault(object_hash, set()).add(upstream)
        objects[object_hash] = None
        objects.move_to_end(object_hash)
        if len(objects) > MAX_WARM_OBJECTS:
            evicted, _ = objects.popitem(last=False)
            self._remove_home(evicted, upstream)
        if observed_here and not was_warm:
            self._updates.append((now, upstream, object_hash))
        return not was_warm

    def remove(self, upstream: UpstreamId, object_hash: int) -> None:
        """Forget that an object is warm at an upstream, because its request did not run there."""
        objects = self._objects.get(upstream)
        if objects is not None and object_hash in objects:
            del objects[object_hash]
            self._remove_home(object_hash, upstream)
            self._unsaved.add(upstream)

    def restore(self, upstream: UpstreamId, marks: Sequence[int]) -> None:
        """Add saved objects; they count as handled before those recorded since the start.

        Parameters
        ----------
        upstream
            The upstream.
        marks
            Hashes of the object keys, least recently handled first.
        """
        recorded = self._objects.get(upstream, OrderedDict())
        merged = OrderedDict.fromkeys(
            object_hash for object_hash in marks if object_hash not in recorded
        )
        merged.update(recorded)
        while len(merged) > MAX_WARM_OBJECTS:
            evicted, _ = merged.popitem(last=False)
            self._remove_home(evicted, upstream)
        self._objects[upstream] = merged
        for object_hash in merged:
            self._homes.setdefault(object_hash, set()).add(upstream)

    def objects(self, upstream: UpstreamId) -> tuple[int, ...]:
        """Return the hashes of an upstream's warm objects, least recently handled first."""
        return tuple(self._objects.get(upstream, ()))

    def unsaved(self) -> list[UpstreamId]:
        """Return the upstreams whose objects changed since they were last saved."""
        return sorted(self._unsaved)

    def mark_saved(self, upstreams: Sequence[UpstreamId]) -> None:
        """Record that the current objects of the given upstreams were saved."""
        self._unsaved.difference_update(upstreams)

    def has_no_objects(self, upstream: UpstreamId) -> bool:
        """Return whether no object is known to be warm at an upstream."""
        return not self._objects.get(upstream)

    def recent_updates(
        self, *, now: float, max_age_s: float = UPDATE_TTL_S
    ) -> list[tuple[UpstreamId, int]]:
        """Return the pairs of upstream and object hash that became warm in the last `max_age_s`."""
        while self._updates and now - self._updates[0][0] > UPDATE_TTL_S:
            self._updates.popleft()
        return [
            (upstream, object_hash)
            for at, upstream, object_hash in self._updates
            if now - at <= max_age_s
        ]

    def forget(self, upstream: UpstreamId) -> None:
        """Drop the objects of an upstream that was removed or has restarted."""
        for object_hash in self._objects.pop(upstream, ()):
            self._remove_home(object_hash, upstream)
        self._unsaved.discard(upstream)

    def _remove_home(self, object_hash: int, upstream: UpstreamId) -> None:
        homes = self._homes.get(object_hash)
        if homes is None:
            return
        homes.discard(upstream)
        if not homes:
            del self._homes[object_hash]
