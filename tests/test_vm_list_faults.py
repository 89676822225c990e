import pytest

from gooseberryport_standins.caller import End, LoadPlan, Traffic
from gooseberryport_standins.faults import Outage, VmListFaults
from gooseberryport_standins.trial import SERVICE, Trial
from gooseberryport_standins.vm_list import VmLine

PLAN = LoadPlan((Traffic(SERVICE),), rate=30.0, seconds=1.5, threads=16, seed=7)
UNREACHABLE_VM = VmLine("vm-99", "bern-a", "127.0.0.1:9")


@pytest.mark.parametrize(
    "faults",
    [
        VmListFaults(missing=("vm-0", "vm-1")),
        VmListFaults(twice=("vm-0", "vm-1", "vm-2")),
        VmListFaults(outage=Outage.REFUSE),
        VmListFaults(outage=Outage.HANG),
    ],
)
def test_faulty_vm_list_loses_no_answer(trial: Trial, faults: VmListFaults) -> None:
    trial.vms.set_faults(faults)
    results = trial.load(PLAN)
    assert trial.violations(results) == []
    assert {result.end for result in results} == {End.ANSWERED}


def test_unreachable_listed_vm_gets_no_requests(trial: Trial) -> None:
    trial.vms.set_vms((*(daemon.line for daemon in trial.daemons.values()), UNREACHABLE_VM))
    results = trial.load(PLAN)
    trial.list_vms()
    assert {result.end for result in results} == {End.ANSWERED}
    assert all(result.copies == 1 for result in results)
