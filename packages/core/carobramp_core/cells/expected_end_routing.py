"""How an entry offers tasks with the setting `expected_end_routing`.

Explanation
===========

Offers to cells that can start the tasks by their report are sent without leave to
wait. The report may be wrong, as other entries decide by it too; the owner then returns
at once what it does not start, and the entry offers that to another cell. With leave
to wait, a job whose tasks were split could wait at a full cell while another is idle.
A job for which no room is reported is offered with leave to wait at once, which saves
the round trips. The last of `MAX_OFFERS` offers always has leave to wait.
"""

from carobramp_core.cells.cell_choice import (
    Candidate,
    Demand,
    OfferKind,
    Share,
    choose_cells,
    choose_earliest,
)
from carobramp_core.cells.cell_rooms import candidate
from carobramp_core.cells.open_jobs import OpenJob

# Offers of one task of which the last may wait, and after which a return as overloaded
# is final. Each costs a round trip, and a caller can send a rejected job elsewhere only
# while there is time left.
MAX_OFFERS = 3
# Run time that counts for jobs that declare none.
DEFAULT_RUN_S = 0.2


def offer_by_expected_end(entry, open_job: OpenJob, indexes, suitable, now, effects):
    """Offer tasks to the cells where they are expected to end first.

    `suitable` are the linked cells that could run the tasks if they were idle.
    """
    candidates = known_candidates(entry, open_job, suitable, now)
    if not candidates:
        offer_without_reports(entry, open_job, indexes, suitable, now, effects)
        return
    demand = demand_of(open_job, len(indexes), now)
    if open_job.offer_count(indexes) >= MAX_OFFERS - 1:
        chosen = choose_earliest(candidates, demand, entry.rng)
        shares = [Share(chosen.cell, demand.tasks, OfferKind.WAIT)]
    else:
        shares = choose_cells(candidates, demand, entry.rng)
    remaining = sorted(indexes)
    for share in shares:
        part, remaining = remaining[: share.tasks], remaining[share.tasks :]
        may_wait = share.kind == OfferKind.WAIT
        entry.send_offer(
            open_job, share.cell, part, now, effects, may_wait, kind=share.kind
        )


def known_candidates(entry, open_job: OpenJob, names, now) -> list[Candidate]:
    """Return the cells with a recent report as candidates."""
    oldest = now - entry.limits.report_max_age_s()
    return [
        candidate(
            entry.cells[name],
            name,
            open_job.job,
            now,
            name == entry.home_cell,
            name in open_job.tried_cells,
        )
        for name in names
        if entry.cells[name].rooms.reported and entry.cells[name].reported_at >= oldest
    ]


def demand_of(open_job: OpenJob, tasks, now) -> Demand:
    """Return the demand of some tasks of a job."""
    job = open_job.job
    run_s = job.estimate_ms / 1000 or DEFAULT_RUN_S
    left_s = job.objective_s(run_s * 1000) - (now - open_job.received_at)
    return Demand(tasks, run_s, left_s)


def offer_without_reports(entry, open_job: OpenJob, indexes, suitable, now, effects):
    """Offer tasks while no suitable cell has reported recently.

    Untried cells are first, of them the home cell, then the one heard last.
    """

    def key(name):
        tried = name in open_job.tried_cells
        return tried, name != entry.home_cell, -entry.cells[name].reported_at

    cell = min(suitable, key=key)
    last_offer = open_job.offer_count(indexes) >= MAX_OFFERS - 1
    may_wait = last_offer or cell in open_job.tried_cells
    kind = OfferKind.UNKNOWN
    entry.send_offer(open_job, cell, indexes, now, effects, may_wait, kind=kind)


def choice_fields(view, job, kind: OfferKind, now) -> dict:
    """Return the fields of a log line that say by what a cell was chosen."""
    chosen = candidate(view, "", job, now)
    return {
        "kind": kind,
        "startable": chosen.startable,
        "wait_ms": round(chosen.wait_s * 1000),
        "speed": round(chosen.speed, 2),
        "round_trip_ms": round(chosen.round_trip_s * 1000, 1),
    }
