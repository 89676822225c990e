import pytest
from gateway_harness import make_request, run, send_request, start_gateway, start_upstream

from gooseberryport_standins.samples import make_route
from gooseberryport_standins.streams import start_stream_server

ANSWERED = b"x-id: %s\r\nx-signature: sig\r\n"
HEADS = [
    b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n" + ANSWERED + b"x-more: 1\r\n\r\n",
    b"HTTP/1.1 200 OK\r\n" + ANSWERED + b"content-length: 2\r\n\r\n",
    b"HTTP/1.1 200 OK\r\n" + ANSWERED + b"connection: close\r\n\r\n",
    b"HTTP/1.1 204 No Content\r\n" + ANSWERED + b"x-more: 1\r\n\r\n",
    b"HTTP/1.1 503 Busy\r\ncontent-length: 0\r\nx-not-run: 1\r\n" + ANSWERED + b"\r\n",
]


@pytest.mark.parametrize("method", [b"POST", b"HEAD"])
@pytest.mark.parametrize("head", HEADS)
def test_response_cut_within_its_head_is_no_answer_and_no_refusal(head, method):
    cuts = list(range(1, len(head % b"id000")))

    received = []

    async def serve_cut(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        received.append(1)
        writer.write((head % b"id%03d" % len(received))[: cuts[len(received) - 1]])

    async def main():
        server = await start_stream_server(serve_cut)
        async with start_gateway(make_route(max_attempts=1)) as gateway:
            gateway.put_upstream("u1", server.sockets[0].getsockname()[1])
            for cut in cuts:
                request = make_request(method=method, request_id=b"id%03d" % cut)
                assert (await send_request(gateway, request))[0] == 502, cut
        server.close()

    run(main())


@pytest.mark.parametrize(("method", "body"), [(b"GET", b"body"), (b"HEAD", b"")])
def test_response_without_length_is_not_taken_for_another_requests(method, body):
    other = (
        b"HTTP/1.1 200 OK\r\nx-id: other\r\nx-signature: sig\r\nconnection: close\r\n\r\n" + body
    )

    async def main():
        async with (
            start_upstream(lambda head, _: other) as upstream,
            start_gateway(make_route(max_attempts=1)) as gateway,
        ):
            gateway.put_upstream("u1", upstream.port)
            assert (await send_request(gateway, make_request(method=method)))[0] == 502

    run(main())
