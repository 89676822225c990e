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


class FakeSettingsFile:
    def __init__(self):
        self.settings = SETTINGS
        self.error = ""

    def load(self):
        if self.error:
            raise SettingsError(self.error)
        return self.settings


class FakeLog:
    def __init__(self):
        self.entries = []

    def write(self, event, **fields):
        self.entries.append((event, fields))


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
def test_settings_that_need_a_restart_stay_and_the_others_change(changes, changed, fixed):
    new = msgspec.structs.replace(SETTINGS, **changes)
    merged, now_changed, now_fixed = merge_settings(SETTINGS, new)
    assert (now_changed, now_fixed) == (changed, fixed)
    for name in SETTINGS.__struct_fields__:
        expected = SETTINGS if name in fixed else new
        assert getattr(merged, name) == getattr(expected, name)


@pytest.fixture
def reloader_setup():
    async def make():
        gateway = GatewayHarness()
        gateway.state.log = FakeLog()
        return gateway.state

    state = asyncio.run(make())
    file = FakeSettingsFile()
    return state, file, Reloader(state=state, load=file.load)


def test_changed_bounds_apply_and_earlier_counts_are_kept(reloader_setup):
    state, file, reloader = reloader_setup
    retry = {"service": "s", "gateways": 1, "now": 1.0}
    for _ in range(10):
        state.retries.record_request(service="s", now=1.0)
    assert state.retries.take(**retry)
    file.settings = msgspec.structs.replace(SETTINGS, bounds=OTHER_BOUNDS)
    reloader.reload(signalled=False)
    assert not state.retries.take(**retry)
    assert state.settings.bounds == OTHER_BOUNDS
    file.settings = SETTINGS
    reloader.reload(signalled=False)
    for _ in range(int(SETTINGS.bounds.retry_slack * RETRY_BUDGET_FRACTION)):
        state.retries.take(**retry)
    assert state.retries.take(**retry) is False
    assert [event for event, _ in state.log.entries] == [RELOADED, RELOADED]


def test_only_changes_and_signals_are_logged(reloader_setup):
    state, file, reloader = reloader_setup
    reloader.reload(signalled=False)
    assert state.log.entries == []
    reloader.reload(signalled=True)
    file.settings = msgspec.structs.replace(SETTINGS, front="127.0.0.1:9")
    for _ in range(3):
        reloader.reload(signalled=False)
    assert [(event, fields["needs_restart"]) for event, fields in state.log.entries] == [
        (RELOADED, ""),
        (RELOADED, "front"),
    ]
    assert state.settings == SETTINGS


def test_invalid_settings_change_nothing(reloader_setup):
    state, file, reloader = reloader_setup
    file.error = "bounds: not a number"
    for _ in range(3):
        reloader.reload(signalled=False)
    reloader.reload(signalled=True)
    assert state.log.entries == [(REJECTED, {"error": file.error})] * 2
    assert state.settings == SETTINGS
    file.error = ""
    file.settings = msgspec.structs.replace(SETTINGS, bounds=OTHER_BOUNDS)
    reloader.reload(signalled=False)
    assert state.settings.bounds == OTHER_BOUNDS
