"""Room on the links between regions, kept by each pool's owner alone.

Each direction of a link is cut into parts that belong to pools, by their slots: one for the
answers that leave the pool's region, one for the bodies that come to it. A pool has one owner at
a time, so the parts in use add up to the limit less its headroom, whoever knows of whom.
"""

from __future__ import annotations

from collections import deque

import msgspec

from gooseberryport_core.config import Config, Link, pools_of, region_of_zone, slots_of
from gooseberryport_core.types import PoolId, RegionName

BODY_FRACTION = 0.4
"""Part of a link's limit for requests' bodies; the rest is for answers."""

WINDOW_S = 1.0
"""Length of the windows in which no link carries more than its limit; seconds."""

MAX_SEND_LATENESS_S = 0.02
"""Time by which a send may leave later than it should; seconds."""

MAX_LINK_WAIT_S = 1.0
"""Longest time for which bytes wait for room; seconds."""

SHARE_INCREASE_DELAY_S = 5.0
"""Time after which a configuration's higher shares count, so that lower ones count first."""

BYTES_PER_MBIT = 125_000


class LinkShare:
    """Keep one pool's bytes in one direction within its share, in every window.

    Parameters
    ----------
    now
        Seconds, monotonic; bytes of a former owner may still flow for a window from then.
    """

    def __init__(self, *, now: float) -> None:
        self._bytes_s = 0.0
        self._higher_bytes_s = 0.0
        self._higher_at = now
        self._sent: deque[tuple[float, int]] = deque()
        self._sent_bytes = 0
        self._promised_bytes = 0
        self.reopen(now)

    def configure(self, bytes_s: float, now: float) -> None:
        """Take a share in bytes a second; a lower one counts at once, a higher one later."""
        current = self.bytes_s(now)
        first = self._bytes_s == 0.0 and self._higher_bytes_s == 0.0
        self._bytes_s = bytes_s if first else min(current, bytes_s)
        self._higher_bytes_s = bytes_s
        self._higher_at = now + SHARE_INCREASE_DELAY_S

    def bytes_s(self, now: float) -> float:
        """Return the share that counts now, in bytes a second."""
        return self._higher_bytes_s if now >= self._higher_at else self._bytes_s

    def reopen(self, now: float) -> None:
        """Send nothing while bytes of a former owner may still flow."""
        self._open_at = now + WINDOW_S + MAX_LINK_WAIT_S

    def reserve_expected(self, num_bytes: int, now: float) -> bool:
        """Count bytes that will be sent if they would not wait too long; whether they were."""
        share = self.bytes_s(now)
        if share <= 0:
            return False
        ahead = self._promised_bytes + self._waiting_bytes(now) + num_bytes
        wait_s = max(0.0, self._open_at - now) + ahead / share
        if wait_s > MAX_LINK_WAIT_S:
            return False
        self._promised_bytes += num_bytes
        return True

    def release_expected(self, num_bytes: int) -> None:
        """Take back what was promised: the bytes were sent, or never will be."""
        self._promised_bytes -= num_bytes

    def reserve(self, num_bytes: int, now: float) -> float | None:
        """Reserve room for bytes that are sent at once after the returned wait.

        Parameters
        ----------
        num_bytes
            Bytes; what is longer than the share of a window is never given room.
        now
            Seconds, monotonic.

        Returns
        -------
        float or None
            Seconds to wait before they are sent; None if that were longer than
            `MAX_LINK_WAIT_S`, and then nothing is reserved.
        """
        room = self.bytes_s(now) * WINDOW_S - num_bytes
        if room < 0:
            return None
        at = max(now, self._open_at)
        if self._sent:
            at = max(at, self._sent[-1][0])
        kept_s = WINDOW_S + MAX_SEND_LATENESS_S
        self._forget(min(at, now) - kept_s)
        in_window = self._sent_bytes
        for sent_at, sent in self._sent:
            if in_window <= room and sent_at + kept_s > at:
                break
            at = max(at, sent_at + kept_s)
            in_window -= sent
        if at - now > MAX_LINK_WAIT_S:
            return None
        self._sent.append((at, num_bytes))
        self._sent_bytes += num_bytes
        return at - now

    def used_bytes(self, now: float) -> int:
        """Return the bytes that left in the window that ends now."""
        return sum(sent for at, sent in self._sent if now - WINDOW_S < at <= now)

    def _waiting_bytes(self, now: float) -> int:
        return sum(sent for at, sent in self._sent if at > now)

    def _forget(self, until: float) -> None:
        while self._sent and self._sent[0][0] <= until:
            self._sent_bytes -= self._sent.popleft()[1]


