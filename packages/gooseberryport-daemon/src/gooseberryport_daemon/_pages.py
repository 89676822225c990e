"""Pages for operators and their tools, as CherryPy handlers."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import cherrypy
import msgspec

from gooseberryport_core.status import Explanation, StatusPage
from gooseberryport_core.types import RefusalReason
from gooseberryport_daemon._problems import PROBLEM_TYPE, not_run_problem

JSON_TYPE = "application/json"

_json = msgspec.json.Encoder()


class Readiness(msgspec.Struct, frozen=True):
    """Whether a daemon serves callers; `waits_for` names what is missing."""

    ready: bool
    waits_for: tuple[str, ...]


class Health(msgspec.Struct, frozen=True):
    """Figures of a process whose event loop responds.

    Parameters
    ----------
    callers
        Callers that wait for their answers.
    attempts
        Attempts that this daemon is running at upstreams.
    tickets_out, tickets_in
        Tickets sent by this daemon to owners, and received from other daemons.
    """

    vm: str
    incarnation: int
    callers: int
    attempts: int
    tickets_out: int
    tickets_in: int


class PageSource(Protocol):
    """Source of the pages' data; called in the HTTP server's threads."""

    def health(self) -> Health:
        """Return the process's own figures."""

    def readiness(self) -> Readiness:
        """Return whether callers are served."""

    def status(self) -> StatusPage:
        """Return the state of the system as this daemon sees it."""

    def explain(self, service: str, client: str) -> Explanation:
        """Return how a client's request would be routed."""


class _Page:
    """One page without parameters."""

    def __init__(self, encode: Callable[[], bytes]) -> None:
        self._encode = encode

    @cherrypy.expose  # type: ignore[untyped-decorator]
    def index(self) -> bytes:
        """Show the page."""
        return self._encode()


class _ExplainPage:
    """The page that explains how a request would be routed."""

    def __init__(self, source: PageSource) -> None:
        self._source = source

    @cherrypy.expose  # type: ignore[untyped-decorator]
    def index(self, service: str = "", client: str = "") -> bytes:
        """Show the page."""
        if not service or not client:
            cherrypy.response.status = 400
            detail = (
                "Give a service and a client, as in /explain?service=storefront&client=10.1.2.3."
            )
            return _encode(not_run_problem(400, RefusalReason.BAD_REQUEST, detail), PROBLEM_TYPE)
        return _encode(self._source.explain(service, client))


class Pages:
    """Build the handlers of the pages.

    Parameters
    ----------
    source
        Source of the pages' data.
    """

    def __init__(self, *, source: PageSource) -> None:
        self._source = source

    def by_path(self) -> dict[str, object]:
        """Return the CherryPy handlers by path."""
        return {
            "/healthz": _Page(lambda: _encode(self._source.health())),
            "/readyz": _Page(self._readyz),
            "/status": _Page(lambda: _encode(self._source.status())),
            "/explain": _ExplainPage(self._source),
        }

    def _readyz(self) -> bytes:
        readiness = self._source.readiness()
        if not readiness.ready:
            cherrypy.response.status = 503
        return _encode(readiness)


def _encode(value: msgspec.Struct, content_type: str = JSON_TYPE) -> bytes:
    cherrypy.response.headers["Content-Type"] = content_type
    cherrypy.response.headers["Cache-Control"] = "no-store"
    return _json.encode(value)
