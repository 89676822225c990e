"""The settings file of a daemon."""

from __future__ import annotations

import ipaddress
import math
from pathlib import Path

import msgspec

from gooseberryport_core.decoding import InputError, decode_json
from gooseberryport_core.settings import Timing
from gooseberryport_core.types import RegionName, VmId, ZoneName
from gooseberryport_daemon.errors import SettingsInvalidError, SettingsUnreadableError
from gooseberryport_platform import LoadReportSettings, StoreSettings, VmListSettings

MAX_THREADS = 1_024
MAX_TICK_S = 1.0
MIN_BODY_BUDGET_BYTES = 1_048_576
RESERVED_THREADS = 4
"""Threads of the HTTP server that are reserved for look-ups and operators' pages."""


class Threads(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Sizes of the thread pools.

    Parameters
    ----------
    http
        Threads of the HTTP server: each caller's request holds one until it is answered.
    upstream
        Threads that send requests to upstreams; an attempt holds one.
    platform
        Threads that call the platform's services; a watch holds one.
    """

    http: int = 64
    upstream: int = 32
    platform: int = 6


class DaemonSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Settings of one daemon.

    Parameters
    ----------
    vm, availability_zone, region
        Name, zone and region of its VM, as in the VM list and the configuration.
    http_listen
        ``IP:port`` on which callers and operators are served; port 0 chooses a free one.
    peer_listen
        ``IP:port`` on which other daemons are served, TCP and UDP; port 0 chooses a free one.
    store, vm_list, load_reports
        Settings of the clients of the platform's services.
    statsd
        ``IP:port`` of the statsd server; empty for none.
    body_budget_bytes
        Maximum number of bytes of request bodies that are held at once.
    peers
        Peer addresses used at the start, while the VM list can't be read.
    seed
        Seed of the random generator; 0 uses the incarnation.
    threads
        Sizes of the thread pools.
    tick_s
        Interval at which the node receives a tick; seconds.
    vm_list_period_s, load_report_period_s
        Interval between two reads; seconds.
    timing
        Time constants of the control protocols.
    """

    vm: VmId
    availability_zone: ZoneName
    region: RegionName
    store: StoreSettings
    vm_list: VmListSettings
    http_listen: str = "127.0.0.1:0"
    peer_listen: str = "127.0.0.1:0"
    load_reports: LoadReportSettings = LoadReportSettings()
    statsd: str = ""
    body_budget_bytes: int = 67_108_864
    peers: tuple[str, ...] = ()
    seed: int = 0
    threads: Threads = Threads()
    tick_s: float = 0.05
    vm_list_period_s: float = 2.0
    load_report_period_s: float = 1.0
    timing: Timing = Timing()


class Endpoint(msgspec.Struct, frozen=True):
    """An IP address and a port."""

    ip: str
    port: int

    def __str__(self) -> str:
        host = f"[{self.ip}]" if ":" in self.ip else self.ip
        return f"{host}:{self.port}"


def parse_endpoint(text: str, *, field: str) -> Endpoint:
    """Return the endpoint that ``IP:port`` names; raises `SettingsInvalidError`."""
    host, _, port = text.rpartition(":")
    try:
        endpoint = Endpoint(str(ipaddress.ip_address(host.strip("[]"))), int(port))
    except ValueError:
        detail = f"{text!r} is not an IP address and a port, such as 10.0.0.7:8080"
        raise SettingsInvalidError(subject=field, detail=detail) from None
    if not 0 <= endpoint.port <= 65_535:
        raise SettingsInvalidError(
            subject=field, detail=f"port {endpoint.port} is out of range 0 to 65535"
        )
    return endpoint


def load_settings(path: Path) -> DaemonSettings:
    """Read and check a settings file; raises a `DaemonError`."""
    try:
        data = path.read_bytes()
    except OSError as exc:
        raise SettingsUnreadableError(subject=str(path), detail=exc.strerror or str(exc)) from exc
    return parse_settings(data, source=str(path))


def parse_settings(data: bytes, *, source: str) -> DaemonSettings:
    """Return the checked settings in a JSON text; raises `SettingsInvalidError`."""
    try:
        settings = decode_json(data, expected_type=DaemonSettings)
    except InputError as exc:
        raise SettingsInvalidError(subject=source, detail=str(exc)) from None
    _check(settings)
    return settings


def _check(settings: DaemonSettings) -> None:
    for field in ("vm", "availability_zone", "region"):
        if not getattr(settings, field).strip():
            raise SettingsInvalidError(subject=field, detail="it must not be empty")
    parse_endpoint(settings.http_listen, field="http_listen")
    parse_endpoint(settings.peer_listen, field="peer_listen")
    _check_service_address(settings.store.address, "store.address")
    _check_service_address(settings.vm_list.address, "vm_list.address")
    for peer in settings.peers:
        _check_service_address(peer, "peers")
    if settings.statsd:
        _check_service_address(settings.statsd, "statsd")
    if settings.body_budget_bytes < MIN_BODY_BUDGET_BYTES:
        detail = f"it must be at least {MIN_BODY_BUDGET_BYTES}"
        raise SettingsInvalidError(subject="body_budget_bytes", detail=detail)
    _check_threads(settings.threads)
    _check_period(settings.tick_s, "tick_s", maximum=MAX_TICK_S)
    _check_period(settings.vm_list_period_s, "vm_list_period_s")
    _check_period(settings.load_report_period_s, "load_report_period_s")
    for name in settings.timing.__struct_fields__:
        _check_period(getattr(settings.timing, name), f"timing.{name}")


def _check_service_address(text: str, field: str) -> None:
    if parse_endpoint(text, field=field).port == 0:
        raise SettingsInvalidError(subject=field, detail="the port must not be 0")


def _check_threads(threads: Threads) -> None:
    minimums = {"http": RESERVED_THREADS + 1, "upstream": 1, "platform": 2}
    for name, minimum in minimums.items():
        if not minimum <= getattr(threads, name) <= MAX_THREADS:
            detail = f"it must be from {minimum} to {MAX_THREADS}"
            raise SettingsInvalidError(subject=f"threads.{name}", detail=detail)


def _check_period(value: float, field: str, *, maximum: float = math.inf) -> None:
    if not (math.isfinite(value) and 0 < value <= maximum):
        limit = f" and at most {maximum}" if math.isfinite(maximum) else ""
        raise SettingsInvalidError(subject=field, detail=f"it must be above 0{limit} seconds")
