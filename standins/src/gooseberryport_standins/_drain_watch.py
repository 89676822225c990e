"""Measure how an upstream drains: when it last started a request and last had one running."""

from __future__ import annotations

import threading
import time

import msgspec

from gooseberryport_standins._running_deployment import RunningDeployment

POLL_INTERVAL_S = 0.05


class DrainTimes(msgspec.Struct, frozen=True):
    """When an upstream last started a request, and last had one running.

    Both are seconds from the drain command.
    """

    last_new_s: float
    last_work_s: float


class DrainWatch:
    """Poll an upstream in a thread, starting when its drain is commanded.

    Parameters
    ----------
    world
        The deployment.
    name
        Name of the upstream.
    """

    def __init__(self, world: RunningDeployment, name: str) -> None:
        self._world = world
        self._name = name
        self._stop = threading.Event()
        self._started_at = time.monotonic()
        self._times = DrainTimes(0.0, 0.0)
        self._thread = threading.Thread(target=self._poll, daemon=True)
        self._thread.start()

    def end(self) -> DrainTimes:
        """Stop watching and return the times."""
        self._stop.set()
        self._thread.join()
        return self._times

    def _poll(self) -> None:
        ran = self._world.upstreams.stats_of(self._name).ran
        while not self._stop.wait(POLL_INTERVAL_S):
            stats = self._world.upstreams.stats_of(self._name)
            since_s = time.monotonic() - self._started_at
            if stats.ran > ran:
                self._times = DrainTimes(since_s, since_s)
            elif stats.running:
                self._times = DrainTimes(self._times.last_new_s, since_s)
            ran = stats.ran
