"""Clients of the platform: key-value service, VM list and upstreams' load reports."""

from gooseberryport_platform.calls import CallCounter, CallEnd, CallKind, CallRecord
from gooseberryport_platform.errors import PlatformError, ServiceError
from gooseberryport_platform.load_report import (
    LoadReports,
    LoadReportSettings,
    LoadReportWire,
    open_load_reports,
)
from gooseberryport_platform.settled import SettledSwap, SwapEnd, settled_swap
from gooseberryport_platform.store import (
    Store,
    StoreSettings,
    StoreWire,
    Swapped,
    open_store,
    run_store_effect,
)
from gooseberryport_platform.vm_list import VmList, VmListSettings, VmListWire, open_vm_list

__all__ = [
    "CallCounter",
    "CallEnd",
    "CallKind",
    "CallRecord",
    "LoadReports",
    "LoadReportSettings",
    "LoadReportWire",
    "PlatformError",
    "ServiceError",
    "SettledSwap",
    "Store",
    "StoreSettings",
    "StoreWire",
    "SwapEnd",
    "Swapped",
    "VmList",
    "VmListSettings",
    "VmListWire",
    "open_load_reports",
    "open_store",
    "open_vm_list",
    "run_store_effect",
    "settled_swap",
]
