"""Run one gateway: listeners, background tasks, and graceful shutdown."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import signal
import time
from collections.abc import AsyncIterator, Callable
from typing import Any

from gooseberryport_core.gateway.model import ClientLimits, Member
from gooseberryport_core.gateway.refusals import RefusalCause, retry_after
from gooseberryport_core.gateway.response_memory import ResponseMemory
from gooseberryport_core.gateway.stopping import accepting_time_s, serving_time_s
from gooseberryport_core.log_events import LogNumber
from gooseberryport_core.types import UpstreamId
from gooseberryport_gateway._body_memory import BodyMemory
from gooseberryport_gateway._client_conn import ClientConn
from gooseberryport_gateway._client_messages import ClientRequest, Handler, Reply
from gooseberryport_gateway._discovery import Discovery
from gooseberryport_gateway._forwarder import Forwarder
from gooseberryport_gateway._listeners import listener_address, open_when_free
from gooseberryport_gateway._logs import (
    MAX_MESSAGE_CHARS,
    LibraryLogHandler,
    Log,
    reserve_standard_streams,
)
from gooseberryport_gateway._metrics import Metrics
from gooseberryport_gateway._pages import Pages, listeners_by_address
from gooseberryport_gateway._peers import Peers
from gooseberryport_gateway._pool import ConnPool
from gooseberryport_gateway._prober import Prober
from gooseberryport_gateway._reload import Reloader
from gooseberryport_gateway._state import GatewayState
from gooseberryport_gateway._supervisor import Supervisor
from gooseberryport_gateway.wire import Codec, GatewaySettings, HeaderNames, StoreClient

STDOUT = 1
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)

HOUSEKEEPING_INTERVAL_S = 0.2
"""Interval between flushes of the log and checks of idle connections; seconds."""

MAX_SLOW_CLIENT_LINES = 5
"""Maximum log lines on slow clients in each such interval, beside the lines on requests, of which
there are too many when the memory is used up."""

SETTINGS_CHECK_INTERVAL_S = 2.0
"""Interval between checks for settings that changed without a signal: half of the 4 s within which
they must be applied; seconds."""

LISTEN_BACKLOG = 1024
"""Maximum connections that wait to be accepted: a burst of new clients on one VM."""

STOP_POLL_INTERVAL_S = 0.05
"""Interval between checks of whether clients are still connected to a stopping gateway; seconds."""

FIRST_READ_POLLS = 2
"""Number of such checks after the listener has closed, within which the first bytes of the latest
connections are read: a connection is opened and read in four iterations of the event loop."""

LAST_REPLIES_POLLS = 6
"""Number of such checks after the final replies were made, within which they are written."""


class Gateway:
    """One gateway process.

    Parameters
    ----------
    settings
        Where the gateway runs, and its limits.
    load_settings
        Reads the settings again; raises `SettingsError` if they are invalid.
    store
        The platform's store.
    codec
        Decodes what other programs write to the store.
    names
        Header fields of clients and upstreams.
    """

    def __init__(
        self,
        *,
        settings: GatewaySettings,
        load_settings: Callable[[], GatewaySettings],
        store: StoreClient,
        codec: Codec,
        names: HeaderNames,
    ) -> None:
        os.set_blocking(STDOUT, False)
        self._loop = asyncio.get_running_loop()
        self.metrics = Metrics()
        self.log = Log(vm=settings.vm, fd=STDOUT)
        self._loop.set_exception_handler(self._on_loop_error)
        loop_logger = logging.getLogger("asyncio")
        loop_logger.handlers[:] = [LibraryLogHandler(log=self.log)]
        loop_logger.propagate = False
        me = Member(
            vm=settings.vm,
            zone=settings.zone,
            region=settings.region,
            front=settings.front,
            datagrams=(settings.ip, settings.peer_port),
            incarnation=time.time_ns(),
            control=settings.control,
            capacity_per_s=settings.capacity_per_s,
        )
        self.state = GatewayState(
            settings=settings,
            me=me,
            log=self.log,
            metrics=self.metrics,
            started_at=self._loop.time(),
        )
        self._reloader = Reloader(state=self.state, load=load_settings)
        self._pool = ConnPool(
            id_header=names.request_id, on_last_closed=self._on_last_connection_closed
        )
        self._forwarder = Forwarder(
            state=self.state, pool=self._pool, names=names, announcement=codec.announcement
        )
        self._prober = Prober(
            state=self.state, pool=self._pool, names=names, announcement=codec.announcement
        )
        self._store = store
        self._discovery = Discovery(state=self.state, store=store, codec=codec)
        self._pages = Pages(
            state=self.state,
            discovery=self._discovery,
            codec=codec,
            metrics_text=self.metrics.text,
        )
        self._peers = Peers(state=self.state)
        self._conns: set[ClientConn] = set()
        self._page_conns: set[ClientConn] = set()
        self._body_memory = BodyMemory(process_bytes=settings.memory_bytes)
        self._response_memory: ResponseMemory | None = None
        if settings.memory_bytes:
            self._response_memory = ResponseMemory(
                process_bytes=settings.memory_bytes,
                other_bytes=lambda: self._body_memory.total_bytes,
            )
            self.metrics.watch_responses(self._response_memory)
        self._supervisor = Supervisor(state=self.state)
        self._servers: list[asyncio.Server] = []
        self._stop = asyncio.Event()

    async def run(self) -> None:
        """Serve until a signal to stop, then shut down without losing a reply."""
        settings = self.state.settings
        self.log.write(LogNumber.GATEWAY_STARTED, zone=settings.zone, region=settings.region)
        for number in STOP_SIGNALS:
            self._loop.add_signal_handler(number, self._stop.set)
        self._loop.add_signal_handler(signal.SIGHUP, lambda: self._reloader.reload(signalled=True))
        async with self._peer_socket() as is_open:
            if not is_open or not await self._listen_on_all():
                await self._give_final_replies()
                self._end()
                return
            start = self._supervisor.start
            start("follow store", self._discovery.follow, essential=True)
            membership = start("membership", self._discovery.maintain_membership)
            start("warmth", self._discovery.warmth_store.run)
            # Limits that gateways keep together depend on the reports.
            start("reports", self._peers.report, essential=True)
            start("probes", self._prober.run)
            start("housekeeping", self._housekeeping)
            start("settings", self._check_settings)
            await self._stop.wait()
            membership.cancel()
            await self._shut_down()
        self._end()

    def _end(self) -> None:
        self._ignore_signals()
        self._supervisor.stop()
        self._close_streams()
        self.log.write(LogNumber.GATEWAY_STOPPED)
        self.log.flush()

    def _ignore_signals(self) -> None:
        """Ignore signals until the process has ended, since their defaults would kill it."""
        numbers = (*STOP_SIGNALS, signal.SIGHUP)
        signal.pthread_sigmask(signal.SIG_BLOCK, numbers)
        for number in numbers:
            self._loop.remove_signal_handler(number)
            signal.signal(number, signal.SIG_IGN)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, numbers)

    @contextlib.asynccontextmanager
    async def _peer_socket(self) -> AsyncIterator[bool]:
        """Open the socket for datagrams; yield False if the process is told to stop before."""
        host, port = listener_address("{}:{}".format(*self.state.me.datagrams))
        opened = await open_when_free(
            lambda: self._loop.create_datagram_endpoint(
                lambda: self._peers, local_addr=(host, port)
            ),
            name=f"udp {host}:{port}",
            log=self.log,
            stop=self._stop,
        )
        try:
            yield opened is not None
        finally:
            if opened is not None:
                opened[0].close()

    async def _listen_on_all(self) -> bool:
        """Open all listeners; return False if the process is told to stop before."""
        settings = self.state.settings
        memory = self._response_memory
        if not await self._listen(settings.front, self._handle_front, self._conns, memory=memory):
            return False
        for address, listeners in listeners_by_address(settings).items():
            handler = self._pages.handler(listeners)
            if not await self._listen(address, handler, self._page_conns):
                return False
        return True

    async def _listen(
        self,
        address: str,
        handler: Handler,
        conns: set[ClientConn],
        *,
        memory: ResponseMemory | None = None,
    ) -> bool:
        """Open a listener; return False if the process is told to stop before."""
        host, port = listener_address(address)
        server = await open_when_free(
            lambda: self._loop.create_server(
                lambda: ClientConn(
                    handler=self._with_error_reply(handler),
                    limits=self._limits,
                    conns=conns,
                    memory=self._body_memory,
                    response_memory=memory,
                ),
                host=host,
                port=port,
                backlog=LISTEN_BACKLOG,
                reuse_address=True,
            ),
            name=address,
            log=self.log,
            stop=self._stop,
        )
        if server is None:
            return False
        self._servers.append(server)
        return True

    def _limits(self) -> ClientLimits:
        return self.state.limits

    def _with_error_reply(self, handler: Handler) -> Handler:
        async def handle(req: ClientRequest) -> Reply:
            try:
                return await handler(req)
            except Exception as exc:
                self.log.write(LogNumber.GATEWAY_TASK_FAILED, task="request", error=repr(exc))
                return Reply(status=500, headers=[])

        return handle

    def _on_loop_error(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Log an error that no task handles, without writing to standard error."""
        exc = context.get("exception")
        self.log.write_request(
            LogNumber.GATEWAY_TASK_FAILED,
            now=loop.time(),
            task="event loop",
            error=f"{context.get('message', '')}: {exc!r}"[:MAX_MESSAGE_CHARS],
        )

    async def _handle_front(self, req: ClientRequest) -> Reply:
        return await self._forwarder.handle(req)

    def _on_last_connection_closed(self, upstream: UpstreamId) -> None:
        known = self.state.upstreams.get(upstream)
        if known is not None:
            self.state.record_unreachable(
                known, reason="all idle connections broke", now=self._loop.time()
            )

    async def _check_settings(self) -> None:
        while True:
            await asyncio.sleep(SETTINGS_CHECK_INTERVAL_S)
            self._reloader.reload(signalled=False)

    async def _housekeeping(self) -> None:
        was_ready = False
        while True:
            self._pool.close_expired()
            self._disconnect_slow_clients()
            self.state.peer_loads.expire(now=self._loop.time())
            self.state.rate_limits.expire(now=self._loop.time())
            self.state.warm_objects.refresh(now=self._loop.time())
            self._discovery.expire()
            self.metrics.config_age.set(self.state.config_age_s())
            if self.state.ready and not was_ready:
                was_ready = True
                self.log.write(LogNumber.GATEWAY_READY)
            self.log.flush()
            await asyncio.sleep(HOUSEKEEPING_INTERVAL_S)

    def _disconnect_slow_clients(self) -> None:
        if self._response_memory is None:
            return
        now = self._loop.time()
        idle_timeout_s = self.state.limits.idle_timeout_s
        slow = self._response_memory.check(now=now, idle_timeout_s=idle_timeout_s)
        self.metrics.slow_clients.inc(len(slow))
        for client in slow[:MAX_SLOW_CLIENT_LINES]:
            self.log.write(
                LogNumber.GATEWAY_CLIENT_DISCONNECTED,
                client=client.address,
                unread_bytes=client.unread_bytes,
                stalled_ms=round(client.stalled_s * 1000),
                open_requests=client.open_requests,
            )

    async def _shut_down(self) -> None:
        started = self._loop.time()
        grace_s = self.state.settings.bounds.grace_s
        self.state.stopping = True
        self.state.exits_at = started + serving_time_s(grace_s)
        self.log.write(LogNumber.GATEWAY_STOPPING, connections=len(self._conns))
        self._supervisor.start("last report", self._send_last_report)
        self._supervisor.start("end of membership", self._discovery.end_membership)
        await asyncio.sleep(accepting_time_s(grace_s))
        await self._close_front()
        self.state.accepting = False
        for conn in list(self._conns):
            conn.close_when_idle()
        while self._conns and self._loop.time() < self.state.exits_at:
            await asyncio.sleep(STOP_POLL_INTERVAL_S)
        await self._give_final_replies()

    async def _close_front(self) -> None:
        """Close the listener for clients, and read what the latest connections have sent.

        Closing it loses connections that were accepted in the same iteration of the event loop:
        asyncio attaches these to their server in the next one. After a pause of the machine, these
        are all connections of that time.
        """
        # After a pause, the stop may be resumed before the listener is polled.
        await asyncio.sleep(0)
        # The first listener is the one for clients' requests.
        front = self._servers[0]
        for sock in front.sockets:
            self._loop.remove_reader(sock.fileno())
        await asyncio.sleep(0)
        front.close()
        # Counted instead of timed, as in `_give_final_replies`.
        for _ in range(FIRST_READ_POLLS):
            await asyncio.sleep(STOP_POLL_INTERVAL_S)

    async def _give_final_replies(self) -> None:
        """Reply to every request that is being served or read, and wait for the writes."""
        given_up = self._forwarder.give_up()
        unread = 0
        for conn in list(self._conns):
            unread += conn.reject_unread(
                retry_s=retry_after(reason=RefusalCause.STOPPING, draw=0.0)
            )
            conn.close_when_idle()
        if given_up or unread:
            self.log.write(
                LogNumber.GATEWAY_REQUESTS_GIVEN_UP, requests=given_up + unread, unread=unread
            )
        # Polls are counted instead of time, which a pause of the machine may have used up.
        for _ in range(LAST_REPLIES_POLLS):
            if not self._conns:
                break
            await asyncio.sleep(STOP_POLL_INTERVAL_S)

    async def _send_last_report(self) -> None:
        """Tell the other gateways that this one is not ready."""
        self._peers.send()

    def _close_streams(self) -> None:
        """Close what is still open; tasks that are cancelled close the streams that they use."""
        for server in self._servers:
            server.close()
        for conn in [*self._conns, *self._page_conns]:
            conn.abort()
        self._pool.close()
        self._discovery.relay.close()
        self._store.close()


def run_gateway(start: Callable[[], Gateway]) -> None:
    """Run the gateway that `start` creates inside the event loop."""

    async def main() -> None:
        await start().run()

    # Before the event loop opens files of its own.
    reserve_standard_streams()
    asyncio.run(main())
