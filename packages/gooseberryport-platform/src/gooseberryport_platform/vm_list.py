"""The platform's list of entry VMs behind a `Protocol`."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from enum import Enum
from typing import Protocol

import msgspec
from returns.result import Result

from gooseberryport_core.events import ListedVm
from gooseberryport_platform.calls import CallCounter
from gooseberryport_platform.errors import ServiceError


class VmList(Protocol):
    """The platform's lagging list of live and leaving VMs."""

    def read(self) -> Result[tuple[ListedVm, ...], ServiceError]:
        """Read the list, in the order of the service; blocks for a bounded time."""


class VmListWire(Enum):
    """Wire forms of VM lists that are known here."""

    PROMETHEUS_HTTP_SD = "prometheus-http-sd"


class VmListSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Say where the VM list is.

    Parameters
    ----------
    address
        ``IP:port``.
    path
        Path of the list.
    wire
        Its wire form.
    timeout_s
        Time that a read may take, repetitions included; seconds.
    read_attempts
        How often a read is tried within that time.
    """

    address: str
    path: str = "/vms"
    wire: VmListWire = VmListWire.PROMETHEUS_HTTP_SD
    timeout_s: float = 1.0
    read_attempts: int = 2


@contextmanager
def open_vm_list(
    settings: VmListSettings, *, counter: CallCounter | None = None
) -> Iterator[VmList]:
    """Open a client of the VM list; raises `AddressInvalidError`.

    Parameters
    ----------
    settings
        Where the list is.
    counter
        Counts every call.
    """
    from gooseberryport_platform._prometheus_sd import PrometheusVmList

    vm_list = PrometheusVmList(settings=settings, counter=counter or CallCounter())
    try:
        yield vm_list
    finally:
        vm_list.close()
