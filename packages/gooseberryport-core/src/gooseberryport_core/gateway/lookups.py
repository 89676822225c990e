"""Decision which gateways a client is sent to, by what is known of those of its region.

Failure pattern: a rolling restart stops the last gateways of a region, or a gateway that has just
started is asked before any gateway of the client's region was heard. Both look as if the region had
failed. If gateways of other regions are returned then, clients send their requests there for as
long as they keep the answer, and the bodies of requests leave the regions that may store them.

Clients ask several gateways in turn and keep their earlier answer if none knows better. So while a
region may be back within seconds, an empty answer is right. It is wrong if the region has failed:
its clients would be left without any gateway. Only what planned work explains counts therefore, and
only for the time that it takes.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from enum import Enum

import msgspec

from gooseberryport_core.gateway.model import Member
from gooseberryport_core.types import RegionName, ZoneName

MIN_ZONE_GATEWAYS = 2
"""Number of gateways in an availability zone from which its clients are sent to that zone only: one
of them may crash."""

UNHEARD_HOLD_S = 5.0
"""Time for which a gateway that was listed before this one started may serve clients although
nothing was heard of it: several digest intervals; seconds."""


class Phase(Enum):
    """What is known of a gateway."""

    SERVING = "serving"
    CLOSING = "closing"
    """It stops, and still accepts connections."""

    ENDING = "ending"
    """It stops and accepts no connections; the process that replaces it may start at any time."""

    UNHEARD = "unheard"
    """It was listed before this gateway started, which has heard nothing of it yet."""

    GONE = "gone"


class Basis(Enum):
    """Why an answer contains its gateways."""

    ZONE = "zone"
    REGION = "region"
    CLOSING = "closing"
    """All that are known in the client's region stop, and these still accept connections."""

    AWAITED = "awaited"
    """Gateways of the client's region may serve soon; the answer is empty."""

    ELSEWHERE = "elsewhere"
    """No gateway is left in the client's region, as far as known."""


class StopTimes(msgspec.Struct, frozen=True):
    """How long a gateway works on after it has begun to stop.

    Parameters
    ----------
    accepts_s
        Time for which it accepts connections; seconds.
    ends_s
        Time by which its process has ended; seconds.
    """

    accepts_s: float = 0.0
    ends_s: float = 0.0

    def phase(self, stopped_s: float) -> Phase:
        """Return the phase of a gateway that began to stop some seconds ago."""
        if stopped_s < self.accepts_s:
            return Phase.CLOSING
        return Phase.ENDING if stopped_s < self.ends_s else Phase.GONE


class RegionEvidence(msgspec.Struct, frozen=True):
    """What a gateway knows of a region; ages are in seconds, None for never.

    Parameters
    ----------
    listed
        Number of the region's gateways that the store lists.
    heard_s
        Age of the newest datagram from one of them.
    digest_s
        Age of the newest digest of one of their availability zones.
    """

    listed: int
    heard_s: float | None
    digest_s: float | None


class EntryPoints(msgspec.Struct, frozen=True):
    """Answer to a look-up.

    Parameters
    ----------
    addresses
        Addresses of gateways, sorted; empty if the client is to ask another gateway.
    basis
        Why these.
    """

    addresses: Sequence[str]
    basis: Basis


def choose_members(
    serving: Sequence[Member],
    others: Iterable[tuple[Member, Phase]],
    *,
    zone: ZoneName | None,
    region: RegionName,
) -> tuple[Sequence[Member], Basis]:
    """Return the gateways that a client may be sent to.

    Parameters
    ----------
    serving
        Gateways that serve clients.
    others
        Other known gateways; looked at only if none of the region serves clients.
    zone, region
        Location of the client; its zone may be unknown.
    """
    regional = [member for member in serving if member.region == region]
    if regional:
        in_zone = [member for member in regional if member.zone == zone]
        if len(in_zone) >= MIN_ZONE_GATEWAYS:
            return in_zone, Basis.ZONE
        return regional, Basis.REGION
    known = [(member, phase) for member, phase in others if member.region == region]
    closing = [member for member, phase in known if phase is Phase.CLOSING]
    if closing:
        return closing, Basis.CLOSING
    if any(phase in (Phase.ENDING, Phase.UNHEARD) for _, phase in known):
        return (), Basis.AWAITED
    return serving, Basis.ELSEWHERE
