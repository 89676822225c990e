"""Idempotency keys: each is decided by one daemon, so that a request runs at most once.

An issued key carries the name of the daemon that issued it: ``vm~incarnation~second~word``. That
daemon alone decides it, in memory, without the store. Keys of a caller's own making are decided in
the store, by `ClaimBuckets`.
"""

from __future__ import annotations

import random
from collections import deque

import msgspec

from gooseberryport_core._claim_buckets import ClaimBuckets, bucket_of, key_digest
from gooseberryport_core._hashing import rendezvous_weight
from gooseberryport_core._views import Peers
from gooseberryport_core.config import Config
from gooseberryport_core.effects import Decide, Effect, SendMessage
from gooseberryport_core.events import ClaimDecided, Event, MessageArrived, Tick
from gooseberryport_core.messages import ClaimAsk, ClaimEnd, ClaimReply
from gooseberryport_core.settings import NodeSettings
from gooseberryport_core.types import ClaimVerdict, Incarnation, RequestId, VmId

KEY_TTL_S = 300.0
"""Time after its issue for which a key is accepted; seconds."""

CLAIM_KEPT_S = 2 * KEY_TTL_S
"""Time for which a claim is remembered; longer than any of its copies is accepted; seconds."""

MAX_CLAIMS = 100_000
"""Most claims that one daemon remembers; beyond that it decides no new key."""

ASK_PERIOD_S = 0.05
"""Time between two asks for the same request; seconds."""

ASK_LIMIT_S = 0.5
"""Time after which an ask about an issued key is given up; seconds."""

HAND_OVER_LIMIT_S = 0.25
"""Time after which a daemon claims a caller's own key itself; seconds."""

SEPARATOR = "~"


class IssuedKey(msgspec.Struct, frozen=True):
    """An idempotency key that names the daemon which decides it.

    Parameters
    ----------
    vm, incarnation
        The deciding daemon.
    issued_s
        When it was issued, on that daemon's monotonic clock; whole seconds.
    """

    vm: VmId
    incarnation: Incarnation
    issued_s: int


def parse_key(key: str) -> IssuedKey | None:
    """Return what an issued key says, or None for a key of the caller's own making."""
    parts = key.split(SEPARATOR, 3)
    if len(parts) != 4 or not parts[1].isdecimal() or not parts[2].isdecimal():
        return None
    return IssuedKey(VmId(parts[0]), Incarnation(int(parts[1])), int(parts[2]))


class _Claim(msgspec.Struct):
    """A key that a request holds."""

    key: str
    request_id: RequestId
    claimed_at: float


class _Ask(msgspec.Struct):
    """A decision that this daemon waits for.

    Parameters
    ----------
    claimant
        The request's name in the whole fleet.
    issued
        What the key says; None for a key of the caller's own making.
    """

    key: str
    request_id: RequestId
    claimant: RequestId
    issued: IssuedKey | None
    asked_at: float
    next_at: float
    peer: str = ""


