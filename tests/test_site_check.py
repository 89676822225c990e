import io
import json
import re
import subprocess
import sys
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gooseberryport_core.decoding import InputError
from gooseberryport_core.gateway.config_findings import Code, Severity
from gooseberryport_core.gateway.model import Repeatability, Tenant
from gooseberryport_core.gateway.routing import RouteTable
from gooseberryport_core.gateway.tenants import TenantDirectory
from gooseberryport_gateway.wire import StoreItem
from gooseberryport_site import check, check_document
from gooseberryport_site.check import MAX_DOCUMENT_BYTES, main
from gooseberryport_site.codec import PlatformCodec
from gooseberryport_site.problems import ProblemCode

ROOT = Path(__file__).parents[1]
FOLDER = Path(__file__).parent / "check_documents"
CASES = {path.stem: json.loads(path.read_text()) for path in sorted(FOLDER.glob("*.json"))}
PAGE = ROOT / "docs" / "operators" / "check-configuration.md"

OWN_CODES = {
    check_document.MEMBER_UNKNOWN,
    check_document.MEMBER_REPEATED,
    check_document.MEMBERS_NOT_CHECKED,
    check_document.UPSTREAM_IGNORED,
}


def run(tmp_path, case, *options):
    """Return the exit status of a case of the folder."""
    arguments = []
    for name, option in (
        ("document", None),
        ("against", "--against"),
        ("upstreams", "--upstreams"),
    ):
        if name in case:
            path = tmp_path / f"{name}.json"
            path.write_text(json.dumps(case[name]))
            arguments += [option, str(path)] if option else [str(path)]
    if "memory" in case:
        arguments += ["--memory-mb", str(case["memory"])]
    return main([*arguments, *options])


def keys_of(document):
    """Return the keys of a document's tenants, malformed tenants included."""
    tenants = document.get("tenants")
    tenants = tenants if isinstance(tenants, list) else ()
    keys = [tenant.get("apiKeys") for tenant in tenants if isinstance(tenant, dict)]
    return {key for key in re.findall(r'"(key[^"]*)"', json.dumps(keys)) if len(key) > 5}


# Guards against findings that are lost, moved or renamed, and against keys in the output.
@pytest.mark.parametrize("name", CASES)
def test_findings_on_the_documents_of_the_folder(name, tmp_path, capsys):
    case = CASES[name]
    status = run(tmp_path, case, "--json")
    lines = [json.loads(line) for line in capsys.readouterr().out.splitlines()]
    findings = [line for line in lines if line["type"] == "finding"]
    texts = [f"{line['severity']} {line['code']} {line['path']}".strip() for line in findings]
    assert texts == case["findings"]
    assert all(line["consequence"] and line["remedy"] for line in findings)
    assert status == any(line["severity"] == "error" for line in findings)
    differences = [line for line in lines if line["type"] == "difference"]
    assert [
        " | ".join(filter(None, (line["kind"], line["subject"], line["field"])))
        for line in differences
    ] == case.get("differences", [])
    assert run(tmp_path, case, "--strict") == (
        status or any(line["severity"] == "warning" for line in findings)
    )
    table = capsys.readouterr().out
    assert all(line["code"] in table for line in findings)
    for key in keys_of(case["document"]) | keys_of(case.get("against", {})):
        assert key not in table + json.dumps(lines)


def test_each_code_has_a_document_and_a_row_on_the_page():
    codes = {code.value for code in (*Code, *ProblemCode)} | OWN_CODES
    shown = {line.split()[1] for case in CASES.values() for line in case["findings"]}
    page = PAGE.read_text()
    # Documents of the folder are JSON that other programs can write as well.
    assert codes - shown == {check_document.MEMBERS_NOT_CHECKED, check_document.MEMBER_REPEATED}
    assert not [code for code in codes if f"| `{code}` |" not in page]
    assert set(check_document.ACTIONS) == set(ProblemCode)


