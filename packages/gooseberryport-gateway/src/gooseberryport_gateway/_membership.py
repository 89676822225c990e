"""Keep a gateway's own entry in the store, under a lease."""

from __future__ import annotations

import asyncio

import msgspec

from gooseberryport_core.log_events import LogNumber
from gooseberryport_gateway._state import GatewayState
from gooseberryport_gateway.errors import LeaseGoneError, StoreError
from gooseberryport_gateway.wire import Lease, StoreClient

LEASE_TTL_S = 15.0
"""Lease of a gateway's own entry; a killed gateway is listed no longer than that. Look-ups leave
out a silent one sooner; seconds."""

RENEW_INTERVAL_S = 5.0
"""Interval between renewals: a third of the lease, since each is billed; seconds."""

RETRY_DELAY_S = 0.5
"""Mean delay after a failed call; seconds."""

REJOIN_SPREAD_S = 0.5
"""Time over which gateways register again when all have lost their leases at once; seconds."""


class Membership:
    """Register a gateway in the store, and again whenever its entry or its lease is lost.

    Parameters
    ----------
    state
        State of the gateway.
    store
        The platform's store.
    key
        Key of the gateway's entry.
    """

    def __init__(self, *, state: GatewayState, store: StoreClient, key: str) -> None:
        self._state = state
        self._store = store
        self.key = key
        self._loop = asyncio.get_running_loop()
        self._lease: Lease | None = None
        self._entry = b""
        self._is_listed = False
        self._entry_lost = asyncio.Event()

    @property
    def _lease_ttl_s(self) -> float:
        return max(LEASE_TTL_S, self._state.settings.lease_min_ms / 1000.0)

    def record_entry_loss(self) -> None:
        """Record that the store no longer has the entry, or may not have it."""
        self._entry_lost.set()

    async def maintain(self) -> None:
        """Keep the entry in the store, forever."""
        while True:
            try:
                if self._lease is None:
                    await self._take_lease()
                assert self._lease is not None
                if self._is_listed:
                    await self._store.renew_lease(self._lease)
                else:
                    # The store may list the entry even if its answer is lost or not waited for.
                    await self._store.put(self.key, self._entry, lease=self._lease)
                    self._is_listed = True
                    self._state.log.write(LogNumber.GATEWAY_LEASE_TAKEN, lease=self._lease.id)
                await self._wait_for_entry_loss(RENEW_INTERVAL_S)
            except LeaseGoneError:
                lease = self._lease
                self._lease = None
                if lease is None:
                    continue
                self._state.log.write(LogNumber.GATEWAY_LEASE_LOST, lease=lease.id)
                if lease.epoch != self._store.epoch.current:
                    await asyncio.sleep(REJOIN_SPREAD_S * self._state.rng.random())
            except StoreError as exc:
                await asyncio.sleep(
                    max(exc.retry_after_s, RETRY_DELAY_S * (0.5 + self._state.rng.random()))
                )

    async def end(self) -> None:
        """Remove the entry, so that look-ups return other gateways."""
        lease, self._lease = self._lease, None
        if lease is None:
            return
        try:
            await self._store.end_lease(lease)
        except StoreError as exc:
            self._state.log.write(LogNumber.GATEWAY_LEASE_LOST, lease=lease.id, reason=str(exc))

    async def _take_lease(self) -> None:
        started_at = self._loop.time()
        self._lease = await self._store.grant_lease(ttl_s=self._lease_ttl_s)
        entry = msgspec.structs.replace(
            self._state.me, store_delay_s=round(self._loop.time() - started_at, 4)
        )
        self._entry = msgspec.json.encode(entry)
        self._is_listed = False

    async def _wait_for_entry_loss(self, timeout_s: float) -> None:
        """Wait until the entry is removed, which ends its lease, or for a time."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._entry_lost.wait()
        except TimeoutError:
            return
        finally:
            self._entry_lost.clear()
        raise LeaseGoneError
