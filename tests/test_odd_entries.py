"""Odd values in the store, written by another writer: one value says nothing about the others."""

import asyncio
import json

import pytest
from gateway_process import entry, routing_config, running_gateway, slow_upstream
from store_standin import store_standin
from test_site_discovery import ENTRY, config, run_scenario, usable_ids, wait_until

from gooseberryport_core.decoding import InputError
from gooseberryport_gateway._relay import MAX_CHANGE_BYTES_KEPT, ChangeLog
from gooseberryport_gateway.wire import MAX_UNREADABLE_BYTES, StoreItem
from gooseberryport_site.codec import MAX_ENTRY_BYTES, PlatformCodec

NESTED = 4_096
HUGE = int("9" * 400)


def changed(value, *path, to):
    copy = json.loads(json.dumps(value))
    node = copy
    for name in path[:-1]:
        node = node[name]
    node[path[-1]] = to
    return copy


DEEP = b'{"address":"127.0.0.1:9","info":{"more":' + b"[" * NESTED
DEEP_BUT_VALID = (
    json.dumps(ENTRY).encode()[:-1] + b',"more":' + b"[" * NESTED + b"]" * NESTED + b"}"
)

ODD_ENTRIES = {
    "deep": DEEP,
    "deep but valid": DEEP_BUT_VALID,
    "slots": changed(ENTRY, "info", "slots", to=HUGE),
    "negative slots": changed(ENTRY, "info", "slots", to=-HUGE),
    "born": changed(ENTRY, "born", to=HUGE),
    "sequence": changed(ENTRY, "status", "sequence", to=HUGE),
    "cold": changed(ENTRY, "status", "coldRemainingMs", to=HUGE),
    "port": changed(ENTRY, "address", to="127.0.0.1:70000"),
    "port 0": changed(ENTRY, "address", to="127.0.0.1:0"),
    "host name": changed(ENTRY, "address", to="host.example:80"),
    "large": changed(ENTRY, "info", "zone", to="z" * MAX_ENTRY_BYTES),
}

ODD_CONFIGS = {
    "deep": b'{"version":9,"listeners":' + b"[" * NESTED,
    "version": changed(config(9), "version", to=HUGE),
    "timeout": changed(
        config(9), "listeners", 0, "rules", 0, "action", "timeoutMs", to=float("inf")
    ),
    "body": config(9) | {"limits": {"maxBodyBytes": HUGE}},
}

MEMBER = {
    "vm": "x",
    "zone": "a1",
    "region": "A",
    "front": "10.0.0.2:1",
    "datagrams": ["10.0.0.2", 9],
    "incarnation": 1,
}

ODD_MEMBERS = {
    "deep": b"[" * NESTED,
    "control": MEMBER | {"control": "10.0.0.2:x"},
    "port": MEMBER | {"datagrams": ["10.0.0.2", 70000]},
}


def as_bytes(value):
    return value if isinstance(value, bytes) else json.dumps(value).encode()


@pytest.mark.parametrize("name", ODD_ENTRIES)
def test_an_odd_entry_is_refused_where_it_is_decoded(name):
    item = StoreItem(key="servers/odd", value=as_bytes(ODD_ENTRIES[name]), revision=1)
    with pytest.raises(InputError, match=r".+"):
        PlatformCodec().upstream(item)


@pytest.mark.parametrize("name", ODD_CONFIGS)
def test_an_odd_configuration_is_refused_where_it_is_decoded(name):
    item = StoreItem(key="op/config", value=as_bytes(ODD_CONFIGS[name]), revision=1)
    with pytest.raises(InputError, match=r".+"):
        PlatformCodec().config(item)


# Guards against one value that ends the task which follows the store, or keeps it from the rest.
@pytest.mark.parametrize(
    ("key", "value"),
    [
        *(pytest.param("servers/odd", value, id=name) for name, value in ODD_ENTRIES.items()),
        *(pytest.param("op/config", value, id=name) for name, value in ODD_CONFIGS.items()),
        *(
            pytest.param("gooseberryport/members/x", value, id=name)
            for name, value in ODD_MEMBERS.items()
        ),
    ],
)
def test_an_odd_value_leaves_the_others_and_is_logged_once(key, value, tmp_path, monkeypatch):
    async def scenario(standin, state, discovery):
        await standin.put("op/config", config(3))
        await standin.put("servers/u1", ENTRY)
        await wait_until(lambda: discovery.synced and usable_ids(state) == ["u1"])
        for number in range(3):
            await standin.put(key, as_bytes(value))
            name = f"v{number}"
            await standin.put(f"servers/{name}", ENTRY)
            await wait_until(lambda name=name: name in usable_ids(state))
        assert usable_ids(state) == ["u1", "v0", "v1", "v2"]
        assert state.routes.config.version == 3

    lines = run_scenario(scenario, tmp_path=tmp_path, monkeypatch=monkeypatch)
    ignored = [line for line in lines if line["event"].endswith("_ignored")]
    assert [line["key"] for line in ignored] == [key]
    assert ignored[0]["reason"]


