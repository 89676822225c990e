"""Base class for the commands of stand-ins with a single server."""

from __future__ import annotations

from contextlib import AbstractContextManager
from dataclasses import dataclass
from typing import Annotated, Protocol

import cappa

from gooseberryport_standins._process import Ready, print_ready_line, wait_for_stop
from gooseberryport_standins._server import App, RestartableServer, open_server


class Standin(App, Protocol):
    """A stand-in with a single server for the system under test."""

    server: RestartableServer | None


@dataclass
class StandinCommand:
    """Run a stand-in.

    Parameters
    ----------
    host, port
        Address and port on which it listens.
    """

    host: Annotated[str, cappa.Arg(long=True)] = "127.0.0.1"
    port: Annotated[int, cappa.Arg(long=True)] = 0

    def open(self) -> AbstractContextManager[Standin]:
        """Return the context manager that runs the stand-in; each command overrides this."""
        raise NotImplementedError

    def __call__(self) -> None:
        """Run until SIGTERM, with a separate control server that sets faults."""
        with self.open() as standin, open_server(standin, host=self.host) as control:
            assert standin.server is not None
            print_ready_line(Ready(standin.server.address, control.address))
            wait_for_stop()
