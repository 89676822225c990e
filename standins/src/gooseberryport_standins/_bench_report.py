"""Reports of benchmarks, and functions that measure processor time and memory."""

from __future__ import annotations

import time
from collections.abc import Callable
from pathlib import Path

import msgspec

PAGE_BYTES = 4_096
KIB = 1_024


class BenchRow(msgspec.Struct, frozen=True):
    """One measured value: what was measured, at which size, the value and its unit."""

    what: str
    size: str
    value: float
    unit: str


class BenchReport(msgspec.Struct, frozen=True):
    """The measured values of one benchmark."""

    name: str
    seed: int
    rows: tuple[BenchRow, ...]


def render(report: BenchReport) -> str:
    """Return a report as a Markdown table."""
    lines = [
        f"### {report.name}, seed {report.seed}",
        "",
        "| what | size | value | unit |",
        "|---|---|---:|---|",
    ]
    for row in report.rows:
        lines.append(f"| {row.what} | {row.size} | {_format_value(row.value)} | {row.unit} |")
    return "\n".join([*lines, ""])


def _format_value(value: float) -> str:
    if value >= 1_000:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def resident_bytes() -> int:
    """Return the resident memory of this process; bytes."""
    pages = Path("/proc/self/statm").read_text().split()[1]
    return int(pages) * PAGE_BYTES


def peak_resident_bytes() -> int:
    """Return the peak resident memory of this process; bytes."""
    lines = Path("/proc/self/status").read_text().splitlines()
    peak = next(line for line in lines if line.startswith("VmHWM:"))
    return int(peak.split()[1]) * KIB


def seconds_of(action: Callable[[], object]) -> float:
    """Return the processor time that an action takes in this process; seconds."""
    started = time.process_time()
    action()
    return time.process_time() - started
