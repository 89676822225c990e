import io
import json
import re
from xml.etree import ElementTree

import msgspec
import pytest
from msgspec import structs

from gooseberryport_cli.main import main
from gooseberryport_cli.times import parse_time
from gooseberryport_core.burn import (
    BurnHistory,
    BurnRecord,
    RegionCounts,
    RequestCounts,
    burn_record_key,
)
from gooseberryport_core.config_store import HEAD_KEY
from gooseberryport_core.events import StoreValue
from gooseberryport_core.status import (
    Candidate,
    Explanation,
    LinkStatus,
    PoolStatus,
    RegionStatus,
    StatusPage,
    VmStatus,
)
from gooseberryport_core.types import VmState


def page(*versions: int) -> StatusPage:
    vms = tuple(
        VmStatus(f"vm-{n}", "bern-a", "mittelland", VmState.LIVE, "127.0.0.1:2", version, 0.1)
        for n, version in enumerate(versions)
    )
    region = RegionStatus("mittelland", 36, 36, 5, 1, 31, 0.4)
    pool = PoolStatus("dressing-registry", "bern-a", 0, "mittelland", "vm-0", 3, 12, 12, 5, 1, 0.4)
    return StatusPage("vm-0", versions[0], (region,), (), (pool,), vms)


def test_check_reports_each_error_with_its_remedy(runner):
    folder = runner.add_folder("ops")
    assert "valid: 3 regions" in runner.run("check", "ops")
    folder.edit("95-mine.json", "services", "dressing-registry", slotz=3)
    folder.edit("96-mine.json", "drains", "d", region="atlantis")
    out = runner.run("check", "ops", code=1)
    assert "did you mean slots?" in out
    assert "2 errors" in runner.err or "1 error" in runner.err
    report = json.loads(runner.run("--json", "check", "ops", code=1))
    assert report["valid"] is False
    assert report["problems"][0]["file"] == "95-mine.json"


# Guards against a traceback, and against a file that is taken for a folder without files.
def test_check_reads_one_file_or_standard_input(runner, tmp_path, monkeypatch):
    for content, code, text in (
        (b'{"regions": {"A": {"availability_zones": ["a"], "max_requests": 1}}}', 0, "1 regions"),
        (b"[" * 5000, 1, "nested too deeply"),
        (b'{"limits": {"lease_s": 1' + b"0" * 5000 + b"}}", 1, "not JSON"),
        (b'{"limits": "\xff', 1, "not UTF-8"),
    ):
        (tmp_path / "one.json").write_bytes(content)
        assert text in runner.run("check", str(tmp_path / "one.json"), code=code)
        monkeypatch.setattr("sys.stdin", io.TextIOWrapper(io.BytesIO(content)))
        assert text in runner.run("check", "-", code=code)
    runner.run("check", str(tmp_path / "none"), code=2)


# Guards against a traceback for text that standard output can't encode.
def test_check_shows_values_that_have_no_encoding(runner, tmp_path):
    (tmp_path / "one.json").write_bytes(b'{"limits": {"\\ud800": 1}}')
    out = io.TextIOWrapper(io.BytesIO(), encoding="utf-8")
    assert main(["check", str(tmp_path / "one.json")], environment=runner, out=out, err=out) == 1
    out.flush()
    assert b"unknown field" in out.buffer.getvalue()


def test_change_of_one_file_is_one_file_in_diff_history_and_revert(runner):
    folder = runner.add_folder("ops")
    runner.run("apply", "ops")
    folder.edit("60-mine.json", "services", "dressing-registry", queue_limit=9)
    out = runner.run("diff", "ops")
    assert "+++ folder/60-mine.json" in out
    assert "10-regions.json" not in out
    assert runner.head.version == 1
    runner.run("apply", "ops", "--dry-run")
    assert runner.head.version == 1
    runner.run("apply", "ops", "--note", "shorter queue")
    assert runner.merged["services"]["dressing-registry"]["queue_limit"] == 9
    runner.run("drain", "bern-a", "--at", "+2w")
    newest, mine, _ = json.loads(runner.run("history", "--json"))
    assert [file["file"] for file in mine["files"]] == ["60-mine.json"]
    assert (mine["author"], mine["note"]) == ("anna", "shorter queue")
    assert [file["file"] for file in newest["files"]] == ["90-drain-bern-a.json"]
    runner.run("revert", "2")
    assert runner.head.version == 4
    assert "60-mine.json" not in runner.head.files
    assert "bern-a" in runner.merged["drains"]
    runner.run("revert", "9", code=2)


def test_applying_the_same_folder_again_publishes_nothing(runner):
    runner.add_folder("ops")
    runner.run("apply", "ops")
    assert "nothing to change" in runner.run("apply", "ops")
    assert runner.head.version == 1


