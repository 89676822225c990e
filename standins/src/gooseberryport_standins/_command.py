"""The command line that stand-ins with one door share."""

from __future__ import annotations

from contextlib import AbstractContextManager
from dataclasses import dataclass
from typing import Annotated, Protocol

import cappa

from gooseberryport_standins._process import Ready, print_ready_line, wait_for_stop
from gooseberryport_standins._server import App, RestartableServer, open_server


class Standin(App, Protocol):
    """A stand-in with one door for the system."""

    server: RestartableServer | None


@dataclass
class StandinCommand:
    """Run a stand-in.

    Parameters
    ----------
    host, port
        Where it listens.
    """

    host: Annotated[str, cappa.Arg(long=True)] = "127.0.0.1"
    port: Annotated[int, cappa.Arg(long=True)] = 0

    def open(self) -> AbstractContextManager[Standin]:
        """Return the stand-in's context; each command has its own."""
        raise NotImplementedError

    def __call__(self) -> None:
        """Run until SIGTERM, with a control path beside the door."""
        with self.open() as standin, open_server(standin, host=self.host) as control:
            assert standin.server is not None
            print_ready_line(Ready(standin.server.address, control.address))
            wait_for_stop()
