"""Bandwidth limits of the links between regions, enforced by each pool's owner on its own.

Each direction of a link is divided into shares in proportion to the pools' slots: a pool has one
share for the answers that leave its region and one for the request bodies that enter it. A pool
has one owner at a time, so the shares in use add up to at most the limit less its headroom, even
if the daemons do not know of each other.
"""

from __future__ import annotations

from collections import deque

import msgspec

from gooseberryport_core.config import Config, Link, pools_of, region_of_zone, slots_of
from gooseberryport_core.types import PoolId, RegionName

REQUEST_BODY_FRACTION = 0.4
"""Fraction of a link's limit for request bodies; the rest is for answers."""

WINDOW_S = 1.0
"""Length of the sliding window in which no link carries more than its limit; seconds."""

MAX_SEND_LATENESS_S = 0.02
"""Maximum time by which a send may be later than scheduled; seconds."""

MAX_LINK_WAIT_S = 1.0
"""Maximum time for which bytes wait for link capacity; seconds."""

SHARE_INCREASE_DELAY_S = 5.0
"""Time after which higher shares of a new configuration take effect, so that the lower shares
take effect first at every owner; seconds."""

BYTES_PER_MBIT = 125_000


class LinkShare:
    """Keeps one pool's bytes in one direction within its share, in every window.

    Parameters
    ----------
    now
        Time at which the pool was acquired; nothing is sent until the bytes of its former owner
        have left the window; seconds, monotonic.
    """

    def __init__(self, *, now: float) -> None:
        self._bytes_s = 0.0
        self._target_bytes_s = 0.0
        self._target_from = now
        self._sends: deque[tuple[float, int]] = deque()
        self._sent_bytes = 0
        self._expected_bytes = 0
        self.block_for_former_owner(now)

    def configure(self, bytes_s: float, now: float) -> None:
        """Set the share in bytes a second; a decrease applies at once, an increase later."""
        current = self.bytes_s(now)
        is_first = self._bytes_s == 0.0 and self._target_bytes_s == 0.0
        self._bytes_s = bytes_s if is_first else min(current, bytes_s)
        self._target_bytes_s = bytes_s
        self._target_from = now + SHARE_INCREASE_DELAY_S

    def bytes_s(self, now: float) -> float:
        """Return the share in effect at `now`, in bytes a second."""
        return self._target_bytes_s if now >= self._target_from else self._bytes_s

    def block_for_former_owner(self, now: float) -> None:
        """Send nothing while bytes of a former owner may still be on the link."""
        self._sends_allowed_from = now + WINDOW_S + MAX_LINK_WAIT_S

    def reserve_expected(self, num_bytes: int, now: float) -> bool:
        """Reserve capacity for bytes that a request will need; return whether there was enough."""
        share = self.bytes_s(now)
        if share <= 0:
            return False
        bytes_ahead = self._expected_bytes + self._scheduled_bytes(now) + num_bytes
        wait_s = max(0.0, self._sends_allowed_from - now) + bytes_ahead / share
        if wait_s > MAX_LINK_WAIT_S:
            return False
        self._expected_bytes += num_bytes
        return True

    def release_expected(self, num_bytes: int) -> None:
        """Release expected bytes: they were sent, or never will be."""
        self._expected_bytes -= num_bytes

    def reserve(self, num_bytes: int, now: float) -> float | None:
        """Schedule bytes, which the caller sends right after the returned wait.

        Parameters
        ----------
        num_bytes
            Number of bytes; more than the share of one window is never scheduled.
        now
            Seconds, monotonic.

        Returns
        -------
        float or None
            Seconds to wait before they are sent; None if that were longer than
            `MAX_LINK_WAIT_S`, and then nothing is scheduled.
        """
        max_other_bytes = self.bytes_s(now) * WINDOW_S - num_bytes
        if max_other_bytes < 0:
            return None
        send_at = max(now, self._sends_allowed_from)
        if self._sends:
            send_at = max(send_at, self._sends[-1][0])
        counted_s = WINDOW_S + MAX_SEND_LATENESS_S
        self._forget_before(min(send_at, now) - counted_s)
        in_window = self._sent_bytes
        for sent_at, sent in self._sends:
            if in_window <= max_other_bytes and sent_at + counted_s > send_at:
                break
            send_at = max(send_at, sent_at + counted_s)
            in_window -= sent
        if send_at - now > MAX_LINK_WAIT_S:
            return None
        self._sends.append((send_at, num_bytes))
        self._sent_bytes += num_bytes
        return send_at - now

    def used_bytes(self, now: float) -> int:
        """Return the bytes that were sent in the window that ends at `now`."""
        return sum(sent for send_at, sent in self._sends if now - WINDOW_S < send_at <= now)

    def _scheduled_bytes(self, now: float) -> int:
        return sum(sent for send_at, sent in self._sends if send_at > now)

    def _forget_before(self, until: float) -> None:
        while self._sends and self._sends[0][0] <= until:
            self._sent_bytes -= self._sends.popleft()[1]


