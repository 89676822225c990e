import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gooseberryport_core.gateway.model import Part, Repeatability, UpstreamState
from gooseberryport_gateway.errors import SettingsError
from gooseberryport_gateway.wire import StoreItem
from gooseberryport_site.codec import PlatformCodec
from gooseberryport_site.settings import decode_settings

ENTRY = {
    "address": "10.128.0.9:8080",
    "info": {"service": "s", "version": "v1", "zone": "a", "slots": 4},
    "status": {"state": "ready", "sequence": 4, "coldRemainingMs": 1500},
    "born": 1778546087170,
}

CONFIG = {
    "version": 7,
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 1000,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
    "listeners": [
        {
            "host": "H.example",
            "rules": [
                {
                    "name": "r1",
                    "kind": "safe",
                    "aimMs": 400,
                    "priority": 2,
                    "sticky": True,
                    "match": {"pathPrefix": "/a/"},
                    "action": {
                        "backends": [
                            {"service": "s", "weight": 90},
                            {"service": "t", "weight": 10},
                            {"service": "u", "weight": 0},
                        ],
                        "timeoutMs": 1500,
                        "maxAttempts": 2,
                        "allowedRegions": ["A"],
                    },
                },
                {
                    "name": "r2",
                    "kind": "unsafe",
                    "match": {"pathPrefix": "/b/"},
                    "action": {"service": "s", "timeoutMs": 2000},
                },
            ],
        }
    ],
    "clusters": [
        {
            "name": "s",
            "healthCheckPath": "/up",
            "maxConnections": 330,
            "protocol": "h1",
            "tls": False,
            "coldStartS": 3.0,
            "coldPerS": 4.1,
        }
    ],
    "something": "new",
}

SETTINGS = {
    "nodeName": "edge-1",
    "ip": "10.1.0.10",
    "zone": "a",
    "region": "A",
    "zones": {"a": "A"},
    "listen": {"front": "10.1.0.10:1", "ready": "10.1.0.10:2", "directory": "10.1.0.10:3"},
    "portRange": [7720, 7735],
    "platform": {"address": "10.200.1.7:8169", "ttlMinMs": 1000},
    "bounds": {"graceS": 6, "retryBudgetRatio": 0.2, "ttl_max_s": 5},
    "seeds": [],
}


def item(value, key="servers/u1"):
    data = value if isinstance(value, bytes) else json.dumps(value).encode()
    return StoreItem(key=key, value=data, revision=1)


def test_entry_is_decoded():
    entry = PlatformCodec().upstream(item(ENTRY))
    assert entry.upstream == "u1"
    assert entry.address == ("10.128.0.9", 8080)
    assert entry.state is UpstreamState.READY
    assert (entry.cold_s, entry.started_ms, entry.slots) == (1.5, 1778546087170, 4)


def without(value, *path):
    copy = json.loads(json.dumps(value))
    inner = copy
    for name in path[:-1]:
        inner = inner[name]
    del inner[path[-1]]
    return copy


def changed(value, new, *path):
    copy = json.loads(json.dumps(value))
    inner = copy
    for name in path[:-1]:
        inner = inner[name]
    inner[path[-1]] = new
    return copy


@pytest.mark.parametrize(
    "bad",
    [
        b"",
        b"\xff\x00",
        b"null",
        b"[]",
        json.dumps(ENTRY).encode()[:-5],
        without(ENTRY, "address"),
        without(ENTRY, "info", "zone"),
        without(ENTRY, "status", "state"),
        changed(ENTRY, "lost", "status", "state"),
        changed(ENTRY, "nowhere", "address"),
        changed(ENTRY, "10.0.0.1:http", "address"),
        changed(ENTRY, "4", "info", "slots"),
        changed(ENTRY, 5, "info", "service"),
        changed(ENTRY, 1.5, "born"),
    ],
)
def test_malformed_entry_is_an_error(bad):
    with pytest.raises(ValueError, match=r".+"):
        PlatformCodec().upstream(item(bad))


@given(st.binary(max_size=200))
def test_no_bytes_break_the_decoder(data):
    try:
        PlatformCodec().upstream(item(data))
    except ValueError as exc:
        assert str(exc)


def test_configuration_is_decoded():
    config = PlatformCodec().config(item(CONFIG, "op/config"))
    first, second = config.routes
    assert config.version == 7
    assert (first.host, first.prefix) == ("h.example", "/a/")
    assert first.parts == (Part("s", 90), Part("t", 10))
    assert (first.timeout_s, first.objective_s, first.max_attempts) == (1.5, 0.4, 2)
    assert first.allowed_regions == {"A"}
    assert first.repeatability is Repeatability.IDEMPOTENT
    assert second.repeatability is Repeatability.AT_MOST_ONCE
    assert second.parts == (Part("s", 1.0),)
    assert config.services["s"].health_path == "/up"
    assert config.limits.max_body_bytes == 1000


def test_kind_that_is_not_known_runs_at_most_once():
    raw = changed(CONFIG, "novel", "listeners", 0, "rules", 0, "kind")
    config = PlatformCodec().config(item(raw, "op/config"))
    assert config.routes[0].repeatability is Repeatability.AT_MOST_ONCE


@pytest.mark.parametrize(
    "bad", [b"{}", without(CONFIG, "version"), changed(CONFIG, {}, "listeners", 0, "rules", 0)]
)
def test_malformed_configuration_is_an_error(bad):
    with pytest.raises(ValueError, match=r".+"):
        PlatformCodec().config(item(bad, "op/config"))


def test_other_keys_of_operators_are_no_configuration():
    codec = PlatformCodec()
    assert codec.config(item({}, "op/evacuate/a")) is None
    assert codec.evacuated_zone("op/evacuate/a") == "a"
    assert codec.evacuated_zone("op/config") is None


def test_lookups_are_decoded_and_answered():
    codec = PlatformCodec()
    place = codec.decode_location("name=h.example&region=A&zone=a")
    assert (place.zone, place.region) == ("a", "A")
    assert codec.decode_location("").zone is None
    answer = json.loads(codec.lookup_answer(["10.0.0.1:1"], ttl_s=2.0))
    assert answer == {"addresses": ["10.0.0.1:1"], "ttlS": 2.0}


def test_settings_are_decoded():
    settings = decode_settings(json.dumps(SETTINGS).encode())
    assert (settings.vm, settings.front, settings.lookup) == (
        "edge-1",
        "10.1.0.10:1",
        "10.1.0.10:3",
    )
    assert settings.control == ""
    assert settings.bounds.grace_s == 6.0
    assert settings.peer_port == 7720


@pytest.mark.parametrize(
    ("name", "value"),
    [("graceS", "soon"), ("drainMs", None), ("budgetSlack", -1), ("coldOverage", [])],
)
def test_bounds_of_the_wrong_form_are_an_error(name, value):
    with pytest.raises(SettingsError, match=name):
        decode_settings(json.dumps(SETTINGS | {"bounds": {name: value}}).encode())


@pytest.mark.parametrize("name", ["nodeName", "ip", "zone", "listen", "platform", "portRange"])
def test_settings_without_a_needed_field_name_it(name):
    with pytest.raises(SettingsError, match=name):
        decode_settings(json.dumps(without(SETTINGS, name)).encode())
