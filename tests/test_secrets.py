"""What each listener of a gateway answers, and where API keys may be read."""

import asyncio
import json

import pytest
from gateway_process import entry, routing_config, running_gateway, slow_upstream
from store_standin import store_standin

from gooseberryport_gateway._pages import PAGE_TABLE, Content, Listener, Page, pages_of
from gooseberryport_gateway._relay import CHANGES_PATH
from gooseberryport_standins.streams import open_stream

KEY = "planted-secret"
UNKNOWN_KEY = "other-planted-secret"
PATHS = {
    "/v1/resolve?name=h&region=A&zone=a": Page.LOOKUP,
    "/v1/ready": Page.READY,
    "/metrics": Page.METRICS,
    "/v1/snapshot?region=A": Page.SNAPSHOT,
    f"{CHANGES_PATH}?after=0": Page.CHANGES,
    "/v1/snapshot/": None,
    "//v1/snapshot": None,
    "/V1/SNAPSHOT": None,
    "/v1/%73napshot": None,
    "/": None,
}
METHODS = ("GET", "POST", "HEAD")
SERVED = {
    "front": set(),
    "ready": {Page.READY, Page.METRICS},
    "directory": {Page.LOOKUP},
    "control": {Page.METRICS, Page.SNAPSHOT, Page.CHANGES},
}
WITH_KEYS = {Page.SNAPSHOT, Page.CHANGES}


def config():
    tenants = [
        {"name": "t", "apiKeys": [KEY]},
        {"name": "broken", "apiKeys": [KEY, 7], "allowedRegions": KEY},
    ]
    return routing_config() | {"tenants": tenants}


async def exchange(port, method, path, *, key=None):
    head = f"{method} {path} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: id1\r\n"
    head += f"Authorization: Bearer {key}\r\n" if key else ""
    async with open_stream(port) as (reader, writer):
        writer.write(f"{head}Content-Length: 0\r\nConnection: close\r\n\r\n".encode())
        return await reader.read()


def test_api_keys_are_read_at_the_control_listener_only(tmp_path):
    # Failure: whoever may look up gateways reads all tenants' keys at /v1/snapshot.
    answers = {}

    async def main():
        async with (
            store_standin() as (standin, _),
            slow_upstream(0.0) as upstream_port,
            running_gateway(tmp_path, standin.port) as gateway,
        ):
            await standin.put("op/config", config())
            await standin.put("servers/u1", entry(upstream_port))
            await gateway.until_ready()
            for key in (KEY, UNKNOWN_KEY, f"{KEY} {KEY}"):
                await exchange(gateway.ports["front"], "GET", "/a/x", key=key)
            for role in SERVED:
                for path in PATHS:
                    for method in METHODS:
                        port = gateway.ports[role]
                        answers[role, path, method] = await exchange(port, method, path, key=KEY)
            gateway.process.terminate()
            await gateway.process.wait()

    asyncio.run(asyncio.wait_for(main(), 60))
    for (role, path, method), answer in answers.items():
        served = PATHS[path] in SERVED[role]
        assert (answer.split(b" ")[1] != b"404") == served, (role, path, method)
        may_reveal = served and PATHS[path] in WITH_KEYS
        assert may_reveal or KEY.encode() not in answer, (role, path, method)
    assert KEY.encode() in answers["control", "/v1/snapshot?region=A", "GET"]
    log = (tmp_path / "log").read_text()
    assert '"request":"id1"' in log
    assert KEY not in log and UNKNOWN_KEY not in log


@pytest.mark.parametrize("other", [Listener.READY, Listener.LOOKUP])
def test_address_that_is_not_only_the_control_listeners_serves_no_stored_items(other):
    # Failure: settings that give two listeners one address open the keys again.
    pages = pages_of([Listener.CONTROL, other])
    assert not pages & WITH_KEYS
    assert pages >= pages_of([other])


def test_table_has_each_page_once_and_names_those_with_keys():
    assert sorted(row.page.value for row in PAGE_TABLE) == sorted(page.value for page in Page)
    assert {row.page for row in PAGE_TABLE if row.content is Content.STORED_ITEMS} == WITH_KEYS


def test_keys_reach_no_error_of_a_settings_or_configuration_check(tmp_path):
    # Failure: a configuration that can't be decoded is quoted in a log line.
    async def main():
        async with (
            store_standin() as (standin, _),
            running_gateway(tmp_path, standin.port) as gateway,
        ):
            await standin.put("op/config", config() | {"version": KEY})
            await standin.put("op/config", config() | {"listeners": [{"host": KEY, "rules": KEY}]})
            await standin.put("op/config", config() | {"version": 9})
            await gateway.until_ready()
            gateway.process.terminate()
            await gateway.process.wait()

    asyncio.run(asyncio.wait_for(main(), 60))
    lines = [json.loads(line) for line in (tmp_path / "log").read_text().splitlines()]
    assert [line for line in lines if line["event"] == "gateway_config_applied"]
    assert KEY not in json.dumps(lines)
