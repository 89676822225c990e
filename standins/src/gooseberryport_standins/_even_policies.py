"""Policies by which many load balancers select upstreams, for `_even_model`."""

from __future__ import annotations

from collections.abc import Sequence

from gooseberryport_core.gateway.even_selection import EvenLoad, assess, choose
from gooseberryport_core.gateway.model import ObjectKey
from gooseberryport_core.gateway.placement import (
    IDLE_LOAD_FRACTION,
    MAX_HOMES,
    Placement,
    PlacementView,
    Verdict,
)
from gooseberryport_core.gateway.upstreams import Upstream
from gooseberryport_standins._even_model import FACTOR, RANKED, Chooser, EvenPolicy
from gooseberryport_standins._warm_model import SLOTS, WARM_SERVICE_TIME_S

SAMPLE_USES = 3
SAMPLE_TTL_S = 1.0
"""How often and how long a sample is used."""


class Estimates(EvenPolicy):
    """The product's placement by estimates and random draws."""

    def even(self, chooser: Chooser) -> EvenLoad:
        """Return the estimates of a load balancer."""
        return EvenLoad(
            estimate_of=chooser.estimate_of,
            time_factor_of=chooser.time_factor_of,
            lasting_factor_of=chooser.time_factor_of,
            draw=chooser.rng.random,
        )


class EstimatesWithoutSpeed(Estimates):
    """The same without the stated speeds."""

    def even(self, chooser: Chooser) -> EvenLoad:
        """Return the estimates of a load balancer."""
        return EvenLoad(
            estimate_of=chooser.estimate_of,
            time_factor_of=lambda _: 1.0,
            lasting_factor_of=lambda _: 1.0,
            draw=chooser.rng.random,
        )


class SelectionPolicy(EvenPolicy):
    """A selection among the warm upstreams, or all; the rest is as in the product."""

    def select(self, chooser: Chooser, candidates: Sequence[Upstream]) -> Upstream:
        """Select one of the candidates."""
        raise NotImplementedError

    def place(self, chooser: Chooser, key: ObjectKey | None) -> Placement:
        """Place a request of a load balancer."""
        if key is not None:
            return super().place(chooser, key)
        return self._send(chooser, self.select(chooser, chooser.model.upstreams))

    def place_object(
        self,
        chooser: Chooser,
        homes: Sequence[Upstream],
        ranked: Sequence[Upstream],
        view: PlacementView,
    ) -> Placement:
        """Select a warm upstream; warm another one if it is full."""
        if not homes:
            return super().place_object(chooser, homes, ranked, view)
        placement = self._send(chooser, self.select(chooser, homes))
        if placement.verdict is Verdict.FULL and len(homes) < MAX_HOMES:
            for upstream in ranked:
                if chooser.load_of(upstream) <= SLOTS * IDLE_LOAD_FRACTION:
                    return Placement(verdict=Verdict.SEND, upstream=upstream)
        return placement

    def _send(self, chooser: Chooser, upstream: Upstream) -> Placement:
        is_full = chooser.load_of(upstream) >= SLOTS * FACTOR
        return Placement(verdict=Verdict.FULL if is_full else Verdict.SEND, upstream=upstream)


class TwoRandomChoices(SelectionPolicy):
    """The less loaded of two random upstreams."""

    def select(self, chooser: Chooser, candidates: Sequence[Upstream]) -> Upstream:
        """Select the less loaded of two."""
        pair = chooser.rng.sample(candidates, min(2, len(candidates)))
        return min(pair, key=chooser.load_of)


class AgeInterpretation(SelectionPolicy):
    """Draw so that the arrivals since the report make the loads equal.

    All load balancers together are expected to have sent as many requests in the age of the report
    as the mean load turns over; these fill the upstreams that were below the level first.
    """

    def select(self, chooser: Chooser, candidates: Sequence[Upstream]) -> Upstream:
        """Draw an upstream by its distance from the level."""
        loads = [chooser.load_of(upstream) for upstream in candidates]
        age_s = chooser.model.now - chooser.reported_at
        arrivals = max(sum(loads) * age_s / WARM_SERVICE_TIME_S, 1.0)
        level = 0.0
        total = 0.0
        for filled, load in enumerate(sorted(loads)):
            if filled and (arrivals + total) / filled <= load:
                break
            total += load
            level = (arrivals + total) / (filled + 1)
        weights = [max(level - load, 0.0) for load in loads]
        return chooser.rng.choices(candidates, weights)[0]


class RateControl(SelectionPolicy):
    """Each load balancer limits what it sends to an upstream between two reports to its share."""

    def select(self, chooser: Chooser, candidates: Sequence[Upstream]) -> Upstream:
        """Select the least loaded upstream whose share isn't used up."""
        model = chooser.model
        age_s = model.now - chooser.reported_at
        share = 1.0 + SLOTS * age_s / WARM_SERVICE_TIME_S / len(model.choosers)
        allowed = [u for u in candidates if chooser.sent.get(u.id, 0) < share] or candidates
        return min(allowed, key=chooser.load_of)


class ReusedSamples(SelectionPolicy):
    """The least loaded of a few loads that responses reported, each used a few times."""

    def select(self, chooser: Chooser, candidates: Sequence[Upstream]) -> Upstream:
        """Select by a sample, or at random if there is none."""
        now = chooser.model.now
        ids = {upstream.id for upstream in candidates}
        usable = [
            sample
            for sample in chooser.pool
            if now - sample[0] < SAMPLE_TTL_S and sample[1].id in ids
        ]
        if not usable:
            return chooser.rng.choice(candidates)
        best = min(usable, key=lambda sample: sample[2])
        chooser.pool.remove(best)
        at, upstream, load = best
        if load + 1 < SLOTS * FACTOR:
            # The request is added to the sample, and each use shortens its life.
            chooser.pool.append((at - SAMPLE_TTL_S / SAMPLE_USES, upstream, load + 1))
        return upstream


class Subsetting(SelectionPolicy):
    """Each load balancer uses the upstreams that rank highest for its own name."""

    def select(self, chooser: Chooser, candidates: Sequence[Upstream]) -> Upstream:
        """Select the least loaded upstream of the subset; of all candidates if they are few."""
        if len(candidates) <= RANKED:
            return min(candidates, key=chooser.load_of)
        subset = chooser.model.ranked(ObjectKey(f"chooser {chooser.number}"))
        return min(subset, key=chooser.load_of)


class DrawnHome(SelectionPolicy):
    """Estimates, where any warm upstream may be drawn, whether or not the first has free slots."""

    def select(self, chooser: Chooser, candidates: Sequence[Upstream]) -> Upstream:
        """Draw an upstream."""
        even = Estimates().even(chooser)
        assessed = [assess(upstream, even=even, queue_factor=FACTOR) for upstream in candidates]
        return choose(assessed, draw=chooser.rng.random()).upstream


POLICIES: dict[str, EvenPolicy] = {
    "exact minimum": EvenPolicy(),
    "two random choices": TwoRandomChoices(),
    "age interpretation": AgeInterpretation(),
    "rate control": RateControl(),
    "reused samples": ReusedSamples(),
    "subsetting": Subsetting(),
    "estimates without speed": EstimatesWithoutSpeed(),
    "estimates, drawn home": DrawnHome(),
    "estimates": Estimates(),
}
