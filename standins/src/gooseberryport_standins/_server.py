"""A small HTTP server on the standard library that the stand-ins share."""

from __future__ import annotations

import select
import socket
import socketserver
import threading
import time
from collections.abc import Iterator, Mapping
from contextlib import contextmanager, suppress
from http import HTTPStatus
from http.server import BaseHTTPRequestHandler, HTTPServer
from typing import Any, Protocol
from urllib.parse import parse_qs, urlsplit

import msgspec

BACKLOG = 512
POLL_S = 0.05
"""Time in which a server notices that it should stop; seconds."""


class App(Protocol):
    """What a stand-in does with a request."""

    def serve(self, exchange: Exchange) -> None:
        """Answer one request, or deliberately fail to."""


class Exchange(BaseHTTPRequestHandler):
    """One connection with its requests, one after the other."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    server: Listener

    def setup(self) -> None:
        """Prepare the connection."""
        super().setup()
        self.body = b""
        self.target = ""
        self.query: dict[str, str] = {}

    def serve_app(self) -> None:
        """Read one request whole and pass it to the app."""
        parts = urlsplit(self.path)
        self.target = parts.path
        found = parse_qs(parts.query, keep_blank_values=True)
        self.query = {name: values[-1] for name, values in found.items()}
        length = int(self.headers.get("Content-Length") or 0)
        self.body = self.rfile.read(length) if length else b""
        self.server.app.serve(self)

    do_GET = do_HEAD = do_PUT = do_POST = do_DELETE = do_PATCH = serve_app  # noqa: N815

    def log_message(self, format: str, *args: Any) -> None:
        """Write no access log."""

    def answer(
        self,
        status: int,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
        *,
        sent_fraction: float = 1.0,
    ) -> None:
        """Send an answer in one write; a part of it only, and then the end, if asked."""
        head = [
            f"HTTP/1.1 {status} {HTTPStatus(status).phrase}",
            f"Content-Length: {len(body)}",
            f"Date: {self.date_time_string()}",
        ]
        head.extend(f"{name}: {value}" for name, value in (headers or {}).items())
        sent = b"" if self.command == "HEAD" else body[: int(len(body) * sent_fraction)]
        try:
            self.connection.sendall("\r\n".join(head).encode() + b"\r\n\r\n" + sent)
        except OSError:
            self.close_connection = True
        if sent_fraction < 1.0:
            self.drop_connection()

    def answer_json(self, value: msgspec.Struct | list[Any]) -> None:
        """Send a typed value as JSON."""
        self.answer(200, msgspec.json.encode(value), {"Content-Type": "application/json"})

    def drop_connection(self) -> None:
        """End the connection without another byte."""
        self.close_connection = True
        _shut(self.connection)

    def wait_for_disconnect(self, seconds: float) -> bool:
        """Wait, and return early with True if the other side closes the connection."""
        deadline = time.monotonic() + seconds
        poller = select.poll()
        poller.register(self.connection, select.POLLIN | select.POLLHUP)
        while True:
            left_s = deadline - time.monotonic()
            if left_s <= 0:
                return False
            if not poller.poll(left_s * 1000):
                return False
            if self.is_disconnected():
                return True
            time.sleep(min(left_s, POLL_S))

    def is_disconnected(self) -> bool:
        """Return whether the other side has closed the connection."""
        try:
            peeked: bytes = self.connection.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
            return not peeked
        except BlockingIOError:
            return False
        except OSError:
            return True


class Listener(socketserver.ThreadingMixIn, HTTPServer):
    """A listening server, one thread for each connection.

    Parameters
    ----------
    host, port
        Where it listens; port 0 for one that the system picks.
    app
        What answers.
    """

    daemon_threads = True
    block_on_close = False
    allow_reuse_address = True
    request_queue_size = BACKLOG

    def __init__(self, *, host: str, port: int, app: App) -> None:
        self.app = app
        self._open: set[socket.socket] = set()
        self._open_lock = threading.Lock()
        super().__init__((host, port), Exchange)
        self._thread = threading.Thread(
            target=self.serve_forever, args=(POLL_S,), name="standin", daemon=True
        )
        self._thread.start()

    @property
    def address(self) -> str:
        """``IP:port``."""
        host, port = self.server_address[:2]
        return f"{host!s}:{port}"

    def server_bind(self) -> None:
        """Bind without looking the host's name up."""
        socketserver.TCPServer.server_bind(self)
        self.server_name, self.server_port = str(self.server_address[0]), self.server_address[1]

    def process_request(self, request: Any, client_address: Any) -> None:
        """Start a connection's thread."""
        with self._open_lock:
            self._open.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request: Any) -> None:
        """End a connection."""
        with self._open_lock:
            self._open.discard(request)
        super().shutdown_request(request)

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Say nothing of a connection that broke: breaking them is what stand-ins are for."""

    def stop(self) -> None:
        """Stop listening and cut every connection."""
        self.shutdown()
        self._thread.join()
        self.server_close()
        with self._open_lock:
            left = list(self._open)
        for conn in left:
            _shut(conn)


class RestartableServer:
    """A listener that can be closed, so that connections are refused, and opened again.

    Parameters
    ----------
    host, port
        Where it listens.
    app
        What answers.
    """

    def __init__(self, *, host: str, port: int, app: App) -> None:
        self._app = app
        self._host = host
        self._lock = threading.Lock()
        self._listener: Listener | None = Listener(host=host, port=port, app=app)
        self.address = self._listener.address

    def open(self) -> None:
        """Listen again at the same address."""
        port = int(self.address.rpartition(":")[2])
        with self._lock:
            if self._listener is None:
                self._listener = Listener(host=self._host, port=port, app=self._app)

    def close(self) -> None:
        """Stop listening and cut every connection."""
        with self._lock:
            if self._listener is not None:
                self._listener.stop()
                self._listener = None


@contextmanager
def open_server(app: App, *, host: str = "127.0.0.1", port: int = 0) -> Iterator[RestartableServer]:
    """Listen for as long as the context lasts."""
    server = RestartableServer(host=host, port=port, app=app)
    try:
        yield server
    finally:
        server.close()


def _shut(conn: socket.socket) -> None:
    with suppress(OSError):
        conn.shutdown(socket.SHUT_RDWR)
