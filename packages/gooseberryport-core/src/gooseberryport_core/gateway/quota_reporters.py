"""Which gateways report about tenants, and whether this one may be cut off from them.

Failure pattern: gateways are cut off from each other while tenants ask for more than their quotas.
The fleet takes a silent gateway for failed after seconds. Until then each would use what the others
use as well, so silence counts much earlier here: it costs some of the quota, for a moment, if only
datagrams were lost. Datagrams that were sent before a cut may arrive for a second after it, so
silence begins when the last report was sent, by the sender's clock.
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

FLEET_LOCAL_TIMEOUT_S = 2.0
FLEET_REMOTE_TIMEOUT_S = 3.5
"""Age of the last report of a gateway of this and of another region from which the fleet no longer
takes it for alive: the fleet's 1.5 and 3 s, and up to 0.5 s for the delay of datagrams; seconds."""

OFFSET_SPAN_S = 10.0
"""Span over which the least delay of a gateway's reports is taken: at least 12 reports; seconds."""

MAX_REPORTERS = 1_024
"""Maximum gateways whose reports are used."""


class _ClockOffset(msgspec.Struct):
    """Difference of this gateway's and a sender's clock, from the report that arrived fastest.

    The least difference of the last one to two spans counts: clocks drift, and the clock of a
    suspended VM may jump.

    Parameters
    ----------
    least, recent
        Least difference since the start of the previous and of the current span, modulo 65,536;
        milliseconds.
    until
        End of the current span; monotonic seconds.
    """

    least: int
    recent: int
    until: float

    def delay_s(self, difference: int, *, now: float) -> float:
        """Return how much longer a report took than the fastest one; seconds."""
        if now >= self.until:
            self.least, self.recent = self.recent, difference
            self.until = now + OFFSET_SPAN_S
        self.recent = _least(self.recent, difference)
        self.least = _least(self.least, difference)
        return ((difference - self.least) & COUNT_MASK) / 1000.0


def _least(first: int, second: int) -> int:
    """Return the lesser of two numbers modulo 65,536 that differ by less than half of that."""
    return second if (second - first) & COUNT_MASK > COUNT_MASK // 2 else first


class _Reporter(msgspec.Struct, frozen=True):
    """A gateway that reports; `at` is when its last report was sent, by this gateway's clock."""

    incarnation: int
    sequence: int
    remote: bool
    at: float
    offset: _ClockOffset | None


class QuotaReporters:
    """Tracks the gateways that report about tenants."""

    def __init__(self) -> None:
        self._reporters: dict[VmId, _Reporter] = {}
        self._fresh_fraction = self._unnoticed_fraction = 1.0
        self._unnoticed = 0
        self._swept_at = self._heard_at = float("-inf")
        self._locals = 0

    def accept(
        self,
        vm: VmId,
        *,
        incarnation: int,
        sequence: int,
        sent_ms: int | None = None,
        remote: bool,
        now: float,
    ) -> bool:
        """Record a report; return False if it must be ignored, as it is late or a repetition.

        Parameters
        ----------
        vm, incarnation
            The gateway that reports.
        sequence
            Number of the report, modulo 65,536.
        sent_ms
            Sender's monotonic time, modulo 65,536; None if it is not stated; milliseconds.
        remote
            Whether the gateway is in another region.
        now
            Monotonic time; seconds.
        """
        known = self._reporters.get(vm)
        if known is None and len(self._reporters) >= MAX_REPORTERS:
            return False
        offset = None
        if known is not None and known.incarnation == incarnation:
            newer = (sequence - known.sequence) & COUNT_MASK
            if newer == 0 or newer > COUNT_MASK // 2:
                return False
            offset = known.offset
        sent_at = now
        if sent_ms is not None:
            difference = (round(now * 1000.0) - sent_ms) & COUNT_MASK
            if offset is None:
                offset = _ClockOffset(
                    least=difference, recent=difference, until=now + OFFSET_SPAN_S
                )
            sent_at = now - offset.delay_s(difference, now=now)
        self._reporters[vm] = _Reporter(
            incarnation=incarnation, sequence=sequence, remote=remote, at=sent_at, offset=offset
        )
        self._heard_at = max(self._heard_at, sent_at)
        return True

    def forget(self, vm: VmId) -> None:
        """Record that a gateway no longer reports, which does not mean that it is cut off."""
        self._reporters.pop(vm, None)

    def fraction(self, *, alive_fraction: float, now: float) -> float:
        """Return the fraction of a quota that belongs to the gateways that were heard lately.

        Silent gateways that the fleet still takes for alive reduce its fraction further: it may
        be small since an earlier cut.

        Parameters
        ----------
        alive_fraction
            The fleet's fraction of gateways that are alive.
        now
            Monotonic time; seconds.
        """
        running = now - self._swept_at < MAX_SWEEP_GAP_S
        limit_s = MANY_SILENT_S if self._locals >= MANY_REPORTERS else ALL_SILENT_S
        if running and self._locals and now - self._heard_at > limit_s:
            return min(alive_fraction / (1 + self._unnoticed), 1.0 / (1 + len(self._reporters)))
        return min(alive_fraction * self._unnoticed_fraction, self._fresh_fraction)

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
        self._unnoticed = sum(
            now - known.at < (FLEET_REMOTE_TIMEOUT_S if known.remote else FLEET_LOCAL_TIMEOUT_S)
            for known in self._reporters.values()
        )
        self._unnoticed_fraction = (1 + fresh) / (1 + self._unnoticed)
        self._fresh_fraction = (1 + fresh) / (1 + len(self._reporters))
