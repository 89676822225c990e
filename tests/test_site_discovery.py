import asyncio
import json
import socket

import msgspec
from store_standin import store_standin

from gooseberryport_core.gateway import state_ages
from gooseberryport_core.gateway.lookups import Phase
from gooseberryport_core.gateway.model import Member
from gooseberryport_core.gateway.warmth import WarmthRecord
from gooseberryport_gateway import _peer_snapshots
from gooseberryport_gateway._discovery import Discovery
from gooseberryport_gateway._logs import Log
from gooseberryport_gateway._metrics import Metrics
from gooseberryport_gateway._state import GatewayState
from gooseberryport_gateway.errors import StoreError
from gooseberryport_gateway.wire import Bounds, GatewaySettings, StoreSnapshot
from gooseberryport_site.codec import PlatformCodec
from gooseberryport_site.store import PlatformStore
from gooseberryport_standins.streams import start_stream_server

ENTRY = {
    "address": "10.128.0.9:8080",
    "info": {"service": "s", "version": "v1", "zone": "a1", "slots": 4},
    "status": {"state": "ready", "sequence": 4, "coldRemainingMs": 0},
    "born": 1000,
}


def config(version):
    return {
        "version": version,
        "listeners": [
            {
                "host": "h.example",
                "rules": [
                    {
                        "kind": "safe",
                        "match": {"pathPrefix": "/a/"},
                        "action": {"service": "s", "timeoutMs": 1000},
                    }
                ],
            }
        ],
        "clusters": [],
    }


def entry(**status):
    return ENTRY | {"status": ENTRY["status"] | status}


OWN_MEMBER = Member("vm1", "a1", "A", "10.0.0.1:80", ("10.0.0.1", 9), 1)


def make_state(log_fd, *, seeds=(), me=OWN_MEMBER):
    settings = GatewaySettings(
        vm="vm1",
        zone="a1",
        region="A",
        regions={"a1": "A"},
        ip="127.0.0.1",
        front="",
        ready="",
        lookup="",
        control="",
        peer_port=0,
        seeds=seeds,
        store="",
        lease_min_ms=1000,
        bounds=Bounds(0.2, 50.0, 10.0, 1.5, 5.0, 0.05, 6.0, 5.0),
    )
    return GatewayState(settings=settings, me=me, log=Log(vm="vm1", fd=log_fd), metrics=Metrics())


async def wait_until(condition, *, within_s=4.0):
    async with asyncio.timeout(within_s):
        while not condition():
            await asyncio.sleep(0.01)


def run_scenario(scenario, *, tmp_path, monkeypatch):

    async def main():
        log_path = tmp_path / "log"
        with log_path.open("wb") as file:
            async with store_standin() as (standin, store):
                state = make_state(file.fileno())
                discovery = Discovery(state=state, store=store, codec=PlatformCodec())
                tasks = [
                    asyncio.create_task(discovery.follow()),
                    asyncio.create_task(discovery.maintain_membership()),
                ]
                try:
                    await scenario(standin, state, discovery)
                finally:
                    for task in tasks:
                        task.cancel()
            state.log.flush()
        return [json.loads(line) for line in log_path.read_text().splitlines()]

    return asyncio.run(asyncio.wait_for(main(), 20))


def usable_ids(state):
    return [upstream.id for upstream in state.upstreams.usable("s")]


def test_stored_state_and_its_changes_are_applied(tmp_path, monkeypatch):
    async def scenario(standin, state, discovery):
        await standin.put("servers/u1", ENTRY)
        assert not discovery.synced
        await standin.put("op/config", config(3))
        await wait_until(lambda: discovery.synced and usable_ids(state) == ["u1"])
        await standin.put("op/evacuate/a1", {})
        await wait_until(lambda: usable_ids(state) == [])
        await standin.delete("op/evacuate/a1")
        await wait_until(lambda: usable_ids(state) == ["u1"])
        await standin.put("servers/u1", entry(state="draining", sequence=5))
        await wait_until(lambda: usable_ids(state) == [])
        await standin.put("op/config", config(9))
        await wait_until(lambda: state.routes.config.version == 9)
        assert state.config_age_s() < 4.0

    lines = run_scenario(scenario, tmp_path=tmp_path, monkeypatch=monkeypatch)
    events = [line["event"] for line in lines]
    assert events.count("gateway_config_applied") == 2
    assert events.count("gateway_zones_evacuated") == 2
    assert all({"vm", "number", "timestamp"} <= line.keys() for line in lines)


