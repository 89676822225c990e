import contextlib
import http.client
import socket
import time
from collections.abc import Callable
from contextlib import ExitStack

import msgspec
import pytest
from daemon_harness import WAIT_TIMEOUT_S, Deployment, RawUpstream, call, make_config, wait_until

from gooseberryport_daemon._attempt import (
    Attempt,
    AttemptConnection,
    AttemptConnectionPool,
    current,
)
from gooseberryport_standins._bench_report import resident_bytes
from gooseberryport_standins.faults import Outage, UpstreamFaults
from gooseberryport_standins.upstream import UpstreamSpec

PATH = "/dressing-registry/profiles/7?unit=mm"
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
HALF = b"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhalf"
ENDLESS_CHUNKS = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"
CHUNKS = ENDLESS_CHUNKS + b"0\r\n\r\n"
WITHOUT_LENGTH = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nsome"
SHED = b"HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
EMPTY_CUT_IN_HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Re"
NO_CONTENT_CUT_IN_HEAD = b"HTTP/1.1 204 No Content\r\nX-Re"
LIMITED = b"HTTP/1.1 429 Many\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
DONE_BUT_SHED = b"HTTP/1.1 200 OK\r\nX-Not-Run: 1\r\nContent-Length: 2\r\n\r\nok"
SHED_CUT_IN_HEAD = b"HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nConte"
BUSY = b"HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nbusy"


def answering(data: bytes, *, then_close: bool = True) -> Callable[[socket.socket, bytes], None]:
    def serve(conn: socket.socket, request: bytes) -> None:
        conn.sendall(data)
        if then_close:
            conn.shutdown(socket.SHUT_RDWR)

    return serve


def forwarded(upstream: RawUpstream) -> list[bytes]:
    """Return an upstream's requests without the daemon's own queries of its load."""
    return [req for req in upstream.requests if not req.startswith(b"GET /load ")]


@pytest.mark.parametrize("method", ["GET", "POST"])
@pytest.mark.parametrize(
    ("answer", "status", "body"), [(OK, 200, b"ok"), (CHUNKS, 200, b"half"), (BUSY, 503, b"busy")]
)
def test_complete_answer_arrives(
    deployment: Deployment, answer: bytes, status: int, body: bytes, method: str
) -> None:
    upstream = deployment.start_raw_upstream(answering(answer))
    daemon = deployment.start_daemon_for(upstream)
    reply = call(daemon.http, PATH, method, b"x" if method == "POST" else None)
    assert (reply.status, reply.body) == (status, body)


@pytest.mark.parametrize("method", ["GET", "POST"])
@pytest.mark.parametrize(
    ("answer", "outcome"),
    [
        (HALF, "unknown"),
        (ENDLESS_CHUNKS, "unknown"),
        (WITHOUT_LENGTH, "unknown"),
        (b"", "unknown"),
        (b"HTTP/1.1 abc\r\n\r\n", "unknown"),
        (EMPTY_CUT_IN_HEAD, "unknown"),
        (NO_CONTENT_CUT_IN_HEAD, "unknown"),
        (SHED_CUT_IN_HEAD, "unknown"),
        (SHED, "not-run"),
        (LIMITED, "not-run"),
        (DONE_BUT_SHED, "unknown"),
    ],
)
def test_incomplete_answer_is_an_error(
    deployment: Deployment, answer: bytes, outcome: str, method: str
) -> None:
    upstream = deployment.start_raw_upstream(answering(answer))
    daemon = deployment.start_daemon_for(upstream, max_timeout_s=1.0, default_timeout_s=1.0)
    reply = call(daemon.http, PATH, method, b"x" if method == "POST" else None)
    assert reply.status in (502, 503, 504)
    assert reply.problem["outcome"] == outcome
    if method == "POST" and outcome == "unknown":
        assert len(forwarded(upstream)) == 1


