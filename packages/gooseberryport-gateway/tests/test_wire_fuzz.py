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
    """Records what is written; nothing may be written after it was closed."""

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
def messages(draw, first_lines, *, most=4):
    """Return the bytes of some messages, and (first line, body) of each."""
    data, expected = b"", []
    for _ in range(draw(st.integers(1, most))):
        first = draw(first_lines)
        body = draw(BODIES)
        head = first + b"\r\nHost: h\r\nX-Own: " + draw(TOKENS) + b"\r\n"
        if draw(st.booleans()):
            sizes = draw(st.lists(st.integers(1, 40), max_size=4))
            data += head + b"Transfer-Encoding: chunked\r\n\r\n" + chunked(body, sizes)
        else:
            data += head + b"Content-Length: %d\r\n\r\n" % len(body) + body
        expected.append((first, body))
    return data, expected


REQUESTS = messages(TOKENS.map(lambda path: b"POST /" + path + b" HTTP/1.1"))
ANSWERS = messages(st.sampled_from([b"HTTP/1.1 200 OK", b"HTTP/1.1 500 Oops"]), most=1)


def split(data, cuts):
    places = sorted({cut % (len(data) + 1) for cut in cuts})
    ends = zip([0, *places], [*places, len(data)], strict=True)
    return [data[start:end] for start, end in ends if start < end]


CUTS = st.lists(st.integers(0, 5000), max_size=6)


def serve(pieces):
    """Feed a client's bytes; return the requests passed to the handler, and the bytes written."""
    seen = []

    async def main():
        async def handler(req):
            seen.append((req.method + b" " + req.target + b" HTTP/1.1", req.body))
            return Reply(status=200, headers=[], body=b"%d" % len(seen))

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

    return seen, asyncio.run(main())


def ask(pieces, *, then_end):
    """Feed an upstream's bytes; return its response or None, and if the connection is usable."""

    async def main():
        conn = HttpConn()
        conn.connection_made(FakeTransport())
        asked = asyncio.ensure_future(conn.request(b"GET / HTTP/1.1\r\n\r\n"))
        await asyncio.sleep(0)
        for piece in pieces:
            if not conn.closed:
                conn.data_received(piece)
        if then_end:
            conn.eof_received()
            conn.connection_lost(None)
        else:
            await asyncio.sleep(0)
            if not asked.done():
                asked.cancel()
        try:
            answer = await asked
        except (ResponseLostError, asyncio.CancelledError):
            return None, conn.usable
        return answer, conn.usable

    return asyncio.run(main())


@given(REQUESTS, CUTS)
def test_requests_are_the_same_however_their_bytes_are_split(sent, cuts):
    data, expected = sent
    seen, written = serve(split(data, cuts))
    assert seen == expected
    assert written.count(b"HTTP/1.1 200 OK\r\n") == len(expected)


@given(REQUESTS, CUTS, st.integers(0, 5000))
def test_requests_that_are_cut_short_are_not_run(sent, cuts, length):
    data, expected = sent
    cut = data[: length % len(data)]
    seen, written = serve(split(cut, cuts))
    assert seen == expected[: len(seen)]
    assert len(seen) < len(expected)
    assert written.count(b"HTTP/1.1") == len(seen)


@given(REQUESTS, CUTS, st.integers(0, 5000), st.binary(min_size=1, max_size=3))
def test_changed_bytes_break_no_reader_and_end_at_most_in_one_refusal(sent, cuts, place, junk):
    data, _ = sent
    place %= len(data)
    seen, written = serve(split(data[:place] + junk + data[place + len(junk) :], cuts))
    refusals = written.count(b"connection: close")
    assert refusals <= 1
    assert written.count(b"HTTP/1.1") <= len(seen) + refusals


@given(ANSWERS, CUTS, st.booleans())
def test_whole_answers_are_the_same_however_their_bytes_are_split(sent, cuts, then_end):
    data, [(first, body)] = sent
    answer, usable = ask(split(data, cuts), then_end=then_end)
    assert (answer.status, answer.body) == (int(first.split()[1]), body)
    assert usable != then_end


@given(ANSWERS, CUTS, st.integers(0, 5000))
def test_answers_that_are_cut_short_are_lost(sent, cuts, length):
    data, _ = sent
    answer, usable = ask(split(data[: length % len(data)], cuts), then_end=True)
    assert answer is None
    assert not usable


@given(ANSWERS, CUTS, st.binary(min_size=1, max_size=40))
def test_bytes_after_an_answer_belong_to_no_request(sent, cuts, junk):
    data, [(first, body)] = sent
    answer, usable = ask([*split(data, cuts), junk], then_end=False)
    assert (answer.status, answer.body) == (int(first.split()[1]), body)
    assert not usable


@given(ANSWERS, CUTS)
def test_interim_answers_are_passed_over(sent, cuts):
    data, [(first, body)] = sent
    interim = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n"
    answer, usable = ask(split(interim + data, cuts), then_end=False)
    assert (answer.status, answer.body) == (int(first.split()[1]), body)
    assert usable


@pytest.mark.parametrize("requests", [1, 10, 60])
def test_long_bytes_before_a_head_that_is_not_whole_are_not_its_own(requests):
    before = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 60\r\n\r\n" + b"x" * 60
    seen, written = serve([before * requests + b"GET /b HTTP", b"/1.1\r\nHost: h\r\n\r\n"])
    assert len(seen) == requests + 1
    assert b"431" not in written


def test_head_without_an_end_is_refused():
    seen, written = serve([b"GET /a HTTP/1.1\r\nX: "] + [b"y" * 50] * 20)
    assert seen == []
    assert written.startswith(b"HTTP/1.1 431")


HIDDEN = b"GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n"


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
def test_heads_whose_length_is_doubtful_hide_no_request(headers):
    seen, written = serve([b"POST /a HTTP/1.1\r\nHost: h\r\n" + headers + b"\r\n\r\n" + HIDDEN])
    assert b"GET /hidden HTTP/1.1" not in [first for first, _ in seen]
    assert written.startswith(b"HTTP/1.1 4") or seen == []


@pytest.mark.parametrize(
    "size", [b"-1", b"g", b"", b"0x3", b"3 ", b"fffffffffffffffff", b"\x003", b"3;" + b"\n"]
)
def test_doubtful_sizes_of_chunks_hide_no_request(size):
    head = b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    seen, _ = serve([head + size + b"\r\nabc\r\n0\r\n\r\n" + HIDDEN])
    assert (b"POST /a HTTP/1.1", b"abc") in seen or seen == []
    assert seen == [] or len(seen) == 2
