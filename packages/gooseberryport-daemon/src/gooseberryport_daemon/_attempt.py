"""One HTTP call to an upstream: it can be cancelled, and records whether any bytes were sent."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from typing import Any

import urllib3

from gooseberryport_platform.bounded_http import BoundedConnection


class AttemptCancelledError(Exception):
    """The attempt was cancelled before or while it ran."""


MIN_LEFT_FRACTION = 0.5
"""Part of an attempt's time that must be left when its first byte is sent. With less, most likely
after a pause of this daemon, the request is not sent: another attempt has more time."""


class Attempt:
    """State of one call, shared by the thread that makes it and the loop that may cancel it.

    Parameters
    ----------
    timeout_s
        Time within which the complete answer must be received; seconds.
    fresh
        Whether the call must open a new connection instead of reusing an idle one.
    """

    def __init__(self, *, timeout_s: float, fresh: bool) -> None:
        self.started = time.monotonic()
        self.deadline = self.started + timeout_s
        self.fresh = fresh
        self.sent = False
        self._lock = threading.Lock()
        self._cancelled = False
        self._sock: socket.socket | None = None

    @property
    def remaining_s(self) -> float:
        """Time until the deadline, in seconds."""
        return self.deadline - time.monotonic()

    @property
    def duration_s(self) -> float:
        """Time since the start, in seconds."""
        return time.monotonic() - self.started

    def cancel(self) -> None:
        """Cancel the attempt; safe to call from any thread."""
        with self._lock:
            self._cancelled = True
            if self._sock is not None:
                with contextlib.suppress(OSError):
                    self._sock.shutdown(socket.SHUT_RDWR)

    def attach_socket(self, sock: socket.socket) -> None:
        """Record the socket that the call uses; raises `AttemptCancelledError`."""
        with self._lock:
            if self._cancelled:
                raise AttemptCancelledError
            self._sock = sock

    def detach_socket(self) -> None:
        """Record that the call no longer uses its socket."""
        with self._lock:
            self._sock = None

    def record_send(self) -> None:
        """Record that bytes are about to be sent; raises `AttemptCancelledError`."""
        is_too_late = self.remaining_s < MIN_LEFT_FRACTION * (self.deadline - self.started)
        with self._lock:
            if self._cancelled or (is_too_late and not self.sent):
                raise AttemptCancelledError
            self.sent = True


class AttemptConnection(BoundedConnection):
    """A connection that reports its socket and its sends to the current thread's attempt."""

    def request(self, *args: Any, **kwargs: Any) -> None:
        """Send a request, over a new socket if its attempt requires one."""
        if current.attempt.fresh and self.sock is not None:
            self.close()
        if self.sock is not None:
            current.attempt.attach_socket(self.sock)
        super().request(*args, **kwargs)

    def connect(self) -> None:
        """Open the socket."""
        super().connect()
        assert self.sock is not None
        current.attempt.attach_socket(self.sock)

    def send(self, data: Any) -> None:
        """Send bytes."""
        if self.sock is None:
            self.connect()
        current.attempt.record_send()
        super().send(data)


class AttemptConnectionPool(urllib3.HTTPConnectionPool):
    """Connection pool of one upstream."""

    ConnectionCls = AttemptConnection

    def _put_conn(self, conn: Any) -> None:
        """Return a connection to the pool, where its attempt can no longer shut it down."""
        current.attempt.detach_socket()
        super()._put_conn(conn)


class _Current(threading.local):
    """Thread-local holder of the attempt that this thread makes."""

    attempt: Attempt


current = _Current()
