import ast
import re
from collections.abc import Iterator
from pathlib import Path

from gooseberryport_core._invariants import Invariant
from gooseberryport_core.log_events import LogNumber

ROOT = Path(__file__).parents[3]
SOURCES = sorted((ROOT / "packages").glob("*/src/**/*.py"))
METRIC_METHODS = {"count", "time", "gauge"}


def parsed() -> Iterator[tuple[Path, ast.Module]]:
    for path in SOURCES:
        yield path, ast.parse(path.read_text())


def rows(page: str) -> list[list[str]]:
    lines = (ROOT / "docs" / page).read_text().splitlines()
    return [[cell.strip() for cell in line.strip("|").split("|")] for line in lines if "|" in line]


def test_every_event_number_is_in_the_catalogue_and_in_use() -> None:
    listed = {int(row[0]): row[1] for row in rows("events.md") if row[0].isdigit()}
    known = {int(member): member.name for member in (*LogNumber, *Invariant)}
    assert listed == known
    assert len(known) == len(LogNumber) + len(Invariant)
    text = "".join(path.read_text() for path in SOURCES if path.name != "log_events.py")
    assert [member.name for member in LogNumber if f"LogNumber.{member.name}" not in text] == []


def test_log_events_use_named_log_numbers() -> None:
    for path, tree in parsed():
        for node in ast.walk(tree):
            if isinstance(node, ast.Call) and getattr(node.func, "id", "") == "LogEvent":
                given = [*node.args[:1], *(k.value for k in node.keywords if k.arg == "number")]
                assert not isinstance(given[0], ast.Constant), f"{path}:{node.lineno}"


def metric_names() -> Iterator[str]:
    """Yield every metric name in use, with ``*`` for its variable parts."""
    for _, tree in parsed():
        for node in ast.walk(tree):
            if isinstance(node, ast.Call) and _is_metric(node):
                yield from _names(node.args[0])


def _is_metric(node: ast.Call) -> bool:
    if getattr(node.func, "id", "") == "CountMetric":
        return True
    if not isinstance(node.func, ast.Attribute) or node.func.attr not in METRIC_METHODS:
        return False
    return "metrics" in ast.unparse(node.func.value)


def _names(node: ast.expr) -> Iterator[str]:
    if isinstance(node, ast.Constant):
        yield str(node.value)
    elif isinstance(node, ast.JoinedStr):
        parts = (p.value if isinstance(p, ast.Constant) else "*" for p in node.values)
        yield "".join(str(part) for part in parts)
    else:
        assert ast.unparse(node) == "effect.name", ast.unparse(node)


def test_every_metric_is_in_the_catalogue() -> None:
    listed = {re.sub(r"<[^>]*>", "*", row[0].strip("`")) for row in rows("metrics.md")[2:]}
    used = set(metric_names())

    def matches(name: str, pattern: str) -> bool:
        return re.fullmatch(re.escape(pattern).replace(r"\*", "[a-z*_-]+"), name) is not None

    assert [name for name in used if not any(matches(member, name) for member in listed)] == []
    assert [member for member in listed if not any(matches(member, name) for name in used)] == []