def test_malformed_entries_and_configurations_are_ignored(tmp_path, monkeypatch):
    async def scenario(standin, state, discovery):
        await standin.put("op/config", config(3))
        await standin.put("servers/u1", ENTRY)
        await wait_until(lambda: usable_ids(state) == ["u1"])
        await standin.put("servers/u2", b"\xff not json")
        await standin.put("op/config", {"version": 4})
        await standin.put("gooseberryport/members/x", b"{}")
        await standin.put("servers/u3", ENTRY)
        await wait_until(lambda: usable_ids(state) == ["u1", "u3"])
        assert state.routes.config.version == 3
        await standin.put("servers/u1", b"[]")
        await wait_until(lambda: usable_ids(state) == ["u3"])

    lines = run_scenario(scenario, tmp_path=tmp_path, monkeypatch=monkeypatch)
    reasons = [line["event"] for line in lines if line["event"].endswith("_ignored")]
    assert sorted(reasons) == ["gateway_config_ignored"] + ["gateway_entry_ignored"] * 3


def test_all_keys_are_read_again_when_the_watch_history_is_gone(tmp_path, monkeypatch):
    async def scenario(standin, state, discovery):
        await standin.put("op/config", config(3))
        await standin.put("op/evacuate/a9", {})
        await standin.put("servers/u1", ENTRY)
        await standin.put("servers/u2", ENTRY)
        await wait_until(lambda: usable_ids(state) == ["u1", "u2"])
        standin.fault = lambda method, target: 410 if "watch" in target else None
        await standin.delete("servers/u2")
        await standin.delete("op/evacuate/a9")
        await wait_until(lambda: usable_ids(state) == ["u1"] and not state.upstreams.evacuated)

    lines = run_scenario(scenario, tmp_path=tmp_path, monkeypatch=monkeypatch)
    assert "gateway_store_history_gone" in [line["event"] for line in lines]


def test_entries_lost_in_an_outage_are_kept_until_upstreams_report_again(tmp_path, monkeypatch):
    async def scenario(standin, state, discovery):
        await standin.put("op/config", config(3))
        for index in range(4):
            await standin.put(f"servers/u{index}", ENTRY)
        await wait_until(lambda: len(usable_ids(state)) == 4)
        standin.fault = lambda method, target: 503
        await asyncio.sleep(0.8)
        assert len(usable_ids(state)) == 4
        for index in range(4):
            await standin.delete(f"servers/u{index}")
        standin.fault = lambda method, target: None
        await asyncio.sleep(1.0)
        assert len(usable_ids(state)) == 4
        await standin.put("servers/u0", entry(sequence=9))
        await wait_until(lambda: discovery.expire() or usable_ids(state) == ["u0"])

    lines = run_scenario(scenario, tmp_path=tmp_path, monkeypatch=monkeypatch)
    events = [line["event"] for line in lines]
    assert events.count("gateway_store_lost") == 1
    assert events.count("gateway_store_back") == 2


def test_membership_is_registered_again_when_its_lease_is_lost(tmp_path, monkeypatch):
    async def scenario(standin, state, discovery):
        key = "gooseberryport/members/vm1"
        await wait_until(lambda: key in standin.items)
        lease = standin.items[key]["lease"]
        await standin.end_lease(lease)
        await wait_until(lambda: key in standin.items)
        await discovery.end_membership()
        assert key not in standin.items

    run_scenario(scenario, tmp_path=tmp_path, monkeypatch=monkeypatch)


