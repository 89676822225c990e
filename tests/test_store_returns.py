"""A store that returns from an older copy, and gives revisions and lease ids out again."""

import asyncio
import contextlib
import json
from collections import Counter

import pytest
from gateway_process import entry as process_entry
from gateway_process import routing_config, running_gateway
from store_standin import store_standin
from test_relay import TWO_REGIONS
from test_relay import run_scenario as run_region
from test_site_discovery import config, entry, run_scenario, usable_ids, wait_until

from gooseberryport_core.gateway import store_epochs
from gooseberryport_core.gateway.store_epochs import StorePosition
from gooseberryport_gateway import _stored_items
from gooseberryport_gateway._peer_snapshots import _decoder
from gooseberryport_gateway._relay import WATCHERS
from gooseberryport_gateway.errors import (
    EpochChangedError,
    HistoryGoneError,
    LeaseGoneError,
    StoreError,
)
from gooseberryport_gateway.wire import Lease
from gooseberryport_standins.streams import start_stream_server

OWN_KEY = "gooseberryport/members/vm1"


def run_with_store(scenario):
    async def main():
        async with store_standin() as (standin, store):
            standin.era = 1
            await scenario(standin, store)

    asyncio.run(asyncio.wait_for(main(), 20))


async def write_many(standin, count):
    for number in range(count):
        await standin.put("other/x", {"n": number})


def test_read_starts_again_if_the_store_returns_between_two_pages():
    # Failure: a gateway combines the pages of two different pasts.
    async def scenario(standin, store):
        standin.page_size = 2
        for key in ("servers/a", "servers/b"):
            await standin.put(key, b"kept")
        copy = standin.copy()
        for key in ("servers/0", "servers/c"):
            await standin.put(key, b"lost")
        serve_range, pages = standin._range, []

        def return_after_first_page(query):
            pages.append(serve_range(query))
            if len(pages) == 1:
                asyncio.get_running_loop().create_task(standin.return_from(copy, cut=False))
            return pages[-1]

        standin._range = return_after_first_page
        page = await store.read_range("servers/")
        assert [item.key for item in page.items] == ["servers/a", "servers/b"]
        assert page.position == StorePosition(epoch=2, revision=standin.revision)

    run_with_store(scenario)


@pytest.mark.parametrize("fault", [None, 404, 410, 412, 429, 503])
@pytest.mark.parametrize("writes", [0, 40])
def test_watch_from_an_earlier_epoch_is_refused_whatever_the_answer(writes, fault):
    # Failure: a gateway goes on from a revision that means something else by now.
    async def scenario(standin, store):
        copy = standin.copy()
        await write_many(standin, 5)
        position = (await store.read_range("")).position
        await standin.return_from(copy)
        await write_many(standin, writes)
        standin.fault = lambda method, target: fault
        with pytest.raises(StoreError):
            await store.watch("", after=position, wait_s=0.1)
        standin.fault = lambda method, target: None
        with pytest.raises(EpochChangedError):
            await store.watch("", after=position, wait_s=0.1)
        assert store.epoch.current == 2

    run_with_store(scenario)


@pytest.mark.parametrize("era", [0, 1, "x", "-3", "", "1" * 40, "2, 2"])
def test_answer_of_an_earlier_or_malformed_epoch_is_not_applied(era):
    # Failure: a late answer of an older connection takes back what was read since.
    async def scenario(standin, store):
        standin.era = 2
        position = (await store.read_range("")).position
        standin.era = era
        await standin.put("servers/u1", b"old")
        for call in (
            store.read_range(""),
            store.watch("", after=position, wait_s=0.1),
            store.grant_lease(ttl_s=3.0),
        ):
            with pytest.raises(StoreError):
                await call
        standin.era = 2
        assert (await store.watch("", after=position, wait_s=0.1)).items

    run_with_store(scenario)


def test_store_that_goes_back_without_stating_an_epoch_is_read_anew():
    async def scenario(standin, store):
        standin.era = None
        copy = standin.copy()
        await write_many(standin, 5)
        position = (await store.read_range("")).position
        await standin.return_from(copy, cut=False)
        standin.era = None
        with pytest.raises(HistoryGoneError):
            await store.watch("", after=position, wait_s=0.1)

    run_with_store(scenario)


