import msgspec
from gateway_builders import config
from hypothesis import given
from hypothesis import strategies as st

from gooseberryport_core.gateway.config_diff import (
    LIMIT_UNITS,
    ROUTE_UNITS,
    SERVICE_UNITS,
    TENANT_UNITS,
    Kind,
    check_replacement,
    compare_configs,
)
from gooseberryport_core.gateway.config_findings import Code, Fingerprints
from gooseberryport_core.gateway.model import (
    ClientLimits,
    Destination,
    Route,
    ServiceSpec,
    Tenant,
)
from gooseberryport_standins.samples import make_route

FINGERPRINTS = Fingerprints(secret=b"secret")


def compare(before, after):
    differences = compare_configs(before, after, fingerprints=FINGERPRINTS)
    assert "key-" not in repr(differences)
    return [
        (difference.kind, difference.location.field, difference.detail)
        for difference in differences
    ]


# Guards against a field of the model that is added later and that the comparison leaves out.
def test_each_field_is_compared():
    for struct, units, others in (
        (Route, ROUTE_UNITS, {"host", "prefix", "destinations"}),
        (ServiceSpec, SERVICE_UNITS, {"name"}),
        (ClientLimits, LIMIT_UNITS, set()),
        (Tenant, TENANT_UNITS, {"name", "api_keys"}),
    ):
        assert set(units) | others == set(struct.__struct_fields__)


def test_weights_are_compared_in_percent():
    def split(*weights):
        services = ("s", "t", "u")
        destinations = [Destination(*pair) for pair in zip(services, weights, strict=False)]
        return config(make_route(destinations=tuple(destinations)))

    assert compare(split(1.0, 3.0), split(25.0, 75.0)) == []
    detail = "from 's' 25%, 't' 75% to 's' 50%, 't' 25%, 'u' 25%"
    assert compare(split(1.0, 3.0), split(2.0, 1.0, 1.0)) == [
        (Kind.CHANGED, "destinations", detail)
    ]


def test_the_order_of_routes_and_tenants_is_no_difference():
    routes = [make_route(name=name, prefix=f"/{name}/") for name in "abc"]
    tenants = tuple(Tenant(name, frozenset({f"key-{name}"})) for name in "abc")
    before = config(*routes, tenants=tenants)
    assert compare(before, config(*routes[::-1], tenants=tenants[::-1])) == []


def test_keys_are_given_by_number_and_fingerprint():
    before = config(tenants=(Tenant("t", frozenset({"key-1", "key-2"})),))
    after = config(tenants=(Tenant("t", frozenset({"key-2", "key-3"})),))
    assert compare(before, after) == [
        (Kind.ADDED, "api_keys", f"1 key ({FINGERPRINTS.of('key-3')})"),
        (Kind.REMOVED, "api_keys", f"1 key ({FINGERPRINTS.of('key-1')})"),
    ]


def test_replacements_that_do_nothing_or_lock_tenants_out_are_found():
    tenant = Tenant("t", frozenset({"key-1"}))
    before = config(version=3, tenants=(tenant,))

    def found(version, *tenants):
        after = config(version=version, tenants=tenants)
        return [finding.code for finding in check_replacement(before, after)]

    assert found(4, tenant) == []
    assert found(3, tenant) == found(2, tenant) == [Code.VERSION_NOT_HIGHER]
    assert found(4, Tenant("t", frozenset())) == [Code.LAST_KEY_LOST]
    assert found(4) == [Code.KEYS_NOT_REQUIRED]


numbers = st.floats(0.0, 1e9) | st.integers(0, 10)


# Guards against a change that is reported in the wrong direction.
@given(st.fixed_dictionaries(dict.fromkeys(LIMIT_UNITS, numbers)))
def test_limits_are_raised_or_lowered(values):
    limits = ClientLimits()
    after = msgspec.structs.replace(config(), limits=ClientLimits(**values))
    found = {field: kind for kind, field, _ in compare(config(), after)}
    for field, value in values.items():
        known = getattr(limits, field)
        expected = None if value == known else Kind.RAISED if value > known else Kind.LOWERED
        assert found.get(field) is expected
