"""Reads and writes the tables of docs/CAPACITY.md."""

import pathlib
import re

from carobramp_testing.capacity.figures import Figure
from carobramp_testing.capacity.slopes import SLOPES

PAGE = pathlib.Path("docs/CAPACITY.md")
_SECTION = "<!-- {name} begin -->\n{body}<!-- {name} end -->"
_ROW = re.compile(r"^\| `(?P<name>\w+)` \| (?P<value>[\d.]+) \|", re.MULTILINE)


def slope_table(values: dict[str, float]) -> str:
    """Return the table of slopes."""
    lines = ["| Slope | Value | Unit | Meaning | Tolerance |", "|---|---|---|---|---|"]
    for slope in SLOPES:
        value = f"{values[slope.name]:.4g}"
        lines.append(
            f"| `{slope.name}` | {value} | {slope.unit} | {slope.meaning} |"
            f" factor {slope.tolerance} |"
        )
    return "\n".join(lines) + "\n"


def figure_table(rows: list[Figure]) -> str:
    """Return the table of figures at the design size."""
    lines = ["| Figure | Value | Unit | Bound | Mechanism |", "|---|---|---|---|---|"]
    for row in rows:
        bound = f"{row.bound:g}" if row.bound else "-"
        value = f"{row.value:.3g}" + (" (exceeded)" if row.exceeded else "")
        lines.append(
            f"| {row.name} | {value} | {row.unit} | {bound} | {row.mechanism} |"
        )
    return "\n".join(lines) + "\n"


def read_slopes(text: str) -> dict[str, float]:
    """Return the slopes that the page states."""
    return {m["name"]: float(m["value"]) for m in _ROW.finditer(text)}


def replace_section(text: str, name: str, body: str) -> str:
    """Replace the part of the page between the markers of `name`."""
    pattern = re.compile(rf"<!-- {name} begin -->\n.*?<!-- {name} end -->", re.DOTALL)
    if not pattern.search(text):
        raise ValueError(f"the page has no section {name}")
    section = _SECTION.format(name=name, body=body)
    return pattern.sub(lambda match: section, text, count=1)


def differences(page: dict[str, float], measured: dict[str, float]) -> list[str]:
    """Return a line for each slope that is missing or out of tolerance.

    Examples
    ========

    >>> differences({"state_bytes_per_team": 100.0}, {"state_bytes_per_team": 110.0})
    []
    >>> differences({"state_bytes_per_team": 100.0}, {"state_bytes_per_team": 200.0})
    ['state_bytes_per_team: the page says 100 B, measured 200 B']
    """
    lines = []
    for slope in SLOPES:
        if slope.name not in measured:
            continue
        stated, seen = page.get(slope.name), measured[slope.name]
        if stated is None:
            lines.append(f"{slope.name}: not on the page")
        elif not stated / slope.tolerance <= seen <= stated * slope.tolerance:
            lines.append(
                f"{slope.name}: the page says {stated:.4g} {slope.unit},"
                f" measured {seen:.4g} {slope.unit}"
            )
    return lines
