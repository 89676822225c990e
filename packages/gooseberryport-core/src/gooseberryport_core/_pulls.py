"""Work pulling: an owner with free slots requests tickets that are queued at other pools."""

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
"""Time that a slot is reserved for the reply to a pull, and again for the ticket; seconds."""

MIN_BLIND_PULL_INTERVAL_S = 0.05
"""Minimum time between two pulls from pools whose load is unknown; seconds."""

MAX_BLIND_PULL_INTERVAL_S = 1.0
"""Maximum time between two pulls from pools whose load is unknown; seconds."""


class _QueueEstimate(msgspec.Struct):
    """Estimated state of another pool's queue.

    Parameters
    ----------
    measured_at
        Time of the load report; seconds, monotonic.
    queued
        Queued requests, less those pulled since.
    wait_s
        Expected wait of the last request in the queue; seconds.
    """

    measured_at: float
    queued: int
    wait_s: float


class Reservation(msgspec.Struct):
    """A slot that is reserved for a ticket of another pool.

    Parameters
    ----------
    pool, upstream
        The slot.
    asked_pool
        Pool that the ticket is requested from.
    expires_at
        End of the reservation; seconds, monotonic.
    ticket_id
        Ticket that the reply announced; empty before the reply.
    """

    pool: PoolId
    upstream: UpstreamId
    asked_pool: PoolId
    expires_at: float
    ticket_id: TicketId = TicketId("")


