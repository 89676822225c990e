import asyncio
import http.client
import re
import socket
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager, suppress

import msgspec

from gooseberryport_core.config import Config, Region, Service, Upstream
from gooseberryport_core.effects import LogEvent
from gooseberryport_daemon._daemon import RunningDaemon, open_daemon
from gooseberryport_daemon.settings import DaemonSettings, Threads
from gooseberryport_platform import StoreSettings, VmListSettings, open_store
from gooseberryport_standins.publish import publish_config
from gooseberryport_standins.store import StoreStandin, open_store_standin
from gooseberryport_standins.upstream import Fleet, UpstreamSpec, open_fleet
from gooseberryport_standins.vm_list import VmListEntry, VmListStandin, open_vm_list_standin

WAIT_TIMEOUT_S = 15.0
ZONES = ("bern-a", "bern-b")


class Reply(msgspec.Struct):
    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def problem(self) -> dict[str, str]:
        assert self.headers["Content-Type"] == "application/problem+json"
        return msgspec.json.decode(self.body)


def call(
    address: str,
    path: str,
    method: str = "GET",
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
) -> Reply:
    conn = http.client.HTTPConnection(address, timeout=WAIT_TIMEOUT_S)
    try:
        conn.request(method, path, body=body, headers=headers or {})
        resp = conn.getresponse()
        return Reply(resp.status, dict(resp.headers.items()), resp.read())
    finally:
        conn.close()


def wait_until(condition: Callable[[], bool]) -> None:
    deadline = time.monotonic() + WAIT_TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline, "the condition was not met within the timeout"
        time.sleep(0.02)


class DaemonThread:
    def __init__(self, settings: DaemonSettings) -> None:
        self.settings = settings
        self.logs: list[LogEvent] = []
        self.running: RunningDaemon | None = None
        self.error: BaseException | None = None
        self._loop: asyncio.AbstractEventLoop | None = None
        self._ready = threading.Event()
        self._thread = threading.Thread(target=self._main, daemon=True)

    @property
    def http(self) -> str:
        assert self.running is not None
        return self.running.addresses.http

    @property
    def peer(self) -> str:
        assert self.running is not None
        return self.running.addresses.peer

    def start(self) -> None:
        self._thread.start()
        assert self._ready.wait(WAIT_TIMEOUT_S)
        if self.error is not None:
            raise self.error

    def run_on_loop(self, function: Callable[[], object]) -> None:
        assert self._loop is not None
        done = threading.Event()
        self._loop.call_soon_threadsafe(lambda: (function(), done.set()))
        assert done.wait(WAIT_TIMEOUT_S)

    def owns_upstreams(self) -> bool:
        assert self.running is not None and self._loop is not None
        node = self.running.driver.node
        found: list[int] = []
        self.run_on_loop(lambda: found.append(len(node.owned_upstreams(self._loop.time()))))
        return bool(found[0])

    def request_stop(self) -> None:
        assert self._loop is not None and self.running is not None
        self._loop.call_soon_threadsafe(self.running.stop)

    def join(self) -> bool:
        self._thread.join(WAIT_TIMEOUT_S)
        return not self._thread.is_alive()

    def kill(self) -> None:
        if self._loop is not None and self.running is not None and self._thread.is_alive():
            self._loop.call_soon_threadsafe(self.running.driver.done.set)
        self.join()

    def _main(self) -> None:
        try:
            asyncio.run(self._run())
        except BaseException as exc:
            self.error = exc
        finally:
            self._ready.set()

    async def _run(self) -> None:
        async with open_daemon(self.settings, log=self.logs.append) as running:
            self._loop = asyncio.get_running_loop()
            self.running = running
            self._ready.set()
            await running.driver.done.wait()


