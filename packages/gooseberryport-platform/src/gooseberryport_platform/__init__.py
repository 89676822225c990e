"""Clients of the platform's key-value store and VM list, and of upstreams' load reports."""

from gooseberryport_platform.calls import CallCounter, CallKind, CallOutcome, CallRecord
from gooseberryport_platform.compare_and_swap import ConfirmedSwap, SwapOutcome, confirmed_swap
from gooseberryport_platform.errors import PlatformError, ServiceError
from gooseberryport_platform.load_report import (
    LoadReports,
    LoadReportSettings,
    LoadReportWire,
    open_load_reports,
)
from gooseberryport_platform.store import (
    Store,
    StoreSettings,
    StoreWire,
    SwapResult,
    open_store,
    run_store_effect,
)
from gooseberryport_platform.vm_list import VmList, VmListSettings, VmListWire, open_vm_list

__all__ = [
    "CallCounter",
    "CallKind",
    "CallOutcome",
    "CallRecord",
    "ConfirmedSwap",
    "LoadReportSettings",
    "LoadReportWire",
    "LoadReports",
    "PlatformError",
    "ServiceError",
    "Store",
    "StoreSettings",
    "StoreWire",
    "SwapOutcome",
    "SwapResult",
    "VmList",
    "VmListSettings",
    "VmListWire",
    "confirmed_swap",
    "open_load_reports",
    "open_store",
    "open_vm_list",
    "run_store_effect",
]
