import sys
from collections.abc import Iterator
from pathlib import Path

import pytest

sys.path.insert(0, str(Path(__file__).parents[1] / "platform"))
sys.path.insert(0, str(Path(__file__).parent))

from gooseberryport_standins.faults import StoreFaults, UpstreamFaults, VmListFaults
from gooseberryport_standins.local_cluster import LocalCluster, open_local_cluster


@pytest.fixture(scope="session")
def shared_trial() -> Iterator[LocalCluster]:
    with open_local_cluster(daemons=3) as trial:
        yield trial


@pytest.fixture
def trial(shared_trial: LocalCluster) -> Iterator[LocalCluster]:
    """Yield a deployment shared by tests, which may set faults but must not stop daemons."""
    yield shared_trial
    shared_trial.store.set_faults(StoreFaults())
    shared_trial.vms.set_faults(VmListFaults())
    for upstream in shared_trial.fleet.upstreams.values():
        upstream.set_faults(UpstreamFaults())
    shared_trial.wait_until_pools_owned()
