import socket

import msgspec
import pytest
from daemon_harness import WAIT_TIMEOUT_S, Deployment, call, make_config, wait_until

from gooseberryport_daemon._bodies import RequestRefusedError, read_body
from gooseberryport_daemon._caller_limits import CallerLimits, PermitReleasingBody
from gooseberryport_standins.faults import Outage, StoreFaults, UpstreamFaults
from gooseberryport_standins.upstream import UpstreamSpec

PATH = "/dressing-registry/x"
MAX_BODY = 4_194_304


def raw_call(address: str, data: bytes, *, then_close: bool = False) -> bytes:
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), WAIT_TIMEOUT_S) as conn:
        conn.sendall(data)
        if then_close:
            conn.shutdown(socket.SHUT_WR)
        answer = b""
        while more := conn.recv(65_536):
            answer += more
        return answer


@pytest.mark.parametrize(
    ("path", "headers", "body", "status", "reason"),
    [
        (PATH, {"Request-Timeout": "-1"}, b"", 400, "bad-request"),
        (PATH, {"Request-Timeout": "0"}, b"", 400, "bad-request"),
        (PATH, {"Request-Timeout": "nan"}, b"", 400, "bad-request"),
        (PATH, {"Request-Timeout": "inf"}, b"", 400, "bad-request"),
        (PATH, {"Request-Timeout": "soon"}, b"", 400, "bad-request"),
        (PATH, {"Idempotency-Key": "k" * 300}, b"", 400, "bad-request"),
        (PATH, {}, b"x" * (MAX_BODY + 1), 413, "too-large"),
        ("/nowhere/x", {}, b"", 404, "unknown-service"),
        ("/", {}, b"", 404, "unknown-service"),
        ("/v1/lookup?service=nowhere&client=10.0.0.1", {}, None, 404, "unknown-service"),
        ("/v1/lookup", {}, b"x", 405, "bad-request"),
    ],
)
def test_invalid_request_is_refused_with_a_reason_and_not_run(
    shared: Deployment, path: str, headers: dict, body: bytes | None, status: int, reason: str
) -> None:
    ran = len(shared.fleet.runs())
    method = "GET" if body is None else "POST"
    reply = call(shared.daemons[0].http, path, method, body, headers)
    assert reply.status == status
    assert (reply.problem["outcome"], reply.problem["reason"]) == ("not-run", reason)
    assert reply.problem["detail"]
    assert len(shared.fleet.runs()) == ran


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"NONSENSE\r\n\r\n", b"400"),
        (b"POST /dressing-registry/x HTTP/1.1\r\nHost: a\r\nContent-Length: ten\r\n\r\n", b"400"),
        (b"POST /dressing-registry/x HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nhalf", b"400"),
        (b"GET /dressing-registry/x HTTP/1.1\r\nHost: a\r\nno colon\r\n\r\n", b"400"),
        (
            b"POST /dressing-registry/x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
            + b"100000\r\n" + b"x" * 0x100000 + b"\r\n100000\r\n" + b"x" * 0x100000
            + b"\r\n100000\r\n" + b"x" * 0x100000 + b"\r\n100000\r\n" + b"x" * 0x100000
            + b"\r\n100\r\n" + b"x" * 0x100 + b"\r\n0\r\n\r\n",
            b"413",
        ),
    ],
    ids=["request-line", "length", "short-body", "header", "chunked-too-long"],
)  # fmt: skip
def test_malformed_or_too_long_request_is_refused(
    shared: Deployment, data: bytes, status: bytes
) -> None:
    ran = len(shared.fleet.runs())
    answer = raw_call(shared.daemons[0].http, data, then_close=True)
    assert answer.split(b" ", 2)[1] == status
    assert len(shared.fleet.runs()) == ran


def test_chunked_body_arrives(shared: Deployment) -> None:
    head = b"POST /dressing-registry/x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
    data = head + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
    assert raw_call(shared.daemons[0].http, data).startswith(b"HTTP/1.1 200")


