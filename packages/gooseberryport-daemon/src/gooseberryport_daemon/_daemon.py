"""Assembles a daemon's components, runs them until a stop is requested, and closes them."""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import signal
import time
import traceback
from collections.abc import AsyncIterator, Callable
from contextlib import AbstractContextManager, AsyncExitStack, asynccontextmanager
from typing import Any

import msgspec
from grpclib.server import Server

from gooseberryport_core import Node, NodeSettings
from gooseberryport_core.effects import LogEvent, LogLevel
from gooseberryport_core.log_events import LogNumber
from gooseberryport_core.lookup import LookupSnapshot
from gooseberryport_core.types import Incarnation, RequestId
from gooseberryport_daemon._caller_limits import CallerLimits
from gooseberryport_daemon._callers import Callers, PendingRequest
from gooseberryport_daemon._datagrams import Datagrams
from gooseberryport_daemon._driver import Driver
from gooseberryport_daemon._frontend import Frontend, FrontendSnapshot, LoopCallbacks
from gooseberryport_daemon._frontend_snapshot import frontend_snapshot
from gooseberryport_daemon._http_server import HttpServer, open_http_server
from gooseberryport_daemon._logs import WriteLog, open_log
from gooseberryport_daemon._metrics import FLUSH_INTERVAL_S, Metrics, open_metrics
from gooseberryport_daemon._page_source import LoopPageSource
from gooseberryport_daemon._pages import Pages
from gooseberryport_daemon._peer_client import AnswerCallbacks, PeerClient
from gooseberryport_daemon._peer_server import PeerServer
from gooseberryport_daemon._platform_calls import open_platform_calls
from gooseberryport_daemon._sockets import PeerSockets, bind_peer_port
from gooseberryport_daemon._timers import Timers, open_timers
from gooseberryport_daemon._upstreams import open_upstreams
from gooseberryport_daemon.settings import RESERVED_THREADS, DaemonSettings, parse_endpoint

ANSWER_DRAIN_TIMEOUT_S = 30.0
"""Time that a stopping daemon waits for answers in progress to be written; seconds."""

STOP_POLL_INTERVAL_S = 0.02

SNAPSHOT_INTERVAL_S = 0.25
"""Interval at which the HTTP frontend's snapshot is refreshed; seconds."""


class Addresses(msgspec.Struct, frozen=True):
    """Addresses on which a daemon listens."""

    http: str
    peer: str


class Ready(msgspec.Struct, frozen=True):
    """The JSON line that a daemon prints to standard output once it listens."""

    ready: Addresses


STDOUT = 1

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
"""Signals that request a graceful stop; they are ignored once the daemon has stopped."""


class RunningDaemon(msgspec.Struct, frozen=True):
    """A running daemon: its addresses, its driver, and the function that requests its stop."""

    addresses: Addresses
    driver: Driver
    stop: Callable[[], None]


def run_daemon(settings: DaemonSettings) -> None:
    """Run a daemon until SIGTERM or SIGINT; raises `DaemonError` if it can't start."""
    with open_log(vm=settings.vm) as log:
        asyncio.run(_run(settings, log))


async def _run(settings: DaemonSettings, log: WriteLog) -> None:
    loop = asyncio.get_running_loop()
    # The configuration comes from the store, so there is nothing to reload at a hang-up.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    async with open_daemon(settings, log=log) as running:
        for signum in STOP_SIGNALS:
            loop.add_signal_handler(signum, running.stop)
        _print_ready(running.addresses)
        await running.driver.done.wait()
    for signum in STOP_SIGNALS:
        loop.remove_signal_handler(signum)
        signal.signal(signum, signal.SIG_IGN)
    log(LogEvent(LogNumber.DAEMON_STOPPED, LogLevel.INFO, "daemon stopped"))


def _print_ready(addresses: Addresses) -> None:
    """Tell who started the daemon that it listens, if there is still a reader."""
    with contextlib.suppress(OSError):
        os.write(STDOUT, msgspec.json.encode(Ready(addresses)) + b"\n")


