"""Interface to the load reports that upstreams publish."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from enum import Enum
from typing import Protocol

import msgspec
from returns.result import Result

from gooseberryport_core.events import LoadReported
from gooseberryport_core.types import UpstreamId
from gooseberryport_platform.calls import CallCounter
from gooseberryport_platform.errors import ServiceError


class LoadReports(Protocol):
    """Reads the load reports of upstreams."""

    def read(
        self, upstream: UpstreamId, address: str, path: str
    ) -> Result[LoadReported, ServiceError]:
        """Read the load report of the upstream at ``IP:port``; blocks for a bounded time."""


class LoadReportWire(Enum):
    """Supported wire formats of load reports."""

    PROMETHEUS_TEXT = "prometheus-text"


class LoadReportSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings for reading load reports.

    Parameters
    ----------
    wire
        Wire format of the reports.
    timeout_s
        Timeout of a read; seconds.
    """

    wire: LoadReportWire = LoadReportWire.PROMETHEUS_TEXT
    timeout_s: float = 0.5


@contextmanager
def open_load_reports(
    settings: LoadReportSettings | None = None, *, counter: CallCounter | None = None
) -> Iterator[LoadReports]:
    """Open a client of load reports.

    Parameters
    ----------
    settings
        How the reports are read; the defaults if None.
    counter
        Counts every call.
    """
    from gooseberryport_platform._prometheus_text import PrometheusLoadReports

    reports = PrometheusLoadReports(
        settings=settings or LoadReportSettings(), counter=counter or CallCounter()
    )
    try:
        yield reports
    finally:
        reports.close()
