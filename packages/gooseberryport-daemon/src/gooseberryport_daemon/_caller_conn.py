"""Access to a caller's connection from a WSGI handler."""

from __future__ import annotations

import select
import socket
from typing import Any

REQUEST_ENVIRON_KEY = "gooseberryport.http_request"
"""Key of the WSGI environment that holds the HTTP server's own request object."""


class CallerConnection:
    """Check, and close, the connection of one request.

    Parameters
    ----------
    environ
        WSGI environment of the request.
    """

    def __init__(self, environ: dict[str, Any]) -> None:
        self._req = environ.get(REQUEST_ENVIRON_KEY)

    def is_closed(self) -> bool:
        """Return whether the caller has closed the connection."""
        if self._req is None:
            return False
        sock = self._req.conn.socket
        try:
            if not _readable(sock):
                return False
            peeked = sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            return True
        return not peeked

    def close_after_answer(self) -> None:
        """Make the server close the connection once the answer is sent."""
        if self._req is not None:
            self._req.close_connection = True


def _readable(sock: socket.socket) -> bool:
    """Return without blocking whether there is something to read.

    A `recv` on a socket with a timeout would wait.
    """
    poller = select.poll()
    poller.register(sock, select.POLLIN)
    return bool(poller.poll(0))
