"""Measure what a gateway's decisions cost as upstreams and gateways increase, without sockets."""

from __future__ import annotations

import random
import statistics
from collections.abc import Callable

import msgspec

from gooseberryport_core.gateway.fleet import Fleet
from gooseberryport_core.gateway.model import Member, ObjectKey
from gooseberryport_core.gateway.placement import (
    PlacementView,
    PreferredUpstreams,
    place_on_preferred,
    place_request,
    upstream_weight,
)
from gooseberryport_core.gateway.ranking import ObjectRankings
from gooseberryport_core.gateway.reporting import (
    DIGEST_PERIOD_ROUNDS,
    REPORT_INTERVAL_S,
    is_due,
    remote_period_rounds,
)
from gooseberryport_core.gateway.reports import Audience, Digests, ReportPlan
from gooseberryport_core.gateway.upstreams import Upstream
from gooseberryport_core.types import RegionName, UpstreamId, VmId, ZoneName
from gooseberryport_standins._bench_report import BenchReport, BenchRow, seconds_of
from gooseberryport_standins.samples import SERVICE, make_entry

UPSTREAM_COUNTS = (24, 97, 345)
PLACEMENTS = 2_000
OBJECTS = 200
ZONES_PER_REGION = 3

FLEETS = ((63, 6, 3), (195, 9, 3), (420, 17, 6))
"""Gateways, availability zones and regions of each measured fleet."""

SAMPLED_GATEWAYS = 40
ROUNDS = 60
DATAGRAM_OVERHEAD_BYTES = 28
"""IPv4 and UDP headers; bytes."""

BUSY_UPSTREAMS = 12
"""Upstreams with requests in flight in the load report of a gateway with clients."""

ZONE_DIGEST_BYTES = 24
"""Digest of an availability zone of which no gateway is absent; bytes."""


def run(seed: int) -> BenchReport:
    """Measure placements by number of upstreams and reports by size of the fleet.

    Parameters
    ----------
    seed
        Seed of the order of the requests.
    """
    rows = [*_placement_rows(seed), *_report_rows()]
    return BenchReport(name="gateway", seed=seed, rows=tuple(rows))


def _placement_rows(seed: int) -> list[BenchRow]:
    rows = []
    for count in UPSTREAM_COUNTS:
        size = f"{count} upstreams"
        for name, place in (("kept ranking", _kept(count)), ("all scored", _all_scored(count))):
            keys = [f"o{random.Random(seed).randrange(OBJECTS)}" for _ in range(OBJECTS)]
            keys += [f"o{number}" for number in range(OBJECTS)]
            for key in keys:
                place(ObjectKey(key))
            took_s = seconds_of(lambda place=place: _place_many(place, seed))  # type: ignore[misc]
            rows.append(BenchRow(f"placement, {name}", size, took_s / PLACEMENTS * 1e6, "us"))
    return rows


def _place_many(place: Callable[[ObjectKey], object], seed: int) -> None:
    rng = random.Random(seed)
    for _ in range(PLACEMENTS):
        place(ObjectKey(f"o{rng.randrange(OBJECTS)}"))


def _zone(number: int) -> ZoneName:
    return ZoneName(f"r{number % ZONES_PER_REGION}-{number % 9}")


def _region(zone: ZoneName) -> RegionName:
    return RegionName(zone.partition("-")[0])


def _upstreams(count: int) -> list[Upstream]:
    return [Upstream(entry=make_entry(f"u{n}", zone=_zone(n))) for n in range(count)]


def _view() -> PlacementView:
    return PlacementView(
        zone=_zone(0),
        region_of=_region,
        load_of=lambda upstream: upstream.in_flight,
        can_send=lambda upstream: True,
        is_warm=lambda upstream: False,
        is_unused=lambda upstream: False,
    )


