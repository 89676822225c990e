"""A small HTTP server, built on the standard library, that the stand-ins share."""

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
POLL_INTERVAL_S = 0.05
"""Interval at which a server checks whether it should stop; seconds."""


class App(Protocol):
    """An application that answers the requests of a server."""

    def serve(self, exchange: Exchange) -> None:
        """Answer one request, or fail on purpose."""


class Exchange(BaseHTTPRequestHandler):
    """A connection and the requests that it carries one after the other."""

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
        """Read one complete request and pass it to the application."""
        parts = urlsplit(self.path)
        self.target = parts.path
        parameters = parse_qs(parts.query, keep_blank_values=True)
        self.query = {name: values[-1] for name, values in parameters.items()}
        length = int(self.headers.get("Content-Length") or 0)
        self.body = self.rfile.read(length) if length else b""
        self.server.app.serve(self)

    do_GET = do_HEAD = do_PUT = do_POST = do_DELETE = do_PATCH = serve_app  # noqa: N815

    def log_message(self, format: str, *args: Any) -> None:
        """Suppress the access log."""

    def answer(
        self,
        status: int,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
        *,
        sent_fraction: float = 1.0,
    ) -> None:
        """Send an answer in one write.

        If `sent_fraction` is below 1, send only that part of the body and drop the connection.
        """
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
        """Send a value encoded as JSON."""
        self.answer(200, msgspec.json.encode(value), {"Content-Type": "application/json"})

    def drop_connection(self) -> None:
        """Close the connection without sending another byte."""
        self.close_connection = True
        _shut_down(self.connection)

    def wait_for_disconnect(self, seconds: float) -> bool:
        """Wait; return True as soon as the peer closes the connection, else False."""
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
            time.sleep(min(left_s, POLL_INTERVAL_S))

    def is_disconnected(self) -> bool:
        """Return whether the peer has closed the connection."""
        try:
            peeked: bytes = self.connection.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
            return not peeked
        except BlockingIOError:
            return False
        except OSError:
            return True


class Listener(socketserver.ThreadingMixIn, HTTPServer):
    """A listening server with one thread per connection.

    Parameters
    ----------
    host, port
        Address on which it listens; port 0 lets the operating system choose.
    app
        Application that answers the requests.
    """

    daemon_threads = True
    block_on_close = False
    allow_reuse_address = True
    request_queue_size = BACKLOG

    def __init__(self, *, host: str, port: int, app: App) -> None:
        self.app = app
        self._connections: set[socket.socket] = set()
        self._connections_lock = threading.Lock()
        super().__init__((host, port), Exchange)
        self._thread = threading.Thread(
            target=self.serve_forever, args=(POLL_INTERVAL_S,), name="standin", daemon=True
        )
        self._thread.start()

    @property
    def address(self) -> str:
        """``IP:port``."""
        host, port = self.server_address[:2]
        return f"{host!s}:{port}"

    def server_bind(self) -> None:
        """Bind without a reverse DNS query for the host name."""
        socketserver.TCPServer.server_bind(self)
        self.server_name, self.server_port = str(self.server_address[0]), self.server_address[1]

    def process_request(self, request: Any, client_address: Any) -> None:
        """Start the thread of a connection."""
        with self._connections_lock:
            self._connections.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request: Any) -> None:
        """Close a connection."""
        with self._connections_lock:
            self._connections.discard(request)
        super().shutdown_request(request)

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Print no traceback for a broken connection: stand-ins break connections on purpose."""

    def stop(self) -> None:
        """Stop listening and close every connection."""
        self.shutdown()
        self._thread.join()
        self.server_close()
        with self._connections_lock:
            left = list(self._connections)
        for conn in left:
            _shut_down(conn)


class RestartableServer:
    """A server that can be closed, so that connections are refused, and reopened.

    Parameters
    ----------
    host, port
        Address on which it listens; port 0 lets the operating system choose.
    app
        Application that answers the requests.
    """

    def __init__(self, *, host: str, port: int, app: App) -> None:
        self._app = app
        self._host = host
        self._lock = threading.Lock()
        self._listener: Listener | None = Listener(host=host, port=port, app=app)
        self.address = self._listener.address

    def open(self) -> None:
        """Listen again on the same address."""
        port = int(self.address.rpartition(":")[2])
        with self._lock:
            if self._listener is None:
                self._listener = Listener(host=self._host, port=port, app=self._app)

    def close(self) -> None:
        """Stop listening and close every connection."""
        with self._lock:
            if self._listener is not None:
                self._listener.stop()
                self._listener = None


@contextmanager
def open_server(app: App, *, host: str = "127.0.0.1", port: int = 0) -> Iterator[RestartableServer]:
    """Run a server until the context exits."""
    server = RestartableServer(host=host, port=port, app=app)
    try:
        yield server
    finally:
        server.close()


def _shut_down(conn: socket.socket) -> None:
    with suppress(OSError):
        conn.shutdown(socket.SHUT_RDWR)
