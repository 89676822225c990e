import pytest
from returns.result import Result

from gooseberryport_core.events import ListedVm
from gooseberryport_core.types import VmState
from gooseberryport_platform.errors import ServiceError
from gooseberryport_platform.vm_list import VmListSettings, open_vm_list
from gooseberryport_standins._server import Exchange, open_door
from gooseberryport_standins.faults import Outage, VmListFaults
from gooseberryport_standins.vm_list import VmLine, open_vm_list_standin

LINES = (
    VmLine("vm-1", "bern-a", "127.0.0.1:4001"),
    VmLine("vm-2", "bern-a", "127.0.0.1:4002", "leaving", 9),
)


@pytest.mark.parametrize(
    ("faults", "names"),
    [
        (VmListFaults(), ["vm-1", "vm-2"]),
        (VmListFaults(missing=("vm-1",)), ["vm-2"]),
        (VmListFaults(twice=("vm-2",)), ["vm-1", "vm-2", "vm-2"]),
    ],
)
def test_list_is_read_as_the_platform_shows_it(faults: VmListFaults, names: list[str]) -> None:
    with open_vm_list_standin() as standin:
        standin.set_vms(LINES)
        standin.set_faults(faults)
        with open_vm_list(VmListSettings(standin.door.address)) as vms:
            lines = vms.read().unwrap()
    assert [line.vm for line in lines] == names
    assert lines[-1] == ListedVm("vm-2", "bern-a", VmState.LEAVING, "127.0.0.1:4002", 9)


def test_frozen_list_stays_and_catches_up() -> None:
    with (
        open_vm_list_standin() as standin,
        open_vm_list(VmListSettings(standin.door.address)) as vms,
    ):
        standin.set_faults(VmListFaults(frozen=True))
        standin.set_vms(LINES)
        assert vms.read().unwrap() == ()
        standin.set_faults(VmListFaults())
        assert len(vms.read().unwrap()) == 2


@pytest.mark.parametrize("outage", [Outage.REFUSE, Outage.HANG, Outage.ERROR])
def test_outage_is_an_error_and_never_an_empty_list(outage: Outage) -> None:
    with open_vm_list_standin() as standin:
        standin.set_vms(LINES)
        settings = VmListSettings(standin.door.address, timeout_s=0.2)
        with open_vm_list(settings) as vms:
            standin.set_faults(VmListFaults(outage=outage))
            assert settings.address in str(vms.read().failure())


class FixedAnswer:
    """Sends the same body to every request."""

    def __init__(self, body: bytes, sent_fraction: float = 1.0) -> None:
        self.body, self.sent_fraction = body, sent_fraction

    def serve(self, exchange: Exchange) -> None:
        exchange.answer(200, self.body, sent_fraction=self.sent_fraction)


def read_body(
    body: bytes, sent_fraction: float = 1.0
) -> Result[tuple[ListedVm, ...], ServiceError]:
    with (
        open_door(FixedAnswer(body, sent_fraction)) as door,
        open_vm_list(VmListSettings(door.address)) as vms,
    ):
        return vms.read()


def test_unusable_lines_are_left_out() -> None:
    good = b'{"targets":["10.0.0.1:1"],"labels":{"vm":"a","availability_zone":"z","x":"y"}}'
    named = b'{"targets":["host:1"],"labels":{"vm":"b"}}'
    odd = b'{"targets":["10.0.0.2:1"],"labels":{"vm":"c","state":"resting"}}'
    lines = read_body(b"[" + b",".join([good, named, odd]) + b"]").unwrap()
    assert [line.vm for line in lines] == ["a"]


def test_foreign_form_and_half_a_list_are_errors() -> None:
    assert "wire form" in str(read_body(b'{"vms": []}').failure())
    assert "IncompleteRead" in str(read_body(b"[]" + b" " * 500, 0.5).failure())
