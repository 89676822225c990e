"""One-way network delays between availability zones."""

from __future__ import annotations

from gooseberryport_core.config import Config, Link
from gooseberryport_core.types import RegionName, ZoneName

SAME_ZONE_S = 0.0005
"""One-way delay within an availability zone; seconds."""


class NetworkDelays:
    """Looks up the one-way delays that a configuration states.

    Parameters
    ----------
    cfg
        The configuration.
    """

    def __init__(self, cfg: Config) -> None:
        self._zone_delay_s = cfg.limits.zone_delay_ms / 1_000
        self._region_of = {
            zone: name for name, region in cfg.regions.items() for zone in region.availability_zones
        }
        self._delays_s = {
            (link.source, link.destination): link.delay_ms / 1_000 for link in cfg.links.values()
        }
        self._default_delay_s = Link(RegionName(""), RegionName(""), 0.0).delay_ms / 1_000

    def region_of(self, zone: ZoneName) -> RegionName | None:
        """Return the region of a zone, or None if no region contains it."""
        return self._region_of.get(zone)

    def one_way_s(self, source: ZoneName, destination: ZoneName) -> float:
        """Return the delay from one availability zone to another; seconds."""
        if source == destination:
            return SAME_ZONE_S
        regions = (self._region_of.get(source), self._region_of.get(destination))
        if regions[0] == regions[1] and regions[0] is not None:
            return self._zone_delay_s
        if regions[0] is None or regions[1] is None:
            return self._default_delay_s
        return self._delays_s.get((regions[0], regions[1]), self._default_delay_s)
