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
    """Figures of a process whose loop turns.

    Parameters
    ----------
    callers
        Callers that wait for their answers.
    attempts
        Requests that run at upstreams from here.
    tickets_out, tickets_in
        Tickets of this daemon at owners, and of other daemons here.
    """

    vm: str
    incarnation: int
    callers: int
    attempts: int
    tickets_out: int
    tickets_in: int


class PageSource(Protocol):
    """Where the pages get what they show; called in the HTTP server's threads."""

    def health(self) -> Health:
        """Return the process's own figures."""

    def readiness(self) -> Readiness:
        """Return whether callers are served."""

    def status(self) -> StatusPage:
        """Return what the daemon knows of the system."""

    def explain(self, service: str, client: str) -> Explanation:
        """Return how a client's request would be steered."""


class _Page:
    """One page without parameters."""

    def __init__(self, show: Callable[[], bytes]) -> None:
        self._encode = show

    @cherrypy.expose  # type: ignore[untyped-decorator]
    def index(self) -> bytes:
        """Show the page."""
        return self._encode()


class _ExplainPage:
    """The page that tells how a request would be steered."""

    def __init__(self, source: PageSource) -> None:
        self._source = source

    @cherrypy.expose  # type: ignore[untyped-decorator]
    def index(self, service: str = "", client: str = "") -> bytes:
        """Show the page."""
        if not service or not client:
            cherrypy.response.status = 400
            detail = "Name both, as in /explain?service=storefront&client=10.1.2.3."
            return _encode(not_run_problem(400, RefusalReason.BAD_REQUEST, detail), PROBLEM_TYPE)
        return _encode(self._source.explain(service, client))


class Pages:
    """Make the pages.

    Parameters
    ----------
    source
        Where they get what they show.
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
