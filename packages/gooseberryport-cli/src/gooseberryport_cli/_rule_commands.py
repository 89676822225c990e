"""Commands that add or remove one drain or shift rule; each added rule is in its own file."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Annotated, Any

import cappa
import msgspec

from gooseberryport_cli._publish_options import PublishOptions, publish_draft
from gooseberryport_cli.context import Context
from gooseberryport_cli.errors import UsageError
from gooseberryport_cli.times import parse_time
from gooseberryport_core.config import Config, Drain, Shift
from gooseberryport_core.types import RegionName, RuleName, ServiceName, UpstreamId, ZoneName

DRAIN_FILE_TEMPLATE = "90-drain-{}.json"
SHIFT_FILE_TEMPLATE = "80-shift-{}.json"

RampSeconds = Annotated[
    float, cappa.Arg(long=True, help="Seconds over which the rule gradually takes effect")
]
StartTime = Annotated[
    str, cappa.Arg(long=True, help="When: now, +15m (s, m, h, d, w) or 2027-01-31T02:00 (UTC)")
]


@cappa.command(name="drain")
@dataclass
class DrainCommand(PublishOptions):
    """Take an upstream, an availability zone or a region out of service."""

    name: Annotated[str, cappa.Arg(value_name="NAME", help="Upstream, zone or region")]
    at: StartTime = "now"
    ramp: RampSeconds = 0.0
    service: Annotated[str, cappa.Arg(long=True, help="Only this service")] = ""

    def run(self, ctx: Context) -> None:
        """Run the command."""
        start = parse_time(self.at, ctx.environment.wall_time())
        with ctx.publisher() as publisher:
            head = publisher.head()
            cfg = publisher.config(head)
            drain = Drain(
                upstream=UpstreamId(self.name if self.name in cfg.upstreams else ""),
                availability_zone=ZoneName(self.name if self.name in _zones(cfg) else ""),
                region=RegionName(self.name if self.name in cfg.regions else ""),
                service=ServiceName(self.service),
                start=start,
                ramp_s=self.ramp,
            )
            if not (drain.upstream or drain.availability_zone or drain.region):
                remedy = "give an upstream, an availability zone or a region that `status` shows"
                raise UsageError(
                    message=f"no upstream, zone or region is named {self.name!r}", remedy=remedy
                )
            edits = _edits_with_rule("drains", DRAIN_FILE_TEMPLATE, self.name, drain)
            publish_draft(ctx, publisher, self, edits, head.version, f"drain {self.name}")


@dataclass
class Undrain(PublishOptions):
    """End a drain, planned or in force."""

    name: Annotated[str, cappa.Arg(value_name="NAME", help="Name of the drain")]

    def run(self, ctx: Context) -> None:
        """Run the command."""
        _remove_rule(ctx, self, "drains", self.name, f"undrain {self.name}")


@cappa.command(name="shift")
@dataclass
class ShiftCommand(PublishOptions):
    """Move a share of a service's clients from one region to another."""

    name: Annotated[str, cappa.Arg(value_name="NAME", help="Name of the rule")]
    service: Annotated[str, cappa.Arg(long=True, help="Service whose traffic is shifted")]
    source: Annotated[str, cappa.Arg(long="--from", help="Region that clients leave")]
    destination: Annotated[str, cappa.Arg(long="--to", help="Region that serves them")]
    fraction: Annotated[float, cappa.Arg(long=True, help="Fraction of clients, 0 to 1")]
    cap: Annotated[
        float | None,
        cappa.Arg(long=True, help="Maximum fraction of any window's traffic; --fraction if absent"),
    ] = None
    at: StartTime = "now"
    ramp: RampSeconds = 60.0

    def run(self, ctx: Context) -> None:
        """Run the command."""
        shift = Shift(
            service=ServiceName(self.service),
            source=RegionName(self.source),
            destination=RegionName(self.destination),
            fraction=self.fraction,
            cap_fraction=self.fraction if self.cap is None else self.cap,
            ramp_s=self.ramp,
            start=parse_time(self.at, ctx.environment.wall_time()),
        )
        with ctx.publisher() as publisher:
            version = publisher.head().version
            edits = _edits_with_rule("shifts", SHIFT_FILE_TEMPLATE, self.name, shift)
            publish_draft(ctx, publisher, self, edits, version, f"shift {self.name}")


@dataclass
class Unshift(PublishOptions):
    """End a shift."""

    name: Annotated[str, cappa.Arg(value_name="NAME", help="Name of the rule")]

    def run(self, ctx: Context) -> None:
        """Run the command."""
        _remove_rule(ctx, self, "shifts", self.name, f"unshift {self.name}")


def _zones(cfg: Config) -> set[ZoneName]:
    return {zone for region in cfg.regions.values() for zone in region.availability_zones}


def _edits_with_rule(
    section: str, file_template: str, name: str, rule: msgspec.Struct
) -> dict[str, bytes | None]:
    """Return the edit that creates a file with only one rule."""
    if not name or "/" in name:
        raise UsageError(
            message=f"{name!r} is not a valid name", remedy="give a name without slashes"
        )
    fields = {
        field: value
        for field, value in msgspec.to_builtins(rule).items()
        if value != "" or (field in ("service", "source", "destination") and section == "shifts")
    }
    return {file_template.format(name): _encode_json({section: {name: fields}})}


def _remove_rule(ctx: Context, options: PublishOptions, section: str, name: str, note: str) -> None:
    with ctx.publisher() as publisher:
        head = publisher.head()
        edits = _edits_without_rule(publisher.files(head.files), section, RuleName(name))
        if not edits:
            remedy = f"see the {section} in `show --merged`"
            raise UsageError(message=f"no rule is named {name!r}", remedy=remedy)
        publish_draft(ctx, publisher, options, edits, head.version, note)


def _edits_without_rule(
    files: dict[str, bytes], section: str, name: RuleName
) -> dict[str, bytes | None]:
    """Return the edits that remove a rule from all files; a file left empty is deleted."""
    edits: dict[str, bytes | None] = {}
    for file, content in files.items():
        parsed = json.loads(content)
        rules = parsed.get(section) or {}
        if name not in rules:
            continue
        del rules[name]
        if not rules:
            del parsed[section]
        edits[file] = _encode_json(parsed) if parsed else None
    return edits


def _encode_json(value: dict[str, Any]) -> bytes:
    return json.dumps(value, indent=2, ensure_ascii=False).encode() + b"\n"
