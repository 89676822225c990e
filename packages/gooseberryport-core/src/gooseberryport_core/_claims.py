"""Claims on idempotency keys: one daemon decides each key, so that a request runs at most once.

An issued key names the daemon that issued it: ``vm~incarnation~second~word``. Only that daemon
decides it, in memory, without the store. Keys that callers choose themselves are decided in the
store, by `ClaimBuckets`.
"""

from __future__ import annotations

import random
from collections import deque

import msgspec

from gooseberryport_core._claim_buckets import ClaimBuckets, bucket_of, key_digest
from gooseberryport_core._hashing import rendezvous_weight
from gooseberryport_core._views import Peer, Peers
from gooseberryport_core.config import Config
from gooseberryport_core.effects import DispatchEvent, Effect, SendMessage
from gooseberryport_core.events import ClaimDecided, Event, MessageArrived, Tick
from gooseberryport_core.messages import ClaimAsk, ClaimEnd, ClaimReply
from gooseberryport_core.settings import NodeSettings
from gooseberryport_core.types import ClaimVerdict, Incarnation, RequestId, VmId

KEY_TTL_S = 300.0
"""Time for which an issued key is accepted; seconds."""

CLAIM_TTL_S = 2 * KEY_TTL_S
"""Time for which a claim is kept; longer than its key is accepted from any copy of the request;
seconds."""

MAX_CLAIMS = 100_000
"""Maximum number of claims that one daemon keeps; claims on further keys end as undecided."""

CLAIM_RETRY_INTERVAL_S = 0.05
"""Time between two claim messages for the same request; seconds."""

ISSUED_CLAIM_TIMEOUT_S = 0.5
"""Time after which a claim on an issued key ends as undecided if the deciding daemon's heartbeats
have stopped; seconds. Otherwise it may only be paused, and the request's deadline counts."""

FORWARD_TIMEOUT_S = 0.25
"""Time after which a daemon that forwarded a claim on a caller-chosen key, and got no reply,
commits the claim in its place; seconds."""

SEPARATOR = "~"


class IssuedKey(msgspec.Struct, frozen=True):
    """The contents of an idempotency key that a daemon issued.

    Parameters
    ----------
    vm, incarnation
        The daemon that issued the key and decides it.
    issued_s
        Time of issue on that daemon's monotonic clock; whole seconds.
    """

    vm: VmId
    incarnation: Incarnation
    issued_s: int


def parse_key(key: str) -> IssuedKey | None:
    """Return the contents of an issued key, or None for a key that the caller chose."""
    parts = key.split(SEPARATOR, 3)
    if len(parts) != 4 or not parts[1].isdecimal() or not parts[2].isdecimal():
        return None
    return IssuedKey(VmId(parts[0]), Incarnation(int(parts[1])), int(parts[2]))


class _Claim(msgspec.Struct):
    """A key and the request that holds it."""

    key: str
    request_id: RequestId
    claimed_at: float


class _PendingClaim(msgspec.Struct):
    """A claim that this daemon has sent to the deciding daemon.

    Parameters
    ----------
    claimant
        Name of the request that is unique in the whole fleet.
    issued
        Contents of an issued key; None for a key that the caller chose.
    sent_to
        Address of the daemon to which the claim was last sent; empty before.
    """

    key: str
    request_id: RequestId
    claimant: RequestId
    issued: IssuedKey | None
    requested_at: float
    next_send_at: float
    sent_to: str = ""


