"""Run the background tasks of a gateway, and start them again after an unexpected error.

Failure pattern: one input that nobody foresaw raises an error in a background task. If the process
ended with it, the input would still be there at the next start, and all gateways would end.
"""

from __future__ import annotations

import asyncio
import traceback
from collections.abc import Callable, Coroutine
from typing import Any

from gooseberryport_core.log_events import LogNumber
from gooseberryport_gateway._state import GatewayState

MIN_RESTART_DELAY_S = 0.1
MAX_RESTART_DELAY_S = 5.0
"""Bounds of the delay before a failed task is started again, which doubles; seconds."""

STABLE_AFTER_S = 30.0
"""Time without an error after which the delay begins at its minimum again; seconds."""

LOGGED_FRAMES = 4
"""Innermost calls of a traceback that are logged."""

Work = Callable[[], Coroutine[Any, Any, None]]


class Supervisor:
    """Runs background tasks forever.

    While a task without which the gateway must not get clients is down, the gateway is not ready.

    Parameters
    ----------
    state
        State of the gateway, which names the tasks that are down.
    """

    def __init__(self, *, state: GatewayState) -> None:
        self._state = state
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, name: str, work: Work, *, essential: bool = False) -> asyncio.Task[None]:
        """Run work until it returns or is cancelled; return the task that runs it.

        Parameters
        ----------
        name
            Name of the work in logs and metrics.
        work
            Returns a coroutine that does the work.
        essential
            Whether the gateway must not get clients while the work is not done.
        """
        task = self._loop.create_task(self._run(name, work, essential=essential))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def stop(self) -> None:
        """Cancel all tasks."""
        for task in list(self._tasks):
            task.cancel()

    async def _run(self, name: str, work: Work, *, essential: bool) -> None:
        delay_s = MIN_RESTART_DELAY_S
        while True:
            started_at = self._loop.time()
            try:
                await work()
                return
            except Exception as exc:
                if self._loop.time() - started_at >= STABLE_AFTER_S:
                    delay_s = MIN_RESTART_DELAY_S
                self._record_failure(name, exc, delay_s=delay_s)
            if essential:
                self._state.failed_tasks.add(name)
            await asyncio.sleep(delay_s)
            self._state.failed_tasks.discard(name)
            delay_s = min(delay_s * 2.0, MAX_RESTART_DELAY_S)

    def _record_failure(self, name: str, exc: Exception, *, delay_s: float) -> None:
        frames = traceback.extract_tb(exc.__traceback__)[-LOGGED_FRAMES:]
        self._state.metrics.task_failures.labels(name).inc()
        self._state.log.write(
            LogNumber.GATEWAY_TASK_FAILED,
            task=name,
            error=repr(exc),
            restart_s=delay_s,
            calls=[f"{frame.name}:{frame.lineno}" for frame in frames],
        )
