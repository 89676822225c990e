"""Calls to the platform's services: blocking clients in threads, events back on the loop."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack, contextmanager

from returns.result import Failure, Result

from gooseberryport_core.config import Config
from gooseberryport_core.effects import StoreSwap, StoreWatch
from gooseberryport_core.events import Event, ListedVm, LoadReported, StoreFailed, VmListArrived
from gooseberryport_core.types import UpstreamId
from gooseberryport_daemon.settings import DaemonSettings
from gooseberryport_platform import (
    LoadReports,
    ServiceError,
    Store,
    VmList,
    open_load_reports,
    open_store,
    open_vm_list,
    run_store_effect,
)
from gooseberryport_platform.store import StoreEffect, StoreEvent

ListResult = Result[tuple[ListedVm, ...], ServiceError]
LoadResult = Result[LoadReported, ServiceError]

MOST_WATCHES = 4
"""Threads for watches, apart from those of short calls."""


class PlatformCalls:
    """Call the platform's services without holding the loop.

    Parameters
    ----------
    loop
        The loop.
    store, vm_list, load_reports
        Blocking clients.
    executor, watchers
        Threads for short calls, and for watches.
    feed
        Hands an event to the node.
    failed
        Told of a failed read of the VM list or of a load report.
    """

    def __init__(
        self,
        *,
        loop: asyncio.AbstractEventLoop,
        store: Store,
        vm_list: VmList,
        load_reports: LoadReports,
        executor: ThreadPoolExecutor,
        watchers: ThreadPoolExecutor,
        feed: Callable[[Event], None],
        failed: Callable[[ServiceError], None],
    ) -> None:
        self._loop = loop
        self._store = store
        self._vm_list = vm_list
        self._load_reports = load_reports
        self._executor = executor
        self._watchers = watchers
        self._feed = feed
        self._failed = failed
        self._reading: set[UpstreamId] = set()
        self._reading_list = False

    def run(self, effect: StoreEffect) -> None:
        """Carry out a store effect; its event follows."""
        executor = self._watchers if isinstance(effect, StoreWatch) else self._executor
        fut = self._loop.run_in_executor(executor, run_store_effect, self._store, effect)
        fut.add_done_callback(lambda done: self._hand_on(effect, done))

    def read_vm_list(self) -> None:
        """Read the VM list, unless a read is under way."""
        if self._reading_list:
            return
        self._reading_list = True
        fut = self._loop.run_in_executor(self._executor, self._vm_list.read)
        fut.add_done_callback(self._take_list)

    def read_load(self, cfg: Config, upstream: UpstreamId) -> None:
        """Read an upstream's load report, unless a read is under way."""
        entry = cfg.upstreams.get(upstream)
        if entry is None or not entry.load_path or upstream in self._reading:
            return
        self._reading.add(upstream)
        fut = self._loop.run_in_executor(
            self._executor, self._load_reports.read, upstream, entry.address, entry.load_path
        )
        fut.add_done_callback(lambda done: self._take_load(upstream, done))

    def _hand_on(self, effect: StoreEffect, done: asyncio.Future[StoreEvent]) -> None:
        if done.cancelled():
            return
        if done.exception() is not None:
            self._feed(StoreFailed(effect.call_id, ambiguous=isinstance(effect, StoreSwap)))
        self._feed(done.result())

    def _take_list(self, done: asyncio.Future[ListResult]) -> None:
        self._reading_list = False
        if done.cancelled():
            return
        result = done.result()
        if isinstance(result, Failure):
            self._failed(result.failure())
            return
        self._feed(VmListArrived(result.unwrap()))

    def _take_load(self, upstream: UpstreamId, done: asyncio.Future[LoadResult]) -> None:
        self._reading.discard(upstream)
        if done.cancelled():
            return
        result = done.result()
        if isinstance(result, Failure):
            self._failed(result.failure())
            return
        self._feed(result.unwrap())


@contextmanager
def open_platform_calls(
    *,
    settings: DaemonSettings,
    loop: asyncio.AbstractEventLoop,
    feed: Callable[[Event], None],
    failed: Callable[[ServiceError], None],
) -> Iterator[PlatformCalls]:
    """Open the clients and the threads that call them."""
    with ExitStack() as stack:
        executor = _threads(stack, settings.threads.platform, "platform")
        calls = PlatformCalls(
            loop=loop,
            store=stack.enter_context(open_store(settings.store)),
            vm_list=stack.enter_context(open_vm_list(settings.vm_list)),
            load_reports=stack.enter_context(open_load_reports(settings.load_reports)),
            executor=executor,
            watchers=_threads(stack, MOST_WATCHES, "watch"),
            feed=feed,
            failed=failed,
        )
        yield calls


def _threads(stack: ExitStack, count: int, name: str) -> ThreadPoolExecutor:
    executor = ThreadPoolExecutor(count, thread_name_prefix=name)
    stack.callback(executor.shutdown, wait=False, cancel_futures=True)
    return executor
