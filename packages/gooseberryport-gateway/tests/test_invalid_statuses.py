"""Upstreams and stores whose status lines are none of HTTP/1."""

import pytest
from gateway_harness import (
    make_request,
    make_response,
    run,
    send_request,
    start_gateway,
    start_upstream,
)

from gooseberryport_core.gateway.model import Repeatability
from gooseberryport_gateway._http_conn import open_conn
from gooseberryport_gateway.errors import ResponseLostError
from gooseberryport_standins.samples import make_route

INVALID = [b"000", b"001", b"099", b"600", b"799", b"999", b"2x0", b"+20", b"20", b"2000", b""]
VERSIONS = [b"HTTP/0.9", b"HTTP/2.0", b"HTTP/1.2"]


def respond(status, *, version=b"HTTP/1.1", **parts):
    def script(head, _):
        response = make_response(head, status=status + b" Status", **parts)
        return version + response.removeprefix(b"HTTP/1.1")

    return script


async def send_to(script, *, method=b"POST", **route_fields):
    async with (
        start_upstream(script) as upstream,
        start_gateway(make_route(**route_fields)) as gateway,
    ):
        gateway.put_upstream("u1", upstream.port)
        reply = await send_request(gateway, make_request(method=method))
        return reply, len(upstream.requests_received)


@pytest.mark.parametrize("method", [b"POST", b"HEAD"])
@pytest.mark.parametrize("extra", [b"", b"x-not-run: 1", b"content-encoding: gzip"])
@pytest.mark.parametrize("signed", [True, False])
@pytest.mark.parametrize("status", INVALID)
def test_response_with_an_invalid_status_reaches_no_client(status, signed, extra, method):
    # Failure: a client gets "HTTP/1.1 0 Status", or an order is sent again that may have run.
    script = respond(status, signed=signed, extra=extra)
    at_most_once = {"repeatability": Repeatability.AT_MOST_ONCE}
    (reply_status, head, body), sends = run(send_to(script, method=method, **at_most_once))
    assert (reply_status, body, sends) == (502, b"", 1)
    assert head.startswith(b"http/1.1 502 ")
    assert b"x-signature" not in head


@pytest.mark.parametrize("version", VERSIONS)
def test_response_of_another_version_of_http_reaches_no_client(version):
    (status, _, _), sends = run(send_to(respond(b"200", version=version), max_attempts=1))
    assert (status, sends) == (502, 1)


def test_idempotent_request_is_sent_to_another_upstream_after_an_invalid_status():
    async def main():
        async with (
            start_upstream(respond(b"000")) as first,
            start_upstream(lambda head, _: make_response(head)) as second,
            start_gateway(make_route()) as gateway,
        ):
            gateway.put_upstream("u1", first.port)
            gateway.put_upstream("u2", second.port)
            statuses = []
            for number in range(6):
                request = make_request(request_id=b"r%d" % number)
                statuses.append((await send_request(gateway, request))[0])
            return statuses

    assert run(main()) == [200] * 6


def test_connection_is_closed_by_an_invalid_status_after_an_interim_response():
    # Failure: the bytes after the status line are taken for the response to the next request.
    def script(head, _):
        body = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"
        return b"HTTP/1.1 103 Early Hints\r\n\r\n" + respond(b"600", body=body)(head, 1)

    async def main():
        async with start_upstream(script) as upstream:
            conn = await open_conn(("127.0.0.1", upstream.port))
            with pytest.raises(ResponseLostError, match="status 600"):
                await conn.request(b"GET / HTTP/1.1\r\n\r\n")
            assert conn.closed

    run(main())
