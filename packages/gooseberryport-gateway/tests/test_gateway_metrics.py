import os
import re
import time
from pathlib import Path

from gooseberryport_core.log_events import LogNumber
from gooseberryport_gateway._logs import MAX_BUFFERED_BYTES, MAX_REQUEST_LINES_PER_S, Log
from gooseberryport_gateway._metrics import Metrics

PAGE = Path(__file__).parents[3] / "docs" / "OPERATIONS.md"


def test_every_metric_is_on_the_operations_page():
    listed = set(re.findall(r"^\| `(gooseberryport_\w+)`", PAGE.read_text(), re.MULTILINE))
    assert {family.name for family in Metrics().registry.collect()} == listed


def test_lines_on_requests_are_bounded_and_what_is_left_out_is_told(tmp_path):
    path = tmp_path / "log"
    with path.open("wb") as file:
        log = Log(vm="vm1", fd=file.fileno())
        for _ in range(MAX_REQUEST_LINES_PER_S + 40):
            log.write_request(LogNumber.GATEWAY_REQUEST_ENDED, now=5.1)
        log.write_request(LogNumber.GATEWAY_REQUEST_ENDED, now=6.0)
        log.flush()
    lines = path.read_text().splitlines()
    assert len(lines) == MAX_REQUEST_LINES_PER_S + 2
    assert '"suppressed":40' in lines[-2]


def test_reader_that_does_not_read_costs_lines_and_no_time():
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    log = Log(vm="vm1", fd=writer)
    start = time.monotonic()
    for _ in range(20_000):
        log.write(LogNumber.GATEWAY_UPSTREAM_CHANGED, upstream="x" * 50)
    log.flush()
    assert time.monotonic() - start < 5.0
    got = b""
    os.set_blocking(reader, False)
    while chunk := _read(reader):
        got += chunk
        log.flush()
    os.close(reader)
    os.close(writer)
    assert len(got) <= MAX_BUFFERED_BYTES + 65_536
    assert b'"dropped":' in got
    assert all(line.startswith(b'{"') and line.endswith(b"}") for line in got.splitlines())


def _read(fd):
    try:
        return os.read(fd, 65_536)
    except BlockingIOError:
        return b""
