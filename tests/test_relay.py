"""A few gateways watch the store for their whole region; tested against a stand-in store."""

import asyncio
import contextlib

import msgspec
import pytest
from soak_harness import FaultyLink
from store_standin import store_standin
from test_site_discovery import ENTRY, OWN_MEMBER, config, entry, make_state, usable_ids, wait_until

from gooseberryport_core.gateway import state_ages
from gooseberryport_core.gateway.store_epochs import StorePosition
from gooseberryport_gateway import _relay
from gooseberryport_gateway._client_conn import ClientConn, Reply
from gooseberryport_gateway._discovery import Discovery
from gooseberryport_gateway._peer_snapshots import SNAPSHOT_PATH
from gooseberryport_gateway._relay import (
    CHANGES_PATH,
    MAX_CHANGES_KEPT,
    MIN_GATEWAYS_FOR_RELAY,
    WATCHERS,
    ChangeLog,
)
from gooseberryport_gateway.errors import IncompleteAnswerError
from gooseberryport_gateway.wire import StoreItem, StorePage
from gooseberryport_site.codec import PlatformCodec
from gooseberryport_site.store import PlatformStore


class Gateway:
    """The discovery of one gateway and the listener that other gateways request changes from."""

    def __init__(self, vm, store_link, log, *, place=("a1", "A", 0.0)):
        self.place = place
        self.store_link = store_link
        self.requests_received = 0
        self.silent = False
        self.conns = set()
        self._vm = vm
        self._log = log
        self._tasks = []

    async def listen(self):
        async def handle(req):
            self.requests_received += 1
            if self.silent:
                await asyncio.sleep(60)
            if req.path == CHANGES_PATH:
                return await self.discovery.relay.handle_request(req)
            if req.path == SNAPSHOT_PATH:
                region_name = self.place[1]
                body = self.discovery.encode_snapshot(region=region_name)
                return Reply(status=200, headers=[], body=body)
            return Reply(status=404, headers=[])

        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: ClientConn(handler=handle, limits=lambda: self.state.limits, conns=self.conns),
            "127.0.0.1",
            0,
        )
        port = self.server.sockets[0].getsockname()[1]
        zone, region_name, store_delay_s = self.place
        me = msgspec.structs.replace(
            OWN_MEMBER,
            vm=self._vm,
            zone=zone,
            region=region_name,
            control=f"127.0.0.1:{port}",
            store_delay_s=store_delay_s,
        )
        self.state = make_state(self._log.fileno(), me=me)
        store = PlatformStore(address=f"127.0.0.1:{self.store_link.port}")
        self.discovery = Discovery(state=self.state, store=store, codec=PlatformCodec())

    def start(self):
        self._tasks = [asyncio.create_task(self.discovery.follow())]

    def stop(self):
        for task in self._tasks:
            task.cancel()
        self.server.close()
        for conn in list(self.conns):
            conn.abort()


@contextlib.asynccontextmanager
async def region(standin, log, *, size, places=(("a1", "A", 0.0),)):
    links = [await FaultyLink(standin.port).start() for _ in range(size)]
    gateways = [
        Gateway(f"vm{n}", link, log, place=places[n % len(places)]) for n, link in enumerate(links)
    ]
    for gateway in gateways:
        await gateway.listen()

    async def deliver_heartbeats():
        while True:
            now = asyncio.get_running_loop().time()
            for gateway in gateways:
                for other in gateways:
                    if other is not gateway and not other.silent:
                        gateway.state.fleet.record_datagram(
                            other.state.me.vm,
                            incarnation=1,
                            ready=other.state.ready,
                            follows_store=other.state.follows_store,
                            now=now,
                        )
            await asyncio.sleep(0.02)

    members = [gateway.state.me for gateway in gateways]
    for gateway in gateways:
        now = asyncio.get_running_loop().time()
        gateway.state.fleet.set_listed(members, now=now)
        gateway.discovery._stored.members.update((member.vm, member) for member in members)
        gateway.start()
    heartbeat_task = asyncio.create_task(deliver_heartbeats())
    try:
        yield gateways
    finally:
        heartbeat_task.cancel()
        for gateway in gateways:
            gateway.stop()
            gateway.store_link.close()


def run_scenario(
    scenario, *, size, tmp_path, monkeypatch, places=(("a1", "A", 0.0),), watchers=None, era=None
):
    monkeypatch.setattr(_relay, "AVOID_WATCHER_WINDOW_S", 0.2)
    monkeypatch.setattr(state_ages, "MAX_AGE_FRACTION", 20.0)

    async def main():
        with (tmp_path / "log").open("wb") as log:
            async with store_standin() as (standin, _):
                standin.era = era
                await standin.put("servers/u1", ENTRY)
                await standin.put("op/config", config(1))
                async with region(standin, log, size=size, places=places) as gateways:
                    await wait_until(lambda: all(gateway.state.ready for gateway in gateways))
                    expected = size if size < MIN_GATEWAYS_FOR_RELAY else WATCHERS
                    expected = watchers or expected
                    await wait_until(lambda: count_store_watchers(gateways) == expected)
                    await scenario(standin, gateways)

    asyncio.run(asyncio.wait_for(main(), 30))


