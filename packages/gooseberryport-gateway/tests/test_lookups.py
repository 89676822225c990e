import asyncio
import json
from types import SimpleNamespace
from urllib.parse import parse_qsl

import msgspec
from gateway_harness import run, start_gateway

from gooseberryport_core.gateway.model import Member
from gooseberryport_gateway._logs import Log
from gooseberryport_gateway._pages import Listener, Pages
from gooseberryport_gateway.wire import ClientLocation
from gooseberryport_standins.samples import make_route

CODEC = SimpleNamespace(
    lookup_path="/lookup",
    ready_path="/ready",
    decode_location=lambda query: ClientLocation(
        **{"zone": None, "region": None, **dict(parse_qsl(query))}
    ),
    lookup_answer=lambda addresses, ttl_s: json.dumps(addresses).encode(),
)
REMOTE = Member("far", "b1", "B", "127.0.0.2:1", ("127.0.0.2", 1), 1)


def make_look_up(gateway):
    """Return a function that asks the gateway for addresses; None if it has none."""
    pages = Pages(
        state=gateway.state,
        discovery=SimpleNamespace(relay=SimpleNamespace(handle_request=None)),
        codec=CODEC,
        metrics_text=gateway.state.metrics.text,
    )
    handle = pages.handler([Listener.LOOKUP])

    async def look_up(query):
        request = SimpleNamespace(path="/lookup", target=b"/lookup?" + query.encode())
        reply = await handle(request)
        return json.loads(reply.body) if reply.status == 200 else None

    return look_up


# Guards against a client that states only a part of its location and is sent to another region.
def test_zone_of_another_region_is_enough_to_find_its_gateways():
    async def main():
        async with start_gateway(make_route()) as gateway:
            gateway.state.fleet.set_listed([REMOTE], now=asyncio.get_running_loop().time())
            look_up = make_look_up(gateway)
            for query in ("zone=b1", "region=B", "zone=a1&region=B"):
                assert await look_up(query) == ["127.0.0.2:1"], query
            for query in ("", "zone=a1", "zone=unknown"):
                assert await look_up(query) == ["127.0.0.1:1"], query

    run(main())


# Guards against a stopping gateway that sends its region away although it still accepts requests.
def test_last_gateway_of_a_region_is_named_until_it_accepts_no_connections():
    async def main():
        async with start_gateway(make_route()) as gateway:
            gateway.state.fleet.set_listed([REMOTE], now=asyncio.get_running_loop().time())
            look_up = make_look_up(gateway)
            gateway.state.stopping = True
            assert await look_up("zone=a1&region=A") == ["127.0.0.1:1"]
            gateway.state.accepting = False
            assert await look_up("zone=a1&region=A") is None

    run(main())


# Guards against requests elsewhere that nobody can explain, and against a line for each look-up.
def test_lookups_that_leave_the_region_are_counted_and_explained_once_a_second(tmp_path):
    path = tmp_path / "log"

    async def main():
        with path.open("wb") as file:
            async with start_gateway(make_route()) as gateway:
                log = gateway.state.log = Log(vm="vm1", fd=file.fileno())
                now = asyncio.get_running_loop().time()
                fleet = gateway.state.fleet
                fleet.set_listed([REMOTE], now=now - 20.0)
                fleet.record_datagram("far", incarnation=1, ready=True, now=now - 9.0)
                look_up = make_look_up(gateway)
                for _ in range(50):
                    assert await look_up("zone=b1&region=B") == ["127.0.0.1:1"]
                log.flush()
                return gateway.state.metrics.text().decode()

    assert 'gooseberryport_lookups_total{basis="elsewhere"} 50.0' in run(main())
    (line,) = map(msgspec.json.decode, path.read_bytes().splitlines())
    assert (line["number"], line["client_region"], line["named"]) == (1158, "B", ["127.0.0.1:1"])
    assert line["heard_s"] >= 9.0 and line["digest_s"] is None and line["listed"] == 1
