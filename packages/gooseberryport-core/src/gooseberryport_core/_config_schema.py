"""Format of a configuration file: its sections, the ranges of its numbers, its JSON Schema."""

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
"""Sections that map names to entries, with the type of the entries."""

BLOCKS_SECTION = "client_blocks"
LIMITS_SECTION = "limits"
ALL_SECTIONS = (*SECTIONS, BLOCKS_SECTION, LIMITS_SECTION)


class NumberRange(msgspec.Struct, frozen=True):
    """Range of a number.

    Parameters
    ----------
    low, high
        Smallest and largest value.
    excludes_low, excludes_high
        Whether the smallest or the largest value itself is excluded.
    """

    low: float = 0.0
    high: float = float("inf")
    excludes_low: bool = False
    excludes_high: bool = False

    def contains(self, value: float) -> bool:
        """Return whether a value is in the range."""
        above_minimum = value > self.low if self.excludes_low else value >= self.low
        below_maximum = value < self.high if self.excludes_high else value <= self.high
        return above_minimum and below_maximum

    def __str__(self) -> str:
        minimum = f"{'above' if self.excludes_low else 'at least'} {self.low:g}"
        if self.high == float("inf"):
            return minimum
        return f"{minimum} and {'below' if self.excludes_high else 'at most'} {self.high:g}"


AT_LEAST_ZERO = NumberRange()
AT_LEAST_ONE = NumberRange(low=1)
POSITIVE = NumberRange(excludes_low=True)
FRACTION = NumberRange(high=1)

NUMBER_RANGES: dict[type[msgspec.Struct], dict[str, NumberRange]] = {
    Region: {"max_requests": AT_LEAST_ZERO},
    Link: {
        "limit_mbit_s": POSITIVE,
        "headroom_fraction": NumberRange(high=1, excludes_high=True),
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
        "latency_objective_fraction": NumberRange(high=1, excludes_low=True, excludes_high=True),
        "success_objective_fraction": NumberRange(high=1, excludes_low=True, excludes_high=True),
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
"""Ranges of the numeric fields of each type, by field."""


def config_schema() -> dict[str, Any]:
    """Return the JSON Schema of one configuration file.

    A file may contain any part of a configuration, and null deletes what an earlier file sets, so
    no field is required and every field may be null.
    """
    schema = msgspec.json.schema(Config)
    definitions = schema["$defs"]
    for config_type, ranges in NUMBER_RANGES.items():
        for field, number_range in ranges.items():
            definitions[config_type.__name__]["properties"][field].update(
                _range_keywords(number_range)
            )
    config = definitions["Config"]
    config["properties"].pop("version")
    config["title"] = "One file of a gooseberryport configuration"
    for definition in definitions.values():
        definition.pop("required", None)
        definition["properties"] = {
            name: {"anyOf": [field, {"type": "null"}]}
            for name, field in definition["properties"].items()
        }
    for section in config["properties"].values():
        _allow_null_entries(section["anyOf"][0])
    schema["$schema"] = "https://json-schema.org/draft/2020-12/schema"
    return schema


def _range_keywords(number_range: NumberRange) -> dict[str, float]:
    keywords = {"exclusiveMinimum" if number_range.excludes_low else "minimum": number_range.low}
    if number_range.high != float("inf"):
        keywords["exclusiveMaximum" if number_range.excludes_high else "maximum"] = (
            number_range.high
        )
    return keywords


def _allow_null_entries(section: dict[str, Any]) -> None:
    section.pop("default", None)
    if "additionalProperties" in section:
        entry = section["additionalProperties"]
        section["additionalProperties"] = {"anyOf": [entry, {"type": "null"}]}
