"""The newest heartbeats of the own region's daemons, as ownership needs them."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from gooseberryport_core._lease_table import MemberId
from gooseberryport_core.events import Event, MessageArrived
from gooseberryport_core.messages import Heartbeat, ZoneSummary
from gooseberryport_core.types import RegionName, StoreReach, VmId, VmState, ZoneName


class Seat(msgspec.Struct, frozen=True):
    """What a daemon of the region told in its newest heartbeat, and when it arrived."""

    id: MemberId
    zone: ZoneName
    address: str
    state: VmState
    store: StoreReach
    stamp: int
    table_revision: int
    heard_at: float


def heartbeats_in(event: Event) -> tuple[Heartbeat, ...]:
    """Return the heartbeats that an event carries."""
    if not isinstance(event, MessageArrived):
        return ()
    if isinstance(event.message, Heartbeat):
        return (event.message,)
    if isinstance(event.message, ZoneSummary):
        return event.message.heartbeats
    return ()


class Roster:
    """Keep the daemons of one region that were heard.

    Parameters
    ----------
    region
        The region.
    own
        This daemon, which is left out.
    timeout_s
        Silence after which a daemon no longer counts as heard; seconds.
    """

    def __init__(self, *, region: RegionName, own: VmId, timeout_s: float) -> None:
        self._region = region
        self._own = own
        self._timeout_s = timeout_s
        self._seats: dict[VmId, Seat] = {}

    def take(self, beats: Iterable[Heartbeat], now: float) -> None:
        """Take heartbeats; of each daemon the newest stamp of the newest incarnation counts."""
        for beat in beats:
            known = self._seats.get(beat.vm)
            if beat.region != self._region or beat.vm == self._own:
                continue
            if known and (known.id.incarnation, known.stamp) >= (
                beat.incarnation,
                beat.lease_stamp,
            ):
                continue
            self._seats[beat.vm] = Seat(
                MemberId(beat.vm, beat.incarnation),
                beat.zone,
                beat.address,
                beat.state,
                beat.store,
                beat.lease_stamp,
                beat.table_revision,
                now,
            )

    def heard(self, now: float) -> list[Seat]:
        """Return the daemons heard in time, by name."""
        oldest = now - self._timeout_s
        return [seat for _, seat in sorted(self._seats.items()) if seat.heard_at >= oldest]

    @property
    def any_reaches_store(self) -> bool:
        """Whether any daemon said in its newest heartbeat that it reaches the service."""
        return any(seat.store == StoreReach.REACHABLE for seat in self._seats.values())

    def stamps(self, *, since: float) -> dict[MemberId, int]:
        """Return the newest stamp of every daemon heard since then."""
        heard = [seat for seat in self._seats.values() if seat.heard_at >= since]
        return {seat.id: seat.stamp for seat in heard}
