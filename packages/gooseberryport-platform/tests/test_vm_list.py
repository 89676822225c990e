import pytest
from returns.result import Result

from gooseberryport_core.events import ListedVm
from gooseberryport_core.types import VmState
from gooseberryport_platform.errors import ServiceError
from gooseberryport_platform.vm_list import VmListSettings, open_vm_list
from gooseberryport_standins._server import Exchange, open_server
from gooseberryport_standins.faults import Outage, VmListFaults
from gooseberryport_standins.vm_list import VmListEntry, open_vm_list_standin

LISTED = (
    VmListEntry("vm-1", "bern-a", "127.0.0.1:4001"),
    VmListEntry("vm-2", "bern-a", "127.0.0.1:4002", "leaving", 9),
)


@pytest.mark.parametrize(
    ("faults", "names"),
    [
        (VmListFaults(), ["vm-1", "vm-2"]),
        (VmListFaults(missing=("vm-1",)), ["vm-2"]),
        (VmListFaults(twice=("vm-2",)), ["vm-1", "vm-2", "vm-2"]),
    ],
)
def test_missing_and_duplicate_entries_are_returned_as_listed(
    faults: VmListFaults, names: list[str]
) -> None:
    with open_vm_list_standin() as standin:
        standin.set_vms(LISTED)
        standin.set_faults(faults)
        with open_vm_list(VmListSettings(standin.server.address)) as vms:
            entries = vms.read().unwrap()
    assert [entry.vm for entry in entries] == names
    assert entries[-1] == ListedVm("vm-2", "bern-a", VmState.LEAVING, "127.0.0.1:4002", 9)


def test_each_read_returns_the_list_that_the_service_serves_now() -> None:
    with (
        open_vm_list_standin() as standin,
        open_vm_list(VmListSettings(standin.server.address)) as vms,
    ):
        standin.set_faults(VmListFaults(frozen=True))
        standin.set_vms(LISTED)
        assert vms.read().unwrap() == ()
        standin.set_faults(VmListFaults())
        assert len(vms.read().unwrap()) == 2


@pytest.mark.parametrize("outage", [Outage.REFUSE, Outage.HANG, Outage.ERROR])
def test_outage_is_an_error_and_not_an_empty_list(outage: Outage) -> None:
    with open_vm_list_standin() as standin:
        standin.set_vms(LISTED)
        settings = VmListSettings(standin.server.address, timeout_s=0.2)
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
        open_server(FixedAnswer(body, sent_fraction)) as server,
        open_vm_list(VmListSettings(server.address)) as vms,
    ):
        return vms.read()


def test_invalid_entries_are_skipped() -> None:
    valid = b'{"targets":["10.0.0.1:1"],"labels":{"vm":"a","availability_zone":"z","x":"y"}}'
    host_name = b'{"targets":["host:1"],"labels":{"vm":"b"}}'
    unknown_state = b'{"targets":["10.0.0.2:1"],"labels":{"vm":"c","state":"resting"}}'
    entries = read_body(b"[" + b",".join([valid, host_name, unknown_state]) + b"]").unwrap()
    assert [entry.vm for entry in entries] == ["a"]


# Guards against one odd entry for which the whole list is no longer read.
@pytest.mark.parametrize(
    "odd",
    [
        b'{"targets":["10.0.0.2:1"],"labels":{"more":' + b"[" * 4096 + b"]" * 4096 + b"}}",
        b'{"targets":["10.0.0.2:1"],"labels":{"incarnation":"' + b"9" * 400 + b'"}}',
        b'{"targets":["10.0.0.2:1"],"labels":{"incarnation":' + b"9" * 400 + b"}}",
        b'{"targets":["10.0.0.2:70000"]}',
        b'{"targets":"10.0.0.2:1"}',
        b"17",
        b'"]"',
    ],
)
def test_one_odd_group_leaves_the_others(odd: bytes) -> None:
    groups = [b'{"targets":["10.0.0.1:1"]}', odd, b'{"targets":["10.0.0.3:1"]}']
    entries = read_body(b"[" + b",".join(groups) + b"]").unwrap()
    assert [entry.vm for entry in entries] == ["10.0.0.1:1", "10.0.0.3:1"]


def test_unknown_format_and_truncated_list_are_errors() -> None:
    assert "wire format" in str(read_body(b'{"vms": []}').failure())
    assert "IncompleteRead" in str(read_body(b"[]" + b" " * 500, 0.5).failure())
