"""Interface to the platform's list of entry VMs."""

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
    """The platform's list of live and leaving VMs, which may be out of date."""

    def read(self) -> Result[tuple[ListedVm, ...], ServiceError]:
        """Read the list, in the platform's order; blocks for a bounded time."""


class VmListWire(Enum):
    """Supported wire formats of the VM list."""

    PROMETHEUS_HTTP_SD = "prometheus-http-sd"


class VmListSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the client of the VM list.

    Parameters
    ----------
    address
        ``IP:port`` of the VM list.
    path
        HTTP path of the list.
    wire
        Wire format of the list.
    timeout_s
        Timeout of a read including its retries; seconds.
    read_attempts
        Maximum number of attempts of a read within the timeout.
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
        Address and limits of the list.
    counter
        Counts every call.
    """
    from gooseberryport_platform._prometheus_sd import PrometheusVmList

    vm_list = PrometheusVmList(settings=settings, counter=counter or CallCounter())
    try:
        yield vm_list
    finally:
        vm_list.close()
