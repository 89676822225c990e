import asyncio

import msgspec
import pytest
from gateway_harness import SETTINGS, GatewayHarness

from gooseberryport_core.gateway.limits import RETRY_BUDGET_FRACTION
from gooseberryport_core.log_events import LogNumber
from gooseberryport_gateway._reload import Reloader, merge_settings
from gooseberryport_gateway.errors import SettingsError

OTHER_BOUNDS = msgspec.structs.replace(SETTINGS.bounds, retry_ratio=0.0, retry_slack=0.0)
RELOADED = LogNumber.GATEWAY_SETTINGS_RELOADED
REJECTED = LogNumber.GATEWAY_SETTINGS_REJECTED


class FakeFile:
    def __init__(self):
        self.settings = SETTINGS
        self.fault = ""

    def load(self):
        if self.fault:
            raise SettingsError(self.fault)
        return self.settings


class FakeLog:
    def __init__(self):
        self.lines = []

    def write(self, event, **fields):
        self.lines.append((event, fields))


@pytest.mark.parametrize(
    ("changes", "changed", "fixed"),
    [
        ({}, [], []),
        ({"bounds": OTHER_BOUNDS}, ["bounds"], []),
        ({"seeds": ("127.0.0.1:9",), "regions": {"a1": "A"}}, ["regions", "seeds"], []),
        ({"front": "127.0.0.1:9", "zone": "b1"}, [], ["zone", "front"]),
        ({"peer_port": 9, "seeds": ("127.0.0.1:9",)}, ["seeds"], ["peer_port"]),
    ],
)
def test_what_a_process_is_stays_and_the_rest_changes(changes, changed, fixed):
    new = msgspec.structs.replace(SETTINGS, **changes)
    merged, now_changed, now_fixed = merge_settings(SETTINGS, new)
    assert (now_changed, now_fixed) == (changed, fixed)
    for name in SETTINGS.__struct_fields__:
        expected = SETTINGS if name in fixed else new
        assert getattr(merged, name) == getattr(expected, name)


@pytest.fixture
def reloading():
    async def make():
        gateway = GatewayHarness()
        gateway.state.log = FakeLog()
        return gateway.state

    state = asyncio.run(make())
    file = FakeFile()
    return state, file, Reloader(state=state, load=file.load)


def test_changed_bounds_bind_and_what_was_counted_stays_counted(reloading):
    state, file, reloader = reloading
    take = {"service": "s", "gateways": 1, "now": 1.0}
    for _ in range(10):
        state.retries.record_request(service="s", now=1.0)
    assert state.retries.take(**take)
    file.settings = msgspec.structs.replace(SETTINGS, bounds=OTHER_BOUNDS)
    reloader.reload(signalled=False)
    assert not state.retries.take(**take)
    assert state.settings.bounds == OTHER_BOUNDS
    file.settings = SETTINGS
    reloader.reload(signalled=False)
    for _ in range(int(SETTINGS.bounds.retry_slack * RETRY_BUDGET_FRACTION)):
        state.retries.take(**take)
    assert state.retries.take(**take) is False
    assert [event for event, _ in state.log.lines] == [RELOADED, RELOADED]


def test_only_changes_and_signals_are_logged(reloading):
    state, file, reloader = reloading
    reloader.reload(signalled=False)
    assert state.log.lines == []
    reloader.reload(signalled=True)
    file.settings = msgspec.structs.replace(SETTINGS, front="127.0.0.1:9")
    for _ in range(3):
        reloader.reload(signalled=False)
    assert [(event, fields["needs_restart"]) for event, fields in state.log.lines] == [
        (RELOADED, ""),
        (RELOADED, "front"),
    ]
    assert state.settings == SETTINGS


def test_settings_that_cannot_be_used_change_nothing(reloading):
    state, file, reloader = reloading
    file.fault = "bounds: not a number"
    for _ in range(3):
        reloader.reload(signalled=False)
    reloader.reload(signalled=True)
    assert state.log.lines == [(REJECTED, {"error": file.fault})] * 2
    assert state.settings == SETTINGS
    file.fault = ""
    file.settings = msgspec.structs.replace(SETTINGS, bounds=OTHER_BOUNDS)
    reloader.reload(signalled=False)
    assert state.settings.bounds == OTHER_BOUNDS