def test_edits_of_different_files_merge_and_edits_of_one_file_conflict(runner):
    ours, theirs = runner.add_folder("ours"), runner.add_folder("theirs")
    runner.run("apply", "ours")
    runner.run("show", "--save", "theirs")
    ours.edit("60-ours.json", "services", "dressing-registry", queue_limit=9)
    runner.run("apply", "ours")
    theirs.edit("61-theirs.json", "services", "dressing-registry", slots=3)
    runner.run("apply", "theirs", "--author=beat")
    assert runner.head.version == 3
    service = runner.merged["services"]["dressing-registry"]
    assert (service["queue_limit"], service["slots"]) == (9, 3)
    ours.edit("61-theirs.json", "services", "dressing-registry", slots=2)
    runner.run("apply", "ours", code=3)
    assert "61-theirs.json: changed by beat in version 3" in runner.err
    theirs.edit("61-theirs.json", "services", "dressing-registry", slots=1)
    runner.run("apply", "theirs", "--author=beat")
    runner.run("revert", "3", code=3)
    assert "61-theirs.json: changed by beat in version 4" in runner.err
    assert runner.head.version == 4


def test_edit_between_read_and_swap_is_merged(runner):
    folder = runner.add_folder("ops")
    runner.run("apply", "ops")
    folder.edit("60-mine.json", "services", "dressing-registry", queue_limit=9)
    runner.fake_store.before_swap.append(lambda key: runner.run("drain", "bern-a"))
    runner.run("apply", "ops")
    assert {"60-mine.json", "90-drain-bern-a.json"} <= set(runner.head.files)
    assert runner.head.version == 3


def test_folder_without_a_base_does_not_overwrite(runner):
    runner.add_folder("ops")
    runner.run("apply", "ops")
    runner.add_folder("copy").edit("30-services.json", "services", "dressing-registry", slots=2)
    runner.run("apply", "copy", code=3)
    assert "--base VERSION" in runner.err
    runner.run("apply", "copy", "--base", "1")
    assert runner.merged["services"]["dressing-registry"]["slots"] == 2


@pytest.mark.parametrize("faults", [["lost after"], ["lost before"], ["lost before"] * 2])
def test_lost_answer_publishes_exactly_once(runner, faults):
    runner.add_folder("ops")
    runner.fake_store.head_faults.extend(faults)
    runner.run("apply", "ops")
    assert runner.head.version == 1


def test_write_with_lost_answer_is_found_in_the_history_after_others_published(runner):
    folder = runner.add_folder("ops")
    runner.run("apply", "ops")
    folder.edit("60-mine.json", "services", "dressing-registry", queue_limit=9)
    store = runner.fake_store
    get = store.get

    def publish_before_read(key):
        if key == HEAD_KEY and not store.head_faults and runner.head_version(get) == 2:
            store.get = get
            runner.run("drain", "bern-a")
        return get(key)

    runner.head_version = lambda read: msgspec.json.decode(read(HEAD_KEY).unwrap().value)["version"]
    store.head_faults.append("lost after")
    store.get = publish_before_read
    assert "Version 2 is published" in runner.run("apply", "ops")
    changes = json.loads(runner.run("history", "--json"))
    assert [change["version"] for change in changes] == [3, 2, 1]
    assert [len(change["files"]) for change in changes[:2]] == [1, 1]


def test_unreachable_store_is_reported_with_a_remedy(runner):
    runner.add_folder("ops")
    runner.fake_store.unavailable = True
    runner.run("apply", "ops", code=1)
    assert "Check that the service runs" in runner.err


def test_drain_and_undrain_publish_one_small_file(runner):
    runner.add_folder("ops")
    runner.run("apply", "ops")
    runner.run("drain", "dressing-registry-01", "--at", "2027-01-31T02:00", "--ramp", "60")
    content = json.loads(runner.run("show", "90-drain-dressing-registry-01.json"))
    assert content["drains"]["dressing-registry-01"] == {
        "upstream": "dressing-registry-01",
        "start": 1801360800.0,
        "ramp_s": 60.0,
    }
    runner.run("undrain", "dressing-registry-01")
    assert "90-drain-dressing-registry-01.json" not in runner.head.files
    runner.run("undrain", "dressing-registry-01", code=2)
    runner.run("drain", "atlantis", code=2)
    runner.run("drain", "bern-a", "--at", "soon", code=2)


def test_drains_that_leave_no_capacity_are_rejected(runner):
    runner.add_folder("ops")
    runner.run("apply", "ops")
    runner.run("drain", "ticino")
    runner.run("drain", "romandie")
    runner.run("drain", "mittelland", code=1)
    assert "leaves dressing-registry without capacity" in runner.err
    assert runner.head.version == 3


