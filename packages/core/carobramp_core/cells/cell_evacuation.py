"""What the owner of a cell does when its zone is evacuated, and afterwards."""

from carobramp_core.cells.admission import return_tasks
from carobramp_core.cells.evacuation import Evacuations, is_evacuated, newest
from carobramp_core.cells.messages import ReturnReason
from carobramp_core.cells.orders import LogEvent
from carobramp_core.cells.placement import WaitingTask


def apply_evacuations(owner, evacuations: Evacuations | None, source, effects):
    """Let an owner use a set of evacuated zones if it is newer than the known one.

    `source` says where the set comes from, for the log.
    """
    before = owner.evacuations
    owner.evacuations = newest(before, evacuations)
    was, now_evacuated = (
        is_evacuated(owner.cell, known) for known in (before, owner.evacuations)
    )
    if was == now_evacuated:
        return
    fields = {"version": owner.evacuations.version, "source": source}
    if now_evacuated:
        fields["waiting"] = len(owner.waiting)
        fields["runs"] = len(owner.runs)
        effects.append(LogEvent("evacuation of the cell started", fields))
        return
    for upstream in owner.upstreams.values():
        upstream.expect_cold_start()
    fields["upstreams"] = len(owner.upstreams)
    effects.append(LogEvent("evacuation of the cell ended", fields))


def return_evacuated_tasks(owner, now, effects):
    """Return all waiting tasks of an evacuated cell to their entries."""
    waiting_by_job: dict[tuple[str, str], list[WaitingTask]] = {}
    for task in owner.waiting:
        waiting_by_job.setdefault((task.entry, task.job.job_id), []).append(task)
    for tasks in waiting_by_job.values():
        return_tasks(owner, tasks, now, effects, ReturnReason.EVACUATED)
