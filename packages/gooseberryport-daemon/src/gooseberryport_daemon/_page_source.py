"""Data of the operators' pages, read on the loop for the HTTP server's threads."""

from __future__ import annotations

import asyncio
import concurrent.futures
import time
from collections.abc import Callable
from typing import TypeVar

import cherrypy

from gooseberryport_core.status import Explanation, StatusPage
from gooseberryport_core.types import ServiceName
from gooseberryport_daemon._driver import Driver
from gooseberryport_daemon._pages import Health, Readiness

LOOP_REPLY_TIMEOUT_S = 1.0
"""Time that a page waits for the loop; seconds."""

T = TypeVar("T")


class LoopPageSource:
    """Read the pages' data on the loop.

    Parameters
    ----------
    loop
        Loop on which the node runs.
    driver
        Driver of the node.
    store_address
        ``IP:port`` of the key-value store, named while the daemon waits for a configuration.
    """

    def __init__(
        self, *, loop: asyncio.AbstractEventLoop, driver: Driver, store_address: str
    ) -> None:
        self._loop = loop
        self._driver = driver
        self._store_address = store_address

    def health(self) -> Health:
        """Return the process's own figures; fails if the loop is blocked."""
        return self._run_on_loop(self._health)

    def readiness(self) -> Readiness:
        """Return whether callers are served."""
        return self._run_on_loop(self._readiness)

    def status(self) -> StatusPage:
        """Return the state of the system as this daemon sees it."""
        return self._run_on_loop(self._status)

    def explain(self, service: str, client: str) -> Explanation:
        """Return how a client's request would be routed."""
        return self._run_on_loop(lambda: self._explain(ServiceName(service), client))

    def _health(self) -> Health:
        driver = self._driver
        return Health(
            vm=driver.node.settings.vm,
            incarnation=driver.node.settings.incarnation,
            callers=driver.callers.waiting_count(),
            attempts=driver.upstreams.running(),
            tickets_out=driver.peer_client.stream_count(),
            tickets_in=driver.peer_server.stream_count(),
        )

    def _readiness(self) -> Readiness:
        waits_for = []
        if self._driver.stopping:
            waits_for.append("nothing: this daemon is stopping")
        elif self._driver.node.cfg.version == 0:
            waits_for.append(
                f"a configuration, from the store at {self._store_address} or from a peer"
            )
        elif not self._driver.node.ready:
            waits_for.append("a message from the owner of each service's pools")
        return Readiness(not waits_for, tuple(waits_for))

    def _status(self) -> StatusPage:
        return self._driver.node.status(self._loop.time(), time.time())

    def _explain(self, service: ServiceName, client: str) -> Explanation:
        return self._driver.node.explain(service, client, self._loop.time(), time.time())

    def _run_on_loop(self, read: Callable[[], T]) -> T:
        future: concurrent.futures.Future[T] = concurrent.futures.Future()

        def run() -> None:
            try:
                future.set_result(read())
            except Exception as exc:
                future.set_exception(exc)

        self._loop.call_soon_threadsafe(run)
        try:
            return future.result(LOOP_REPLY_TIMEOUT_S)
        except concurrent.futures.TimeoutError as exc:
            raise cherrypy.HTTPError(
                503, "The daemon's event loop is overloaded; try again."
            ) from exc
