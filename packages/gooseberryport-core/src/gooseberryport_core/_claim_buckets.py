"""Idempotency keys of the callers' own making, claimed in the key-value service.

Claims are written in group commits: the claims of a short time are merged by compare-and-swap into
a few keys of the store, so that writes grow with time and not with requests. Entry daemons hand the
claims of one key of the store to one daemon, so that writes do not grow with daemons either; but
compare-and-swap alone makes a claim unique, whichever daemons write.
"""

from __future__ import annotations

import random

import msgspec
import xxhash

from gooseberryport_core.effects import Decide, Effect, SendMessage, StoreGet, StoreSwap
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

BUCKETS = 8
"""Keys of the store that hold claims."""

COMMIT_PERIOD_S = 0.1
"""Shortest time between two commits of one daemon to one bucket; seconds."""

MIN_GENERATION_S = 600.0
"""Time for which a generation of claims is kept, at least, after it was first seen; seconds."""

GIVE_UP_S = 1.0
"""Time after which a claim that is not committed is given up; seconds."""

MAX_CLAIMS = 12_000
"""Most claims in one bucket, so that its value stays below the store's limit."""

FIRST_CALL = 1 << 40
"""First number of the calls to the store made here; other parts count from 0."""


class BucketValue(msgspec.Struct, array_like=True):
    """Value of one bucket: two generations of claims, by digest of the key.

    Parameters
    ----------
    generation
        Number of the current generation.
    current, previous
        Token of the request that holds each claim, by digest.
    """

    generation: int = 0
    current: dict[str, str] = {}
    previous: dict[str, str] = {}


class _Waiting(msgspec.Struct):
    """A claim, or the release of one, that is to be committed.

    Parameters
    ----------
    token
        Claimant: the request's name in the whole fleet.
    reply_to
        Address of the daemon that asked; empty for this one.
    """

    digest: str
    request_id: RequestId
    token: str
    reply_to: str
    give_up_at: float
    release: bool = False


class _Bucket(msgspec.Struct):
    """What this daemon knows of one bucket."""

    key: str
    value: BucketValue = msgspec.field(default_factory=BucketValue)
    revision: Revision = Revision(-1)
    waiting: list[_Waiting] = msgspec.field(default_factory=list)
    call: CallId | None = None
    next_at: float = 0.0
    generation_seen_at: float = 0.0


def key_digest(key: str) -> str:
    """Return the digest under which a caller's key is claimed."""
    return xxhash.xxh3_128_hexdigest(key.encode())


