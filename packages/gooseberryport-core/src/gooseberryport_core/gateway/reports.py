"""What gateways report to each other, and to whom: the types of report plans and digests."""

from __future__ import annotations

from enum import Enum

import msgspec
import xxhash

from gooseberryport_core.decoding import RatePerS, Seconds
from gooseberryport_core.gateway.model import Member
from gooseberryport_core.types import VmId, ZoneName

VM_HASH_MASK = 0xFFFFFFFF


class ZoneDigest(msgspec.Struct, frozen=True, array_like=True):
    """What the reporters of an availability zone say of its gateways.

    Parameters
    ----------
    zone
        The availability zone.
    age_s
        Age of the digest when it is sent; seconds.
    absent
        Short hashes of the VMs whose gateways are listed but do not serve clients.
    demand_per_s
        Requests per second that the zone's gateways receive.
    """

    zone: ZoneName
    age_s: Seconds
    absent: list[int]
    demand_per_s: RatePerS


def vm_hash(vm: VmId) -> int:
    """Return a short hash of a VM's name that is the same in every process."""
    return xxhash.xxh3_64_intdigest(vm.encode()) & VM_HASH_MASK


class Audience(Enum):
    """What a report to another gateway contains, and how often it is sent."""

    ACTIVE = "active"
    """Both gateways serve clients of one region: loads and warm objects, at the shortest period."""

    REMOTE_ACTIVE = "remote-active"
    """Both serve clients, in different regions: loads."""

    ZONE = "zone"
    """Another gateway of the availability zone: heartbeat and warm objects."""

    REGION = "region"
    """Another gateway of the region, which does not serve clients: warm objects, if any."""

    REPORTER = "reporter"
    """A reporter of another availability zone: digests."""


class Digests(Enum):
    """Which digests a report contains."""

    NONE = "none"
    OWN = "own"
    """That of the sender's availability zone, for a reporter of another one."""

    RECEIVED = "received"
    """Those of other availability zones, for the sender's own."""


class Listener(msgspec.Struct, frozen=True):
    """Another gateway that this one reports to.

    Parameters
    ----------
    member
        The other gateway.
    audience
        What its reports contain, and how often they are sent.
    digests
        Which digests some of its reports contain.
    """

    member: Member
    audience: Audience
    digests: Digests


class ReportPlan(msgspec.Struct, frozen=True):
    """What this gateway is to the others, and which of them it reports to.

    Parameters
    ----------
    at
        Time at which the plan was made; monotonic seconds.
    ready
        Whether this gateway was ready to serve clients.
    active
        Whether this gateway serves clients, or expects to.
    listeners
        Gateways that it reports to.
    """

    at: float
    ready: bool
    active: bool
    listeners: tuple[Listener, ...]
