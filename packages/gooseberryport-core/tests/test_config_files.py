import json
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from gooseberryport_core.config_files import Severity, check_files, config_schema, load_config

BASE = {
    "regions": {
        "mittelland": {"availability_zones": ["bern-a", "olten-b"], "max_requests": 8},
        "ticino": {"availability_zones": ["lugano-a"], "max_requests": 4},
    },
    "links": {
        "m-t": {"source": "mittelland", "destination": "ticino", "limit_mbit_s": 280},
        "t-m": {"source": "ticino", "destination": "mittelland", "limit_mbit_s": 280},
    },
    "services": {"registry": {"slots": 4}},
    "upstreams": {
        "u1": {"service": "registry", "availability_zone": "bern-a", "address": "10.0.0.1:80"},
        "u2": {"service": "registry", "availability_zone": "olten-b", "address": "10.0.0.2:80"},
        "u3": {"service": "registry", "availability_zone": "lugano-a", "address": "[fd00::1]:80"},
    },
    "client_blocks": {"10.1.0.0/16": "bern-a"},
}
SHIFT = {"service": "registry", "source": "mittelland", "destination": "ticino"}


def files(*patches: object) -> dict[str, bytes]:
    parts = (BASE, *patches)
    return {f"{10 * i:02}.json": json.dumps(part).encode() for i, part in enumerate(parts)}


def test_valid_files_load_without_problems() -> None:
    checked = check_files(files())
    assert checked.problems == ()
    assert load_config(files(), 7).unwrap().version == 7


def test_later_files_override_fields_and_null_deletes() -> None:
    patch = {"services": {"registry": {"queue_limit": 9}}, "upstreams": {"u3": None}}
    region = {"regions": {"ticino": None}, "links": None}
    cfg = load_config(files(patch, region), 1).unwrap()
    assert cfg.services["registry"].queue_limit == 9
    assert cfg.services["registry"].slots == 4
    assert set(cfg.upstreams) == {"u1", "u2"}
    assert cfg.links == {}


@pytest.mark.parametrize(
    ("patch", "field", "expected_text"),
    [
        ({"upstreamz": {}}, "upstreamz", "did you mean upstreams"),
        ({"version": 3}, "version", "unknown field"),
        ({"regions": []}, "regions", "not an object"),
        ({"services": {"registry": {"default_timeout_ms": 5}}}, None, "mean default_timeout_s?"),
        ({"services": {"registry": {"slots": "4"}}}, "services.registry.slots", "a whole number"),
        ({"services": {"registry": {"slots": 0}}}, "services.registry.slots", "at least 1"),
        ({"services": {"registry": {"default_timeout_s": 99}}}, None, "longer than max_timeout_s"),
        ({"limits": {"lookup_max_age_s": "5s"}}, "limits.lookup_max_age_s", "a number"),
        ({"limits": {"failover_fraction": 1.5}}, "limits.failover_fraction", "at most 1"),
        ({"upstreams": {"u1": {"service": "x"}}}, "upstreams.u1.service", "unknown service"),
        ({"upstreams": {"u1": {"availability_zone": "x"}}}, None, "unknown availability zone"),
        ({"upstreams": {"u1": {"address": "host:80"}}}, "upstreams.u1.address", "not IP:port"),
        ({"upstreams": {"u1": {"address": "fd00::1:80"}}}, "upstreams.u1.address", "not IP:port"),
        (
            {"upstreams": {"u1": {"address": "10.0.0.2:80"}}},
            "upstreams.u1.address",
            "also the address of u2",
        ),
        ({"upstreams": {"u9": {"service": "registry"}}}, "upstreams.u9.address", "missing"),
        ({"regions": {"ticino": {"availability_zones": ["bern-a"]}}}, None, "already in region"),
        ({"links": {"x": {**BASE["links"]["m-t"]}}}, "links.x", "same direction as link m-t"),
        ({"links": {"m-t": {"source": "x"}}}, "links.m-t.source", "unknown region"),
        ({"links": {"m-t": {"headroom_fraction": 1}}}, None, "below 1"),
        ({"shifts": {"s": {**SHIFT, "fraction": 0.5, "cap_fraction": 0.4}}}, None, "raise the cap"),
        ({"shifts": {"s": {**SHIFT, "fraction": -1, "cap_fraction": 0}}}, None, "at least 0"),
        (
            {"shifts": {n: {**SHIFT, "fraction": 0.6, "cap_fraction": 1} for n in "ab"}},
            "shifts.b.fraction",
            "sum to 1.2",
        ),
        ({"services": {"healthz": {}}}, "services.healthz", "choose another name"),
        ({"drains": {"d": {}}}, "drains.d", "exactly one"),
        ({"drains": {"d": {"upstream": "x"}}}, "drains.d.upstream", "unknown upstream"),
        (
            {"drains": {"a": {"region": "ticino"}, "b": {"region": "mittelland", "start": 5}}},
            "drains.b",
            "without capacity (a, b)",
        ),
        ({"client_blocks": {"10.1.0.0/16": "x"}}, None, "unknown availability zone"),
        ({"client_blocks": {"10.1.0.1/16": "olten-b"}}, None, "same block as 10.1.0.0/16"),
        ({"client_blocks": {"tens": "bern-a"}}, "client_blocks.tens", "not a block"),
    ],
)
def test_error_names_file_field_and_remedy(
    patch: object, field: str | None, expected_text: str
) -> None:
    result = load_config(files(patch), 1)
    assert isinstance(result, Failure)
    problems = result.failure()
    matching = [p for p in problems if expected_text in str(p) and field in (None, p.field)]
    assert matching, [str(p) for p in problems]
    assert matching[0].file == "10.json"
    assert matching[0].remedy


