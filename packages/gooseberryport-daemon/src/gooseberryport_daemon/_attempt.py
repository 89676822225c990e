"""One HTTP call to an upstream that knows whether it left, and that can be broken off."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from typing import Any

import urllib3
from urllib3.connection import HTTPConnection


class AttemptCancelledError(Exception):
    """The attempt was broken off before or while it ran."""


class Attempt:
    """State of one call, shared by the thread that makes it and the loop that may break it off.

    Parameters
    ----------
    timeout_s
        Time until the whole answer must be here; seconds.
    fresh
        Whether a kept connection must not be used.
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
        """Break the attempt off; from any thread."""
        with self._lock:
            self._cancelled = True
            if self._sock is not None:
                with contextlib.suppress(OSError):
                    self._sock.shutdown(socket.SHUT_RDWR)

    def attach_socket(self, sock: socket.socket) -> None:
        """Note the socket that the call uses; raises `AttemptCancelledError`."""
        with self._lock:
            if self._cancelled:
                raise AttemptCancelledError
            self._sock = sock

    def detach_socket(self) -> None:
        """Note that the call has let go of its socket."""
        with self._lock:
            self._sock = None

    def record_send(self) -> None:
        """Note that bytes are about to leave; raises `AttemptCancelledError`."""
        with self._lock:
            if self._cancelled:
                raise AttemptCancelledError
            self.sent = True


class AttemptConnection(HTTPConnection):
    """A connection that tells the current thread's attempt what happens on it."""

    def request(self, *args: Any, **kwargs: Any) -> None:
        """Send a request, over a new socket if its attempt asks for one."""
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


class AttemptPool(urllib3.HTTPConnectionPool):
    """Kept connections to one upstream."""

    ConnectionCls = AttemptConnection

    def _put_conn(self, conn: Any) -> None:
        """Take a connection back; its attempt must no longer be able to break it off."""
        current.attempt.detach_socket()
        super()._put_conn(conn)


class _Current(threading.local):
    """The attempt that this thread makes."""

    attempt: Attempt


current = _Current()
