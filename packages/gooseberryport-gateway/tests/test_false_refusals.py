"""Upstreams that run a request, and whose status promises the client that it did not run."""

import json
import os

import pytest
from gateway_harness import (
    header_value,
    make_request,
    make_response,
    run,
    send_request,
    start_gateway,
    start_upstream,
)

from gooseberryport_core.gateway.model import Repeatability
from gooseberryport_gateway._logs import Log
from gooseberryport_standins.samples import make_route

RAN = [(408, True), (408, False), (421, True), (429, True), (429, False), (503, True), (503, False)]
"""Statuses, signed or not, of responses that do not say that the request did not run."""


def fail(status, *, signed):
    return lambda head, _: make_response(
        head, status=b"%d Failed" % status, signed=signed, extra=b"retry-after: 0"
    )


@pytest.mark.parametrize("repeatability", [Repeatability.AT_MOST_ONCE, Repeatability.IDEMPOTENT])
@pytest.mark.parametrize(("status", "signed"), RAN)
def test_status_that_promises_is_replaced_if_the_request_may_have_run(
    status, signed, repeatability, tmp_path
):
    # Failure: an order that ran is answered 429, and its client sends it again (review/6).
    async def main():
        async with (
            start_upstream(fail(status, signed=signed)) as first,
            start_upstream(fail(status, signed=signed)) as second,
            start_gateway(make_route(repeatability=repeatability)) as gateway,
        ):
            log_fd = os.open(tmp_path / "log", os.O_CREAT | os.O_WRONLY)
            gateway.state.log = Log(vm="vm1", fd=log_fd)
            gateway.put_upstream("u1", first.port)
            gateway.put_upstream("u2", second.port)
            reply = await send_request(gateway, make_request(method=b"POST"))
            gateway.state.log.flush()
            os.close(log_fd)
            return reply, len(first.requests_received), len(second.requests_received)

    (reply_status, head, body), *sends = run(main())
    assert (reply_status, body) == (502, b"")
    assert header_value(head, b"x-signature") is None
    assert header_value(head, b"retry-after") is None
    assert sum(sends) == (1 if repeatability is Repeatability.AT_MOST_ONCE else 2)
    line = json.loads((tmp_path / "log").read_text().splitlines()[-1])
    assert f"failed: false-refusal: status {status}, " in line["cause"]


@pytest.mark.parametrize("status", [400, 404, 409, 422, 431, 499])
def test_signed_failure_without_a_promise_is_returned_unchanged(status):
    async def main():
        async with (
            start_upstream(
                lambda head, _: make_response(head, status=b"%d No" % status, body=b"why")
            ) as upstream,
            start_gateway(make_route(repeatability=Repeatability.AT_MOST_ONCE)) as gateway,
        ):
            gateway.put_upstream("u1", upstream.port)
            return await send_request(gateway, make_request(method=b"POST"))

    reply_status, head, body = run(main())
    assert (reply_status, body, header_value(head, b"x-signature")) == (status, b"why", b"sig")


def test_success_that_did_not_run_is_neither_passed_on_nor_sent_again():
    # Failure: a contradictory response is taken for a refusal, and an order that ran runs again.
    async def main():
        async with (
            start_upstream(lambda head, _: make_response(head, extra=b"x-not-run: 1")) as first,
            start_upstream(lambda head, _: make_response(head)) as second,
            start_gateway(make_route(repeatability=Repeatability.AT_MOST_ONCE)) as gateway,
        ):
            gateway.put_upstream("u1", first.port)
            gateway.put_upstream("u2", second.port, slots=1)
            statuses = []
            for number in range(6):
                request = make_request(method=b"POST", request_id=b"r%d" % number)
                statuses.append((await send_request(gateway, request))[0])
            sends = len(first.requests_received) + len(second.requests_received)
            return statuses, sends, len(first.requests_received)

    statuses, sends, contradictory = run(main())
    assert contradictory > 0
    assert sends == len(statuses)
    assert sorted(statuses) == [200] * (6 - contradictory) + [502] * contradictory
