import json
import os

import pytest
from gateway_harness import (
    make_request,
    make_response,
    run,
    send_request,
    start_gateway,
    start_upstream,
)

from gooseberryport_gateway._logs import Log
from gooseberryport_standins.samples import make_route


def read_events(path, name):
    lines = [json.loads(line) for line in path.read_text().splitlines()]
    return [line for line in lines if line["event"] == name]


@pytest.mark.parametrize("invalid", [b"nan", b"-1", b"many", b"inf"])
def test_log_tells_when_an_upstream_states_a_limit_and_when_it_ends(tmp_path, invalid):
    stated = [b"2.5", b"2.5", invalid, b"", b""]

    def script(head, count):
        value = stated[count - 1]
        return make_response(head, extra=b"x-rate-limit: " + value if value else b"")

    async def main():
        async with start_upstream(script) as upstream, start_gateway(make_route()) as gateway:
            fd = os.open(tmp_path / "log", os.O_WRONLY | os.O_CREAT)
            gateway.state.log = Log(vm="vm1", fd=fd)
            gateway.put_upstream("u1", upstream.port)
            for number in range(len(stated)):
                request_id = b"id%d" % number
                assert (await send_request(gateway, make_request(request_id=request_id)))[0] == 200
            gateway.state.log.flush()
            os.close(fd)

    run(main())
    events = read_events(tmp_path / "log", "gateway_upstream_rate_limited")
    assert [
        (event["request"], event["limit_per_s"], event["was_per_s"], event["sent"])
        for event in events
    ] == [("id0", 2.5, None, 1), ("id3", None, 2.5, 4)]