def count_store_watchers(gateways):
    return sum(gateway.discovery._watcher is None for gateway in gateways)


async def publish_upstream_states(standin, count):
    for number in range(count):
        await standin.put("servers/u1", entry(sequence=10 + number))
        await asyncio.sleep(0.05)


def count_watch_calls(standin):
    return sum("kv-watch" in target for _, target in standin.calls)


@pytest.mark.parametrize(("size", "max_watchers"), [(4, 4), (8, 2)])
def test_only_two_gateways_of_a_large_region_watch_the_store(
    size, max_watchers, tmp_path, monkeypatch
):
    async def scenario(standin, gateways):
        before = count_watch_calls(standin)
        await publish_upstream_states(standin, 20)
        per_watcher = 20 + 4
        assert count_watch_calls(standin) - before <= max_watchers * per_watcher
        assert count_store_watchers(gateways) == max_watchers
        await standin.put("servers/u1", entry(state="draining", sequence=99))
        await wait_until(
            lambda: all(usable_ids(gateway.state) == [] for gateway in gateways), within_s=1.0
        )

    run_scenario(scenario, size=size, tmp_path=tmp_path, monkeypatch=monkeypatch)


def test_gateways_watch_the_store_while_their_watchers_are_silent(tmp_path, monkeypatch):
    async def scenario(standin, gateways):
        for gateway in gateways:
            if gateway.discovery._watcher is None:
                gateway.silent = True
        await standin.put("servers/u1", entry(state="draining", sequence=99))
        others = [gateway for gateway in gateways if not gateway.silent]
        assert len(others) == 6
        drain_s = others[0].state.settings.bounds.drain_s
        within_s = state_ages.LONG_POLL_FRACTION * drain_s + _relay.LONG_POLL_MARGIN_S + 0.7
        await wait_until(
            lambda: all(usable_ids(other.state) == [] for other in others), within_s=within_s
        )

    run_scenario(scenario, size=8, tmp_path=tmp_path, monkeypatch=monkeypatch)


def test_watcher_without_the_store_is_not_followed(tmp_path, monkeypatch):
    async def scenario(standin, gateways):
        watchers = [gateway for gateway in gateways if gateway.discovery._watcher is None]
        for watcher in watchers:
            watcher.store_link.close()
        await wait_until(lambda: all(not watcher.state.follows_store for watcher in watchers))
        await standin.put("servers/u1", entry(state="draining", sequence=99))
        others = [gateway for gateway in gateways if gateway not in watchers]
        await wait_until(
            lambda: all(usable_ids(other.state) == [] for other in others), within_s=2.0
        )

    run_scenario(scenario, size=8, tmp_path=tmp_path, monkeypatch=monkeypatch)


def test_stale_watcher_is_not_followed(tmp_path, monkeypatch):
    async def scenario(standin, gateways):
        monkeypatch.setattr(state_ages, "MAX_AGE_FRACTION", 0.0)
        before = count_watch_calls(standin)
        await publish_upstream_states(standin, 5)
        assert all(
            gateway.discovery._watcher is None or gateway.requests_received == 0
            for gateway in gateways
        )
        assert count_watch_calls(standin) - before > 5

    run_scenario(scenario, size=8, tmp_path=tmp_path, monkeypatch=monkeypatch)


TWO_REGIONS = (("a1", "A", 0.03), ("b1", "B", 0.004))


def test_only_the_region_near_the_store_watches_it(tmp_path, monkeypatch):
    async def scenario(standin, gateways):
        watching = [gateway for gateway in gateways if gateway.discovery._watcher is None]
        assert {gateway.place[1] for gateway in watching} == {"B"}
        await standin.put("servers/u1", entry(state="draining", sequence=99))
        await wait_until(
            lambda: all(usable_ids(gateway.state) == [] for gateway in gateways), within_s=1.0
        )

    run_scenario(
        scenario,
        size=12,
        tmp_path=tmp_path,
        monkeypatch=monkeypatch,
        places=TWO_REGIONS,
        watchers=WATCHERS,
    )


def test_other_regions_watch_the_store_while_the_near_region_is_silent(tmp_path, monkeypatch):
    async def scenario(standin, gateways):
        for gateway in gateways:
            gateway.silent = gateway.place[1] == "B"
        await standin.put("servers/u1", entry(state="draining", sequence=99))
        others = [gateway for gateway in gateways if not gateway.silent]
        await wait_until(
            lambda: all(usable_ids(other.state) == [] for other in others), within_s=2.5
        )

    run_scenario(
        scenario,
        size=12,
        tmp_path=tmp_path,
        monkeypatch=monkeypatch,
        places=TWO_REGIONS,
        watchers=WATCHERS,
    )


