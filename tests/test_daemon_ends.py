import json
import signal
import subprocess
import sys
import threading
import time
from contextlib import suppress
from pathlib import Path

import pytest
import urllib3

from gooseberryport_standins.caller import CallEnd, KeyKind, LoadPlan, Traffic
from gooseberryport_standins.daemons import BINARY, SETTINGS_PATH, DaemonPlan, start_daemon
from gooseberryport_standins.faults import UpstreamFaults
from gooseberryport_standins.local_cluster import LIMITS, SERVICE, LocalCluster, open_local_cluster
from gooseberryport_standins.upstream import RunEnd

SIGNAL_INTERVAL_S = 0.005

MIXED = (
    Traffic(SERVICE, weight=2.0),
    Traffic(SERVICE, "POST", weight=1.0, key=KeyKind.ISSUED),
    Traffic(SERVICE, "POST", weight=1.0, key=KeyKind.OWN),
    Traffic(SERVICE, "POST", weight=1.0),
)


def wait_for_runs(trial: LocalCluster, number: int) -> None:
    """Wait until at least `number` requests run at upstreams."""

    def enough_running(_: object) -> bool:
        return sum(r.end == RunEnd.RUNNING for r in trial.fleet.runs()) >= number

    trial.first.wait_until(f"{number} requests run", enough_running)


def test_killed_daemon_leaves_no_request_unreported_or_run_twice() -> None:
    with open_local_cluster(daemons=4, service_time_s=0.05) as trial:
        killed_owner = trial.owner(0)
        kill_timer = threading.Timer(1.5, killed_owner.kill)
        kill_timer.start()
        results = trial.load(LoadPlan(MIXED, rate=60.0, seconds=5.0, threads=32, seed=8))
        kill_timer.join()
        trial.list_vms()
        assert trial.violations(results) == []
        assert sum(r.end == CallEnd.ANSWERED for r in results) > 0.7 * len(results)
        trial.daemons.pop(killed_owner.plan.vm).close()
        trial.wait_until_pools_owned()
        assert trial.send_request(trial.first).status == 200


def test_running_requests_keep_their_slots_when_the_owner_is_killed() -> None:
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


def test_graceful_stop_completes_all_requests_and_exits_with_0() -> None:
    with open_local_cluster(daemons=3, service_time_s=0.2) as trial:
        stopping_daemon = trial.owner(0)
        results = []
        plan = LoadPlan(MIXED, rate=30.0, seconds=4.0, threads=32, seed=10)
        load = threading.Thread(target=lambda: results.extend(trial.load(plan)))
        load.start()
        wait_for_runs(trial, 2)
        stopping_daemon.terminate()
        load.join()
        assert stopping_daemon.process.wait(LIMITS.lookup_max_age_s + 20.0) == 0
        assert trial.violations(results) == []
        assert {result.end for result in results} == {CallEnd.ANSWERED}


def test_repeated_stop_signals_until_exit_keep_exit_code_0() -> None:
    with open_local_cluster(daemons=1) as trial:
        process = trial.first.process
        while process.poll() is None:
            trial.first.terminate()
            with suppress(subprocess.TimeoutExpired):
                process.wait(SIGNAL_INTERVAL_S)
        assert process.returncode == 0


def test_hang_up_ends_no_request() -> None:
    # Failure: a lost terminal, or a request to reload, ends the process with all requests.
    with open_local_cluster(daemons=1) as trial:
        trial.first.process.send_signal(signal.SIGHUP)
        with pytest.raises(subprocess.TimeoutExpired):
            trial.first.process.wait(1.0)
        assert trial.send_request(trial.first, "POST").status == 200


def test_paused_owner_is_fenced_when_it_resumes() -> None:
    with open_local_cluster(daemons=3, service_time_s=0.05) as trial:
        paused_owner = trial.owner(0)
        pool_zone = paused_owner.plan.availability_zone
        paused_owner.process.send_signal(signal.SIGSTOP)
        others = [daemon for daemon in trial.daemons.values() if daemon is not paused_owner]

        def taken_over(daemon: object) -> bool:
            pools = others[0].status().pools
            return all(p.owner != paused_owner.plan.vm for p in pools if p.zone == pool_zone)

        others[0].wait_until("the pools of the paused owner have another owner", taken_over)
        paused_owner.process.send_signal(signal.SIGCONT)
        results = trial.load(LoadPlan(MIXED, rate=60.0, seconds=2.0, threads=32, seed=11))
        assert trial.violations(results) == []
        assert sum(r.end == CallEnd.ANSWERED for r in results) > 0.9 * len(results)


def test_request_is_cancelled_when_its_caller_disconnects(trial: LocalCluster) -> None:
    headers = {"X-Request-Id": "leaver", "Request-Timeout": "20"}
    for upstream in trial.fleet.upstreams.values():
        upstream.set_faults(UpstreamFaults(slowdown=3_000.0))
    with pytest.raises(urllib3.exceptions.HTTPError):
        trial.send_request(trial.first, "POST", headers=headers, timeout_s=0.5)

    def cancelled(_: object) -> bool:
        runs = [run for run in trial.fleet.runs() if run.request_id == "leaver"]
        return bool(runs) and all(run.end == RunEnd.CANCELLED for run in runs)

    trial.first.wait_until("the upstream cancelled the request", cancelled, seconds=5.0)


def run_until_exit(plan: DaemonPlan) -> tuple[int, str]:
    """Return the exit code and the output of a daemon that cannot start."""
    daemon = start_daemon(plan)
    code = daemon.process.wait(20.0)
    daemon.close()
    return code, "\n".join(daemon.log)


def test_daemon_that_cannot_start_reports_the_reason(trial: LocalCluster) -> None:
    used_address = trial.first.http
    code, output = run_until_exit(trial.plan("vm-7", http_listen=used_address))
    assert (code, used_address in output, "free port" in output) == (1, True, True)
    code, output = run_until_exit(trial.plan("vm-8", tick_s=-1))
    assert (code, "tick_s" in output) == (2, True)


# Guards against a daemon that fails because nobody reads its output any more.
def test_a_daemon_serves_and_stops_when_the_readers_of_its_output_go_away() -> None:
    with open_local_cluster(daemons=1) as trial:
        command = [str(Path(sys.executable).with_name(BINARY)), SETTINGS_PATH]
        streams = {"stdin": subprocess.PIPE, "stdout": subprocess.PIPE, "stderr": subprocess.PIPE}
        with subprocess.Popen(command, **streams) as process:
            process.stdin.write(trial.plan("vm-7").encoded())
            process.stdin.close()
            address = json.loads(process.stdout.readline())["ready"]["http"]
            process.stdout.close()
            process.stderr.close()
            url = f"http://{address}/healthz"
            for _ in range(20):
                assert urllib3.request("GET", url, retries=False).status == 200
                time.sleep(0.05)
            assert process.poll() is None
            process.terminate()
            assert process.wait(LIMITS.lookup_max_age_s + 20.0) == 0