@pytest.mark.parametrize(
    ("patch", "expected_text"),
    [
        ({"regions": {"ticino": {"max_requests": 0}}}, "no cap of its own"),
        ({"regions": {"ticino": {"max_requests": 5}}}, "above the 4 slots"),
        ({"links": {"m-t": {"headroom_fraction": 0}}}, "no headroom"),
        ({"links": {"m-t": None}}, "no link from mittelland to ticino"),
        ({"services": {"other": {}}}, "no upstream serves it"),
        ({"client_blocks": {"10.1.2.0/24": "olten-b"}}, "longer prefix wins"),
    ],
)
def test_questionable_value_is_a_warning_and_still_loads(patch: object, expected_text: str) -> None:
    checked = check_files(files(patch))
    assert checked.cfg is not None
    assert [p.severity for p in checked.problems if expected_text in str(p)] == [Severity.WARNING]


@pytest.mark.parametrize(
    ("content", "expected_text"),
    [
        (b"{", "not JSON"),
        (b"\xff", "not UTF-8"),
        (b"[]", "not a JSON object"),
        (b'{"regions": {}, "regions": {}}', "appears twice"),
        (b'{"limits": {"window_s": NaN}}', "not a JSON number"),
        (b"[" * 100_000, "nested too deeply"),
    ],
)
def test_invalid_file_is_reported_along_with_other_problems(
    content: bytes, expected_text: str
) -> None:
    all_files = {**files({"nonsense": 1}), "20.json": content}
    problems = check_files(all_files).errors
    assert [p.file for p in problems if expected_text in p.message] == ["20.json"]
    assert "nonsense" in [p.field for p in problems]


json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=5), inner),
    max_leaves=8,
)
paths = st.sampled_from(
    [(s, n, f) for s, part in BASE.items() for n, e in part.items() for f in [*e, "x"][:6]]
)


@settings(derandomize=True, deadline=None, database=None)
@given(paths, json_values)
def test_any_value_is_accepted_or_reported_but_never_raises(
    path: tuple[str, str, str], value: object
) -> None:
    section, name, field = path
    result = load_config(files({section: {name: {field: value}}}, {section: {name: value}}), 1)
    assert isinstance(result, Success) or result.failure()


def test_schema_contains_sections_and_number_ranges() -> None:
    parts = config_schema()["$defs"]
    assert "version" not in parts["Config"]["properties"]
    fraction = parts["Shift"]["properties"]["fraction"]["anyOf"][0]
    assert (fraction["minimum"], fraction["maximum"]) == (0, 1)
    assert "required" not in parts["Shift"]


@pytest.mark.parametrize("deployment", ["amt", "blue-mahoe"])
def test_examples_have_no_problems(deployment: str) -> None:
    folder = Path(__file__).parents[3] / "examples" / deployment
    checked = check_files({path.name: path.read_bytes() for path in folder.glob("*.json")})
    assert [str(problem) for problem in checked.problems] == []
    assert checked.cfg is not None
    assert len(checked.cfg.upstreams) == 28