def test_gateway_rejected_by_the_store_starts_from_another_gateway(tmp_path, monkeypatch):
    async def scenario(standin, state, discovery):
        await standin.put("op/config", config(3))
        await standin.put("op/evacuate/b1", {})
        await standin.put("servers/u1", ENTRY)
        await wait_until(lambda: usable_ids(state) == ["u1"] and state.upstreams.evacuated)

        async def serve_snapshot(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            body = discovery.encode_snapshot(region="A")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
            await writer.drain()

        server = await start_stream_server(serve_snapshot)
        port = server.sockets[0].getsockname()[1]
        standin.fault = lambda method, target: 503
        with (tmp_path / "other").open("wb") as file:
            new_state = make_state(file.fileno(), seeds=("127.0.0.1:1", f"127.0.0.1:{port}"))
            store = PlatformStore(address=f"127.0.0.1:{standin.port}")
            new_discovery = Discovery(state=new_state, store=store, codec=PlatformCodec())
            task = asyncio.create_task(new_discovery.follow())
            await wait_until(lambda: new_discovery.synced and usable_ids(new_state) == ["u1"])
            assert new_state.ready
            assert new_state.upstreams.evacuated == {"b1"}
            standin.fault = lambda method, target: None
            await standin.put("op/config", config(9))
            await wait_until(lambda: new_state.routes.config.version == 9)
            task.cancel()
        server.close()

    run_scenario(scenario, tmp_path=tmp_path, monkeypatch=monkeypatch)


def test_other_gateways_are_discovered_from_the_store(tmp_path, monkeypatch):
    async def scenario(standin, state, discovery):
        other = {
            "vm": "vm2",
            "zone": "a1",
            "region": "A",
            "front": "10.0.0.2:80",
            "datagrams": ["10.0.0.2", 9],
            "incarnation": 5,
        }
        await standin.put("op/config", config(1))
        await wait_until(lambda: discovery.synced)
        await standin.put("gooseberryport/members/vm2", other)

        def front_addresses():
            found = state.fleet.entry_points(
                zone="a1",
                region="A",
                own_phase=Phase.SERVING,
                stop_times=state.stop_times,
                now=0.0,
            )
            return found.addresses

        await wait_until(lambda: "10.0.0.2:80" in front_addresses())
        await standin.delete("gooseberryport/members/vm2")
        await wait_until(lambda: "10.0.0.2:80" not in front_addresses())

    run_scenario(scenario, tmp_path=tmp_path, monkeypatch=monkeypatch)


async def serve_pages(discovery, *, port=0):
    """Serve a gateway's state as its control listener does."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        body = discovery.snapshot(region="A")
        if body is None:
            writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
        else:
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Encoding: deflate\r\nContent-Length: %d\r\n\r\n"
                % len(body)
                + body
            )
        await writer.drain()

    return await start_stream_server(serve, port=port)


def test_starting_gateway_reads_another_ones_state_instead_of_the_store(tmp_path, monkeypatch):
    monkeypatch.setattr(state_ages, "MAX_AGE_FRACTION", 20.0)

    async def scenario(standin, state, discovery):
        await standin.put("op/config", config(3))
        for index in range(60):
            await standin.put(f"servers/u{index}", ENTRY)
        await wait_until(lambda: len(usable_ids(state)) == 60)
        state.warmth.record("u7", 11, now=0.0, observed_here=True)
        server = await serve_pages(discovery)
        port = server.sockets[0].getsockname()[1]
        with (tmp_path / "other").open("wb") as file:
            new_state = make_state(file.fileno(), seeds=(f"127.0.0.1:{port}",))
            store = PlatformStore(address=f"127.0.0.1:{standin.port}")
            new_discovery = Discovery(state=new_state, store=store, codec=PlatformCodec())
            reads = sum("kv-range" in target for _, target in standin.calls)
            task = asyncio.create_task(new_discovery.follow())
            await wait_until(lambda: new_discovery.synced and len(usable_ids(new_state)) == 60)
            assert sum("kv-range" in target for _, target in standin.calls) == reads
            assert new_state.warmth.is_warm("u7", 11)
            await standin.delete("servers/u3")
            await wait_until(lambda: len(usable_ids(new_state)) == 59)
            task.cancel()
        server.close()

    run_scenario(scenario, tmp_path=tmp_path, monkeypatch=monkeypatch)


def test_state_that_is_too_old_is_not_used_while_the_store_answers(tmp_path, monkeypatch):
    monkeypatch.setattr(_peer_snapshots, "START_WAIT_S", 0.5)

    async def scenario(standin, state, discovery):
        await standin.put("op/config", config(3))
        await standin.put("servers/u1", ENTRY)
        await wait_until(lambda: usable_ids(state) == ["u1"])
        discovery.relay._up_to_date_at = float("-inf")
        stale = discovery.snapshot(region="A")
        discovery.snapshot = lambda region: stale
        await standin.delete("servers/u1")
        server = await serve_pages(discovery)
        port = server.sockets[0].getsockname()[1]
        with (tmp_path / "other").open("wb") as file:
            new_state = make_state(file.fileno(), seeds=(f"127.0.0.1:{port}",))
            store = PlatformStore(address=f"127.0.0.1:{standin.port}")
            new_discovery = Discovery(state=new_state, store=store, codec=PlatformCodec())
            task = asyncio.create_task(new_discovery.follow())
            await wait_until(lambda: new_discovery.synced)
            assert usable_ids(new_state) == []
            task.cancel()
        server.close()

    run_scenario(scenario, tmp_path=tmp_path, monkeypatch=monkeypatch)


def test_malformed_state_of_another_gateway_is_ignored(tmp_path, monkeypatch):
    class Broken:
        def snapshot(self, *, region):
            return b"not compressed"

    async def scenario(standin, state, discovery):
        await standin.put("op/config", config(3))
        server = await serve_pages(Broken())
        port = server.sockets[0].getsockname()[1]
        with (tmp_path / "other").open("wb") as file:
            new_state = make_state(file.fileno(), seeds=(f"127.0.0.1:{port}",))
            store = PlatformStore(address=f"127.0.0.1:{standin.port}")
            new_discovery = Discovery(state=new_state, store=store, codec=PlatformCodec())
            task = asyncio.create_task(new_discovery.follow())
            await wait_until(lambda: new_discovery.synced)
            task.cancel()
        server.close()

    run_scenario(scenario, tmp_path=tmp_path, monkeypatch=monkeypatch)


def test_warmth_of_another_region_is_passed_on_as_it_was_saved(tmp_path, monkeypatch):
    monkeypatch.setattr(state_ages, "MAX_AGE_FRACTION", 20.0)

    async def scenario(standin, state, discovery):
        record = msgspec.msgpack.encode(WarmthRecord(started_ms=ENTRY["born"], marks=(5, 6)))
        await standin.put("servers/u1", ENTRY)
        await standin.put("op/config", config(3))
        await wait_until(lambda: discovery.synced and usable_ids(state) == ["u1"])
        await standin.put("gooseberryport/warmth/B/u1", record)
        await standin.put("gooseberryport/warmth/A/u1", record)
        await wait_until(lambda: "gooseberryport/warmth/A/u1" in discovery._stored.items)
        snapshot = msgspec.msgpack.decode(discovery.encode_snapshot(region="B"), type=StoreSnapshot)
        kept = [item.key for item in snapshot.items if "warmth" in item.key]
        assert kept == ["gooseberryport/warmth/B/u1"]
        assert snapshot.warmth == {}

    run_scenario(scenario, tmp_path=tmp_path, monkeypatch=monkeypatch)


def test_gateway_that_starts_with_its_seeds_waits_for_their_state(tmp_path, monkeypatch):
    monkeypatch.setattr(state_ages, "MAX_AGE_FRACTION", 20.0)

    async def scenario(standin, state, discovery):
        await standin.put("op/config", config(3))
        await standin.put("servers/u1", ENTRY)
        await wait_until(lambda: usable_ids(state) == ["u1"])
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            port = free.getsockname()[1]
        with (tmp_path / "other").open("wb") as file:
            new_state = make_state(file.fileno(), seeds=(f"127.0.0.1:{port}",))
            store = PlatformStore(address=f"127.0.0.1:{standin.port}")
            new_discovery = Discovery(state=new_state, store=store, codec=PlatformCodec())
            reads = sum("kv-range" in target for _, target in standin.calls)
            task = asyncio.create_task(new_discovery.follow())
            await asyncio.sleep(0.2)
            assert not new_discovery.synced
            server = await serve_pages(discovery, port=port)
            await wait_until(lambda: new_discovery.synced)
            assert sum("kv-range" in target for _, target in standin.calls) == reads
            task.cancel()
        server.close()

    run_scenario(scenario, tmp_path=tmp_path, monkeypatch=monkeypatch)


class SilentStore:
    """A store that answers nothing while it is down, not even calls sent before it returns."""

    def __init__(self, store):
        self._store = store
        self.is_down = False
        self.watches = []

    def __getattr__(self, name):
        return getattr(self._store, name)

    async def watch(self, prefix, *, after, wait_s, answer_s):
        self.watches.append(wait_s)
        if self.is_down:
            await asyncio.sleep(wait_s + answer_s)
            raise StoreError("no answer")
        return await self._store.watch(prefix, after=after, wait_s=wait_s, answer_s=answer_s)


def test_return_of_a_silent_store_is_noticed_within_two_seconds(tmp_path):
    async def main():
        with (tmp_path / "log").open("wb") as file:
            async with store_standin() as (standin, store):
                silent = SilentStore(store)
                state = make_state(file.fileno())
                discovery = Discovery(state=state, store=silent, codec=PlatformCodec())
                await standin.put("op/config", config(3))
                task = asyncio.create_task(discovery.follow())
                await wait_until(lambda: discovery.synced and silent.watches)
                silent.is_down = True
                await standin.put("op/evacuate/b9", {})
                await wait_until(lambda: len(silent.watches) >= 3, within_s=8.0)
                silent.is_down = False
                await standin.put("op/config", config(9))
                await wait_until(lambda: state.routes.config.version == 9, within_s=2.0)
                assert silent.watches[0] == state_ages.MIN_WATCH_WAIT_S
                await wait_until(
                    lambda: silent.watches[-1] == state_ages.MIN_WATCH_WAIT_S, within_s=2.0
                )
                task.cancel()

    asyncio.run(asyncio.wait_for(main(), 20))
