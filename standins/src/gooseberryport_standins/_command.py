"""The command line that stand-ins with one door share."""

from __future__ import annotations

from contextlib import AbstractContextManager
from dataclasses import dataclass
from typing import Annotated, Protocol

import cappa

from gooseberryport_standins._process import Ready, announce, wait_for_stop
from gooseberryport_standins._server import App, Door, open_door


class Standin(App, Protocol):
    """A stand-in with one door for the system."""

    door: Door | None


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
        with self.open() as standin, open_door(standin, host=self.host) as control:
            assert standin.door is not None
            announce(Ready(standin.door.address, control.address))
            wait_for_stop()
