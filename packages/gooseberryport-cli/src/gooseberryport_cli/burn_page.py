"""The burn rate report as one self-contained HTML page."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from html import escape

from gooseberryport_cli.times import format_age, format_time
from gooseberryport_core.burn import BurnHistory, BurnLine, BurnSeverity, burn_series
from gooseberryport_core.config import Config
from gooseberryport_core.types import RegionName

WIDTH, HEIGHT = 640, 120
LEFT_MARGIN, BOTTOM_MARGIN = 44, 18
PLOT_WINDOW_S = 300
PLOT_DURATION_S = 21_600
MIN_TOP_RATE = 2.0
COLOURS = ("#1f5fa8", "#b3541e", "#3c7a3c", "#7a3c7a", "#8a7a10", "#357a80", "#555555")

STYLE = """
body{font:15px/1.45 system-ui,sans-serif;margin:2rem auto;max-width:72rem;padding:0 1rem;color:#222}
table{border-collapse:collapse;margin:1rem 0}
th,td{padding:.25rem .7rem;text-align:right;border-bottom:1px solid #ddd}
th:nth-child(-n+3),td:nth-child(-n+3){text-align:left}
.page{background:#f6c9c4}.ticket{background:#f7e7b8}
svg{display:block}.key{display:inline-block;margin-right:1rem}
.key b{padding:0 .6rem;margin-right:.3rem}
figure{margin:1.2rem 0}figcaption{font-weight:600}
"""


def render_page(
    cfg: Config,
    lines: tuple[BurnLine, ...],
    histories: Mapping[RegionName, BurnHistory],
    wall_time: float,
) -> str:
    """Render the burn rate report as an HTML page.

    Parameters
    ----------
    lines
        The lines of the report.
    histories
        The recorded counts of each region, which are plotted.
    wall_time
        Wall-clock time; seconds since 1970-01-01 UTC.
    """
    figures = [_figure(cfg, group, histories, wall_time) for group in _group_by_plot(lines)]
    body = (
        "".join([_table(lines), *figures]) if lines else "<p>No requests have been counted yet.</p>"
    )
    return (
        "<!doctype html><html lang='en'><head><meta charset='utf-8'>"
        "<meta name='viewport' content='width=device-width'>"
        f"<title>Error budget burn rate</title><style>{STYLE}</style></head><body>"
        f"<h1>Error budget burn rate</h1><p>At {format_time(wall_time)}. A burn rate of 1"
        " uses exactly the error budget; a star marks a window that the history does not"
        " fully cover.</p>"
        f"{body}</body></html>\n"
    )


def _group_by_plot(lines: Iterable[BurnLine]) -> list[list[BurnLine]]:
    groups: dict[tuple[str, str], list[BurnLine]] = {}
    for line in lines:
        groups.setdefault((line.service, line.objective.value), []).append(line)
    return list(groups.values())


def _table(lines: tuple[BurnLine, ...]) -> str:
    windows = "".join(f"<th>{format_window(window.window_s)}</th>" for window in lines[0].windows)
    head = f"<tr><th>Service<th>Region<th>Objective<th>Target{windows}<th>Age<th>Asks for</tr>"
    return f"<table>{head}{''.join(map(_row, lines))}</table>"


def _row(line: BurnLine) -> str:
    cells = [line.service, line.region, line.objective.value, f"{line.target:.2%}"]
    for window in line.windows:
        marker = "" if window.covered_s >= 0.9 * window.window_s else "*"
        cells.append(f"{window.rate:.2f}{marker}" if window.total else "-")
    cells += [format_age(line.age_s), line.severity.value]
    css = "" if line.severity == BurnSeverity.NONE else f" class='{line.severity.value}'"
    return f"<tr{css}>" + "".join(f"<td>{escape(cell)}</td>" for cell in cells) + "</tr>"


def format_window(seconds: int) -> str:
    """Return the length of a window as text."""
    if seconds % 86_400 == 0:
        return f"{seconds // 86_400} d"
    return f"{seconds // 3_600} h" if seconds % 3_600 == 0 else f"{seconds // 60} min"


def _figure(
    cfg: Config,
    lines: list[BurnLine],
    histories: Mapping[RegionName, BurnHistory],
    wall_time: float,
) -> str:
    """Plot the burn rate of one service and objective, with one curve per region."""
    plotted = [line for line in lines if line.region in histories]
    curves = {
        line.region: burn_series(
            cfg, histories[line.region], line.service, line.objective, PLOT_WINDOW_S
        )
        for line in plotted
    }
    points = [rate for curve in curves.values() for _, rate in curve]
    max_rate = max([MIN_TOP_RATE, *points]) * 1.05
    shapes = [_grid(max_rate)]
    legend = []
    for index, (region, curve) in enumerate(curves.items()):
        colour = COLOURS[index % len(COLOURS)]
        shapes.append(_curve(curve, wall_time, max_rate, colour))
        legend.append(
            f"<span class='key'><b style='background:{colour}'></b>{escape(region)}</span>"
        )
    title = f"{lines[0].service}: {lines[0].objective.value}"
    caption = f"{escape(title)}, burn rate over 5 minutes, last six hours"
    return (
        f"<figure><figcaption>{caption}</figcaption>"
        f"<svg viewBox='0 0 {WIDTH} {HEIGHT}' width='{WIDTH}' height='{HEIGHT}' role='img'"
        f" aria-label='{escape(title, quote=True)}'>{''.join(shapes)}</svg>"
        f"{''.join(legend)}</figure>"
    )


def _grid(max_rate: float) -> str:
    base = HEIGHT - BOTTOM_MARGIN
    parts = []
    for rate in (0.0, 1.0, max_rate / 1.05):
        y = _y(rate, max_rate)
        dash = " stroke-dasharray='4 3'" if rate == 1.0 else ""
        parts.append(
            f"<line x1='{LEFT_MARGIN}' x2='{WIDTH}' y1='{y:.1f}' y2='{y:.1f}' stroke='#bbb'{dash}/>"
            f"{_label(LEFT_MARGIN - 6, y + 4, 'end', f'{rate:.1f}')}"
        )
    for hours in range(0, 7, 2):
        x = WIDTH - (WIDTH - LEFT_MARGIN) * hours * 3_600 / PLOT_DURATION_S
        anchor = "end" if hours == 0 else ("start" if hours == 6 else "middle")
        label = "now" if hours == 0 else f"{hours} h ago"
        parts.append(_label(x, base + 14, anchor, label))
    return "".join(parts)


def _label(x: float, y: float, anchor: str, text: str) -> str:
    return f"<text x='{x:.0f}' y='{y:.1f}' font-size='11' text-anchor='{anchor}'>{text}</text>"


def _curve(curve: list[tuple[int, float]], wall_time: float, max_rate: float, colour: str) -> str:
    points = [
        f"{WIDTH - (WIDTH - LEFT_MARGIN) * (wall_time - at) / PLOT_DURATION_S:.1f},"
        f"{_y(rate, max_rate):.1f}"
        for at, rate in curve
        if wall_time - at <= PLOT_DURATION_S
    ]
    joined = " ".join(points)
    return f"<polyline points='{joined}' fill='none' stroke='{colour}' stroke-width='1.6'/>"


def _y(rate: float, max_rate: float) -> float:
    return (HEIGHT - BOTTOM_MARGIN) * (1.0 - rate / max_rate) + 4.0 * rate / max_rate