# Guards against a document that is refused for its first mistake, and then for the next one.
def test_gateways_log_all_reasons_to_refuse_a_document():
    value = json.dumps(CASES["refused"]["document"]).encode()
    with pytest.raises(InputError) as error:
        PlatformCodec().config(StoreItem("op/config", value, 1))
    assert str(error.value).startswith("10 problems: version: Expected `int`, got `str`; listeners")
    assert "key-acme" not in str(error.value)


def not_used(document, config):
    """Return what gateways do not use as it is stated, by comparison with their own look-ups."""
    table = RouteTable(config)
    directory = TenantDirectory(config, secret=b"secret")
    found = []
    for listener in document["listeners"]:
        for rule in listener["rules"]:
            action = rule["action"]
            route = table.find(host=listener["host"], path=rule["match"]["pathPrefix"])
            backends = [
                (item["service"], item.get("weight", 1)) for item in action.get("backends", [])
            ]
            if action.get("service") is not None:
                backends.append((action["service"], 1))
            stated = (
                rule["match"]["pathPrefix"],
                action["timeoutMs"] / 1000,
                rule.get("aimMs", 1000) / 1000,
                action.get("maxAttempts", 1),
                rule.get("priority", 0),
                rule.get("kind", "unsafe") == "safe",
                rule.get("kind", "unsafe") in ("safe", "unsafe"),
                rule.get("sticky", False),
                rule.get("public", False),
                sorted(set(action.get("allowedRegions", []))),
                backends,
            )
            used = route and (
                route.prefix,
                route.timeout_s,
                route.objective_s,
                route.max_attempts,
                route.priority,
                route.repeatability is Repeatability.IDEMPOTENT,
                True,
                route.object_affinity,
                route.public,
                sorted(route.allowed_regions),
                list(map(tuple, ((d.service, d.weight) for d in route.destinations))),
            )
            if stated != used or type(rule.get("public", False)) is not bool:
                found.append((stated, used))
    for cluster in document["clusters"]:
        spec = config.services[cluster["name"]]
        stated = (
            cluster.get("healthCheckPath", "/health"),
            cluster.get("coldStartS", 0),
            cluster.get("coldPerS", 0),
        )
        if stated != (spec.health_path, spec.cold_start_s, spec.cold_rate_per_s):
            found.append((cluster, spec))
    limits = document.get("limits", {})
    timeouts = (limits.get("headerTimeoutMs", 3000), limits.get("idleTimeoutMs", 15000))
    used = (config.limits.header_timeout_s, config.limits.idle_timeout_s)
    if tuple(timeout / 1000 for timeout in timeouts) != used:
        found.append(timeouts)
    for tenant in document.get("tenants") or ():
        keys = tenant.get("apiKeys") if isinstance(tenant, dict) else None
        for key in keys if isinstance(keys, list) else (None,):
            value = b"Bearer " + (key.encode() if isinstance(key, str) else b"")
            holder = directory.find([value])
            if not isinstance(holder, Tenant):
                found.append(tenant)
                continue
            stated = (
                tenant.get("name"),
                tenant.get("priority", holder.priority),
                tenant.get("ratePerS", 0),
                tenant.get("burst", 0),
                set(tenant.get("allowedRegions", [])),
            )
            regions = set(holder.allowed_regions)
            used = (holder.name, holder.priority, holder.rate_per_s, holder.burst, regions)
            if stated != used:
                found.append((stated, used))
    return found


