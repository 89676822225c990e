import asyncio
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gooseberryport_core.decoding import MAX_DURATION_S
from gooseberryport_core.gateway.model import (
    MIN_CLIENT_TIMEOUT_S,
    Destination,
    Repeatability,
    UpstreamState,
)
from gooseberryport_core.gateway.state_ages import StateAges
from gooseberryport_gateway._client_conn import ClientConn, Reply
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


def without_field(value, *path):
    copy = json.loads(json.dumps(value))
    node = copy
    for name in path[:-1]:
        node = node[name]
    del node[path[-1]]
    return copy


def with_field(value, new, *path):
    copy = json.loads(json.dumps(value))
    node = copy
    for name in path[:-1]:
        node = node[name]
    node[path[-1]] = new
    return copy


@pytest.mark.parametrize(
    "bad",
    [
        b"",
        b"\xff\x00",
        b"null",
        b"[]",
        json.dumps(ENTRY).encode()[:-5],
        without_field(ENTRY, "address"),
        without_field(ENTRY, "info", "zone"),
        without_field(ENTRY, "status", "state"),
        with_field(ENTRY, "lost", "status", "state"),
        with_field(ENTRY, "nowhere", "address"),
        with_field(ENTRY, "10.0.0.1:http", "address"),
        with_field(ENTRY, "4", "info", "slots"),
        with_field(ENTRY, 5, "info", "service"),
        with_field(ENTRY, 1.5, "born"),
    ],
)
def test_malformed_entry_is_rejected(bad):
    with pytest.raises(ValueError, match=r".+"):
        PlatformCodec().upstream(item(bad))


@given(st.binary(max_size=200))
def test_decoder_raises_only_value_errors_for_arbitrary_bytes(data):
    try:
        PlatformCodec().upstream(item(data))
    except ValueError as exc:
        assert str(exc)


def test_configuration_is_decoded():
    config = PlatformCodec().config(item(CONFIG, "op/config"))
    first, second = config.routes
    assert config.version == 7
    assert (first.host, first.prefix) == ("h.example", "/a/")
    assert first.destinations == (Destination("s", 90), Destination("t", 10))
    assert (first.timeout_s, first.objective_s, first.max_attempts) == (1.5, 0.4, 2)
    assert first.allowed_regions == {"A"}
    assert first.repeatability is Repeatability.IDEMPOTENT
    assert second.repeatability is Repeatability.AT_MOST_ONCE
    assert second.destinations == (Destination("s", 1.0),)
    assert config.services["s"].health_path == "/up"
    assert config.limits.max_body_bytes == 1000


def test_requests_of_an_unknown_kind_run_at_most_once():
    raw = with_field(CONFIG, "novel", "listeners", 0, "rules", 0, "kind")
    config = PlatformCodec().config(item(raw, "op/config"))
    assert config.routes[0].repeatability is Repeatability.AT_MOST_ONCE


@pytest.mark.parametrize(
    "bad",
    [b"{}", without_field(CONFIG, "version"), with_field(CONFIG, {}, "listeners", 0, "rules", 0)],
)
def test_malformed_configuration_is_rejected(bad):
    with pytest.raises(ValueError, match=r".+"):
        PlatformCodec().config(item(bad, "op/config"))


# Guards against a rule that is served everywhere since its homes can't be read.
@pytest.mark.parametrize("bad", [None, "A", 7, {}, [7], [None], ["A", 7]])
def test_configuration_with_malformed_homes_of_a_route_is_rejected(bad):
    path = ("listeners", 0, "rules", 0, "action", "allowedRegions")
    with pytest.raises(ValueError, match="allowedRegions"):
        PlatformCodec().config(item(with_field(CONFIG, bad, *path), "op/config"))


@pytest.mark.parametrize("homes", [[], [""], ["A", "A"], ["unknown", "B"]])
def test_homes_of_a_route_are_taken_as_stated(homes):
    path = ("listeners", 0, "rules", 0, "action", "allowedRegions")
    config = PlatformCodec().config(item(with_field(CONFIG, homes, *path), "op/config"))
    assert config.routes[0].allowed_regions == set(homes)


# Guards against connections that close before a request over them can arrive.
@pytest.mark.parametrize("field", ["headerTimeoutMs", "idleTimeoutMs"])
@pytest.mark.parametrize("stated_ms", [-5, 0, -1e300, 0.001, 1e300, 100, 86_400_000, 3000])
def test_requests_are_served_whatever_the_timeouts_are(field, stated_ms):
    raw = with_field(CONFIG, stated_ms, "limits", field)
    config = PlatformCodec().config(item(raw, "op/config"))
    used_s = min(max(stated_ms / 1000.0, MIN_CLIENT_TIMEOUT_S), MAX_DURATION_S)
    limits = config.limits
    assert (limits.header_timeout_s if field[0] == "h" else limits.idle_timeout_s) == used_s
    notes = [f"limits.{field}: {stated_ms:g} ms, {used_s * 1000:.0f} ms are used"]
    assert list(config.notes) == (notes if used_s != stated_ms / 1000.0 else [])
    assert asyncio.run(request_status(limits)).startswith(b"HTTP/1.1 200")


async def request_status(limits):
    """Return the status line of a request whose bytes arrive 20 ms apart."""

    async def handler(request):
        return Reply(200, [])

    conns = set()
    server = await asyncio.get_running_loop().create_server(
        lambda: ClientConn(handler=handler, limits=lambda: limits, conns=conns), "127.0.0.1", 0
    )
    reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
    for part in (b"GET /a/x HTTP/1.1\r\n", b"Host: h\r\n\r\n"):
        await asyncio.sleep(0.02)
        writer.write(part)
    status = await reader.readline()
    writer.close()
    server.close()
    for conn in list(conns):
        conn.abort()
    return status


def test_other_operator_keys_are_not_a_configuration():
    codec = PlatformCodec()
    assert codec.config(item({}, "op/evacuate/a")) is None
    assert codec.evacuated_zone("op/evacuate/a") == "a"
    assert codec.evacuated_zone("op/config") is None


def test_lookups_are_decoded_and_their_answers_encoded():
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
    # Failure: a configuration that must be in force before a drain does is applied too late.
    bounds = {"drainMs": 3000, "configApplyMs": 2500}
    assert decode_settings(json.dumps(SETTINGS | {"bounds": bounds}).encode()).bounds.ages == (
        StateAges(bound_s=2.5)
    )
    assert settings.peer_port == 7720
    # Failure: a settings file of an earlier release, without the switch, changes the placement.
    assert not settings.even_load
    assert decode_settings(json.dumps(SETTINGS | {"evenLoad": True}).encode()).even_load
    assert not settings.priority_limits
    assert decode_settings(json.dumps(SETTINGS | {"priorityLimits": True}).encode()).priority_limits


@pytest.mark.parametrize(
    ("name", "value"),
    [("graceS", "soon"), ("drainMs", None), ("budgetSlack", -1), ("coldOverage", [])],
)
def test_error_for_an_invalid_bound_names_it(name, value):
    with pytest.raises(SettingsError, match=name):
        decode_settings(json.dumps(SETTINGS | {"bounds": {name: value}}).encode())


@pytest.mark.parametrize("name", ["nodeName", "ip", "zone", "listen", "platform", "portRange"])
def test_error_for_a_missing_setting_names_it(name):
    with pytest.raises(SettingsError, match=name):
        decode_settings(json.dumps(without_field(SETTINGS, name)).encode())