def item(key, value, revision):
    data = None if value is None else msgspec.json.encode(value)
    return StoreItem(key=key, value=data, revision=revision)


def change_log():
    log = ChangeLog(codec=PlatformCodec())
    log.reset([item("servers/u1", ENTRY, 5)], revision=5, now=0.0)
    return log


def test_reports_without_changes_are_not_relayed():
    log = change_log()
    assert not log.add([item("servers/u1", entry(sequence=5), 6)], revision=6, now=1.0)
    assert log.since(5) == []
    draining = item("servers/u1", entry(sequence=6, state="draining"), 7)
    assert log.add([draining], revision=7, now=2.0)
    assert log.since(5) == [draining]
    assert log.since(7) == []


def test_cold_time_that_passes_as_reported_is_relayed_once():
    log = change_log()
    cold_reports = [entry(sequence=5 + n, coldRemainingMs=3000 - 1000 * n) for n in range(3)]
    relayed = [
        log.add([item("servers/u1", report, 6 + n)], revision=6 + n, now=float(n))
        for n, report in enumerate(cold_reports)
    ]
    assert relayed == [True, False, False]
    cold_again = entry(sequence=9, coldRemainingMs=3000)
    assert log.add([item("servers/u1", cold_again, 9)], revision=9, now=2.5)


def test_removals_returns_and_unreadable_entries_are_relayed():
    log = change_log()
    removed = item("servers/u1", None, 6)
    returned = item("servers/u1", ENTRY, 7)
    unreadable = StoreItem(key="servers/u1", value=b"{", revision=8)
    changed = item("op/config", config(2), 9)
    changes = [removed, returned, unreadable, changed]
    log.add(changes, revision=9, now=1.0)
    assert log.since(5) == changes


def test_gateway_too_far_behind_has_to_read_the_store():
    log = change_log()
    assert log.since(4) is None
    for number in range(MAX_CHANGES_KEPT + 1):
        log.add([item(f"op/x{number}", {}, 6 + number)], revision=6 + number, now=0.0)
    assert log.since(5) is None
    assert len(log.since(6)) == MAX_CHANGES_KEPT
    assert ChangeLog(codec=PlatformCodec()).since(0) is None


def test_answer_that_arrived_slowly_counts_as_old(tmp_path):
    # Failure: a watcher behind a slow link states an age of 0, and is followed and believed.
    async def main():
        with (tmp_path / "log").open("wb") as log:
            relay = _relay.Relay(state=make_state(log.fileno()), codec=PlatformCodec())
            position = StorePosition(epoch=1, revision=6)
            relay.reset([], position=position, age_s=0.0)
            for items in [(), (item("op/x", {}, 6),)]:
                relay.record_store_page(StorePage(items=items, position=position, transfer_s=5.0))
                assert 5.0 <= relay.state_age_s < 6.0

    asyncio.run(main())


def test_followers_get_what_a_watcher_learns_by_a_full_read(tmp_path, monkeypatch):
    # Failure: all of its followers are refused, and call the store themselves.
    async def scenario(standin, gateways):
        watchers = [gateway for gateway in gateways if gateway.discovery._watcher is None]
        followers = [gateway for gateway in gateways if gateway.discovery._watcher is not None]
        stores, reads = [], []
        for watcher in watchers:
            # Watches fail as if their answers arrived in part, so the watchers read all anew.
            watch = watcher.discovery._store.watch

            async def watch_in_part(*args, watch=watch, **kwargs):
                page = await watch(*args, **kwargs)
                if any(item.key == "op/config" for item in page.items):
                    reads.append(page)
                    raise IncompleteAnswerError("test")
                return page

            watcher.discovery._store.watch = watch_in_part
        for gateway in followers:
            gateway.discovery._store.watch = count_calls(gateway.discovery._store.watch, stores)
        await asyncio.sleep(0.5)
        await standin.put("servers/u2", ENTRY)
        await standin.delete("servers/u1")
        await standin.put("op/config", config(2))
        await wait_until(
            lambda: all(gateway.state.routes.config.version == 2 for gateway in gateways)
        )
        assert all(gateway.state.upstreams.get("u1") is None for gateway in gateways)
        assert len(reads) == len(watchers) and stores == []

    run_scenario(scenario, size=8, tmp_path=tmp_path, monkeypatch=monkeypatch)


def count_calls(call, calls):
    async def counted(*args, **kwargs):
        calls.append(args)
        return await call(*args, **kwargs)

    return counted
