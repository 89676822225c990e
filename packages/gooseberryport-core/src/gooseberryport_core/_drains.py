"""Drain rules: which upstreams operators have drained, and by how much at a given time."""

from __future__ import annotations

from gooseberryport_core.config import Config, Drain, Upstream, region_of_zone
from gooseberryport_core.types import ServiceName, UpstreamId


class Drains:
    """Finds the drain rules that apply to each upstream.

    Parameters
    ----------
    cfg
        The configuration.
    """

    def __init__(self, cfg: Config) -> None:
        self._cfg = cfg
        self._rules: dict[UpstreamId, tuple[Drain, ...]] = {}
        for name, upstream in cfg.upstreams.items():
            rules = tuple(
                d for d in cfg.drains.values() if drain_applies_to(cfg, d, name, upstream)
            )
            if rules:
                self._rules[name] = rules

    def drained_fraction(self, upstream: UpstreamId, wall: float) -> float:
        """Return the drained fraction of an upstream's slots, 0 to 1, at a wall-clock time."""
        rules = self._rules.get(upstream)
        if rules is None:
            return 0.0
        return max(drain_progress(rule, wall) for rule in rules)

    def services_without_upstreams(self, wall: float) -> tuple[ServiceName, ...]:
        """Return the services of which every upstream is completely drained, sorted."""
        undrained = {
            upstream.service
            for name, upstream in self._cfg.upstreams.items()
            if self.drained_fraction(name, wall) < 1.0
        }
        all_services = {upstream.service for upstream in self._cfg.upstreams.values()}
        return tuple(sorted(all_services - undrained))


def drain_applies_to(cfg: Config, drain: Drain, name: UpstreamId, upstream: Upstream) -> bool:
    """Return whether a drain covers an upstream, also before the drain starts."""
    if drain.service and drain.service != upstream.service:
        return False
    if drain.upstream:
        return drain.upstream == name
    if drain.availability_zone:
        return drain.availability_zone == upstream.availability_zone
    return drain.region == region_of_zone(cfg, upstream.availability_zone)


def drain_progress(drain: Drain, wall: float) -> float:
    """Return the fraction of slots that a drain takes away at a wall-clock time, 0 to 1."""
    elapsed_s = wall - drain.start
    if elapsed_s < 0:
        return 0.0
    if elapsed_s >= drain.ramp_s:
        return 1.0
    return elapsed_s / drain.ramp_s