class Claims:
    """Decide the keys that this daemon issued, and ask for the decision of others.

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
        self._order: deque[_Claim] = deque()
        self._asks: dict[RequestId, _Ask] = {}
        self._held: dict[RequestId, str] = {}
        self._buckets = ClaimBuckets(rng=rng)

    def configure(self, cfg: Config, now: float) -> list[Effect]:
        """Apply a newer configuration."""
        return []

    def key_prefix(self, now: float) -> str:
        """Return the prefix of keys that this daemon decides; the caller adds a word of its own."""
        me = self._settings
        return SEPARATOR.join((me.vm, str(me.incarnation), str(int(now)), ""))

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Handle an event."""
        if isinstance(event, Tick):
            self._forget(now)
            return self._ask_again(now) + self._buckets.handle(event, now)
        if not isinstance(event, MessageArrived):
            return self._buckets.handle(event, now)
        message = event.message
        if isinstance(message, ClaimAsk):
            return self._asked(message, event.address, now)
        if isinstance(message, ClaimReply):
            return self._replied(message)
        if isinstance(message, ClaimEnd) and not message.ran:
            self._release(message.key, message.request_id)
        return []

    def claim(self, key: str, request_id: RequestId, now: float) -> list[Effect]:
        """Ask for a key's decision; `ClaimDecided` follows, at once or later."""
        issued = parse_key(key)
        claimant = self._claimant(request_id)
        if issued is not None and issued.vm == self._settings.vm:
            self._held[claimant] = ""
            return _decided(request_id, self._decide(key, claimant, now))
        ask = _Ask(key, request_id, claimant, issued, now, now)
        self._asks[claimant] = ask
        return self._send_ask(ask, now)

    def handle_request_end(
        self, key: str, request_id: RequestId, ran: bool, now: float
    ) -> list[Effect]:
        """Tell the deciding daemon how a request ended that asked for a key."""
        claimant = self._claimant(request_id)
        ask = self._asks.pop(claimant, None)
        decided_by = self._held.pop(claimant, ask.peer if ask else None)
        if ran or decided_by is None:
            return []
        if decided_by:
            return [SendMessage(decided_by, ClaimEnd(key, claimant, ran))]
        self._release(key, claimant)
        return []

    def _claimant(self, request_id: RequestId) -> RequestId:
        me = self._settings
        return RequestId(f"{me.vm}.{me.incarnation}.{request_id}")

    def _asked(self, message: ClaimAsk, address: str, now: float) -> list[Effect]:
        claimant = message.request_id
        if parse_key(message.key) is None:
            return self._buckets.claim(message.key, claimant, claimant, now, reply_to=address)
        verdict = self._decide(message.key, claimant, now)
        return [SendMessage(address, ClaimReply(claimant, verdict))]

    def _decide(self, key: str, request_id: RequestId, now: float) -> ClaimVerdict:
        held = self._claims.get(key)
        if held is not None:
            return ClaimVerdict.FIRST if held.request_id == request_id else ClaimVerdict.DUPLICATE
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
        self._order.append(claim)
        return ClaimVerdict.FIRST

    def _release(self, key: str, claimant: RequestId) -> None:
        if parse_key(key) is None:
            self._buckets.release(key, claimant)
            return
        held = self._claims.get(key)
        if held is not None and held.request_id == claimant:
            del self._claims[key]

    def _replied(self, message: ClaimReply) -> list[Effect]:
        ask = self._asks.pop(message.request_id, None)
        if ask is None:
            return []
        if message.verdict == ClaimVerdict.FIRST:
            self._held[ask.claimant] = ask.peer
        return _decided(ask.request_id, message.verdict)

    def _send_ask(self, ask: _Ask, now: float) -> list[Effect]:
        ask.next_at = now + ASK_PERIOD_S
        if ask.issued is None:
            return self._hand_over(ask, now)
        peer = self._peers.peer(ask.issued.vm)
        if peer is not None and peer.incarnation > ask.issued.incarnation:
            return self._settle(ask, ClaimVerdict.LOST)
        if now >= ask.asked_at + ASK_LIMIT_S:
            return self._settle(ask, ClaimVerdict.UNDECIDED)
        return self._send(ask, peer.address) if peer else []

    def _hand_over(self, ask: _Ask, now: float) -> list[Effect]:
        """Hand a claim to the daemon that commits its bucket, or commit it here."""
        writer = self._writer(bucket_of(key_digest(ask.key)), now)
        if writer and now < ask.asked_at + HAND_OVER_LIMIT_S:
            return self._send(ask, writer)
        del self._asks[ask.claimant]
        self._held[ask.claimant] = ""
        return self._buckets.claim(ask.key, ask.request_id, ask.claimant, now)

    def _writer(self, bucket: int, now: float) -> str:
        """Return the address of the daemon that commits a bucket; empty for this one."""
        addresses = {peer.vm: peer.address for peer in self._peers.live(now)}
        addresses[self._settings.vm] = ""
        return addresses[max(addresses, key=lambda vm: rendezvous_weight(vm, f"claims/{bucket}"))]

    def _send(self, ask: _Ask, address: str) -> list[Effect]:
        ask.peer = address
        return [SendMessage(address, ClaimAsk(ask.key, ask.claimant, self._settings.vm))]

    def _settle(self, ask: _Ask, verdict: ClaimVerdict) -> list[Effect]:
        del self._asks[ask.claimant]
        return _decided(ask.request_id, verdict)

    def _ask_again(self, now: float) -> list[Effect]:
        due = [ask for ask in self._asks.values() if ask.next_at <= now]
        return [effect for ask in due for effect in self._send_ask(ask, now)]

    def _forget(self, now: float) -> None:
        while self._order and self._order[0].claimed_at + CLAIM_KEPT_S < now:
            claim = self._order.popleft()
            if self._claims.get(claim.key) is claim:
                del self._claims[claim.key]


def _decided(request_id: RequestId, verdict: ClaimVerdict) -> list[Effect]:
    return [Decide(ClaimDecided(request_id, verdict))]