@pytest.mark.parametrize("head", ["", "X-Not-Run: 1\r\n"])
@pytest.mark.parametrize(
    "status",
    ["000", "001", "099", "600", "799", "999", "101", "20", "2_00", "+200", "0200", "2000"],
)
def test_answer_with_an_invalid_status_is_unknown(
    deployment: Deployment, status: str, head: str
) -> None:
    # Failure: a caller gets a status that HTTP does not have, or that the upstream did not send.
    answer = f"HTTP/1.1 {status} Status\r\nContent-Length: 2\r\n{head}\r\nok".encode()
    upstream = deployment.start_raw_upstream(answering(answer))
    daemon = deployment.start_daemon_for(upstream, max_timeout_s=1.0, default_timeout_s=1.0)
    reply = call(daemon.http, PATH, "POST", b"x")
    assert (reply.status, reply.problem["outcome"]) == (502, "unknown")
    assert len(forwarded(upstream)) == 1


@pytest.mark.parametrize("status", [408, 421, 429, 503])
@pytest.mark.parametrize("statement", ["", "X-Not-Run: 0\r\n", "X-Not-Run: yes\r\n"])
def test_upstreams_own_document_is_not_taken_for_a_refusal_of_the_daemon(
    deployment: Deployment, status: int, statement: str
) -> None:
    # Failure: an upstream that ran an order has the caller told that it did not run.
    body = b'{"outcome":"not-run","reason":"queue-full"}'
    head = f"HTTP/1.1 {status} X\r\nContent-Type: application/problem+json\r\n{statement}"
    answer = f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body
    upstream = deployment.start_raw_upstream(answering(answer))
    daemon = deployment.start_daemon_for(upstream)
    reply = call(daemon.http, PATH, "POST", b"x")
    assert (reply.status, reply.body) == (status, body)
    assert "X-Not-Run" not in reply.headers
    refused = call(daemon.http, "/no-service/x", "POST", b"x")
    assert refused.problem["outcome"] == "not-run"
    assert refused.headers["X-Not-Run"] == "1"
    assert len(forwarded(upstream)) == 1


def test_interim_answers_do_not_replace_the_final_one(deployment: Deployment) -> None:
    # Failure: an answer after "103 Early Hints" is lost, and a request that ran is unknown.
    hints = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
    upstream = deployment.start_raw_upstream(answering(hints + hints + OK))
    daemon = deployment.start_daemon_for(upstream)
    reply = call(daemon.http, PATH, "POST", b"x")
    assert (reply.status, reply.body) == (200, b"ok")


def sending_without_end(first: bytes, block: bytes) -> Callable[[socket.socket, bytes], None]:
    def serve(conn: socket.socket, request: bytes) -> None:
        with contextlib.suppress(OSError):
            conn.sendall(first)
            while True:
                conn.sendall(block)

    return serve


CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
ENDLESS_ANSWERS = {
    "status line": (b"HTTP/1.1 200 ", b"x" * 16_384),
    "header value": (b"HTTP/1.1 200 OK\r\nA: ", b"x" * 16_384),
    "header fields": (b"HTTP/1.1 200 OK\r\n", b"a: b\r\n" * 1_000),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 100),
    "chunk extension": (CHUNKED_HEAD + b"5;", b"x" * 16_384),
    "trailers": (CHUNKED_HEAD + b"0\r\n", b"a: b\r\n" * 1_000),
    "chunks": (CHUNKED_HEAD, b"4000\r\n" + b"x" * 16_384 + b"\r\n"),
    "body": (b"HTTP/1.1 200 OK\r\nContent-Length: 500000000\r\n\r\n", b"x" * 16_384),
}
MAX_GROWTH_BYTES = 60_000_000


@pytest.mark.parametrize("kind", sorted(ENDLESS_ANSWERS))
def test_endless_answer_ends_as_unknown_and_takes_little_memory(
    deployment: Deployment, kind: str
) -> None:
    upstream = deployment.start_raw_upstream(sending_without_end(*ENDLESS_ANSWERS[kind]))
    daemon = deployment.start_daemon_for(upstream, max_timeout_s=1.5, default_timeout_s=1.5)
    before = resident_bytes()
    started = time.monotonic()
    if kind in ("body", "chunks"):
        # A long answer is forwarded while it arrives, so it can only be cut off.
        with pytest.raises(http.client.IncompleteRead):
            call(daemon.http, PATH, "POST", b"x")
    else:
        reply = call(daemon.http, PATH, "POST", b"x")
        assert (reply.status, reply.problem["outcome"]) in ((502, "unknown"), (504, "unknown"))
    assert time.monotonic() - started < 3.0
    assert sum(request.startswith(b"POST") for request in upstream.requests) == 1
    assert resident_bytes() - before < MAX_GROWTH_BYTES


