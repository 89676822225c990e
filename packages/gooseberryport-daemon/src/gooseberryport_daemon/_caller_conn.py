"""The connection of a caller, as far as the HTTP server lets a handler see it."""

from __future__ import annotations

import socket
from typing import Any

REQUEST_ENTRY = "gooseberryport.http_request"
"""Entry of the WSGI environment that holds the server's own request object."""


class CallerConnection:
    """Look at, and end, the connection of one request.

    Parameters
    ----------
    environ
        WSGI environment of the request.
    """

    def __init__(self, environ: dict[str, Any]) -> None:
        self._req = environ.get(REQUEST_ENTRY)

    def gone(self) -> bool:
        """Return whether the caller has closed the connection."""
        if self._req is None:
            return False
        try:
            waiting = self._req.conn.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            return True
        return not waiting

    def close_after_answer(self) -> None:
        """Let the server close the connection once the answer is out."""
        if self._req is not None:
            self._req.close_connection = True
