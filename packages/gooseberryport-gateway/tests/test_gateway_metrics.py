import logging
import os
import re
import time
from pathlib import Path

from gooseberryport_core.log_events import LogNumber
from gooseberryport_gateway._logs import (
    MAX_BUFFERED_BYTES,
    MAX_REQUEST_LINES_PER_S,
    LibraryLogHandler,
    Log,
)
from gooseberryport_gateway._metrics import Metrics

OPERATIONS_PAGE = Path(__file__).parents[3] / "docs" / "OPERATIONS.md"


def test_operations_page_lists_every_metric():
    listed = set(
        re.findall(r"^\| `(gooseberryport_\w+)`", OPERATIONS_PAGE.read_text(), re.MULTILINE)
    )
    assert {family.name for family in Metrics().registry.collect()} == listed


def test_request_lines_are_rate_limited_and_suppressed_ones_are_counted(tmp_path):
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


def test_log_drops_lines_and_does_not_block_if_its_reader_does_not_read():
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    log = Log(vm="vm1", fd=writer)
    start = time.monotonic()
    for _ in range(20_000):
        log.write(LogNumber.GATEWAY_UPSTREAM_CHANGED, upstream="x" * 50)
    log.flush()
    assert time.monotonic() - start < 5.0
    output = b""
    os.set_blocking(reader, False)
    while chunk := _read_available(reader):
        output += chunk
        log.flush()
    os.close(reader)
    os.close(writer)
    assert len(output) <= MAX_BUFFERED_BYTES + 65_536
    assert b'"dropped":' in output
    assert all(line.startswith(b'{"') and line.endswith(b"}") for line in output.splitlines())


def _read_available(fd):
    try:
        return os.read(fd, 65_536)
    except BlockingIOError:
        return b""


# Guards against a log whose reader went away, which ended the process or filled its memory.
def test_log_drops_lines_without_a_reader_and_writes_again_if_there_is_one(tmp_path):
    reader, writer = os.pipe()
    log = Log(vm="vm1", fd=writer)
    os.close(reader)
    for _ in range(3):
        log.write(LogNumber.GATEWAY_READY)
        log.flush()
    path = tmp_path / "log"
    with path.open("wb") as file:
        os.dup2(file.fileno(), writer)
    log.write(LogNumber.GATEWAY_STOPPING)
    log.flush()
    os.close(writer)
    lines = path.read_text().splitlines()
    assert len(lines) == 2
    assert "gateway_stopping" in lines[0]
    assert '"dropped":' in lines[1]


def test_lines_of_libraries_go_to_the_log_and_are_bounded(tmp_path):
    path = tmp_path / "log"
    with path.open("wb") as file:
        log = Log(vm="vm1", fd=file.fileno())
        logger = logging.getLogger("test_lines_of_libraries")
        logger.propagate = False
        logger.addHandler(LibraryLogHandler(log=log))
        for _ in range(MAX_REQUEST_LINES_PER_S * 3):
            logger.warning("socket.send() raised %s", "x" * 5_000)
        logger.info("not written")
        log.flush()
    lines = path.read_text().splitlines()
    assert 0 < len(lines) <= MAX_REQUEST_LINES_PER_S * 2
    assert all("gateway_library_warning" in line and len(line) < 1_500 for line in lines)
