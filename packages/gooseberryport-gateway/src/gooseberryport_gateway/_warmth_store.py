"""Save in the store which objects upstreams are warm for, so that this survives all gateways.

Failure pattern: all gateways of a region lose power or are replaced at once. The upstreams are as
warm as before, but gateways without this record place every object anew, and each of these requests
occupies a slot for the cold time, while all clients return at once after the outage.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

import msgspec

from gooseberryport_core.decoding import InputError, decode_msgpack
from gooseberryport_core.gateway.warmth import WarmthRecord
from gooseberryport_core.log_events import LogNumber
from gooseberryport_core.types import RegionName, UpstreamId
from gooseberryport_gateway._state import GatewayState
from gooseberryport_gateway.errors import StoreError
from gooseberryport_gateway.wire import MAX_KEYS_PER_CALL, StoreClient, StoreItem

SAVE_INTERVAL_S = 2.0
"""Interval between saves; seconds. Objects that became warm after the last save are placed anew if
all gateways are lost, but each save is a billed call."""

SAVE_WARMTH_TASK = "keep warmth"


def warmth_key_prefix(prefix: str, region: RegionName) -> str:
    """Return the prefix of the keys in which a region's warm objects are saved."""
    return f"{prefix}{region}/"


class WarmthStore:
    """Save and restore the objects that upstreams handled for this gateway's region.

    One gateway of a region saves for all, since gateways report to each other what became warm.

    Parameters
    ----------
    state
        State of the gateway, whose warmth is saved.
    store
        The platform's store.
    prefix
        Prefix of the keys, without the region.
    stored_keys
        Returns the keys that the store is known to contain.
    """

    def __init__(
        self,
        *,
        state: GatewayState,
        store: StoreClient,
        prefix: str,
        stored_keys: Callable[[], Iterable[str]],
    ) -> None:
        self._state = state
        self._store = store
        self._stored_keys = stored_keys
        self._saved: set[str] = set()
        self._loop = asyncio.get_running_loop()
        self.prefix = warmth_key_prefix(prefix, state.me.region)

    async def run(self) -> None:
        """Save changes periodically, forever."""
        while True:
            await asyncio.sleep(SAVE_INTERVAL_S)
            if not self._is_chosen():
                continue
            try:
                await self._save()
            except StoreError as exc:
                self._state.log.write(LogNumber.GATEWAY_WARMTH_NOT_SAVED, reason=str(exc))

    def restore(self, items: Iterable[StoreItem]) -> None:
        """Restore the saved warmth of upstreams that have not restarted since."""
        count = stale = 0
        for item in items:
            if item.value is None or not item.key.startswith(self.prefix):
                continue
            try:
                record = decode_msgpack(item.value, expected_type=WarmthRecord)
            except InputError as exc:
                self._state.metrics.ignored.labels("warmth").inc()
                self._state.log.write(
                    LogNumber.GATEWAY_ENTRY_IGNORED, key=item.key, reason=str(exc)
                )
                continue
            if self._state.restore_warmth(self._upstream(item.key), record):
                count += 1
            else:
                stale += 1
        self._state.log.write(LogNumber.GATEWAY_WARMTH_RECALLED, upstreams=count, stale=stale)

    def _is_chosen(self) -> bool:
        state = self._state
        assignees = state.fleet.assignees(
            SAVE_WARMTH_TASK, count=1, follows_store=state.follows_store, now=self._loop.time()
        )
        return state.ready and [member.vm for member in assignees] == [state.me.vm]

    async def _save(self) -> None:
        warmth = self._state.warmth
        changed = warmth.unsaved()[:MAX_KEYS_PER_CALL]
        values = {}
        for upstream in changed:
            known = self._state.upstreams.get(upstream)
            if known is not None:
                record = WarmthRecord(
                    started_ms=known.entry.started_ms, marks=warmth.objects(upstream)
                )
                values[f"{self.prefix}{upstream}"] = msgspec.msgpack.encode(record)
        deletes = self._obsolete_keys()[: MAX_KEYS_PER_CALL - len(values)]
        if not values and not deletes:
            return
        await self._store.save(values, deletes=deletes)
        warmth.mark_saved(changed)
        self._saved.update(values)
        self._saved.difference_update(deletes)

    def _obsolete_keys(self) -> list[str]:
        """Return keys of upstreams that were removed so long ago that they won't return."""
        return [
            key
            for key in self._saved.union(self._stored_keys())
            if key.startswith(self.prefix)
            and not self._state.is_known_or_recent(self._upstream(key))
        ]

    def _upstream(self, key: str) -> UpstreamId:
        return UpstreamId(key.removeprefix(self.prefix))