class _Key(msgspec.Struct, frozen=True):
    """One pool's part of one direction."""

    pool: PoolId
    source: RegionName
    destination: RegionName


class Links:
    """Know the shares of the pools that this daemon owns."""

    def __init__(self) -> None:
        self._shares: dict[_Key, LinkShare] = {}
        self._bytes_s: dict[_Key, float] = {}
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
        """Begin with a pool that this daemon has just come to own."""
        for key in self._bytes_s:
            if key.pool == pool:
                share = self._share(pool, key.source, key.destination, now)
                assert share is not None
                share.reopen(now)

    def reserve_expected(
        self, pool: PoolId, peer: RegionName, body_bytes: int, answer_bytes: int, now: float
    ) -> bool:
        """Count a request from another region if both of its ways have room."""
        inward = self._share(pool, peer, self._region(pool), now)
        outward = self._share(pool, self._region(pool), peer, now)
        if inward is None or outward is None:
            return True
        if not inward.reserve_expected(body_bytes, now):
            return False
        if outward.reserve_expected(answer_bytes, now):
            return True
        inward.release_expected(body_bytes)
        return False

    def release_expected(
        self, pool: PoolId, peer: RegionName, body_bytes: int, answer_bytes: int, now: float
    ) -> None:
        """Take back what was promised for a request that has ended."""
        inward = self._share(pool, peer, self._region(pool), now)
        outward = self._share(pool, self._region(pool), peer, now)
        if inward is not None and outward is not None:
            inward.release_expected(body_bytes)
            outward.release_expected(answer_bytes)

    def reserve(
        self, pool: PoolId, destination: RegionName, num_bytes: int, now: float
    ) -> float | None:
        """Reserve room for a piece of an answer; as `LinkShare.reserve`, 0 if no link counts."""
        share = self._share(pool, self._region(pool), destination, now)
        return 0.0 if share is None else share.reserve(num_bytes, now)

    def used_bytes(self, source: RegionName, destination: RegionName, now: float) -> int:
        """Return the bytes of answers that left here for a region in the window that ends now."""
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
        key = _Key(pool, source, destination)
        if key not in self._bytes_s:
            return None
        share = self._shares.get(key)
        if share is None:
            share = LinkShare(now=now)
            share.configure(self._bytes_s[key], now)
            self._shares[key] = share
        return share


def link_shares(cfg: Config) -> dict[_Key, float]:
    """Return each pool's part of each direction, in bytes a second.

    The parts of a direction add up to its limit less its headroom.
    """
    slots: dict[RegionName, dict[PoolId, int]] = {}
    for pool, upstreams in pools_of(cfg).items():
        region = region_of_zone(cfg, pool.zone)
        if region is not None:
            count = sum(slots_of(cfg, upstream) for upstream in upstreams)
            slots.setdefault(region, {})[pool] = count
    parts: dict[_Key, float] = {}
    for link in cfg.links.values():
        parts.update(_cut(link, slots.get(link.source, {}), 1.0 - BODY_FRACTION))
        parts.update(_cut(link, slots.get(link.destination, {}), BODY_FRACTION))
    return parts


def _cut(link: Link, slots: dict[PoolId, int], fraction: float) -> dict[_Key, float]:
    usable = link.limit_mbit_s * BYTES_PER_MBIT * (1.0 - link.headroom_fraction) * fraction
    total = sum(slots.values())
    return {
        _Key(pool, link.source, link.destination): usable * count / total
        for pool, count in slots.items()
        if count
    }