BASE = {
    "version": 4,
    "limits": {"maxHeaderBytes": 16384, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
    "listeners": [
        {
            "host": "h.example",
            "rules": [
                {
                    "name": "a",
                    "kind": "safe",
                    "aimMs": 400,
                    "priority": 2,
                    "sticky": True,
                    "public": False,
                    "match": {"pathPrefix": "/a/"},
                    "action": {
                        "backends": [{"service": "s", "weight": 9}, {"service": "t", "weight": 1}],
                        "timeoutMs": 1500,
                        "maxAttempts": 2,
                        "allowedRegions": ["A"],
                    },
                },
                {
                    "name": "b",
                    "match": {"pathPrefix": "/b/"},
                    "action": {"service": "s", "timeoutMs": 2000},
                },
            ],
        },
        {"host": "i.example", "rules": []},
    ],
    "clusters": [
        {"name": "s", "healthCheckPath": "/up", "coldStartS": 3.0, "coldPerS": 4},
        {"name": "t"},
    ],
    "tenants": [
        {"name": "x", "apiKeys": ["key-x-1", "key-x-2"], "priority": 1, "ratePerS": 5, "burst": 9},
        {"name": "y", "apiKeys": ["key-y-1"], "allowedRegions": ["A"]},
    ],
}


def paths_in(value, path=()):
    yield path
    if isinstance(value, dict | list):
        for key, member in value.items() if isinstance(value, dict) else enumerate(value):
            yield from paths_in(member, (*path, key))


PATHS = [path for path in paths_in(BASE) if path]
odd_values = (
    st.sampled_from(
        [None, True, 0, -1, 1e300, 10**400, -(10**400), 0.5, "", "/a/", "s", "key-x-1", "a b", "x"]
    )
    | st.sampled_from(
        [[], {}, [None], ["key-y-1", 5], [[]] * 2, "h.example", "i.example:80", "true"]
    )
    | st.integers()
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=4)
)
DELETED = object()
COPIED = object()
changes = st.lists(
    st.tuples(st.sampled_from(PATHS), odd_values | st.sampled_from([DELETED, COPIED])), max_size=3
)


def changed(edits):
    document = json.loads(json.dumps(BASE))
    for path, value in edits:
        node = document
        try:
            for key in path[:-1]:
                node = node[key]
            if value is COPIED:
                node.append(json.loads(json.dumps(node[path[-1]])))
            elif value is DELETED:
                del node[path[-1]]
            else:
                node[path[-1]] = json.loads(json.dumps(value))
        except (TypeError, KeyError, IndexError, AttributeError):
            # An earlier edit has removed that part.
            continue
    return document


# Guards against a document that the check calls clean and of which a gateway uses only a part, and
# against a check that decodes otherwise than the gateways.
@settings(max_examples=1500, deadline=None)
@given(edits=changes)
def test_check_reports_whatever_a_gateway_refuses_or_does_not_use(edits):
    document = changed(edits)
    value = json.dumps(document).encode()
    checked = check_document.check_document(value)
    codes = {finding.code for finding in checked.findings}
    text = "".join(finding.path + finding.consequence for finding in checked.findings)
    assert not [key for key in keys_of(document) if key in text]
    try:
        config = PlatformCodec().config(StoreItem("op/config", value, 1))
    except InputError:
        assert "refused" in codes
        return
    assert "refused" not in codes
    paths = {finding.path for finding in checked.findings}
    assert {note.split(": ")[0] for note in config.notes} <= paths
    if not_used(document, config):
        assert codes - {check_document.MEMBER_UNKNOWN}
    if not checked.counts[Severity.ERROR]:
        assert config.skipped_tenants == 0
    if not codes:
        assert config.notes == ()


def test_the_base_of_the_property_is_clean_and_used_as_it_is_stated():
    value = json.dumps(BASE).encode()
    assert check_document.check_document(value).findings == []
    assert not_used(BASE, PlatformCodec().config(StoreItem("op/config", value, 1))) == []


DEEP = b"[" * 5000 + b"]" * 5000
GOOD = json.dumps(CASES["clean"]["document"]).encode()
HOSTILE = {
    "empty": b"",
    "truncated": GOOD[:-30],
    "truncated after a mistake": b'{"version": "x", "listeners": [',
    "deep": DEEP,
    "deep in a member": GOOD.replace(b'"version": 2', b'"version": 2, "more": ' + DEEP),
    "deep in listeners": b'{"version": 1, "clusters": [], "listeners": ' + DEEP + b"}",
    "no utf-8": GOOD.replace(b"acme", b"\xff\xfe"),
    "no json": b"\x00\x01",
    "too large": b" " * MAX_DOCUMENT_BYTES + GOOD,
}


