"""Global options, environment and output of a command."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import AbstractContextManager, contextmanager
from typing import Any

import msgspec
from rich.console import Console, RenderableType

from gooseberryport_cli.daemon_client import DaemonClient
from gooseberryport_cli.environment import Environment
from gooseberryport_cli.errors import UsageError
from gooseberryport_cli.publishing import Publisher


class Options(msgspec.Struct, frozen=True):
    """Global options of all commands; an option that was not given is empty.

    Parameters
    ----------
    store
        ``IP:port`` of the key-value store.
    daemon
        ``IP:port`` of one or more daemons, separated by commas.
    author
        Author of published versions.
    as_json
        Whether the result is printed as JSON.
    """

    store: str = ""
    daemon: str = ""
    author: str = ""
    as_json: bool = False


class Context:
    """The global options, environment and output that a command runs with.

    Parameters
    ----------
    options
        Global options of all commands.
    environment
        Access to the store, daemons, folders and clocks.
    out, err
        Consoles for results, and for progress and warnings.
    """

    def __init__(
        self, *, options: Options, environment: Environment, out: Console, err: Console
    ) -> None:
        self.options = options
        self.environment = environment
        self._out = out
        self._err = err

    @contextmanager
    def publisher(self) -> Iterator[Publisher]:
        """Open the key-value store; raises `UsageError` if no address was given."""
        if not self.options.store:
            remedy = "give --store IP:port or set GOOSEBERRYPORT_STORE"
            raise UsageError(message="no key-value store was given", remedy=remedy)
        with self.environment.store(self.options.store) as store:
            yield Publisher(store)

    @property
    def has_daemon(self) -> bool:
        """Whether the address of a daemon was given."""
        return bool(self.options.daemon)

    def daemon_client(self) -> DaemonClient:
        """Return a client of the daemons; raises `UsageError` if no address was given."""
        if not self.has_daemon:
            remedy = "give --daemon IP:port or set GOOSEBERRYPORT_DAEMON"
            raise UsageError(message="no daemon was given", remedy=remedy)
        return self.environment.daemon_client(tuple(self.options.daemon.split(",")))

    def show(self, result: Any, *tables: RenderableType) -> None:
        """Print a result as JSON if that was requested, otherwise as the given tables."""
        if self.options.as_json:
            text = msgspec.json.format(msgspec.json.encode(result), indent=2).decode()
            self._out.out(text, highlight=False)
            return
        for table in tables:
            self._out.print(table, highlight=False, markup=False)

    def show_text(self, text: str) -> None:
        """Print a text unchanged."""
        self._out.out(text, highlight=False, end="" if text.endswith("\n") else "\n")

    def warn(self, text: str) -> None:
        """Print a warning or error message."""
        self._err.print(text, highlight=False, markup=False, soft_wrap=True)

    def progress(self, text: str) -> AbstractContextManager[Any]:
        """Return a context manager that shows a progress message while its block runs."""
        return self._err.status(text)
