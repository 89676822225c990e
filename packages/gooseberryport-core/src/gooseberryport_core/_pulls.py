"""Free slots that ask for work which waits elsewhere."""

from __future__ import annotations

import random

import msgspec

from gooseberryport_core._network_delays import NetworkDelays
from gooseberryport_core._views import Owners, Peers
from gooseberryport_core.config import Config, pools_of
from gooseberryport_core.effects import Effect, SendMessage
from gooseberryport_core.messages import PoolLoad, Pull, PullReply
from gooseberryport_core.settings import NodeSettings
from gooseberryport_core.types import Epoch, PoolId, ServiceName, TicketId, UpstreamId

RESERVATION_TTL_S = 0.15
"""Time that a slot is kept for the answer to an ask, and again for the ticket; seconds."""

BLIND_ASK_S = 0.05
"""Shortest time between two asks without any figures; seconds."""

LONGEST_BLIND_ASK_S = 1.0
"""Longest time between two asks without any figures; seconds."""


class _Belief(msgspec.Struct):
    """What is believed of another pool's queue.

    Parameters
    ----------
    at
        Time of the figure; seconds, monotonic.
    queued
        Requests that wait, less those asked for since.
    wait_s
        Expected wait of the last in the queue; seconds.
    """

    at: float
    queued: int
    wait_s: float


class Ask(msgspec.Struct):
    """A slot that is kept for work from elsewhere.

    Parameters
    ----------
    pool, upstream
        The slot.
    asked
        Pool that was asked.
    until
        End of the reservation; seconds, monotonic.
    ticket_id
        Ticket that was promised; empty before the answer.
    """

    pool: PoolId
    upstream: UpstreamId
    asked: PoolId
    until: float
    ticket_id: TicketId = TicketId("")