def test_shift_and_unshift(runner):
    runner.add_folder("ops")
    runner.run("apply", "ops")
    arguments = ["--service", "dressing-registry", "--from", "ticino", "--to", "romandie"]
    runner.run("shift", "away", *arguments, "--fraction", "0.2")
    assert runner.merged["shifts"]["away"]["cap_fraction"] == 0.2
    runner.run("shift", "away", *arguments, "--fraction", "0.2", "--cap", "0.1", code=1)
    runner.run("unshift", "away")
    assert runner.merged["shifts"] == {}


def test_apply_waits_until_the_version_is_in_force_in_every_daemon(runner):
    runner.add_folder("ops")
    runner.fake_daemon_client.pages.extend([page(0, 0), page(1, 0), page(1, 1)])
    assert "in force in every daemon" in runner.run("apply", "ops", "--daemon=127.0.0.1:2")


def test_apply_reports_the_vms_where_the_version_is_not_in_force(runner):
    runner.add_folder("ops")
    runner.fake_daemon_client.pages.append(page(1, 0))
    runner.run("apply", "ops", "--daemon=127.0.0.1:2", "--wait", "2", code=1)
    assert "not in force in vm-1 (has 0)" in runner.err
    assert runner.head.version == 1


def test_status_sums_link_usage_over_the_daemons_that_answer(runner):
    def page_with_link(used: float) -> StatusPage:
        link = LinkStatus("east", "mittelland", "ticino", 280.0, 252.0, used, 0.0)
        return structs.replace(page(4, 4), links=(link,))

    runner.fake_daemon_client.pages.append(page_with_link(1.5))
    runner.fake_daemon_client.other_pages = (page_with_link(1.5), page_with_link(2.25))
    status = json.loads(runner.run("status", "--json", "--daemon=127.0.0.1:2"))
    assert status["links"][0]["used_mbit_s"] == 3.75


def test_status_and_explain_show_tables_and_json(runner):
    runner.fake_daemon_client.pages.append(page(4, 4))
    assert "0.4 s" in runner.run("status", "--daemon=127.0.0.1:2")
    status = json.loads(runner.run("status", "--json", "--daemon=127.0.0.1:2"))
    assert status["regions"][0]["headroom"] == 31
    runner.run("status", code=2)
    candidate = Candidate(
        "dressing-registry", "bern-a", 0, "mittelland", "vm-0", 1, "7 of 12 slots free"
    )
    runner.fake_daemon_client.explanation = Explanation(
        "dressing-registry",
        "10.16.0.1",
        "mittelland",
        "10.16.0.0/16",
        "ticino",
        "away",
        (),
        (candidate,),
    )
    arguments = ("explain", "dressing-registry", "10.16.0.1", "--daemon=127.0.0.1:2")
    assert "7 of 12 slots free" in runner.run(*arguments)
    assert json.loads(runner.run(*arguments, "--json"))["rule"] == "away"


def test_burn_report_as_table_json_and_html_page(runner):
    runner.add_folder("ops")
    runner.run("report", "burn", code=2)
    runner.run("apply", "ops")
    assert "nothing was counted yet" in runner.run("report", "burn")
    for region, slow in (("mittelland", 20), ("ticino", 0)):
        history = BurnHistory()
        for n in range(120):
            counts = {"dressing-registry": RequestCounts(100 * n, slow * n, 0)}
            history.add(runner.now - 60 * (119 - n), counts)
        record = BurnRecord(region, runner.now, RegionCounts(), history.encode())
        value = msgspec.msgpack.encode(record)
        runner.fake_store.swap(burn_record_key(region), value, 0)
    out = runner.run("report", "burn", "--html", "burn.html")
    assert re.search(r"dressing-registry +mittelland +latency +99.00% +20.00 .* page", out)
    lines = json.loads(runner.run("report", "burn", "--json"))
    assert {line["region"] for line in lines} == {"mittelland", "ticino", "all"}
    page = runner.written["burn.html"]
    assert page.count("<polyline") == 4
    assert "http" not in page
    ElementTree.fromstring(re.search(r"<svg.*?</svg>", page)[0])
    runner.fake_store.values[burn_record_key("ticino")] = StoreValue(
        burn_record_key("ticino"), b"x", 9
    )
    runner.run("report", "burn", code=1)


def test_invalid_usage_exits_with_2_and_help_with_0(runner):
    runner.run("aply", code=2)
    runner.run("apply", code=2)
    runner.run("--help")
    assert "complete" in runner.run("completion", "zsh")
    assert json.loads(runner.run("schema"))["$defs"]["Drain"]


@pytest.mark.parametrize(
    ("text", "seconds"),
    [("now", 100.0), ("+15m", 1000.0), ("+1w", 604_900.0), ("1970-01-02T00:00", 86_400.0)],
)
def test_parse_time(text, seconds):
    assert parse_time(text, 100.0) == seconds
