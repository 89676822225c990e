"""The form of a configuration file: its sections, the bounds of its numbers, its JSON Schema."""

from __future__ import annotations

from typing import Any

import msgspec

from gooseberryport_core.config import (
    Config,
    Drain,
    Limits,
    Link,
    Region,
    Service,
    Shift,
    Upstream,
)

SECTIONS: dict[str, type[msgspec.Struct]] = {
    "regions": Region,
    "links": Link,
    "services": Service,
    "upstreams": Upstream,
    "shifts": Shift,
    "drains": Drain,
}
"""Sections that map a name to an entry, with the type of the entry."""

BLOCKS_SECTION = "client_blocks"
LIMITS_SECTION = "limits"
ALL_SECTIONS = (*SECTIONS, BLOCKS_SECTION, LIMITS_SECTION)


class NumberRange(msgspec.Struct, frozen=True):
    """Give the range of a number.

    Parameters
    ----------
    low, high
        Smallest and largest value.
    above_low, below_high
        Whether the smallest, or the largest, value itself is excluded.
    """

    low: float = 0.0
    high: float = float("inf")
    above_low: bool = False
    below_high: bool = False

    def contains(self, value: float) -> bool:
        """Return whether a value is in the range."""
        high_enough = value > self.low if self.above_low else value >= self.low
        low_enough = value < self.high if self.below_high else value <= self.high
        return high_enough and low_enough

    def __str__(self) -> str:
        least = f"{'above' if self.above_low else 'at least'} {self.low:g}"
        if self.high == float("inf"):
            return least
        return f"{least} and {'below' if self.below_high else 'at most'} {self.high:g}"


AT_LEAST_ZERO = NumberRange()
AT_LEAST_ONE = NumberRange(low=1)
POSITIVE = NumberRange(above_low=True)
FRACTION = NumberRange(high=1)

NUMBER_RANGES: dict[type[msgspec.Struct], dict[str, NumberRange]] = {
    Region: {"max_requests": AT_LEAST_ZERO},
    Link: {
        "limit_mbit_s": POSITIVE,
        "headroom_fraction": NumberRange(high=1, below_high=True),
        "delay_ms": AT_LEAST_ZERO,
    },
    Service: {
        "slots": AT_LEAST_ONE,
        "connections": AT_LEAST_ONE,
        "default_timeout_s": POSITIVE,
        "max_timeout_s": POSITIVE,
        "max_attempt_s": POSITIVE,
        "max_body_bytes": AT_LEAST_ZERO,
        "max_answer_bytes": AT_LEAST_ONE,
        "answer_bytes": AT_LEAST_ZERO,
        "queue_limit": AT_LEAST_ZERO,
        "retry_fraction": FRACTION,
        "slow_start_s": AT_LEAST_ZERO,
        "latency_objective_s": POSITIVE,
        "latency_objective_fraction": NumberRange(high=1, above_low=True, below_high=True),
        "success_objective_fraction": NumberRange(high=1, above_low=True, below_high=True),
    },
    Upstream: {"slots": AT_LEAST_ZERO},
    Shift: {
        "fraction": FRACTION,
        "cap_fraction": FRACTION,
        "ramp_s": AT_LEAST_ZERO,
        "start": AT_LEAST_ZERO,
    },
    Drain: {"start": AT_LEAST_ZERO, "ramp_s": AT_LEAST_ZERO},
    Limits: {
        "failover_fraction": FRACTION,
        "window_s": POSITIVE,
        "lookup_max_age_s": NumberRange(low=1),
        "lease_s": POSITIVE,
        "zone_delay_ms": AT_LEAST_ZERO,
        "client_delay_ms": AT_LEAST_ZERO,
    },
}
"""Ranges of the numbers of each part, by field."""


def config_schema() -> dict[str, Any]:
    """Return the JSON Schema of one configuration file.

    A file may hold any part of a configuration, and null deletes what an earlier file set, so
    nothing is required and everything may be null.
    """
    schema = msgspec.json.schema(Config)
    parts = schema["$defs"]
    for part_type, bounds in NUMBER_RANGES.items():
        for field, bound in bounds.items():
            parts[part_type.__name__]["properties"][field].update(_limits_of(bound))
    whole = parts["Config"]
    whole["properties"].pop("version")
    whole["title"] = "One file of a gooseberryport configuration"
    for part in parts.values():
        part.pop("required", None)
        part["properties"] = {
            name: {"anyOf": [field, {"type": "null"}]} for name, field in part["properties"].items()
        }
    for section in whole["properties"].values():
        _allow_null_entries(section["anyOf"][0])
    schema["$schema"] = "https://json-schema.org/draft/2020-12/schema"
    return schema


def _limits_of(bound: NumberRange) -> dict[str, float]:
    limits = {"exclusiveMinimum" if bound.above_low else "minimum": bound.low}
    if bound.high != float("inf"):
        limits["exclusiveMaximum" if bound.below_high else "maximum"] = bound.high
    return limits


def _allow_null_entries(section: dict[str, Any]) -> None:
    section.pop("default", None)
    if "additionalProperties" in section:
        entry = section["additionalProperties"]
        section["additionalProperties"] = {"anyOf": [entry, {"type": "null"}]}
