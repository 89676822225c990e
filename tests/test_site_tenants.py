import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gooseberryport_core.decoding import MAX_RATE_PER_S, InputError
from gooseberryport_core.gateway.model import Repeatability
from gooseberryport_gateway.wire import StoreItem
from gooseberryport_site.codec import PlatformCodec
from gooseberryport_site.tenants import MAX_NOTES, MAX_PRIORITY

RULE = {"match": {"pathPrefix": "/a/"}, "action": {"service": "s", "timeoutMs": 100}}
GOOD = {"name": "good", "apiKeys": ["secret-good"], "priority": 2, "ratePerS": 3.5, "burst": 7}


def decode(tenants, *, text=b"", **rule):
    """Return the configuration; the text stands where the tenants are the string "@"."""
    listeners = [{"host": "h", "rules": [RULE | rule]}]
    fields = {"version": 1, "listeners": listeners, "clusters": [], "tenants": tenants}
    value = json.dumps(fields).encode()
    item = StoreItem("op/config", value.replace(b'"@"', text) if text else value, 1)
    config = PlatformCodec().config(item)
    assert "secret" not in repr(config) + repr(item) + "".join(config.notes)
    return config


def test_tenants_and_routes_are_decoded():
    config = decode([GOOD | {"allowedRegions": ["A"], "more": 1}], public=True, kind="upload")
    (tenant,) = config.tenants
    assert (tenant.name, tenant.api_keys) == ("good", {"secret-good"})
    assert (tenant.priority, tenant.rate_per_s, tenant.burst) == (2, 3.5, 7.0)
    assert tenant.allowed_regions == {"A"}
    assert config.requires_keys and config.notes == ()
    assert config.routes[0].public
    assert config.routes[0].repeatability is Repeatability.AT_MOST_ONCE
    # A rule does not become public by a value of another type.
    for value in ("true", 1, None, [True], False):
        assert not decode([GOOD], public=value).routes[0].public


# Guards against a configuration without tenants that rejects all requests, and against one whose
# tenants are lost that accepts all.
def test_only_a_list_without_elements_and_null_are_no_tenants():
    assert not decode([]).requires_keys and not decode(None).requires_keys
    assert decode([7]).requires_keys
    for tenants in ({}, "secret", 3, True):
        with pytest.raises(InputError) as error:
            decode(tenants)
        assert "secret" not in str(error.value)


DEEP = b"[" * 3000 + b"]" * 3000
BAD_VALUES = {
    "": (b"7", b"null", b'["secret"]', b'{"name":"a","apiKeys":["secret\\ud800"]}', DEEP),
    "name": (b"5", b'""', b"null", b'"a\\r\\nX: y"', b'"' + b"a" * 300 + b'"'),
    "apiKeys": (b'"secret"', b'{"secret":1}', b"null", b"7"),
    "allowedRegions": (b'"A"', b"[1]", b"null", b"{}"),
}


# Guards against one malformed tenant that rejects the configuration or is served where it must not.
@pytest.mark.parametrize(
    ("field", "value"), [(field, value) for field in BAD_VALUES for value in BAD_VALUES[field]]
)
def test_malformed_tenant_is_skipped_alone_and_named_by_its_position(field, value):
    whole = b'{"name":"a","apiKeys":["secret"],"%s":%s}' % (field.encode(), value)
    config = decode(["@", GOOD], text=whole if field else value)
    assert [tenant.name for tenant in config.tenants] == ["good"]
    assert config.skipped_tenants == 1
    (note,) = config.notes
    assert note.startswith(f"tenants[0].{field}:" if field else "tenants[0]:")


# Guards against a tenant that is locked out by a malformed number, and against one that is limited
# by a part of its limit.
def test_tenant_keeps_its_keys_whatever_its_numbers_are():
    def numbers(text):
        tenant = decode(["@"], text=b'{"name":"a","apiKeys":["secret-a"],%s}' % text).tenants[0]
        assert tenant.api_keys == {"secret-a"}
        return tenant.priority, tenant.rate_per_s, tenant.burst

    for bad in (b'"1"', b"null", b"true", b"[]"):
        assert numbers(b'"priority":%s,"ratePerS":1' % bad) == (None, 1.0, 0.0)
        assert numbers(b'"ratePerS":%s,"burst":3' % bad) == (None, 0.0, 0.0)
        assert numbers(b'"ratePerS":5,"burst":%s' % bad) == (None, 0.0, 0.0)
    assert numbers(b'"priority":-4,"ratePerS":-5,"burst":-3') == (0, 0.0, 0.0)
    for large in (b"1e999", b"1" + b"0" * 400):
        text = b'"priority":%s,"ratePerS":%s,"burst":%s' % (large, large, large)
        assert numbers(text) == (MAX_PRIORITY, MAX_RATE_PER_S, MAX_RATE_PER_S)


# Guards against one bad key that takes the others along, and against unbounded notes.
@pytest.mark.parametrize("bad", [b"5", b'""', b"null", b"1e999", b'["secret"]', b'"secret\xff"'])
def test_bad_keys_are_skipped_alone(bad):
    text = b'{"name":"a","apiKeys":["secret-a",' + bad + b',"secret-b"]}'
    config = decode(["@", *[7] * 1000], text=text)
    assert config.tenants[0].api_keys == {"secret-a", "secret-b"}
    assert config.notes[0].startswith("tenants[0].apiKeys[1]:")
    assert len(config.notes) == MAX_NOTES + 1 and config.skipped_tenants == 1000


def test_shared_key_is_noted_by_the_positions_of_its_holders():
    (note,) = decode([GOOD, {"name": "b", "apiKeys": ["secret-good", "secret-b"]}]).notes
    assert "tenants[0].apiKeys" in note and "tenants[1].apiKeys" in note


scalars = st.none() | st.booleans() | st.integers() | st.floats(-1e308, 1e308) | st.text(max_size=5)
json_values = (
    scalars | st.lists(scalars, max_size=3) | st.dictionaries(st.text(max_size=3), scalars)
)
FIELDS = ("name", "apiKeys", "priority", "ratePerS", "burst", "allowedRegions")


# Guards against any value that raises an unexpected error, and so rejects the configuration.
@given(tenants=st.lists(st.dictionaries(st.sampled_from(FIELDS), json_values) | json_values))
def test_good_tenant_is_decoded_beside_any_others(tenants):
    config = decode([*tenants, GOOD])
    assert config.tenants[-1] == decode([GOOD]).tenants[0]
    assert len(config.tenants) + config.skipped_tenants == len(tenants) + 1