def _kept(count: int) -> Callable[[ObjectKey], object]:
    upstreams = _upstreams(count)
    view = _view()
    rankings = ObjectRankings(
        weight_of=lambda upstream: upstream_weight(upstream, local=view.is_local(upstream))
    )

    def place(key: ObjectKey) -> object:
        ranked = rankings.preferred(service=SERVICE, key=key, upstreams_of=lambda _: upstreams)
        return place_on_preferred(
            preferred=PreferredUpstreams(ranked=ranked, homes=(), is_usable=lambda _: True),
            view=view,
            queue_factor=2.0,
        )

    return place


def _all_scored(count: int) -> Callable[[ObjectKey], object]:
    upstreams = _upstreams(count)
    view = _view()
    avoided: frozenset[UpstreamId] = frozenset()

    def place(key: ObjectKey) -> object:
        return place_request(
            candidates=upstreams,
            service=SERVICE,
            key=key,
            view=view,
            queue_factor=2.0,
            avoided=avoided,
        )

    return place


def _report_rows() -> list[BenchRow]:
    rows = []
    for gateways, zones, regions in FLEETS:
        members = [_member(n, zones, regions) for n in range(gateways)]
        sent = [_sent(me, members, zones) for me in members[:: gateways // SAMPLED_GATEWAYS or 1]]
        size = f"{gateways} gateways, {zones} zones"
        for what, values, unit in (
            ("reports sent by a gateway, mean", [row[0] for row in sent], "datagrams/s"),
            ("bytes sent by a gateway, mean", [row[1] / 1e3 for row in sent], "KB/s"),
            ("time of a report plan", [row[2] * 1e6 for row in sent], "us"),
        ):
            rows.append(BenchRow(what, size, statistics.fmean(values), unit))
        rows.append(
            BenchRow("bytes sent, highest", size, max(row[1] for row in sent) / 1e3, "KB/s")
        )
    return rows


def _member(number: int, zones: int, regions: int) -> Member:
    zone = number % zones
    return Member(
        vm=VmId(f"edge-{number}"),
        zone=ZoneName(f"z{zone}"),
        region=RegionName(f"r{zone % regions}"),
        front=f"10.0.0.{number}:80",
        datagrams=("10.0.0.1", number),
        incarnation=1_700_000_000_000_000_000 + number,
        capacity_per_s=860.0 if number < 3 * zones else 150.0,
    )


def _sent(me: Member, members: list[Member], zones: int) -> tuple[float, float, float]:
    """Return datagrams and bytes that a gateway sends a second, and the time to plan them."""
    fleet = Fleet(me=me)
    fleet.set_listed(members, now=0.0)
    plans: list[ReportPlan] = []
    took_s = seconds_of(
        lambda: plans.append(fleet.report_plan(ready=True, demand_per_s=0.0, busy=False, now=1.0))
    )
    plan = plans[0]
    remote = sum(listener.audience is Audience.REMOTE_ACTIVE for listener in plan.listeners)
    remote_period = remote_period_rounds(remote_peers=remote)
    datagrams = num_bytes = 0
    for number in range(ROUNDS):
        for listener in plan.listeners:
            due = is_due(
                listener, round_number=number, active=plan.active, remote_period=remote_period
            )
            # Gateways of the region without clients get a report only if something became warm.
            if not due or listener.audience is Audience.REGION:
                continue
            datagrams += 1
            num_bytes += _report_bytes(me, listener.audience) + DATAGRAM_OVERHEAD_BYTES
            if number % DIGEST_PERIOD_ROUNDS == 0:
                digests = {Digests.OWN: 1, Digests.RECEIVED: zones - 1, Digests.NONE: 0}
                num_bytes += digests[listener.digests] * ZONE_DIGEST_BYTES
    seconds = ROUNDS * REPORT_INTERVAL_S
    return datagrams / seconds, num_bytes / seconds, took_s


def _report_bytes(me: Member, audience: Audience) -> int:
    has_loads = audience in (Audience.ACTIVE, Audience.REMOTE_ACTIVE)
    loads = {0xF0000000 + n: 2 for n in range(BUSY_UPSTREAMS)} if has_loads else {}
    return len(msgspec.msgpack.encode([me.vm, me.incarnation, True, loads, [], True, True, 10, []]))
