import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure

from gooseberryport_core.config_store import (
    MAX_PART_BYTES,
    Change,
    Draft,
    Head,
    decode_change,
    decode_head,
    encode_head,
    entries_before,
    join_file,
    join_files,
    make_file_entry,
    missing_parts,
    plan_publication,
)


def draft(files: dict[str, bytes | None], author: str = "anna") -> Draft:
    return Draft(files=files, author=author, note="", at=1.0, token=f"{author}-{sorted(files)}")


def publish(head: Head, files: dict[str, bytes | None], author: str = "anna") -> Head:
    return plan_publication(head, draft(files, author)).unwrap().head


@pytest.mark.parametrize("size", [0, 1, MAX_PART_BYTES, MAX_PART_BYTES + 1])
def test_content_is_joined_from_parts_of_limited_length(size: int) -> None:
    content = bytes(i % 251 for i in range(size))
    publication = plan_publication(Head(), draft({"10.json": content})).unwrap()
    assert all(len(value) <= MAX_PART_BYTES for value in publication.parts.values())
    parts = {key.rpartition("/")[2]: value for key, value in publication.parts.items()}
    head = decode_head(encode_head(publication.head))
    assert join_files(head, parts) == {"10.json": content}
    assert missing_parts(head, parts) == ()


def test_content_with_a_damaged_or_missing_part_is_not_joined() -> None:
    entry = make_file_entry(b"right")
    assert join_file(entry, {entry.parts[0]: b"wrong"}) is None
    assert join_file(entry, {}) is None


def test_edits_of_different_files_merge_and_the_previous_change_is_kept() -> None:
    first = publish(Head(), {"10.json": b"1", "20.json": b"1"})
    second = publish(first, {"20.json": b"2"}, "beat")
    planned = plan_publication(second, draft({"10.json": b"3"}), [second.change])
    third = planned.unwrap()
    assert third.head.files == {"10.json": make_file_entry(b"3"), "20.json": make_file_entry(b"2")}
    assert decode_change(third.past) == second.change
    assert (third.past_key, third.head.version) == ("config/change/000000000002", 3)


def test_conflict_of_two_edits_reports_version_and_author_of_the_published_one() -> None:
    first = publish(Head(), {"10.json": b"1"})
    second = publish(first, {"10.json": b"2"}, "beat")
    planned = plan_publication(second, draft({"10.json": b"3"}), [second.change])
    assert isinstance(planned, Failure)
    (conflict,) = planned.failure()
    assert (conflict.file, conflict.versions, conflict.authors) == ("10.json", (2,), ("beat",))


def test_identical_edits_by_two_authors_do_not_conflict() -> None:
    second = publish(publish(Head(), {"10.json": b"1"}), {"10.json": b"2"}, "beat")
    assert plan_publication(second, draft({"10.json": b"2"}), [second.change]).unwrap()


edits = st.lists(
    st.dictionaries(
        st.sampled_from(["a.json", "b.json", "c.json"]),
        st.none() | st.binary(max_size=2),
        min_size=1,
    ),
    max_size=8,
)


@settings(derandomize=True, deadline=None, database=None)
@given(edits)
def test_every_older_version_can_be_restored(sequence: list[dict[str, bytes | None]]) -> None:
    head, states, changes = Head(), [{}], []
    for files in sequence:
        head = publish(head, files)
        states.append(head.files)
        changes.append(head.change)
    for version, state in enumerate(states):
        newer: list[Change] = changes[version:]
        assert entries_before(head, reversed(newer)) == state
