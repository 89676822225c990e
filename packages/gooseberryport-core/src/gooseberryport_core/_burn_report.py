"""Error-budget burn rates over several windows, from the history of the regions' counters."""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum

import msgspec

from gooseberryport_core._burn_counts import RequestCounts
from gooseberryport_core._burn_history import BurnHistory
from gooseberryport_core.config import Config
from gooseberryport_core.types import RegionName, ServiceName

MINUTE_S = 60
HOUR_S = 3_600
DAY_S = 86_400

ALL_REGIONS = RegionName("all")


class BurnSeverity(Enum):
    """Reaction that a burn rate calls for."""

    PAGE = "page"
    TICKET = "ticket"
    NONE = "none"


class _BurnRateRule(msgspec.Struct, frozen=True):
    """Severity of a burn at `rate` or more in both the long and the short window."""

    long_s: int
    short_s: int
    rate: float
    severity: BurnSeverity


BURN_RATE_RULES = (
    _BurnRateRule(HOUR_S, 5 * MINUTE_S, 14.4, BurnSeverity.PAGE),
    _BurnRateRule(6 * HOUR_S, 30 * MINUTE_S, 6.0, BurnSeverity.PAGE),
    _BurnRateRule(3 * DAY_S, 6 * HOUR_S, 1.0, BurnSeverity.TICKET),
)
"""Rates that spend 2% of a month's error budget in an hour, 5% in six hours, 10% in three days."""

WINDOWS_S = tuple(
    sorted({rule.long_s for rule in BURN_RATE_RULES} | {rule.short_s for rule in BURN_RATE_RULES})
)


class Objective(Enum):
    """Service-level objectives of a service."""

    LATENCY = "latency"
    SUCCESS = "success"


class BurnWindow(msgspec.Struct, frozen=True):
    """Burn rate of the error budget in one window.

    Parameters
    ----------
    window_s
        Length of the window; seconds.
    covered_s
        Part of the window that the history covers; seconds.
    total, bad
        Requests in the window, and those of them that missed the objective.
    rate
        Burn rate: the share of requests that missed the objective, divided by the share that may
        miss it. A rate of 1 spends the error budget exactly.
    """

    window_s: int
    covered_s: int
    total: int
    bad: int
    rate: float


class BurnLine(msgspec.Struct, frozen=True):
    """Burn of one service in one region against one objective.

    Parameters
    ----------
    target
        Share of requests that must meet the objective.
    severity
        Reaction that the burn calls for.
    age_s
        Time since the newest sample; of several regions, since the one that was sampled least
        recently; seconds.
    """

    service: ServiceName
    region: RegionName
    objective: Objective
    target: float
    windows: tuple[BurnWindow, ...]
    severity: BurnSeverity
    age_s: float


def burn_lines(
    cfg: Config, histories: Mapping[RegionName, BurnHistory], wall: float
) -> tuple[BurnLine, ...]:
    """Return the burn of each service and objective, in each region and summed over all regions.

    Parameters
    ----------
    cfg
        Configuration with the objectives.
    histories
        History of each region's counters.
    wall
        Wall clock, seconds since 1970-01-01 UTC.
    """
    lines = []
    for service in sorted(cfg.services):
        names = [name for name in sorted(histories) if service in histories[name].services()]
        scopes = [(name, [name]) for name in names]
        if len(names) > 1:
            scopes.append((ALL_REGIONS, names))
        for scope, members in scopes:
            chosen = [histories[name] for name in members]
            for objective in Objective:
                lines.append(_burn_line(cfg, service, scope, chosen, objective, wall))
    return tuple(lines)


def _burn_line(
    cfg: Config,
    service: ServiceName,
    region: RegionName,
    histories: list[BurnHistory],
    objective: Objective,
    wall: float,
) -> BurnLine:
    target = objective_target(cfg, service, objective)
    windows = tuple(
        burn_window(histories, service, objective, target, wall, window_s) for window_s in WINDOWS_S
    )
    oldest = min(history.last_sample_at for history in histories)
    return BurnLine(
        service, region, objective, target, windows, _severity(windows), max(wall - oldest, 0.0)
    )


def objective_target(cfg: Config, service: ServiceName, objective: Objective) -> float:
    """Return the share of requests that must meet an objective."""
    entry = cfg.services[service]
    if objective == Objective.LATENCY:
        return entry.latency_objective_fraction
    return entry.success_objective_fraction


def burn_window(
    histories: list[BurnHistory],
    service: ServiceName,
    objective: Objective,
    target: float,
    wall: float,
    window_s: int,
) -> BurnWindow:
    """Return the burn in the window that ends at `wall`, summed over the histories."""
    total, bad, covered_s = 0, 0, 0
    for history in histories:
        end = history.sample_at(service, wall)
        start = history.sample_at(service, wall - window_s) or history.oldest_sample(service)
        if end is None or start is None:
            continue
        increase = end.count.subtract(start.count)
        total += max(increase.total, 0)
        bad += max(missed_requests(increase, objective), 0)
        covered_s = max(covered_s, min(end.at - start.at, window_s))
    share = bad / total if total else 0.0
    return BurnWindow(window_s, covered_s, total, bad, share / (1.0 - target))


def burn_series(
    cfg: Config,
    history: BurnHistory,
    service: ServiceName,
    objective: Objective,
    window_s: int,
) -> list[tuple[int, float]]:
    """Return the burn rate over a window at each sample of the fine resolution, for plots."""
    target = objective_target(cfg, service, objective)
    samples = history.fine_samples(service)
    return [
        (sample.at, burn_window([history], service, objective, target, sample.at, window_s).rate)
        for sample in samples
    ]


def missed_requests(count: RequestCounts, objective: Objective) -> int:
    """Return how many requests missed an objective."""
    return count.slow if objective == Objective.LATENCY else count.failed


def _severity(windows: tuple[BurnWindow, ...]) -> BurnSeverity:
    rates = {window.window_s: window.rate for window in windows}
    for rule in BURN_RATE_RULES:
        if rates[rule.long_s] >= rule.rate and rates[rule.short_s] >= rule.rate:
            return rule.severity
    return BurnSeverity.NONE
