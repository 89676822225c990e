"""Stand-in of the platform's VM list, in the form of Prometheus's HTTP service discovery."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import AbstractContextManager, contextmanager
from dataclasses import dataclass

import cappa
import msgspec

from gooseberryport_standins._command import Standin, StandinCommand
from gooseberryport_standins._server import Exchange, RestartableServer, open_server
from gooseberryport_standins.faults import FAULTS_PATH, Outage, VmListFaults

LIST_PATH = "/vms"
VMS_PATH = "/_vms"
HANG_S = 3_600.0


class VmListEntry(msgspec.Struct, frozen=True):
    """One VM of the list: its name, place, state and ``IP:port``."""

    vm: str
    availability_zone: str
    address: str
    state: str = "live"
    incarnation: int = 0


class _Labels(msgspec.Struct, frozen=True):
    """Labels of a group of targets."""

    vm: str
    availability_zone: str
    state: str
    incarnation: str


class _Group(msgspec.Struct, frozen=True):
    """A group of targets in the list's form."""

    targets: list[str]
    labels: _Labels


class VmListStandin:
    """Answer as the platform's VM list would, with faults on demand."""

    def __init__(self) -> None:
        self.reads = 0
        self.server: RestartableServer | None = None
        self._vms: tuple[VmListEntry, ...] = ()
        self._shown: tuple[VmListEntry, ...] = ()
        self._faults = VmListFaults()

    def set_vms(self, vms: tuple[VmListEntry, ...]) -> None:
        """Set the true list; it is shown unless the list is frozen."""
        self._vms = vms
        if not self._faults.frozen:
            self._shown = vms

    def set_faults(self, faults: VmListFaults) -> None:
        """Show these faults, and no others, from now on."""
        self._faults = faults
        if not faults.frozen:
            self._shown = self._vms
        if self.server is None:
            return
        if faults.outage == Outage.REFUSE:
            self.server.close()
        else:
            self.server.open()

    def serve(self, exchange: Exchange) -> None:
        """Answer one request."""
        if exchange.target == FAULTS_PATH:
            self.set_faults(msgspec.json.decode(exchange.body, type=VmListFaults))
            exchange.answer(200)
        elif exchange.target == VMS_PATH and exchange.command == "PUT":
            self.set_vms(msgspec.json.decode(exchange.body, type=tuple[VmListEntry, ...]))
            exchange.answer(200)
        elif exchange.target == VMS_PATH:
            exchange.answer_json(list(self._vms))
        elif exchange.target != LIST_PATH:
            exchange.answer(404)
        elif self._faults.outage == Outage.HANG:
            exchange.wait_for_disconnect(HANG_S)
            exchange.drop_connection()
        elif self._faults.outage == Outage.ERROR:
            exchange.answer(503, b"out of order")
        else:
            self.reads += 1
            exchange.answer_json(self._groups())

    def _groups(self) -> list[_Group]:
        faults = self._faults
        lines = [line for line in self._shown if line.vm not in faults.missing]
        lines += [line for line in lines if line.vm in faults.twice]
        return [_group(line) for line in lines]


def _group(line: VmListEntry) -> _Group:
    labels = _Labels(line.vm, line.availability_zone, line.state, str(line.incarnation))
    return _Group([line.address], labels)


@contextmanager
def open_vm_list_standin(*, host: str = "127.0.0.1", port: int = 0) -> Iterator[VmListStandin]:
    """Run the stand-in in this process; its address is ``standin.server.address``."""
    standin = VmListStandin()
    with open_server(standin, host=host, port=port) as server:
        standin.server = server
        yield standin


@dataclass
class VmListCommand(StandinCommand):
    """Run the stand-in of the VM list."""

    def open(self) -> AbstractContextManager[Standin]:
        """Return the stand-in's context."""
        return open_vm_list_standin(host=self.host, port=self.port)


if __name__ == "__main__":
    cappa.invoke(VmListCommand)