class ClaimBuckets:
    """Claim keys in the store.

    Parameters
    ----------
    rng
        Source of jitter.
    """

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._buckets = [_Bucket(f"claims/{number}") for number in range(BUCKETS)]
        self._next_call = FIRST_CALL

    def claim(
        self, key: str, request_id: RequestId, token: str, now: float, *, reply_to: str = ""
    ) -> list[Effect]:
        """Queue a claim; its decision follows once it is committed or given up.

        Parameters
        ----------
        key, request_id
            The key, and the request that asks for it.
        token
            The request's name in the whole fleet.
        now
            Seconds, monotonic.
        reply_to
            Address of the daemon that asked; empty for this one.
        """
        digest = key_digest(key)
        waiting = self._bucket(digest).waiting
        if not any(known.token == token and not known.release for known in waiting):
            waiting.append(_Waiting(digest, request_id, token, reply_to, now + GIVE_UP_S))
        return []

    def release(self, key: str, token: str) -> None:
        """Queue the release of a claim whose request provably did not run."""
        digest = key_digest(key)
        bucket = self._bucket(digest)
        bucket.waiting = [waiting for waiting in bucket.waiting if waiting.token != token]
        released = _Waiting(digest, RequestId(""), token, "", float("inf"), release=True)
        bucket.waiting.append(released)

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Handle an event."""
        if isinstance(event, Tick):
            return [effect for bucket in self._buckets for effect in self._turn(bucket, now)]
        if not isinstance(event, StoreGot | StoreWritten | StoreFailed):
            return []
        for bucket in self._buckets:
            if bucket.call == event.call_id:
                bucket.call = None
                return self._answered(bucket, event, now)
        return []

    def _bucket(self, digest: str) -> _Bucket:
        return self._buckets[bucket_of(digest)]

    def _turn(self, bucket: _Bucket, now: float) -> list[Effect]:
        effects = self._give_up(bucket, now)
        if not bucket.waiting or bucket.call is not None or now < bucket.next_at:
            return effects
        bucket.next_at = now + COMMIT_PERIOD_S * self._rng.uniform(0.8, 1.2)
        return effects + self._commit(bucket, now)

    def _commit(self, bucket: _Bucket, now: float) -> list[Effect]:
        """Write what waits, or read first if the known value says that a key is held."""
        claims = [waiting for waiting in bucket.waiting if not waiting.release]
        if bucket.revision < 0 or any(_holder(bucket.value, c.digest) for c in claims):
            return [self._read(bucket)]
        self._drop_needless_releases(bucket)
        if not bucket.waiting:
            return []
        value = msgspec.msgpack.encode(self._wanted(bucket, now))
        bucket.call = self._call()
        return [StoreSwap(bucket.call, bucket.key, value, bucket.revision)]

    def _settle(self, bucket: _Bucket) -> list[Effect]:
        """Decide the waiting claims that the value just read or written decides."""
        effects: list[Effect] = []
        left: list[_Waiting] = []
        for waiting in bucket.waiting:
            holder = _holder(bucket.value, waiting.digest)
            if waiting.release or holder is None:
                left.append(waiting)
                continue
            first = holder == waiting.token
            verdict = ClaimVerdict.FIRST if first else ClaimVerdict.DUPLICATE
            effects.append(_tell(waiting, verdict))
        bucket.waiting = left
        self._drop_needless_releases(bucket)
        return effects

    def _drop_needless_releases(self, bucket: _Bucket) -> None:
        bucket.waiting = [
            waiting
            for waiting in bucket.waiting
            if not waiting.release or _holder(bucket.value, waiting.digest) == waiting.token
        ]

    def _wanted(self, bucket: _Bucket, now: float) -> BucketValue:
        value = bucket.value
        current = dict(value.current)
        previous = dict(value.previous)
        generation = value.generation
        if now - bucket.generation_seen_at >= MIN_GENERATION_S:
            previous, current, generation = current, {}, generation + 1
        for waiting in bucket.waiting:
            if waiting.release:
                current.pop(waiting.digest, None)
                previous.pop(waiting.digest, None)
            elif len(current) + len(previous) < MAX_CLAIMS:
                current.setdefault(waiting.digest, waiting.token)
        return BucketValue(generation, current, previous)

    def _answered(
        self, bucket: _Bucket, event: StoreGot | StoreWritten | StoreFailed, now: float
    ) -> list[Effect]:
        if isinstance(event, StoreFailed):
            bucket.revision = Revision(-1)
            return []
        if isinstance(event, StoreGot):
            absent = StoreValue(bucket.key, b"", Revision(0))
            self._learn(bucket, event.values[0] if event.values else absent, now)
        else:
            self._learn(bucket, event.current, now)
        return self._settle(bucket)

    def _learn(self, bucket: _Bucket, stored: StoreValue, now: float) -> None:
        value = BucketValue()
        if stored.revision > 0:
            value = msgspec.msgpack.decode(stored.value, type=BucketValue)
        if bucket.revision < 0 or value.generation != bucket.value.generation:
            bucket.generation_seen_at = now
        bucket.value = value
        bucket.revision = stored.revision

    def _give_up(self, bucket: _Bucket, now: float) -> list[Effect]:
        late = [w for w in bucket.waiting if w.give_up_at <= now]
        if not late:
            return []
        bucket.waiting = [w for w in bucket.waiting if w.give_up_at > now]
        return [_tell(waiting, ClaimVerdict.UNDECIDED) for waiting in late]

    def _read(self, bucket: _Bucket) -> StoreGet:
        bucket.call = self._call()
        return StoreGet(bucket.call, bucket.key)

    def _call(self) -> CallId:
        self._next_call += 1
        return CallId(self._next_call)


def bucket_of(digest: str) -> int:
    """Return the number of the bucket that holds a digest."""
    return int(digest[:8], 16) % BUCKETS


def _tell(waiting: _Waiting, verdict: ClaimVerdict) -> Effect:
    if waiting.reply_to:
        return SendMessage(waiting.reply_to, ClaimReply(waiting.request_id, verdict))
    return Decide(ClaimDecided(waiting.request_id, verdict))


def _holder(value: BucketValue, digest: str) -> str | None:
    return value.current.get(digest) or value.previous.get(digest)