class RawUpstream:
    """An upstream whose answers a test writes byte by byte."""

    def __init__(self, stack: ExitStack, serve: Callable[[socket.socket, bytes], None]) -> None:
        self.requests: list[bytes] = []
        self.connections = 0
        self._serve = serve
        self._listener = socket.create_server(("127.0.0.1", 0))
        stack.callback(self._close)
        host, port = self._listener.getsockname()
        self.addresses = {"raw-1": f"{host}:{port}"}
        self._thread = threading.Thread(target=self._accept, daemon=True)
        self._thread.start()

    @property
    def accepting(self) -> bool:
        return self._thread.is_alive()

    def _close(self) -> None:
        # A thread left in accept() could accept connections of a later socket that reuses the file
        # descriptor number.
        self._listener.shutdown(socket.SHUT_RDWR)
        self._thread.join()
        self._listener.close()

    def _accept(self) -> None:
        with suppress(OSError):
            while True:
                conn, _ = self._listener.accept()
                self.connections += 1
                threading.Thread(target=self._serve_connection, args=(conn,), daemon=True).start()

    def _serve_connection(self, conn: socket.socket) -> None:
        with conn, suppress(OSError):
            while request := _read_request(conn):
                self.requests.append(request)
                self._serve(conn, request)


def _read_request(conn: socket.socket) -> bytes:
    data = b""
    while b"\r\n\r\n" not in data:
        more = conn.recv(65_536)
        if not more:
            return b""
        data += more
    head, _, body = data.partition(b"\r\n\r\n")
    found = re.search(rb"content-length: (\d+)", head.lower())
    length = int(found.group(1)) if found else 0
    while len(body) < length:
        body += conn.recv(65_536)
    return head + b"\r\n\r\n" + body


class Deployment:
    """Platform stand-ins, upstreams and daemons, all run in this process."""

    def __init__(self, stack: ExitStack) -> None:
        self._stack = stack
        self.store: StoreStandin = stack.enter_context(open_store_standin())
        self.vm_list: VmListStandin = stack.enter_context(open_vm_list_standin())
        self.fleet = Fleet({})
        self.daemons: list[DaemonThread] = []

    def start_upstreams(self, *specs: UpstreamSpec) -> None:
        self.fleet = self._stack.enter_context(open_fleet(specs))

    def start_raw_upstream(self, serve: Callable[[socket.socket, bytes], None]) -> RawUpstream:
        return RawUpstream(self._stack, serve)

    def start_daemon_for(
        self, fleet: Fleet | RawUpstream, **service_fields: object
    ) -> DaemonThread:
        self.publish(make_config(fleet, **service_fields))
        daemon = self.start_daemon(self.settings("vm-1"))
        wait_until(lambda: daemon.owns_upstreams())
        return daemon

    def publish(self, cfg: Config) -> None:
        with open_store(
            StoreSettings(self.store.server.address, timeout_s=WAIT_TIMEOUT_S)
        ) as store:
            publish_config(store, cfg)

    def settings(self, vm: str, zone: str = ZONES[0], **changes: object) -> DaemonSettings:
        settings = DaemonSettings(
            vm=vm,
            availability_zone=zone,
            region=zone.partition("-")[0],
            store=StoreSettings(self.store.server.address),
            vm_list=VmListSettings(self.vm_list.server.address),
            vm_list_period_s=0.2,
            seed=7,
            threads=Threads(http=12, upstream=12),
        )
        return msgspec.structs.replace(settings, **changes)

    def start_daemon(self, settings: DaemonSettings, *, ready: bool = True) -> DaemonThread:
        daemon = DaemonThread(settings)
        daemon.start()
        self._stack.callback(daemon.kill)
        self.daemons.append(daemon)
        self.vm_list.set_vms(
            tuple(
                VmListEntry(d.settings.vm, d.settings.availability_zone, d.peer)
                for d in self.daemons
            )
        )
        if ready:
            wait_until(lambda: call(daemon.http, "/readyz").status == 200)
        return daemon


def make_config(
    fleet: Fleet | RawUpstream, *, zone: str = ZONES[0], **service_fields: object
) -> Config:
    return Config(
        version=1,
        regions={"bern": Region(availability_zones=ZONES)},
        services={"dressing-registry": Service(**service_fields)},
        upstreams={
            name: Upstream("dressing-registry", zone, address)
            for name, address in fleet.addresses.items()
        },
    )


@contextmanager
def open_deployment() -> Iterator[Deployment]:
    with ExitStack() as stack:
        yield Deployment(stack)
