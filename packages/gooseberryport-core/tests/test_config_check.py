import pytest
from gateway_builders import config
from hypothesis import given
from hypothesis import strategies as st

from gooseberryport_core.gateway.config_check import REQUESTS_PER_SLOT_S, check_config
from gooseberryport_core.gateway.config_findings import Code, Fingerprints, Severity
from gooseberryport_core.gateway.model import ServiceSpec, Tenant, UpstreamState
from gooseberryport_core.gateway.routing import RouteTable
from gooseberryport_core.gateway.tenants import TenantDirectory
from gooseberryport_standins.samples import SERVICE, make_entry, make_route

FINGERPRINTS = Fingerprints(secret=b"secret")


def codes(cfg, **known):
    return [finding.code for finding in check_config(cfg, fingerprints=FINGERPRINTS, **known)]


def with_service(*routes, **fields):
    cfg = config(*routes, **fields)
    cfg.services[SERVICE] = ServiceSpec(SERVICE, "/health", 0.0, 0.0)
    return cfg


def test_a_typical_configuration_is_clean():
    tenant = Tenant("t", frozenset({"key"}), rate_per_s=5.0, burst=5.0)
    cfg = with_service(make_route(), tenants=(tenant,))
    assert codes(cfg, upstreams=[make_entry("u1"), make_entry("u2")]) == []


# Guards against a check that disagrees with the look-up of routes.
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["h", "h:80", "i:80", "i"]),
            st.sampled_from(["/", "/a/", "/a", "a/", "", "//", "/a/b/", "/é/"]),
        ),
        max_size=6,
    )
)
def test_each_route_is_found_or_has_a_finding(places):
    routes = [
        make_route(name=f"r{index}", host=host, prefix=prefix)
        for index, (host, prefix) in enumerate(places)
    ]
    cfg = with_service(*routes)
    unreachable = {
        finding.location.key
        for finding in check_config(cfg, fingerprints=FINGERPRINTS)
        if finding.code in (Code.ROUTE_NEVER_MATCHES, Code.ROUTE_SHADOWED)
    }
    table = RouteTable(cfg)
    for index, route in enumerate(routes):
        paths = (f"{route.prefix}x", route.prefix)
        found = any(table.find(host=route.host, path=path) is route for path in paths)
        is_path = route.prefix.startswith("/") and route.prefix.isascii()
        assert (found and is_path) == (index not in unreachable)


# Guards against a check that disagrees with the look-up of keys.
@given(st.lists(st.frozensets(st.text(max_size=2), max_size=3), min_size=1, max_size=4))
def test_each_key_identifies_its_tenant_or_has_a_finding(key_sets):
    tenants = tuple(Tenant(f"tenant{index}", keys) for index, keys in enumerate(key_sets))
    cfg = with_service(make_route(), tenants=tenants)
    directory = TenantDirectory(cfg, secret=b"s")
    found = codes(cfg)
    useless = [
        key
        for tenant in tenants
        for key in tenant.api_keys
        if directory.find([b"Bearer " + key.encode()]) is not tenant
    ]
    assert bool(useless) == bool({Code.SHARED_KEY, Code.KEY_UNUSABLE} & set(found))
    num_keys = sum(len(tenant.api_keys) for tenant in tenants)
    assert (len(useless) == num_keys) == (Code.NO_USABLE_KEY in found)


@pytest.mark.parametrize(("rate_per_s", "finds"), [(1.0, False), (1.01, True)])
def test_quotas_are_compared_with_the_slots_of_ready_upstreams(rate_per_s, finds):
    entries = [make_entry("u1"), make_entry("u2", state=UpstreamState.DRAINING)]
    rate_per_s *= entries[0].slots * REQUESTS_PER_SLOT_S
    tenant = Tenant("t", frozenset({"key"}), rate_per_s=rate_per_s, burst=5.0)
    cfg = with_service(make_route(max_attempts=1), tenants=(tenant,))
    assert codes(cfg, upstreams=entries) == ([Code.QUOTAS_ABOVE_SLOTS] if finds else [])


def test_findings_name_keys_by_fingerprints_that_differ_between_runs():
    tenants = (Tenant("a", frozenset({"the-key"})), Tenant("b", frozenset({"the-key"})))
    cfg = with_service(make_route(), tenants=tenants)
    texts = set()
    for secret in (b"1", b"2"):
        fingerprints = Fingerprints(secret=secret)
        (finding,) = [
            finding
            for finding in check_config(cfg, fingerprints=fingerprints)
            if finding.code is Code.SHARED_KEY
        ]
        assert fingerprints.of("the-key") in finding.consequence
        assert "the-key" not in repr(finding)
        assert finding.severity is Severity.ERROR
        texts.add(finding.consequence)
    assert len(texts) == 2