def test_refused_connection_is_not_run(single_daemon: Deployment) -> None:
    single_daemon.fleet.upstreams["up-1"].set_faults(UpstreamFaults(outage=Outage.REFUSE))
    reply = call(single_daemon.daemons[0].http, PATH, "POST", b"x", {"Request-Timeout": "0.5"})
    assert (reply.status, reply.problem["outcome"]) in ((503, "not-run"), (504, "not-run"))
    assert single_daemon.fleet.runs() == []


def test_upstream_that_never_answers_ends_as_unknown_at_the_deadline(
    single_daemon: Deployment,
) -> None:
    single_daemon.fleet.upstreams["up-1"].set_faults(UpstreamFaults(outage=Outage.HANG))
    reply = call(single_daemon.daemons[0].http, PATH, "POST", b"x", {"Request-Timeout": "0.3"})
    assert reply.problem["outcome"] == "unknown"
    assert reply.status in (502, 504)


def test_slow_answer_arrives(deployment: Deployment) -> None:
    deployment.start_upstreams(UpstreamSpec("up-1", service_time_s=0.6, spread="fixed"))
    daemon = deployment.start_daemon_for(deployment.fleet)
    assert call(daemon.http, PATH).status == 200


@pytest.mark.parametrize("answer", [OK, CHUNKS])
def test_answer_that_arrived_in_time_is_passed_on_after_a_pause(
    deployment: Deployment, monkeypatch: pytest.MonkeyPatch, answer: bytes
) -> None:
    # Failure: a pause of the daemon makes it discard an answer that it has.
    get_answer = AttemptConnection.getresponse

    def get_answer_late(conn: AttemptConnection) -> object:
        time.sleep(1.5)
        return get_answer(conn)

    monkeypatch.setattr(AttemptConnection, "getresponse", get_answer_late)
    upstream = deployment.start_raw_upstream(answering(answer))
    daemon = deployment.start_daemon_for(upstream, max_attempt_s=0.5, default_timeout_s=9.0)
    assert call(daemon.http, PATH, "POST", b"x").status == 200