def test_too_long_timeout_is_limited_to_the_maximum(deployment: Deployment) -> None:
    deployment.start_upstreams(UpstreamSpec("up-1", service_time_s=0.01))
    daemon = deployment.start_daemon_for(deployment.fleet, default_timeout_s=0.5, max_timeout_s=0.5)
    deployment.fleet.upstreams["up-1"].set_faults(UpstreamFaults(outage=Outage.HANG))
    reply = call(daemon.http, PATH, "POST", b"x", {"Request-Timeout": "1e9"})
    assert reply.problem["outcome"] == "unknown"


def test_disconnected_caller_cancels_its_request(deployment: Deployment) -> None:
    deployment.start_upstreams(UpstreamSpec("up-1", service_time_s=60.0))
    daemon = deployment.start_daemon_for(
        deployment.fleet, default_timeout_s=25.0, max_attempt_s=25.0
    )
    host, _, port = daemon.http.rpartition(":")
    with socket.create_connection((host, int(port)), WAIT_TIMEOUT_S) as conn:
        conn.sendall(b"POST /dressing-registry/x HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n")
        wait_until(lambda: deployment.fleet.stats()[0].ran == 1)
    wait_until(lambda: deployment.fleet.stats()[0].cancelled == 1)
    wait_until(lambda: msgspec.json.decode(call(daemon.http, "/healthz").body)["callers"] == 0)


def test_lookup_returns_the_daemon_and_is_cacheable(shared: Deployment) -> None:
    daemon = shared.daemons[0]
    path = "/v1/lookup?service=dressing-registry&client=10.0.0.1"
    wait_until(lambda: call(daemon.http, path).body != b"[]")
    reply = call(daemon.http, path)
    assert reply.headers["Cache-Control"] == "max-age=5"
    entries = msgspec.json.decode(reply.body)
    assert [(entry["vm"], entry["http_address"]) for entry in entries] == [("vm-1", daemon.http)]


def test_pages_show_the_state_of_the_daemon(shared: Deployment) -> None:
    http = shared.daemons[0].http
    status = msgspec.json.decode(call(http, "/status").body)
    assert (status["vm"], status["version"]) == ("vm-1", 1)
    explained = msgspec.json.decode(
        call(http, "/explain?service=dressing-registry&client=10.0.0.1").body
    )
    assert explained["candidates"][0]["owner"] == "vm-1"
    assert call(http, "/explain").status == 400


def test_harness_publishes_to_a_slow_store(deployment: Deployment) -> None:
    # Failure: a test of something else fails because its own preparation takes over 0.5 s.
    deployment.start_upstreams(UpstreamSpec("up-1"))
    deployment.store.set_faults(StoreFaults(delay_s=0.7))
    deployment.publish(make_config(deployment.fleet))


def test_daemon_without_configuration_reports_what_it_waits_for(deployment: Deployment) -> None:
    deployment.store.set_faults(StoreFaults(outage=Outage.REFUSE))
    daemon = deployment.start_daemon(deployment.settings("vm-1"), ready=False)
    reply = call(daemon.http, "/readyz")
    assert reply.status == 503
    assert deployment.settings("vm-1").store.address in reply.body.decode()
    refused = call(daemon.http, PATH)
    assert (refused.status, refused.problem["outcome"]) == (503, "not-run")
    assert int(refused.headers["Retry-After"]) >= 1
    assert call(daemon.http, "/healthz").status == 200


def test_caller_limits_bound_callers_and_body_bytes() -> None:
    caller_limits = CallerLimits(max_callers=1, max_body_bytes=10)
    permit = caller_limits.acquire()
    assert permit is not None and caller_limits.acquire() is None
    assert permit.reserve(8) and not permit.reserve(3)
    PermitReleasingBody([b""], permit).close()
    permit.release()
    second_permit = caller_limits.acquire()
    assert (
        caller_limits.active_count == 1 and second_permit is not None and second_permit.reserve(10)
    )
    with pytest.raises(RequestRefusedError) as caught:
        read_body({"CONTENT_LENGTH": "5", "wsgi.input": None}, 100, second_permit)
    assert caught.value.problem.status == 503
