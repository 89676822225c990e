import signal
import subprocess
import threading
from contextlib import suppress

import pytest
import urllib3

from gooseberryport_standins.caller import CallEnd, KeyKind, LoadPlan, Traffic
from gooseberryport_standins.daemons import DaemonPlan, start_daemon
from gooseberryport_standins.faults import UpstreamFaults
from gooseberryport_standins.local_cluster import LIMITS, SERVICE, LocalCluster, open_local_cluster
from gooseberryport_standins.upstream import RunEnd

SIGNAL_PERIOD_S = 0.005

MIXED = (
    Traffic(SERVICE, weight=2.0),
    Traffic(SERVICE, "POST", weight=1.0, key=KeyKind.ISSUED),
    Traffic(SERVICE, "POST", weight=1.0, key=KeyKind.OWN),
    Traffic(SERVICE, "POST", weight=1.0),
)


def wait_for_runs(trial: LocalCluster, number: int) -> None:
    """Wait until so many requests run at upstreams."""

    def run(_: object) -> bool:
        return sum(r.end == RunEnd.RUNNING for r in trial.fleet.runs()) >= number

    trial.first.wait_until(f"{number} requests run", run)


def test_killed_daemon_costs_no_word_and_no_second_run() -> None:
    with open_local_cluster(daemons=4, service_time_s=0.05) as trial:
        victim = trial.owner(0)
        killed = threading.Timer(1.5, victim.kill)
        killed.start()
        results = trial.load(LoadPlan(MIXED, rate=60.0, seconds=5.0, threads=32, seed=8))
        killed.join()
        trial.list_vms()
        assert trial.violations(results) == []
        assert sum(r.end == CallEnd.ANSWERED for r in results) > 0.7 * len(results)
        trial.daemons.pop(victim.plan.vm).close()
        trial.wait_until_pools_owned()
        assert trial.send_request(trial.first).status == 200


def test_killed_owner_leaves_its_slots_to_what_still_runs() -> None:
    with open_local_cluster(daemons=3, service_time_s=0.4) as trial:
        results = []
        plan = LoadPlan(MIXED, rate=40.0, seconds=4.0, threads=32, seed=9)
        load = threading.Thread(target=lambda: results.extend(trial.load(plan)))
        load.start()
        wait_for_runs(trial, 4)
        trial.owner(0).kill()
        trial.list_vms()
        load.join()
        assert trial.violations(results) == []


def test_graceful_stop_cuts_nothing_and_ends_with_0() -> None:
    with open_local_cluster(daemons=3, service_time_s=0.2) as trial:
        leaver = trial.owner(0)
        results = []
        plan = LoadPlan(MIXED, rate=30.0, seconds=4.0, threads=32, seed=10)
        load = threading.Thread(target=lambda: results.extend(trial.load(plan)))
        load.start()
        wait_for_runs(trial, 2)
        leaver.terminate()
        load.join()
        assert leaver.process.wait(LIMITS.lookup_max_age_s + 20.0) == 0
        assert trial.violations(results) == []
        assert {result.end for result in results} == {CallEnd.ANSWERED}


def test_signals_up_to_the_very_end_change_nothing() -> None:
    with open_local_cluster(daemons=1) as trial:
        process = trial.first.process
        while process.poll() is None:
            trial.first.terminate()
            with suppress(subprocess.TimeoutExpired):
                process.wait(SIGNAL_PERIOD_S)
        assert process.returncode == 0


def test_paused_owner_wakes_up_fenced() -> None:
    with open_local_cluster(daemons=3, service_time_s=0.05) as trial:
        sleeper = trial.owner(0)
        pool_zone = sleeper.plan.availability_zone
        sleeper.process.send_signal(signal.SIGSTOP)
        others = [daemon for daemon in trial.daemons.values() if daemon is not sleeper]

        def taken_over(daemon: object) -> bool:
            pools = others[0].status().pools
            return all(p.owner != sleeper.plan.vm for p in pools if p.zone == pool_zone)

        others[0].wait_until("the sleeper's pool has another owner", taken_over)
        sleeper.process.send_signal(signal.SIGCONT)
        results = trial.load(LoadPlan(MIXED, rate=60.0, seconds=2.0, threads=32, seed=11))
        assert trial.violations(results) == []
        assert sum(r.end == CallEnd.ANSWERED for r in results) > 0.9 * len(results)


def test_caller_that_goes_frees_the_slot(trial: LocalCluster) -> None:
    headers = {"X-Request-Id": "leaver", "Request-Timeout": "20"}
    for upstream in trial.fleet.upstreams.values():
        upstream.set_faults(UpstreamFaults(slowdown=3_000.0))
    with pytest.raises(urllib3.exceptions.HTTPError):
        trial.send_request(trial.first, "POST", headers=headers, timeout_s=0.5)

    def cancelled(_: object) -> bool:
        runs = [run for run in trial.fleet.runs() if run.request_id == "leaver"]
        return bool(runs) and all(run.end == RunEnd.CANCELLED for run in runs)

    trial.first.wait_until("the upstream's work was cancelled", cancelled, seconds=5.0)


def ended(plan: DaemonPlan) -> tuple[int, str]:
    """Return the exit code and the words of a daemon that cannot start."""
    daemon = start_daemon(plan)
    code = daemon.process.wait(20.0)
    daemon.close()
    return code, "\n".join(daemon.log)


def test_daemon_that_cannot_start_says_why(trial: LocalCluster) -> None:
    taken = trial.first.http
    code, words = ended(trial.plan("vm-7", http_listen=taken))
    assert (code, taken in words, "free port" in words) == (1, True, True)
    code, words = ended(trial.plan("vm-8", tick_s=-1))
    assert (code, "tick_s" in words) == (2, True)
