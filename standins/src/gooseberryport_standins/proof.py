"""Mutation check, run by ``make proof``: each test fails once the code that it covers is removed.

Every entry of ``docs/proof/guards.json`` names a guard in the code and the test that covers it. The
guard is removed from a scratch copy of the packages; the test must fail there and pass here.
"""

from __future__ import annotations

import argparse
import os
import shutil
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import msgspec

TEST_TIMEOUT_S = 180.0
"""Timeout of one test; mutated code may hang, which counts as a failed test; seconds."""

PYTEST_FAILED = 1
"""Exit code of pytest if tests ran and failed."""


class Guard(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A guard in the code and the test that covers it.

    Parameters
    ----------
    name, point
        Short name, and the point of the requirements that it fulfils.
    file, text, without
        File that contains it, its source text, and the text that replaces it in the copy.
    test
        Node id of the test in pytest.
    """

    name: str
    point: str
    file: str
    text: str
    without: str
    test: str


@contextmanager
def scratch_copy(root: Path) -> Iterator[Path]:
    """Yield a scratch copy of the packages, which is removed when the context exits."""
    with tempfile.TemporaryDirectory(prefix="gooseberryport-proof-") as name:
        copy = Path(name)
        ignored = shutil.ignore_patterns("__pycache__", "*.egg-info", ".hypothesis")
        for folder in ("packages", "standins", "tests", "platform"):
            shutil.copytree(root / folder, copy / folder, ignore=ignored)
        shutil.copy(root / "pyproject.toml", copy)
        yield copy


def run_test(root: Path, test: str) -> int | None:
    """Return pytest's exit code for one test of the tree at `root`; None if it timed out."""
    sources = [str(path) for path in sorted(root.glob("packages/*/src"))]
    env = {**os.environ, "PYTHONPATH": os.pathsep.join([*sources, str(root / "standins/src")])}
    env["PYTHONDONTWRITEBYTECODE"] = "1"
    command = [sys.executable, "-m", "pytest", "-x", "-q", test]
    try:
        done = subprocess.run(
            command, cwd=root, env=env, capture_output=True, timeout=TEST_TIMEOUT_S, check=False
        )
    except subprocess.TimeoutExpired:
        return None
    return done.returncode


def check_guard(root: Path, guard: Guard) -> str:
    """Return what is wrong; empty if the test passes with the guard and fails without it."""
    original = (root / guard.file).read_text()
    if original.count(guard.text) != 1:
        return f"its text occurs {original.count(guard.text)} times in {guard.file}, not once"
    if run_test(root, guard.test) != 0:
        return f"{guard.test} does not pass with the guard in place"
    with scratch_copy(root) as copy:
        (copy / guard.file).write_text(original.replace(guard.text, guard.without))
        code = run_test(copy, guard.test)
    if code not in (PYTEST_FAILED, None):
        return f"{guard.test} does not fail without the guard (pytest's exit code {code})"
    return ""


def main() -> int:
    """Check every guard, or those whose name contains the given word; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("word", nargs="?", default="", help="only guards with this in their name")
    word = parser.parse_args().word
    root = Path.cwd()
    text = (root / "docs/proof/guards.json").read_bytes()
    guards = [g for g in msgspec.json.decode(text, type=list[Guard]) if word in g.name]
    failures = 0
    for guard in guards:
        problem = check_guard(root, guard)
        failures += bool(problem)
        print(
            f"{'FAILED' if problem else 'passed'}  {guard.name}: {problem or guard.point}",
            flush=True,
        )
    print(f"{len(guards) - failures} passed, {failures} failed")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