@asynccontextmanager
async def open_daemon(settings: DaemonSettings, *, log: WriteLog) -> AsyncIterator[RunningDaemon]:
    """Start a daemon on the running loop; raises `DaemonError` if it can't start."""
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(_exception_logger(log))
    async with AsyncExitStack() as stack:
        metrics = stack.enter_context(open_metrics(address=settings.statsd, vm=settings.vm))
        listen = parse_endpoint(settings.peer_listen, field="peer_listen")
        sockets = stack.enter_context(bind_peer_port(listen))
        driver = Driver(loop=loop, log=log, metrics=metrics)
        frontend = _make_frontend(settings, loop, driver)
        server = stack.enter_context(_open_http_server(settings, loop, driver, frontend, log))
        addresses = Addresses(str(server.address), str(sockets.address))
        driver.node = _make_node(settings, addresses)
        _open_local_components(stack, settings, loop, driver)
        await _open_peer_components(stack, settings, sockets, driver)
        timers = stack.enter_context(open_timers(loop))
        _start_timers(timers, settings, driver, frontend, metrics)
        driver.tick()
        server.start()
        fields = {"http": addresses.http, "peer": addresses.peer}
        driver.log(LogNumber.DAEMON_READY, "daemon listens", fields, LogLevel.INFO)
        try:
            yield RunningDaemon(addresses, driver, driver.stop)
        finally:
            timers.stop()
            driver.on_config_changed = lambda: None
            frontend.snapshot = msgspec.structs.replace(
                frontend.snapshot, stopping=True, closed=True
            )
            await _drain_answers(frontend, driver.peer_server, log)


