from gateway_builders import config
from hypothesis import given
from hypothesis import strategies as st

from gooseberryport_core.gateway.model import Destination, Tenant
from gooseberryport_core.gateway.routing import RouteTable
from gooseberryport_core.gateway.tenants import SECRET_BYTES, KeyRejection, TenantDirectory
from gooseberryport_standins.samples import make_route

KEY = "key-1"


def directory(*tenants, skipped=0):
    cfg = config(make_route(), tenants=tenants, skipped_tenants=skipped)
    return TenantDirectory(cfg, secret=b"s" * SECRET_BYTES)


A = Tenant("a", frozenset({KEY, "key-2"}))
B = Tenant("b", frozenset({"key-3", "key-ä"}))

# 40 values, separated by bars.
MALFORMED = (
    b"| |\t|Bearer|Bearer |bearer\t|Bearer\tkey-1|Bearer \tkey-1|Bearerkey-1|Bearer:key-1|"
    b"Bearer: key-1|Bearer=key-1|key-1|key-1 Bearer| key-1|Basic key-1|Basic a2V5LTE=|"
    b"Digest key-1|Token key-1|Bearers key-1|Beare key-1|BearerBearer key-1|"
    b"Bearer Bearer key-1|Bearer key-1 key-1|Bearer key-1 key-2|Bearer key-1, Bearer key-1|"
    b"Bearer key-1 ,|Bearer key-1\tx|Bearer key-1\x00|Bearer \x00key-1|Bearer key\x00-1|"
    b"Bearer key-1\x7f|Bearer\x0bkey-1|Bearer\xa0key-1|Bearer key-1; Bearer key-1|"
    b"Bearer key-1 realm=x|\x00Bearer key-1|\xff\xfe key-1|, Bearer key-1|"
    b"Authorization: Bearer key-1"
).split(b"|")
KNOWN = [b"Bearer key-1", b"bEARER  key-2 ", b"Bearer key-3"]
UNKNOWN = [b'Bearer "key-1"', b"Bearer KEY-1", b"Bearer key-1,", b"Bearer key-", b"Bearer key-11"]


# Guards against a field that only resembles a key's being accepted: the request would run without
# a known key.
def test_malformed_fields_and_other_keys_identify_no_tenant():
    for reason, fields in ((KeyRejection.MALFORMED, MALFORMED), (KeyRejection.UNKNOWN, UNKNOWN)):
        for field in fields:
            assert directory(A).identify([field], public=False) is reason, field


# Guards against any combination of fields that passes by accident, and against a known key's being
# rejected for the case of the scheme or for spaces that HTTP allows.
@given(st.lists(st.binary(max_size=12) | st.sampled_from([*MALFORMED, *KNOWN]), max_size=3))
def test_exactly_one_field_with_a_known_key_identifies_a_tenant(values):
    words = values[0].strip(b" \t").split(b" ") if len(values) == 1 else []
    is_known = words and words[0].lower() == b"bearer" and words[-1] in (b"key-1", b"key-2")
    expected = A if is_known and not any(words[1:-1]) else None
    found = directory(A).identify(values, public=False)
    assert (found if isinstance(found, Tenant) else None) is expected
    assert directory(A).identify(values, public=True) is expected


def test_keys_of_any_text_are_found_as_utf_8_and_shared_keys_identify_nobody():
    shared = Tenant("c", frozenset({"key-3", "key-4"}))
    found = directory(A, B, shared)
    assert found.identify(["Bearer key-ä".encode()], public=False) is B
    assert found.identify([b"Bearer key-4"], public=False) is shared
    assert found.identify([b"Bearer key-3"], public=False) is KeyRejection.SHARED
    assert found.identify([b"Bearer key-3"], public=True) is None


# Guards against a configuration whose tenants are all malformed: it must not open all routes.
def test_keys_are_required_if_all_tenants_were_skipped_and_only_then_without_tenants():
    assert directory(skipped=1).identify([], public=False) is KeyRejection.MISSING
    assert directory().identify([b"Bearer x", b"nonsense"], public=False) is None


# Guards against a tenant's urgent requests being denied the second half of the retry budget since
# a route that only less urgent tenants use has a smaller number.
def test_most_urgent_is_the_smallest_priority_that_a_request_can_have():
    first = make_route(prefix="/o/", priority=1)
    other = make_route(prefix="/p/", priority=0, destinations=(Destination("t", 1.0),), public=True)
    ranked = [Tenant("x", frozenset("x"), priority=2), Tenant("y", frozenset("y"), priority=3)]
    table = RouteTable(config(first, other, tenants=tuple(ranked)))
    assert (
        table.level(service="s", priority=2).index == 0
        and table.level(service="s", priority=3).index > 0
    )
    assert (
        table.level(service="t", priority=0).index == 0
        and table.level(service="t", priority=2).index > 0
    )
    table = RouteTable(config(first, other, tenants=(*ranked, A)))
    assert (
        table.level(service="s", priority=1).index == 0
        and table.level(service="s", priority=2).index > 0
    )
