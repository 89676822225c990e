import json
import os
import time

from gooseberryport_core.effects import LogEvent, LogLevel
from gooseberryport_core.log_events import LogNumber
from gooseberryport_daemon import _logs
from gooseberryport_daemon._logs import open_log

EVENT = LogEvent(LogNumber.DAEMON_STOPPED, LogLevel.INFO, "x" * 1_000, {"a": "1"})


def test_events_are_written_as_json_lines_before_the_log_is_closed(tmp_path) -> None:
    path = tmp_path / "log"
    with path.open("wb") as file, open_log(vm="vm-1", fd=file.fileno()) as log:
        for _ in range(50):
            log(EVENT)
    lines = [json.loads(line) for line in path.read_text().splitlines()]
    assert len(lines) == 50
    assert lines[0]["number"] == int(LogNumber.DAEMON_STOPPED)
    assert (lines[0]["vm"], lines[0]["level"], lines[0]["fields"]) == ("vm-1", "info", {"a": "1"})


# Guards against a daemon that waits for the reader of its log.
def test_a_paused_reader_makes_no_event_wait(monkeypatch) -> None:
    monkeypatch.setattr(_logs, "FLUSH_TIMEOUT_S", 0.1)
    reader, writer = os.pipe()
    started = time.monotonic()
    with open_log(vm="vm-1", fd=writer) as log:
        for _ in range(3_000):
            log(EVENT)
    assert time.monotonic() - started < 3.0
    os.close(reader)


# Guards against an event whose handling ends because nobody reads the log any more.
def test_a_reader_that_went_away_raises_nothing() -> None:
    reader, writer = os.pipe()
    os.close(reader)
    with open_log(vm="vm-1", fd=writer) as log:
        for _ in range(100):
            log(EVENT)
    os.close(writer)
