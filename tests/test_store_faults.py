import threading
import time

import msgspec
import pytest

from gooseberryport_standins.caller import CallEnd, KeyKind, LoadPlan, Traffic
from gooseberryport_standins.daemons import Daemon
from gooseberryport_standins.faults import Outage, StoreFaults
from gooseberryport_standins.local_cluster import LIMITS, SERVICE, LocalCluster, open_local_cluster

OUTAGE_S = 1.5 * LIMITS.lease_s

NO_STORE_NEEDED = (
    Traffic(SERVICE, weight=3.0),
    Traffic(SERVICE, "POST", weight=2.0, key=KeyKind.ISSUED, body_bytes=500),
)
OWN_KEYS = (Traffic(SERVICE, "POST", key=KeyKind.OWN, body_bytes=500),)


@pytest.mark.parametrize(
    "faults",
    [
        StoreFaults(outage=Outage.REFUSE),
        StoreFaults(outage=Outage.HANG),
        StoreFaults(outage=Outage.ERROR),
        StoreFaults(delay_s=0.3),
        StoreFaults(lose_answers=12, late_writes=12, late_s=0.3),
    ],
)
def test_requests_are_answered_during_store_faults_longer_than_a_lease(
    trial: LocalCluster, faults: StoreFaults
) -> None:
    trial.store.set_faults(faults)
    plan = LoadPlan(NO_STORE_NEEDED, rate=40.0, seconds=OUTAGE_S, threads=16, seed=5)
    results = trial.load(plan)
    assert trial.violations(results) == []
    assert {result.end for result in results} == {CallEnd.ANSWERED}


@pytest.mark.parametrize(
    "faults",
    [
        StoreFaults(outage=Outage.HANG),
        StoreFaults(lose_answers=30, late_writes=30, late_s=0.1, key_prefix="claim"),
    ],
)
def test_requests_with_callers_own_keys_never_run_twice(
    trial: LocalCluster, faults: StoreFaults
) -> None:
    trial.store.set_faults(faults)
    results = trial.load(LoadPlan(OWN_KEYS, rate=30.0, seconds=1.5, threads=16, seed=6))
    assert trial.violations(results) == []


def test_same_key_through_two_daemons_runs_once(trial: LocalCluster) -> None:
    statuses: list[int] = []
    daemons = list(trial.daemons.values())[:2]
    key = f"twice-{time.monotonic_ns()}"

    def send(number: int) -> None:
        headers = {"Idempotency-Key": key, "X-Request-Id": key}
        resp = trial.send_request(daemons[number], "POST", headers=headers, body=b"order")
        statuses.append(resp.status)

    threads = [threading.Thread(target=send, args=(number,)) for number in range(2)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert sorted(statuses) == [200, 409]
    assert sum(run.request_id == key for run in trial.fleet.runs()) == 1


def test_daemon_starts_without_the_store() -> None:
    with open_local_cluster(daemons=2) as trial:

        def is_serving(daemon: Daemon) -> bool:
            return daemon.is_ready() and trial.send_request(daemon).status == 200

        trial.store.set_faults(StoreFaults(outage=Outage.REFUSE))
        late_daemon = trial.add_daemon(
            "vm-2", peers=[daemon.peer for daemon in trial.daemons.values()]
        )
        late_daemon.wait_until("it serves with the state received from its peers", is_serving)

        isolated_daemon = trial.add_daemon(
            "vm-3", listed=False, vm_list={"address": trial.first.http}
        )
        page = isolated_daemon.get("/readyz")
        waits_for = msgspec.json.decode(page.data)["waits_for"]
        assert page.status == 503 and isolated_daemon.plan.store.address in waits_for[0]
        assert trial.send_request(isolated_daemon).status == 503
        trial.store.set_faults(StoreFaults())
        isolated_daemon.wait_until(
            "it is ready once the store answers", lambda daemon: daemon.is_ready()
        )