def _exception_logger(log: WriteLog) -> Callable[[asyncio.AbstractEventLoop, dict[str, Any]], None]:
    """Return a loop exception handler that logs unhandled exceptions of tasks and callbacks."""

    def log_exception(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        exc = context.get("exception")
        text = "".join(traceback.format_exception(exc)) if exc else ""
        fields = {"message": str(context.get("message", "")), "traceback": text}
        log(LogEvent(LogNumber.TASK_FAILED, LogLevel.ERROR, "a task failed", fields))

    return log_exception


async def _drain_answers(frontend: Frontend, peer_server: PeerServer, log: WriteLog) -> None:
    """Wait until the answers in progress are written, to callers and to entry daemons.

    Those that have not read theirs after `ANSWER_DRAIN_TIMEOUT_S` are disconnected.
    """
    deadline = time.monotonic() + ANSWER_DRAIN_TIMEOUT_S
    while _open_answers(frontend, peer_server) and time.monotonic() < deadline:
        await asyncio.sleep(STOP_POLL_INTERVAL_S)
    if _open_answers(frontend, peer_server):
        fields = {
            "callers": str(frontend.active_callers),
            "streams": str(peer_server.stream_count()),
        }
        log(
            LogEvent(
                LogNumber.ANSWER_CUT,
                LogLevel.WARNING,
                "answers cut off at the stop: they are read too slowly",
                fields,
            )
        )


def _open_answers(frontend: Frontend, peer_server: PeerServer) -> int:
    return frontend.active_callers + peer_server.stream_count()


def _make_node(settings: DaemonSettings, addresses: Addresses) -> Node:
    incarnation = Incarnation(time.time_ns() // 1_000_000)
    node_settings = NodeSettings(
        vm=settings.vm,
        incarnation=incarnation,
        zone=settings.availability_zone,
        region=settings.region,
        address=addresses.peer,
        http_address=addresses.http,
        peers=settings.peers,
        timing=settings.timing,
    )
    seed = f"{settings.seed or incarnation}/{settings.vm}"
    return Node(settings=node_settings, rng=random.Random(seed))


def _make_frontend(
    settings: DaemonSettings, loop: asyncio.AbstractEventLoop, driver: Driver
) -> Frontend:
    def submit(pending: PendingRequest) -> None:
        loop.call_soon_threadsafe(driver.handle_request, pending)

    def record_refusal(reason: str) -> None:
        loop.call_soon_threadsafe(driver.record_refusal, reason)

    def cancel(request_id: RequestId) -> None:
        loop.call_soon_threadsafe(driver.cancel_request, request_id)

    return Frontend(
        name=f"{settings.vm}-{time.time_ns() // 1_000_000:x}",
        snapshot=FrontendSnapshot(LookupSnapshot(entries=(), max_age_s=0.0)),
        loop=LoopCallbacks(submit, cancel, record_refusal),
        caller_limits=CallerLimits(
            max_callers=settings.threads.http - RESERVED_THREADS,
            max_body_bytes=settings.body_budget_bytes,
        ),
    )


def _open_http_server(
    settings: DaemonSettings,
    loop: asyncio.AbstractEventLoop,
    driver: Driver,
    frontend: Frontend,
    log: WriteLog,
) -> AbstractContextManager[HttpServer]:
    source = LoopPageSource(loop=loop, driver=driver, store_address=settings.store.address)
    return open_http_server(
        listen=parse_endpoint(settings.http_listen, field="http_listen"),
        threads=settings.threads.http,
        frontend=frontend,
        pages=Pages(source=source),
        log=log,
    )


def _open_local_components(
    stack: AsyncExitStack,
    settings: DaemonSettings,
    loop: asyncio.AbstractEventLoop,
    driver: Driver,
) -> None:
    driver.callers = Callers(loop=loop, on_answer_start=driver.handle_answer_start)
    driver.upstreams = stack.enter_context(
        open_upstreams(
            threads=settings.threads.upstream,
            loop=loop,
            on_finished=driver.handle_attempt_end,
            on_failure=driver.record_failed_attempt,
        )
    )
    driver.platform = stack.enter_context(
        open_platform_calls(
            settings=settings,
            loop=loop,
            handle_event=driver.handle_event,
            on_failure=driver.record_platform_failure,
        )
    )


async def _open_peer_components(
    stack: AsyncExitStack, settings: DaemonSettings, sockets: PeerSockets, driver: Driver
) -> None:
    driver.peer_server = PeerServer(
        handle_event=driver.handle_event,
        on_refused=driver.record_refused_stream,
        reserve=driver.reserve_link,
    )
    driver.peer_client = PeerClient(
        vm=settings.vm,
        handle_event=driver.handle_event,
        callbacks=AnswerCallbacks(
            driver.callers.collect, driver.handle_broken_answer, driver.handle_broken_stream
        ),
    )
    stack.push_async_callback(driver.peer_client.close)
    server = Server([driver.peer_server])
    await server.start(sock=sockets.stream)
    stack.push_async_callback(_close_server, server)
    driver.datagrams = Datagrams(
        on_message=driver.handle_event,
        on_refused=driver.record_refused_datagram,
        on_too_long=driver.record_long_datagram,
    )
    loop = asyncio.get_running_loop()
    await loop.create_datagram_endpoint(lambda: driver.datagrams, sock=sockets.datagram)
    stack.callback(driver.datagrams.close)


async def _close_server(server: Server) -> None:
    server.close()
    await server.wait_closed()


def _start_timers(
    timers: Timers, settings: DaemonSettings, driver: Driver, frontend: Frontend, metrics: Metrics
) -> None:
    def refresh_snapshot() -> None:
        now = asyncio.get_running_loop().time()
        frontend.snapshot = frontend_snapshot(
            driver.node, now, stopping=driver.stopping, closed=False
        )

    def read_loads() -> None:
        for upstream in driver.node.owned_upstreams(asyncio.get_running_loop().time()):
            driver.platform.read_load(driver.node.cfg, upstream)

    def flush() -> None:
        driver.record_gauges()
        metrics.count("lookups", frontend.lookups.take())
        metrics.flush()

    driver.on_config_changed = refresh_snapshot
    timers.every(settings.tick_s, driver.tick, first_s=settings.tick_s)
    timers.every(SNAPSHOT_INTERVAL_S, refresh_snapshot)
    timers.every(FLUSH_INTERVAL_S, flush, first_s=FLUSH_INTERVAL_S)
    timers.every(settings.vm_list_period_s, driver.platform.read_vm_list)
    timers.every(settings.load_report_period_s, read_loads)
