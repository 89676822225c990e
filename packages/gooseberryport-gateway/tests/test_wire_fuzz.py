"""HTTP parsing of requests and responses, with bytes split anywhere, truncated or changed."""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gooseberryport_core.gateway.model import ClientLimits
from gooseberryport_gateway._client_conn import ClientConn, Reply
from gooseberryport_gateway._http_conn import HttpConn
from gooseberryport_gateway.errors import ResponseLostError

LIMITS = ClientLimits(max_header_bytes=400, max_body_bytes=300)

TOKENS = st.text("abcxyz019-", min_size=1, max_size=8).map(str.encode)
BODIES = st.binary(max_size=120)


class FakeTransport(asyncio.Transport):
    """Records the bytes written; fails if any are written after it was closed."""

    def __init__(self):
        self.written = b""
        self.ended = False

    def write(self, data):
        assert not self.ended
        self.written += data

    def write_eof(self):
        self.ended = True

    def abort(self):
        self.ended = True

    def is_closing(self):
        return self.ended

    def can_write_eof(self):
        return True

    def get_extra_info(self, name, default=None):
        return None

    def get_write_buffer_size(self):
        return 0

    def pause_reading(self):
        pass

    def resume_reading(self):
        pass


def chunked(body, sizes):
    data = b""
    while body:
        size = sizes.pop() if sizes else len(body)
        data += b"%x\r\n%s\r\n" % (len(body[:size]), body[:size])
        body = body[size:]
    return data + b"0\r\n\r\n"


@st.composite
def messages(draw, first_lines, *, max_messages=4):
    """Return the bytes of several messages, and the first line and body of every message."""
    data, expected = b"", []
    for _ in range(draw(st.integers(1, max_messages))):
        first_line = draw(first_lines)
        body = draw(BODIES)
        head = first_line + b"\r\nHost: h\r\nX-Own: " + draw(TOKENS) + b"\r\n"
        if draw(st.booleans()):
            sizes = draw(st.lists(st.integers(1, 40), max_size=4))
            data += head + b"Transfer-Encoding: chunked\r\n\r\n" + chunked(body, sizes)
        else:
            data += head + b"Content-Length: %d\r\n\r\n" % len(body) + body
        expected.append((first_line, body))
    return data, expected


REQUESTS = messages(TOKENS.map(lambda path: b"POST /" + path + b" HTTP/1.1"))
RESPONSES = messages(st.sampled_from([b"HTTP/1.1 200 OK", b"HTTP/1.1 500 Oops"]), max_messages=1)


def split(data, cuts):
    offsets = sorted({cut % (len(data) + 1) for cut in cuts})
    ends = zip([0, *offsets], [*offsets, len(data)], strict=True)
    return [data[start:end] for start, end in ends if start < end]


CUTS = st.lists(st.integers(0, 5000), max_size=6)


def receive_requests(pieces):
    """Feed a client's bytes; return the requests passed to the handler, and the bytes written."""
    handled = []

    async def main():
        async def handler(req):
            handled.append((req.method + b" " + req.target + b" HTTP/1.1", b"".join(req.body)))
            return Reply(status=200, headers=[], body=b"%d" % len(handled))

        transport = FakeTransport()
        conn = ClientConn(handler=handler, limits=lambda: LIMITS, conns=set())
        conn.connection_made(transport)
        for piece in pieces:
            conn.data_received(piece)
            await asyncio.sleep(0)
        for _ in range(3):
            await asyncio.sleep(0)
        conn.connection_lost(None)
        return transport.written

    return handled, asyncio.run(main())


def receive_response(pieces, *, then_close):
    """Feed an upstream's bytes; return its response or None, and if the connection is usable."""

    async def main():
        conn = HttpConn()
        conn.connection_made(FakeTransport())
        pending = asyncio.ensure_future(conn.request(b"GET / HTTP/1.1\r\n\r\n"))
        await asyncio.sleep(0)
        for piece in pieces:
            if not conn.closed:
                conn.data_received(piece)
        if then_close:
            conn.eof_received()
            conn.connection_lost(None)
        else:
            await asyncio.sleep(0)
            if not pending.done():
                pending.cancel()
        try:
            response = await pending
        except (ResponseLostError, asyncio.CancelledError):
            return None, conn.usable
        return response, conn.usable

    return asyncio.run(main())


@given(REQUESTS, CUTS)
def test_requests_are_parsed_alike_however_their_bytes_are_split(sent, cuts):
    data, expected = sent
    handled, written = receive_requests(split(data, cuts))
    assert handled == expected
    assert written.count(b"HTTP/1.1 200 OK\r\n") == len(expected)


