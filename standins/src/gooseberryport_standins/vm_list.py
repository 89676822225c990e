"""Stand-in for the platform's VM list, in the format of Prometheus's HTTP service discovery."""

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
MAX_HANG_S = 3_600.0


class VmListEntry(msgspec.Struct, frozen=True):
    """A VM in the list: its name, availability zone, state and ``IP:port``."""

    vm: str
    availability_zone: str
    address: str
    state: str = "live"
    incarnation: int = 0


class _Labels(msgspec.Struct, frozen=True):
    """Labels of a target group."""

    vm: str
    availability_zone: str
    state: str
    incarnation: str


class _Group(msgspec.Struct, frozen=True):
    """A target group, as the list encodes it."""

    targets: list[str]
    labels: _Labels


class VmListStandin:
    """Answers requests as the platform's VM list would, with injected faults."""

    def __init__(self) -> None:
        self.reads = 0
        self.server: RestartableServer | None = None
        self._vms: tuple[VmListEntry, ...] = ()
        self._served: tuple[VmListEntry, ...] = ()
        self._faults = VmListFaults()

    def set_vms(self, vms: tuple[VmListEntry, ...]) -> None:
        """Set the true list, which is served unless the list is frozen."""
        self._vms = vms
        if not self._faults.frozen:
            self._served = vms

    def set_faults(self, faults: VmListFaults) -> None:
        """Replace the injected faults by these."""
        self._faults = faults
        if not faults.frozen:
            self._served = self._vms
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
            exchange.wait_for_disconnect(MAX_HANG_S)
            exchange.drop_connection()
        elif self._faults.outage == Outage.ERROR:
            exchange.answer(503, b"out of order")
        else:
            self.reads += 1
            exchange.answer_json(self._groups())

    def _groups(self) -> list[_Group]:
        faults = self._faults
        entries = [entry for entry in self._served if entry.vm not in faults.missing]
        entries += [entry for entry in entries if entry.vm in faults.twice]
        return [_group(entry) for entry in entries]


def _group(entry: VmListEntry) -> _Group:
    labels = _Labels(entry.vm, entry.availability_zone, entry.state, str(entry.incarnation))
    return _Group([entry.address], labels)


@contextmanager
def open_vm_list_standin(*, host: str = "127.0.0.1", port: int = 0) -> Iterator[VmListStandin]:
    """Run the stand-in in this process; its address is ``standin.server.address``."""
    standin = VmListStandin()
    with open_server(standin, host=host, port=port) as server:
        standin.server = server
        yield standin


@dataclass
class VmListCommand(StandinCommand):
    """Run the stand-in for the VM list."""

    def open(self) -> AbstractContextManager[Standin]:
        """Return the context manager that runs the stand-in."""
        return open_vm_list_standin(host=self.host, port=self.port)


if __name__ == "__main__":
    cappa.invoke(VmListCommand)
