import asyncio
import contextlib

import pytest
from gateway_harness import (
    connect_client,
    header_value,
    make_request,
    make_response,
    run,
    start_gateway,
)

from gooseberryport_core.gateway.model import Repeatability
from gooseberryport_core.gateway.upstreams import LOCAL_REPORT_TTL_S
from gooseberryport_standins.samples import make_route
from gooseberryport_standins.streams import start_stream_server

AT_RANDOM = b"x-not-run: 1\r\nx-load: 1,0,4"
"""The gateway sends the same request to the same upstream again."""

FULL = b"x-not-run: 1\r\nx-load: 4,9,4"
"""The gateway refuses the request, and the next one uses the same connection."""


def without_id(response):
    lines = response.split(b"\r\n")
    return b"\r\n".join(line for line in lines if not line.startswith(b"x-id:"))


class RepeatingUpstream:
    """Refuses its first request, and repeats the refusal as the response to later ones on that
    connection, which it runs.
    """

    def __init__(self, *, has_id, reason):
        self.has_id = has_id
        self.reason = reason
        self.refused = False
        self.runs = []

    async def serve(self, reader, writer):
        refusal = None
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if not self.refused:
                    self.refused = True
                    refusal = make_response(
                        head, status=b"503 Busy", signed=False, extra=self.reason
                    )
                    writer.write(refusal)
                    continue
                self.runs.append(header_value(head, b"x-id"))
                if refusal is not None:
                    writer.write(refusal if self.has_id else without_id(refusal))
                else:
                    writer.write(make_response(head))


@pytest.mark.parametrize("has_id", [True, False])
@pytest.mark.parametrize("same_request", [True, False])
def test_refusal_repeated_on_a_kept_connection_is_not_taken_for_the_next_one(has_id, same_request):
    async def main():
        upstream = RepeatingUpstream(has_id=has_id, reason=AT_RANDOM if same_request else FULL)
        server = await start_stream_server(upstream.serve)
        route = make_route(
            repeatability=Repeatability.AT_MOST_ONCE, max_attempts=2 if same_request else 1
        )
        statuses = {}
        async with start_gateway(route) as gateway, connect_client(gateway) as client:
            gateway.put_upstream("u1", server.sockets[0].getsockname()[1])
            for number in range(1 if same_request else 2):
                request_id = b"id%d" % number
                client.send(make_request(method=b"POST", request_id=request_id, deadline_ms=600))
                statuses[request_id] = (await client.read_reply())[0]
                await asyncio.sleep(2 * LOCAL_REPORT_TTL_S)
        server.close()
        assert upstream.runs
        assert len(upstream.runs) == len(set(upstream.runs))
        assert [request_id for request_id in upstream.runs if statuses[request_id] == 503] == []

    run(main())
