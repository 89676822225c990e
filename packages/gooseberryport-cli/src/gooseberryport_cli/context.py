"""What one run of a command works with."""

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
    """Options that every command has; each is empty if it was not given.

    Parameters
    ----------
    store
        ``IP:port`` of the key-value service.
    daemon
        ``IP:port`` of daemons, joined by commas.
    author
        Who publishes.
    as_json
        Whether the result is printed as JSON.
    """

    store: str = ""
    daemon: str = ""
    author: str = ""
    as_json: bool = False


class Context:
    """Give a command its options, the world and its output.

    Parameters
    ----------
    options
        Options that every command has.
    environment
        The store, daemons, folders and clocks.
    out, err
        Where results, and progress and warnings, go.
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
        """Open the store; raises `UsageError` if none was named."""
        if not self.options.store:
            remedy = "give --store IP:port or set GOOSEBERRYPORT_STORE"
            raise UsageError(message="no key-value service was named", remedy=remedy)
        with self.environment.store(self.options.store) as store:
            yield Publisher(store)

    @property
    def has_daemon(self) -> bool:
        """Whether a daemon was named."""
        return bool(self.options.daemon)

    def daemon_client(self) -> DaemonClient:
        """Return the daemons' pages; raises `UsageError` if none was named."""
        if not self.has_daemon:
            remedy = "give --daemon IP:port or set GOOSEBERRYPORT_DAEMON"
            raise UsageError(message="no daemon was named", remedy=remedy)
        return self.environment.daemon_client(tuple(self.options.daemon.split(",")))

    def show(self, result: Any, *tables: RenderableType) -> None:
        """Print a result: for programs as one JSON value, for people as these tables."""
        if self.options.as_json:
            text = msgspec.json.format(msgspec.json.encode(result), indent=2).decode()
            self._out.out(text, highlight=False)
            return
        for table in tables:
            self._out.print(table, highlight=False, markup=False)

    def show_text(self, text: str) -> None:
        """Print a text as it is."""
        self._out.out(text, highlight=False, end="" if text.endswith("\n") else "\n")

    def warn(self, text: str) -> None:
        """Print a warning."""
        self._err.print(text, highlight=False, markup=False, soft_wrap=True)

    def progress(self, text: str) -> AbstractContextManager[Any]:
        """Show that something is waited for, while the block runs."""
        return self._err.status(text)