class Pulls:
    """Chooses the pools to pull tickets from, and tracks the slots reserved for them.

    Parameters
    ----------
    settings
        Identity and settings of this daemon.
    owners
        View of pool ownership.
    peers
        View of the other daemons.
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
        self._reservations: dict[int, Reservation] = {}
        self._queue_estimates: dict[PoolId, _QueueEstimate] = {}
        self._next_blind_pull_at: dict[PoolId, float] = {}
        self._blind_pull_interval_s: dict[PoolId, float] = {}
        self._newest_pull: dict[PoolId, tuple[int, int]] = {}
        self._serial = 0

    def configure(self, cfg: Config) -> None:
        """Apply a newer configuration."""
        self._network_delays = NetworkDelays(cfg)
        by_service: dict[ServiceName, list[PoolId]] = {}
        for pool in pools_of(cfg):
            by_service.setdefault(pool.service, []).append(pool)
        self._pools = {service: tuple(pools) for service, pools in by_service.items()}

    def record_loads(self, now: float) -> None:
        """Record the newest loads that the other daemons reported."""
        for remote in self._peers.loads(now):
            self._record_load(remote.load, now - remote.age_s)

    def choose_target(self, pool: PoolId, now: float) -> PoolId | None:
        """Return the pool whose queued work gains most time from a free slot of `pool`, or None."""
        best: PoolId | None = None
        best_gain_s = float("-inf")
        for other in self._pools.get(pool.service, ()):
            estimate = self._queue_estimates.get(other)
            if other == pool or estimate is None or estimate.queued <= 0:
                continue
            if self._other_owner_address(other) is None:
                continue
            gain_s = estimate.wait_s - 2 * self._network_delays.one_way_s(other.zone, pool.zone)
            if gain_s <= 0.0 and self._region(other) != self._region(pool):
                continue
            if gain_s > best_gain_s:
                best, best_gain_s = other, gain_s
        return best or self._choose_blind_target(pool, now)

    def reserve(self, pool: PoolId, upstream: UpstreamId, asked_pool: PoolId, now: float) -> int:
        """Reserve a slot for a ticket of another pool; return the reservation's serial."""
        self._serial += 1
        self._reservations[self._serial] = Reservation(
            pool, upstream, asked_pool, now + RESERVATION_TTL_S
        )
        return self._serial

    def send_pull(self, serial: int, epoch: Epoch) -> list[Effect]:
        """Return the effects that send the pull for a reserved slot."""
        reservation = self._reservations[serial]
        asked_pool = reservation.asked_pool
        estimate = self._queue_estimates.get(asked_pool)
        if estimate is not None:
            estimate.queued -= 1
        region = self._settings.region
        return self._send(
            asked_pool,
            Pull(asked_pool, reservation.pool, epoch, reservation.upstream, serial, region),
        )

    def handle_reply(self, reply: PullReply, now: float) -> None:
        """Handle a reply: extend the reservation if a ticket was announced, else end it now."""
        reservation = self._reservations.get(reply.serial)
        if reservation is None or reservation.ticket_id:
            return
        estimate = self._queue_estimates.get(reservation.asked_pool)
        wait_s = estimate.wait_s if estimate is not None else 0.0
        self._queue_estimates[reservation.asked_pool] = _QueueEstimate(now, reply.queued, wait_s)
        if reply.ticket_id:
            self._blind_pull_interval_s.pop(reservation.pool, None)
            reservation.ticket_id = reply.ticket_id
            reservation.expires_at = now + RESERVATION_TTL_S
        else:
            reservation.expires_at = now

    def pop_expired_reservation(self, serial: int, now: float) -> Reservation | None:
        """Remove and return a reservation that has expired; None if it is valid or was used."""
        reservation = self._reservations.get(serial)
        if reservation is None or reservation.expires_at > now:
            return None
        estimate = self._queue_estimates.get(reservation.asked_pool)
        if estimate is not None and not reservation.ticket_id:
            estimate.queued = 0
        return self._reservations.pop(serial)

    def pop_unanswered_reservation(self, pool: PoolId) -> Reservation | None:
        """Remove and return one of a pool's reservations whose pull has no reply yet, or None."""
        for serial, reservation in self._reservations.items():
            if reservation.pool == pool and not reservation.ticket_id:
                return self._reservations.pop(serial)
        return None

    def consume_reservation(self, pool: PoolId, upstream: UpstreamId) -> bool:
        """Remove a reservation of an upstream's slot; return whether there was one."""
        if not upstream:
            return False
        for serial, reservation in self._reservations.items():
            if reservation.pool == pool and reservation.upstream == upstream:
                del self._reservations[serial]
                return True
        return False

    def is_new_pull(self, pull: Pull) -> bool:
        """Return whether a pull was not received before, and record it."""
        newest = self._newest_pull.get(pull.offer_pool, (-1, -1))
        if (pull.offer_epoch, pull.serial) <= newest:
            return False
        self._newest_pull[pull.offer_pool] = (pull.offer_epoch, pull.serial)
        return True

    def first_gaining_index(self, pull: Pull, service_s: float, slots: int) -> int:
        """Return the first queue index whose wait exceeds the round trip to the pulling pool."""
        if service_s == 0.0 or slots == 0:
            return 0
        round_trip_s = 2 * self._network_delays.one_way_s(pull.pool.zone, pull.offer_pool.zone)
        return int(round_trip_s * slots / service_s)

    def reply(self, pull: Pull, ticket_id: TicketId, queued: int) -> list[Effect]:
        """Return the effects that reply to a pull."""
        return self._send(pull.offer_pool, PullReply(pull.serial, ticket_id, queued))

    def _record_load(self, load: PoolLoad, measured_at: float) -> None:
        estimate = self._queue_estimates.get(load.pool)
        if estimate is not None and measured_at <= estimate.measured_at + 1e-6:
            return
        wait_s = (load.queued + 1) * load.service_s / max(1, load.slots)
        self._queue_estimates[load.pool] = _QueueEstimate(measured_at, load.queued, wait_s)

    def _choose_blind_target(self, pool: PoolId, now: float) -> PoolId | None:
        """Return a pool of unknown load to pull from, at limited intervals, or None."""
        if now < self._next_blind_pull_at.get(pool, 0.0):
            return None
        not_before = now - self._settings.timing.peer_timeout_s
        without_load = [
            other
            for other in self._pools.get(pool.service, ())
            if other != pool
            and not self._has_load_since(other, not_before)
            and self._other_owner_address(other) is not None
        ]
        if not without_load:
            return None
        interval_s = self._blind_pull_interval_s.get(pool, MIN_BLIND_PULL_INTERVAL_S)
        self._blind_pull_interval_s[pool] = min(2 * interval_s, MAX_BLIND_PULL_INTERVAL_S)
        self._next_blind_pull_at[pool] = now + interval_s * self._rng.uniform(0.5, 1.5)
        same_region = [other for other in without_load if self._region(other) == self._region(pool)]
        return self._rng.choice(same_region or without_load)

    def _has_load_since(self, pool: PoolId, not_before: float) -> bool:
        estimate = self._queue_estimates.get(pool)
        return estimate is not None and estimate.measured_at > not_before

    def _region(self, pool: PoolId) -> str | None:
        return self._network_delays.region_of(pool.zone)

    def _other_owner_address(self, pool: PoolId) -> str | None:
        """Return the address of a pool's owner; None if unknown or if it is this daemon."""
        owner = self._owners.owner_of(pool)
        if owner is None or owner.vm == self._settings.vm:
            return None
        peer = self._peers.peer(owner.vm)
        return peer.address if peer is not None else None

    def _send(self, pool: PoolId, message: Pull | PullReply) -> list[Effect]:
        address = self._other_owner_address(pool)
        return [SendMessage(address, message)] if address is not None else []