def test_lease_of_an_earlier_epoch_is_neither_renewed_nor_ended():
    # Failure: a gateway renews or ends the lease of another one that got the same id.
    async def scenario(standin, store):
        copy = standin.copy()
        lease = await store.grant_lease(ttl_s=3.0)
        await standin.return_from(copy, cut=False)
        others = await store.grant_lease(ttl_s=3.0)
        assert (others.id, others.epoch) == (lease.id, 2)
        await store.put("other", b"v", lease=others)
        standin.calls.clear()
        for call in (store.renew_lease, store.end_lease):
            with pytest.raises(LeaseGoneError):
                await call(lease)
        with pytest.raises(LeaseGoneError):
            await store.put("own", b"v", lease=lease)
        assert standin.calls == []
        assert "other" in standin.items
        assert lease == Lease(id=others.id, epoch=1)

    run_with_store(scenario)


async def settled(standin, state, *, cut, writes, copy):
    """Let the store return, and change three upstreams: one drains, one leaves, one is new."""
    await standin.return_from(copy, cut=cut)
    await standin.put("servers/u1", entry(state="draining", sequence=9))
    await standin.delete("servers/u2")
    await standin.put("servers/u9", entry())
    await write_many(standin, writes)


@pytest.mark.parametrize("cut", [True, False], ids=["cut", "open"])
@pytest.mark.parametrize("writes", [0, 40], ids=["lower", "higher"])
def test_changes_after_a_return_are_seen(writes, cut, tmp_path, monkeypatch):
    # Failure: a gateway sends requests to upstreams that drained or left after the return.
    async def scenario(standin, state, discovery):
        standin.era = 1
        await standin.put("op/config", config(3))
        for name in ("u1", "u2", "u3", "u4", "u5"):
            await standin.put(f"servers/{name}", entry())
        copy = standin.copy()
        await write_many(standin, 13)
        await wait_until(lambda: len(usable_ids(state)) == 5 and OWN_KEY in standin.items)
        await settled(standin, state, cut=cut, writes=writes, copy=copy)
        await wait_until(lambda: usable_ids(state) == ["u3", "u4", "u5", "u9"], within_s=4.0)
        await wait_until(lambda: OWN_KEY in standin.items)

    lines = run_scenario(scenario, tmp_path=tmp_path, monkeypatch=monkeypatch)
    (returned,) = [line for line in lines if line["event"] == "gateway_store_returned"]
    assert (returned["earlier_epoch"], returned["epoch"]) == (1, 2)
    assert returned["learned_from"] == "store"


def test_what_was_acknowledged_holds_until_it_is_written_again(tmp_path, monkeypatch):
    # Failure: the copy takes back an evacuation, its end, a configuration, a drain or a gateway.
    async def scenario(standin, state, discovery):
        monkeypatch.setattr(store_epochs, "HOLD_S", 60.0)
        standin.era = 1
        await standin.put("op/config", config(3))
        await standin.put("servers/u1", entry())
        await standin.put("op/evacuate/b9", {})
        await wait_until(lambda: state.upstreams.evacuated == {"b9"})
        copy = standin.copy()
        await standin.put("op/config", config(4))
        await standin.put("op/evacuate/a7", {})
        await standin.delete("op/evacuate/b9")
        await standin.put("servers/u1", entry(state="draining", sequence=9))
        await standin.put("gooseberryport/members/vm2", member("vm2", incarnation=7))
        await wait_until(lambda: state.upstreams.evacuated == {"a7"})
        await wait_until(
            lambda: state.routes.config.version == 4 and len(discovery._stored.members) == 2
        )
        for _ in range(2):
            await standin.return_from(copy)
            await wait_until(lambda: in_use(state) == standin.era)
            assert state.upstreams.evacuated == {"a7"}
            assert state.routes.config.version == 4
            assert usable_ids(state) == []
            assert "gooseberryport/members/vm2" in discovery._stored.members
            kept = {item.key: item.value for item in decoded_snapshot(discovery).items}
            assert json.loads(kept["op/config"])["version"] == 4
            assert "op/evacuate/a7" in kept and "op/evacuate/b9" not in kept
        await standin.put("op/evacuate/b9", {})
        await wait_until(lambda: state.upstreams.evacuated == {"a7", "b9"})
        await standin.put("op/evacuate/a7", {})
        await standin.delete("op/evacuate/a7")
        await wait_until(lambda: state.upstreams.evacuated == {"b9"})

    run_scenario(scenario, tmp_path=tmp_path, monkeypatch=monkeypatch)


