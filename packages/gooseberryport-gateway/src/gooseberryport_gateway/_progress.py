"""Time limits for responses that may be large, and for links that may be slow.

Load pattern: configurations of many routes in quick succession, and gateways behind links that
carry one of them in half a second. A limit for the whole response ends transfers that progress, and
what was received is lost; the next request asks for the same and more.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

MAX_TRANSFER_S = 8.0
"""Longest time for one response; what arrives later is too old to be used; seconds."""


class Transfer:
    """The arrival of one response.

    Parameters
    ----------
    timeout
        Ends the wait.
    stall_s
        Time without a byte after which the server counts as silent; seconds.
    ends_at
        Time at which the wait ends in any case; monotonic seconds.
    """

    def __init__(self, timeout: asyncio.Timeout, *, stall_s: float, ends_at: float) -> None:
        self._timeout = timeout
        self._stall_s = stall_s
        self._ends_at = ends_at
        self._loop = asyncio.get_running_loop()
        self.began_at: float | None = None
        """Time of the first byte; monotonic seconds."""

    @property
    def took_s(self) -> float:
        """Time since the first byte; 0 if there was none; seconds."""
        return 0.0 if self.began_at is None else self._loop.time() - self.began_at

    def record_bytes(self) -> None:
        """Extend the wait, since bytes arrived."""
        now = self._loop.time()
        if self.began_at is None:
            self.began_at = now
        if not self._timeout.expired():
            self._timeout.reschedule(min(now + self._stall_s, self._ends_at))


@asynccontextmanager
async def transfer_timeout(*, first_byte_s: float, stall_s: float) -> AsyncIterator[Transfer]:
    """Limit the wait for a response; raises `TimeoutError` if it does not progress.

    Parameters
    ----------
    first_byte_s
        Time until its first byte; seconds.
    stall_s
        Time from one byte to the next; seconds.
    """
    ends_at = asyncio.get_running_loop().time() + first_byte_s + MAX_TRANSFER_S
    async with asyncio.timeout(first_byte_s) as timeout:
        yield Transfer(timeout, stall_s=stall_s, ends_at=ends_at)
