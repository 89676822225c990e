"""Calls to services that send header, framing or trailer lines without end."""

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
            while True:
                conn.sendall(block)

    threading.Thread(target=serve, daemon=True).start()
    return listener


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
        caller = HttpCaller(
            address=f"127.0.0.1:{listener.getsockname()[1]}",
            connections=1,
            max_answer_bytes=1_000_000,
            counter=CallCounter(on_call=lambda record: None),
        )
        started = time.monotonic()
        result = caller.call(Call(CallKind.GET, "GET", "/x", timeout_s=20.0))
        assert isinstance(result, Failure)
        assert time.monotonic() - started < 10.0
        caller.close()
