"""Numbered log events as JSON lines on standard error."""

from __future__ import annotations

import sys
from collections.abc import Callable

import structlog

from gooseberryport_core.effects import LogEvent

WriteLog = Callable[[LogEvent], None]


def log_writer(*, vm: str) -> WriteLog:
    """Return a function that writes a log event; it may be called in any thread.

    Parameters
    ----------
    vm
        Name of this daemon, written with each event.
    """
    logger = structlog.wrap_logger(
        structlog.PrintLogger(sys.stderr),
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(),
        ],
    ).bind(vm=vm)

    def write(event: LogEvent) -> None:
        method = getattr(logger, event.level.value)
        method(event.text, number=int(event.number), fields=event.fields)

    return write
