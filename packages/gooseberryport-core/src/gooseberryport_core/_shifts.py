"""Placement of requests in regions: shift rules with their caps, and the failover cap."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from gooseberryport_core._hashing import hash_to_unit_interval
from gooseberryport_core._invariants import Invariant, check
from gooseberryport_core.config import Config, Shift
from gooseberryport_core.effects import Effect
from gooseberryport_core.types import RegionName, RuleName, ServiceName


class MovedCounts(msgspec.Struct):
    """Counts one window's requests and those of them that were moved to another region.

    Windows are tumbling. At any time within a window, moved <= cap * total holds at each daemon,
    so it also holds for the sums over all daemons in the same window.
    """

    window: int = -1
    total: int = 0
    moved: int = 0

    def start_window(self, window: int) -> None:
        """Reset the counts if `window` is not the current window."""
        if window != self.window:
            self.window = window
            self.total = 0
            self.moved = 0

    def allows(self, cap: float) -> bool:
        """Return whether the request that was counted last may be moved under `cap`."""
        return self.moved + 1 <= cap * self.total


class Placement(msgspec.Struct, frozen=True):
    """The region in which a request should be served.

    Parameters
    ----------
    home
        Region of the client.
    region
        Region that should serve the request, after any shift.
    window
        Number of the window in which the request was counted.
    rule
        Shift rule that moved the request; empty if none did.
    """

    home: RegionName
    region: RegionName
    window: int
    rule: RuleName = RuleName("")


class Shifts:
    """Places requests in regions by the operators' shift rules, within their caps."""

    def __init__(self) -> None:
        self._cfg = Config()
        self._rules: dict[tuple[ServiceName, RegionName], tuple[RuleName, ...]] = {}
        self._rule_counts: dict[RuleName, MovedCounts] = {}
        self._failover_counts: dict[tuple[ServiceName, RegionName], MovedCounts] = {}

    def configure(self, cfg: Config) -> None:
        """Apply a newer configuration; rules that remain keep their counts."""
        rules: dict[tuple[ServiceName, RegionName], list[RuleName]] = {}
        for name in sorted(cfg.shifts):
            rule = cfg.shifts[name]
            rules.setdefault((rule.service, rule.source), []).append(name)
        self._cfg = cfg
        self._rules = {place: tuple(names) for place, names in rules.items()}
        self._rule_counts = {
            name: self._rule_counts.get(name, MovedCounts()) for name in cfg.shifts
        }

    def place(
        self, service: ServiceName, home: RegionName, hash_key: str, wall: float
    ) -> tuple[Placement, list[Effect]]:
        """Place one request and count it.

        Parameters
        ----------
        service
            Service that the request is for.
        home
            Region of the client.
        hash_key
            Hash key of the client; whether the client is moved depends only on the key and on the
            rule's current fraction.
        wall
            Wall clock, seconds since 1970-01-01 UTC.

        Returns
        -------
        Placement and list of Effect
            The placement, and reports of broken invariants.
        """
        window = int(wall // self._cfg.limits.window_s)
        failover = self._failover_counts.setdefault((service, home), MovedCounts())
        failover.start_window(window)
        failover.total += 1
        names = self._rules.get((service, home), ())
        for name in names:
            counts = self._rule_counts[name]
            counts.start_window(window)
            counts.total += 1
        moving_rule_name = moving_rule(self._cfg, names, hash_key, wall)
        if not moving_rule_name:
            return Placement(home, home, window), []
        rule = self._cfg.shifts[moving_rule_name]
        counts = self._rule_counts[moving_rule_name]
        if not counts.allows(rule.cap_fraction):
            return Placement(home, home, window), []
        counts.moved += 1
        is_within_cap = counts.moved <= rule.cap_fraction * counts.total
        effects = check(Invariant.SHIFT_CAP, is_within_cap, f"{moving_rule_name}: {counts}")
        return Placement(home, rule.destination, window, moving_rule_name), effects

    def count_failover(
        self, service: ServiceName, placement: Placement, wall: float
    ) -> tuple[bool, list[Effect]]:
        """Count a failover of a request out of its region; return False if the cap forbids it.

        Parameters
        ----------
        service, placement
            Service and placement of the request; if it was placed in an earlier window, it is
            counted in the current window's total too.
        wall
            Wall clock, seconds since 1970-01-01 UTC.
        """
        cap = self._cfg.limits.failover_fraction
        counts = self._failover_counts.setdefault((service, placement.home), MovedCounts())
        window = int(wall // self._cfg.limits.window_s)
        counts.start_window(window)
        if placement.window != window:
            counts.total += 1
        if not counts.allows(cap):
            return False, []
        counts.moved += 1
        is_within_cap = counts.moved <= cap * counts.total
        detail = f"{service} from {placement.home}: {counts}"
        return True, check(Invariant.FAILOVER_CAP, is_within_cap, detail)


def moving_rule(cfg: Config, names: Iterable[RuleName], hash_key: str, wall: float) -> RuleName:
    """Return the rule of one service and source that moves a client block; empty if none does.

    Parameters
    ----------
    names
        The rules of the service and source, in name order.
    hash_key
        Hash key of the client.
    wall
        Wall clock, seconds since 1970-01-01 UTC.
    """
    range_end = 0.0
    for name in names:
        rule = cfg.shifts[name]
        range_start = range_end
        range_end += shifted_fraction(rule, wall)
        if range_start <= _hash_position(rule, hash_key) < range_end:
            return name
    return RuleName("")


def shifted_fraction(rule: Shift, wall: float) -> float:
    """Return the fraction of client blocks that a rule moves at `wall`, at most its cap."""
    if wall < rule.start:
        return 0.0
    ramp = 1.0
    if rule.ramp_s > 0.0 and rule.start > 0.0:
        ramp = min((wall - rule.start) / rule.ramp_s, 1.0)
    return min(rule.fraction * ramp, rule.cap_fraction)


def _hash_position(rule: Shift, hash_key: str) -> float:
    salt = rule.salt or f"{rule.service}|{rule.source}"
    return hash_to_unit_interval(f"{salt}|{hash_key}")
