"""What an entry does about evacuated zones.

Explanation
===========

An entry hears of an evacuation from the store and from the owner of the cell, whose
reports carry the store version as of which they hold. The higher version is right.
"""

from carobramp_core.cells.evacuation import Evacuations, is_evacuated, newest
from carobramp_core.cells.messages import CapacityReport, NoResultReason
from carobramp_core.cells.orders import LogEvent, SendToOwner


def evacuated_cells(entry) -> dict[str, NoResultReason]:
    """Return the linked cells that are evacuated, with the reason for refusals."""
    return {
        cell: NoResultReason.EVACUATED
        for cell, view in entry.cells.items()
        if is_cell_evacuated(cell, view, entry.evacuations)
    }


def is_cell_evacuated(cell, view, evacuations: Evacuations | None) -> bool:
    """Return whether a cell is evacuated by the newer of two sources."""
    if evacuations is None or view.evacuations_version > evacuations.version:
        return view.evacuated
    return is_evacuated(cell, evacuations)


def apply_evacuations(entry, evacuations: Evacuations | None, effects):
    """Use a newer set of evacuated zones, and tell all owners if the zones change."""
    before = entry.evacuations
    entry.evacuations = newest(before, evacuations)
    if entry.evacuations is None or before is entry.evacuations:
        return
    if before is not None and before.zones == entry.evacuations.zones:
        return
    zones = " ".join(sorted(entry.evacuations.zones))
    fields = {"zones": zones, "version": entry.evacuations.version}
    effects.append(LogEvent("evacuated zones changed", fields))
    for cell in entry.cells:
        effects.append(SendToOwner(cell, entry.evacuations))


def record_report(entry, view, report: CapacityReport, effects):
    """Record what an owner's report says of the evacuation of its cell.

    An owner that differs and knows an older set is told the present one: what it
    knows may come from an entry that lags behind.
    """
    if view.evacuated and not report.evacuated:
        forget_evacuation(entry, report.cell)
    view.evacuated = report.evacuated
    view.evacuations_version = report.evacuations_version
    known = entry.evacuations
    if known is None or report.evacuations_version >= known.version:
        return
    if report.evacuated != is_evacuated(report.cell, known):
        effects.append(SendToOwner(report.cell, known))


def forget_evacuation(entry, cell):
    """Let open jobs use a cell again that has returned their tasks as evacuated."""
    for open_job in entry.jobs.values():
        if open_job.unsuitable_cells.get(cell) == NoResultReason.EVACUATED:
            del open_job.unsuitable_cells[cell]
            open_job.tried_cells.discard(cell)
