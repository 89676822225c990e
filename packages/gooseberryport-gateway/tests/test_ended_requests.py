"""What ends a request while its upstream works on it."""

import asyncio
import json
import os

import pytest
from gateway_harness import (
    connect_client,
    make_request,
    run,
    start_gateway,
    start_upstream,
)

from gooseberryport_core.gateway.model import Repeatability
from gooseberryport_gateway._logs import Log
from gooseberryport_standins.samples import make_route


def read_events(gateway, path, name):
    gateway.state.log.flush()
    lines = (json.loads(line) for line in path.read_text().splitlines())
    return [line for line in lines if line["event"] == name]


def log_to(gateway, path):
    fd = os.open(path, os.O_WRONLY | os.O_CREAT)
    os.dup2(fd, gateway.log_fd)
    os.close(fd)
    gateway.state.log = Log(vm="vm1", fd=gateway.log_fd)


async def until(condition):
    while not condition():
        await asyncio.sleep(0.01)


@pytest.mark.parametrize(
    ("end", "cause"),
    [
        (lambda gateway, client: client.close(), "the client closed the connection"),
        (
            lambda gateway, client: [conn.abort() for conn in gateway.conns],
            "aborted by this gateway",
        ),
    ],
)
def test_line_of_a_request_without_a_reply_names_who_closed_its_connection(tmp_path, end, cause):
    async def main():
        async with (
            start_upstream(lambda head, _: None) as upstream,
            start_gateway(make_route(timeout_s=5.0)) as gateway,
        ):
            path = tmp_path / "log"
            log_to(gateway, path)
            gateway.put_upstream("u1", upstream.port)
            async with connect_client(gateway) as client:
                client.send(make_request(deadline_ms=5000))
                await until(lambda: upstream.requests_received)
                end(gateway, client)
                await until(lambda: not gateway.conns)
            (line,) = read_events(gateway, path, "gateway_request_cancelled")
            assert (line["cause"], line["phase"]) == (cause, "serving")

    run(main())


def test_line_of_a_lost_response_names_what_ended_its_connection(tmp_path):
    async def main():
        route = make_route(timeout_s=5.0, repeatability=Repeatability.AT_MOST_ONCE)
        async with (
            start_upstream(lambda head, _: b"") as upstream,
            start_gateway(route) as gateway,
        ):
            path = tmp_path / "log"
            log_to(gateway, path)
            gateway.put_upstream("u1", upstream.port)
            async with connect_client(gateway) as client:
                client.send(make_request(deadline_ms=5000))
                assert (await client.read_reply())[0] == 502
            (line,) = read_events(gateway, path, "gateway_attempt_failed")
            assert (line["reason"], line["phase"]) == ("connection closed", "serving")
            assert line["after_ms"] < 5000
            counter = gateway.state.metrics.lost_responses.labels("closed", "serving")
            assert counter._value.get() == 1

    run(main())
