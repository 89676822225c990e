import msgspec
import pytest

from gooseberryport_daemon.errors import SettingsInvalidError
from gooseberryport_daemon.settings import DaemonSettings, parse_settings
from gooseberryport_platform import StoreSettings, VmListSettings

VALID = msgspec.to_builtins(
    DaemonSettings(
        vm="vm-1",
        availability_zone="bern-a",
        region="mittelland",
        store=StoreSettings("10.0.0.9:8500"),
        vm_list=VmListSettings("10.0.0.9:8600"),
    )
)


def test_valid_settings_are_read() -> None:
    assert parse_settings(msgspec.json.encode(VALID), source="s.json").vm == "vm-1"


@pytest.mark.parametrize(
    ("change", "named"),
    [
        ({"vm": " "}, "vm"),
        ({"colour": "green"}, "colour"),
        ({"http_listen": "localhost:80"}, "http_listen"),
        ({"peer_listen": "10.0.0.1:99999"}, "peer_listen"),
        ({"store": {"address": "10.0.0.9:0"}}, "store.address"),
        ({"vm_list": {"address": "nowhere"}}, "vm_list.address"),
        ({"statsd": "10.0.0.1"}, "statsd"),
        ({"peers": ["10.0.0.1:0"]}, "peers"),
        ({"threads": {"http": 1}}, "threads.http"),
        ({"body_budget_bytes": 1}, "body_budget_bytes"),
        ({"tick_s": 0.0}, "tick_s"),
        ({"timing": {"heartbeat_s": -1.0}}, "timing.heartbeat_s"),
        ({"timing": {"heartbeats": 1.0}}, "heartbeats"),
        ({"seed": "x"}, "seed"),
    ],
)
def test_error_names_its_field_and_remedy(change: dict, named: str) -> None:
    with pytest.raises(SettingsInvalidError) as caught:
        parse_settings(msgspec.json.encode(VALID | change), source="s.json")
    assert named in str(caught.value)
    assert "docs/operators/daemon.md" in str(caught.value)


def test_settings_that_are_not_json_are_an_error() -> None:
    with pytest.raises(SettingsInvalidError, match=r"s\.json"):
        parse_settings(b"{", source="s.json")
