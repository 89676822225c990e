import asyncio

import pytest
from store_standin import store_standin

from gooseberryport_core.gateway.store_epochs import StorePosition
from gooseberryport_gateway.errors import HistoryGoneError, LeaseGoneError, StoreError
from gooseberryport_site import store as site_store
from gooseberryport_site.store import PlatformStore
from gooseberryport_standins.streams import start_stream_server


def run(coroutine):
    return asyncio.run(asyncio.wait_for(coroutine, 20))


def test_range_is_read_page_by_page():
    async def main():
        async with store_standin() as (standin, store):
            standin.page_size = 3
            for index in range(8):
                await standin.put(f"a/{index}", b"v%d" % index)
            await standin.put("b/0", b"other")
            page = await store.read_range("a/")
            assert [item.value for item in page.items] == [b"v%d" % index for index in range(8)]
            assert page.position.revision == standin.revision

    run(main())


def test_watch_returns_changes_and_the_revision_to_continue_from():
    async def main():
        async with store_standin() as (standin, store):
            await standin.put("a", b"1")
            page = await store.read_range("")
            waiting = asyncio.create_task(store.watch("", after=page.position, wait_s=2.0))
            await asyncio.sleep(0.05)
            await standin.delete("a")
            changes = await waiting
            assert [(item.key, item.value) for item in changes.items] == [("a", None)]
            assert changes.position.revision == standin.revision

    run(main())


def test_watch_without_changes_times_out_with_an_empty_page():
    async def main():
        async with store_standin() as (standin, store):
            page = await store.watch("", after=StorePosition(0, standin.revision), wait_s=0.1)
            assert page.items == ()

    run(main())


def test_watch_from_a_compacted_revision_raises_history_gone():
    async def main():
        async with store_standin() as (standin, store):
            await standin.put("a", b"1")
            standin.forget_history()
            with pytest.raises(HistoryGoneError):
                await store.watch("", after=StorePosition(0, 1), wait_s=0.1)

    run(main())


def test_leases_are_granted_renewed_and_revoked():
    async def main():
        async with store_standin() as (standin, store):
            lease = await store.grant_lease(ttl_s=3.0)
            assert standin.leases[lease.id] == 3000
            await store.put("m", b"v", lease=lease)
            await store.renew_lease(lease)
            await store.end_lease(lease)
            assert "m" not in standin.items
            with pytest.raises(LeaseGoneError):
                await store.renew_lease(lease)
            with pytest.raises(LeaseGoneError):
                await store.put("m", b"v", lease=lease)

    run(main())


@pytest.mark.parametrize("fault", [429, 503, 500, "reset", "silent", "lost"])
def test_failed_call_raises_store_error_and_the_next_call_succeeds(fault, monkeypatch):
    monkeypatch.setattr(site_store, "CALL_TIMEOUT_S", 0.2)

    async def main():
        async with store_standin() as (standin, store):
            await store.read_range("")
            standin.fault = lambda method, target: fault
            with pytest.raises(StoreError):
                await store.put("k", b"v", lease=None)
            standin.fault = lambda method, target: None
            await store.put("k", b"v", lease=None)
            assert (await store.read_range("k")).items[0].value == b"v"

    run(main())


@pytest.mark.parametrize("status", [429, 503])
def test_rejection_by_the_store_sets_a_retry_delay(status):
    async def main():
        async with store_standin() as (standin, store):
            standin.fault = lambda method, target: status
            with pytest.raises(StoreError) as caught:
                await store.read_range("")
            assert caught.value.retry_after_s > 0

    run(main())


def test_unreachable_store_raises_store_error():
    async def main():
        with pytest.raises(StoreError):
            await site_store.PlatformStore(address="127.0.0.1:1").read_range("")

    run(main())


def test_calls_at_the_same_time_leave_one_connection_open():
    open_count = 0

    async def serve(reader, writer):
        nonlocal open_count
        open_count += 1
        body = b'{"items":[],"hasMore":false,"storeRevision":1}'
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                await asyncio.sleep(0.05)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        except asyncio.IncompleteReadError:
            open_count -= 1

    async def main():
        server = await start_stream_server(serve)
        store = PlatformStore(address=f"127.0.0.1:{server.sockets[0].getsockname()[1]}")
        await asyncio.gather(*(store.read_range("servers/") for _ in range(3)))
        async with asyncio.timeout(2):
            while open_count != 1:
                await asyncio.sleep(0.01)
        server.close()

    asyncio.run(main())


@pytest.mark.parametrize("begins", [False, True])
def test_watch_ends_unless_its_answer_has_begun_in_time(begins):
    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        body = b'{"events": [], "storeRevision": 7}'
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
        writer.write(head if begins else b"")
        await asyncio.sleep(0.6)
        writer.write(body if begins else head + body)

    async def main():
        server = await start_stream_server(serve)
        store = PlatformStore(address=f"127.0.0.1:{server.sockets[0].getsockname()[1]}")
        watch = store.watch("", after=StorePosition(0, 1), wait_s=0.1, answer_s=0.2)
        if begins:
            assert (await watch).position.revision == 7
        else:
            with pytest.raises(StoreError):
                await watch
        store.close()
        server.close()

    run(main())
