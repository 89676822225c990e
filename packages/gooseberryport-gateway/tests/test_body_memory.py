"""Bodies of requests: what a process holds at most, and that each one is read in the end."""

import asyncio

from gateway_harness import connect_client, make_response, run, start_gateway, start_upstream
from hypothesis import given
from hypothesis import strategies as st

from gooseberryport_gateway._body_memory import SMALL_BODY_BYTES, BodyMemory, HeldBody
from gooseberryport_standins.samples import make_route

PROCESS_BYTES = 3_000_000
MAX_BYTES = 1_000_000
MAX_BODY_BYTES = 1_500_000


def new_body(memory):
    return HeldBody(memory=memory, on_paused=lambda _: None)


# Guards against uploads that together exceed the memory, and against bodies that wait forever.
@given(
    sizes=st.lists(st.integers(1, MAX_BODY_BYTES), min_size=1, max_size=12),
    picks=st.lists(st.integers(0, 11), max_size=200),
)
def test_bodies_stay_within_the_memory_and_each_one_is_read(sizes, picks):
    memory = BodyMemory(process_bytes=PROCESS_BYTES)
    left = {new_body(memory): size for size in sizes}
    order, chunk = list(left), 50_000
    turn = 0
    while left:
        readable = [body for body in order if body in left and not body.paused]
        # The oldest body is read or has its reply, so that the others follow.
        assert readable
        pick = picks[turn % len(picks)] if picks else 0
        body = readable[pick % len(readable)]
        turn += 1
        step = min(chunk, left[body])
        body.add(bytes(step))
        left[body] -= step
        assert memory.total_bytes == sum(held.num_bytes for held in order)
        small = len(order) * (SMALL_BODY_BYTES + chunk)
        assert memory.total_bytes <= MAX_BYTES + MAX_BODY_BYTES + small
        if not left[body]:
            del left[body]
            body.release()
            order.remove(body)
    assert memory.total_bytes == 0


# Guards against a body that arrives byte by byte and needs many times its size.
def test_bytes_are_joined_to_large_chunks():
    body = new_body(BodyMemory())
    for _ in range(100_000):
        body.add(b"x")
    assert len(body.chunks) == 2
    assert b"".join(body.chunks) == b"x" * 100_000


# Guards against uploads that are refused or cut while a process could serve them one by one.
def test_uploads_beyond_the_memory_wait_and_all_are_answered():
    size, uploads = 900_000, 4

    async def main():
        async with (
            start_upstream(lambda head, _: make_response(head)) as upstream,
            start_gateway(make_route(timeout_s=10.0)) as gateway,
        ):
            gateway.put_upstream("u1", upstream.port)
            memory = gateway.memory = BodyMemory(process_bytes=PROCESS_BYTES)
            peak = 0

            async def upload(number):
                nonlocal peak
                async with connect_client(gateway) as client:
                    client.send(
                        b"POST /a/x HTTP/1.1\r\nHost: h.example\r\nX-Id: i%d\r\n"
                        b"Content-Length: %d\r\n\r\n" % (number, size)
                    )
                    for _ in range(size // 10_000):
                        client.send(bytes(10_000))
                        await client.writer.drain()
                        await asyncio.sleep(0)
                        peak = max(peak, memory.total_bytes)
                    return (await client.read_reply())[0]

            assert await asyncio.gather(*map(upload, range(uploads))) == [200] * uploads
            assert peak <= MAX_BYTES + size + uploads * 300_000
            assert memory.total_bytes == 0
            lengths = [len(data.partition(b"\r\n\r\n")[2]) for data in upstream.requests_received]
            assert lengths == [size] * uploads

    run(main())


# Guards against a process that takes a body which it can't hold, and is killed for its memory.
def test_body_that_the_process_can_not_hold_is_refused_as_not_run():
    async def main():
        async with start_gateway(make_route()) as gateway:
            gateway.memory = BodyMemory(process_bytes=PROCESS_BYTES)
            async with connect_client(gateway) as client:
                client.send(
                    b"POST /a/x HTTP/1.1\r\nHost: h.example\r\nX-Id: i\r\n"
                    b"Content-Length: %d\r\n\r\n" % (MAX_BODY_BYTES + 1)
                )
                status, head, _ = await client.read_reply()
            assert status == 503
            assert b"retry-after" in head

    run(main())
