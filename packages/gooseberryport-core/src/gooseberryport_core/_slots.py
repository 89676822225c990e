"""The slots of one pool's upstreams, counted exactly."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from gooseberryport_core.types import UpstreamId

CANCEL_SETTLE_S = 0.05
"""Time that a cancellation may take to reach an upstream and to stop the request; seconds."""


class _Lingering(msgspec.Struct):
    """A slot that an upstream may still use although its attempt has ended here."""

    since: float
    until: float


class _Use(msgspec.Struct):
    """Slots of one upstream that count as taken."""

    held: int = 0
    lingering: list[_Lingering] = []

    @property
    def taken(self) -> int:
        return self.held + len(self.lingering)


class Slots:
    """Count the taken slots of a pool.

    A slot is taken from the grant until the upstream has provably finished. The upstreams of a
    pool are few (`config.POOL_SHARD_TARGETS` at most), so choosing one looks at each.
    """

    def __init__(self) -> None:
        self._uses: dict[UpstreamId, _Use] = {}
        self._total = 0

    @property
    def total_taken(self) -> int:
        """Taken slots of all upstreams."""
        return self._total

    def taken(self, upstream: UpstreamId) -> int:
        """Return the taken slots of an upstream."""
        use = self._uses.get(upstream)
        return use.taken if use else 0

    def choose(
        self,
        upstreams: tuple[UpstreamId, ...],
        allowed: Callable[[UpstreamId], int],
        avoid: Callable[[UpstreamId], float],
    ) -> UpstreamId | None:
        """Return the upstream with a free slot that should run the next request, or None.

        Parameters
        ----------
        upstreams
            Upstreams to choose from.
        allowed
            Slots of an upstream that may be taken now.
        avoid
            Weight of what speaks against an upstream; the lowest is chosen, then the least busy.
        """
        best: UpstreamId | None = None
        best_rank = (float("inf"), float("inf"))
        for upstream in upstreams:
            taken = self.taken(upstream)
            limit = allowed(upstream)
            if taken >= limit:
                continue
            rank = (avoid(upstream), taken / limit)
            if rank < best_rank:
                best, best_rank = upstream, rank
        return best

    def take(self, upstream: UpstreamId) -> None:
        """Take a slot."""
        self._uses.setdefault(upstream, _Use()).held += 1
        self._total += 1

    def release(self, upstream: UpstreamId) -> None:
        """Free a slot at once: the upstream provably does not use it."""
        self._uses[upstream].held -= 1
        self._total -= 1
        self._forget(upstream)

    def linger(self, upstream: UpstreamId, since: float, until: float) -> None:
        """Keep a taken slot taken until `until`, or until a later answer proves it free.

        Parameters
        ----------
        since
            When the attempt was broken off; seconds, monotonic. Infinity if no answer can prove
            the slot free.
        until
            When the upstream has given the request up by itself; seconds, monotonic.
        """
        use = self._uses[upstream]
        use.held -= 1
        use.lingering.append(_Lingering(since, until))

    def release_expired(self, upstream: UpstreamId, now: float) -> None:
        """Free the lingering slots of an upstream whose time is over."""
        self._keep(upstream, lambda slot: slot.until > now)

    def release_cancelled_before(self, upstream: UpstreamId, started_at: float) -> None:
        """Free what was cancelled well before a request that the upstream has now answered.

        An answer to a request that left after the cancellation shows that the path carried both.
        """
        self._keep(upstream, lambda slot: slot.since + CANCEL_SETTLE_S > started_at)

    def _keep(self, upstream: UpstreamId, kept: Callable[[_Lingering], bool]) -> None:
        use = self._uses.get(upstream)
        if use is None or not use.lingering:
            return
        before = len(use.lingering)
        use.lingering = [slot for slot in use.lingering if kept(slot)]
        self._total -= before - len(use.lingering)
        self._forget(upstream)

    def _forget(self, upstream: UpstreamId) -> None:
        if self._uses[upstream].taken == 0:
            del self._uses[upstream]
