"""Which gateways report about tenants, and whether this one may be cut off from them.

Failure pattern: gateways are cut off from each other while tenants ask for more than their quotas.
The fleet takes a silent gateway for failed after seconds. Until then each would use what the others
use as well, so silence counts much earlier here: it costs some of the quota, for a moment, if only
datagrams were lost.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from gooseberryport_core.gateway.quota_counts import COUNT_MASK
from gooseberryport_core.types import VmId

LOCAL_FRESH_S = 0.5
REMOTE_FRESH_S = 1.0
"""Age of the last report of a gateway of this and of another region from which it may be cut off,
so that its part of the quota is left to it; seconds."""

ALL_SILENT_S = 0.45
"""Time without a report of any gateway, if others of this region report, after which this gateway
may be cut off: two of their intervals; seconds."""

MANY_REPORTERS = 3
MANY_SILENT_S = 0.3
"""The same if at least `MANY_REPORTERS` of this region report, whose datagrams are not lost all at
once; seconds."""

REPORTER_TTL_S = 4.0
"""Silence after which a gateway that reported is left to the fleet's judgement; seconds."""

MAX_SWEEP_GAP_S = 0.4
"""Time between two sweeps that shows that this process paused; seconds."""

MAX_REPORTERS = 1_024
"""Maximum gateways whose reports are used."""


class _Reporter(msgspec.Struct, frozen=True):
    incarnation: int
    sequence: int
    remote: bool
    at: float


class QuotaReporters:
    """Tracks the gateways that report about tenants."""

    def __init__(self) -> None:
        self._reporters: dict[VmId, _Reporter] = {}
        self._fresh_fraction = 1.0
        self._swept_at = self._heard_at = float("-inf")
        self._locals = 0

    def accept(
        self, vm: VmId, *, incarnation: int, sequence: int, remote: bool, now: float
    ) -> bool:
        """Record a report; return False if it must be ignored, as it is late or a repetition.

        Parameters
        ----------
        vm, incarnation
            The gateway that reports.
        sequence
            Number of the report, modulo 65,536.
        remote
            Whether the gateway is in another region.
        now
            Monotonic time; seconds.
        """
        known = self._reporters.get(vm)
        if known is None and len(self._reporters) >= MAX_REPORTERS:
            return False
        if known is not None and known.incarnation == incarnation:
            newer = (sequence - known.sequence) & COUNT_MASK
            if newer == 0 or newer > COUNT_MASK // 2:
                return False
        self._reporters[vm] = _Reporter(
            incarnation=incarnation, sequence=sequence, remote=remote, at=now
        )
        self._heard_at = now
        return True

    def forget(self, vm: VmId) -> None:
        """Record that a gateway no longer reports, which does not mean that it is cut off."""
        self._reporters.pop(vm, None)

    def fraction(self, now: float) -> float:
        """Return the fraction of a quota that belongs to the gateways that were heard lately."""
        running = now - self._swept_at < MAX_SWEEP_GAP_S
        limit_s = MANY_SILENT_S if self._locals >= MANY_REPORTERS else ALL_SILENT_S
        if running and self._locals and now - self._heard_at > limit_s:
            return 1.0 / (1 + len(self._reporters))
        return self._fresh_fraction

    def sweep(self, *, may_run: Callable[[VmId], bool], now: float) -> None:
        """Compute the fraction again, without gateways that were silent for long or left.

        Parameters
        ----------
        may_run
            Returns whether a silent gateway may still run, as it did not leave in a planned way.
        now
            Monotonic time; seconds.
        """
        self._reporters = {
            vm: known
            for vm, known in self._reporters.items()
            if now - known.at < REPORTER_TTL_S and may_run(vm)
        }
        self._locals = sum(not known.remote for known in self._reporters.values())
        paused = now - self._swept_at > MAX_SWEEP_GAP_S
        self._swept_at = now
        if paused:
            # Datagrams that arrived during a pause of this process are not read yet.
            return
        fresh = sum(
            now - known.at < (REMOTE_FRESH_S if known.remote else LOCAL_FRESH_S)
            for known in self._reporters.values()
        )
        self._fresh_fraction = (1 + fresh) / (1 + len(self._reporters))