# Guards against an odd value that is there at every start, so that no start succeeds.
@pytest.mark.parametrize("value", [DEEP, ODD_ENTRIES["slots"]], ids=["deep", "slots"])
def test_a_start_with_an_odd_entry_finds_the_others(value, tmp_path, monkeypatch):
    async def scenario(standin, state, discovery):
        await standin.put("servers/a-odd", as_bytes(value))
        await standin.put("servers/u1", ENTRY)
        await standin.put("op/config", config(3))
        await wait_until(lambda: discovery.synced and usable_ids(state) == ["u1"])

    run_scenario(scenario, tmp_path=tmp_path, monkeypatch=monkeypatch)


# Guards against values of other programs that gateways would keep in memory for ever.
def test_keys_of_other_programs_are_neither_kept_nor_relayed(tmp_path, monkeypatch):
    async def scenario(standin, state, discovery):
        await standin.put("other/x", b"x" * 100_000)
        await standin.put("servers/odd", b"x" * 100_000)
        await standin.put("op/config", config(3))
        await wait_until(lambda: discovery.synced)
        await standin.put("other/y", b"x" * 100_000)
        await standin.put("servers/u1", ENTRY)
        await wait_until(lambda: usable_ids(state) == ["u1"])
        kept = {key: len(item.value) for key, item in discovery._stored.items.items()}
        assert not [key for key in kept if key.startswith("other/")]
        assert kept["servers/odd"] <= MAX_UNREADABLE_BYTES
        relayed = discovery.relay.log.since(discovery.relay.log._complete_from)
        assert not [item for item in relayed if item.key.startswith("other/")]

    run_scenario(scenario, tmp_path=tmp_path, monkeypatch=monkeypatch)


def test_an_unreadable_entry_that_is_written_again_is_relayed_once():
    log = ChangeLog(codec=PlatformCodec())
    log.reset([], revision=5, now=0.0)
    for revision in range(6, 16):
        item = StoreItem(key="servers/odd", value=DEEP, revision=revision)
        log.add([item], revision=revision, now=1.0)
    (relayed,) = log.since(5)
    assert len(relayed.value) <= MAX_UNREADABLE_BYTES


def add_large_changes(log, *, key):
    value = b"x" * 1_000_000
    for revision in range(6, 106):
        change = StoreItem(key=key.format(revision), value=value, revision=revision)
        log.add([change], revision=revision, now=1.0)


def test_large_changes_do_not_fill_the_kept_changes():
    log = ChangeLog(codec=PlatformCodec())
    log.reset([], revision=5, now=0.0)
    add_large_changes(log, key="op/other-{}")
    assert log.since(5) is None
    kept = log.since(log._complete_from)
    assert 0 < sum(len(item.value) for item in kept) <= MAX_CHANGE_BYTES_KEPT
    assert kept[-1].revision == 105


def test_only_the_newest_of_large_configurations_is_relayed():
    log = ChangeLog(codec=PlatformCodec())
    log.reset([], revision=5, now=0.0)
    add_large_changes(log, key="op/config")
    (relayed,) = log.since(5)
    assert relayed.revision == 105
    assert log.since(105) == []


# Guards against entries of another writer that end the process, again after each start.
def test_a_process_serves_beside_odd_values(tmp_path):
    async def main():
        async with (
            store_standin() as (standin, _),
            slow_upstream(0.01) as upstream_port,
            running_gateway(tmp_path, standin.port) as gateway,
        ):
            await standin.put("op/config", routing_config())
            await standin.put("servers/u1", entry(upstream_port))
            await gateway.until_ready()
            async with asyncio.timeout(5):
                while (await gateway.get("front", "/a/x"))[0] != 200:
                    await asyncio.sleep(0.05)
            for number, value in enumerate(ODD_ENTRIES.values()):
                await standin.put(f"servers/odd{number}", as_bytes(value))
            for value in ODD_CONFIGS.values():
                await standin.put("op/config", as_bytes(value))
            await standin.put("servers/u2", entry(upstream_port))
            statuses = []
            for number in range(40):
                answer = await gateway.get("front", "/a/x", request_id=f"r{number}")
                statuses.append(answer[0])
                await asyncio.sleep(0.05)
            assert statuses == [200] * 40
            assert gateway.process.returncode is None

    asyncio.run(asyncio.wait_for(main(), 60))
