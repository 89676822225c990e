"""Choice among upstreams whose loads are estimated, so that many gateways don't choose the same.

Load pattern: gateways with equal reports that all choose the minimum overload one upstream after
the other while others are idle. Estimates that differ by less than their uncertainty don't show
which upstream serves a request sooner, so among these it is drawn at random, by free capacity.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence

import msgspec

from gooseberryport_core.gateway.load_estimates import LoadEstimate
from gooseberryport_core.gateway.upstreams import Upstream

MIN_FREE_SLOTS = 0.05
"""Free capacity that a full upstream is drawn with, if all candidates are full; slots."""

UNSEEN_REQUESTS = 1.0
"""Requests that others may send to the same upstream at the same moment. Without them, 100 gateways
with reports of 50 ms served 49% in time instead of 66% (`bench even-load`, trial)."""

WAIT_DEVIATIONS = 2.0
"""Deviations of the load from which a request is expected to wait before all slots are taken."""


MAX_ASSESSED = 32
"""Most upstreams that are assessed for one request; each takes some 3 µs."""


class EvenLoad(msgspec.Struct, frozen=True):
    """Estimates by which requests are spread.

    Parameters
    ----------
    estimate_of
        Returns the estimated load of an upstream.
    time_factor_of
        Returns how long work takes at an upstream now, relative to the usual time.
    lasting_factor_of
        Returns the same in the mean, for what lasts longer than a slow spell: queues and homes.
    draw
        Returns a random number of [0, 1).
    """

    estimate_of: Callable[[Upstream], LoadEstimate]
    time_factor_of: Callable[[Upstream], float]
    lasting_factor_of: Callable[[Upstream], float]
    draw: Callable[[], float]


class Candidate(msgspec.Struct, frozen=True):
    """An upstream that may serve a request.

    Parameters
    ----------
    upstream
        The upstream.
    time
        Expected time until the request ends there, in units of the usual time of a request.
    uncertainty
        Standard deviation of that time, in the same units.
    weight
        Weight in a draw: the square of the requests that it can still take in time, over the time
        that each takes.
    is_full
        Whether a request would miss its objective there, as far as is known.
    has_free_slot
        Whether it is expected to start a request at once.
    """

    upstream: Upstream
    time: float
    uncertainty: float
    weight: float
    is_full: bool
    has_free_slot: bool


def queue_limit(*, queue_factor: float, time_factor: float) -> float:
    """Return the load per slot from which a request would miss its objective at an upstream.

    On a slow machine each waiting request takes longer, so fewer may wait. Free slots are used on
    any machine, since a refusal is worth less than a late response. The limit of a fast machine is
    not raised: the upper bound of queue factors was measured.
    """
    return min(queue_factor, max(queue_factor / time_factor, 1.0))


def assess(
    upstream: Upstream, *, even: EvenLoad, queue_factor: float, penalty: float = 0.0
) -> Candidate:
    """Return what a gateway expects of a request that it sends to an upstream.

    Parameters
    ----------
    upstream
        The upstream.
    even
        Estimates of loads and speeds.
    queue_factor
        Load per slot from which a request misses its objective at an upstream of normal speed.
    penalty
        Added to the expected time, for example for distance.
    """
    estimate = even.estimate_of(upstream)
    factor = even.time_factor_of(upstream)
    slots = max(upstream.entry.slots, 1)
    limit = queue_limit(queue_factor=queue_factor, time_factor=even.lasting_factor_of(upstream))
    over = estimate.requests - slots + 1.0
    deviation = WAIT_DEVIATIONS * (estimate.deviation + 0.5 * UNSEEN_REQUESTS)
    waiting = 0.5 * (over + math.hypot(over, deviation)) / slots
    free = max(slots * limit - estimate.requests, MIN_FREE_SLOTS)
    return Candidate(
        upstream=upstream,
        time=factor * (1.0 + waiting) + penalty,
        uncertainty=factor * (estimate.deviation + UNSEEN_REQUESTS) / slots,
        weight=free * free / factor,
        is_full=estimate.requests >= slots * limit,
        has_free_slot=estimate.requests < slots,
    )


def sample(upstreams: Sequence[Upstream], *, draw: float) -> Sequence[Upstream]:
    """Return upstreams to assess: all of them, or evenly spaced ones of the given order.

    Upstreams of a zone are often adjacent in the order, so that each zone keeps its share.
    """
    step = -(-len(upstreams) // MAX_ASSESSED)
    return upstreams[int(draw * step) :: step] if step > 1 else upstreams


def choose(candidates: Sequence[Candidate], *, draw: float) -> Candidate:
    """Choose a candidate: the one expected to be soonest, or one that may be as soon.

    Parameters
    ----------
    candidates
        Candidates, at least one. If any of them is not full, only such ones are chosen.
    draw
        A random number of [0, 1).
    """
    remaining = [candidate for candidate in candidates if not candidate.is_full] or candidates
    best = min(remaining, key=lambda candidate: candidate.time)
    near = [
        candidate
        for candidate in remaining
        if candidate.time - best.time <= max(candidate.uncertainty, best.uncertainty)
    ]
    left = draw * sum(candidate.weight for candidate in near)
    for candidate in near:
        left -= candidate.weight
        if left < 0.0:
            return candidate
    return near[-1]


def choose_warm(candidates: Sequence[Candidate], *, draw: float) -> Candidate:
    """Choose one of the upstreams where an object is warm, given in order of rank.

    The first keeps the object's requests while it has a free slot and no other is expected to be
    sooner by more than the uncertainty, so that an object stays on few upstreams.
    """
    first = candidates[0]
    if first.has_free_slot and not first.is_full:
        best = min(candidates, key=lambda candidate: candidate.time)
        if first.time - best.time <= max(first.uncertainty, best.uncertainty):
            return first
    return choose(candidates, draw=draw)
