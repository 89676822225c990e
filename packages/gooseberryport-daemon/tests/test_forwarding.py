import http.client
import socket

import pytest
from daemon_harness import PATIENCE_S, ZONES, DaemonThread, Deployment, call, make_config, until

from gooseberryport_daemon import _http_server
from gooseberryport_standins.faults import UpstreamFaults
from gooseberryport_standins.upstream import UpstreamSpec

PATH = "/dressing-registry/x"
LARGE = 6_000_000


def start_entry(deployment: Deployment, spec: UpstreamSpec, **service: object) -> DaemonThread:
    """Start an owner of the upstream's pool and return another daemon, which owns nothing."""
    deployment.start_upstreams(spec)
    deployment.publish(make_config(deployment.fleet, **service))
    owner = deployment.start_daemon(deployment.settings("vm-1"))
    until(owner.owns_something)
    entry = deployment.start_daemon(deployment.settings("vm-2", ZONES[1], peers=(owner.peer,)))
    until(lambda: call(entry.http, PATH).status == 200)
    assert not entry.owns_something()
    return entry


def test_requests_of_any_size_cross_to_the_owner(deployment: Deployment) -> None:
    entry = start_entry(deployment, UpstreamSpec("up-1", service_time_s=0.01))
    for method, body in (("GET", b""), ("POST", b"x" * 1_000), ("POST", b"y" * 300_000)):
        assert call(entry.http, PATH, method, body or None).status == 200


def test_large_answer_crosses_whole_or_shows_its_cut(deployment: Deployment) -> None:
    spec = UpstreamSpec("up-1", service_time_s=0.01, answer_bytes=LARGE)
    entry = start_entry(deployment, spec)
    assert len(call(entry.http, PATH).body) == LARGE
    deployment.fleet.upstreams["up-1"].set_faults(UpstreamFaults(half_answer=True))
    conn = http.client.HTTPConnection(entry.http, timeout=PATIENCE_S)
    conn.request("GET", PATH)
    with pytest.raises((http.client.IncompleteRead, ConnectionError)):
        conn.getresponse().read()
    conn.close()


def test_caller_that_goes_is_cancelled_at_the_owners_upstream(deployment: Deployment) -> None:
    spec = UpstreamSpec("up-1", service_time_s=0.01)
    entry = start_entry(deployment, spec, default_timeout_s=25.0, max_attempt_s=25.0)
    deployment.fleet.upstreams["up-1"].set_faults(UpstreamFaults(slowdown=100_000.0))
    ran = deployment.fleet.stats()[0].ran
    host, _, port = entry.http.rpartition(":")
    with socket.create_connection((host, int(port)), PATIENCE_S) as conn:
        conn.sendall(f"POST {PATH} HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n".encode())
        until(lambda: deployment.fleet.stats()[0].ran == ran + 1)
    until(lambda: deployment.fleet.stats()[0].cancelled == 1)


def test_answer_under_way_is_let_out_before_the_process_ends(
    deployment: Deployment, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(_http_server, "STOP_TIMEOUT_S", 0.01)
    deployment.start_upstreams(UpstreamSpec("up-1", service_time_s=0.01, answer_bytes=900_000))
    daemon = deployment.start_with(deployment.fleet)
    host, _, port = daemon.http.rpartition(":")
    with socket.socket() as conn:
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        conn.settimeout(PATIENCE_S)
        conn.connect((host, int(port)))
        conn.sendall(f"GET {PATH} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n".encode())
        answer = conn.recv(100)
        daemon.on_loop(daemon.running.driver.done.set)
        refused = daemon.http
        until(lambda: stops_taking_requests(refused))
        while more := conn.recv(65_536):
            answer += more
    assert len(answer.partition(b"\r\n\r\n")[2]) == 900_000
    assert daemon.joined()


def stops_taking_requests(address: str) -> bool:
    reply = call(address, PATH)
    return reply.status == 503 and reply.problem["reason"] == "stopping"