@given(REQUESTS, CUTS, st.integers(0, 5000))
def test_truncated_requests_are_not_run(sent, cuts, length):
    data, expected = sent
    truncated = data[: length % len(data)]
    handled, written = receive_requests(split(truncated, cuts))
    assert handled == expected[: len(handled)]
    assert len(handled) < len(expected)
    assert written.count(b"HTTP/1.1") == len(handled)


@given(REQUESTS, CUTS, st.integers(0, 5000), st.binary(min_size=1, max_size=3))
def test_corrupted_bytes_raise_no_error_and_cause_at_most_one_rejection(sent, cuts, offset, junk):
    data, _ = sent
    offset %= len(data)
    handled, written = receive_requests(
        split(data[:offset] + junk + data[offset + len(junk) :], cuts)
    )
    rejections = written.count(b"connection: close")
    assert rejections <= 1
    assert written.count(b"HTTP/1.1") <= len(handled) + rejections


@given(RESPONSES, CUTS, st.booleans())
def test_responses_are_parsed_alike_however_their_bytes_are_split(sent, cuts, then_close):
    data, [(first_line, body)] = sent
    response, usable = receive_response(split(data, cuts), then_close=then_close)
    assert (response.status, response.body) == (int(first_line.split()[1]), body)
    assert usable != then_close


@given(RESPONSES, CUTS, st.integers(0, 5000))
def test_truncated_responses_are_lost(sent, cuts, length):
    data, _ = sent
    response, usable = receive_response(split(data[: length % len(data)], cuts), then_close=True)
    assert response is None
    assert not usable


@given(RESPONSES, CUTS, st.binary(min_size=1, max_size=40))
def test_bytes_after_a_response_make_its_connection_unusable(sent, cuts, junk):
    data, [(first_line, body)] = sent
    response, usable = receive_response([*split(data, cuts), junk], then_close=False)
    assert (response.status, response.body) == (int(first_line.split()[1]), body)
    assert not usable


@given(RESPONSES, CUTS)
def test_interim_responses_are_skipped(sent, cuts):
    data, [(first_line, body)] = sent
    interim = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n"
    response, usable = receive_response(split(interim + data, cuts), then_close=False)
    assert (response.status, response.body) == (int(first_line.split()[1]), body)
    assert usable


@pytest.mark.parametrize("requests", [1, 10, 60])
def test_earlier_requests_do_not_count_towards_the_size_of_an_incomplete_head(requests):
    before = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 60\r\n\r\n" + b"x" * 60
    handled, written = receive_requests(
        [before * requests + b"GET /b HTTP", b"/1.1\r\nHost: h\r\n\r\n"]
    )
    assert len(handled) == requests + 1
    assert b"431" not in written


def test_head_without_an_end_is_rejected():
    handled, written = receive_requests([b"GET /a HTTP/1.1\r\nX: "] + [b"y" * 50] * 20)
    assert handled == []
    assert written.startswith(b"HTTP/1.1 431")


SMUGGLED_REQUEST = b"GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n"


@pytest.mark.parametrize(
    "headers",
    [
        b"Content-Length: 3\r\nTransfer-Encoding: chunked",
        b"Transfer-Encoding: chunked\r\nContent-Length: 3",
        b"Content-Length: 0\r\nContent-Length: 40",
        b"Content-Length: 0, 40",
        b"Content-Length: +0",
        b"Content-Length: -1",
        b"Content-Length: 0x0",
        b"Content-Length : 0",
        b" Content-Length: 0",
        b"Transfer-Encoding: xchunked",
        b"Transfer-Encoding: chunked, identity",
        b"Transfer-Encoding: identity, chunked, chunked",
        b"Transfer-Encoding:\x0bchunked",
        b"Content-Length: 99999999999999999999999",
        b"X: a\x00b\r\nContent-Length: 0",
        b"X: a\rContent-Length: 0",
    ],
)
def test_request_with_an_ambiguous_length_hides_no_second_request(headers):
    handled, written = receive_requests(
        [b"POST /a HTTP/1.1\r\nHost: h\r\n" + headers + b"\r\n\r\n" + SMUGGLED_REQUEST]
    )
    assert b"GET /hidden HTTP/1.1" not in [first_line for first_line, _ in handled]
    assert written.startswith(b"HTTP/1.1 4") or handled == []


@pytest.mark.parametrize(
    "size", [b"-1", b"g", b"", b"0x3", b"3 ", b"fffffffffffffffff", b"\x003", b"3;" + b"\n"]
)
def test_request_with_an_invalid_chunk_size_hides_no_second_request(size):
    head = b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    handled, _ = receive_requests([head + size + b"\r\nabc\r\n0\r\n\r\n" + SMUGGLED_REQUEST])
    assert (b"POST /a HTTP/1.1", b"abc") in handled or handled == []
    assert handled == [] or len(handled) == 2
