"""Record of the objects that each upstream handled recently.

Load pattern: an upstream answers several times faster for the few dozen objects that it handled
last; an object counts from the start of its first request. Each gateway reports what it observes to
the other gateways of its region, whose clients request the same objects. Which objects an upstream
still keeps follows from the order in which all gateways used them, so that order is reported too.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict, deque
from collections.abc import Sequence
from itertools import islice

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

MIN_REPORTED_DEPTH = 4
"""Depth from which the use of a known object is reported. Upstreams keep more objects than this, so
the order among the most recent ones does not matter."""

MAX_USED = 256
"""Maximum used pairs of upstream and object that are kept until the next report."""

LOST_DEPTH_FACTOR = 2
"""Multiple of a lost object's depth from which objects count as lost as well. Other gateways may
have used those right behind it without this one knowing; a factor of 1 made more requests cold."""

RESTORED_AT = -1e300
"""Time of use of restored objects: before that of all others, and after `NEVER`."""

NEVER = float("-inf")

RECENT_USE_S = 20.0
"""Time since its last use for which an object counts as still in use; seconds."""


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
        # Time of the last use by object hash, least recently used first.
        self._objects: dict[UpstreamId, OrderedDict[int, float]] = {}
        self._homes: dict[int, set[UpstreamId]] = {}
        self._updates: deque[tuple[float, UpstreamId, int]] = deque(maxlen=MAX_UPDATES)
        # Time of the last use up to which an upstream's objects are not warm any more.
        self._lost_until: dict[UpstreamId, float] = {}
        # Depth of known objects before their use, in order of use.
        self._used: dict[tuple[UpstreamId, int], int] = {}
        self._unsaved: set[UpstreamId] = set()

    def is_warm(
        self, upstream: UpstreamId, object_hash: int, *, capacity: int = MAX_WARM_OBJECTS
    ) -> bool:
        """Return whether an object is among the last `capacity` ones that an upstream handled."""
        objects = self._objects.get(upstream)
        if objects is None or object_hash not in objects:
            return False
        if objects[object_hash] <= self._lost_until.get(upstream, NEVER):
            return False
        return len(objects) <= capacity or object_hash in islice(reversed(objects), capacity)

    def homes(self, object_hash: int, *, capacity: int = MAX_WARM_OBJECTS) -> frozenset[UpstreamId]:
        """Return the upstreams where an object is among the last `capacity` ones."""
        return frozenset(
            upstream
            for upstream in self._homes.get(object_hash, ())
            if self.is_warm(upstream, object_hash, capacity=capacity)
        )

    def depth(self, upstream: UpstreamId, object_hash: int) -> int | None:
        """Return how many other objects an upstream handled since an object; None if unknown."""
        objects = self._objects.get(upstream)
        if objects is None or object_hash not in objects:
            return None
        for depth, known in enumerate(reversed(objects)):
            if known == object_hash:
                return depth
        return None

    def has_room(self, upstream: UpstreamId, *, capacity: int, now: float) -> bool:
        """Return whether an upstream can handle another object without evicting one in use."""
        objects = self._objects.get(upstream)
        if capacity >= MAX_WARM_OBJECTS or objects is None or len(objects) < capacity:
            return True
        evicted_next = next(islice(reversed(objects.values()), capacity - 1, None))
        is_lost = evicted_next <= self._lost_until.get(upstream, NEVER)
        return is_lost or now - evicted_next > RECENT_USE_S

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
        if was_warm and observed_here:
            self._record_use(upstream, object_hash)
        if not was_warm:
            self._unsaved.add(upstream)
            self._homes.setdefault(object_hash, set()).add(upstream)
        objects[object_hash] = now
        objects.move_to_end(object_hash)
        if len(objects) > MAX_WARM_OBJECTS:
            evicted, _ = objects.popitem(last=False)
            self._remove_home(evicted, upstream)
        if observed_here and not was_warm:
            self._updates.append((now, upstream, object_hash))
        return not was_warm

    def _record_use(self, upstream: UpstreamId, object_hash: int) -> None:
        depth = self.depth(upstream, object_hash) or 0
        earlier = self._used.pop((upstream, object_hash), 0)
        if max(depth, earlier) >= MIN_REPORTED_DEPTH and len(self._used) < MAX_USED:
            self._used[upstream, object_hash] = max(depth, earlier)

    @property
    def used_count(self) -> int:
        """Number of known pairs that were used since the last report."""
        return len(self._used)

    def take_used(self, *, limit: int) -> list[tuple[UpstreamId, int]]:
        """Return the known pairs of upstream and object used since the last call, in order of use.

        Parameters
        ----------
        limit
            Maximum number of pairs; those whose use changed the order most go first.
        """
        used, self._used = self._used, {}
        if len(used) > limit:
            chosen = set(heapq.nlargest(limit, used, key=used.__getitem__))
            return [pair for pair in used if pair in chosen]
        return list(used)

    def last_use_at(self, upstream: UpstreamId, object_hash: int) -> float | None:
        """Return when an upstream handled an object last; None if unknown; monotonic seconds."""
        objects = self._objects.get(upstream)
        return objects.get(object_hash) if objects is not None else None

    def record_lost(self, upstream: UpstreamId, *, used_at: float) -> None:
        """Record that an upstream lost an object that it had handled at a time.

        It isn't warm either for what it handled well before that time. The order of use stays
        known, and the saved record isn't written: its reader finds out in the same way.
        """
        newest_first = list(reversed(self._objects.get(upstream, OrderedDict()).values()))
        depth = sum(at >= used_at for at in newest_first)
        lost = newest_first[depth * LOST_DEPTH_FACTOR :]
        if lost:
            self._lost_until[upstream] = max(lost[0], self._lost_until.get(upstream, NEVER))

    def discard(self, upstream: UpstreamId, object_hash: int) -> bool:
        """Forget that an object is warm at an upstream; return whether it was known."""
        objects = self._objects.get(upstream)
        if objects is None or object_hash not in objects:
            return False
        del objects[object_hash]
        self._remove_home(object_hash, upstream)
        return True

    def remove(self, upstream: UpstreamId, object_hash: int) -> None:
        """Forget that an object is warm at an upstream, because its request did not run there."""
        if self.discard(upstream, object_hash):
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
        # When the saved objects were used is not known, so they don't count as still in use.
        merged = OrderedDict(
            (object_hash, RESTORED_AT) for object_hash in marks if object_hash not in recorded
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

    def mark_all_unsaved(self) -> None:
        """Record that what was saved may have been lost."""
        self._unsaved.update(upstream for upstream, objects in self._objects.items() if objects)

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
        self._lost_until.pop(upstream, None)

    def _remove_home(self, object_hash: int, upstream: UpstreamId) -> None:
        homes = self._homes.get(object_hash)
        if homes is None:
            return
        homes.discard(upstream)
        if not homes:
            del self._homes[object_hash]
