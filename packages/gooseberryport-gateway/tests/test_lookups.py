import asyncio
import json
from types import SimpleNamespace
from urllib.parse import parse_qsl

from gateway_harness import run, start_gateway

from gooseberryport_core.gateway.model import Member
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