def test_request_is_not_sent_once_a_pause_has_used_up_its_time(
    deployment: Deployment, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Failure: a request is sent, and given up at once, because the daemon was paused before.
    connect = AttemptConnection.connect
    pauses = [0.9]

    def connect_late(conn: AttemptConnection) -> None:
        time.sleep(pauses.pop() if pauses else 0.0)
        connect(conn)

    def serve(conn: socket.socket, request: bytes) -> None:
        time.sleep(0.0 if request.startswith(b"GET /load ") else 0.4)
        conn.sendall(OK)

    upstream = deployment.start_raw_upstream(serve)
    daemon = deployment.start_daemon_for(upstream, max_attempt_s=1.0, default_timeout_s=9.0)
    monkeypatch.setattr(AttemptConnection, "connect", connect_late)
    assert call(daemon.http, PATH, "POST", b"x").status == 200
    assert len(forwarded(upstream)) == 1


def test_upstream_sees_end_to_end_headers_only(deployment: Deployment) -> None:
    upstream = deployment.start_raw_upstream(answering(OK))
    daemon = deployment.start_daemon_for(upstream)
    headers = {
        "Request-Timeout": "1.5",
        "Idempotency-Key": "k-1",
        "X-Request-Id": "theirs",
        "Connection": "close, X-Hop",
        "X-Hop": "1",
        "X-Tool": "diamond",
        "TE": "trailers",
        "Content-Type": "text/plain",
    }
    assert call(daemon.http, PATH, "POST", b"body", headers).status == 200
    head, _, body = upstream.requests[0].partition(b"\r\n\r\n")
    lines = head.decode().split("\r\n")
    fields = {
        name.lower(): value for name, _, value in (line.partition(": ") for line in lines[1:])
    }
    assert lines[0] == f"POST {PATH} HTTP/1.1"
    assert body == b"body"
    assert fields["x-request-id"] == "theirs"
    assert fields["idempotency-key"] == "k-1"
    assert fields["x-tool"] == "diamond"
    assert fields["host"] == daemon.http
    assert 0.5 < float(fields["request-timeout"]) <= 1.5
    assert not {"x-hop", "te", "connection", "user-agent"} & set(fields)


def test_non_idempotent_request_uses_a_new_connection(deployment: Deployment) -> None:
    upstream = deployment.start_raw_upstream(answering(OK, then_close=False))
    cfg = make_config(upstream)
    # The daemon's own reads of the load report would use a connection of their own.
    (silent,) = (msgspec.structs.replace(u, load_path="") for u in cfg.upstreams.values())
    deployment.publish(msgspec.structs.replace(cfg, upstreams={"raw-1": silent}))
    daemon = deployment.start_daemon(deployment.settings("vm-1"))
    wait_until(daemon.owns_upstreams)
    for method in ("GET", "GET"):
        assert call(daemon.http, PATH, method).status == 200
    assert upstream.connections == 1
    assert call(daemon.http, PATH, "POST", b"x").status == 200
    assert upstream.connections == 2


def test_late_cancellation_does_not_break_the_next_request(deployment: Deployment) -> None:
    upstream = deployment.start_raw_upstream(answering(OK, then_close=False))
    host, _, port = upstream.addresses["raw-1"].rpartition(":")
    pool = AttemptConnectionPool(host, int(port), maxsize=1, retries=False)
    for _ in range(2):
        current.attempt = Attempt(timeout_s=WAIT_TIMEOUT_S, fresh=False)
        resp = pool.urlopen("GET", PATH, preload_content=False)
        assert resp.read() == b"ok"
        current.attempt.cancel()
    pool.close()
    assert upstream.connections == 1


def test_shed_request_keeps_no_connection_open(deployment: Deployment) -> None:
    upstream = deployment.start_raw_upstream(answering(SHED, then_close=False))
    daemon = deployment.start_daemon_for(upstream)
    assert call(daemon.http, PATH).problem["outcome"] == "not-run"
    runs = sum(request.startswith(b"GET /dressing") for request in upstream.requests)
    loads = sum(request.startswith(b"GET /load") for request in upstream.requests)
    assert upstream.connections >= runs + min(loads, 1)


def test_closed_idle_connection_loses_no_answer(deployment: Deployment) -> None:
    upstream = deployment.start_raw_upstream(answering(OK))
    daemon = deployment.start_daemon_for(upstream)
    assert [call(daemon.http, PATH).status for _ in range(5)] == [200] * 5


def test_bytes_after_an_answer_do_not_reach_the_next_caller(deployment: Deployment) -> None:
    surplus = OK + b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong"
    upstream = deployment.start_raw_upstream(answering(surplus, then_close=False))
    daemon = deployment.start_daemon_for(upstream)
    assert [call(daemon.http, PATH).body for _ in range(3)] == [b"ok"] * 3


@pytest.mark.parametrize("size", [100_000, 3_000_000])
def test_large_answer_arrives_complete(deployment: Deployment, size: int) -> None:
    deployment.start_upstreams(UpstreamSpec("up-1", service_time_s=0.01, answer_bytes=size))
    daemon = deployment.start_daemon_for(deployment.fleet)
    reply = call(daemon.http, PATH)
    assert (reply.status, len(reply.body)) == (200, size)


def test_truncated_large_answer_is_visible_to_the_caller(deployment: Deployment) -> None:
    deployment.start_upstreams(UpstreamSpec("up-1", service_time_s=0.01, answer_bytes=6_000_000))
    daemon = deployment.start_daemon_for(deployment.fleet)
    deployment.fleet.upstreams["up-1"].set_faults(UpstreamFaults(half_answer=True))
    conn = http.client.HTTPConnection(daemon.http, timeout=WAIT_TIMEOUT_S)
    conn.request("GET", PATH)
    with pytest.raises((http.client.IncompleteRead, ConnectionError)):
        conn.getresponse().read()
    conn.close()


def test_answer_above_max_answer_bytes_is_an_error(deployment: Deployment) -> None:
    deployment.start_upstreams(UpstreamSpec("up-1", service_time_s=0.01, answer_bytes=50_000))
    daemon = deployment.start_daemon_for(deployment.fleet, max_answer_bytes=40_000)
    assert call(daemon.http, PATH, "POST", b"x").problem["outcome"] == "unknown"


def test_closed_raw_upstream_leaves_no_thread_behind() -> None:
    with ExitStack() as stack:
        upstream = RawUpstream(stack, answering(OK))
        assert upstream.accepting
    assert not upstream.accepting
