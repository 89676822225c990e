"""Count of the taken slots of one pool's upstreams."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from gooseberryport_core.types import UpstreamId

CANCEL_EFFECT_DELAY_S = 0.05
"""Time within which a cancellation reaches an upstream and stops the request; seconds."""


class _LingeringSlot(msgspec.Struct):
    """A slot that an upstream may still be using although its attempt has ended at the owner.

    Parameters
    ----------
    since, until
        As in `Slots.linger`; seconds, monotonic.
    """

    since: float
    until: float


class _UpstreamSlots(msgspec.Struct):
    """Taken slots of one upstream: those of current attempts, and lingering ones."""

    in_use: int = 0
    lingering: list[_LingeringSlot] = []

    @property
    def taken(self) -> int:
        return self.in_use + len(self.lingering)


class Slots:
    """Counts the taken slots of a pool.

    A slot is taken from the grant until the upstream has certainly finished. A pool has few
    upstreams (at most `config.MAX_POOL_UPSTREAMS`), so choosing one looks at every upstream.
    """

    def __init__(self) -> None:
        self._slots_of: dict[UpstreamId, _UpstreamSlots] = {}
        self._total = 0

    @property
    def total_taken(self) -> int:
        """Number of taken slots over all upstreams."""
        return self._total

    def taken(self, upstream: UpstreamId) -> int:
        """Return the number of taken slots of an upstream."""
        slots = self._slots_of.get(upstream)
        return slots.taken if slots else 0

    def choose(
        self,
        upstreams: tuple[UpstreamId, ...],
        allowed: Callable[[UpstreamId], int],
        penalty: Callable[[UpstreamId], float],
    ) -> UpstreamId | None:
        """Return the upstream with a free slot that should run the next request, or None.

        Parameters
        ----------
        upstreams
            Upstreams to choose from.
        allowed
            Returns how many slots of an upstream may be taken now.
        penalty
            Returns the penalty of an upstream; the lowest is chosen, then the least busy.
        """
        best: UpstreamId | None = None
        best_rank = (float("inf"), float("inf"))
        for upstream in upstreams:
            taken = self.taken(upstream)
            limit = allowed(upstream)
            if taken >= limit:
                continue
            rank = (penalty(upstream), taken / limit)
            if rank < best_rank:
                best, best_rank = upstream, rank
        return best

    def take(self, upstream: UpstreamId) -> None:
        """Take a slot."""
        self._slots_of.setdefault(upstream, _UpstreamSlots()).in_use += 1
        self._total += 1

    def release(self, upstream: UpstreamId) -> None:
        """Free a slot at once, because the upstream is certainly not using it."""
        self._slots_of[upstream].in_use -= 1
        self._total -= 1
        self._forget_if_unused(upstream)

    def linger(self, upstream: UpstreamId, since: float, until: float) -> None:
        """Keep a slot taken until `until`, or until a later answer shows that it is free.

        Parameters
        ----------
        since
            Time at which the attempt was cancelled; seconds, monotonic. Infinity if no answer can
            show that the slot is free.
        until
            Time by which the upstream gives the request up by itself; seconds, monotonic.
        """
        slots = self._slots_of[upstream]
        slots.in_use -= 1
        slots.lingering.append(_LingeringSlot(since, until))

    def release_expired(self, upstream: UpstreamId, now: float) -> None:
        """Free the lingering slots of an upstream whose `until` has passed."""
        self._keep_lingering(upstream, lambda slot: slot.until > now)

    def release_cancelled_before(self, upstream: UpstreamId, started_at: float) -> None:
        """Free the slots of attempts cancelled before an answered request was sent.

        If a request that was sent at least `CANCEL_EFFECT_DELAY_S` after a cancellation was
        answered, the network path delivered the cancellation too, and it has taken effect.

        Parameters
        ----------
        started_at
            Time at which the answered request was sent; seconds, monotonic.
        """
        self._keep_lingering(upstream, lambda slot: slot.since + CANCEL_EFFECT_DELAY_S > started_at)

    def _keep_lingering(
        self, upstream: UpstreamId, is_kept: Callable[[_LingeringSlot], bool]
    ) -> None:
        slots = self._slots_of.get(upstream)
        if slots is None or not slots.lingering:
            return
        num_before = len(slots.lingering)
        slots.lingering = [slot for slot in slots.lingering if is_kept(slot)]
        self._total -= num_before - len(slots.lingering)
        self._forget_if_unused(upstream)

    def _forget_if_unused(self, upstream: UpstreamId) -> None:
        if self._slots_of[upstream].taken == 0:
            del self._slots_of[upstream]
