import asyncio
import contextlib

import msgspec
import pytest
from gateway_harness import (
    SETTINGS,
    connect_client,
    header_value,
    make_config,
    make_request,
    make_response,
    run,
    send_request,
    start_gateway,
    start_upstream,
)

from gooseberryport_core.gateway.model import Tenant
from gooseberryport_standins.samples import make_route

A, B = frozenset({"A"}), frozenset({"B"})


def route(host, prefix, regions, **changes):
    return make_route(
        name=host + prefix, host=host, prefix=prefix, allowed_regions=regions, **changes
    )


ROUTES = (
    route("h.example", "/a/", B),
    route("h.example", "/a/b/", A),
    route("other.example", "/a/", A),
    route("other.example", "/a/b/", B),
    route("h.example", "/open/", frozenset(), public=True),
)
NEAR = Tenant("near", frozenset({"key-near"}), allowed_regions=A)
FAR = Tenant("far", frozenset({"key-far"}), allowed_regions=B)


class Regions:
    """A gateway in region A, and an upstream in each of the regions A and B."""

    def __init__(self, gateway, ran):
        self.gateway = gateway
        self.ran = ran

    def apply(self, *tenants, version=1, routes=ROUTES):
        self.gateway.state.apply_config(make_config(*routes, version=version, tenants=tenants))

    async def send(self, request):
        """Return the region in which a request ran, or its status if it was rejected."""
        status, head, _ = await send_request(self.gateway, request)
        return self.ran.pop(header_value(head, b"x-id"), status)


@contextlib.asynccontextmanager
async def start_regions():
    ran = {}

    def script(region):
        def respond(head, _):
            ran[header_value(head, b"x-id")] = region
            return make_response(head)

        return respond

    async with (
        start_upstream(script("A")) as near,
        start_upstream(script("B")) as far,
        start_gateway() as gateway,
    ):
        gateway.put_upstream("near", near.port, zone="a1", slots=64)
        gateway.put_upstream("far", far.port, zone="b1", slots=64)
        yield Regions(gateway, ran)


def on_host(host, target):
    fields = make_request(path=target.encode())
    return fields.replace(b"Host: h.example", b"Host: " + host.encode())


def keyed(field, *, path=b"/open/x", request_id=b"id1"):
    extra = b"Authorization: " + field if field else b""
    return make_request(path=path, extra=extra, request_id=request_id)


# Guards against a request that is taken for one of another route with other homes.
@pytest.mark.parametrize(
    ("host", "target", "expected"),
    [
        ("h.example", "/a/x", "B"),
        ("h.example", "/a/b/x", "A"),
        ("other.example", "/a/x", "A"),
        ("other.example", "/a/b/x", "B"),
        ("H.eXample:81", "/a/x", "B"),
        ("Other.Example:81", "/a/b/", "B"),
        ("h.example.", "/a/x", 404),
        ("", "/a/x", 404),
        ("h.example", "/a/b", "B"),
        ("h.example", "/a/b?q=/a/b/", "B"),
        ("h.example", "/a/?/a/b/x", "B"),
        ("h.example", "/a//b/x", "B"),
        ("h.example", "/a/./b/x", "B"),
        ("h.example", "/a/x/../b/x", "B"),
        ("h.example", "/a/b/../x", "A"),
        ("h.example", "/a/b%2Fx", "B"),
        ("h.example", "/a/%62/x", "B"),
        ("h.example", "/%61/x", 404),
        ("h.example", "/A/x", 404),
        ("h.example", "//a/x", 404),
        ("h.example", "http://h.example/a/x", 404),
        ("other.example", "http://h.example/a/x", 404),
    ],
)
def test_homes_are_those_of_the_longest_prefix_on_the_requests_own_host(host, target, expected):
    async def main():
        async with start_regions() as regions:
            regions.apply()
            assert await regions.send(on_host(host, target)) == expected

    run(main())


# Guards against a public route that forgets the homes of a key's tenant.
def test_homes_of_a_known_key_bind_on_public_routes_in_every_spelling_and_version():
    async def main():
        async with start_regions() as regions:
            regions.apply(FAR)
            for field in (b"Bearer key-far", b"bEARER   key-far ", b"bearer key-far"):
                assert await regions.send(keyed(field)) == "B", field
            for field in (b"", b"Bearer KEY-FAR", b"Bearer key-near"):
                assert await regions.send(keyed(field)) == "A", field
            # The key is revoked, comes back, and moves to another tenant.
            for version, holder, expected in ((2, NEAR, "A"), (3, FAR, "B")):
                moved = msgspec.structs.replace(holder, api_keys=frozenset({"key-far"}))
                regions.apply(moved, version=version)
                assert await regions.send(keyed(b"Bearer key-far")) == expected

    run(main())


# Guards against the homes of the tenant before on the same connection.
def test_pipelined_requests_of_several_tenants_run_in_their_own_homes():
    async def main():
        async with start_regions() as regions:
            regions.apply(NEAR, FAR)
            fields = [b"Bearer key-far", b"Bearer key-near", b"", b"Bearer key-far"] * 5
            requests = [
                keyed(field, request_id=b"%d" % index) for index, field in enumerate(fields)
            ]
            async with connect_client(regions.gateway) as client:
                client.send(b"".join(requests))
                for _ in requests:
                    assert (await client.read_reply())[0] == 200
            for index, field in enumerate(fields):
                expected = "B" if field == b"Bearer key-far" else "A"
                assert regions.ran[b"%d" % index] == expected

    run(main())


# Guards against an upstream that counts as one of the region in which it was before.
def test_entry_that_is_rewritten_with_another_zone_gets_requests_of_its_new_region_only():
    async def main():
        async with start_regions() as regions:
            regions.apply()
            state = regions.gateway.state
            near = state.upstreams.get("near").entry
            assert await regions.send(make_request(path=b"/a/b/x")) == "A"
            for sequence, zone in ((2, "b1"), (3, ""), (4, "unknown")):
                moved = msgspec.structs.replace(near, zone=zone, sequence=sequence)
                state.put_upstream(moved, now=asyncio.get_running_loop().time())
                assert await regions.send(make_request(path=b"/a/b/x")) == 503, zone
            # The settings learn of the zone later.
            known = SETTINGS.regions | {"unknown": "A"}
            state.apply_settings(msgspec.structs.replace(SETTINGS, regions=known))
            assert await regions.send(make_request(path=b"/a/b/x")) == "A"

    run(main())


# Guards against homes that happen to have the name of an availability zone that is not known.
@pytest.mark.parametrize("zone", ["", "A", "\0"])
def test_upstream_of_an_unknown_zone_is_in_no_home(zone):
    async def main():
        async with start_regions() as regions:
            regions.apply(routes=(route("h.example", "/a/", frozenset({zone})),))
            near = regions.gateway.state.upstreams.get("near").entry
            moved = msgspec.structs.replace(near, zone=zone, sequence=2)
            regions.gateway.state.put_upstream(moved, now=asyncio.get_running_loop().time())
            assert await regions.send(make_request()) == 503

    run(main())
