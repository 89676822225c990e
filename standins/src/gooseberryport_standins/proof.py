"""Show that each proof fails once its guard is taken out: ``make proof``.

Every entry of ``docs/proof/guards.json`` names a guard in the code and the test that watches it. A
scratch copy of the packages gets the guard taken out; the test must fail there and pass here.
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

TEST_LIMIT_S = 180.0
"""Longest run of one test; a mutated program may hang, which counts as failing; seconds."""

PYTEST_FAILED = 1
"""Exit code with which pytest says that tests ran and failed."""


class Guard(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One guard and the test that watches it.

    Parameters
    ----------
    name, point
        Short name, and the point of the brief that it serves.
    file, text, without
        Where it stands, its text, and what stands there once it is taken out.
    test
        pytest's name of the test.
    """

    name: str
    point: str
    file: str
    text: str
    without: str
    test: str


@contextmanager
def scratch_copy(root: Path) -> Iterator[Path]:
    """Give a copy of the packages that is removed afterwards."""
    with tempfile.TemporaryDirectory(prefix="gooseberryport-proof-") as name:
        copy = Path(name)
        ignored = shutil.ignore_patterns("__pycache__", "*.egg-info", ".hypothesis")
        for folder in ("packages", "standins", "tests"):
            shutil.copytree(root / folder, copy / folder, ignore=ignored)
        shutil.copy(root / "pyproject.toml", copy)
        yield copy


def run_test(root: Path, test: str) -> int | None:
    """Return pytest's exit code for one test of the tree at `root`, None for a time-out."""
    sources = [str(path) for path in sorted(root.glob("packages/*/src"))]
    env = {**os.environ, "PYTHONPATH": os.pathsep.join([*sources, str(root / "standins/src")])}
    env["PYTHONDONTWRITEBYTECODE"] = "1"
    command = [sys.executable, "-m", "pytest", "-x", "-q", test]
    try:
        done = subprocess.run(
            command, cwd=root, env=env, capture_output=True, timeout=TEST_LIMIT_S, check=False
        )
    except subprocess.TimeoutExpired:
        return None
    return done.returncode


def try_guard(root: Path, guard: Guard) -> str:
    """Return an empty text if the test passes with the guard and fails without, else the fault."""
    original = (root / guard.file).read_text()
    if original.count(guard.text) != 1:
        return f"its text stands {original.count(guard.text)} times in {guard.file}, not once"
    if run_test(root, guard.test) != 0:
        return f"{guard.test} does not pass with the guard in place"
    with scratch_copy(root) as copy:
        (copy / guard.file).write_text(original.replace(guard.text, guard.without))
        code = run_test(copy, guard.test)
    if code not in (PYTEST_FAILED, None):
        return f"{guard.test} does not fail without the guard (pytest's exit code {code})"
    return ""


def main() -> int:
    """Try every guard, or those whose name holds the given word; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("word", nargs="?", default="", help="only guards with this in their name")
    word = parser.parse_args().word
    root = Path.cwd()
    text = (root / "docs/proof/guards.json").read_bytes()
    guards = [g for g in msgspec.json.decode(text, type=list[Guard]) if word in g.name]
    faults = 0
    for guard in guards:
        fault = try_guard(root, guard)
        faults += bool(fault)
        print(f"{'FAULT' if fault else 'shown'}  {guard.name}: {fault or guard.point}", flush=True)
    print(f"{len(guards) - faults} passed, {faults} failed")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
