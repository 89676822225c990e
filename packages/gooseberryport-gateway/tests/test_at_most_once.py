"""Upstreams with every kind of failure: how often requests run, and what clients receive."""

import asyncio
from collections import Counter
from enum import Enum

from gateway_harness import (
    connect_client,
    header_value,
    make_request,
    make_response,
    start_gateway,
    start_upstream,
)
from hypothesis import given, settings
from hypothesis import strategies as st

from gooseberryport_core.gateway.model import Repeatability
from gooseberryport_standins.samples import make_route

DEADLINE_MS = 400
SLOW_S = 0.15


class Behavior(Enum):
    """What an upstream does with a request, and whether it runs the request."""

    RESPOND = (True, 1)
    RESPOND_SLOWLY = (True, 2)
    FAIL = (True, 3)
    SHED = (False, 4)
    MISDIRECTED = (False, 5)
    CLOSE_BEFORE_RUN = (False, 6)
    CLOSE_AFTER_RUN = (True, 7)
    TRUNCATED = (True, 8)
    MALFORMED = (True, 9)
    RESPONSE_OF_OTHER_REQUEST = (True, 10)
    UNSIGNED = (True, 11)
    NO_RESPONSE_NOT_RUN = (False, 12)
    NO_RESPONSE_RUN = (True, 13)
    RESPOND_THEN_CLOSE_UNANNOUNCED = (True, 14)
    SIGNED_408 = (True, 15)
    SIGNED_421 = (True, 16)
    SIGNED_429 = (True, 17)
    UNSIGNED_429 = (True, 18)
    UNSIGNED_503 = (True, 19)

    @property
    def runs(self):
        return self.value[0]


CLOSE_HEADER = b"connection: close"
RESPONSES = {
    Behavior.RESPOND: lambda head: make_response(head, body=header_value(head, b"x-id")),
    Behavior.FAIL: lambda head: make_response(head, status=b"500 Oops"),
    Behavior.SHED: lambda head: make_response(head, status=b"503 Busy", extra=b"x-not-run: 1"),
    Behavior.MISDIRECTED: lambda head: make_response(head, status=b"421 Other", signed=False),
    Behavior.CLOSE_BEFORE_RUN: lambda head: b"",
    Behavior.CLOSE_AFTER_RUN: lambda head: b"",
    Behavior.TRUNCATED: lambda head: make_response(head, body=b"half", extra=CLOSE_HEADER)[:-2],
    Behavior.MALFORMED: lambda head: b"\x00\x01 no answer " + CLOSE_HEADER,
    Behavior.RESPONSE_OF_OTHER_REQUEST: lambda head: make_response(
        head, request_id=b"other", extra=CLOSE_HEADER
    ),
    Behavior.UNSIGNED: lambda head: make_response(head, signed=False),
    Behavior.SIGNED_408: lambda head: make_response(head, status=b"408 Slow"),
    Behavior.SIGNED_421: lambda head: make_response(head, status=b"421 Other"),
    Behavior.SIGNED_429: lambda head: make_response(head, status=b"429 Many"),
    Behavior.UNSIGNED_429: lambda head: make_response(head, status=b"429 Many", signed=False),
    Behavior.UNSIGNED_503: lambda head: make_response(head, status=b"503 Busy", signed=False),
}


class Script:
    """Handles requests by a list of behaviors, and responds normally once it is used up."""

    def __init__(self, behaviors, run_counts):
        self.behaviors = list(behaviors)
        self.run_counts = run_counts

    async def serve(self, head, _):
        behavior = self.behaviors.pop(0) if self.behaviors else Behavior.RESPOND
        if behavior.runs:
            self.run_counts[header_value(head, b"x-id")] += 1
        if behavior in (Behavior.NO_RESPONSE_NOT_RUN, Behavior.NO_RESPONSE_RUN):
            return None
        if behavior == Behavior.RESPOND_SLOWLY:
            await asyncio.sleep(SLOW_S)
            behavior = Behavior.RESPOND
        if behavior == Behavior.RESPOND_THEN_CLOSE_UNANNOUNCED:
            asyncio.get_running_loop().call_soon(self.server.close_connections)
            behavior = Behavior.RESPOND
        return RESPONSES[behavior](head)


async def run_requests(behaviors, *, requests, repeatability, concurrent):
    """Send requests; return how often each one ran, and the status and body of its reply."""
    run_counts = Counter()
    first, second = Script(behaviors[0], run_counts), Script(behaviors[1], run_counts)
    replies = {}

    async def send(gateway, request_id):
        async with connect_client(gateway) as client:
            data = make_request(
                method=b"POST", request_id=request_id, deadline_ms=DEADLINE_MS, body=b"b"
            )
            client.send(data)
            status, _, body = await client.read_reply()
            replies[request_id] = (status, body)

    async with (
        start_upstream(first.serve) as first_server,
        start_upstream(second.serve) as second_server,
        start_gateway(
            make_route(repeatability=repeatability, max_attempts=3, timeout_s=0.3)
        ) as gateway,
    ):
        first.server, second.server = first_server, second_server
        gateway.put_upstream("u1", first_server.port)
        gateway.put_upstream("u2", second_server.port)
        sends = [send(gateway, b"r%d" % index) for index in range(requests)]
        if concurrent:
            await asyncio.gather(*sends)
        else:
            for pending in sends:
                await pending
    return run_counts, replies


BEHAVIORS = st.lists(st.sampled_from(Behavior), max_size=4)


@settings(max_examples=25, deadline=None)
@given(st.tuples(BEHAVIORS, BEHAVIORS), st.sampled_from(Repeatability), st.booleans())
def test_at_most_once_requests_run_at_most_once_and_every_status_is_true(
    behaviors, repeatability, concurrent
):
    run_counts, replies = asyncio.run(
        run_requests(behaviors, requests=3, repeatability=repeatability, concurrent=concurrent)
    )
    assert len(replies) == 3
    for request_id, (status, body) in replies.items():
        if repeatability == Repeatability.AT_MOST_ONCE:
            assert run_counts[request_id] <= 1, (request_id, status)
        if status == 200:
            assert (run_counts[request_id] >= 1, body) == (True, request_id)
        if status == 503:
            assert run_counts[request_id] == 0
        assert status in (200, 500, 502, 503, 504)