def test_store_counts_once_the_time_to_write_again_has_passed(tmp_path, monkeypatch):
    # Failure: an evacuation that was never written again, or a lost gateway, stays for ever.
    async def scenario(standin, state, discovery):
        monkeypatch.setattr(store_epochs, "HOLD_S", 0.5)
        standin.era = 1
        await standin.put("op/config", config(3))
        copy = standin.copy()
        await standin.put("op/evacuate/a7", {})
        await standin.put("gooseberryport/members/vm2", member("vm2", incarnation=7))
        await standin.put("servers/u1", entry())
        await wait_until(
            lambda: usable_ids(state) == ["u1"] and len(discovery._stored.members) == 2
        )
        await standin.return_from(copy)
        await wait_until(lambda: state.metrics.store_epoch._value.get() == 2)
        held_at = asyncio.get_running_loop().time()
        assert state.upstreams.evacuated == {"a7"}
        while (
            state.upstreams.evacuated or "gooseberryport/members/vm2" in discovery._stored.members
        ):
            await asyncio.sleep(0.02)
            discovery.expire()
        assert 0.4 < asyncio.get_running_loop().time() - held_at < 1.5
        while state.upstreams.get("u1") is not None:
            assert asyncio.get_running_loop().time() - held_at < _stored_items.OUTAGE_WINDOW_S + 0.5
            await asyncio.sleep(0.02)
            discovery.expire()

    run_scenario(scenario, tmp_path=tmp_path, monkeypatch=monkeypatch)


def test_same_version_with_other_contents_replaces_the_lost_one(tmp_path, monkeypatch):
    # Failure: gateways that start after the return have another configuration than the others.
    async def scenario(standin, state, discovery):
        standin.era = 1
        await standin.put("op/config", config(3))
        copy = standin.copy()
        await standin.put("op/config", config(4))
        await wait_until(lambda: state.routes is not None and state.routes.config.version == 4)
        await standin.return_from(copy)
        other = config(4)
        other["listeners"][0]["rules"][0]["match"]["pathPrefix"] = "/b/"
        await standin.put("op/config", other)
        await wait_until(lambda: state.routes.find(host="h.example", path="/b/x") is not None)
        await standin.put("op/config", config(4))
        await asyncio.sleep(0.5)
        assert state.routes.find(host="h.example", path="/b/x") is not None

    run_scenario(scenario, tmp_path=tmp_path, monkeypatch=monkeypatch)


@pytest.mark.parametrize(("size", "places"), [(6, (("a1", "A", 0.0),)), (12, TWO_REGIONS)])
def test_few_gateways_of_a_region_read_the_store_after_a_return(
    size, places, tmp_path, monkeypatch
):
    # Failure: all gateways read everything at once, or one goes on in the earlier epoch.
    async def scenario(standin, gateways):
        copy = standin.copy()
        await write_many(standin, 13)
        await standin.put("servers/u2", entry())
        await wait_until(lambda: all(len(usable_ids(g.state)) == 2 for g in gateways))
        cut_off = next(g for g in gateways if g.discovery._watcher is not None)
        cut_off.store_link.block("up", "down")
        standin.calls.clear()
        await standin.return_from(copy)
        await write_many(standin, 40)
        await standin.put("servers/u1", entry(state="draining", sequence=99))
        await standin.put("servers/u3", entry())
        await wait_until(
            lambda: all(
                usable_ids(g.state) == ["u3"] and g.discovery._position.epoch == 2 for g in gateways
            ),
            within_s=6.0,
        )
        reads = [target for _, target in standin.calls if "kv-range" in target]
        assert len(reads) <= 3 * 3

    run_region(
        scenario,
        size=size,
        places=places,
        watchers=WATCHERS,
        tmp_path=tmp_path,
        monkeypatch=monkeypatch,
        era=1,
    )