class Pulls:
    """Decide whom to ask for work, and keep the slots reserved for it.

    Parameters
    ----------
    settings
        Who this daemon is.
    owners
        What ownership knows.
    peers
        What membership knows.
    rng
        Source of random choices.
    """

    def __init__(
        self, *, settings: NodeSettings, owners: Owners, peers: Peers, rng: random.Random
    ) -> None:
        self._settings = settings
        self._owners = owners
        self._peers = peers
        self._rng = rng
        self._network_delays = NetworkDelays(Config())
        self._pools: dict[ServiceName, tuple[PoolId, ...]] = {}
        self._asks: dict[int, Ask] = {}
        self._load_estimates: dict[PoolId, _Belief] = {}
        self._blind_at: dict[PoolId, float] = {}
        self._blind_wait_s: dict[PoolId, float] = {}
        self._newest_asked: dict[PoolId, tuple[int, int]] = {}
        self._serial = 0

    def configure(self, cfg: Config) -> None:
        """Take a newer configuration."""
        self._network_delays = NetworkDelays(cfg)
        by_service: dict[ServiceName, list[PoolId]] = {}
        for pool in pools_of(cfg):
            by_service.setdefault(pool.service, []).append(pool)
        self._pools = {service: tuple(pools) for service, pools in by_service.items()}

    def record_loads(self, now: float) -> None:
        """Take the newest load figures of the other daemons."""
        for remote in self._peers.loads(now):
            self._believe(remote.load, now - remote.age_s)

    def choose_target(self, pool: PoolId, now: float) -> PoolId | None:
        """Return the pool whose work gains most from a free slot of `pool`, or None."""
        best: PoolId | None = None
        best_gain_s = float("-inf")
        for other in self._pools.get(pool.service, ()):
            belief = self._load_estimates.get(other)
            if other == pool or belief is None or belief.queued <= 0:
                continue
            if self._address(other) is None:
                continue
            gain_s = belief.wait_s - 2 * self._network_delays.one_way_s(other.zone, pool.zone)
            if gain_s <= 0.0 and self._region(other) != self._region(pool):
                continue
            if gain_s > best_gain_s:
                best, best_gain_s = other, gain_s
        return best or self._blind_target(pool, now)

    def reserve(self, pool: PoolId, upstream: UpstreamId, asked: PoolId, now: float) -> int:
        """Keep a slot for work of another pool; return the serial of the reservation."""
        self._serial += 1
        self._asks[self._serial] = Ask(pool, upstream, asked, now + RESERVATION_TTL_S)
        return self._serial

    def send_pull(self, serial: int, epoch: Epoch) -> list[Effect]:
        """Return the effects that ask for the work that a kept slot is for."""
        reservation = self._asks[serial]
        asked = reservation.asked
        belief = self._load_estimates.get(asked)
        if belief is not None:
            belief.queued -= 1
        region = self._settings.region
        return self._send(
            asked, Pull(asked, reservation.pool, epoch, reservation.upstream, serial, region)
        )

    def handle_reply(self, reply: PullReply, now: float) -> None:
        """Take an answer: keep the slot for the promised ticket, or for no longer than now."""
        reservation = self._asks.get(reply.serial)
        if reservation is None or reservation.ticket_id:
            return
        belief = self._load_estimates.get(reservation.asked)
        wait_s = belief.wait_s if belief is not None else 0.0
        self._load_estimates[reservation.asked] = _Belief(now, reply.queued, wait_s)
        if reply.ticket_id:
            self._blind_wait_s.pop(reservation.pool, None)
            reservation.ticket_id = reply.ticket_id
            reservation.until = now + RESERVATION_TTL_S
        else:
            reservation.until = now

    def pop_expired_reservation(self, serial: int, now: float) -> Ask | None:
        """Take a reservation that is over; return None if it is still kept or was used."""
        reservation = self._asks.get(serial)
        if reservation is None or reservation.until > now:
            return None
        belief = self._load_estimates.get(reservation.asked)
        if belief is not None and not reservation.ticket_id:
            belief.queued = 0
        return self._asks.pop(serial)

    def pop_unanswered_reservation(self, pool: PoolId) -> Ask | None:
        """Take a reservation of a pool for which nothing is promised yet, or return None."""
        for serial, reservation in self._asks.items():
            if reservation.pool == pool and not reservation.ticket_id:
                return self._asks.pop(serial)
        return None

    def consume_reservation(self, pool: PoolId, upstream: UpstreamId) -> bool:
        """Use up a reservation of an upstream's slot; return whether there was one."""
        if not upstream:
            return False
        for serial, reservation in self._asks.items():
            if reservation.pool == pool and reservation.upstream == upstream:
                del self._asks[serial]
                return True
        return False

    def is_new(self, pull: Pull) -> bool:
        """Return whether an ask was not seen before, and remember it."""
        seen = self._newest_asked.get(pull.offer_pool, (-1, -1))
        if (pull.offer_epoch, pull.serial) <= seen:
            return False
        self._newest_asked[pull.offer_pool] = (pull.offer_epoch, pull.serial)
        return True

    def first_gaining_place(self, pull: Pull, service_s: float, slots: int) -> int:
        """Return the first place in the queue whose wait is longer than the way to the asker."""
        if service_s == 0.0 or slots == 0:
            return 0
        way_s = 2 * self._network_delays.one_way_s(pull.pool.zone, pull.offer_pool.zone)
        return int(way_s * slots / service_s)

    def reply(self, pull: Pull, ticket_id: TicketId, queued: int) -> list[Effect]:
        """Return the effects that answer an ask."""
        return self._send(pull.offer_pool, PullReply(pull.serial, ticket_id, queued))

    def _believe(self, load: PoolLoad, at: float) -> None:
        belief = self._load_estimates.get(load.pool)
        if belief is not None and at <= belief.at + 1e-6:
            return
        wait_s = (load.queued + 1) * load.service_s / max(1, load.slots)
        self._load_estimates[load.pool] = _Belief(at, load.queued, wait_s)

    def _blind_target(self, pool: PoolId, now: float) -> PoolId | None:
        """Return a pool without figures to ask, now and then, or None."""
        if now < self._blind_at.get(pool, 0.0):
            return None
        oldest = now - self._settings.timing.peer_timeout_s
        unknown = [
            other
            for other in self._pools.get(pool.service, ())
            if other != pool
            and not self._known_since(other, oldest)
            and self._address(other) is not None
        ]
        if not unknown:
            return None
        wait_s = self._blind_wait_s.get(pool, BLIND_ASK_S)
        self._blind_wait_s[pool] = min(2 * wait_s, LONGEST_BLIND_ASK_S)
        self._blind_at[pool] = now + wait_s * self._rng.uniform(0.5, 1.5)
        near = [o for o in unknown if self._region(o) == self._region(pool)]
        return self._rng.choice(near or unknown)

    def _known_since(self, pool: PoolId, oldest: float) -> bool:
        belief = self._load_estimates.get(pool)
        return belief is not None and belief.at > oldest

    def _region(self, pool: PoolId) -> str | None:
        return self._network_delays.region_of(pool.zone)

    def _address(self, pool: PoolId) -> str | None:
        """Return the address of the daemon, another than this, that owns a pool."""
        owner = self._owners.owner_of(pool)
        if owner is None or owner.vm == self._settings.vm:
            return None
        peer = self._peers.peer(owner.vm)
        return peer.address if peer is not None else None

    def _send(self, pool: PoolId, message: Pull | PullReply) -> list[Effect]:
        address = self._address(pool)
        return [SendMessage(address, message)] if address is not None else []
