"""CherryPy's HTTP server with the callers' frontend and the operators' pages."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

import cheroot.wsgi
import cherrypy
import msgspec
from cherrypy._cptree import Tree

from gooseberryport_core.effects import LogEvent, LogLevel
from gooseberryport_core.log_events import LogNumber
from gooseberryport_daemon._caller_conn import REQUEST_ENVIRON_KEY
from gooseberryport_daemon._frontend import Frontend
from gooseberryport_daemon._pages import Pages
from gooseberryport_daemon.errors import AddressInUseError
from gooseberryport_daemon.settings import Endpoint

LISTEN_BACKLOG = 256
IDLE_CONNECTION_TIMEOUT_S = 10
"""Time after which an idle connection is closed; seconds."""

MAX_KEEPALIVE_CONNECTIONS = 512
STOP_TIMEOUT_S = 2
"""Time that a stop waits for the server's threads to end; seconds."""

MAX_HEADER_BYTES = 65_536

PAGE_CONFIG = {
    "/": {
        "tools.encode.on": False,
        "tools.gzip.on": False,
        "tools.trailing_slash.on": False,
        "request.show_tracebacks": False,
        "checker.on": False,
    }
}


class _Gateway(cheroot.wsgi.Gateway_10):
    """WSGI gateway that passes the server's request object to the handlers."""

    def get_environ(self) -> dict[str, Any]:  # type: ignore[override]
        """Return the WSGI environment."""
        environ: dict[str, Any] = super().get_environ()  # type: ignore[no-untyped-call]
        environ[REQUEST_ENVIRON_KEY] = self.req
        return environ


def _tree(frontend: Frontend, pages: Pages) -> Tree:
    tree = Tree()
    tree.graft(frontend.request, "")
    tree.graft(frontend.lookup, "/v1/lookup")
    cherrypy.config.update({"log.screen": False, "engine.autoreload.on": False})
    for path, page in pages.by_path().items():
        app = tree.mount(page, path, PAGE_CONFIG)
        app.log.access_log.disabled = True
    return tree


class HttpServer(msgspec.Struct, frozen=True):
    """A bound server; it accepts connections once `start` is called."""

    address: Endpoint
    start: Callable[[], None]


@contextmanager
def open_http_server(
    *,
    listen: Endpoint,
    threads: int,
    frontend: Frontend,
    pages: Pages,
    log: Callable[[LogEvent], None],
) -> Iterator[HttpServer]:
    """Bind the server, which runs in its own threads; raises `AddressInUseError`."""
    server = cheroot.wsgi.Server(
        (listen.ip, listen.port),
        _tree(frontend, pages),
        numthreads=threads,
        request_queue_size=LISTEN_BACKLOG,
        timeout=IDLE_CONNECTION_TIMEOUT_S,
        shutdown_timeout=STOP_TIMEOUT_S,
    )
    server.gateway = _Gateway
    server.max_request_header_size = MAX_HEADER_BYTES
    server.keep_alive_conn_limit = MAX_KEEPALIVE_CONNECTIONS
    server.error_log = _error_log(log)  # type: ignore[method-assign]
    try:
        server.prepare()
    except OSError as exc:
        raise AddressInUseError(subject=str(listen), detail=str(exc)) from exc
    thread = threading.Thread(target=server.serve, name="http-accept", daemon=True)
    try:
        yield HttpServer(Endpoint(*server.bind_addr[:2]), thread.start)
    finally:
        server.stop()
        if thread.ident is not None:
            thread.join(STOP_TIMEOUT_S)


def _error_log(log: Callable[[LogEvent], None]) -> Callable[..., None]:
    """Return the server's log function; the server calls it from any thread."""

    def error_log(msg: str = "", level: int = 20, traceback: bool = False) -> None:
        log_level = LogLevel.ERROR if traceback else LogLevel.WARNING
        log(LogEvent(LogNumber.HTTP_SERVER_FAULT, log_level, "HTTP server fault", {"fault": msg}))

    return error_log