# Guards against a traceback, whose text may contain keys.
@pytest.mark.parametrize("name", HOSTILE)
@pytest.mark.parametrize("option", ["document", "--against", "--upstreams"])
def test_what_can_not_be_read_ends_with_a_message(name, option, tmp_path, capsys):
    hostile, good = tmp_path / "hostile", tmp_path / "good"
    hostile.write_bytes(HOSTILE[name])
    good.write_bytes(GOOD)
    arguments = [str(hostile)] if option == "document" else [str(good), option, str(hostile)]
    assert main(arguments) == 2
    output = capsys.readouterr()
    assert output.out == ""
    assert output.err.startswith("gooseberryport: ") and output.err.count("\n") == 1
    assert "key-acme" not in output.err


def test_files_that_are_not_there_end_with_a_message(tmp_path, capsys):
    for path in (tmp_path / "none", tmp_path, "a\0b"):
        assert main([str(path)]) == 2
        assert "can't read" in capsys.readouterr().err


@pytest.mark.parametrize("tenants", [DEEP, b"[" + DEEP + b"]", b"[tru]"])
def test_tenants_that_gateways_leave_out_are_no_reason_to_read_nothing(tenants, tmp_path, capsys):
    path = tmp_path / "document"
    path.write_bytes(GOOD[: GOOD.index(b'"tenants"')] + b'"tenants": ' + tenants + b"}")
    assert main([str(path), "--json"]) == 1
    codes = [json.loads(line)["code"] for line in capsys.readouterr().out.splitlines()]
    assert "tenant-skipped" in codes and check_document.MEMBERS_NOT_CHECKED in codes


# Guards against a rule that is lost because its listener has two members `rules`.
def test_repeated_members_are_found_where_they_are():
    value = GOOD.replace(b'"timeoutMs": 2000', b'"timeoutMs": 1, "timeoutMs": 2000')
    value = value.replace(b'"rules": [', b'"rules": [], "rules": [')
    findings = check_document.check_document(value).findings
    assert [(finding.code, finding.path) for finding in findings] == [
        (check_document.MEMBER_REPEATED, "listeners[0].rules"),
        (check_document.MEMBER_REPEATED, "listeners[0].rules[0].action.timeoutMs"),
    ]


# Guards against unbounded output and against values of the document that control the terminal.
def test_output_is_bounded_and_printable(monkeypatch, capsys):
    rule = {"match": {"pathPrefix": "\x1b[2J\u202e" + "x" * 9999}, "action": {"timeoutMs": 0}}
    rule["action"]["service"] = "s"
    document = {"version": 1, "listeners": [{"host": "h", "rules": [rule] * 900}], "clusters": []}
    for options in ((), ("--json",)):
        monkeypatch.setattr(
            sys, "stdin", io.TextIOWrapper(io.BytesIO(json.dumps(document).encode()))
        )
        assert main(["-", *options]) == 1
        output = capsys.readouterr().out
        assert len(output) < 2_000_000
        assert "x" * check.MAX_CELL_CHARS not in output
        if not options:
            assert output.replace("\n", "").isprintable()
            assert "more\n" in output


def test_command_reads_standard_input_and_a_gateway_imports_none_of_it():
    def python(*arguments, data=b""):
        return subprocess.run(
            [sys.executable, *arguments], input=data, capture_output=True, cwd=ROOT / "platform"
        )

    done = python("-m", "gooseberryport_site", "check", "-", data=GOOD)
    assert (done.returncode, done.stdout) == (0, b"0 errors, 0 warnings, 0 notices\n")
    done = python("-m", "gooseberryport_site", "check", "-", data=b"[" * 50_000_000)
    assert done.returncode == 2 and done.stderr.count(b"\n") == 1
    imports = "import sys, gooseberryport_site.__main__, gooseberryport_site.start;"
    modules = ["argparse", "gooseberryport_site.check", "gooseberryport_core.gateway.config_check"]
    done = python("-c", f"{imports} sys.exit(any(name in sys.modules for name in {modules}))")
    assert done.returncode == 0, done.stderr
    # Packages that deploy/build.sh does not install.
    imports = "import sys, gooseberryport_site.check;"
    modules = ["rich", "cappa", "returns", "gooseberryport_cli"]
    done = python("-c", f"{imports} sys.exit(any(name in sys.modules for name in {modules}))")
    assert done.returncode == 0, done.stderr
