"""Idempotency keys: each is decided by one daemon, so that a request runs at most once.

An issued key carries the name of the daemon that issued it: ``vm~incarnation~second~word``. That
daemon alone decides it, in memory, without the store. Keys of a caller's own making are decided in
the store, by `ClaimBuckets`.
"""

from __future__ import annotations

import random
from collections import deque

import msgspec

from gooseberryport_core._claim_buckets import ClaimBuckets
from gooseberryport_core._views import Peers
from gooseberryport_core.config import Config
from gooseberryport_core.effects import Decide, Effect, SendMessage
from gooseberryport_core.events import ClaimDecided, Event, MessageArrived, Tick
from gooseberryport_core.messages import ClaimAsk, ClaimEnd, ClaimReply
from gooseberryport_core.settings import NodeSettings
from gooseberryport_core.types import ClaimVerdict, Incarnation, RequestId, VmId

KEY_LIFETIME_S = 300.0
"""Time after its issue for which a key is accepted; seconds."""

CLAIM_KEPT_S = 2 * KEY_LIFETIME_S
"""Time for which a claim is remembered; longer than any of its copies is accepted; seconds."""

MAX_CLAIMS = 100_000
"""Most claims that one daemon remembers; beyond that it decides no new key."""

ASK_PERIOD_S = 0.05
"""Time between two asks for the same request; seconds."""

ASK_LIMIT_S = 0.5
"""Time after which an ask without an answer is given up; seconds."""

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
    """A decision that this daemon waits for."""

    key: str
    request_id: RequestId
    vm: VmId
    next_at: float
    give_up_at: float


class Claims:
    """Decide the keys that this daemon issued, and ask for the decision of others.

    Parameters
    ----------
    settings
        Who this daemon is.
    peers
        What membership knows.
    rng
        Source of jitter.
    """

    def __init__(self, *, settings: NodeSettings, peers: Peers, rng: random.Random) -> None:
        self._settings = settings
        self._peers = peers
        self._claims: dict[str, _Claim] = {}
        self._order: deque[_Claim] = deque()
        self._asks: dict[RequestId, _Ask] = {}
        self._buckets = ClaimBuckets(settings=settings, rng=rng)

    def configure(self, cfg: Config, now: float) -> list[Effect]:
        """Take a newer configuration."""
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
            verdict = self._decide(message.key, message.request_id, now)
            return [SendMessage(event.address, ClaimReply(message.request_id, verdict))]
        if isinstance(message, ClaimReply):
            return self._replied(message)
        if isinstance(message, ClaimEnd) and not message.ran:
            self._release(message.key, message.request_id)
        return []

    def ask(self, key: str, request_id: RequestId, now: float) -> list[Effect]:
        """Ask for a key's decision; `ClaimDecided` follows, at once or later."""
        issued = parse_key(key)
        if issued is None:
            return self._buckets.ask(key, request_id, now)
        if issued.vm == self._settings.vm:
            return _decided(request_id, self._decide(key, request_id, now))
        ask = _Ask(key, request_id, issued.vm, now, now + ASK_LIMIT_S)
        self._asks[request_id] = ask
        return self._send_ask(ask, issued.incarnation, now)

    def ended(self, key: str, request_id: RequestId, ran: bool, now: float) -> list[Effect]:
        """Tell the deciding daemon how a request ended that asked for a key."""
        self._asks.pop(request_id, None)
        issued = parse_key(key)
        if issued is None:
            return self._buckets.ended(key, request_id, ran)
        if ran:
            return []
        if issued.vm == self._settings.vm:
            self._release(key, request_id)
            return []
        peer = self._peers.peer(issued.vm)
        if peer is None:
            return []
        return [SendMessage(peer.address, ClaimEnd(key, request_id, ran))]

    def _decide(self, key: str, request_id: RequestId, now: float) -> ClaimVerdict:
        held = self._claims.get(key)
        if held is not None:
            return ClaimVerdict.FIRST if held.request_id == request_id else ClaimVerdict.DUPLICATE
        issued = parse_key(key)
        me = self._settings
        if issued is None or (issued.vm, issued.incarnation) != (me.vm, me.incarnation):
            return ClaimVerdict.LOST
        if not -1.0 <= now - issued.issued_s <= KEY_LIFETIME_S:
            return ClaimVerdict.LOST
        if len(self._claims) >= MAX_CLAIMS:
            return ClaimVerdict.UNDECIDED
        claim = _Claim(key, request_id, now)
        self._claims[key] = claim
        self._order.append(claim)
        return ClaimVerdict.FIRST

    def _release(self, key: str, request_id: RequestId) -> None:
        held = self._claims.get(key)
        if held is not None and held.request_id == request_id:
            del self._claims[key]

    def _replied(self, message: ClaimReply) -> list[Effect]:
        if self._asks.pop(message.request_id, None) is None:
            return []
        return _decided(message.request_id, message.verdict)

    def _send_ask(self, ask: _Ask, incarnation: Incarnation, now: float) -> list[Effect]:
        peer = self._peers.peer(ask.vm)
        if peer is not None and peer.incarnation > incarnation:
            del self._asks[ask.request_id]
            return _decided(ask.request_id, ClaimVerdict.LOST)
        ask.next_at = now + ASK_PERIOD_S
        if peer is None:
            return []
        message = ClaimAsk(ask.key, ask.request_id, self._settings.vm)
        return [SendMessage(peer.address, message)]

    def _ask_again(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        for ask in [ask for ask in self._asks.values() if ask.next_at <= now]:
            if now >= ask.give_up_at:
                del self._asks[ask.request_id]
                effects.extend(_decided(ask.request_id, ClaimVerdict.UNDECIDED))
                continue
            issued = parse_key(ask.key)
            assert issued is not None
            effects.extend(self._send_ask(ask, issued.incarnation, now))
        return effects

    def _forget(self, now: float) -> None:
        while self._order and self._order[0].claimed_at + CLAIM_KEPT_S < now:
            claim = self._order.popleft()
            if self._claims.get(claim.key) is claim:
                del self._claims[claim.key]


def _decided(request_id: RequestId, verdict: ClaimVerdict) -> list[Effect]:
    return [Decide(ClaimDecided(request_id, verdict))]
