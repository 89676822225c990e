"""Claims on idempotency keys that callers chose themselves, kept in the key-value store.

Load pattern: claims are written in group commits. All claims of a short interval are merged by
compare-and-swap into a few store keys (buckets), so the number of writes grows with time and not
with requests. Entry daemons forward the claims of a bucket to one daemon, so the number of writes
does not grow with the number of daemons either. Uniqueness of a claim rests on compare-and-swap
alone, whichever daemons write.
"""

from __future__ import annotations

import random

import msgspec
import xxhash

from gooseberryport_core.effects import DispatchEvent, Effect, SendMessage, StoreGet, StoreSwap
from gooseberryport_core.events import (
    ClaimDecided,
    Event,
    StoreFailed,
    StoreGot,
    StoreValue,
    StoreWritten,
    Tick,
)
from gooseberryport_core.messages import ClaimReply
from gooseberryport_core.types import CallId, ClaimVerdict, RequestId, Revision

NUM_BUCKETS = 8
"""Number of store keys that hold claims."""

MIN_COMMIT_INTERVAL_S = 0.1
"""Minimum time between two commits of one daemon to one bucket, before jitter; seconds."""

MIN_GENERATION_S = 600.0
"""Minimum time for which a generation of claims is current, from when the writer first read it;
the claims are kept for one more generation; seconds."""

MAX_TICK_INTERVAL_S = 0.25
"""Time between two ticks above which this daemon was paused; seconds. What the store answered
meanwhile is still unread, so the pause does not count as time that a claim has waited."""

COMMIT_TIMEOUT_S = 1.0
"""Time after which a claim that is not committed ends as undecided; seconds."""

MAX_CLAIMS = 12_000
"""Maximum number of claims in one bucket, so that its value stays below the store's size limit."""

FIRST_CALL_ID = 1 << 40
"""Number after which the identifiers of this module's store calls begin; below every range of
`StoreUser`, so that calls of other components have different identifiers."""


class BucketValue(msgspec.Struct, array_like=True):
    """Stored value of one bucket: two generations of claims, by digest of the key.

    Parameters
    ----------
    generation
        Number of the current generation.
    current, previous
        Claimant that holds each claim, by digest; a name of its request that is unique in the whole
        fleet.
    """

    generation: int = 0
    current: dict[str, str] = {}
    previous: dict[str, str] = {}


class _PendingWrite(msgspec.Struct):
    """A claim, or the release of a claim, that is not committed yet.

    Parameters
    ----------
    claimant
        Name of the request that is unique in the whole fleet.
    reply_to
        Address of the daemon that forwarded the claim; empty for this daemon.
    was_paused
        Whether a pause of this daemon was added to its time; only the first one is.
    """

    digest: str
    request_id: RequestId
    claimant: str
    reply_to: str
    give_up_at: float
    release: bool = False
    was_paused: bool = False


class _Bucket(msgspec.Struct):
    """One bucket's last known value and the writes that are pending for it.

    A revision below 0 means that the bucket must be read before it can be written.
    """

    key: str
    value: BucketValue = msgspec.field(default_factory=BucketValue)
    revision: Revision = Revision(-1)
    pending: list[_PendingWrite] = msgspec.field(default_factory=list)
    call: CallId | None = None
    next_commit_at: float = 0.0
    generation_seen_at: float = 0.0


def key_digest(key: str) -> str:
    """Return the digest under which a caller's key is claimed."""
    return xxhash.xxh3_128_hexdigest(key.encode())


