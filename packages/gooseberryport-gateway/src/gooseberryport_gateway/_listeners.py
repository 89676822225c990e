"""Open the sockets of a gateway, waiting for addresses that are not free yet.

Failure pattern: a gateway is started again while its predecessor, or another process, still has one
of its ports, or before the VM has its address. A process that exits then is started again and exits
again, until the platform counts it as broken. It waits instead, and is not ready meanwhile.
"""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Awaitable, Callable
from typing import TypeVar

from gooseberryport_core.decoding import InputError, parse_address
from gooseberryport_core.gateway.model import Address
from gooseberryport_core.log_events import LogNumber
from gooseberryport_gateway._logs import Log
from gooseberryport_gateway.errors import SettingsError

MIN_RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 0.5
"""Bounds of the delay between two tries; seconds."""

Socket = TypeVar("Socket")


def listener_address(text: str) -> Address:
    """Return the address of a listener; raises `SettingsError` if it is malformed."""
    try:
        return parse_address(text)
    except InputError as exc:
        raise SettingsError(f"listener address {text!r} is not IP:port; correct it") from exc


async def open_when_free(
    open_socket: Callable[[], Awaitable[Socket]], *, name: str, log: Log, stop: asyncio.Event
) -> Socket | None:
    """Return a socket once it can be opened, or None if the process is told to stop first.

    Parameters
    ----------
    open_socket
        Opens the socket.
    name
        Address for the log.
    log
        Log of the gateway; each reason is written once.
    stop
        Set when the process is told to stop.

    Raises
    ------
    SettingsError
        The process may not use the address, whatever is done on the VM.
    """
    delay_s = MIN_RETRY_DELAY_S
    reason = ""
    while not stop.is_set():
        try:
            return await open_socket()
        except PermissionError as exc:
            raise SettingsError(f"no permission to listen on {name}; choose another port") from exc
        except OSError as exc:
            if reason != str(exc):
                reason = str(exc)
                code = errno.errorcode.get(exc.errno or 0, "")
                log.write(LogNumber.GATEWAY_ADDRESS_TAKEN, address=name, error=code, reason=reason)
                log.flush()
        try:
            async with asyncio.timeout(delay_s):
                await stop.wait()
        except TimeoutError:
            delay_s = min(delay_s * 2.0, MAX_RETRY_DELAY_S)
    return None
