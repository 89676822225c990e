"""Which region a request should be served in: shift rules, their caps, and the failover cap."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from gooseberryport_core._hashing import hash_point
from gooseberryport_core._invariants import Invariant, check
from gooseberryport_core.config import Config, Shift
from gooseberryport_core.effects import Effect
from gooseberryport_core.types import RegionName, RuleName, ServiceName


class WindowShare(msgspec.Struct):
    """Count one window's traffic and the part of it that moved.

    Windows are tumbling: every prefix of a window keeps moved <= cap * total, so that the sum over
    daemons of the same window keeps it too.
    """

    window: int = -1
    total: int = 0
    moved: int = 0

    def enter(self, window: int) -> None:
        """Start counting anew if `window` is another one."""
        if window != self.window:
            self.window = window
            self.total = 0
            self.moved = 0

    def allows(self, cap: float) -> bool:
        """Return whether the request counted last may move under `cap`."""
        return self.moved + 1 <= cap * self.total


class Placement(msgspec.Struct, frozen=True):
    """Tell where a request should be served.

    Parameters
    ----------
    home
        Region of the client.
    region
        Region after any shift.
    window
        Window that it was counted in.
    rule
        Rule that moved it; empty for none.
    """

    home: RegionName
    region: RegionName
    window: int
    rule: RuleName = RuleName("")


class Shifts:
    """Place requests in regions within the caps of the operators' rules."""

    def __init__(self) -> None:
        self._cfg = Config()
        self._rules: dict[tuple[ServiceName, RegionName], tuple[RuleName, ...]] = {}
        self._shares: dict[RuleName, WindowShare] = {}
        self._failover: dict[tuple[ServiceName, RegionName], WindowShare] = {}

    def configure(self, cfg: Config) -> None:
        """Apply a newer configuration; the counts of rules that stay are kept."""
        rules: dict[tuple[ServiceName, RegionName], list[RuleName]] = {}
        for name in sorted(cfg.shifts):
            rule = cfg.shifts[name]
            rules.setdefault((rule.service, rule.source), []).append(name)
        self._cfg = cfg
        self._rules = {place: tuple(names) for place, names in rules.items()}
        self._shares = {name: self._shares.get(name, WindowShare()) for name in cfg.shifts}

    def place(
        self, service: ServiceName, home: RegionName, block: str, wall: float
    ) -> tuple[Placement, list[Effect]]:
        """Place one request and count it.

        Parameters
        ----------
        service
            Service that is asked for.
        home
            Region of the client.
        block
            Block of the client; the same block moves or stays as long as the share does.
        wall
            Wall clock, seconds since 1970-01-01 UTC.

        Returns
        -------
        Placement and list of Effect
            Where it should be served, and reports of broken invariants.
        """
        window = int(wall // self._cfg.limits.window_s)
        failover = self._failover.setdefault((service, home), WindowShare())
        failover.enter(window)
        failover.total += 1
        names = self._rules.get((service, home), ())
        for name in names:
            share = self._shares[name]
            share.enter(window)
            share.total += 1
        moving = moving_rule(self._cfg, names, block, wall)
        if not moving:
            return Placement(home, home, window), []
        rule = self._cfg.shifts[moving]
        share = self._shares[moving]
        if not share.allows(rule.cap_fraction):
            return Placement(home, home, window), []
        share.moved += 1
        held = share.moved <= rule.cap_fraction * share.total
        effects = check(Invariant.SHIFT_CAP, held, f"{moving}: {share}")
        return Placement(home, rule.destination, window, moving), effects

    def count_failover(
        self, service: ServiceName, placement: Placement, wall: float
    ) -> tuple[bool, list[Effect]]:
        """Count a request that no longer fits into its region; False if the cap forbids it.

        Parameters
        ----------
        service, placement
            Service, and where the request was placed; if that was in an earlier window, it counts
            as this window's traffic too.
        wall
            Wall clock, seconds since 1970-01-01 UTC.
        """
        cap = self._cfg.limits.failover_fraction
        share = self._failover.setdefault((service, placement.home), WindowShare())
        window = int(wall // self._cfg.limits.window_s)
        share.enter(window)
        if placement.window != window:
            share.total += 1
        if not share.allows(cap):
            return False, []
        share.moved += 1
        held = share.moved <= cap * share.total
        detail = f"{service} from {placement.home}: {share}"
        return True, check(Invariant.FAILOVER_CAP, held, detail)


def moving_rule(cfg: Config, names: Iterable[RuleName], block: str, wall: float) -> RuleName:
    """Return the rule, among those of one service and source, that moves a block; empty for none.

    Parameters
    ----------
    names
        The rules, in name order.
    block
        Block of the client.
    wall
        Wall clock, seconds since 1970-01-01 UTC.
    """
    point = 0.0
    for name in names:
        rule = cfg.shifts[name]
        start = point
        point += hashed_share(rule, wall)
        if start <= _position(rule, block) < point:
            return name
    return RuleName("")


def hashed_share(rule: Shift, wall: float) -> float:
    """Return the share of client blocks that a rule moves at `wall`, never above its cap."""
    if wall < rule.start:
        return 0.0
    ramp = 1.0
    if rule.ramp_s > 0.0 and rule.start > 0.0:
        ramp = min((wall - rule.start) / rule.ramp_s, 1.0)
    return min(rule.fraction * ramp, rule.cap_fraction)


def _position(rule: Shift, block: str) -> float:
    salt = rule.salt or f"{rule.service}|{rule.source}"
    return hash_point(f"{salt}|{block}")
