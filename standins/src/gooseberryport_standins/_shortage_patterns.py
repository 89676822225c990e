"""Load patterns with three priority levels, and what gateways may do about them."""

from __future__ import annotations

import msgspec


class Pattern(msgspec.Struct, frozen=True):
    """A load pattern.

    Parameters
    ----------
    name
        Name in the report.
    load
        Arrival rate as a fraction of the capacity with warm objects.
    shares
        Share of each level in the arrivals, the most urgent first.
    burst_level, burst_load
        Level whose arrivals increase from a third to two thirds of the duration, and by how much,
        as a fraction of the capacity; None for no burst.
    wave_s
        Period in which the load swings from a half to one and a half times its mean; 0 for none.
    objectives_s
        Latency objective of each level; seconds.
    seconds
        Duration; seconds.
    """

    name: str
    load: float
    shares: tuple[float, ...] = (1 / 3, 1 / 3, 1 / 3)
    burst_level: int | None = None
    burst_load: float = 0.0
    wave_s: float = 0.0
    objectives_s: tuple[float, ...] = (0.8, 0.8, 0.8)
    seconds: float = 20.0


PATTERNS = (
    Pattern(name="0.7 of capacity", load=0.7),
    Pattern(name="1.0 of capacity", load=1.0),
    Pattern(name="1.4 of capacity", load=1.4),
    Pattern(name="burst of the least urgent", load=0.6, burst_level=2, burst_load=0.8),
    Pattern(name="burst of the most urgent", load=0.6, burst_level=0, burst_load=0.8),
    Pattern(name="waves", load=0.9, wave_s=4.0),
    Pattern(name="most urgent over the capacity", load=1.5, shares=(0.9, 0.05, 0.05)),
    Pattern(name="tighter objectives above", load=1.0, objectives_s=(0.5, 0.8, 1.2)),
    Pattern(
        name="tighter objectives below",
        load=1.5,
        shares=(0.9, 0.05, 0.05),
        objectives_s=(1.2, 0.5, 0.5),
    ),
)


class Policy(msgspec.Struct, frozen=True):
    """What gateways do when the homes of an object are full.

    Parameters
    ----------
    name
        Name in the report.
    thresholds
        Whether the load from which an upstream is full depends on the level.
    waits
        Whether requests wait at the gateway, and are sent there only as long as they can be in
        time.
    expected_retry
        Whether clients are told to retry when a slot is expected.
    """

    name: str
    thresholds: bool = False
    waits: bool = False
    expected_retry: bool = False


POLICIES = (
    Policy(name="present"),
    Policy(name="thresholds", thresholds=True),
    Policy(name="thresholds, expected retry", thresholds=True, expected_retry=True),
    Policy(name="waiting", waits=True),
    Policy(name="both, expected retry", thresholds=True, waits=True, expected_retry=True),
)