class _ShareKey(msgspec.Struct, frozen=True):
    """Identifies one pool's share of one direction of a link."""

    pool: PoolId
    source: RegionName
    destination: RegionName


class Links:
    """Enforces the link shares of the pools that this daemon owns."""

    def __init__(self) -> None:
        self._shares: dict[_ShareKey, LinkShare] = {}
        self._bytes_s: dict[_ShareKey, float] = {}
        self._regions: dict[PoolId, RegionName] = {}

    def configure(self, cfg: Config, now: float) -> None:
        """Apply a newer configuration."""
        self._regions = {
            pool: region_of_zone(cfg, pool.zone) or RegionName("") for pool in pools_of(cfg)
        }
        self._bytes_s = link_shares(cfg)
        for key, share in self._shares.items():
            share.configure(self._bytes_s.get(key, 0.0), now)

    def on_pool_acquired(self, pool: PoolId, now: float) -> None:
        """Delay sends of a newly owned pool while bytes of its former owner may be on the link."""
        for key in self._bytes_s:
            if key.pool == pool:
                share = self._share(pool, key.source, key.destination, now)
                assert share is not None
                share.block_for_former_owner(now)

    def reserve_expected(
        self, pool: PoolId, peer: RegionName, body_bytes: int, answer_bytes: int, now: float
    ) -> bool:
        """Reserve capacity for a request from another region; return whether both ways had it.

        A request that crosses no configured link needs no capacity.
        """
        request_share = self._share(pool, peer, self._region(pool), now)
        answer_share = self._share(pool, self._region(pool), peer, now)
        if request_share is None or answer_share is None:
            return True
        if not request_share.reserve_expected(body_bytes, now):
            return False
        if answer_share.reserve_expected(answer_bytes, now):
            return True
        request_share.release_expected(body_bytes)
        return False

    def release_expected(
        self, pool: PoolId, peer: RegionName, body_bytes: int, answer_bytes: int, now: float
    ) -> None:
        """Release the capacity that was reserved for a request that has ended."""
        request_share = self._share(pool, peer, self._region(pool), now)
        answer_share = self._share(pool, self._region(pool), peer, now)
        if request_share is not None and answer_share is not None:
            request_share.release_expected(body_bytes)
            answer_share.release_expected(answer_bytes)

    def reserve(
        self, pool: PoolId, destination: RegionName, num_bytes: int, now: float
    ) -> float | None:
        """Schedule a chunk of an answer, as `LinkShare.reserve` does; 0 if no link is limited."""
        share = self._share(pool, self._region(pool), destination, now)
        return 0.0 if share is None else share.reserve(num_bytes, now)

    def used_bytes(self, source: RegionName, destination: RegionName, now: float) -> int:
        """Return the answer bytes this daemon sent over a link in the window that ends at `now`."""
        return sum(
            share.used_bytes(now)
            for key, share in self._shares.items()
            if key.source == source and key.destination == destination
        )

    def _region(self, pool: PoolId) -> RegionName:
        return self._regions.get(pool, RegionName(""))

    def _share(
        self, pool: PoolId, source: RegionName, destination: RegionName, now: float
    ) -> LinkShare | None:
        key = _ShareKey(pool, source, destination)
        if key not in self._bytes_s:
            return None
        share = self._shares.get(key)
        if share is None:
            share = LinkShare(now=now)
            share.configure(self._bytes_s[key], now)
            self._shares[key] = share
        return share


def link_shares(cfg: Config) -> dict[_ShareKey, float]:
    """Return each pool's share of each direction, in bytes a second.

    The shares of a direction add up to its limit less its headroom.
    """
    slots: dict[RegionName, dict[PoolId, int]] = {}
    for pool, upstreams in pools_of(cfg).items():
        region = region_of_zone(cfg, pool.zone)
        if region is not None:
            count = sum(slots_of(cfg, upstream) for upstream in upstreams)
            slots.setdefault(region, {})[pool] = count
    shares: dict[_ShareKey, float] = {}
    for link in cfg.links.values():
        shares.update(_split_link(link, slots.get(link.source, {}), 1.0 - REQUEST_BODY_FRACTION))
        shares.update(_split_link(link, slots.get(link.destination, {}), REQUEST_BODY_FRACTION))
    return shares


def _split_link(link: Link, slots: dict[PoolId, int], fraction: float) -> dict[_ShareKey, float]:
    usable = link.limit_mbit_s * BYTES_PER_MBIT * (1.0 - link.headroom_fraction) * fraction
    total = sum(slots.values())
    return {
        _ShareKey(pool, link.source, link.destination): usable * count / total
        for pool, count in slots.items()
        if count
    }