@pytest.mark.parametrize(("size", "cut_off"), [(4, 1), (6, 2)])
def test_gateways_cut_off_from_the_store_learn_of_its_return_in_a_region_without_watchers(
    size, cut_off, tmp_path, monkeypatch
):
    # Failure: too few gateways follow the store for a watcher, and the others keep what drained.
    async def scenario(standin, gateways):
        copy = standin.copy()
        await write_many(standin, 13)
        by_role = sorted(gateways, key=lambda g: g.discovery._watcher is not None)
        for gateway in by_role[:cut_off]:
            gateway.store_link.block("up", "down")
        await standin.return_from(copy)
        await standin.put("servers/u1", entry(state="draining", sequence=99))
        await standin.put("servers/u3", entry())
        await wait_until(lambda: all(usable_ids(g.state) == ["u3"] for g in gateways))
        assert all(g.discovery._position.epoch == 2 for g in gateways)

    run_region(scenario, size=size, tmp_path=tmp_path, monkeypatch=monkeypatch, era=1)


def in_use(state):
    return state.metrics.store_epoch._value.get()


def member(vm, *, incarnation):
    return {
        "vm": vm,
        "zone": "a1",
        "region": "A",
        "front": "10.0.0.2:80",
        "datagrams": ["10.0.0.2", 9],
        "incarnation": incarnation,
    }


def decoded_snapshot(discovery):
    return _decoder.decode(discovery.encode_snapshot(region="A"))


@pytest.mark.parametrize(("cut", "writes"), [(True, 30), (False, 0)], ids=["cut", "open"])
def test_gateways_send_nothing_to_upstreams_that_left_after_a_return(cut, writes, tmp_path):
    # Failure: 20 of 160 requests reach a drained upstream, and 20 a deleted one, for good.
    runs = Counter()

    async def main():
        async with contextlib.AsyncExitStack() as stack:
            standin, _ = await stack.enter_async_context(store_standin())
            standin.era = 1
            gateways = [
                await stack.enter_async_context(running_gateway(tmp_path, standin.port, name=name))
                for name in ("vm-a", "vm-b")
            ]
            await standin.put("op/config", routing_config())
            for number in range(9):
                server = await start_stream_server(counting(f"u{number}", runs))
                stack.callback(server.close)
                port = server.sockets[0].getsockname()[1]
                if number < 8:
                    await standin.put(f"servers/u{number}", process_entry(port))
            for gateway in gateways:
                await gateway.until_ready()
            copy = standin.copy()
            await write_many(standin, 13)
            await asyncio.sleep(0.5)
            await standin.return_from(copy, cut=cut)
            draining = process_entry(1)
            draining["status"] = {"state": "draining", "sequence": 2}
            await standin.put("servers/u0", draining)
            await standin.delete("servers/u1")
            await standin.put("servers/u8", process_entry(port))
            await write_many(standin, writes)
            await asyncio.sleep(3.0)
            runs.clear()
            for start in range(0, 160, 40):
                await asyncio.gather(
                    *(
                        gateways[number % 2].get("front", "/a/x", request_id=f"r{number}")
                        for number in range(start, start + 40)
                    )
                )
            for key in ("vm-a", "vm-b"):
                assert f"gooseberryport/members/{key}" in standin.items

    asyncio.run(asyncio.wait_for(main(), 60))
    assert (runs["u0"], runs["u1"]) == (0, 0)
    assert runs["u8"] > 0
    assert sum(runs.values()) == 160


def counting(name, runs):
    async def serve(reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                request_id = head.lower().partition(b"request-id: ")[2].partition(b"\r\n")[0]
                runs[name] += 1
                await asyncio.sleep(0.05)
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nResponse-Signature: s\r\n"
                    b"Request-Id: " + request_id + b"\r\n\r\nok"
                )

    return serve
