"""A user's deployment, read from an example folder, with stand-ins for upstreams and entry VMs."""

from __future__ import annotations

import json
from pathlib import Path

import msgspec

from gooseberryport_core.config import Config, region_of_zone, slots_of
from gooseberryport_core.config_files import check_files
from gooseberryport_core.types import ConfigVersion, UpstreamId, ZoneName
from gooseberryport_standins.daemons import DaemonPlan, ServiceAddress
from gooseberryport_standins.upstream import UpstreamSpec

EXAMPLES = Path(__file__).parents[3] / "examples"
"""Folder of the examples; stand-ins run from the repository and are never shipped."""


class Deployment(msgspec.Struct, frozen=True):
    """A user's regions, services and rules.

    Parameters
    ----------
    files
        Content of the configuration files, by name.
    cfg
        The configuration that results from them.
    """

    files: dict[str, bytes]
    cfg: Config


def read_deployment(name: str) -> Deployment:
    """Read an example folder such as ``amt``; raises `ValueError` if it has errors."""
    paths = sorted((EXAMPLES / name).glob("*.json"))
    files = {path.name: path.read_bytes() for path in paths}
    checked = check_files(files, ConfigVersion(1))
    if checked.cfg is None:
        raise ValueError("; ".join(str(error) for error in checked.errors))
    return Deployment(files, checked.cfg)


def upstream_specs(
    cfg: Config, *, service_time_s: float, cold_runs: int = 0, cold_factor: float = 1.0
) -> tuple[UpstreamSpec, ...]:
    """Return a stand-in's specification for each upstream, each with its own random seed."""
    return tuple(
        UpstreamSpec(
            name=name,
            slots=slots_of(cfg, name),
            service_time_s=service_time_s,
            cold_runs=cold_runs,
            cold_factor=cold_factor,
            seed=seed,
        )
        for seed, name in enumerate(sorted(cfg.upstreams), start=1)
    )


def with_addresses(files: dict[str, bytes], addresses: dict[str, str]) -> dict[str, bytes]:
    """Return the files with the upstreams' addresses replaced by those of their stand-ins."""
    return {name: _with_addresses(content, addresses) for name, content in files.items()}


def daemon_plans(cfg: Config, count: int, *, store: str, vm_list: str) -> tuple[DaemonPlan, ...]:
    """Return the settings of entry daemons, spread evenly over the availability zones."""
    zones = zones_of(cfg)
    return tuple(
        DaemonPlan(
            vm=f"{zones[number % len(zones)]}-{number // len(zones) + 1}",
            availability_zone=zones[number % len(zones)],
            region=str(region_of_zone(cfg, zones[number % len(zones)])),
            store=ServiceAddress(store),
            vm_list=ServiceAddress(vm_list),
        )
        for number in range(count)
    )


def zones_of(cfg: Config) -> list[ZoneName]:
    """Return the availability zones, taking one from each region in turn."""
    regions = [list(cfg.regions[name].availability_zones) for name in sorted(cfg.regions)]
    longest = max(len(zones) for zones in regions)
    return [zones[rank] for rank in range(longest) for zones in regions if rank < len(zones)]


def _with_addresses(content: bytes, addresses: dict[str, str]) -> bytes:
    document = json.loads(content)
    for name, upstream in document.get("upstreams", {}).items():
        upstream["address"] = addresses[UpstreamId(name)]
    return json.dumps(document, indent=2).encode()
