import json
import socket

import pytest

from gooseberryport_standins.local_cluster import SERVICE, SERVICE_RULES, LocalCluster

SERVICE_PATH = f"/{SERVICE}/x"


@pytest.mark.parametrize(
    ("path", "headers", "body", "status", "reason"),
    [
        ("/nobody/x", {}, b"", 404, "unknown-service"),
        ("/", {}, b"", 404, "unknown-service"),
        (SERVICE_PATH, {}, b"x" * (SERVICE_RULES.max_body_bytes + 1), 413, "too-large"),
        (SERVICE_PATH, {"Request-Timeout": "soon"}, b"", 400, "bad-request"),
        (SERVICE_PATH, {"Request-Timeout": "-1"}, b"", 400, "bad-request"),
        (SERVICE_PATH, {"Request-Timeout": "nan"}, b"", 400, "bad-request"),
        (SERVICE_PATH, {"Idempotency-Key": "k" * 1_000}, b"", 400, "bad-request"),
    ],
)
def test_bad_input_is_rejected_without_running(
    trial: LocalCluster, path: str, headers: dict[str, str], body: bytes, status: int, reason: str
) -> None:
    runs_before = len(trial.fleet.runs())
    resp = trial.send_request(trial.first, "POST", path, headers=headers, body=body)
    problem = json.loads(resp.data)
    assert (resp.status, problem["outcome"], problem["reason"]) == (status, "not-run", reason)
    assert problem["detail"]
    assert len(trial.fleet.runs()) == runs_before
    assert trial.send_request(trial.first).status == 200


def test_request_with_very_long_timeout_is_served(trial: LocalCluster) -> None:
    assert trial.send_request(trial.first, headers={"Request-Timeout": "1e300"}).status == 200


@pytest.mark.parametrize(
    "data",
    [
        b"POST /registry/x HTTP/1.1\r\nHost: a\r\nno colon here\r\n\r\n",
        b"POST /registry/x HTTP/1.1\r\nHost: a\r\nContent-Length: ten\r\n\r\n",
        b"POST /registry/x HTTP/9.9\r\nHost: a\r\n\r\n",
        b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n",
    ],
)
def test_malformed_request_affects_only_its_own_connection(
    trial: LocalCluster, data: bytes
) -> None:
    runs_before = len(trial.fleet.runs())
    host, _, port = trial.first.http.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=10.0) as conn:
        conn.sendall(data)
        conn.shutdown(socket.SHUT_WR)
        answer = conn.makefile("rb").read()
    assert answer.split(b" ", 2)[1][:1] in (b"4", b"5")
    assert len(trial.fleet.runs()) == runs_before
    assert trial.send_request(trial.first).status == 200
