"""Watch how an upstream is drained: when its last new work came, and when its last work ended."""

from __future__ import annotations

import threading
import time

import msgspec

from gooseberryport_standins._running_deployment import RunningDeployment

LOOK_PERIOD_S = 0.05


class DrainTimes(msgspec.Struct, frozen=True):
    """When an upstream was last seen with new work, and with any; seconds from the order."""

    last_new_s: float
    last_work_s: float


class DrainWatch:
    """Look at an upstream from the moment at which its drain is ordered.

    Parameters
    ----------
    world
        The deployment.
    name
        The upstream.
    """

    def __init__(self, world: RunningDeployment, name: str) -> None:
        self._world = world
        self._name = name
        self._stop = threading.Event()
        self._ordered = time.monotonic()
        self._times = DrainTimes(0.0, 0.0)
        self._thread = threading.Thread(target=self._look, daemon=True)
        self._thread.start()

    def end(self) -> DrainTimes:
        """Stop watching and return the times."""
        self._stop.set()
        self._thread.join()
        return self._times

    def _look(self) -> None:
        ran = self._world.upstreams.stats_of(self._name).ran
        while not self._stop.wait(LOOK_PERIOD_S):
            stats = self._world.upstreams.stats_of(self._name)
            since_s = time.monotonic() - self._ordered
            if stats.ran > ran:
                self._times = DrainTimes(since_s, since_s)
            elif stats.running:
                self._times = DrainTimes(self._times.last_new_s, since_s)
            ran = stats.ran
