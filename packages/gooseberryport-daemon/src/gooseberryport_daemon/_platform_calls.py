"""Calls to the platform's services: blocking clients in threads, their results on the loop."""

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

MAX_WATCHES = 4
"""Maximum number of concurrent watches; they have threads of their own."""


class PlatformCalls:
    """Call the platform's services without blocking the loop.

    Parameters
    ----------
    loop
        Loop on which the results are handled.
    store, vm_list, load_reports
        Blocking clients.
    call_executor, watch_executor
        Thread pools for short calls and for watches.
    handle_event
        Passes an event to the node.
    on_failure
        Called with the error of a failed read of the VM list or of a load report.
    """

    def __init__(
        self,
        *,
        loop: asyncio.AbstractEventLoop,
        store: Store,
        vm_list: VmList,
        load_reports: LoadReports,
        call_executor: ThreadPoolExecutor,
        watch_executor: ThreadPoolExecutor,
        handle_event: Callable[[Event], None],
        on_failure: Callable[[ServiceError], None],
    ) -> None:
        self._loop = loop
        self._store = store
        self._vm_list = vm_list
        self._load_reports = load_reports
        self._call_executor = call_executor
        self._watch_executor = watch_executor
        self._handle_event = handle_event
        self._on_failure = on_failure
        self._load_reads_running: set[UpstreamId] = set()
        self._is_reading_vm_list = False

    def run(self, effect: StoreEffect) -> None:
        """Start a store call; its result follows as an event."""
        executor = self._watch_executor if isinstance(effect, StoreWatch) else self._call_executor
        fut = self._loop.run_in_executor(executor, run_store_effect, self._store, effect)
        fut.add_done_callback(lambda done: self._handle_store_result(effect, done))

    def read_vm_list(self) -> None:
        """Read the VM list, unless a read is in progress."""
        if self._is_reading_vm_list:
            return
        self._is_reading_vm_list = True
        fut = self._loop.run_in_executor(self._call_executor, self._vm_list.read)
        fut.add_done_callback(self._handle_vm_list)

    def read_load(self, cfg: Config, upstream: UpstreamId) -> None:
        """Read an upstream's load report, unless a read is in progress."""
        entry = cfg.upstreams.get(upstream)
        if entry is None or not entry.load_path or upstream in self._load_reads_running:
            return
        self._load_reads_running.add(upstream)
        fut = self._loop.run_in_executor(
            self._call_executor, self._load_reports.read, upstream, entry.address, entry.load_path
        )
        fut.add_done_callback(lambda done: self._handle_load_report(upstream, done))

    def _handle_store_result(self, effect: StoreEffect, done: asyncio.Future[StoreEvent]) -> None:
        if done.cancelled():
            return
        if done.exception() is not None:
            self._handle_event(StoreFailed(effect.call_id, ambiguous=isinstance(effect, StoreSwap)))
        self._handle_event(done.result())

    def _handle_vm_list(self, done: asyncio.Future[ListResult]) -> None:
        self._is_reading_vm_list = False
        if done.cancelled():
            return
        result = done.result()
        if isinstance(result, Failure):
            self._on_failure(result.failure())
            return
        self._handle_event(VmListArrived(result.unwrap()))

    def _handle_load_report(self, upstream: UpstreamId, done: asyncio.Future[LoadResult]) -> None:
        self._load_reads_running.discard(upstream)
        if done.cancelled():
            return
        result = done.result()
        if isinstance(result, Failure):
            self._on_failure(result.failure())
            return
        self._handle_event(result.unwrap())


@contextmanager
def open_platform_calls(
    *,
    settings: DaemonSettings,
    loop: asyncio.AbstractEventLoop,
    handle_event: Callable[[Event], None],
    on_failure: Callable[[ServiceError], None],
) -> Iterator[PlatformCalls]:
    """Open the clients and the thread pools that call them."""
    with ExitStack() as stack:
        call_executor = _open_executor(stack, settings.threads.platform, "platform")
        calls = PlatformCalls(
            loop=loop,
            store=stack.enter_context(open_store(settings.store)),
            vm_list=stack.enter_context(open_vm_list(settings.vm_list)),
            load_reports=stack.enter_context(open_load_reports(settings.load_reports)),
            call_executor=call_executor,
            watch_executor=_open_executor(stack, MAX_WATCHES, "watch"),
            handle_event=handle_event,
            on_failure=on_failure,
        )
        yield calls


def _open_executor(stack: ExitStack, count: int, name: str) -> ThreadPoolExecutor:
    executor = ThreadPoolExecutor(count, thread_name_prefix=name)
    stack.callback(executor.shutdown, wait=False, cancel_futures=True)
    return executor
