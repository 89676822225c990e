"""The state of each VM according to the platform's VM list, which may be stale.

A missing entry proves nothing by itself, since the list may have been read from a stale copy. A VM
counts as gone only if it was listed before, has then been absent from every reading for
`GONE_DELAY_S`, and has sent no heartbeat during that time either.
"""

from __future__ import annotations

from collections.abc import Iterable

from gooseberryport_core.events import ListedVm
from gooseberryport_core.types import Incarnation, VmId, VmState

GONE_DELAY_S = 10.0
"""Time without a list entry and without a heartbeat after which a VM counts as gone; seconds."""


class VmListing:
    """Keep the newest list entry of each VM."""

    def __init__(self) -> None:
        self._entries: dict[VmId, ListedVm] = {}
        self._absent_since: dict[VmId, float] = {}

    def record_listing(self, entries: Iterable[ListedVm], now: float) -> None:
        """Record a reading of the list; of two entries for a VM the newer incarnation counts."""
        newest_entries: dict[VmId, ListedVm] = {}
        for entry in entries:
            other = newest_entries.get(entry.vm)
            if other is None or _precedence(entry) > _precedence(other):
                newest_entries[entry.vm] = entry
        for vm in self._entries:
            if vm not in newest_entries:
                self._absent_since.setdefault(vm, now)
        for vm in newest_entries:
            self._absent_since.pop(vm, None)
        self._entries.update(newest_entries)

    def entries(self) -> tuple[ListedVm, ...]:
        """Return the entries of the newest reading, sorted by VM."""
        present = sorted(vm for vm in self._entries if vm not in self._absent_since)
        return tuple(self._entries[vm] for vm in present)

    def state(
        self,
        vm: VmId,
        incarnation: Incarnation,
        reported_state: VmState,
        last_heartbeat_at: float,
        now: float,
    ) -> VmState:
        """Return a VM's state from its last heartbeat and the list.

        Parameters
        ----------
        incarnation, reported_state, last_heartbeat_at
            Incarnation and state in its newest heartbeat, and when that was received; seconds,
            monotonic.
        """
        entry = self._entries.get(vm)
        if entry is None:
            return reported_state
        absent_since = self._absent_since.get(vm)
        if absent_since is not None:
            is_gone = now >= max(absent_since, last_heartbeat_at) + GONE_DELAY_S
            return VmState.GONE if is_gone else reported_state
        if entry.incarnation and entry.incarnation < incarnation:
            return reported_state
        if entry.state == VmState.GONE:
            return VmState.GONE if now >= last_heartbeat_at + GONE_DELAY_S else VmState.LEAVING
        return VmState.LEAVING if entry.state == VmState.LEAVING else reported_state


def _precedence(entry: ListedVm) -> tuple[int, bool]:
    return (entry.incarnation, entry.state == VmState.LIVE)