class Claims:
    """Decides the keys that this daemon issued, and requests decisions on other keys.

    Parameters
    ----------
    settings
        Identity and settings of this daemon.
    peers
        View of the other daemons.
    rng
        Source of jitter.
    """

    def __init__(self, *, settings: NodeSettings, peers: Peers, rng: random.Random) -> None:
        self._settings = settings
        self._peers = peers
        self._claims: dict[str, _Claim] = {}
        self._claims_by_age: deque[_Claim] = deque()
        self._pending: dict[RequestId, _PendingClaim] = {}
        self._deciders: dict[RequestId, str] = {}
        self._claim_buckets = ClaimBuckets(rng=rng)

    def configure(self, cfg: Config, now: float) -> list[Effect]:
        """Apply a newer configuration."""
        return []

    def key_prefix(self, now: float) -> str:
        """Return the prefix of keys that this daemon decides; callers append a unique word."""
        me = self._settings
        return SEPARATOR.join((me.vm, str(me.incarnation), str(int(now)), ""))

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Handle an event."""
        if isinstance(event, Tick):
            self._forget_expired(now)
            return self._retry_pending(now) + self._claim_buckets.handle(event, now)
        if not isinstance(event, MessageArrived):
            return self._claim_buckets.handle(event, now)
        message = event.message
        if isinstance(message, ClaimAsk):
            return self._handle_claim_request(message, event.address, now)
        if isinstance(message, ClaimReply):
            return self._handle_reply(message)
        if isinstance(message, ClaimEnd) and not message.ran:
            self._release(message.key, message.request_id)
        return []

    def claim(self, key: str, request_id: RequestId, now: float) -> list[Effect]:
        """Claim a key for a request; `ClaimDecided` follows, at once or later."""
        issued = parse_key(key)
        claimant = self._claimant_of(request_id)
        if issued is not None and issued.vm == self._settings.vm:
            self._deciders[claimant] = ""
            return _decided(request_id, self._decide(key, claimant, now))
        pending = _PendingClaim(key, request_id, claimant, issued, now, now)
        self._pending[claimant] = pending
        return self._request_decision(pending, now)

    def handle_request_end(
        self, key: str, request_id: RequestId, ran: bool, now: float
    ) -> list[Effect]:
        """Release the key of a request that did not run; other ends leave the claim in place."""
        claimant = self._claimant_of(request_id)
        pending = self._pending.pop(claimant, None)
        decider = self._deciders.pop(claimant, pending.sent_to if pending else None)
        if ran or decider is None:
            return []
        if decider:
            return [SendMessage(decider, ClaimEnd(key, claimant, ran))]
        self._release(key, claimant)
        return []

    def _claimant_of(self, request_id: RequestId) -> RequestId:
        me = self._settings
        return RequestId(f"{me.vm}.{me.incarnation}.{request_id}")

    def _handle_claim_request(self, message: ClaimAsk, address: str, now: float) -> list[Effect]:
        claimant = message.request_id
        if parse_key(message.key) is None:
            return self._claim_buckets.claim(message.key, claimant, claimant, now, reply_to=address)
        verdict = self._decide(message.key, claimant, now)
        return [SendMessage(address, ClaimReply(claimant, verdict))]

    def _decide(self, key: str, request_id: RequestId, now: float) -> ClaimVerdict:
        holder = self._claims.get(key)
        if holder is not None:
            return ClaimVerdict.FIRST if holder.request_id == request_id else ClaimVerdict.DUPLICATE
        issued = parse_key(key)
        me = self._settings
        if issued is None or (issued.vm, issued.incarnation) != (me.vm, me.incarnation):
            return ClaimVerdict.LOST
        if not -1.0 <= now - issued.issued_s <= KEY_TTL_S:
            return ClaimVerdict.LOST
        if len(self._claims) >= MAX_CLAIMS:
            return ClaimVerdict.UNDECIDED
        claim = _Claim(key, request_id, now)
        self._claims[key] = claim
        self._claims_by_age.append(claim)
        return ClaimVerdict.FIRST

    def _release(self, key: str, claimant: RequestId) -> None:
        if parse_key(key) is None:
            self._claim_buckets.release(key, claimant)
            return
        holder = self._claims.get(key)
        if holder is not None and holder.request_id == claimant:
            del self._claims[key]

    def _handle_reply(self, message: ClaimReply) -> list[Effect]:
        pending = self._pending.pop(message.request_id, None)
        if pending is None:
            return []
        if message.verdict == ClaimVerdict.FIRST:
            self._deciders[pending.claimant] = pending.sent_to
        return _decided(pending.request_id, message.verdict)

    def _request_decision(self, pending: _PendingClaim, now: float) -> list[Effect]:
        pending.next_send_at = now + CLAIM_RETRY_INTERVAL_S
        if pending.issued is None:
            return self._forward(pending, now)
        peer = self._peers.peer(pending.issued.vm)
        if peer is not None and peer.incarnation > pending.issued.incarnation:
            return self._finish(pending, ClaimVerdict.LOST)
        if now >= pending.requested_at + ISSUED_CLAIM_TIMEOUT_S and self._is_silent(peer, now):
            return self._finish(pending, ClaimVerdict.UNDECIDED)
        return self._send(pending, peer.address) if peer else []

    def _is_silent(self, peer: Peer | None, now: float) -> bool:
        timeout_s = self._settings.timing.peer_timeout_s
        return peer is None or now - peer.last_heartbeat_at > timeout_s

    def _forward(self, pending: _PendingClaim, now: float) -> list[Effect]:
        """Forward a claim to the daemon that commits its bucket, or commit it here."""
        writer = self._bucket_writer(bucket_of(key_digest(pending.key)), now)
        if writer and now < pending.requested_at + FORWARD_TIMEOUT_S:
            return self._send(pending, writer)
        del self._pending[pending.claimant]
        self._deciders[pending.claimant] = ""
        return self._claim_buckets.claim(pending.key, pending.request_id, pending.claimant, now)

    def _bucket_writer(self, bucket: int, now: float) -> str:
        """Return the address of the daemon that commits a bucket; empty for this daemon."""
        addresses = {peer.vm: peer.address for peer in self._peers.live(now)}
        addresses[self._settings.vm] = ""
        return addresses[max(addresses, key=lambda vm: rendezvous_weight(vm, f"claims/{bucket}"))]

    def _send(self, pending: _PendingClaim, address: str) -> list[Effect]:
        pending.sent_to = address
        return [SendMessage(address, ClaimAsk(pending.key, pending.claimant, self._settings.vm))]

    def _finish(self, pending: _PendingClaim, verdict: ClaimVerdict) -> list[Effect]:
        del self._pending[pending.claimant]
        return _decided(pending.request_id, verdict)

    def _retry_pending(self, now: float) -> list[Effect]:
        due = [pending for pending in self._pending.values() if pending.next_send_at <= now]
        return [effect for pending in due for effect in self._request_decision(pending, now)]

    def _forget_expired(self, now: float) -> None:
        while self._claims_by_age and self._claims_by_age[0].claimed_at + CLAIM_TTL_S < now:
            claim = self._claims_by_age.popleft()
            if self._claims.get(claim.key) is claim:
                del self._claims[claim.key]


def _decided(request_id: RequestId, verdict: ClaimVerdict) -> list[Effect]:
    return [DispatchEvent(ClaimDecided(request_id, verdict))]
