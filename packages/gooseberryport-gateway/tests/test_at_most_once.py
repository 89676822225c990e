"""Requests to upstreams that fail in every way: how often each ran, and what the client got."""

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


class Way(Enum):
    """What an upstream does with one request, and whether that runs it."""

    ANSWER = (True, 1)
    ANSWER_SLOWLY = (True, 2)
    FAIL = (True, 3)
    SHED = (False, 4)
    MISDIRECTED = (False, 5)
    CLOSE_BEFORE_RUN = (False, 6)
    CLOSE_AFTER_RUN = (True, 7)
    HALF_ANSWER = (True, 8)
    GARBAGE = (True, 9)
    RESPONSE_OF_OTHER_REQUEST = (True, 10)
    UNSIGNED = (True, 11)
    SILENT_UNRUN = (False, 12)
    SILENT_RUN = (True, 13)
    ANSWER_THEN_CLOSE_UNANNOUNCED = (True, 14)

    @property
    def runs(self):
        return self.value[0]


CLOSING = b"connection: close"
BYTES = {
    Way.ANSWER: lambda head: make_response(head, body=header_value(head, b"x-id")),
    Way.FAIL: lambda head: make_response(head, status=b"500 Oops"),
    Way.SHED: lambda head: make_response(head, status=b"503 Busy", extra=b"x-not-run: 1"),
    Way.MISDIRECTED: lambda head: make_response(head, status=b"421 Other"),
    Way.CLOSE_BEFORE_RUN: lambda head: b"",
    Way.CLOSE_AFTER_RUN: lambda head: b"",
    Way.HALF_ANSWER: lambda head: make_response(head, body=b"half", extra=CLOSING)[:-2],
    Way.GARBAGE: lambda head: b"\x00\x01 no answer " + CLOSING,
    Way.RESPONSE_OF_OTHER_REQUEST: lambda head: make_response(
        head, request_id=b"other", extra=CLOSING
    ),
    Way.UNSIGNED: lambda head: make_response(head, signed=False),
}


class Upstream:
    """Handles requests in the ways of a list, then responds normally."""

    def __init__(self, ways, ran):
        self.ways = list(ways)
        self.ran = ran

    async def serve(self, head, _):
        way = self.ways.pop(0) if self.ways else Way.ANSWER
        if way.runs:
            self.ran[header_value(head, b"x-id")] += 1
        if way in (Way.SILENT_UNRUN, Way.SILENT_RUN):
            return None
        if way == Way.ANSWER_SLOWLY:
            await asyncio.sleep(SLOW_S)
            way = Way.ANSWER
        if way == Way.ANSWER_THEN_CLOSE_UNANNOUNCED:
            asyncio.get_running_loop().call_soon(self.scripted.close_connections)
            way = Way.ANSWER
        return BYTES[way](head)


async def play(ways, *, requests, kind, at_once):
    """Send requests; return how often each ran, and the status and body of each reply."""
    ran = Counter()
    first, second = Upstream(ways[0], ran), Upstream(ways[1], ran)
    answers = {}

    async def ask(gateway, name):
        async with connect_client(gateway) as caller:
            data = make_request(method=b"POST", request_id=name, deadline_ms=DEADLINE_MS, body=b"b")
            caller.send(data)
            status, _, body = await caller.read_reply()
            answers[name] = (status, body)

    async with (
        start_upstream(first.serve) as one,
        start_upstream(second.serve) as two,
        start_gateway(make_route(repeatability=kind, max_attempts=3, timeout_s=0.3)) as gateway,
    ):
        first.scripted, second.scripted = one, two
        gateway.put_upstream("u1", one.port)
        gateway.put_upstream("u2", two.port)
        asked = [ask(gateway, b"r%d" % index) for index in range(requests)]
        if at_once:
            await asyncio.gather(*asked)
        else:
            for each in asked:
                await each
    return ran, answers


WAYS = st.lists(st.sampled_from(Way), max_size=4)


@settings(max_examples=25, deadline=None)
@given(st.tuples(WAYS, WAYS), st.sampled_from(Repeatability), st.booleans())
def test_unsafe_requests_run_once_at_most_and_every_word_is_true(ways, kind, at_once):
    ran, answers = asyncio.run(play(ways, requests=3, kind=kind, at_once=at_once))
    assert len(answers) == 3
    for name, (status, body) in answers.items():
        if kind == Repeatability.AT_MOST_ONCE:
            assert ran[name] <= 1, (name, status)
        if status == 200:
            assert (ran[name] >= 1, body) == (True, name)
        if status == 503:
            assert ran[name] == 0
        assert status in (200, 500, 502, 503, 504)
