import http.client
import json
import socket
import time
from concurrent.futures import ThreadPoolExecutor

import pytest
from daemon_harness import (
    WAIT_TIMEOUT_S,
    ZONES,
    DaemonThread,
    Deployment,
    call,
    make_config,
    wait_until,
)

from gooseberryport_daemon import _http_server
from gooseberryport_standins.faults import UpstreamFaults
from gooseberryport_standins.unreachable import drop_received
from gooseberryport_standins.upstream import UpstreamSpec

PATH = "/dressing-registry/x"
LARGE = 6_000_000


def start_entry(
    deployment: Deployment, spec: UpstreamSpec, **service_fields: object
) -> DaemonThread:
    """Start an owner of the upstream's pool and return a second daemon, which owns no pool."""
    deployment.start_upstreams(spec)
    deployment.publish(make_config(deployment.fleet, **service_fields))
    owner = deployment.start_daemon(deployment.settings("vm-1"))
    wait_until(owner.owns_upstreams)
    entry = deployment.start_daemon(deployment.settings("vm-2", ZONES[1], peers=(owner.peer,)))
    wait_until(lambda: call(entry.http, PATH).status == 200)
    assert not entry.owns_upstreams()
    return entry


def test_credentials_of_callers_are_read_on_no_page_and_in_no_log(deployment: Deployment) -> None:
    # Failure: whoever may open a page reads what another caller sent to an upstream.
    secret = "planted-secret"
    entry = start_entry(deployment, UpstreamSpec("up-1", service_time_s=0.01))
    headers = {"Authorization": f"Bearer {secret}", "Cookie": secret, "X-Api-Key": secret}
    assert call(entry.http, PATH, headers=headers).status == 200
    assert call(entry.http, "/no-service/x", headers=headers).status == 404
    assert call(entry.http, PATH, headers=headers | {"Request-Timeout": secret}).status == 400
    pages = ["/healthz", "/readyz", "/status", "/explain", "/v1", "/v1/snapshot", "/metrics", "/"]
    query = "?service=dressing-registry&client=10.0.0.1"
    for path in (*pages, f"/explain{query}", f"/v1/lookup{query}"):
        for method in ("GET", "POST"):
            reply = call(entry.http, path, method, headers=headers)
            assert secret.encode() not in reply.body, path
            assert secret not in str(reply.headers), path
    assert entry.logs
    assert secret not in repr(entry.logs)


def test_requests_of_any_size_are_forwarded_to_the_owner(deployment: Deployment) -> None:
    entry = start_entry(deployment, UpstreamSpec("up-1", service_time_s=0.01))
    for method, body in (("GET", b""), ("POST", b"x" * 1_000), ("POST", b"y" * 300_000)):
        assert call(entry.http, PATH, method, body or None).status == 200


def test_large_forwarded_answer_is_complete_or_visibly_truncated(deployment: Deployment) -> None:
    spec = UpstreamSpec("up-1", service_time_s=0.01, answer_bytes=LARGE)
    entry = start_entry(deployment, spec)
    assert len(call(entry.http, PATH).body) == LARGE
    deployment.fleet.upstreams["up-1"].set_faults(UpstreamFaults(half_answer=True))
    conn = http.client.HTTPConnection(entry.http, timeout=WAIT_TIMEOUT_S)
    conn.request("GET", PATH)
    with pytest.raises((http.client.IncompleteRead, ConnectionError)):
        conn.getresponse().read()
    conn.close()


def test_disconnected_caller_is_cancelled_at_the_owners_upstream(deployment: Deployment) -> None:
    spec = UpstreamSpec("up-1", service_time_s=0.01)
    entry = start_entry(deployment, spec, default_timeout_s=25.0, max_attempt_s=25.0)
    deployment.fleet.upstreams["up-1"].set_faults(UpstreamFaults(slowdown=100_000.0))
    ran = deployment.fleet.stats()[0].ran
    host, _, port = entry.http.rpartition(":")
    with socket.create_connection((host, int(port)), WAIT_TIMEOUT_S) as conn:
        conn.sendall(f"POST {PATH} HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n".encode())
        wait_until(lambda: deployment.fleet.stats()[0].ran == ran + 1)
    wait_until(lambda: deployment.fleet.stats()[0].cancelled == 1)


def test_lost_heartbeats_of_the_owner_end_no_request_at_work(deployment: Deployment) -> None:
    # Failure: lost datagrams end a request on a stream that is alive.
    runs: list[bytes] = []

    def serve(conn: socket.socket, request: bytes) -> None:
        if request.startswith(b"GET /load "):
            return
        runs.append(request)
        time.sleep(2.5 if len(runs) == 1 else WAIT_TIMEOUT_S)
        conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

    upstream = deployment.start_raw_upstream(serve)
    owner = deployment.start_daemon_for(upstream, default_timeout_s=6.0, max_attempt_s=6.0)
    entry = deployment.start_daemon(deployment.settings("vm-2", ZONES[1], peers=(owner.peer,)))
    lookup = f"/v1/lookup?service={PATH.split('/')[1]}&client=10.0.0.1"
    wait_until(lambda: len(json.loads(call(entry.http, lookup).body)) == 2)
    with ThreadPoolExecutor(1) as executor:
        reply = executor.submit(call, entry.http, PATH)
        wait_until(lambda: bool(runs))
        drop_received(entry.running.driver.datagrams._transport.get_extra_info("socket"))
        assert reply.result(WAIT_TIMEOUT_S).status == 200
    assert len(runs) == 2


def test_answer_in_progress_is_written_before_the_process_ends(
    deployment: Deployment, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(_http_server, "STOP_TIMEOUT_S", 0.01)
    deployment.start_upstreams(UpstreamSpec("up-1", service_time_s=0.01, answer_bytes=900_000))
    daemon = deployment.start_daemon_for(deployment.fleet)
    host, _, port = daemon.http.rpartition(":")
    with socket.socket() as conn:
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        conn.settimeout(WAIT_TIMEOUT_S)
        conn.connect((host, int(port)))
        conn.sendall(f"GET {PATH} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n".encode())
        answer = conn.recv(100)
        daemon.run_on_loop(daemon.running.driver.done.set)
        address = daemon.http
        wait_until(lambda: refuses_new_requests(address))
        while more := conn.recv(65_536):
            answer += more
    assert len(answer.partition(b"\r\n\r\n")[2]) == 900_000
    assert daemon.join()


def test_owner_that_ends_has_handed_its_answers_over(deployment: Deployment) -> None:
    # Failure: an answer that is paced for its link is cut off when its owner has stopped.
    size = 200_000
    entry = start_entry(deployment, UpstreamSpec("up-1", service_time_s=0.01, answer_bytes=size))
    owner = deployment.daemons[0].running.driver
    owner.peer_server._reserve = lambda ticket, num_bytes: 0.3
    ran = deployment.fleet.stats()[0].ran
    with ThreadPoolExecutor(1) as executor:
        reply = executor.submit(call, entry.http, PATH, "POST", b"x")
        wait_until(lambda: deployment.fleet.stats()[0].ran > ran and owner.node._admission.idle)
        deployment.daemons[0].run_on_loop(owner.done.set)
        assert len(reply.result(WAIT_TIMEOUT_S).body) == size
    assert deployment.daemons[0].join()


def refuses_new_requests(address: str) -> bool:
    reply = call(address, PATH)
    return reply.status == 503 and reply.problem["reason"] == "stopping"