class ClaimBuckets:
    """Claims callers' keys in the store.

    Parameters
    ----------
    rng
        Source of jitter.
    """

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._buckets = [_Bucket(f"claims/{number}") for number in range(NUM_BUCKETS)]
        self._last_call_id = FIRST_CALL_ID
        self._ticked_at = float("inf")

    def claim(
        self, key: str, request_id: RequestId, claimant: str, now: float, *, reply_to: str = ""
    ) -> list[Effect]:
        """Queue a claim; its decision follows once it is committed or has timed out.

        Parameters
        ----------
        key, request_id
            The key, and the request that claims it.
        claimant
            Name of the request that is unique in the whole fleet.
        now
            Seconds, monotonic.
        reply_to
            Address of the daemon that forwarded the claim; empty for this daemon.
        """
        digest = key_digest(key)
        pending = self._bucket(digest).pending
        if not any(other.claimant == claimant and not other.release for other in pending):
            pending.append(
                _PendingWrite(digest, request_id, claimant, reply_to, now + COMMIT_TIMEOUT_S)
            )
        return []

    def release(self, key: str, claimant: str) -> None:
        """Queue the release of a claim whose request certainly did not run."""
        digest = key_digest(key)
        bucket = self._bucket(digest)
        bucket.pending = [pending for pending in bucket.pending if pending.claimant != claimant]
        release = _PendingWrite(digest, RequestId(""), claimant, "", float("inf"), release=True)
        bucket.pending.append(release)

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Handle an event."""
        if isinstance(event, Tick):
            self._allow_for_pause(now)
            return [effect for bucket in self._buckets for effect in self._tick_bucket(bucket, now)]
        if not isinstance(event, StoreGot | StoreWritten | StoreFailed):
            return []
        for bucket in self._buckets:
            if bucket.call == event.call_id:
                bucket.call = None
                return self._handle_store_event(bucket, event, now)
        return []

    def _allow_for_pause(self, now: float) -> None:
        pause_s = now - self._ticked_at
        self._ticked_at = now
        if pause_s <= MAX_TICK_INTERVAL_S:
            return
        for bucket in self._buckets:
            for pending in bucket.pending:
                if not pending.was_paused:
                    pending.give_up_at += pause_s
                pending.was_paused = True

    def _bucket(self, digest: str) -> _Bucket:
        return self._buckets[bucket_of(digest)]

    def _tick_bucket(self, bucket: _Bucket, now: float) -> list[Effect]:
        effects = self._expire(bucket, now)
        if not bucket.pending or bucket.call is not None or now < bucket.next_commit_at:
            return effects
        bucket.next_commit_at = now + MIN_COMMIT_INTERVAL_S * self._rng.uniform(0.8, 1.2)
        return effects + self._commit(bucket, now)

    def _commit(self, bucket: _Bucket, now: float) -> list[Effect]:
        """Write the pending claims; read first if the known value shows a claimed key as held."""
        claims = [pending for pending in bucket.pending if not pending.release]
        if bucket.revision < 0 or any(_holder_of(bucket.value, c.digest) for c in claims):
            return [self._read_bucket(bucket)]
        self._drop_obsolete_releases(bucket)
        if not bucket.pending:
            return []
        value = msgspec.msgpack.encode(self._next_value(bucket, now))
        bucket.call = self._new_call_id()
        return [StoreSwap(bucket.call, bucket.key, value, bucket.revision)]

    def _decide(self, bucket: _Bucket) -> list[Effect]:
        """Decide the pending claims that have a holder in the value just read or written."""
        effects: list[Effect] = []
        undecided: list[_PendingWrite] = []
        for pending in bucket.pending:
            holder = _holder_of(bucket.value, pending.digest)
            if pending.release or holder is None:
                undecided.append(pending)
                continue
            is_holder = holder == pending.claimant
            verdict = ClaimVerdict.FIRST if is_holder else ClaimVerdict.DUPLICATE
            effects.append(_reply(pending, verdict))
        bucket.pending = undecided
        self._drop_obsolete_releases(bucket)
        return effects

    def _drop_obsolete_releases(self, bucket: _Bucket) -> None:
        bucket.pending = [
            pending
            for pending in bucket.pending
            if not pending.release or _holder_of(bucket.value, pending.digest) == pending.claimant
        ]

    def _next_value(self, bucket: _Bucket, now: float) -> BucketValue:
        value = bucket.value
        current = dict(value.current)
        previous = dict(value.previous)
        generation = value.generation
        if now - bucket.generation_seen_at >= MIN_GENERATION_S:
            previous, current, generation = current, {}, generation + 1
        for pending in bucket.pending:
            if pending.release:
                current.pop(pending.digest, None)
                previous.pop(pending.digest, None)
            elif len(current) + len(previous) < MAX_CLAIMS:
                current.setdefault(pending.digest, pending.claimant)
        return BucketValue(generation, current, previous)

    def _handle_store_event(
        self, bucket: _Bucket, event: StoreGot | StoreWritten | StoreFailed, now: float
    ) -> list[Effect]:
        if isinstance(event, StoreFailed):
            bucket.revision = Revision(-1)
            return []
        if isinstance(event, StoreGot):
            absent = StoreValue(bucket.key, b"", Revision(0))
            self._record_value(bucket, event.values[0] if event.values else absent, now)
        else:
            self._record_value(bucket, event.current, now)
        return self._decide(bucket)

    def _record_value(self, bucket: _Bucket, stored: StoreValue, now: float) -> None:
        value = BucketValue()
        if stored.revision > 0:
            value = msgspec.msgpack.decode(stored.value, type=BucketValue)
        if bucket.revision < 0 or value.generation != bucket.value.generation:
            bucket.generation_seen_at = now
        bucket.value = value
        bucket.revision = stored.revision

    def _expire(self, bucket: _Bucket, now: float) -> list[Effect]:
        expired = [w for w in bucket.pending if w.give_up_at <= now]
        if not expired:
            return []
        bucket.pending = [w for w in bucket.pending if w.give_up_at > now]
        return [_reply(pending, ClaimVerdict.UNDECIDED) for pending in expired]

    def _read_bucket(self, bucket: _Bucket) -> StoreGet:
        bucket.call = self._new_call_id()
        return StoreGet(bucket.call, bucket.key)

    def _new_call_id(self) -> CallId:
        self._last_call_id += 1
        return CallId(self._last_call_id)


def bucket_of(digest: str) -> int:
    """Return the number of the bucket that holds a digest."""
    return int(digest[:8], 16) % NUM_BUCKETS


def _reply(pending: _PendingWrite, verdict: ClaimVerdict) -> Effect:
    if pending.reply_to:
        return SendMessage(pending.reply_to, ClaimReply(pending.request_id, verdict))
    return DispatchEvent(ClaimDecided(pending.request_id, verdict))


def _holder_of(value: BucketValue, digest: str) -> str | None:
    return value.current.get(digest) or value.previous.get(digest)
