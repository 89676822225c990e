import threading
from collections.abc import Iterator
from contextlib import contextmanager

import pytest
import urllib3
from urllib3.exceptions import HTTPError

from gooseberryport_standins._process import run_standin
from gooseberryport_standins.faults import UpstreamFaults
from gooseberryport_standins.upstream import (
    Distribution,
    RunEnd,
    UpstreamSpec,
    UpstreamStandin,
    open_fleet,
)

NAME = "reg-1"
FAST = UpstreamSpec(NAME, slots=1, service_time_s=0.001, spread=Distribution.FIXED)
ENDLESS = UpstreamSpec(NAME, slots=1, service_time_s=60.0, spread=Distribution.FIXED)


@contextmanager
def upstream(spec: UpstreamSpec) -> Iterator[UpstreamStandin]:
    with open_fleet((spec,)) as fleet:
        yield fleet.upstreams[NAME]


def send_request(
    standin: UpstreamStandin, request_id: str = "r1", timeout_s: float = 5.0, **headers: str
) -> urllib3.BaseHTTPResponse:
    return urllib3.request(
        "POST",
        f"http://{standin.address}/x",
        headers={"X-Request-Id": request_id, **headers},
        timeout=timeout_s,
        retries=False,
    )


def send_request_expecting_failure(standin: UpstreamStandin) -> None:
    with pytest.raises(HTTPError):
        send_request(standin)


def wait_for(standin: UpstreamStandin, end: RunEnd) -> None:
    changed = threading.Event()
    for _ in range(500):
        if standin.runs() and standin.runs()[-1].end == end:
            return
        changed.wait(0.01)
    pytest.fail(f"no run ended as {end}")


def test_answer_carries_the_request_id_and_the_run_is_recorded() -> None:
    with upstream(FAST) as standin:
        resp = send_request(standin, "r7", **{"Idempotency-Key": "k"})
        assert resp.data.startswith(f"r7 {NAME} ".encode())
        assert len(resp.data) == FAST.answer_bytes
        run = standin.runs()[0]
        assert (run.request_id, run.key, run.method, run.end) == ("r7", "k", "POST", RunEnd.DONE)


def test_request_over_the_slots_is_shed_and_counted() -> None:
    with upstream(ENDLESS) as standin:
        first = threading.Thread(target=send_request_expecting_failure, args=(standin,))
        first.start()
        wait_for(standin, RunEnd.RUNNING)
        resp = send_request(standin, "r2")
        assert (resp.status, resp.headers["X-Not-Run"]) == (503, "1")
        stats = standin.stats()
        assert (stats.over_slots, stats.most_at_once, stats.ran) == (1, 1, 1)
        standin.server.close()
        first.join()


def test_request_is_stopped_when_its_connection_closes_or_its_deadline_passes() -> None:
    with upstream(ENDLESS) as standin:
        with pytest.raises(HTTPError):
            send_request(standin, timeout_s=0.05)
        wait_for(standin, RunEnd.CANCELLED)
        assert send_request(standin, **{"Request-Timeout": "0.02"}).status == 504
        assert standin.runs()[-1].end == RunEnd.LATE


@pytest.mark.parametrize(
    ("faults", "ran"),
    [
        (UpstreamFaults(cut=True), 1),
        (UpstreamFaults(half_answer=True), 1),
        (UpstreamFaults(cut_unread=True), 0),
    ],
)
def test_injected_faults_break_every_answer(faults: UpstreamFaults, ran: int) -> None:
    with upstream(FAST) as standin:
        standin.set_faults(faults)
        with pytest.raises(HTTPError):
            send_request(standin)
        assert standin.stats().ran == ran


def test_cold_start_slows_only_the_first_runs() -> None:
    spec = UpstreamSpec(
        NAME, service_time_s=0.01, spread=Distribution.FIXED, cold_runs=2, cold_factor=11.0
    )
    standin = UpstreamStandin(spec)
    draws = []
    for ran in range(4):
        standin._stats.ran = ran
        draws.append(round(standin._draw_service_time_s(), 6))
    assert draws == [0.11, 0.06, 0.01, 0.01]


def test_process_serves_until_it_is_stopped() -> None:
    def status(method: str, address: str, path: str, body: bytes = b"") -> int:
        url = f"http://{address}{path}"
        return urllib3.request(method, url, body=body, retries=False).status

    with run_standin("upstream", "--specs", '[{"name":"a"},{"name":"b"}]') as ready:
        assert sorted(ready.addresses) == ["a", "b"]
        shed = status("PUT", ready.control, "/_faults?upstream=b", b'{"shed":true}')
        statuses = [status("GET", ready.addresses[name], "/x") for name in "ab"]
        assert [shed, *statuses] == [200, 200, 503]
