"""Measures the slopes and compares them with docs/CAPACITY.md.

Run as ``python -m carobramp_testing.capacity [--write]``. The status is 1 when a
slope is out of tolerance or a figure on the page does not follow from the slopes
on the page. ``--write`` puts the measured slopes and the figures on the page.
"""

import argparse
import asyncio

from carobramp_testing.capacity.figures import figures
from carobramp_testing.capacity.measure import measure_all
from carobramp_testing.capacity.page import (
    PAGE,
    differences,
    figure_table,
    read_slopes,
    replace_section,
    slope_table,
)
from carobramp_testing.capacity.size import DESIGN_SIZE


def write_page(measured):
    """Put measured slopes and their figures on the page."""
    text = replace_section(PAGE.read_text(), "slopes", slope_table(measured))
    stated = read_slopes(text)
    table = figure_table(figures(stated, DESIGN_SIZE))
    PAGE.write_text(replace_section(text, "figures", table))


def check_page(measured):
    """Return a line for each fault of the page."""
    text = PAGE.read_text()
    stated = read_slopes(text)
    faults = differences(stated, measured)
    if figure_table(figures(stated, DESIGN_SIZE)) not in text:
        faults.append("the figures do not follow from the slopes on the page")
    return faults


def main():
    """Measure, then compare or write."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--write", action="store_true", help="update the page")
    args = parser.parse_args()
    measured = asyncio.run(measure_all())
    print(slope_table(measured))
    if args.write:
        write_page(measured)
        return
    faults = check_page(measured)
    for fault in faults:
        print(fault)
    raise SystemExit(1 if faults else 0)


if __name__ == "__main__":
    main()
