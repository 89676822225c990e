import pytest

from gooseberryport_standins.caller import CallEnd, LoadPlan, Traffic
from gooseberryport_standins.faults import Outage, VmListFaults
from gooseberryport_standins.local_cluster import SERVICE, LocalCluster
from gooseberryport_standins.vm_list import VmListEntry

PLAN = LoadPlan((Traffic(SERVICE),), rate=30.0, seconds=1.5, threads=16, seed=7)
UNREACHABLE_VM = VmListEntry("vm-99", "bern-a", "127.0.0.1:9")


@pytest.mark.parametrize(
    "faults",
    [
        VmListFaults(missing=("vm-0", "vm-1")),
        VmListFaults(twice=("vm-0", "vm-1", "vm-2")),
        VmListFaults(outage=Outage.REFUSE),
        VmListFaults(outage=Outage.HANG),
    ],
)
def test_faulty_vm_list_loses_no_answer(trial: LocalCluster, faults: VmListFaults) -> None:
    trial.vms.set_faults(faults)
    results = trial.load(PLAN)
    assert trial.violations(results) == []
    assert {result.end for result in results} == {CallEnd.ANSWERED}


def test_unreachable_listed_vm_gets_no_requests(trial: LocalCluster) -> None:
    trial.vms.set_vms(
        (*(daemon.vm_list_entry for daemon in trial.daemons.values()), UNREACHABLE_VM)
    )
    results = trial.load(PLAN)
    trial.list_vms()
    assert {result.end for result in results} == {CallEnd.ANSWERED}
    assert all(result.send_count == 1 for result in results)
