"""Calls to services that send lines without end, or status lines that are none of HTTP/1."""

import contextlib
import socket
import threading
import time

import pytest
from returns.result import Failure

from gooseberryport_platform._http import Call, HttpCaller
from gooseberryport_platform.calls import CallCounter, CallKind

CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def serve_endless(first, block):
    listener = socket.create_server(("127.0.0.1", 0))

    def serve():
        with contextlib.suppress(OSError):
            conn, _ = listener.accept()
            conn.recv(4_096)
            conn.sendall(first)
            while block:
                conn.sendall(block)

    threading.Thread(target=serve, daemon=True).start()
    return listener


def make_caller(listener):
    return HttpCaller(
        address=f"127.0.0.1:{listener.getsockname()[1]}",
        connections=1,
        max_answer_bytes=1_000_000,
        counter=CallCounter(on_call=lambda record: None),
    )


@pytest.mark.parametrize(
    "status_line",
    [
        *[f"HTTP/1.1 {status} X" for status in ("000", "099", "600", "999", "101", "2_00", "+200")],
        *["HTTP/1.1 ok", "HTTP/2.0 200 X", "ICY 200 OK"],
    ],
)
def test_write_whose_answer_has_an_invalid_status_line_is_ambiguous(status_line):
    # Failure: a write counts as done or as refused, though nothing that was read says so.
    answer = f"{status_line}\r\nContent-Length: 4\r\n\r\ntrue".encode()
    with serve_endless(answer, b"") as listener:
        caller = make_caller(listener)
        result = caller.call(Call(CallKind.SWAP, "PUT", "/x", timeout_s=5.0, body=b"1"))
        caller.close()
    assert isinstance(result, Failure)
    assert result.failure().ambiguous


@pytest.mark.parametrize(
    ("first", "block"),
    [
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 100),
        (b"HTTP/1.1 200 OK\r\n", b"a: b\r\n" * 1_000),
        (b"HTTP/1.1 200 OK\r\nA: ", b"x" * 16_384),
        (CHUNKED + b"0\r\n", b"a: b\r\n" * 1_000),
        (CHUNKED + b"0\r\nA: ", b"x" * 16_384),
        (CHUNKED + b"5;", b"x" * 16_384),
    ],
)
def test_call_to_an_endless_service_fails_before_its_timeout(first, block):
    with serve_endless(first, block) as listener:
        caller = make_caller(listener)
        started = time.monotonic()
        result = caller.call(Call(CallKind.GET, "GET", "/x", timeout_s=20.0))
        assert isinstance(result, Failure)
        assert time.monotonic() - started < 10.0
        caller.close()
